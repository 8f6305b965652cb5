// Package leaderproof decides what the statuses of replicas prove about a primary that, once
// replaced, may continue to answer reads. It does no I/O, and times are passed in.
//
// Load pattern: a primary is partitioned from its replicas and from the steward, which pauses
// the replicas and has one of them promoted. The promotion ends the pause of a replica that
// receives nothing. That replica does not observe the new term, and its status is the same as
// that of a replica of a healthy primary without commits.
//
// A leader lease that starts at a moment states that no promotion without the primary takes
// effect before its duration has passed. The decision relies on the steward: it pauses every
// replica, waits for the duration of a lease, checks the pauses again, and then orders the
// promotion. So a promotion that ends a pause takes effect at least one duration after the
// pause began.
package leaderproof

import (
	"time"

	"chicoryline/internal/boottime"
	"chicoryline/internal/statement"
)

// Answer is the status of a replica, with the times at which the request was sent and the
// answer arrived.
type Answer struct {
	Status        statement.ServerStatus
	Sent, Arrived boottime.Time
}

// Finding is what the status of a replica shows about the primary of a term.
type Finding uint8

const (
	// Unknown: a primary change may be in progress.
	Unknown Finding = iota
	// Follows: the replica is in the term of the primary and not paused. A replica that was
	// released by a promotion it has not observed, or by a restart, is in the same state.
	Follows
	// Lost: another server is the primary of a later term.
	Lost
)

// Evaluate returns what the status of a replica by itself shows about the primary of the term.
func Evaluate(term uint64, replica statement.ServerStatus) Finding {
	switch {
	case replica.Term > term:
		return Lost
	case replica.PausedTerm > term || replica.Term < term || replica.Primary:
		return Unknown
	}
	return Follows
}

// Extend returns the start of the leader lease after an answer of a replica that follows the
// primary of the term. confirmedAt is the present start, 0 if there is none. earlier is the
// previous answer of the same replica, nil if there is none.
//
// A replica that received something from the primary since its earlier answer was not paused
// after that answer, so the lease starts at least when the earlier status was requested.
//
// An answer that arrives while the lease is valid extends it to the time of the request: the
// replica cannot have been paused and released by a promotion, which takes effect after the
// lease at the earliest. After the lease has expired the answer by itself proves nothing.
func Extend(lease time.Duration, term uint64, confirmedAt boottime.Time, earlier *Answer, answer Answer) boottime.Time {
	if Evaluate(term, answer.Status) != Follows {
		return confirmedAt
	}
	if earlier != nil && earlier.Arrived <= answer.Sent && hasReceived(term, earlier.Status, answer.Status) {
		confirmedAt = max(confirmedAt, earlier.Sent)
	}
	if confirmedAt != 0 && answer.Arrived < confirmedAt.Add(lease) {
		confirmedAt = max(confirmedAt, answer.Sent)
	}
	return confirmedAt
}

// hasReceived reports whether the replica received something from the primary of the term
// between two statuses: part of its log, or the term itself.
func hasReceived(term uint64, earlier, later statement.ServerStatus) bool {
	return earlier.Term < term || earlier.Term == term && later.Received.Compare(earlier.Received) > 0
}

// Establish returns the start of the leader lease after a status was requested from every
// other known server of the group, and whether there is one. The server that a steward would
// promote, or has promoted, is among them, and it does not follow the primary from its pause
// to the end of the next change.
func Establish(term uint64, servers int, answers []Answer) (boottime.Time, bool) {
	if servers == 0 || len(answers) < servers {
		return 0, false
	}
	start := answers[0].Sent
	for _, a := range answers {
		if Evaluate(term, a.Status) != Follows {
			return 0, false
		}
		start = min(start, a.Sent)
	}
	return start, true
}
