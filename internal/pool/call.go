// Package pool owns connections to backend servers. Each backend server has at
// most a few pool owners among the VMs; entries send them whole requests over
// net/rpc. A connection belongs to one transaction from its first statement to
// its end, and is reused only when the server's status byte says idle and no
// part of an answer is left unread.
package pool

import (
	"time"

	"chicoryline/internal/position"
)

// SessionID names one caller connection over all VMs and restarts.
type SessionID struct {
	VM          string
	Incarnation int64
	Number      uint64
}

// Statement is a prepared statement that a request refers to. Name is derived
// from Query and Types, so that one name means the same on every connection.
type Statement struct {
	Name  string
	Query string
	Types []uint32
}

// ExecuteArgs is one request: all messages of a caller up to Query or Sync.
type ExecuteArgs struct {
	Session SessionID
	// Seq numbers the requests of the session from 1.
	Seq      uint64
	Group    string
	Instance string
	Customer string
	Weight   float64
	// Write asks for the proved primary.
	Write bool
	// ReadOnly marks a request that cannot change data at the instance.
	ReadOnly bool
	// Current asks for data no older than the call: the request waits for a
	// read index and, at a replica, until the replica has reached it.
	Current bool
	// Min is the position that the instance must have reached.
	Min position.Position
	// MaxAge is the stated age that is accepted when Current is false.
	MaxAge time.Duration
	// QueueTimeout is the admission deadline, counted from arrival.
	QueueTimeout time.Duration
	// WantView asks for the owner's view of the group along with the answer.
	WantView bool
	// Continue marks a request inside the session's open transaction.
	Continue bool
	// MayCommit marks a request that can end the open transaction with a commit.
	MayCommit bool
	// ResetAfter marks a request that leaves state on the connection.
	ResetAfter bool
	// Messages holds the encoded frontend messages.
	Messages []byte
	// Statements lists the prepared statements that Messages refers to and does
	// not parse itself.
	Statements []Statement
}

// ExecuteReply is the answer, or its first part.
type ExecuteReply struct {
	Session SessionID
	Seq     uint64
	// Answer holds encoded backend messages without ReadyForQuery.
	Answer []byte
	// More tells that Fetch has the next part.
	More bool
	// Status is the transaction status byte of ReadyForQuery; valid without More.
	Status byte
	// Position is that of the commit, if the request committed a write, or the
	// read index that the request waited for.
	Position position.Position
	// Committed tells that Position is that of a commit.
	Committed bool
	// View is the owner's view of the group, if it was asked for.
	View *ViewReply
}

// FetchArgs asks for the next part of an answer.
type FetchArgs struct {
	Session SessionID
	Seq     uint64
	// Part numbers the parts from 1; part 0 came with Execute.
	Part int
}

// SessionArgs names a session.
type SessionArgs struct {
	Session SessionID
	Group   string
	// Seq, if not zero, is the last request that an abort concerns. It leaves a
	// transaction alone that began with a later one.
	Seq uint64
}

// Empty is the reply of a call that returns nothing.
type Empty struct{}

// ViewArgs asks for an owner's view of a group.
type ViewArgs struct{ Group string }

// ViewReply is an owner's view of a group.
type ViewReply struct {
	// Primary is the id of the proved primary; empty if none.
	Primary string
	// Term is the primary's term.
	Term uint64
	// Replicas lists the replicas that answer.
	Replicas []ReplicaView
}

// ReplicaView is what an owner knows of one replica.
type ReplicaView struct {
	Instance string
	Log      position.Position
	// Age is an upper bound of the replica's age at the time of the reply.
	Age time.Duration
	// AgeKnown is false when no proved round has been reached by the replica.
	AgeKnown bool
}
