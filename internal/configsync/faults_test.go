package configsync

import (
	"context"
	"sync"
	"testing"
	"time"

	"chicoryline/internal/errkind"
)

// partitionDomainScenario cuts a domain off from all while a key is withdrawn.
func partitionDomainScenario(c *cluster) {
	c.waitReady()
	c.installKey()
	cutOff := c.members[2]
	c.partition("d2", "*")
	c.partition("*", "d2")
	withdrawKey(c, nil)
	c.operators.Wait()
	if !c.withdrawn {
		c.fail("the withdrawal was not accepted with one domain of three cut off")
	}
	time.Sleep(faultTime)
	view := cutOff.node.View()
	if _, _, err := view.Authorize("depot", "depot's key", "racks"); c.expiredOverride == nil && !errkind.Is(err, errkind.ConfigStale) {
		c.fail("closed route in the cut-off domain: %v", err)
	}
	if _, _, err := view.Authorize("", "", "board"); err != nil {
		c.fail("route marked serve_cut_off in the cut-off domain: %v", err)
	}
	c.verifyRecovery()
}

func TestDomainPartitionedWhileKeyIsWithdrawn(t *testing.T) {
	expectNoFailures(t, runCluster(t, 3, 6, partitionDomainScenario))
}

// pauseScenario pauses a holder while a key is withdrawn, and looks at it at
// the moment of the thaw.
func pauseScenario(c *cluster) {
	c.waitReady()
	c.installKey()
	c.members[1].freeze()
	withdrawKey(c, nil)
	c.operators.Wait()
	if !c.withdrawn {
		c.fail("the withdrawal was not accepted with one holder paused")
	}
	c.setCheckFrozen(true)
	time.Sleep(faultTime)
	c.setCheckFrozen(false)
	c.verifyRecovery()
}

func TestFrozenHolderServesNothingWhenThawed(t *testing.T) {
	expectNoFailures(t, runCluster(t, 3, 4, pauseScenario))
}

// TestMonitorFindsNaiveNodes proves that the monitor can fail: a node that
// trusts the last version read without a lease, and one that trusts the flag
// that it set before a pause.
func TestMonitorFindsNaiveNodes(t *testing.T) {
	variants := []struct {
		name     string
		holders  int
		expired  func(*Node) bool
		scenario func(*cluster)
	}{
		{"trust the last version read", 6, func(n *Node) bool { return n.published.Load().row.Version == 0 }, partitionDomainScenario},
		{"trust a grant after a pause", 4, func(n *Node) bool { return n.published.Load().view.Expired }, pauseScenario},
	}
	for _, v := range variants {
		t.Run(v.name, func(t *testing.T) {
			failures := runCluster(t, 3, v.holders, func(c *cluster) {
				c.overrideExpired(v.expired)
				v.scenario(c)
			})
			if len(failures) == 0 {
				t.Error("the monitor did not find the broken rule")
			}
		})
	}
}

// TestAcceptingAnswerLostWhileAnotherOperatorPatches loses every answer to the
// first operator. Its command ends as unknown; asked again, the patch id tells
// the one end that it had, and the same id changes nothing more.
func TestAcceptingAnswerLostWhileAnotherOperatorPatches(t *testing.T) {
	expectNoFailures(t, runCluster(t, 3, 4, func(c *cluster) {
		c.waitReady()
		c.partition(platformName, "operator first operator")
		var first, second Result
		c.background(func() { first = c.submit(1, ratePatch(50), "first operator", faultTime) })
		c.background(func() { second = c.submit(1, ratePatch(60), "second operator", 4*faultTime) })
		c.operators.Wait()
		if first.State != StateUnknown {
			c.fail("command without any answer: %+v", first)
		}
		c.heal()
		asked, err := PatchStatus(context.Background(), c.store, "first operator")
		switch {
		case errkind.Is(err, errkind.NotFound):
			asked.State = StateRefused
		case err != nil:
			c.fail("ask: %v", err)
		}
		if (asked.State == StateInForce) == (second.State == StateInForce) {
			c.fail("not exactly one of two patches on version 1 is in force: %+v %+v", asked, second)
		}
		again := c.submit(1, ratePatch(50), "first operator", 4*faultTime)
		if again.State != asked.State || c.currentRecord().Version != 2 {
			c.fail("the patch id again: %+v, asked before: %+v", again, asked)
		}
		c.verifyRecovery()
	}))
}

// TestAnswerOfTheDecisionLost loses only answers of writes, so that the patch
// becomes pending and is decided although nobody hears of it.
func TestAnswerOfTheDecisionLost(t *testing.T) {
	expectNoFailures(t, runCluster(t, 3, 4, func(c *cluster) {
		c.waitReady()
		c.store.set(func() { c.store.answersToLose = 20 })
		if r := c.submit(1, ratePatch(50), "p", 4*faultTime); r.State != StateInForce || r.Version != 2 {
			c.fail("patch with lost answers: %+v", r)
		}
		if n := len(c.currentRecord().History); n != 2 {
			c.fail("%d outcomes after two patches", n)
		}
		c.verifyRecovery()
	}))
}

// TestNoPatchInAnOutage checks that nothing is reported in force while the
// platform is down, and that the patch is told as unknown.
func TestNoPatchInAnOutage(t *testing.T) {
	expectNoFailures(t, runCluster(t, 3, 4, func(c *cluster) {
		c.waitReady()
		c.store.set(func() { c.store.down = true })
		if r := c.submit(1, ratePatch(50), "p", 2*faultTime); r.State != StateUnknown {
			c.fail("patch in an outage: %+v", r)
		}
		if !c.allServing() {
			c.fail("not all members serve in the outage")
		}
		c.verifyRecovery()
	}))
}

// submitLastWriterWins is a naive command: it writes over whatever version stands.
func submitLastWriterWins(c *cluster, patch, id string) Result {
	r := Result{}
	for r.State != StateInForce {
		r = c.submit(c.currentRecord().Version, patch, id, 4*faultTime)
	}
	return r
}

// TestTwoOperatorsOnOneVersion lets two operators patch version 1: one wins and
// the other is told the version. The last-writer-wins command breaks that.
func TestTwoOperatorsOnOneVersion(t *testing.T) {
	for _, naive := range []bool{false, true} {
		var both bool
		expectNoFailures(t, runCluster(t, 3, 4, func(c *cluster) {
			c.waitReady()
			results := make([]Result, 2)
			for i, id := range []string{"a", "b"} {
				c.background(func() {
					if naive {
						results[i] = submitLastWriterWins(c, ratePatch(50+i), id)
						return
					}
					results[i] = c.submit(1, ratePatch(50+i), id, 4*faultTime)
				})
			}
			c.operators.Wait()
			both = results[0].State == StateInForce && results[1].State == StateInForce
			for _, r := range results {
				if r.State == StateRefused && r.Version != 2 {
					c.fail("the losing operator was not told version 2: %+v", r)
				}
			}
			c.verifyRecovery()
		}))
		if both != naive {
			t.Errorf("naive %t: both patches in force %t", naive, both)
		}
	}
}

// TestVMReplacedAtTheSameAddress pauses a holder, starts a new process with its
// id and address, and withdraws a key before the old one goes on.
func TestVMReplacedAtTheSameAddress(t *testing.T) {
	expectNoFailures(t, runCluster(t, 3, 4, func(c *cluster) {
		c.waitReady()
		c.installKey()
		old := c.members[1]
		old.freeze()
		c.add(old.id, old.domain, false)
		withdrawKey(c, nil)
		c.operators.Wait()
		if !c.withdrawn {
			c.fail("the withdrawal was not accepted after a replacement")
		}
		c.setCheckFrozen(true)
		time.Sleep(faultTime)
		c.setCheckFrozen(false)
		c.verifyRecovery()
	}))
}

// TestAllVMsReplacedBetweenPatches kills one VM after another and starts a new
// one in its place, with no patch meanwhile.
func TestAllVMsReplacedBetweenPatches(t *testing.T) {
	expectNoFailures(t, runCluster(t, 3, 4, func(c *cluster) {
		c.waitReady()
		for _, m := range c.members[:4] {
			m.kill()
			c.add(m.id+"-new", m.domain, false)
			time.Sleep(5 * cleanupDelay)
		}
		holders, err := Holders(context.Background(), c.store)
		if err != nil || len(holders) != 4 {
			c.fail("%d holders are registered after the replacements: %v", len(holders), err)
		}
		if n := len(c.currentRecord().History); n != 1 {
			c.fail("cleaning up left %d outcomes", n)
		}
		c.verifyRecovery()
	}))
}

// TestHolderThatDiesAtTheStartBlocksNothing kills a holder at its first grant,
// when it knew of no other holder to name as its voter.
func TestHolderThatDiesAtTheStartBlocksNothing(t *testing.T) {
	expectNoFailures(t, runCluster(t, 3, 4, func(c *cluster) {
		m := c.members[0]
		var once sync.Once
		m.setOnState(func(grant, _ string) {
			if grant == "held" {
				once.Do(m.kill)
			}
		})
		if !c.waitUntil(20*time.Second, func() bool { dead, _ := m.state(); return dead }) {
			c.fail("the holder never got a grant")
		}
		c.waitReady()
		c.verifyRecovery()
	}))
}
