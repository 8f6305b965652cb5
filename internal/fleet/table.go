package fleet

import (
	"math/rand"
	"time"

	"chicoryline/internal/services"
)

// Timing holds the intervals of a Table. Silence is counted only while the
// table's own process runs: a pause between two ticks counts as two intervals
// at most.
type Timing struct {
	Heartbeat time.Duration
	Suspect   time.Duration // silence until a watched member is suspect
	Dead      time.Duration // silence until it is dead
	List      time.Duration // between two reads of the platform's list
}

// Change is one change of a member's state or incarnation.
type Change struct {
	VM          services.VM
	Incarnation int64
	State       State
	Event       string
}

// Table is the decision code of the membership. One goroutine owns it; all its
// inputs are arguments.
type Table struct {
	timing Timing
	random *rand.Rand

	self Record
	// selfListed and selfListedLeaving repeat what the platform's list says of
	// this VM.
	selfListed        bool
	selfListedLeaving bool

	members map[string]*member // by VM id, without self
	keys    map[uint64]*member // by memberKey
	updates updateQueue

	activeTime       time.Duration // time that the process has run since the start
	lastTick         time.Time
	lastSync         time.Duration
	lastProbe        time.Duration
	listedAt         time.Duration
	listed           bool // the platform's list has been read
	syncFrom         string
	digestMismatches int  // exchanges in a row with another digest
	suppressSpread   bool // changes are not spread
	changes          []Change

	generation       uint64 // raised by every change that Members or the view can show
	view             []*member
	ordered          []*member // by VM id
	distant          []*member // called at times, outside the view
	viewGeneration   uint64    // generation of view, ordered and size
	size             int       // members that are not dead, with self
	digest           uint64
	digestGeneration uint64 // generation of digest
}

// member is what the table holds of one other VM. Times are in attended time.
type member struct {
	Record
	progressAt       time.Duration // last progress
	stateSince       time.Duration // start of the state
	watchedSince     time.Duration // start of its place in the view; negative: none
	lastExchange     time.Duration // last exchange of heartbeats
	progressWallTime time.Time
	callInFlight     bool
	// listed and listedLeaving repeat the platform's list. They are not passed
	// on, since the list may lag behind a restart.
	listed        bool
	listedLeaving bool
}

const (
	unwatched      = time.Duration(-1)
	neverExchanged = -time.Hour
)

// NewTable returns a table that knows only the VM itself. The incarnation is
// the start time of the process.
func NewTable(self services.VM, incarnation int64, timing Timing, random *rand.Rand, now time.Time) *Table {
	t := &Table{
		timing:     timing,
		random:     random,
		self:       Record{VM: self, Incarnation: incarnation, Sequence: 1, State: Alive},
		members:    map[string]*member{},
		keys:       map[uint64]*member{},
		lastTick:   now,
		lastSync:   neverExchanged,
		size:       1,
		generation: 1,
	}
	t.updates.add(self.ID)
	return t
}

// Self returns the record of the VM itself.
func (t *Table) Self() Record { return t.self }

// Leave marks the VM itself as leaving for the rest of its incarnation.
func (t *Table) Leave() {
	t.self.VM.Leaving, t.self.State = true, Leaving
	t.self.Sequence++
	t.updates.add(t.self.VM.ID)
	t.generation++
}

// Observe takes one record that another member sent.
func (t *Table) Observe(r Record, now time.Time) {
	if r.VM.ID == t.self.VM.ID {
		t.observeSelf(r)
		return
	}
	m := t.members[r.VM.ID]
	switch {
	case m == nil && r.State == Dead:
		return // nothing to bury
	case m == nil:
		m = t.add(r.VM)
		t.adoptIncarnation(m, r)
	case r.Incarnation < m.Incarnation:
		t.updates.add(m.VM.ID)
		return
	case r.Incarnation > m.Incarnation:
		t.adoptIncarnation(m, r)
		t.fire(m, eventRestarted)
	case r.VM.Leaving && !m.VM.Leaving:
		m.VM.Leaving = true
		if m.State != Dead {
			t.fire(m, eventLeaveAnnounced)
		}
	}
	t.applyState(m, r, now)
}

// observeSelf refutes what others hold of this VM. A higher incarnation than
// its own was left by a process that ran on a clock ahead of this one.
func (t *Table) observeSelf(r Record) {
	switch {
	case r.Incarnation > t.self.Incarnation:
		t.self.Incarnation = r.Incarnation + 1
		t.generation++
	case r.Incarnation == t.self.Incarnation && r.State != Suspect && r.State != Dead:
		t.self.Sequence = max(t.self.Sequence, r.Sequence)
		return
	case r.Incarnation == t.self.Incarnation:
		t.self.Sequence = max(t.self.Sequence, r.Sequence) + 1
	}
	t.updates.add(t.self.VM.ID)
}

func (t *Table) add(vm services.VM) *member {
	m := &member{Record: Record{VM: vm, State: Joining}, stateSince: t.activeTime, progressAt: t.activeTime, watchedSince: unwatched, lastExchange: neverExchanged}
	t.members[vm.ID] = m
	t.generation++
	return m
}

// adoptIncarnation takes over a new incarnation. Who else had its address before is gone.
func (t *Table) adoptIncarnation(m *member, r Record) {
	delete(t.keys, memberKey(m.VM.ID, m.Incarnation))
	m.VM, m.Incarnation, m.Sequence = r.VM, r.Incarnation, 0
	t.keys[memberKey(m.VM.ID, m.Incarnation)] = m
	for _, other := range t.members {
		if other != m && other.VM.Address == m.VM.Address && other.Incarnation != 0 && other.Incarnation < m.Incarnation {
			t.fire(other, eventReplaced)
		}
	}
}

// applyState takes the state that the record tells of the member's incarnation.
func (t *Table) applyState(m *member, r Record, now time.Time) {
	switch r.State {
	case Alive, Leaving:
		if r.Sequence > m.Sequence || m.State == Joining {
			t.recordProgress(m, r.Sequence, now)
			return
		}
		if m.State == Suspect || m.State == Dead {
			t.updates.add(m.VM.ID)
		}
	case Suspect, Dead:
		if r.Sequence < m.Sequence {
			t.updates.add(m.VM.ID)
			return
		}
		m.Sequence = r.Sequence
		if r.State == Suspect {
			t.fire(m, eventToldSuspect)
		} else {
			t.fire(m, eventToldDead)
		}
	}
}

func (t *Table) recordProgress(m *member, sequence uint64, now time.Time) {
	m.Sequence = max(m.Sequence, sequence)
	m.progressAt, m.progressWallTime = t.activeTime, now
	if m.VM.Leaving {
		t.fire(m, eventLeaveAnnounced)
		return
	}
	t.fire(m, eventHeard)
}

// ApplyVMList takes the platform's list of VMs.
func (t *Table) ApplyVMList(vms []services.VM) {
	t.listed, t.listedAt = true, t.activeTime
	for _, m := range t.members {
		m.listed = false
	}
	t.selfListed = false
	selfLeaving := false
	for _, vm := range vms {
		if vm.ID == t.self.VM.ID {
			t.selfListed, selfLeaving = true, vm.Leaving
			continue
		}
		t.applyListedVM(vm)
	}
	if selfLeaving != t.selfListedLeaving {
		t.selfListedLeaving = selfLeaving
		t.generation++
	}
	for _, m := range t.members {
		if !m.listed {
			t.setListedLeaving(m, false)
		}
	}
}

func (t *Table) applyListedVM(vm services.VM) {
	leaving := vm.Leaving
	vm.Leaving = false
	m := t.members[vm.ID]
	if m == nil {
		m = t.add(vm)
	}
	m.listed = true
	if m.Incarnation == 0 || m.State == Dead {
		m.VM.Address = vm.Address // heartbeats know better than the list
	}
	t.setListedLeaving(m, leaving)
}

func (t *Table) setListedLeaving(m *member, leaving bool) {
	if m.listedLeaving != leaving {
		m.listedLeaving = leaving
		t.generation++
	}
}
