package failover

import (
	"slices"
	"time"
)

// simFreeze is longer than any failover by another steward.
const simFreeze = 2 * time.Second

// fault is a fault that can be injected into a run. vm is the VM whose steward entered the
// cell's state.
type fault struct {
	name   string
	inject func(s *sim, vm *simVM)
}

// others returns all VMs except vm.
func (s *sim) others(vm *simVM) []*simVM {
	var list []*simVM
	for _, o := range s.vms {
		if o != vm {
			list = append(list, o)
		}
	}
	return list
}

// partitionDomain partitions the domain from the other domains, but not from the platform.
func (s *sim) partitionDomain(domain string) {
	for _, other := range []string{"d1", "d2", "d3"} {
		if other != domain {
			s.group.Partition(domain, other)
		}
	}
}

// faults are the faults of the matrix. Instance a, in domain d1, is the first primary.
var faults = []fault{
	{"kill_steward", func(_ *sim, vm *simVM) { vm.kill() }},
	{"freeze_steward", func(s *sim, vm *simVM) {
		vm.frozen = true
		s.after(simFreeze, vm.resume)
	}},
	{"cut_from_instance", func(s *sim, vm *simVM) { s.group.DropTraffic("b", vm.id) }},
	{"cut_to_instance", func(s *sim, vm *simVM) { s.group.DropTraffic(vm.id, "c") }},
	{"cut_instance", func(s *sim, vm *simVM) { s.group.Partition(vm.id, "b") }},
	{"cut_own_domain", func(s *sim, vm *simVM) { s.partitionDomain(vm.domain) }},
	{"cut_primary_domain", func(s *sim, _ *simVM) {
		s.group.SetDown("a", false)
		s.partitionDomain("d1")
	}},
	{"cut_platform", func(s *sim, vm *simVM) { s.group.Partition(vm.id, simPlatform) }},
	{"platform_outage", func(s *sim, _ *simVM) { s.platformDown = true }},
	{"platform_slow", func(s *sim, _ *simVM) { s.platformSlow = 700 * time.Millisecond }},
	{"platform_answer_lost", func(s *sim, _ *simVM) { s.loseAnswers += 2 }},
	{"replica_behind", func(s *sim, _ *simVM) { s.group.SetLag("b", 50) }},
	{"late_answers", func(s *sim, _ *simVM) { s.answerDelay = 300 * time.Millisecond }},
	{"repeated_answers", func(s *sim, _ *simVM) { s.duplicate = true }},
	{"second_steward", func(s *sim, vm *simVM) {
		for _, other := range s.others(vm) {
			other.forceClaim()
		}
	}},
	{"vm_list_lag", func(s *sim, vm *simVM) {
		other := s.others(vm)[1]
		other.restart()
		other.unlisted = true
	}},
	{"primary_returns", func(s *sim, _ *simVM) { s.group.SetDown("a", false) }},
	{"second_instance_dies", func(s *sim, _ *simVM) { s.group.SetDown("b", true) }},
}

// writesNotHeld: the pool owners never start the hold, or end it early.
const writesNotHeld = "writes_not_held"

// handoverFaults are injected into switchovers only.
var handoverFaults = []fault{
	{writesNotHeld, func(s *sim, _ *simVM) { s.writesHeld, s.ignoreHolds = false, true }},
}

// faultNames returns the names of the faults in the chart's matrix.
func faultNames(chart string) []string {
	var names []string
	for _, f := range faults {
		names = append(names, f.name)
	}
	if chart == HandoverChart {
		for _, f := range handoverFaults {
			names = append(names, f.name)
		}
	}
	return names
}

func faultNamed(name string) fault {
	for _, f := range append(slices.Clone(faults), handoverFaults...) {
		if f.name == name {
			return f
		}
	}
	panic("no fault " + name)
}

// forceClaim makes the VM's steward claim a term at once, as if enough domains had agreed
// to depose the primary.
func (vm *simVM) forceClaim() {
	vm.ifCurrent(func() {
		chart, state := vm.steward.State()
		if chart != FailoverChart || state != stateWatching && state != stateSuspect {
			return
		}
		vm.steward.chart = failoverAt(stateConfirming)
		vm.steward.observed.silenceStart = vm.sim.now.Add(-time.Second)
		vm.steward.effects = nil
		vm.steward.fire(eventViewsAgree)
		for _, e := range vm.steward.effects {
			vm.execute(e)
		}
	})()
}
