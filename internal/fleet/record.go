// Package fleet keeps the list of the system's VMs: who is alive, suspect,
// leaving or dead, and which of them own an instance.
//
// Evidence comes from the platform's lagging list and from heartbeats between
// the members. Each member raises a sequence number with every heartbeat
// interval; progress of that number, first hand or relayed, is the proof of
// life. A suspicion names the sequence at which the member fell silent, so any
// later sequence refutes it; before it suspects, a member asks those that it
// still hears. Up to MeshSize members exchange heartbeats with all others; a
// larger fleet uses a view of bounded degree and piggybacks changes on the
// heartbeats.
package fleet

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"chicoryline/internal/services"
)

// State is what one member holds of another.
type State uint8

// The states, as in the chart member.ini.
const (
	// Joining is a listed VM that has not been heard yet. Directory omits it.
	Joining State = iota
	// Alive is a member that makes progress.
	Alive
	// Suspect is a member that fell silent and may still refute it.
	Suspect
	// Leaving is a member in its planned stop. It owns nothing new.
	Leaving
	// Dead is a member that stayed silent, or whose address belongs to another VM.
	Dead
)

var stateNames = [...]string{"joining", "alive", "suspect", "leaving", "dead"}

// String returns the state as written in the chart and in logs.
func (s State) String() string { return stateNames[s] }

// Record is what members tell each other of one member. VM.Leaving stays set
// for the rest of an incarnation.
type Record struct {
	VM services.VM
	// Incarnation is the start time of the member's process in nanoseconds
	// since 1970; it is 0 for a VM known from the platform's list alone.
	Incarnation int64
	// Sequence is raised by the member alone, once a heartbeat interval.
	Sequence uint64
	State    State
}

// Counter relays the progress of one member to one that asked for it.
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
	// Digest is equal at members that hold the same incarnations and states.
	Digest uint64
	// Wanted are the keys of members that the sender has not heard for a while;
	// the reply's Counters answer them.
	Wanted   []uint64
	Counters []Counter
	Updates  []Record
}

// Member is one entry of a Directory.
type Member struct {
	VM          services.VM
	Incarnation int64
	State       State
	// LastProgress is the local time at which progress was last seen.
	LastProgress time.Time
}

// memberKey names one incarnation of a VM in counters.
func memberKey(id string, incarnation int64) uint64 {
	var number [8]byte
	binary.LittleEndian.PutUint64(number[:], uint64(incarnation))
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(id)
	_, _ = d.Write(number[:])
	return d.Sum64()
}
