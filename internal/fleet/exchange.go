package fleet

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxDigestMismatches is the number of consecutive exchanges with a differing digest
// after which a member requests all records. Changes that are still being gossiped
// cause fewer mismatches than that.
const maxDigestMismatches = 10

// Call is a heartbeat to send to the given VM.
type Call struct {
	VM      string
	Address string
	Args    Heartbeat
}

// Receive processes a heartbeat from another member and returns the reply.
func (t *Table) Receive(h Heartbeat, now time.Time) Heartbeat {
	t.merge(h, now)
	if m := t.members[h.From.VM.ID]; m != nil && m.Incarnation == h.From.Incarnation {
		m.lastExchange = t.activeTime
	}
	reply := t.newHeartbeat("")
	for _, key := range h.Wanted {
		if m := t.keys[key]; m != nil {
			reply.Counters = append(reply.Counters, Counter{Key: key, Sequence: m.Sequence})
		}
	}
	return reply
}

// HandleReply processes the reply to a heartbeat sent to the VM. A reply from a
// different VM shows that the address was reassigned to that VM.
func (t *Table) HandleReply(vm string, reply Heartbeat, now time.Time) {
	m := t.members[vm]
	t.merge(reply, now)
	if m == nil {
		return
	}
	m.callInFlight = false
	m.lastExchange = t.activeTime
	if reply.From.VM.ID != vm && reply.From.VM.Address == m.VM.Address {
		t.fire(m, eventReplaced)
	}
}

// HandleCallFailure records that the heartbeat to the VM failed.
func (t *Table) HandleCallFailure(vm string) {
	if m := t.members[vm]; m != nil {
		m.callInFlight = false
		m.lastExchange = t.activeTime // so that the other members of the view are called first
	}
}

// LeaveCalls returns heartbeats that announce the planned stop: to all members of a
// mesh, or else to the view and to random other members, up to the limit. It ignores
// whether another call to a member is in flight.
func (t *Table) LeaveCalls(limit int) []Call {
	chosen := t.view
	if !t.isMesh() {
		others := t.aliveUnwatchedMembers()
		t.random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
		chosen = append(slices.Clone(t.view), others[:min(len(others), max(0, limit-len(t.view)))]...)
	}
	calls := make([]Call, 0, len(chosen))
	for _, m := range chosen {
		calls = append(calls, t.newCall(m))
	}
	return calls
}

func (t *Table) aliveUnwatchedMembers() []*member {
	var list []*member
	for _, m := range t.ordered {
		if m.State == Alive && m.watchedSince < 0 {
			list = append(list, m)
		}
	}
	return list
}

// HasNoPeers reports whether no other member has been observed.
func (t *Table) HasNoPeers() bool { return len(t.keys) == 0 }

func (t *Table) newCall(m *member) Call {
	args := t.newHeartbeat(m.VM.ID)
	args.Wanted = t.wantedKeys()
	return Call{VM: m.VM.ID, Address: m.VM.Address, Args: args}
}

// wantedKeys returns the keys of the watched members that have been silent for at
// least half the suspicion timeout.
func (t *Table) wantedKeys() []uint64 {
	var keys []uint64
	for _, m := range t.view {
		if m.Incarnation != 0 && t.activeTime-max(m.progressAt, m.watchedSince) >= t.suspectAfter()/2 {
			keys = append(keys, memberKey(m.VM.ID, m.Incarnation))
		}
	}
	return keys
}

// Records returns all records of the table, for a full sync of another member.
func (t *Table) Records() []Record {
	records := []Record{t.self}
	for _, m := range t.members {
		if m.Incarnation != 0 {
			records = append(records, m.Record)
		}
	}
	return records
}

// ApplyRecords processes the reply to a Records call.
func (t *Table) ApplyRecords(records []Record, now time.Time) {
	t.suppressSpread = true // the member that sent the records gossips them already
	for _, r := range records {
		t.Observe(r, now)
	}
	t.suppressSpread = false
}

func (t *Table) merge(h Heartbeat, now time.Time) {
	t.Observe(h.From, now)
	for _, c := range h.Counters {
		if m := t.keys[c.Key]; m != nil && c.Sequence > m.Sequence {
			t.recordProgress(m, c.Sequence, now)
		}
	}
	for _, r := range h.Updates {
		t.Observe(r, now)
	}
	t.compareDigests(h)
}

// compareDigests requests all records of the sender after maxDigestMismatches
// consecutive mismatches, or on the first mismatch if the table has never synced.
func (t *Table) compareDigests(h Heartbeat) {
	if h.Digest == t.currentDigest() {
		t.digestMismatches = 0
		return
	}
	t.digestMismatches++
	if t.lastSync == never || t.digestMismatches >= maxDigestMismatches && t.activeTime-t.lastSync >= t.syncInterval() {
		t.syncFrom = h.From.VM.Address
	}
}

// syncInterval returns the minimum time between two full syncs. It is short while
// listed VMs have not been observed yet, as when a whole fleet starts.
func (t *Table) syncInterval() time.Duration {
	if !t.IsSettled() {
		return t.timing.List
	}
	return t.timing.List * time.Duration(t.platformIntervalFactor())
}

func (t *Table) newHeartbeat(to string) Heartbeat {
	h := Heartbeat{From: t.self, To: to, Digest: t.currentDigest()}
	for _, id := range t.updates.take(t.size) {
		if id == t.self.VM.ID {
			continue // already contained in From
		}
		if m := t.members[id]; m != nil && m.Incarnation != 0 {
			h.Updates = append(h.Updates, m.Record)
		}
	}
	return h
}

// currentDigest returns a hash of the members' incarnations and of whether they are
// leaving. Suspicions are left out because they are transient, and dead members
// because each member forgets them at a different time.
func (t *Table) currentDigest() uint64 {
	if t.digestGeneration != t.generation {
		t.digest, t.digestGeneration = t.computeDigest(), t.generation
	}
	return t.digest
}

func (t *Table) computeDigest() uint64 {
	sum := digestOf(t.self)
	for _, m := range t.members {
		if m.State != Joining && m.State != Dead {
			sum ^= digestOf(m.Record)
		}
	}
	return sum
}

func digestOf(r Record) uint64 {
	key := memberKey(r.VM.ID, r.Incarnation)
	if r.VM.Leaving {
		return key ^ xxhash.Sum64String("leaving")
	}
	return key
}
