package configsync

import (
	"context"
	"fmt"
	"testing"
	"time"

	"chicoryline/internal/errkind"
)

const basePatch = "[group g]\n[customer depot]\nrate = 10\nburst = 5\n[route racks]\ngroup = g\n[route board]\ngroup = g\nopen = true\nserve_cut_off = true\n"

// ratePatch changes one value.
func ratePatch(rate int) string { return fmt.Sprintf("[customer depot]\nrate = %d\n", rate) }

// ready starts a scenario: all members hold grants and version 1 is in force.
func (w *world) ready() {
	if !w.until(20*time.Second, w.allValid) {
		w.fail("no grants at the start")
	}
	if r := w.submit(0, basePatch, "first", 20*time.Second); r.State != StateInForce {
		w.fail("first patch: %+v", r)
	}
}

// everywhere reports whether all members that live serve the version alone.
func (w *world) everywhere(version uint64) bool {
	for _, m := range w.members {
		s := m.node.shown.Load()
		if dead, _ := m.state(); dead || s.state == "returned" {
			continue
		}
		if s.view.Current == nil || s.view.Current.Version != version || s.view.Pending != nil {
			return false
		}
	}
	return true
}

// settled heals the world, waits until all members serve, and puts one more
// patch in force.
func (w *world) settled() {
	w.heal()
	if !w.until(40*time.Second, w.allValid) {
		w.fail("not all members serve after the faults have ended")
	}
	r := Result{}
	for i := 0; i < 5 && r.State != StateInForce; i++ {
		r = w.submit(w.recordNow().Version, ratePatch(99), fmt.Sprintf("last %d", i), 60*time.Second)
	}
	if r.State != StateInForce {
		w.fail("patch after the faults: %+v", r)
		return
	}
	if !w.until(20*time.Second, func() bool { return w.everywhere(r.Version) }) {
		w.fail("version %d is not served everywhere", r.Version)
	}
}

// expectGreen fails the test if a scenario failed.
func expectGreen(t *testing.T, failures []string) {
	t.Helper()
	for _, f := range failures {
		t.Error(f)
	}
}

func TestPatchIsInForceEverywhere(t *testing.T) {
	expectGreen(t, runWorld(t, 1, 8, func(w *world) {
		w.add("lessee", "d0", true)
		w.ready()
		began, writes := time.Now(), w.store.writes
		if !w.until(3*time.Second, func() bool { return w.everywhere(1) }) {
			w.fail("version 1 is not everywhere within 3 s of its report")
		}
		t.Logf("spread after the report: %s", time.Since(began))
		if r := w.submit(0, basePatch, "first", 20*time.Second); r.State != StateInForce || r.Version != 1 {
			w.fail("the same patch id again: %+v", r)
		}
		if r := w.submit(0, ratePatch(3), "old", 20*time.Second); r.State != StateRefused {
			w.fail("a patch on an old base: %+v", r)
		}
		began = time.Now()
		if r := w.submit(1, ratePatch(4), "second", 20*time.Second); r.State != StateInForce || r.Version != 2 {
			w.fail("second patch: %+v", r)
		}
		t.Logf("second patch in force after %s of virtual time, %d writes since the first", time.Since(began), w.store.writes-writes)
		w.settled()
	}))
}

func TestOutageKeepsServing(t *testing.T) {
	expectGreen(t, runWorld(t, 1, 5, func(w *world) {
		w.ready()
		time.Sleep(5 * time.Second)
		w.store.set(func() { w.store.down = true })
		w.members[4].freeze()
		for range 300 {
			time.Sleep(100 * time.Millisecond)
			for _, m := range w.members[:4] {
				if m.node.View().Expired {
					w.fail("%s ran out in an outage with a majority up", m.id)
				}
			}
		}
		w.members[4].thaw()
		if !w.until(20*time.Second, w.allValid) {
			w.fail("a paused holder did not regain its grant in the outage")
		}
		w.settled()
	}))
}

func TestStartInAnOutageLearnsFromPeers(t *testing.T) {
	expectGreen(t, runWorld(t, 1, 3, func(w *world) {
		w.ready()
		w.store.set(func() { w.store.down = true })
		late := w.add("late", "d0", false)
		seed := w.members[0].node.cfg.VM
		late.node.mu.Lock()
		late.node.peers = append(late.node.peers, seed)
		late.node.mu.Unlock()
		if !w.until(20*time.Second, w.allValid) || !w.everywhere(1) {
			w.fail("a process that started in the outage does not serve the version of its peers")
		}
		w.settled()
	}))
}

func TestLeaveGivesTheGrantBack(t *testing.T) {
	expectGreen(t, runWorld(t, 1, 4, func(w *world) {
		w.ready()
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		if err := w.members[3].node.Leave(ctx); err != nil {
			w.fail("leave: %v", err)
		}
		holders, _ := Holders(ctx, w.store)
		if len(holders) != 3 {
			w.fail("%d holders after one has left", len(holders))
		}
		w.settled()
	}))
}

func TestReleaseUnblocksPatches(t *testing.T) {
	expectGreen(t, runWorld(t, 1, 6, func(w *world) {
		w.ready()
		for _, m := range w.members {
			if m.domain != "d2" {
				m.kill()
			}
		}
		r := w.submit(1, ratePatch(2), "blocked", 60*time.Second)
		if r.State != StateRefused {
			w.fail("patch with a majority dead: %+v", r)
		}
		t.Logf("refused: %s", r.Reason)
		for _, domain := range []string{"d0", "d1"} {
			if ids, err := Release(context.Background(), w.store, domain); err != nil || len(ids) != 2 {
				w.fail("release %s: %v %v", domain, ids, err)
			}
		}
		if _, err := Release(context.Background(), w.store, "d2"); !errkind.Is(err, errkind.PatchRefused) {
			w.fail("release of a domain that renews: %v", err)
		}
		w.settled()
	}))
}
