package dispatch

import (
	"time"

	"github.com/sirupsen/logrus"

	"chicoryline/internal/boottime"
	"chicoryline/internal/position"
)

// maxHealthLogsPerSecond bounds the log messages about missing answers, per group. Over a link
// that loses packets, the primary can fail and recover with every statement.
const maxHealthLogsPerSecond = 10

// serverLog returns a log entry about a change of the entry of the server. The mutex is held.
func (g *Group) serverLog(s *Server) *logrus.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	fields := logrus.Fields{
		"event": "backend_server", "group": g.Name, "backend_server": s.info.ID, "failure_domain": s.info.Domain, "primary": s.info.Primary,
		"leaving": s.info.Leaving, "started": s.info.Started, "entry_version": s.info.Version, "known_ms": boottime.AgeMillis(s.knownSince),
	}
	if s.missingSince != 0 {
		fields["missing_ms"] = boottime.AgeMillis(s.missingSince)
	}
	return g.cfg.Log.WithFields(fields)
}

// formerServerLog returns a log entry about a former server. The mutex is held.
func (g *Group) formerServerLog(f FormerServer) *logrus.Entry {
	return g.cfg.Log.WithFields(logrus.Fields{
		"event": "backend_server", "group": g.Name, "backend_server": f.ID, "failure_domain": f.Domain, "primary": f.Primary,
		"leaving": f.Leaving, "started": f.Started, "entry_version": f.Version, "missing_ms": boottime.AgeMillis(f.Since),
	})
}

// logLimiter limits the log messages per second.
type logLimiter struct {
	second boottime.Time
	lines  int
}

// allow reports whether another message may be logged now.
func (b *logLimiter) allow(now boottime.Time) bool {
	if now.Sub(b.second) >= time.Second {
		b.second, b.lines = now, 0
	}
	b.lines++
	return b.lines <= maxHealthLogsPerSecond
}

// logHealth logs that the primary stopped or resumed answering; the first unanswered request
// was sent at since. It reports whether the message was logged. The mutex is held.
func (g *Group) logHealth(message string, since boottime.Time) bool {
	if !g.healthLogLimiter.allow(boottime.Now()) {
		return false
	}
	h := &g.health
	g.cfg.Log.WithFields(logrus.Fields{
		"event": "primary_health", "group": g.Name, "backend_server": g.leader.Info().ID, "since_ms": boottime.AgeMillis(since),
		"answered_age_ms": boottime.AgeMillis(h.lastAnswer), "committed_age_ms": boottime.AgeMillis(h.lastCommit),
		"peer_answered_age_ms": boottime.AgeMillis(h.peerLastAnswer), "peer_committed_age_ms": boottime.AgeMillis(h.peerLastCommit),
	}).WithFields(g.acknowledged.fields()).Warn(message)
	return true
}

// GroupStats summarizes the state of a group.
type GroupStats struct {
	// Primary is empty if none is known.
	Primary string
	// Servers counts the servers in use, Missing those of them whose entries have vanished,
	// Former the former servers.
	Servers, Missing, Former int
	// Acknowledged is the highest position known to be acknowledged, observed at
	// AcknowledgedAt.
	Acknowledged   position.Position
	AcknowledgedAt boottime.Time
	// LeadershipConfirmedAt is the start of the leader lease, 0 if there was none.
	LeadershipConfirmedAt boottime.Time
	Proofs                ProofStats
	// Cold counts the servers that count as cold, ColdRefused the statements that their limits
	// refused. OutsideDomains counts the statements that no server of an allowed failure domain
	// could run.
	Cold                        int
	ColdRefused, OutsideDomains int64
}

// Stats returns the present state of the group.
func (g *Group) Stats() GroupStats {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := GroupStats{Servers: len(g.servers), Former: len(g.former), Acknowledged: g.acknowledged.position, AcknowledgedAt: g.acknowledged.at, LeadershipConfirmedAt: g.leadership.confirmedAt, Proofs: g.proofs, OutsideDomains: g.outsideDomains.Load()}
	if g.leader != nil {
		c.Primary = g.leader.Info().ID
	}
	for _, s := range g.servers {
		s.mu.Lock()
		if s.missingSince != 0 {
			c.Missing++
		}
		if w, _ := s.cold.warmth(boottime.Now()); w == cold {
			c.Cold++
		}
		c.ColdRefused += s.cold.refused
		s.mu.Unlock()
	}
	return c
}
