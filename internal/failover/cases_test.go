package failover

import (
	"fmt"
	"testing"
	"time"

	"chicoryline/internal/position"
)

// injectOnEntry calls inject once, when a VM's steward first enters the state of the
// failover chart.
func (s *sim) injectOnEntry(state string, inject func(vm *simVM)) {
	done := false
	s.onEnter = func(vm *simVM, chart, entered string) (before, after func()) {
		if done || chart != FailoverChart || entered != state {
			return nil, nil
		}
		done = true
		return func() { inject(vm) }, nil
	}
}

// longestWriteGap returns the longest time between two acknowledged writes since from.
func (s *sim) longestWriteGap(from time.Duration) time.Duration {
	last, longest := simStart.Add(from), time.Duration(0)
	for _, w := range s.record.writes {
		if !w.acked.IsZero() && w.acked.After(last) {
			longest = max(longest, w.acked.Sub(last))
			last = w.acked
		}
	}
	return max(longest, s.now.Sub(last))
}

func (s *sim) requirePass(t *testing.T) {
	t.Helper()
	if err := s.check(); err != nil {
		t.Fatal(err)
	}
}

func TestHealthyPrimaryIsNotDeposed(t *testing.T) {
	slow := func(s *sim) {
		for _, vm := range s.vms {
			vm.slow = map[string]time.Duration{"a": 200 * time.Millisecond}
		}
	}
	cases := []struct {
		name   string
		inject func(s *sim)
	}{
		{"one VM partitioned from the primary", func(s *sim) { s.group.Partition("vm2", "a") }},
		{"answers of the primary to one VM lost", func(s *sim) { s.group.DropTraffic("a", "vm2") }},
		{"domain of a replica partitioned", func(s *sim) { s.partitionDomain("d3") }},
		{"slow primary", slow},
		{"steward frozen", func(s *sim) { faultNamed("freeze_steward").inject(s, s.vms[0]) }},
		{"platform outage", func(s *sim) { s.platformDown = true }},
		{"VMs of two domains die", func(s *sim) { s.vms[0].kill(); s.vms[2].kill() }},
		{"primary stalls for less than DeposeAfter", func(s *sim) {
			s.group.Partition("a", "d1")
			s.group.Partition("a", "d2")
			s.group.Partition("a", "d3")
			s.after(240*time.Millisecond, s.group.Heal)
		}},
		{"stewards that pause repeatedly while another is partitioned from the primary", func(s *sim) {
			s.group.Partition("vm2", "a")
			for i := range 8 {
				s.after(time.Duration(i)*500*time.Millisecond, func() {
					s.vms[0].frozen, s.vms[2].frozen = true, true
					s.after(400*time.Millisecond, func() { s.vms[0].resume(); s.vms[2].resume() })
				})
			}
		}},
		{"both replicas die", func(s *sim) { s.group.SetDown("b", true); s.group.SetDown("c", true) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for seed := range int64(20) {
				s := newSim(seed, correct)
				s.after(simTrigger, func() { c.inject(s) })
				s.run(6 * time.Second)
				if p := s.record.promotions; len(p) > 0 {
					t.Fatalf("seed %d: promotions %+v", seed, p)
				}
			}
		})
	}
	t.Run("faulty variant: one domain's view", func(t *testing.T) {
		s := newSim(1, deposeOnOneView)
		s.after(simTrigger, func() { s.group.Partition("vm2", "a") })
		s.run(6 * time.Second)
		if len(s.record.promotions) == 0 {
			t.Fatal("the check does not detect a deposed healthy primary")
		}
	})
}

func TestStewardResumesAfterSuccessorPromoted(t *testing.T) {
	for _, state := range []string{stateFencing, statePromoting, stateFollowing} {
		for seed := range int64(20) {
			s := newSim(seed, correct)
			var paused *simVM
			s.injectOnEntry(state, func(vm *simVM) { paused, vm.frozen = vm, true })
			s.after(simTrigger, func() { s.group.SetDown("a", true) })
			s.run(4 * time.Second)
			if paused == nil || len(s.record.promotions) == 0 {
				t.Fatalf("%s seed %d: no successor", state, seed)
			}
			successor := s.record.promotions[len(s.record.promotions)-1]
			paused.resume()
			s.run(5 * time.Second)
			if last := s.record.promotions[len(s.record.promotions)-1]; last.term > successor.term {
				t.Fatalf("%s seed %d: resumed steward replaced %+v by %+v", state, seed, successor, last)
			}
			s.heal()
			s.run(8 * time.Second)
			s.requirePass(t)
		}
	}
}

func TestPartitionedPrimaryWithProxiesInItsDomain(t *testing.T) {
	for seed := range int64(20) {
		s := newSim(seed, correct)
		s.after(simTrigger, func() { s.partitionDomain("d1") })
		s.run(3 * time.Second)
		if len(s.record.promotions) == 0 {
			t.Fatalf("seed %d: no successor", seed)
		}
		partitionedAt := simStart.Add(simTrigger + 5*time.Millisecond)
		attempted := 0
		for _, w := range s.record.writes {
			if w.vm == "vm1" && w.instance == "a" && w.appended.After(partitionedAt) {
				attempted++
				if !w.acked.IsZero() {
					t.Fatalf("seed %d: write %s of the partitioned domain was acknowledged", seed, w.data)
				}
			}
		}
		if attempted == 0 {
			t.Fatalf("seed %d: the partitioned primary accepted no write", seed)
		}
		view := s.vms[0].tracker.Snapshot(s.now)
		if id, _, ok := view.Primary(); ok {
			t.Fatalf("seed %d: reads in the partitioned domain still go to %s", seed, id)
		}
		if at := view.ProvedAt(); at.After(partitionedAt) {
			t.Fatalf("seed %d: leader proof from %v, after the partition", seed, at)
		}
		if !s.group.Status("a").IsActivePrimary() {
			t.Fatalf("seed %d: the partitioned primary is no longer an active primary", seed)
		}
		s.heal()
		s.run(6 * time.Second)
		s.requirePass(t)
	}
}

func TestPlatformOutageDuringFailover(t *testing.T) {
	for seed := range int64(50) {
		s := newSim(seed, correct)
		s.after(simTrigger+400*time.Millisecond, func() { s.platformDown = true })
		s.after(simTrigger+500*time.Millisecond, func() { s.group.SetDown("a", true) })
		s.run(4 * time.Second)
		if len(s.record.promotions) == 0 {
			t.Fatalf("seed %d: no promotion with the platform down", seed)
		}
		if gap := s.longestWriteGap(simTrigger); gap > time.Second {
			t.Fatalf("seed %d: gap %v", seed, gap)
		}
		s.heal()
		s.run(7 * time.Second)
		s.requirePass(t)
	}
}

func TestTwoFailoversInARow(t *testing.T) {
	for seed := range int64(50) {
		s := newSim(seed, correct)
		s.after(simTrigger, func() { s.group.SetDown("a", true) })
		s.run(2500 * time.Millisecond)
		first := s.record.promotions[0]
		s.group.SetDown("a", false)
		s.run(3500 * time.Millisecond)
		s.group.SetDown(first.instance, true)
		s.run(5500 * time.Millisecond)
		second := s.record.promotions[len(s.record.promotions)-1]
		if second.term <= first.term || second.instance == first.instance {
			t.Fatalf("seed %d: %+v", seed, s.record.promotions)
		}
		s.heal()
		s.run(9 * time.Second)
		s.requirePass(t)
	}
}

// A session has a token for a position that only the failed primary reached. The new
// primary covers the token because of its higher term. An instance at the old term does not
// cover it if its log is shorter.
func TestTokenFromDiscardedTail(t *testing.T) {
	s := newSim(1, correct)
	s.run(simTrigger)
	s.group.SetDown("a", true)
	s.group.SetDown("a", false)
	s.group.SetLag("b", 1000)
	s.group.SetLag("c", 1000)
	var token position.Position
	for i := range 100 {
		p, err := s.group.Write("a", fmt.Sprintf("tail-%d", i))
		if err != nil {
			t.Fatal(err)
		}
		token = p
	}
	s.partitionDomain("d1")
	s.run(simTrigger + 100*time.Millisecond)
	s.group.SetLag("b", 0)
	s.group.SetLag("c", 0)
	s.run(2 * time.Second)
	next := s.record.promotions[len(s.record.promotions)-1].instance
	log := s.group.Status(next).Log
	if log.Offset >= token.Offset || !log.AtLeast(token) {
		t.Fatalf("new primary at %s does not cover token %s by its term", log, token)
	}
	if behind := (position.Position{Term: token.Term, Offset: token.Offset - 1}); behind.AtLeast(token) {
		t.Fatal("a position at the old term below the token covers it")
	}
	s.heal()
	s.run(5 * time.Second)
	if s.group.Holds("a", "tail-99") || !s.group.Status("a").Log.AtLeast(token) {
		t.Fatalf("a kept the discarded tail or does not cover the token: %+v", s.group.Status("a"))
	}
	s.requirePass(t)
}

func TestPlannedHandover(t *testing.T) {
	worst := time.Duration(0)
	for seed := range int64(100) {
		s := newSim(seed, correct)
		s.after(simTrigger, s.vms[0].ifCurrent(func() { s.vms[0].step(HandoverRequested{ID: 1, Target: "b"}) }))
		s.run(4 * time.Second)
		if err, ok := s.handovers[1]; !ok || err != nil {
			t.Fatalf("seed %d: %v, answered %v", seed, err, ok)
		}
		if p := s.record.promotions; len(p) != 1 || p[0].instance != "b" {
			t.Fatalf("seed %d: promotions %+v", seed, p)
		}
		for _, w := range s.record.writes {
			if w.acked.IsZero() && w.appended.Before(s.now.Add(-time.Second)) {
				t.Fatalf("seed %d: write %s was not acknowledged", seed, w.data)
			}
		}
		worst = max(worst, s.longestWriteGap(simTrigger))
		s.requirePass(t)
	}
	t.Logf("write gap of a planned switchover, 100 seeds, virtual time: worst %v", worst)
}

// The target of a switchover falls behind after it has caught up: its replication lags while
// writes are no longer held and a slow platform delays the claim.
func TestHandoverToReplicaThatFellBehind(t *testing.T) {
	run := func(seed int64, n variant) *sim {
		s := newSim(seed, n)
		s.onEnter = func(_ *simVM, chart, state string) (before, after func()) {
			if chart != HandoverChart || state != stateClaiming {
				return nil, nil
			}
			return func() {
				s.writesHeld, s.platformSlow = false, 700*time.Millisecond
				s.group.SetLag("b", 50)
			}, nil
		}
		s.after(simTrigger, s.vms[0].ifCurrent(func() { s.vms[0].step(HandoverRequested{ID: 1, Target: "b"}) }))
		s.run(3 * time.Second)
		s.heal()
		s.run(6 * time.Second)
		return s
	}
	for seed := range int64(20) {
		run(seed, correct).requirePass(t)
	}
	if s := run(1, promoteUncheckedTarget); s.check() == nil || len(s.record.safetyViolations) == 0 {
		t.Fatal("the check does not detect a target that lacks acknowledged writes")
	}
}

func TestWriteGapOfFailover(t *testing.T) {
	var total, worst time.Duration
	const seeds = 200
	for seed := range int64(seeds) {
		s := newSim(seed, correct)
		s.after(simTrigger, func() { s.group.SetDown("a", true) })
		s.run(4 * time.Second)
		gap := s.longestWriteGap(simTrigger - 100*time.Millisecond)
		total += gap
		worst = max(worst, gap)
	}
	t.Logf("write gap of a failover, %d seeds, virtual time: mean %v, worst %v", seeds, total/seeds, worst)
	if worst > 700*time.Millisecond {
		t.Fatalf("worst gap %v", worst)
	}
}
