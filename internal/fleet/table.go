package fleet

import (
	"math/rand"
	"time"

	"chicoryline/internal/services"
)

// Timing holds the intervals and timeouts of a Table. Silence is counted only while the
// process itself runs: a pause between two ticks counts as at most two heartbeat
// intervals.
type Timing struct {
	Heartbeat time.Duration
	Suspect   time.Duration // silence after which a watched member is suspect
	Dead      time.Duration // silence after which it is dead
	List      time.Duration // time between two reads of the platform's list
}

// Change is one change of a member's state or incarnation, for logging.
type Change struct {
	VM          services.VM
	Incarnation int64
	State       State
	Event       string
}

// Table holds the known members and implements the membership protocol without I/O: all
// inputs, including the time, are arguments. It is not safe for concurrent use.
type Table struct {
	timing Timing
	random *rand.Rand

	self Record
	// selfListed and selfListedLeaving hold this VM's entry in the platform's list.
	selfListed        bool
	selfListedLeaving bool

	members map[string]*member // by VM id, excluding self
	keys    map[uint64]*member // by memberKey
	updates updateQueue

	activeTime       time.Duration // running time since the start, without pauses of the process
	lastTick         time.Time
	lastSync         time.Duration
	lastProbe        time.Duration
	listedAt         time.Duration
	listed           bool // the platform's list has been read
	syncFrom         string
	digestMismatches int  // consecutive exchanges with a differing digest
	suppressSpread   bool // changes are not queued for gossip
	changes          []Change

	generation       uint64 // incremented by every change that affects Members or the view
	view             []*member
	ordered          []*member // by VM id
	distant          []*member // members outside the view that are called occasionally
	viewGeneration   uint64    // generation of view, ordered and size
	size             int       // members that are not dead, including self
	digest           uint64
	digestGeneration uint64 // generation of digest
}

// member is the table's entry for one other VM. Durations are values of
// Table.activeTime.
type member struct {
	Record
	progressAt       time.Duration // last increase of the sequence
	stateSince       time.Duration // when the member entered its state
	watchedSince     time.Duration // when it entered the view; negative if not in the view
	lastExchange     time.Duration // last heartbeat exchange, or failed attempt
	progressWallTime time.Time
	callInFlight     bool
	// listed and listedLeaving hold the member's entry in the platform's list. They are
	// not gossiped, because the list may lag behind a restart.
	listed        bool
	listedLeaving bool
}

// Values of times in Table.activeTime.
const (
	unwatched = time.Duration(-1) // member is not in the view
	never     = -time.Hour        // event has not happened yet
)

// NewTable returns a table that contains only the local VM. The incarnation is the start
// time of the process.
func NewTable(self services.VM, incarnation int64, timing Timing, random *rand.Rand, now time.Time) *Table {
	t := &Table{
		timing:     timing,
		random:     random,
		self:       Record{VM: self, Incarnation: incarnation, Sequence: 1, State: Alive},
		members:    map[string]*member{},
		keys:       map[uint64]*member{},
		lastTick:   now,
		lastSync:   never,
		size:       1,
		generation: 1,
	}
	t.updates.add(self.ID)
	return t
}

// Self returns the record of the local VM.
func (t *Table) Self() Record { return t.self }

// Leave marks the local VM as leaving for the rest of its incarnation.
func (t *Table) Leave() {
	t.self.VM.Leaving, t.self.State = true, Leaving
	t.self.Sequence++
	t.updates.add(t.self.VM.ID)
	t.generation++
}

// Observe applies one record that another member sent.
func (t *Table) Observe(r Record, now time.Time) {
	if r.VM.ID == t.self.VM.ID {
		t.observeSelf(r)
		return
	}
	m := t.members[r.VM.ID]
	switch {
	case m == nil && r.State == Dead:
		return // a dead member that is unknown here needs no entry
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

// observeSelf refutes outdated or wrong records of the local VM. An incarnation higher
// than its own comes from an earlier process whose clock was ahead of this one's.
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
	m := &member{Record: Record{VM: vm, State: Joining}, stateSince: t.activeTime, progressAt: t.activeTime, watchedSince: unwatched, lastExchange: never}
	t.members[vm.ID] = m
	t.generation++
	return m
}

// adoptIncarnation sets a new incarnation of the member. Members that had its address
// with an older incarnation have been replaced.
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

// applyState applies the record's state to the same incarnation of the member. If the
// record is outdated, it queues the member's current record for gossip.
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

// ApplyVMList processes the platform's list of VMs.
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
		m.VM.Address = vm.Address // otherwise the address from heartbeats is more current
	}
	t.setListedLeaving(m, leaving)
}

func (t *Table) setListedLeaving(m *member, leaving bool) {
	if m.listedLeaving != leaving {
		m.listedLeaving = leaving
		t.generation++
	}
}
