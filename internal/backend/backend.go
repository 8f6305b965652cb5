// Package backend speaks to the backend servers of a database group: the
// control commands that read and change an instance's place in its group, and
// the reading of an instance's status. Instance control goes over the
// PostgreSQL protocol with the proxy's own credentials.
package backend

import (
	"context"
	"time"

	"chicoryline/internal/position"
)

// Role is the part that an instance plays in its group.
type Role string

// The two roles.
const (
	Primary Role = "primary"
	Replica Role = "replica"
)

// Status is what an instance reports of itself.
type Status struct {
	// Instance is the instance's id.
	Instance string
	// Role is the part that the instance believes it plays.
	Role Role
	// Fence is the highest term that the instance has been fenced at or
	// promoted to. It takes no log entry and acknowledges no write of a lower
	// term.
	Fence uint64
	// Log is the position of the instance's last log entry. Log.Term is the
	// term under which that entry was written.
	Log position.Position
	// Source is the id of the instance it replicates from; empty at a primary.
	Source string
}

// IsActivePrimary reports whether the instance is a primary that no higher fence has replaced.
func (s Status) IsActivePrimary() bool { return s.Role == Primary && s.Fence == s.Log.Term }

// Confirms reports whether the status counts towards a majority for a write at
// p: the instance holds it in the same log term, and no higher fence stands.
func (s Status) Confirms(p position.Position) bool {
	return s.Fence <= p.Term && s.Log.Term == p.Term && s.Log.Offset >= p.Offset
}

// Control commands one instance. Every command returns the status after it.
// Errors: errkind.Unreachable when it surely was not carried out,
// errkind.OutcomeUnknown when the answer was lost, errkind.Fenced when a higher
// term stands. All commands are idempotent.
type Control interface {
	// Status reads the status.
	Status(ctx context.Context) (Status, error)
	// Wait returns when the instance confirms p or a higher fence stands, and
	// after the timeout in any case.
	Wait(ctx context.Context, p position.Position, timeout time.Duration) (Status, error)
	// Fence raises the fence to the term and stops replication of lower terms.
	// A primary of a lower term becomes a replica with no source.
	Fence(ctx context.Context, term uint64) (Status, error)
	// Promote makes the instance primary at the term, if its fence is exactly
	// the term. Its first log entry of the term marks the promotion.
	Promote(ctx context.Context, term uint64) (Status, error)
	// Follow makes the instance replicate from the named primary of the term.
	// A tail of the log that the primary does not hold is discarded.
	Follow(ctx context.Context, term uint64, primary string) (Status, error)
}

// Majority returns the number of instances that make a majority of n.
func Majority(n int) int { return n/2 + 1 }
