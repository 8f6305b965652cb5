// Package backend controls the backend servers (instances) of a database group: it
// reads their status and changes their role, fence and replication source. Commands are
// sent over the PostgreSQL protocol with the proxy's own credentials.
package backend

import (
	"context"
	"time"

	"chicoryline/internal/position"
)

// Role is the role of an instance in its group.
type Role string

// The two roles.
const (
	Primary Role = "primary"
	Replica Role = "replica"
)

// Status is the status that an instance reports.
type Status struct {
	// Instance is the instance's id.
	Instance string
	// Role is the role that the instance assumes it has; it may be outdated.
	Role Role
	// Fence is the highest term that the instance was fenced at or promoted to. The
	// instance accepts no log entries and acknowledges no writes of a lower term.
	Fence uint64
	// Log is the position of the instance's last log entry. Log.Term is the
	// term under which that entry was written.
	Log position.Position
	// Source is the id of the instance that it replicates from; empty for a primary.
	Source string
}

// IsActivePrimary reports whether the instance is a primary whose fence is the term of
// its last log entry, so that no higher term has fenced it off.
func (s Status) IsActivePrimary() bool { return s.Role == Primary && s.Fence == s.Log.Term }

// Confirms reports whether the instance counts towards a majority for a write at p: it
// holds the write in the same log term and has no higher fence.
func (s Status) Confirms(p position.Position) bool {
	return s.Fence <= p.Term && s.Log.Term == p.Term && s.Log.Offset >= p.Offset
}

// Control sends commands to one instance. Every command returns the resulting status.
// Errors: errkind.Unreachable if the command was certainly not executed,
// errkind.OutcomeUnknown if the answer was lost, errkind.Fenced if the instance has a
// higher fence. All commands are idempotent.
type Control interface {
	// Status reads the status.
	Status(ctx context.Context) (Status, error)
	// Wait returns when the instance confirms p or has a fence above p's term, or
	// after the timeout.
	Wait(ctx context.Context, p position.Position, timeout time.Duration) (Status, error)
	// Fence raises the fence to the term and stops replication of lower terms.
	// A primary of a lower term becomes a replica with no source.
	Fence(ctx context.Context, term uint64) (Status, error)
	// Promote makes the instance primary in the term, if its fence equals the term.
	// The first log entry of the term marks the promotion.
	Promote(ctx context.Context, term uint64) (Status, error)
	// Follow makes the instance replicate from the primary of the term. Log entries
	// that the primary does not hold are discarded.
	Follow(ctx context.Context, term uint64, primary string) (Status, error)
}

// Majority returns the size of a majority of n instances.
func Majority(n int) int { return n/2 + 1 }
