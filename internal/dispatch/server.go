package dispatch

import (
	"sync"
	"time"

	"chicoryline/internal/boottime"
	"chicoryline/internal/connset"
	"chicoryline/internal/errkind"
	"chicoryline/internal/position"
)

// ServerInfo is what service discovery says of a backend server.
type ServerInfo struct {
	ID      string
	Group   string
	Address string
	Domain  string
	// Slots is the number of statements that it runs at once.
	Slots int
	// Leaving tells that it will stop soon.
	Leaving bool
	// Primary tells that it believes it leads.
	Primary bool
	// Started tells its incarnation: the time of day in milliseconds.
	Started int64
	// Version rises with each change of the entry.
	Version uint64
	// ChangedAfter is a moment before the entry's last change, 0 if none is known.
	ChangedAfter boottime.Time
}

const (
	// minBackoff and lastBackoff bound how long a server that failed is avoided.
	// The first is a few round trips, the last half the time of a planned restart.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 1500 * time.Millisecond
	// lagBackoff is how long a replica that lacked a position is taken to lack it.
	lagBackoff = 60 * time.Millisecond
	// responseSmoothing is the part of a new response time in the smoothed one.
	responseSmoothing = 8
	// responseHalfLife halves the excess of a server that has not been asked, so that
	// it is tried again.
	responseHalfLife = time.Second
)

// Server is one backend server as this VM sees it. The mutex guards the fields
// below it.
type Server struct {
	Conns *connset.Set

	mu         sync.Mutex
	info       ServerInfo
	failures   int
	avoidUntil boottime.Time
	// applied is the highest position that the server has shown; behind was
	// lacking at behindAt.
	applied        position.Position
	lackedPosition position.Position
	lackedAt       boottime.Time
	// responseTime is the smoothed time of statements, measured at measuredAt.
	responseTime       time.Duration
	responseMeasuredAt boottime.Time
	// knownSince is when the server became known, missing when its entry vanished.
	knownSince, missingSince boottime.Time
	// load is the smoothed number of statements under way.
	load float64
	// lastNotLeaving is the last moment at which the server was known to stay, 0 if none is.
	lastNotLeaving boottime.Time
	// scarce tells that no whole connection of the server's limit falls to this VM.
	scarce bool
	// leaderTerm is the term that the server said it leads, 0 if it was not asked.
	leaderTerm uint64
}

// Info returns what discovery says.
func (s *Server) Info() ServerInfo {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.info
}

// SetConnectionShare takes the part of the server's connections that falls to this VM.
func (s *Server) SetConnectionShare(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scarce = share < 1
}

// idleTime returns how long a connection to the server is kept unused.
func (s *Server) idleTime(usual time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.scarce {
		return min(usual, scarceIdleTime)
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

// MissingFor returns how long the server's entry has been missing, 0 if it is there.
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

// update takes the entry of the server; leaves tells that it begins to leave by it.
func (s *Server) update(info ServerInfo) (leaves bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	leaves = info.Leaving && !s.info.Leaving
	if leaves {
		s.lastNotLeaving = info.ChangedAfter
		if s.info.ID == "" || s.missingSince != 0 {
			// It may have said so in an entry that this VM did not see.
			s.lastNotLeaving = 0
		}
	}
	s.info, s.missingSince = info, 0
	return leaves
}

// noteSuccess records an answer of the server.
func (s *Server) noteSuccess(took time.Duration, p position.Position) {
	s.Conns.NoteResponse(took)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures, s.avoidUntil = 0, 0
	s.responseTime += (took - s.responseTime) / responseSmoothing
	s.responseMeasuredAt = boottime.Now()
	if p.Compare(s.applied) > 0 {
		s.applied = p
	}
}

// noteReached records an answer that took no slot.
func (s *Server) noteReached() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures, s.avoidUntil = 0, 0
}

// noteFailure records that the server could not be reached or gave no answer.
func (s *Server) noteFailure() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := boottime.Now()
	if now < s.avoidUntil {
		return
	}
	s.avoidUntil = now.Add(min(minBackoff<<min(s.failures, 8), maxBackoff))
	s.failures++
}

// avoidFor keeps the server from being asked for a moment.
func (s *Server) avoidFor(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.avoidUntil = boottime.Now().Add(d)
}

// noteRefusal records an error that the server answered with.
func (s *Server) noteRefusal(err error) {
	if errkind.Is(err, errkind.QueueFull) {
		s.Conns.NoteOverload()
	}
}

func (s *Server) noteLagging(p position.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lackedPosition, s.lackedAt = p, boottime.Now()
}

// isAvoided reports whether the server failed a moment ago.
func (s *Server) isAvoided(now boottime.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now < s.avoidUntil
}

// leaveMargin is taken off the time that a leaving server may get work: the way of a
// statement.
const leaveMargin = 500 * time.Millisecond

// hasLeft reports whether the server may have been leaving for too long to get work.
// When it said so is not known, only how long it surely had not.
func (s *Server) hasLeft(now boottime.Time, leaveTime time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.info.Leaving && (s.lastNotLeaving == 0 || now.Sub(s.lastNotLeaving) >= leaveTime-leaveMargin)
}

// isEligible reports whether the server may have the position and may be asked.
func (s *Server) isEligible(need position.Position, now boottime.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now < s.avoidUntil || s.info.Leaving {
		return false
	}
	return s.applied.AtLeast(need) || !need.AtLeast(s.lackedPosition) || now.Sub(s.lackedAt) > lagBackoff
}

// expectedResponseTime returns the smoothed response time, faded with the time since it was
// measured.
func (s *Server) expectedResponseTime(now boottime.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	halvings := now.Sub(s.responseMeasuredAt) / responseHalfLife
	return s.responseTime >> min(halvings, 16)
}
