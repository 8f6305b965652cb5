package failover

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestRandomFaults covers interleavings that the matrix does not: up to six faults at
// random times, with and without a planned switchover and terms reserved in advance, in
// groups of three and five instances. The seed of the random search is fixed.
func TestRandomFaults(t *testing.T) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			if err := flag.Set(name, value); err != nil {
				t.Fatal(err)
			}
		}
	}
	const horizon = 3000 // milliseconds in which faults are injected
	rapid.Check(t, func(t *rapid.T) {
		group := testGroup()
		if rapid.Bool().Draw(t, "five instances") {
			group = largeGroup()
		}
		s := newSimOf(group, rapid.Int64Range(0, 1<<40).Draw(t, "seed"), correct)
		if rapid.Bool().Draw(t, "nothing reserved") {
			for _, vm := range s.vms {
				vm.steward.config.Settings.TermBlockSize = 1
			}
		}
		randomTime := func(label string) time.Duration {
			return simTrigger + time.Duration(rapid.IntRange(0, horizon).Draw(t, label))*time.Millisecond
		}
		s.after(randomTime("primary dies at"), func() { s.group.SetDown("a", true) })
		for range rapid.IntRange(1, 6).Draw(t, "faults") {
			f := rapid.SampledFrom(append(faults, handoverFaults...)).Draw(t, "fault").inject
			vm := s.vms[rapid.IntRange(0, len(s.vms)-1).Draw(t, "vm")]
			s.after(randomTime("at"), func() { f(s, vm) })
		}
		if rapid.Bool().Draw(t, "switchover") {
			vm := s.vms[rapid.IntRange(0, len(s.vms)-1).Draw(t, "by")]
			s.after(randomTime("switchover at"), vm.ifCurrent(func() { vm.step(HandoverRequested{ID: 1}) }))
		}
		s.run(simTrigger + horizon*time.Millisecond + simFreeze + 500*time.Millisecond)
		s.heal()
		s.run(simTrigger + horizon*time.Millisecond + simFreeze + 500*time.Millisecond + 2*simRecovery)
		if err := s.check(); err != nil {
			t.Fatal(err)
		}
	})
}
