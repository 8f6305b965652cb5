package dispatch

import (
	"time"

	"chicoryline/internal/boottime"
)

// health is what this VM and those in touch know of the primary's answers.
// Moments are 0 for never; those of failures are the first since the last answer.
type health struct {
	answered, failing boottime.Time
	committed, stuck  boottime.Time
	peerAnswered      boottime.Time
	peerCommitted     boottime.Time
	// failingLogged and stuckLogged tell that the failure has a line.
	failingLogged, stuckLogged bool
}

// noteAnswered records that the primary answered this VM.
func (g *Group) noteAnswered(s *Server) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s == g.leader {
		g.answered(boottime.Now())
	}
}

// answered ends the failure of the primary to answer. The mutex is held.
func (g *Group) answered(now boottime.Time) {
	if g.health.failingLogged {
		g.healthLine("primary answers again", g.health.failing)
	}
	g.health.answered, g.health.failing, g.health.failingLogged = now, 0, false
}

// NoteReachable records that the primary has taken a connection just now.
func (g *Group) NoteReachable() {
	if s := g.Leader(); s != nil {
		s.noteReached()
		g.noteAnswered(s)
	}
}

// noteFailed records that the primary did not answer what was sent at the moment.
func (g *Group) noteFailed(s *Server, sent boottime.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s == g.leader && g.health.failing == 0 && sent > g.health.answered {
		g.health.failing = sent
		g.health.failingLogged = g.healthLine("primary does not answer", sent)
	}
}

// noteCommitted records that the primary acknowledged a commit.
func (g *Group) noteCommitted(s *Server) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s == g.leader {
		now := boottime.Now()
		g.answered(now)
		if g.health.stuckLogged {
			g.healthLine("commits are answered again", g.health.stuck)
		}
		g.health.committed, g.health.stuck, g.health.stuckLogged = now, 0, false
	}
}

// noteStuck records that a commit or write sent at the moment got no answer.
func (g *Group) noteStuck(s *Server, sent boottime.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s == g.leader && g.health.stuck == 0 && sent > g.health.committed {
		g.health.stuck = sent
		g.health.stuckLogged = g.healthLine("commit got no answer", sent)
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
		LastPrimary: g.last, Since: g.leaderless, PromotionPending: g.changing(),
		LastAnswer: max(g.health.answered, g.health.peerAnswered), FailingSince: g.health.failing,
		LastCommit: max(g.health.committed, g.health.peerCommitted), StuckSince: g.health.stuck,
		OwnLastAnswer: g.health.answered, OwnLastCommit: g.health.committed, LeadershipConfirmedAt: g.lead.proved, OwnLeadershipConfirmedAt: g.lead.found,
	}
	if g.leader != nil {
		info := g.leader.Info()
		h.Primary, h.LastPrimary, h.Leaving, h.Since = info.ID, info.ID, info.Leaving, g.leaving
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
	g.health.peerAnswered = max(g.health.peerAnswered, answered)
	g.health.peerCommitted = max(g.health.peerCommitted, committed)
}

// SetPrimaryExpectedAt notes when a new primary should lead; callers wait for it if that is in
// time for them.
func (g *Group) SetPrimaryExpectedAt(at boottime.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expected = max(g.expected, at)
}

// PrimaryExpectedAt returns when a new primary should lead, 0 if no change is under way.
func (g *Group) PrimaryExpectedAt() boottime.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.expected
}

// loadWeight is the part of a new measurement in the smoothed one; measured every
// 200 ms it follows a change of load within 2 s.
const loadWeight = 0.1

// MeasureLoad takes the statements under way and waiting in the time since the last
// call into the smoothed loads of the servers.
func (g *Group) MeasureLoad(since time.Duration) {
	for _, s := range g.Servers() {
		busy := s.Conns.TakeBusy(since)
		s.mu.Lock()
		s.load += (busy - s.load) * loadWeight
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
