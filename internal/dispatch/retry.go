package dispatch

import (
	"time"

	"chicoryline/internal/admission"
	"chicoryline/internal/backoff"
	"chicoryline/internal/boottime"
	"chicoryline/internal/errkind"
)

const (
	// firstWrongServerPause and maxWrongServerPause bound how long a server is not asked after
	// another one answered at its address: the delay with which entries are applied, and the
	// time that a server may take to publish one after a promotion.
	firstWrongServerPause = 250 * time.Millisecond
	maxWrongServerPause   = 3 * time.Second
	// maxPrimaryPollInterval bounds the doubled primaryPollInterval: promotions take 300 to
	// 600 ms.
	maxPrimaryPollInterval = 160 * time.Millisecond
	// fullMemory is how long a server counts as full after it rejected a statement: several
	// times the 0.2 s in which it works off a full queue.
	fullMemory = time.Second
)

// attempts is what a call has learned from its attempts.
type attempts struct {
	// refusedBy holds the servers that could not be reached or broke the connection.
	refusedBy []*Server
	// busy reports that a server rejected the statement because it was full.
	busy bool
	// fullServers holds the servers that had no room for the statement, or that could not be asked
	// for that reason.
	fullServers []*Server
	// firstRefused is when the call was first refused if it returned as it was told.
	firstRefused boottime.Time
}

// noteRefusedBy records the error of an attempt that the server did not answer. The connection
// set bounds how often a server is asked that accepts no more connections.
func (a *attempts) noteRefusedBy(s *Server, err error) {
	switch errkind.KindOf(err) {
	case errkind.Unreachable, errkind.AnswerIncomplete:
	case errkind.WrongServer:
		s.noteWrongServer()
	default:
		return
	}
	if !contains(a.refusedBy, s) {
		a.refusedBy = append(a.refusedBy, s)
	}
}

// noteAnswer records the error that a server answered.
func (a *attempts) noteAnswer(err error) { a.busy = a.busy || errkind.Is(err, errkind.QueueFull) }

// noteFull records the error of an attempt if it says that the server has no room.
func (a *attempts) noteFull(s *Server, err error) {
	if s != nil && (isOverloaded(err) || errkind.Is(err, errkind.ConnectionLimit)) && !contains(a.fullServers, s) {
		a.fullServers = append(a.fullServers, s)
	}
}

// mayAsk reports whether the call may be sent to the server. Another attempt at a server that
// refused the call, and an attempt after a full server at one that was recently full as well,
// need the server's retry budget.
func (a *attempts) mayAsk(s *Server) bool {
	now := boottime.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	wasFull := s.retry.lastFull != 0 && now.Sub(s.retry.lastFull) < fullMemory
	if !contains(a.refusedBy, s) && !(a.busy && wasFull) {
		return true
	}
	return s.retry.budget.Take(now)
}

// retryState is what bounds the retries at a server. The mutex of the server guards it.
type retryState struct {
	budget admission.RetryBudget
	// lastFull is when the server last rejected a statement because it was full.
	lastFull boottime.Time
	// wrongServer is the pause after another server answered at the address, notYetPrimary
	// that after a promoted server answered that it does not lead yet.
	wrongServer   backoff.Backoff
	notYetPrimary backoff.Backoff
}

func newRetryState() retryState {
	return retryState{
		wrongServer:   backoff.Backoff{First: firstWrongServerPause, Max: maxWrongServerPause},
		notYetPrimary: backoff.Backoff{First: primaryPollInterval, Max: maxPrimaryPollInterval},
	}
}

// noteEntry ends the pauses that a changed discovery entry makes needless.
func (r *retryState) noteEntry(old, entry ServerInfo) {
	if entry.Version != old.Version {
		r.wrongServer.Reset()
	}
	if entry.Primary && !old.Primary {
		r.notYetPrimary.Reset()
	}
}

// noteWrongServer records that another server answered at the address.
func (s *Server) noteWrongServer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retry.wrongServer.Fail(boottime.Now())
}

// pauseUntilPrimary keeps a promoted server that does not lead yet from being asked for a while.
func (s *Server) pauseUntilPrimary() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retry.notYetPrimary.Fail(boottime.Now())
}

// promotionOrdered starts the pauses of pauseUntilPrimary anew.
func (s *Server) promotionOrdered() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retry.notYetPrimary.Reset()
}

// isUnusable reports whether the server failed recently or another one answered at its address.
// The mutex is held.
func (s *Server) isUnusable(now boottime.Time) bool {
	return now < s.avoidUntil || s.retry.wrongServer.Active(now)
}

// endPauses records that the server answered. The mutex is held.
func (s *Server) endPauses() {
	s.failures, s.avoidUntil = 0, 0
	s.retry.wrongServer.Reset()
}

// RetriesWithheld returns the number of own retries at the server that its budget did not allow.
func (s *Server) RetriesWithheld() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retry.budget.Withheld()
}
