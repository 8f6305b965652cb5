package dispatch

import "chicoryline/internal/boottime"

// health holds what this VM and the reachable ones know about the answers of the primary.
// Times are 0 for never; those of failures are of the first failure since the last answer.
type health struct {
	lastAnswer, failingSince boottime.Time
	lastCommit, stuckSince   boottime.Time
	peerLastAnswer           boottime.Time
	peerLastCommit           boottime.Time
	// failingLogged and stuckLogged report whether the failure has been logged.
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

// markAnswered records an answer of the primary, which ends its failure. The mutex is held.
func (g *Group) markAnswered(now boottime.Time) {
	if g.health.failingLogged {
		g.logHealth("primary answers again", g.health.failingSince)
	}
	g.health.lastAnswer, g.health.failingSince, g.health.failingLogged = now, 0, false
}

// NoteReachable records that the primary has just accepted a connection.
func (g *Group) NoteReachable() {
	if s := g.Leader(); s != nil {
		s.noteReached()
		g.noteAnswered(s)
	}
}

// noteUnanswered records that the primary did not answer a request sent at the given time.
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

// noteCommitUnanswered records that a commit or write sent at the given time got no answer.
func (g *Group) noteCommitUnanswered(s *Server, sent boottime.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s == g.leader && g.health.stuckSince == 0 && sent > g.health.lastCommit {
		g.health.stuckSince = sent
		g.health.stuckLogged = g.logHealth("commit got no answer", sent)
	}
}

// Health describes the primary for the steward, which decides whether to replace it.
type Health struct {
	// Primary is empty if no primary is known; LastPrimary is then the previous one, empty if
	// there was none.
	Primary, LastPrimary string
	Leaving              bool
	// PromotionPending reports whether a promotion was ordered recently.
	PromotionPending bool
	// Since is when the group lost its primary, or has had servers without one, or when the
	// primary began to leave.
	Since                    boottime.Time
	LastAnswer, FailingSince boottime.Time
	LastCommit, StuckSince   boottime.Time
	// Unconfirmed reports that callers wait until other failure domains know of their commits.
	Unconfirmed bool
	// OwnLastAnswer and OwnLastCommit are the times observed by this VM itself, which it
	// reports to other VMs.
	OwnLastAnswer, OwnLastCommit boottime.Time
	// LeadershipConfirmedAt is the latest time at which the server was confirmed to be the
	// primary; OwnLeadershipConfirmedAt is when this VM last confirmed it itself.
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
		Unconfirmed:   g.commits.unconfirmed > 0,
		OwnLastAnswer: g.health.lastAnswer, OwnLastCommit: g.health.lastCommit, LeadershipConfirmedAt: g.leadership.confirmedAt, OwnLeadershipConfirmedAt: g.leadership.ownConfirmedAt,
	}
	if g.leader != nil {
		info := g.leader.Info()
		h.Primary, h.LastPrimary, h.Leaving, h.Since = info.ID, info.ID, g.isLeaving(g.leader), g.primaryLeavingSince
	}
	return h
}

// ObservePeerHealth records when the primary last answered another VM, if both VMs know the
// same primary.
func (g *Group) ObservePeerHealth(primary string, answered, committed boottime.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leader == nil || g.leader.Info().ID != primary {
		return
	}
	g.health.peerLastAnswer = max(g.health.peerLastAnswer, answered)
	g.health.peerLastCommit = max(g.health.peerLastCommit, committed)
}

// SetPrimaryExpectedAt sets when a new primary is expected to take over; an earlier time than
// the present one is ignored. Callers wait for it if their deadlines allow.
func (g *Group) SetPrimaryExpectedAt(at boottime.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.primaryExpectedAt = max(g.primaryExpectedAt, at)
}

// PrimaryExpectedAt returns when a new primary is expected to take over, 0 if none has been
// expected so far.
func (g *Group) PrimaryExpectedAt() boottime.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primaryExpectedAt
}

// MeasureLoad updates the smoothed loads of the servers with the statements in flight and
// queued over the time since the last call.
func (g *Group) MeasureLoad() {
	for _, s := range g.Servers() {
		busy := s.Conns.TakeBusy()
		s.mu.Lock()
		s.load.add(busy)
		s.mu.Unlock()
	}
}

// Load returns the smoothed number of statements that this VM has in flight or queued at the
// server.
func (s *Server) Load() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.load.load
}
