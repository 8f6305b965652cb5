package failover

import (
	"fmt"
	"math/rand"
	"time"

	"chicoryline/internal/backend"
	"chicoryline/internal/errkind"
	"chicoryline/internal/groupview"
	"chicoryline/internal/services"
)

// simVM is one simulated VM: its probes, its steward and a client that writes.
type simVM struct {
	sim         *sim
	id          string
	domain      string
	rank        int
	incarnation int // number of starts; work of earlier ones is dropped
	dead        bool
	frozen      bool
	unlisted    bool // not in the other VMs' lists
	inbox       []func()
	slow        map[string]time.Duration // additional delay of answers, by instance

	tracker  *groupview.Tracker
	sequence uint64
	steward  *Steward
	writes   int
}

func (s *sim) addVM(id, domain string, rank int) {
	vm := &simVM{sim: s, id: id, domain: domain, rank: rank}
	s.group.SetDomain(id, domain)
	s.vms = append(s.vms, vm)
	vm.restart()
}

// restart starts the VM with empty memory, like a new VM with the same ID.
func (vm *simVM) restart() {
	s := vm.sim
	vm.incarnation++
	vm.dead, vm.unlisted, vm.frozen, vm.inbox = false, false, false, nil
	vm.sequence = 0
	vm.tracker = groupview.NewTracker(s.config, simProofLifetime)
	vm.steward = NewSteward(StewardConfig{
		Group:       s.config,
		VM:          services.VM{ID: vm.id, Domain: vm.domain},
		Incarnation: fmt.Sprintf("%s-%d", vm.id, vm.incarnation),
		Settings:    DefaultSettings(),
		Now:         func() time.Time { return s.now },
		Rand:        rand.New(rand.NewSource(s.rand.Int63())),
	})
	vm.steward.policy = s.variant.policy(vm.steward.policy)
	for i := range s.ids {
		vm.probe(i)
	}
	vm.loop(TickInterval, func() { vm.step(vm.tick()) })
	vm.loop(simWriteInterval, vm.write)
}

// policy replaces the rule that the faulty variant leaves out.
func (n variant) policy(p policy) policy {
	switch n {
	case leaseWithoutFencing:
		p.fenceQuorum = func(int) int { return 1 }
	case promoteUncheckedTarget:
		p.choose = func(instances []services.Instance, leaving map[string]bool, fenced map[string]backend.Status, preferred string) string {
			if preferred != "" {
				return preferred
			}
			return choose(instances, leaving, fenced, "")
		}
	case promoteFirstReachable:
		p.choose = func(instances []services.Instance, _ map[string]bool, fenced map[string]backend.Status, _ string) string {
			for _, i := range instances {
				if _, ok := fenced[i.ID]; ok {
					return i.ID
				}
			}
			return ""
		}
	case deposeOnOneView:
		p.decide = func(views []DomainView, _ int, after time.Duration) decision { return decide(views[:1], 1, after) }
	}
	return p
}

// deliver runs work of the VM. A dead VM drops it and a frozen VM runs it when it resumes.
func (vm *simVM) deliver(run func()) {
	switch {
	case vm.dead:
	case vm.frozen:
		vm.inbox = append(vm.inbox, run)
	default:
		run()
	}
}

// ifCurrent returns a function that delivers the work unless the VM has been restarted
// since.
func (vm *simVM) ifCurrent(run func()) func() {
	boot := vm.incarnation
	return func() {
		if vm.incarnation == boot {
			vm.deliver(run)
		}
	}
}

func (vm *simVM) loop(d time.Duration, run func()) {
	vm.sim.after(d, vm.ifCurrent(func() { run(); vm.loop(d, run) }))
}

func (vm *simVM) kill() { vm.dead = true }

func (vm *simVM) resume() {
	vm.frozen = false
	inbox := vm.inbox
	vm.inbox = nil
	for _, run := range inbox {
		vm.deliver(run)
	}
}

// call sends a command to an instance and passes on its answer, or errkind.OutcomeUnknown
// after the timeout. Late and repeated answers are passed on too; the last argument of
// answer is true for the first one only.
func (vm *simVM) call(id string, c backend.FakeCommand, timeout time.Duration, answer func(backend.Status, error, bool)) {
	s := vm.sim
	first := true
	reply := func(status backend.Status, err error) func() {
		return vm.ifCurrent(func() {
			was := first
			first = false
			answer(status, err, was)
		})
	}
	s.send(vm.id, id, func() {
		status, err := s.apply(id, c)
		s.after(vm.slow[id], func() { s.answer(id, vm.id, reply(status, err)) })
	})
	s.after(timeout, vm.ifCurrent(func() {
		if first {
			reply(backend.Status{}, errkind.New(errkind.OutcomeUnknown, "no answer from %s", id))()
		}
	}))
}

// probe polls the status of one instance. Late and repeated answers are dropped, like those
// on a closed connection.
func (vm *simVM) probe(i int) {
	vm.sequence++
	report := groupview.Report{Sequence: vm.sequence, Sent: vm.sim.now}
	vm.call(vm.sim.ids[i], backend.FakeCommand{Op: backend.OpStatus}, simProbeTimeout, func(status backend.Status, err error, first bool) {
		if !first {
			return
		}
		if err != nil {
			vm.tracker.RecordFailure(i)
		} else {
			report.Status, report.Received = status, vm.sim.now
			vm.tracker.RecordReport(i, report)
		}
		wait := max(0, simProbeInterval-vm.sim.now.Sub(report.Sent))
		vm.sim.after(wait, vm.ifCurrent(func() { vm.probe(i) }))
	})
}

func (vm *simVM) tick() Tick {
	return Tick{View: vm.tracker.Snapshot(vm.sim.now), Domains: []string{"d1", "d2", "d3"}, Rank: vm.rank}
}

// step passes the event to the steward and carries out its effects. If a state is entered,
// the functions returned by onEnter run before and after its effects are carried out.
func (vm *simVM) step(e Event) {
	effects := vm.steward.Step(e)
	var injections []func()
	for _, e := range effects {
		chart, state := enteredState(e)
		if state == "" || vm.sim.onEnter == nil {
			continue
		}
		before, after := vm.sim.onEnter(vm, chart, state)
		if before != nil {
			before()
		}
		if after != nil {
			injections = append(injections, after)
		}
	}
	vm.ifCurrent(func() {
		for _, e := range effects {
			vm.execute(e)
		}
	})()
	for _, inject := range injections {
		inject()
	}
}

// enteredState returns the chart and the state that the effect reports as entered, if any.
func enteredState(e Effect) (chart, state string) {
	note, ok := e.(TimelineEvent)
	if !ok {
		return "", ""
	}
	if note.Kind == "handover_started" {
		return HandoverChart, stateDraining
	}
	return note.Fields["chart"], note.Fields["to"]
}

func (vm *simVM) execute(effect Effect) {
	s := vm.sim
	if vm.dead {
		return
	}
	switch e := effect.(type) {
	case AskViews:
		vm.askViews(e)
	case ReadRow:
		s.callPlatform(vm, false, func() (services.Row, error) {
			if row, ok := s.rows["g"]; ok {
				return row, nil
			}
			return services.Row{}, errkind.New(errkind.NotFound, "g")
		}, vm.rowAnswer(func(row services.Row, err error) Event { return RowRead{e.Call, row, err} }))
	case WriteRow:
		s.callPlatform(vm, true, func() (services.Row, error) {
			return compareAndSetRow(s.rows, "g", e.Version, e.Value, e.RequestID)
		}, vm.rowAnswer(func(row services.Row, err error) Event { return RowWritten{e.Call, row, err} }))
	case Command:
		ops := map[Op]backend.FakeOp{OpFence: backend.OpFence, OpPromote: backend.OpPromote, OpFollow: backend.OpFollow}
		command := backend.FakeCommand{Op: ops[e.Op], Term: e.Term, Primary: e.Primary}
		vm.call(e.Instance, command, simCommandTimeout, func(status backend.Status, err error, _ bool) {
			vm.step(CommandAnswered{e.Op, e.Instance, e.Term, status, err})
		})
	case Drain:
		s.hold()
		s.after(5*time.Millisecond, vm.ifCurrent(func() { vm.step(Drained{Attempt: e.Attempt}) }))
	case Release:
		s.writesHeld = false
	case HandoverDone:
		s.handovers[e.ID] = e.Err
	}
}

// rowAnswer returns a function that passes the table's answer to the steward unless the VM
// has been restarted since.
func (vm *simVM) rowAnswer(event func(services.Row, error) Event) func(services.Row, error) {
	boot := vm.incarnation
	return func(row services.Row, err error) {
		if vm.incarnation == boot {
			vm.step(event(row, err))
		}
	}
}

func (vm *simVM) askViews(e AskViews) {
	for _, other := range vm.sim.vms {
		if other.domain == vm.domain || other.unlisted {
			continue
		}
		vm.sim.send(vm.id, other.id, other.ifCurrent(func() {
			view := other.steward.DomainView()
			vm.sim.answer(other.id, vm.id, vm.ifCurrent(func() { vm.step(ViewReceived{e.Round, view}) }))
		}))
	}
}

// hold holds back writes until Release, or until the pool owners end the hold by themselves
// after simHold.
func (s *sim) hold() {
	s.writesHeld = !s.ignoreHolds
	s.holdCount++
	mine := s.holdCount
	s.after(simHold, func() {
		if s.holdCount == mine {
			s.writesHeld = false
		}
	})
}

// write sends one write to the primary that this VM sees and waits for its acknowledgement.
func (vm *simVM) write() {
	s := vm.sim
	id, _, ok := vm.tracker.Snapshot(s.now).Primary()
	if !ok || s.writesHeld {
		return
	}
	vm.writes++
	w := &simWrite{data: fmt.Sprintf("%s-%d-%d", vm.id, vm.incarnation, vm.writes), instance: id, vm: vm.id}
	s.send(vm.id, id, func() {
		p, err := s.group.Write(id, w.data)
		if err != nil {
			return
		}
		w.position, w.appended = p, s.now
		s.send(id, vm.id, vm.ifCurrent(func() { vm.confirm(w) }))
	})
}

// poll requests the status of an instance. The caller is not notified if the answer is
// lost.
func (vm *simVM) poll(id string, answer func(backend.Status)) {
	s := vm.sim
	s.send(vm.id, id, func() {
		status, err := s.apply(id, backend.FakeCommand{Op: backend.OpStatus})
		if err == nil {
			s.answer(id, vm.id, vm.ifCurrent(func() { answer(status) }))
		}
	})
}

// confirm acknowledges the write once a majority has it. The variants ackWithoutMajority
// and leaseWithoutFencing acknowledge it as soon as the primary has answered.
func (vm *simVM) confirm(w *simWrite) {
	s := vm.sim
	s.record.writes = append(s.record.writes, w)
	if s.variant == ackWithoutMajority || s.variant == leaseWithoutFencing {
		s.ack(w)
		return
	}
	tally := groupview.NewTally(w.position, len(s.ids))
	deadline := s.now.Add(simCommitTimeout)
	var poll func()
	poll = func() {
		if s.now.After(deadline) || tally.Outcome() != groupview.Pending {
			return
		}
		for i, id := range s.ids {
			vm.poll(id, func(status backend.Status) {
				if s.now.After(deadline) || !w.acked.IsZero() {
					return
				}
				if tally.Observe(i, status) && tally.Outcome() == groupview.Acknowledged {
					s.ack(w)
				}
			})
		}
		s.after(simPollInterval, vm.ifCurrent(poll))
	}
	poll()
}
