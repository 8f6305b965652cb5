package dispatch

import (
	"sync"
	"sync/atomic"
	"time"

	"chicoryline/internal/boottime"
	"chicoryline/internal/connset"
	"chicoryline/internal/errkind"
	"chicoryline/internal/leaderproof"
	"chicoryline/internal/position"
)

// ServerInfo is the service discovery entry of a backend server.
type ServerInfo struct {
	ID      string
	Group   string
	Address string
	Domain  string
	// Slots is the number of statements that the server runs concurrently.
	Slots int
	// Leaving reports that the server will stop soon.
	Leaving bool
	// Primary reports that the server claims to be the primary.
	Primary bool
	// Started identifies the incarnation of the server: its start time in Unix milliseconds.
	Started int64
	// Sequence increases with each entry that the incarnation writes, 0 if unknown.
	Sequence uint64
	// Version increases with each change of the entry.
	Version uint64
	// Restored reports that the entry was read after the store was restored from a backup: it may
	// be older than the known one.
	Restored bool
	// ColdFor is how much longer the server is cold, counted from when the entry was written; 0 if
	// it is warm.
	ColdFor time.Duration
	// ChangedAfter is a time before the last change of the entry, 0 if none is known.
	ChangedAfter boottime.Time
}

// isNewerThan reports whether the server wrote this entry after the other one.
func (i ServerInfo) isNewerThan(o ServerInfo) bool {
	if i.Started != o.Started {
		return i.Started > o.Started
	}
	return i.Sequence > o.Sequence
}

const (
	// minBackoff and maxBackoff bound how long a server is avoided after a failure. The first
	// is a few round trips, the second half the duration of a planned restart.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 1500 * time.Millisecond
	// lagBackoff is how long a replica that lacked a position is assumed to still lack it.
	lagBackoff = 60 * time.Millisecond
	// responseSmoothing is the inverse of the weight of a new response time in the smoothed
	// one.
	responseSmoothing = 8
	// responseHalfLife is the time in which the smoothed response time of a server that is not
	// asked halves, so that it is tried again.
	responseHalfLife = time.Second
)

// Server is one backend server as seen by this VM. The mutex guards the fields below it.
type Server struct {
	Conns *connset.Set

	mu         sync.Mutex
	info       ServerInfo
	failures   int
	avoidUntil boottime.Time
	// applied is the highest position that the server is known to have applied; it lacked
	// lackedPosition at lackedAt.
	applied        position.Position
	lackedPosition position.Position
	lackedAt       boottime.Time
	// responseTime is the smoothed response time of statements, last updated at
	// responseMeasuredAt.
	responseTime       time.Duration
	responseMeasuredAt boottime.Time
	// knownSince is when the server was discovered, missingSince when its entry vanished (0 if
	// it is present).
	knownSince, missingSince boottime.Time
	// load is the smoothed number of statements in flight or queued.
	load loadMeter
	// lastNotLeaving is the latest time at which the server was known not to be leaving, 0 if
	// there is none.
	lastNotLeaving boottime.Time
	// scarce reports that the share of this VM in the connections of the server is less than
	// one.
	scarce bool
	// leaderTerm is the term that the server reported to lead, 0 if it was not asked.
	leaderTerm uint64
	// lastStatus is the server's last status as a replica, nil if there is none.
	lastStatus *leaderproof.Answer
	// reads counts the reads for which the server was picked.
	reads atomic.Int64
	cold  coldState
	retry retryState
}

// Info returns the service discovery entry of the server.
func (s *Server) Info() ServerInfo {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.info
}

// SetConnectionShare sets the share of this VM in the connections of the server.
func (s *Server) SetConnectionShare(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scarce = share < 1
}

// idleTimeout returns the idle timeout of connections to the server.
func (s *Server) idleTimeout(usual time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.scarce {
		return min(usual, scarceIdleTimeout)
	}
	return usual
}

// name returns the server's id, or "" for no server.
func (s *Server) name() string {
	if s == nil {
		return ""
	}
	return s.Info().ID
}

// MissingFor returns how long the server's entry has been missing, 0 if it is present.
func (s *Server) MissingFor() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.missingSince == 0 {
		return 0
	}
	return boottime.Since(s.missingSince)
}

// isMissing reports whether the server's entry has vanished.
func (s *Server) isMissing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.missingSince != 0
}

// update applies the entry of the server; startsLeaving reports whether the server begins to
// leave with it.
func (s *Server) update(info ServerInfo) (startsLeaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	startsLeaving = info.Leaving && !s.info.Leaving
	if startsLeaving {
		s.lastNotLeaving = info.ChangedAfter
		if s.info.ID == "" || s.missingSince != 0 {
			// The server may have announced it in an entry that this VM did not observe.
			s.lastNotLeaving = 0
		}
	}
	s.retry.noteEntry(s.info, info)
	s.info, s.missingSince = info, 0
	return startsLeaving
}

// noteSuccess records an answer of the server.
func (s *Server) noteSuccess(took time.Duration, p position.Position) {
	s.Conns.NoteResponse(took)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endPauses()
	s.retry.budget.NoteSuccess()
	s.responseTime += (took - s.responseTime) / responseSmoothing
	s.responseMeasuredAt = boottime.Now()
	if p.Compare(s.applied) > 0 {
		s.applied = p
	}
}

// noteReached records an answer that did not use a slot.
func (s *Server) noteReached() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endPauses()
}

// noteFailure records that the server was unreachable or did not answer.
func (s *Server) noteFailure() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := boottime.Now()
	if now < s.avoidUntil {
		return
	}
	s.avoidUntil = now.Add(min(minBackoff<<min(s.failures, 8), maxBackoff))
	s.cold.failedAt = now
	s.failures++
}

// noteRefusal records an error returned by the server.
func (s *Server) noteRefusal(err error) {
	if errkind.Is(err, errkind.QueueFull) {
		s.Conns.NoteOverload()
		s.mu.Lock()
		s.retry.lastFull = boottime.Now()
		s.mu.Unlock()
	}
}

func (s *Server) noteLagging(p position.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lackedPosition, s.lackedAt = p, boottime.Now()
}

// isAvoided reports whether the server failed recently.
func (s *Server) isAvoided(now boottime.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isUnusable(now) || s.retry.notYetPrimary.Active(now)
}

// leaveMargin is subtracted from the time in which a leaving server may get work: the time
// that a statement takes to reach the server.
const leaveMargin = 500 * time.Millisecond

// hasLeft reports whether the server may have been leaving for too long to get work. The time
// is counted from lastNotLeaving because the time of the announcement is not known exactly.
func (s *Server) hasLeft(now boottime.Time, leaveTime time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.info.Leaving && (s.lastNotLeaving == 0 || now.Sub(s.lastNotLeaving) >= leaveTime-leaveMargin)
}

// EndsFrom returns the earliest time at which a leaving server may end, 0 if it is not leaving. It is
// the time at which the server was discovered if the time of the announcement is not known.
func (s *Server) EndsFrom(leaveTime time.Duration) boottime.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !s.info.Leaving:
		return 0
	case s.lastNotLeaving == 0:
		return s.knownSince
	}
	return s.lastNotLeaving.Add(leaveTime)
}

// isEligible reports whether the server can be asked and may have applied the position.
func (s *Server) isEligible(need position.Position, now boottime.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isUnusable(now) || s.info.Leaving {
		return false
	}
	return s.applied.AtLeast(need) || !need.AtLeast(s.lackedPosition) || now.Sub(s.lackedAt) > lagBackoff
}

// expectedResponseTime returns the smoothed response time, halved for each responseHalfLife
// since its last update. That may be later than now, which callers read before they wait for locks.
func (s *Server) expectedResponseTime(now boottime.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	halvings := now.Sub(s.responseMeasuredAt) / responseHalfLife
	return s.responseTime >> min(max(halvings, 0), 16)
}
