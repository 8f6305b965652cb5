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
	// firstBackoff and lastBackoff bound how long a server that failed is avoided.
	// The first is a few round trips, the last half the time of a planned restart.
	firstBackoff = 100 * time.Millisecond
	lastBackoff  = 1500 * time.Millisecond
	// lagBackoff is how long a replica that lacked a position is taken to lack it.
	lagBackoff = 60 * time.Millisecond
	// responseWeight is the part of a new response time in the smoothed one.
	responseWeight = 8
	// responseDecay halves the excess of a server that has not been asked, so that
	// it is tried again.
	responseDecay = time.Second
)

// Server is one backend server as this VM sees it. The mutex guards the fields
// below it.
type Server struct {
	Conns *connset.Set

	mu       sync.Mutex
	info     ServerInfo
	failures int
	avoid    boottime.Time
	// applied is the highest position that the server has shown; behind was
	// lacking at behindAt.
	applied  position.Position
	behind   position.Position
	behindAt boottime.Time
	// response is the smoothed time of statements, measured at measuredAt.
	response   time.Duration
	measuredAt boottime.Time
	// known is when the server became known, missing when its entry vanished.
	known, missing boottime.Time
	// load is the smoothed number of statements under way.
	load float64
	// leftAt is the last moment at which the server was known to stay, 0 if none is.
	leftAt boottime.Time
	// scarce tells that no whole connection of the server's limit falls to this VM.
	scarce bool
	// ledTerm is the term that the server said it leads, 0 if it was not asked.
	ledTerm uint64
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
	if s.missing == 0 {
		return 0
	}
	return boottime.Since(s.missing)
}

// isMissing reports whether the server's entry has vanished.
func (s *Server) isMissing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.missing != 0
}

// take takes the entry of the server; leaves tells that it begins to leave by it.
func (s *Server) take(info ServerInfo) (leaves bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	leaves = info.Leaving && !s.info.Leaving
	if leaves {
		s.leftAt = info.ChangedAfter
		if s.info.ID == "" || s.missing != 0 {
			// It may have said so in an entry that this VM did not see.
			s.leftAt = 0
		}
	}
	s.info, s.missing = info, 0
	return leaves
}

// noteSuccess records an answer of the server.
func (s *Server) noteSuccess(took time.Duration, p position.Position) {
	s.Conns.NoteResponse(took)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures, s.avoid = 0, 0
	s.response += (took - s.response) / responseWeight
	s.measuredAt = boottime.Now()
	if p.Compare(s.applied) > 0 {
		s.applied = p
	}
}

// noteReached records an answer that took no slot.
func (s *Server) noteReached() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures, s.avoid = 0, 0
}

// noteFailure records that the server could not be reached or gave no answer.
func (s *Server) noteFailure() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := boottime.Now()
	if now < s.avoid {
		return
	}
	s.avoid = now.Add(min(firstBackoff<<min(s.failures, 8), lastBackoff))
	s.failures++
}

// pause keeps the server from being asked for a moment.
func (s *Server) pause(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.avoid = boottime.Now().Add(d)
}

// noteRefusal records an error that the server answered with.
func (s *Server) noteRefusal(err error) {
	if errkind.Is(err, errkind.QueueFull) {
		s.Conns.NoteOverload()
	}
}

func (s *Server) noteBehind(p position.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behind, s.behindAt = p, boottime.Now()
}

// avoided reports whether the server failed a moment ago.
func (s *Server) avoided(now boottime.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now < s.avoid
}

// leaveMargin is taken off the time that a leaving server may get work: the way of a
// statement.
const leaveMargin = 500 * time.Millisecond

// hasLeft reports whether the server may have been leaving for too long to get work.
// When it said so is not known, only how long it surely had not.
func (s *Server) hasLeft(now boottime.Time, leaveTime time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.info.Leaving && (s.leftAt == 0 || now.Sub(s.leftAt) >= leaveTime-leaveMargin)
}

// eligible reports whether the server may have the position and may be asked.
func (s *Server) eligible(need position.Position, now boottime.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now < s.avoid || s.info.Leaving {
		return false
	}
	return s.applied.AtLeast(need) || !need.AtLeast(s.behind) || now.Sub(s.behindAt) > lagBackoff
}

// expected returns the smoothed response time, faded with the time since it was
// measured.
func (s *Server) expected(now boottime.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	halvings := now.Sub(s.measuredAt) / responseDecay
	return s.response >> min(halvings, 16)
}
