// Package router decides where a request runs: at the confirmed primary, or at a replica
// that has reached the session's position and meets the requested maximum age. It sends
// the request to a pool owner, that is, a VM that holds a connection pool of that
// instance. It retries only if the error proves that nothing ran, or that nothing was
// changed because the request went to a replica.
package router

import (
	"time"

	"chicoryline/internal/pool"
	"chicoryline/internal/position"
)

// Request is one request of a client session.
type Request struct {
	Session  pool.SessionID
	Seq      uint64
	Group    string
	Customer string
	Weight   float64
	// Read is set if a replica may run the request.
	Read bool
	// WriteAllowed allows sending the request to the primary after a replica has
	// rejected it as a write.
	WriteAllowed bool
	// PrimaryOnly sends reads to the primary.
	PrimaryOnly bool
	// ReadOnly is set for a transaction that cannot change data.
	ReadOnly bool
	Current  bool
	Min      position.Position
	MaxAge   time.Duration
	// QueueTimeout is the admission deadline at the pool owner, measured from the
	// request's arrival there; 0 selects the owner's default.
	QueueTimeout time.Duration
	// MayCommit is set if the request can commit a transaction.
	MayCommit  bool
	ResetAfter bool
	Messages   []byte
	Statements []pool.Statement
	// OnTarget, if not nil, is called with each target before the request is sent.
	OnTarget func(Pin)
}

// Pin identifies the pool owner and the instance that hold a session's open transaction
// or unfinished answer.
type Pin struct {
	VM       string
	Address  string
	Instance string
	Primary  bool
}

// Result is the answer to a request, or its first part.
type Result struct {
	pool.ExecuteReply
	Pin Pin
}
