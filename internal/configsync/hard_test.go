package configsync

import (
	"context"
	"sync"
	"testing"
	"time"

	"chicoryline/internal/errkind"
)

// partitionDomainScenario partitions one domain from everything else while a key is
// withdrawn.
func partitionDomainScenario(c *cluster) {
	c.waitReady()
	c.installKey()
	partitioned := c.members[2]
	c.partition("d2", "*")
	c.partition("*", "d2")
	withdrawKey(c, nil)
	c.operators.Wait()
	if !c.withdrawn {
		c.fail("the withdrawal was not accepted with one domain of three partitioned")
	}
	time.Sleep(faultTime)
	view := partitioned.node.View()
	if _, _, err := view.Authorize("depot", "depot's key", "racks"); c.expiredOverride == nil && !errkind.Is(err, errkind.ConfigStale) {
		c.fail("closed route in the partitioned domain: %v", err)
	}
	if _, _, err := view.Authorize("", "", "board"); err != nil {
		c.fail("route with serve_cut_off in the partitioned domain: %v", err)
	}
	c.verifyRecovery()
}

func TestDomainPartitionedWhileKeyIsWithdrawn(t *testing.T) {
	expectNoFailures(t, runCluster(t, 3, 6, partitionDomainScenario))
}

// pauseScenario freezes a holder while a key is withdrawn, and checks what the holder
// would serve at the moment that it is thawed.
func pauseScenario(c *cluster) {
	c.waitReady()
	c.installKey()
	c.members[1].freeze()
	withdrawKey(c, nil)
	c.operators.Wait()
	if !c.withdrawn {
		c.fail("the withdrawal was not accepted with one holder frozen")
	}
	c.setCheckFrozen(true)
	time.Sleep(faultTime)
	c.setCheckFrozen(false)
	c.verifyRecovery()
}

func TestFrozenHolderServesNothingWhenThawed(t *testing.T) {
	expectNoFailures(t, runCluster(t, 3, 4, pauseScenario))
}

// TestMonitorDetectsBrokenNodes checks that the monitor detects broken nodes: one that
// serves the last version read without a grant or lease, and one that after a pause
// relies on an expiry flag that it set before.
func TestMonitorDetectsBrokenNodes(t *testing.T) {
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
				t.Error("the monitor did not detect the broken rule")
			}
		})
	}
}

// TestAcceptingAnswerLostWhileAnotherOperatorPatches loses every answer to the first
// operator, whose command therefore ends with an unknown outcome. A later query of the
// patch id must return the one outcome that it had, and submitting the same id again
// must change nothing.
func TestAcceptingAnswerLostWhileAnotherOperatorPatches(t *testing.T) {
	expectNoFailures(t, runCluster(t, 3, 4, func(c *cluster) {
		c.waitReady()
		c.partition(platformName, "operator first operator")
		var first, second Result
		c.background(func() { first = c.submit(1, ratePatch(50), "first operator", faultTime) })
		c.background(func() { second = c.submit(1, ratePatch(60), "second operator", 4*faultTime) })
		c.operators.Wait()
		if first.State != StateUnknown {
			c.fail("command whose answers are all lost: %+v", first)
		}
		c.heal()
		asked, err := PatchStatus(context.Background(), c.store, "first operator")
		switch {
		case errkind.Is(err, errkind.NotFound):
			asked.State = StateRefused
		case err != nil:
			c.fail("patch status: %v", err)
		}
		if (asked.State == StateInForce) == (second.State == StateInForce) {
			c.fail("want exactly one of two patches on version 1 in force: %+v %+v", asked, second)
		}
		again := c.submit(1, ratePatch(50), "first operator", 4*faultTime)
		if again.State != asked.State || c.currentRecord().Version != 2 {
			c.fail("same patch id submitted again: %+v, status before: %+v", again, asked)
		}
		c.verifyRecovery()
	}))
}

// TestAnswerOfTheDecisionLost loses only the answers to writes, so that the patch
// becomes pending and is decided although no process receives the results.
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

// TestNoPatchInAnOutage checks that a patch submitted while the platform is down is
// reported with an unknown outcome and never as in force.
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

// submitLastWriterWins is a deliberately wrong command: it submits the patch on
// whatever version is in force.
func submitLastWriterWins(c *cluster, patch, id string) Result {
	r := Result{}
	for r.State != StateInForce {
		r = c.submit(c.currentRecord().Version, patch, id, 4*faultTime)
	}
	return r
}

// TestTwoOperatorsOnOneVersion submits two patches on version 1 concurrently. One must
// take effect and the other must be refused with the version in force. The
// last-writer-wins command must be seen to break this.
func TestTwoOperatorsOnOneVersion(t *testing.T) {
	for _, lastWriterWins := range []bool{false, true} {
		var both bool
		expectNoFailures(t, runCluster(t, 3, 4, func(c *cluster) {
			c.waitReady()
			results := make([]Result, 2)
			for i, id := range []string{"a", "b"} {
				c.background(func() {
					if lastWriterWins {
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
					c.fail("the refused patch did not return version 2: %+v", r)
				}
			}
			c.verifyRecovery()
		}))
		if both != lastWriterWins {
			t.Errorf("last writer wins %t: both patches in force %t", lastWriterWins, both)
		}
	}
}

// TestVMReplacedAtTheSameAddress freezes a holder, starts a new process with the same
// VM id and address, and withdraws a key before the old process continues.
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
			c.fail("the withdrawal was not accepted after the VM was replaced")
		}
		c.setCheckFrozen(true)
		time.Sleep(faultTime)
		c.setCheckFrozen(false)
		c.verifyRecovery()
	}))
}

// TestAllVMsReplacedBetweenPatches kills one VM after another and starts a new one in
// its place, without a patch in between. Unless dead holders are cleaned up, all
// voters of one are gone then, and it blocks the next patch.
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
			c.fail("%d outcomes after cleaning up, want 1", n)
		}
		c.verifyRecovery()
	}))
}

// TestHolderThatDiesAtTheStartBlocksNothing kills a holder at its first grant, when it
// did not know any other holder that could be its voter.
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
