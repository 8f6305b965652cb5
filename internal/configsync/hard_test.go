package configsync

import (
	"context"
	"sync"
	"testing"
	"time"

	"chicoryline/internal/errkind"
)

// cutDomainScenario cuts a domain off from all while a key is withdrawn.
func cutDomainScenario(w *world) {
	w.ready()
	w.giveKey()
	cutOff := w.members[2]
	w.cut("d2", "*")
	w.cut("*", "d2")
	withdrawKey(w, nil)
	w.operators.Wait()
	if !w.withdrawn {
		w.fail("the withdrawal was not accepted with one domain of three cut off")
	}
	time.Sleep(faultTime)
	view := cutOff.node.View()
	if _, _, err := view.Authorize("depot", "depot's key", "racks"); w.naive == nil && !errkind.Is(err, errkind.ConfigStale) {
		w.fail("closed route in the cut-off domain: %v", err)
	}
	if _, _, err := view.Authorize("", "", "board"); err != nil {
		w.fail("route marked serve_cut_off in the cut-off domain: %v", err)
	}
	w.settled()
}

func TestDomainCutOffWhileKeyIsWithdrawn(t *testing.T) {
	expectGreen(t, runWorld(t, 3, 6, cutDomainScenario))
}

// pauseScenario pauses a holder while a key is withdrawn, and looks at it at
// the moment of the thaw.
func pauseScenario(w *world) {
	w.ready()
	w.giveKey()
	w.members[1].freeze()
	withdrawKey(w, nil)
	w.operators.Wait()
	if !w.withdrawn {
		w.fail("the withdrawal was not accepted with one holder paused")
	}
	w.lookAtPaused(true)
	time.Sleep(faultTime)
	w.lookAtPaused(false)
	w.settled()
}

func TestPausedHolderServesNothingAtItsThaw(t *testing.T) {
	expectGreen(t, runWorld(t, 3, 4, pauseScenario))
}

// TestMonitorFindsNaiveNodes proves that the monitor can fail: a node that
// trusts the last version read without a lease, and one that trusts the flag
// that it set before a pause.
func TestMonitorFindsNaiveNodes(t *testing.T) {
	variants := []struct {
		name     string
		holders  int
		expired  func(*Node) bool
		scenario func(*world)
	}{
		{"trust the last version read", 6, func(n *Node) bool { return n.shown.Load().row.Version == 0 }, cutDomainScenario},
		{"trust a grant after a pause", 4, func(n *Node) bool { return n.shown.Load().view.Expired }, pauseScenario},
	}
	for _, v := range variants {
		t.Run(v.name, func(t *testing.T) {
			failures := runWorld(t, 3, v.holders, func(w *world) {
				w.trust(v.expired)
				v.scenario(w)
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
	expectGreen(t, runWorld(t, 3, 4, func(w *world) {
		w.ready()
		w.cut(platformName, "operator first operator")
		var first, second Result
		w.background(func() { first = w.submit(1, ratePatch(50), "first operator", faultTime) })
		w.background(func() { second = w.submit(1, ratePatch(60), "second operator", 4*faultTime) })
		w.operators.Wait()
		if first.State != StateUnknown {
			w.fail("command without any answer: %+v", first)
		}
		w.heal()
		asked, err := Ask(context.Background(), w.store, "first operator")
		switch {
		case errkind.Is(err, errkind.NotFound):
			asked.State = StateRefused
		case err != nil:
			w.fail("ask: %v", err)
		}
		if (asked.State == StateInForce) == (second.State == StateInForce) {
			w.fail("not exactly one of two patches on version 1 is in force: %+v %+v", asked, second)
		}
		again := w.submit(1, ratePatch(50), "first operator", 4*faultTime)
		if again.State != asked.State || w.recordNow().Version != 2 {
			w.fail("the patch id again: %+v, asked before: %+v", again, asked)
		}
		w.settled()
	}))
}

// TestAnswerOfTheDecisionLost loses only answers of writes, so that the patch
// becomes pending and is decided although nobody hears of it.
func TestAnswerOfTheDecisionLost(t *testing.T) {
	expectGreen(t, runWorld(t, 3, 4, func(w *world) {
		w.ready()
		w.store.set(func() { w.store.lose = 20 })
		if r := w.submit(1, ratePatch(50), "p", 4*faultTime); r.State != StateInForce || r.Version != 2 {
			w.fail("patch with lost answers: %+v", r)
		}
		if n := len(w.recordNow().History); n != 2 {
			w.fail("%d outcomes after two patches", n)
		}
		w.settled()
	}))
}

// TestNoPatchInAnOutage checks that nothing is reported in force while the
// platform is down, and that the patch is told as unknown.
func TestNoPatchInAnOutage(t *testing.T) {
	expectGreen(t, runWorld(t, 3, 4, func(w *world) {
		w.ready()
		w.store.set(func() { w.store.down = true })
		if r := w.submit(1, ratePatch(50), "p", 2*faultTime); r.State != StateUnknown {
			w.fail("patch in an outage: %+v", r)
		}
		if !w.allValid() {
			w.fail("not all members serve in the outage")
		}
		w.settled()
	}))
}

// submitLastWriter is a naive command: it writes over whatever version stands.
func submitLastWriter(w *world, patch, id string) Result {
	r := Result{}
	for r.State != StateInForce {
		r = w.submit(w.recordNow().Version, patch, id, 4*faultTime)
	}
	return r
}

// TestTwoOperatorsOnOneVersion lets two operators patch version 1: one wins and
// the other is told the version. The last-writer-wins command breaks that.
func TestTwoOperatorsOnOneVersion(t *testing.T) {
	for _, naive := range []bool{false, true} {
		var both bool
		expectGreen(t, runWorld(t, 3, 4, func(w *world) {
			w.ready()
			results := make([]Result, 2)
			for i, id := range []string{"a", "b"} {
				w.background(func() {
					if naive {
						results[i] = submitLastWriter(w, ratePatch(50+i), id)
						return
					}
					results[i] = w.submit(1, ratePatch(50+i), id, 4*faultTime)
				})
			}
			w.operators.Wait()
			both = results[0].State == StateInForce && results[1].State == StateInForce
			for _, r := range results {
				if r.State == StateRefused && r.Version != 2 {
					w.fail("the losing operator was not told version 2: %+v", r)
				}
			}
			w.settled()
		}))
		if both != naive {
			t.Errorf("naive %t: both patches in force %t", naive, both)
		}
	}
}

// TestVMReplacedAtTheSameAddress pauses a holder, starts a new process with its
// id and address, and withdraws a key before the old one goes on.
func TestVMReplacedAtTheSameAddress(t *testing.T) {
	expectGreen(t, runWorld(t, 3, 4, func(w *world) {
		w.ready()
		w.giveKey()
		old := w.members[1]
		old.freeze()
		w.add(old.id, old.domain, false)
		withdrawKey(w, nil)
		w.operators.Wait()
		if !w.withdrawn {
			w.fail("the withdrawal was not accepted after a replacement")
		}
		w.lookAtPaused(true)
		time.Sleep(faultTime)
		w.lookAtPaused(false)
		w.settled()
	}))
}

// TestAllVMsReplacedBetweenPatches kills one VM after another and starts a new
// one in its place, with no patch meanwhile.
func TestAllVMsReplacedBetweenPatches(t *testing.T) {
	expectGreen(t, runWorld(t, 3, 4, func(w *world) {
		w.ready()
		for _, m := range w.members[:4] {
			m.kill()
			w.add(m.id+"-new", m.domain, false)
			time.Sleep(5 * cleanAfter)
		}
		holders, err := Holders(context.Background(), w.store)
		if err != nil || len(holders) != 4 {
			w.fail("%d holders are registered after the replacements: %v", len(holders), err)
		}
		if n := len(w.recordNow().History); n != 1 {
			w.fail("cleaning up left %d outcomes", n)
		}
		w.settled()
	}))
}

// TestHolderThatDiesAtTheStartBlocksNothing kills a holder at its first grant,
// when it knew of no other holder to name as its voter.
func TestHolderThatDiesAtTheStartBlocksNothing(t *testing.T) {
	expectGreen(t, runWorld(t, 3, 4, func(w *world) {
		m := w.members[0]
		var once sync.Once
		m.tell(func(grant, _ string) {
			if grant == "held" {
				once.Do(m.kill)
			}
		})
		if !w.until(20*time.Second, func() bool { dead, _ := m.state(); return dead }) {
			w.fail("the holder never got a grant")
		}
		w.ready()
		w.settled()
	}))
}
