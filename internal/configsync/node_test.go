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

// outage takes the platform down for half a minute with one of five holders
// paused, and returns the part of the time in which the other four served.
func outage(w *world) float64 {
	w.ready()
	time.Sleep(faultTime)
	w.store.set(func() { w.store.down = true })
	w.members[4].freeze()
	served, looks := 0, 0
	for range 300 {
		time.Sleep(100 * time.Millisecond)
		for _, m := range w.members[:4] {
			looks++
			if !m.node.View().Expired {
				served++
			}
		}
	}
	w.members[4].thaw()
	return float64(served) / float64(looks)
}

func TestOutageKeepsServing(t *testing.T) {
	expectGreen(t, runWorld(t, 1, 5, func(w *world) {
		if part := outage(w); part != 1 {
			w.fail("served %.2f of an outage with a majority up", part)
		}
		if !w.until(20*time.Second, w.allValid) {
			w.fail("a paused holder did not regain its grant in the outage")
		}
		w.settled()
	}))
}

// TestOutageWithLeasesOfThePlatformOnly measures design alternative 1: without
// promises between holders nobody serves for longer than one grant.
func TestOutageWithLeasesOfThePlatformOnly(t *testing.T) {
	expectGreen(t, runWorld(t, 1, 5, func(w *world) {
		for _, m := range w.members {
			for _, other := range w.members {
				w.cut(m.id, other.id)
			}
		}
		part := outage(w)
		t.Logf("served %.2f of an outage of 30 s", part)
		if part > 0.11 {
			w.fail("served %.2f of the outage without promises", part)
		}
		w.settled()
	}))
}

// TestCost counts the calls to the platform of 24 holders and the times that
// patches take. The times are virtual: they follow from the fake's delays.
func TestCost(t *testing.T) {
	expectGreen(t, runWorld(t, 1, 24, func(w *world) {
		w.ready()
		calls := func() (int, int) { w.store.mu.Lock(); defer w.store.mu.Unlock(); return w.store.writes, w.store.reads }
		writes, reads := calls()
		time.Sleep(time.Minute)
		writesAfter, readsAfter := calls()
		perSecond := func(n int) float64 { return float64(n) / 60 }
		t.Logf("24 holders at rest: %.1f writes/s, %.1f calls/s", perSecond(writesAfter-writes), perSecond(readsAfter-reads))
		if perSecond(writesAfter-writes) > 20 || perSecond(readsAfter-reads) > 200 {
			w.fail("too many calls at rest")
		}
		began := time.Now()
		w.submit(1, ratePatch(4), "all up", 20*time.Second)
		t.Logf("patch with all up: %s", time.Since(began))
		w.members[3].kill()
		began = time.Now()
		w.submit(2, ratePatch(5), "one dead", 20*time.Second)
		t.Logf("patch with a holder that died just before: %s", time.Since(began))
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
