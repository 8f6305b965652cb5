// Package fleet implements the membership of the system's VMs: which are alive,
// suspect, leaving or dead, and which of them own a backend server (instance).
//
// Its inputs are the platform's list of VMs, which lags, and heartbeats between the
// members. Each member increments a sequence number once per heartbeat interval; a
// member is alive as long as others observe the number increase, directly or relayed
// by a third member. A suspicion carries the last sequence observed, so any higher
// sequence refutes it. Before suspecting a member, a VM asks the members it can reach
// for a newer sequence. In a fleet of up to MeshSize members, each exchanges heartbeats
// with all others; in a larger one, each has a view of bounded size, and changes are
// gossiped on the heartbeats.
package fleet

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"chicoryline/internal/services"
)

// State is the state of a member as another member sees it.
type State uint8

// The states, as in the chart member.ini.
const (
	// Joining is a listed VM that has not been observed yet. Directory omits it.
	Joining State = iota
	// Alive is a member whose sequence number increases.
	Alive
	// Suspect is a member that has been silent for the suspicion timeout and may still
	// refute the suspicion.
	Suspect
	// Leaving is a member in its planned stop. It becomes the owner of no instance.
	Leaving
	// Dead is a member that did not refute a suspicion in time, or whose address now
	// belongs to another VM.
	Dead
)

var stateNames = [...]string{"joining", "alive", "suspect", "leaving", "dead"}

// String returns the state as written in the chart and in logs.
func (s State) String() string { return stateNames[s] }

// Record is the state of one member as gossiped between members. VM.Leaving stays set
// for the rest of an incarnation.
type Record struct {
	VM services.VM
	// Incarnation is the start time of the member's process in nanoseconds
	// since 1970; it is 0 for a VM known only from the platform's list.
	Incarnation int64
	// Sequence is incremented by the member itself once per heartbeat interval.
	Sequence uint64
	State    State
}

// Counter relays the last known sequence of a member to a VM that requested it.
type Counter struct {
	// Key is memberKey of the member.
	Key      uint64
	Sequence uint64
}

// Heartbeat is the argument and the reply of the service method Heartbeat.
type Heartbeat struct {
	From Record
	// To is the id of the VM that the sender expects at the address; empty in
	// a reply.
	To string
	// Digest is a hash of the sender's member table; see Table.currentDigest. Members
	// with the same table have the same digest.
	Digest uint64
	// Wanted holds the keys of members that the sender has not received progress of for
	// a while; the reply contains their Counters.
	Wanted   []uint64
	Counters []Counter
	Updates  []Record
}

// Member is one entry of a Directory.
type Member struct {
	VM          services.VM
	Incarnation int64
	State       State
	// LastProgress is the local time at which the sequence was last seen to increase.
	LastProgress time.Time
}

// memberKey returns a hash that identifies one incarnation of a VM.
func memberKey(id string, incarnation int64) uint64 {
	var number [8]byte
	binary.LittleEndian.PutUint64(number[:], uint64(incarnation))
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(id)
	_, _ = d.Write(number[:])
	return d.Sum64()
}
