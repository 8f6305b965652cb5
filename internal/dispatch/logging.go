package dispatch

import (
	"time"

	"github.com/sirupsen/logrus"

	"chicoryline/internal/boottime"
	"chicoryline/internal/position"
)

// maxHealthLogsPerSecond bounds the lines about missing answers, for a group and second: over a
// link that loses packets a primary begins and ceases to fail with every statement.
const maxHealthLogsPerSecond = 10

// serverLog is a line about a change of the server's entry. The mutex is held.
func (g *Group) serverLog(s *Server) *logrus.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	fields := logrus.Fields{
		"event": "backend_server", "group": g.Name, "backend_server": s.info.ID, "failure_domain": s.info.Domain, "primary": s.info.Primary,
		"leaving": s.info.Leaving, "started": s.info.Started, "entry_version": s.info.Version, "known_ms": boottime.Age(s.knownSince),
	}
	if s.missingSince != 0 {
		fields["missing_ms"] = boottime.Age(s.missingSince)
	}
	return g.cfg.Log.WithFields(fields)
}

// formerServerLog is a line about a server that the group ceases to remember. The mutex is
// held.
func (g *Group) formerServerLog(f FormerServer) *logrus.Entry {
	return g.cfg.Log.WithFields(logrus.Fields{
		"event": "backend_server", "group": g.Name, "backend_server": f.ID, "failure_domain": f.Domain, "primary": f.Primary,
		"leaving": f.Leaving, "started": f.Started, "entry_version": f.Version, "missing_ms": boottime.Age(f.Since),
	})
}

// logLimiter bounds the lines of each second.
type logLimiter struct {
	second boottime.Time
	lines  int
}

// allow reports whether there may be another line now.
func (b *logLimiter) allow(now boottime.Time) bool {
	if now.Sub(b.second) >= time.Second {
		b.second, b.lines = now, 0
	}
	b.lines++
	return b.lines <= maxHealthLogsPerSecond
}

// logHealth logs that the primary began or ceased to leave what was sent at since
// without an answer. The mutex is held.
func (g *Group) logHealth(message string, since boottime.Time) bool {
	if !g.healthLogLimiter.allow(boottime.Now()) {
		return false
	}
	h := &g.health
	g.cfg.Log.WithFields(logrus.Fields{
		"event": "primary_health", "group": g.Name, "backend_server": g.leader.Info().ID, "since_ms": boottime.Age(since),
		"answered_age_ms": boottime.Age(h.lastAnswer), "committed_age_ms": boottime.Age(h.lastCommit),
		"peer_answered_age_ms": boottime.Age(h.peerLastAnswer), "peer_committed_age_ms": boottime.Age(h.peerLastCommit),
	}).WithFields(g.acknowledged.fields()).Warn(message)
	return true
}

// GroupStats counts what the group consists of.
type GroupStats struct {
	// Primary is empty if none is known.
	Primary string
	// Servers is the number of servers, Missing of those whose entries have vanished,
	// Former that of former servers.
	Servers, Missing, Former int
	// Acknowledged is the highest position known to be acknowledged, learned at
	// AcknowledgedAt.
	Acknowledged   position.Position
	AcknowledgedAt boottime.Time
}

// Stats returns the counts of the moment.
func (g *Group) Stats() GroupStats {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := GroupStats{Servers: len(g.servers), Former: len(g.former), Acknowledged: g.acknowledged.position, AcknowledgedAt: g.acknowledged.at}
	if g.leader != nil {
		c.Primary = g.leader.Info().ID
	}
	for _, s := range g.servers {
		s.mu.Lock()
		if s.missingSince != 0 {
			c.Missing++
		}
		s.mu.Unlock()
	}
	return c
}
