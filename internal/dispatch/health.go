package dispatch

import (
	"time"

	"chicoryline/internal/boottime"
)

// health is what this VM and those in touch know of the primary's answers.
// Moments are 0 for never; those of failures are the first since the last answer.
type health struct {
	lastAnswer, failingSince boottime.Time
	lastCommit, stuckSince   boottime.Time
	peerLastAnswer           boottime.Time
	peerLastCommit           boottime.Time
	// failingLogged and stuckLogged tell that the failure has a line.
	failingLogged, stuckLogged bool
}

// noteAnswered records that the primary answered this VM.
func (g *Group) noteAnswered(s *Server) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s == g.leader {
		g.markAnswered(boottime.Now())
	}
}

// markAnswered ends the failure of the primary to answer. The mutex is held.
func (g *Group) markAnswered(now boottime.Time) {
	if g.health.failingLogged {
		g.logHealth("primary answers again", g.health.failingSince)
	}
	g.health.lastAnswer, g.health.failingSince, g.health.failingLogged = now, 0, false
}

// NoteReachable records that the primary has taken a connection just now.
func (g *Group) NoteReachable() {
	if s := g.Leader(); s != nil {
		s.noteReached()
		g.noteAnswered(s)
	}
}

// noteUnanswered records that the primary did not answer what was sent at the moment.
func (g *Group) noteUnanswered(s *Server, sent boottime.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s == g.leader && g.health.failingSince == 0 && sent > g.health.lastAnswer {
		g.health.failingSince = sent
		g.health.failingLogged = g.logHealth("primary does not answer", sent)
	}
}

// noteCommitted records that the primary acknowledged a commit.
func (g *Group) noteCommitted(s *Server) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s == g.leader {
		now := boottime.Now()
		g.markAnswered(now)
		if g.health.stuckLogged {
			g.logHealth("commits are answered again", g.health.stuckSince)
		}
		g.health.lastCommit, g.health.stuckSince, g.health.stuckLogged = now, 0, false
	}
}

// noteCommitUnanswered records that a commit or write sent at the moment got no answer.
func (g *Group) noteCommitUnanswered(s *Server, sent boottime.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s == g.leader && g.health.stuckSince == 0 && sent > g.health.lastCommit {
		g.health.stuckSince = sent
		g.health.stuckLogged = g.logHealth("commit got no answer", sent)
	}
}

// Health describes the primary for those who may have to replace it.
type Health struct {
	// Primary is empty if none is known; Last is then the one before.
	Primary, LastPrimary string
	Leaving              bool
	// PromotionPending tells that a promotion was ordered a moment ago.
	PromotionPending bool
	// Since is when the group lost its primary or the primary began to leave.
	Since                    boottime.Time
	LastAnswer, FailingSince boottime.Time
	LastCommit, StuckSince   boottime.Time
	// Own are the moments of this VM alone, for the others.
	OwnLastAnswer, OwnLastCommit boottime.Time
	// LeadershipConfirmedAt is the last moment at which the primary surely led; OwnLed is when this VM found
	// that out.
	LeadershipConfirmedAt, OwnLeadershipConfirmedAt boottime.Time
}

// Health returns what is known of the primary.
func (g *Group) Health() Health {
	g.mu.Lock()
	defer g.mu.Unlock()
	h := Health{
		LastPrimary: g.lastPrimary, Since: g.primaryLostAt, PromotionPending: g.isPromotionPending(),
		LastAnswer: max(g.health.lastAnswer, g.health.peerLastAnswer), FailingSince: g.health.failingSince,
		LastCommit: max(g.health.lastCommit, g.health.peerLastCommit), StuckSince: g.health.stuckSince,
		OwnLastAnswer: g.health.lastAnswer, OwnLastCommit: g.health.lastCommit, LeadershipConfirmedAt: g.leadership.confirmedAt, OwnLeadershipConfirmedAt: g.leadership.ownConfirmedAt,
	}
	if g.leader != nil {
		info := g.leader.Info()
		h.Primary, h.LastPrimary, h.Leaving, h.Since = info.ID, info.ID, info.Leaving, g.primaryLeavingSince
	}
	return h
}

// ObservePeerHealth takes what another VM knows of the same primary.
func (g *Group) ObservePeerHealth(primary string, answered, committed boottime.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leader == nil || g.leader.Info().ID != primary {
		return
	}
	g.health.peerLastAnswer = max(g.health.peerLastAnswer, answered)
	g.health.peerLastCommit = max(g.health.peerLastCommit, committed)
}

// SetPrimaryExpectedAt notes when a new primary should lead; callers wait for it if that is in
// time for them.
func (g *Group) SetPrimaryExpectedAt(at boottime.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.primaryExpectedAt = max(g.primaryExpectedAt, at)
}

// PrimaryExpectedAt returns when a new primary should lead, 0 if no change is under way.
func (g *Group) PrimaryExpectedAt() boottime.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primaryExpectedAt
}

// loadSmoothing is the part of a new measurement in the smoothed one; measured every
// 200 ms it follows a change of load within 2 s.
const loadSmoothing = 0.1

// MeasureLoad takes the statements under way and waiting in the time since the last
// call into the smoothed loads of the servers.
func (g *Group) MeasureLoad(since time.Duration) {
	for _, s := range g.Servers() {
		busy := s.Conns.TakeBusy(since)
		s.mu.Lock()
		s.load += (busy - s.load) * loadSmoothing
		s.mu.Unlock()
	}
}

// Load returns the smoothed number of statements that this VM has under way at the
// server.
func (s *Server) Load() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.load
}
