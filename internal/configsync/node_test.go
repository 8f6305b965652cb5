package configsync

import (
	"context"
	"fmt"
	"testing"
	"time"

	"chicoryline/internal/errkind"
)

const basePatch = "[group g]\n[customer depot]\nrate = 10\nburst = 5\n[route racks]\ngroup = g\n[route board]\ngroup = g\nopen = true\nserve_cut_off = true\n"

// ratePatch returns a patch that changes one rate limit.
func ratePatch(rate int) string { return fmt.Sprintf("[customer depot]\nrate = %d\n", rate) }

// waitReady waits until all members may serve and puts version 1 in force.
func (c *cluster) waitReady() {
	if !c.waitUntil(20*time.Second, c.allServing) {
		c.fail("members without a grant or lease at the start")
	}
	if r := c.submit(0, basePatch, "first", 20*time.Second); r.State != StateInForce {
		c.fail("first patch: %+v", r)
	}
}

// allServeVersion reports whether all live members serve the version, without a
// pending patch.
func (c *cluster) allServeVersion(version uint64) bool {
	for _, m := range c.members {
		s := m.node.published.Load()
		if dead, _ := m.state(); dead || s.state == "returned" {
			continue
		}
		if s.view.Current == nil || s.view.Current.Version != version || s.view.Pending != nil {
			return false
		}
	}
	return true
}

// verifyRecovery ends all faults, waits until all members serve, and puts one more
// patch in force.
func (c *cluster) verifyRecovery() {
	c.heal()
	if !c.waitUntil(40*time.Second, c.allServing) {
		c.fail("not all members serve after the faults have ended")
	}
	r := Result{}
	for i := 0; i < 5 && r.State != StateInForce; i++ {
		r = c.submit(c.currentRecord().Version, ratePatch(99), fmt.Sprintf("last %d", i), 60*time.Second)
	}
	if r.State != StateInForce {
		c.fail("patch after the faults: %+v", r)
		return
	}
	if !c.waitUntil(20*time.Second, func() bool { return c.allServeVersion(r.Version) }) {
		c.fail("version %d is not served everywhere", r.Version)
	}
}

// expectNoFailures fails the test with the failures of a scenario.
func expectNoFailures(t *testing.T, failures []string) {
	t.Helper()
	for _, f := range failures {
		t.Error(f)
	}
}

func TestPatchIsInForceEverywhere(t *testing.T) {
	expectNoFailures(t, runCluster(t, 1, 8, func(c *cluster) {
		c.add("lessee", "d0", true)
		c.waitReady()
		began, writes := time.Now(), c.store.writes
		if !c.waitUntil(3*time.Second, func() bool { return c.allServeVersion(1) }) {
			c.fail("version 1 is not served everywhere within 3 s after it was reported in force")
		}
		t.Logf("served everywhere %s after it was reported in force", time.Since(began))
		if r := c.submit(0, basePatch, "first", 20*time.Second); r.State != StateInForce || r.Version != 1 {
			c.fail("same patch id submitted again: %+v", r)
		}
		if r := c.submit(0, ratePatch(3), "old", 20*time.Second); r.State != StateRefused {
			c.fail("a patch on an old base: %+v", r)
		}
		began = time.Now()
		if r := c.submit(1, ratePatch(4), "second", 20*time.Second); r.State != StateInForce || r.Version != 2 {
			c.fail("second patch: %+v", r)
		}
		t.Logf("second patch in force after %s of virtual time, %d writes since the first", time.Since(began), c.store.writes-writes)
		c.verifyRecovery()
	}))
}

// measureOutage takes the platform down for 30 s with one of five holders frozen, and
// returns the fraction of the time in which the other four served.
func measureOutage(c *cluster) float64 {
	c.waitReady()
	time.Sleep(faultTime)
	c.store.set(func() { c.store.down = true })
	c.members[4].freeze()
	served, checks := 0, 0
	for range 300 {
		time.Sleep(100 * time.Millisecond)
		for _, m := range c.members[:4] {
			checks++
			if !m.node.View().Expired {
				served++
			}
		}
	}
	c.members[4].thaw()
	return float64(served) / float64(checks)
}

func TestOutageKeepsServing(t *testing.T) {
	expectNoFailures(t, runCluster(t, 1, 5, func(c *cluster) {
		if fraction := measureOutage(c); fraction != 1 {
			c.fail("served %.2f of an outage with a majority up", fraction)
		}
		if !c.waitUntil(20*time.Second, c.allServing) {
			c.fail("a frozen holder did not regain its grant during the outage")
		}
		c.verifyRecovery()
	}))
}

// TestOutageWithLeasesOfThePlatformOnly measures design alternative 1, which has no
// promises between holders: no process keeps serving in an outage for longer than one
// grant length.
func TestOutageWithLeasesOfThePlatformOnly(t *testing.T) {
	expectNoFailures(t, runCluster(t, 1, 5, func(c *cluster) {
		for _, m := range c.members {
			for _, other := range c.members {
				c.partition(m.id, other.id)
			}
		}
		fraction := measureOutage(c)
		t.Logf("served %.2f of an outage of 30 s", fraction)
		if fraction > 0.11 {
			c.fail("served %.2f of the outage without promises", fraction)
		}
		c.verifyRecovery()
	}))
}

// TestCost measures the calls of 24 holders to the platform and the duration of
// patches. The durations are in virtual time and follow from the simulated delays.
func TestCost(t *testing.T) {
	expectNoFailures(t, runCluster(t, 1, 24, func(c *cluster) {
		c.waitReady()
		calls := func() (int, int) { c.store.mu.Lock(); defer c.store.mu.Unlock(); return c.store.writes, c.store.reads }
		writes, reads := calls()
		time.Sleep(time.Minute)
		writesAfter, readsAfter := calls()
		perSecond := func(n int) float64 { return float64(n) / 60 }
		t.Logf("24 holders without patches: %.1f writes/s, %.1f calls/s", perSecond(writesAfter-writes), perSecond(readsAfter-reads))
		if perSecond(writesAfter-writes) > 20 || perSecond(readsAfter-reads) > 200 {
			c.fail("too many platform calls without patches")
		}
		began := time.Now()
		c.submit(1, ratePatch(4), "all up", 20*time.Second)
		t.Logf("patch with all holders up: %s", time.Since(began))
		c.members[3].kill()
		began = time.Now()
		c.submit(2, ratePatch(5), "one dead", 20*time.Second)
		t.Logf("patch right after a holder died: %s", time.Since(began))
		c.verifyRecovery()
	}))
}

func TestStartInAnOutageLearnsFromPeers(t *testing.T) {
	expectNoFailures(t, runCluster(t, 1, 3, func(c *cluster) {
		c.waitReady()
		c.store.set(func() { c.store.down = true })
		late := c.add("late", "d0", false)
		seed := c.members[0].node.cfg.VM
		late.node.mu.Lock()
		late.node.peers = append(late.node.peers, seed)
		late.node.mu.Unlock()
		if !c.waitUntil(20*time.Second, c.allServing) || !c.allServeVersion(1) {
			c.fail("a process started during the outage does not serve the version of its peers")
		}
		c.verifyRecovery()
	}))
}

func TestLeaveGivesTheGrantBack(t *testing.T) {
	expectNoFailures(t, runCluster(t, 1, 4, func(c *cluster) {
		c.waitReady()
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		if err := c.members[3].node.Leave(ctx); err != nil {
			c.fail("leave: %v", err)
		}
		holders, _ := Holders(ctx, c.store)
		if len(holders) != 3 {
			c.fail("%d holders after one of 4 has left, want 3", len(holders))
		}
		c.verifyRecovery()
	}))
}

func TestReleaseUnblocksPatches(t *testing.T) {
	expectNoFailures(t, runCluster(t, 1, 6, func(c *cluster) {
		c.waitReady()
		for _, m := range c.members {
			if m.domain != "d2" {
				m.kill()
			}
		}
		r := c.submit(1, ratePatch(2), "blocked", 60*time.Second)
		if r.State != StateRefused {
			c.fail("patch with a majority dead: %+v", r)
		}
		t.Logf("refused: %s", r.Reason)
		for _, domain := range []string{"d0", "d1"} {
			if ids, err := Release(context.Background(), c.store, domain); err != nil || len(ids) != 2 {
				c.fail("release %s: %v %v", domain, ids, err)
			}
		}
		if _, err := Release(context.Background(), c.store, "d2"); !errkind.Is(err, errkind.PatchRefused) {
			c.fail("release of a domain whose holders renew: %v", err)
		}
		c.verifyRecovery()
	}))
}
