// Package router decides where a request runs: at the proved primary or at a
// replica that has reached the session's position and the stated age. It sends
// the request to a pool owner of that instance, and again elsewhere only when
// the refusal proves that nothing ran.
package router

import (
	"time"

	"chicoryline/internal/pool"
	"chicoryline/internal/position"
)

// Request is one request of a caller's session.
type Request struct {
	Session  pool.SessionID
	Seq      uint64
	Group    string
	Customer string
	Weight   float64
	// Read marks a request that a replica may run.
	Read bool
	// WriteAllowed lets a request that a replica refused as a write go to the
	// primary.
	WriteAllowed bool
	// PrimaryOnly sends reads to the primary.
	PrimaryOnly bool
	// ReadOnly marks a transaction that cannot change data.
	ReadOnly bool
	Current  bool
	Min      position.Position
	MaxAge   time.Duration
	// QueueTimeout is the admission deadline at the pool owner, counted from the
	// request's arrival there; 0 takes the owner's default.
	QueueTimeout time.Duration
	// MayCommit marks a request that can commit.
	MayCommit  bool
	ResetAfter bool
	Messages   []byte
	Statements []pool.Statement
	// OnTarget is told each place to which the request is sent.
	OnTarget func(Pin)
}

// Pin is where a session's open transaction or unfinished answer lives.
type Pin struct {
	VM       string
	Address  string
	Instance string
	Primary  bool
}

// Result is the answer of a request, or its first part.
type Result struct {
	pool.ExecuteReply
	Pin Pin
}
