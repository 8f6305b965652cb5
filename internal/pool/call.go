// Package pool manages connections to backend servers. For each backend server
// (also called instance) a few VMs are pool owners: only they hold connections
// to it. The VM that a caller is connected to (the entry) sends whole requests to
// a pool owner over net/rpc. A connection belongs to one transaction from its
// first statement to its end. It is reused only if the server reports the
// transaction status idle and the last answer was read completely.
package pool

import (
	"time"

	"chicoryline/internal/position"
)

// SessionID identifies a caller connection uniquely across VMs and restarts.
type SessionID struct {
	VM          string
	Incarnation int64
	Number      uint64
}

// Statement is a prepared statement that a request refers to. Name is derived
// from Query and Types, so a name means the same statement on every connection.
type Statement struct {
	Name  string
	Query string
	Types []uint32
}

// ExecuteArgs is one request: the caller's messages up to and including a Query
// or Sync.
type ExecuteArgs struct {
	Session SessionID
	// Seq numbers the requests of the session from 1.
	Seq      uint64
	Group    string
	Instance string
	Customer string
	Weight   float64
	// Write requires the confirmed primary, see GroupWatcher.Primary.
	Write bool
	// ReadOnly marks a request that can't change data.
	ReadOnly bool
	// Current requests data at least as recent as the call: the request waits for
	// a read index and, at a replica, until the replica has reached it.
	Current bool
	// Min is the minimum log position that the instance must have reached.
	Min position.Position
	// MaxAge is the maximum staleness that is accepted when Current is false.
	MaxAge time.Duration
	// QueueTimeout bounds the time in the queues, counted from arrival.
	QueueTimeout time.Duration
	// WantView requests the owner's view of the group along with the answer.
	WantView bool
	// Continue marks a request inside the session's open transaction.
	Continue bool
	// MayCommit marks a request that can end the open transaction with a commit.
	MayCommit bool
	// ResetAfter marks a request that leaves state on the connection.
	ResetAfter bool
	// Messages holds the encoded frontend messages.
	Messages []byte
	// Statements lists the prepared statements that Messages uses without a Parse
	// message for them.
	Statements []Statement
}

// ExecuteReply is the answer, or its first part.
type ExecuteReply struct {
	Session SessionID
	Seq     uint64
	// Answer holds encoded backend messages without ReadyForQuery.
	Answer []byte
	// More is true if Fetch returns another part.
	More bool
	// Status is the transaction status byte of ReadyForQuery; valid without More.
	Status byte
	// Position is the log position of the commit, if the request committed a
	// write, or else the read index that the request waited for.
	Position position.Position
	// Committed is true if Position is that of a commit.
	Committed bool
	// View is the owner's view of the group, if WantView was set.
	View *ViewReply
}

// FetchArgs requests the next part of an answer.
type FetchArgs struct {
	Session SessionID
	Seq     uint64
	// Part numbers the parts from 1; part 0 came with Execute.
	Part int
}

// SessionArgs identifies a session.
type SessionArgs struct {
	Session SessionID
	Group   string
	// Seq, if not zero, is the last request that an abort applies to. A
	// transaction that began with a later request is not aborted.
	Seq uint64
}

// Empty is the reply of a call that returns nothing.
type Empty struct{}

// ViewArgs requests an owner's view of a group.
type ViewArgs struct{ Group string }

// ViewReply is an owner's view of a group.
type ViewReply struct {
	// Primary is the id of the confirmed primary; empty if none.
	Primary string
	// Term is the primary's term.
	Term uint64
	// Replicas lists the reachable replicas.
	Replicas []ReplicaView
}

// ReplicaView is the state of one replica as an owner sees it.
type ReplicaView struct {
	Instance string
	Log      position.Position
	// Age is an upper bound of the replica's staleness at the time of the reply.
	Age time.Duration
	// AgeKnown is false if the replica has not reached any position of a confirmed
	// primary yet.
	AgeKnown bool
}
