package failover

import (
	"container/heap"
	"fmt"
	"math/rand"
	"slices"
	"time"

	"github.com/juju/errors"

	"chicoryline/internal/backend"
	"chicoryline/internal/errkind"
	"chicoryline/internal/position"
	"chicoryline/internal/services"
)

// The simulation runs three VMs, a database group and the platform table on one goroutine
// with a virtual clock. Runs with the same seed are identical.
const (
	simDelayMin       = time.Millisecond // one way
	simDelaySpread    = time.Millisecond
	simReplication    = 8 * time.Millisecond
	simWriteInterval  = 60 * time.Millisecond
	simPollInterval   = 12 * time.Millisecond
	simCommitTimeout  = 600 * time.Millisecond
	simProbeInterval  = 50 * time.Millisecond
	simProbeTimeout   = 250 * time.Millisecond
	simProofLifetime  = 500 * time.Millisecond
	simCommandTimeout = 100 * time.Millisecond
	simTableTimeout   = 400 * time.Millisecond
	simHold           = 3 * time.Second // after which pool owners end a hold by themselves
	simPlatform       = "platform"
)

// variant is the correct design or a faulty one that the checks must detect.
type variant uint8

const (
	correct variant = iota
	ackWithoutMajority
	leaseWithoutFencing
	promoteFirstReachable
	promoteUncheckedTarget
	deposeOnOneView
)

type simEvent struct {
	at    time.Time
	order int
	run   func()
}

type simQueue []*simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].order < q[j].order
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(*simEvent)) }
func (q *simQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// sim is one simulated run.
type sim struct {
	variant variant
	rand    *rand.Rand
	now     time.Time
	order   int
	queue   simQueue

	config services.Group
	group  *backend.FakeGroup
	ids    []string
	vms    []*simVM
	rows   map[string]services.Row

	platformDown bool
	platformSlow time.Duration
	loseAnswers  int // number of next table writes whose answers are lost
	answerDelay  time.Duration
	duplicate    bool
	writesHeld   bool
	ignoreHolds  bool
	holdCount    int

	onEnter   func(vm *simVM, chart, state string) (before, after func()) // called when a steward enters a state
	record    record
	handovers map[uint64]error
}

// record holds what the checks evaluate.
type record struct {
	writes             []*simWrite
	promotions         []promotion
	ackers             map[uint64]string // instance by term
	safetyViolations   []string
	livenessViolations []string // after the end of all faults
}

type simWrite struct {
	data     string
	instance string
	position position.Position
	appended time.Time
	acked    time.Time // zero if not acknowledged
	vm       string
}

type promotion struct {
	term     uint64
	instance string
	at       time.Time
}

var simStart = time.Unix(1_000_000, 0)

// newSim returns a run with one instance in each of three domains.
func newSim(seed int64, v variant) *sim { return newSimOf(testGroup(), seed, v) }

func newSimOf(group services.Group, seed int64, v variant) *sim {
	s := &sim{
		variant:   v,
		config:    group,
		rand:      rand.New(rand.NewSource(seed)),
		now:       simStart,
		group:     backend.NewFakeGroup(group.Instances),
		rows:      map[string]services.Row{},
		record:    record{ackers: map[uint64]string{}},
		handovers: map[uint64]error{},
	}
	for _, instance := range group.Instances {
		s.ids = append(s.ids, instance.ID)
	}
	for i := range 3 {
		s.addVM(fmt.Sprintf("vm%d", i+1), fmt.Sprintf("d%d", i+1), i)
	}
	s.group.Bootstrap("a")
	s.group.SetManualReplication(true)
	s.every(simReplication, func() {
		for _, id := range s.ids {
			s.group.Replicate(id)
		}
	})
	return s
}

func (s *sim) after(d time.Duration, run func()) {
	s.order++
	heap.Push(&s.queue, &simEvent{s.now.Add(d), s.order, run})
}

func (s *sim) every(d time.Duration, run func()) {
	s.after(d, func() { run(); s.every(d, run) })
}

// run processes the events until the given time since the start.
func (s *sim) run(until time.Duration) {
	end := simStart.Add(until)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		e := heap.Pop(&s.queue).(*simEvent)
		s.now = e.at
		e.run()
	}
	s.now = end
}

func (s *sim) networkDelay() time.Duration {
	return simDelayMin + time.Duration(s.rand.Int63n(int64(simDelaySpread)))
}

// send delivers a message after the network delay. It is lost if the sides are partitioned
// when it is sent or when it arrives.
func (s *sim) send(from, to string, arrive func()) {
	if !s.group.Connected(from, to) {
		return
	}
	s.after(s.networkDelay(), func() {
		if s.group.Connected(from, to) {
			arrive()
		}
	})
}

// answer delivers an answer, which may be delayed or repeated.
func (s *sim) answer(from, to string, arrive func()) {
	late := time.Duration(0)
	if s.answerDelay > 0 && s.rand.Intn(2) == 0 {
		late = s.answerDelay
	}
	s.after(late, func() { s.send(from, to, arrive) })
	if s.duplicate {
		s.after(time.Duration(s.rand.Int63n(int64(400*time.Millisecond))), func() { s.send(from, to, arrive) })
	}
}

// apply runs a command on an instance and records promotions.
func (s *sim) apply(id string, c backend.FakeCommand) (backend.Status, error) {
	before := s.group.Status(id)
	status, err := s.group.Apply(id, c)
	if err == nil && c.Op == backend.OpPromote && !(before.IsActivePrimary() && before.Fence == c.Term) {
		s.recordPromotion(id, c.Term)
	}
	return status, err
}

// canReachMajority reports whether a majority of the instances is not fenced above the
// term, so that writes of its primary could be acknowledged.
func (s *sim) canReachMajority(term uint64) bool {
	n := 0
	for _, id := range s.ids {
		if s.group.Status(id).Fence <= term {
			n++
		}
	}
	return n >= backend.Majority(len(s.ids))
}

func (s *sim) recordPromotion(id string, term uint64) {
	for _, p := range s.record.promotions {
		if p.term == term && p.instance != id {
			s.recordSafetyViolation("term %d promoted at %s and %s", term, p.instance, id)
		}
	}
	s.record.promotions = append(s.record.promotions, promotion{term, id, s.now})
	if s.variant != leaseWithoutFencing && !s.canReachMajority(term) {
		return // overtaken by a higher term: none of its writes can be acknowledged
	}
	for _, w := range s.record.writes {
		if !w.acked.IsZero() && w.position.Term < term && !s.group.Holds(id, w.data) {
			s.recordSafetyViolation("acknowledged write %s is not at %s, promoted at term %d", w.data, id, term)
		}
	}
}

func (s *sim) recordSafetyViolation(format string, args ...any) {
	s.record.safetyViolations = append(s.record.safetyViolations, s.now.Sub(simStart).String()+" "+fmt.Sprintf(format, args...))
}

func (s *sim) recordLivenessViolation(format string, args ...any) {
	s.record.livenessViolations = append(s.record.livenessViolations, fmt.Sprintf(format, args...))
}

// ack records an acknowledgement and checks it against all promotions.
func (s *sim) ack(w *simWrite) {
	w.acked = s.now
	if other, ok := s.record.ackers[w.position.Term]; ok && other != w.instance {
		s.recordSafetyViolation("%s and %s acknowledge at term %d", other, w.instance, w.position.Term)
	}
	s.record.ackers[w.position.Term] = w.instance
	for _, p := range s.record.promotions {
		if p.term <= w.position.Term {
			continue
		}
		if s.variant != leaseWithoutFencing && !s.canReachMajority(p.term) {
			continue
		}
		if w.appended.After(p.at) {
			s.recordSafetyViolation("former primary %s accepted %s after the promotion of %s and it was acknowledged", w.instance, w.data, p.instance)
		}
		if !s.group.Holds(p.instance, w.data) {
			s.recordSafetyViolation("write %s acknowledged but not at the later primary %s", w.data, p.instance)
		}
	}
}

// heal ends all faults.
func (s *sim) heal() {
	s.group.Heal()
	for _, id := range s.ids {
		s.group.SetDown(id, false)
		s.group.SetLag(id, 0)
	}
	s.platformDown, s.platformSlow, s.loseAnswers, s.answerDelay, s.duplicate, s.ignoreHolds = false, 0, 0, 0, false, false
	for _, vm := range s.vms {
		if vm.dead {
			vm.restart()
		}
		vm.resume()
	}
}

// check returns the violations found so far. It also requires that writes of every VM were
// acknowledged during the last second and that all instances follow one primary.
func (s *sim) check() error {
	recent := map[string]bool{}
	for _, w := range s.record.writes {
		if !w.acked.IsZero() && s.now.Sub(w.acked) < time.Second {
			recent[w.vm] = true
		}
	}
	for _, vm := range s.vms {
		if !recent[vm.id] {
			s.recordLivenessViolation("no write of %s was acknowledged in the last second", vm.id)
		}
	}
	s.checkGroup()
	found := append(slices.Clone(s.record.safetyViolations), s.record.livenessViolations...)
	if len(found) > 0 {
		return errors.Errorf("%d violations, first: %s", len(found), found[0])
	}
	return nil
}

func (s *sim) checkGroup() {
	var leader backend.Status
	for _, id := range s.ids {
		if status := s.group.Status(id); status.IsActivePrimary() && status.Fence > leader.Fence {
			leader = status
		}
	}
	for _, id := range s.ids {
		if status := s.group.Status(id); id != leader.Instance && (status.Source != leader.Instance || status.Fence != leader.Fence) {
			s.recordLivenessViolation("%s does not follow %s at the end: %+v", id, leader.Instance, status)
		}
	}
	for _, w := range s.record.writes {
		if !w.acked.IsZero() && !s.group.Holds(leader.Instance, w.data) {
			s.recordSafetyViolation("acknowledged write %s is lost at the end", w.data)
		}
	}
}

// callPlatform runs a call on the platform and passes on its row or error. Only the first
// answer counts. If none arrives in time, an error is passed on instead.
func (s *sim) callPlatform(vm *simVM, write bool, call func() (services.Row, error), answer func(services.Row, error)) {
	answered := false
	reply := func(row services.Row, err error) {
		vm.deliver(func() {
			if !answered {
				answered = true
				answer(row, err)
			}
		})
	}
	s.send(vm.id, simPlatform, func() {
		if s.platformDown {
			s.answer(simPlatform, vm.id, func() { reply(services.Row{}, errkind.New(errkind.PlatformUnavailable, "down")) })
			return
		}
		s.after(s.platformSlow, func() {
			row, err := call()
			if write && s.loseAnswers > 0 {
				s.loseAnswers--
				s.send(simPlatform, vm.id, func() { reply(services.Row{}, errkind.New(errkind.PlatformUnknown, "answer lost")) })
				return
			}
			s.answer(simPlatform, vm.id, func() { reply(row, err) })
		})
	})
	s.after(max(simTableTimeout, 2*s.platformSlow), func() {
		kind := errkind.PlatformUnavailable
		if write {
			kind = errkind.PlatformUnknown
		}
		reply(services.Row{}, errkind.New(kind, "no answer"))
	})
}
