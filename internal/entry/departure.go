package entry

import (
	"time"

	"chicoryline/internal/backoff"
	"chicoryline/internal/boottime"
	"chicoryline/internal/dispatch"
	"chicoryline/internal/steward"
)

// departureMargin is how long before its earliest end a leaving replica is retired: several
// attempts, and a short outage of the store.
const departureMargin = 4 * time.Second

// departsFrom returns since when the server counts as about to end, 0 if it does not.
func (e *Process) departsFrom(s *dispatch.Server) boottime.Time {
	end := s.EndsFrom(e.settings.LeaveTime)
	if since := end.Add(-departureMargin); end != 0 && boottime.Now() >= since {
		return max(since, 1)
	}
	return 0
}

// departingSince returns since when a replica of the group that is not retired has been about to
// end, 0 if there is none. In a fleet of several cells only the first one retires replicas.
func (e *Process) departingSince(g *dispatch.Group, primary string) boottime.Time {
	var first boottime.Time
	for _, s := range g.Servers() {
		since, info := e.departsFrom(s), s.Info()
		if since == 0 || info.ID == primary || s.MissingFor() > 0 || e.steward.IsRetired(g.Name, info.ID, info.Started) {
			continue
		}
		if first == 0 || since < first {
			first = since
		}
	}
	if first != 0 && !e.mesh.IsInFirstCell() {
		return 0
	}
	return first
}

const (
	// minDeparturePause and maxDeparturePause bound the pause between two attempts of this VM to retire
	// the replicas of a group. One that does not answer any more cannot be retired.
	minDeparturePause = time.Second
	maxDeparturePause = 8 * time.Second
	// departurePaceReset is how long after its last attempt a group begins with the shortest pause
	// again.
	departurePaceReset = 30 * time.Second
)

// departurePace spaces the attempts to retire replicas, by group. Only supervise uses it.
type departurePace map[string]*departureAttempts

type departureAttempts struct {
	backoff.Backoff
	last boottime.Time
}

// allows reports whether the task may be started now. Other tasks are not spaced.
func (p departurePace) allows(t steward.Task, now boottime.Time) bool {
	a := p[t.Group]
	if t.Reason != steward.Departing || a == nil {
		return true
	}
	if now.Sub(a.last) >= departurePaceReset {
		a.Reset()
	}
	return !a.Active(now)
}

// note records that the task was started.
func (p departurePace) note(t steward.Task, now boottime.Time) {
	if t.Reason != steward.Departing {
		return
	}
	if p[t.Group] == nil {
		p[t.Group] = &departureAttempts{Backoff: backoff.Backoff{First: minDeparturePause, Max: maxDeparturePause}}
	}
	p[t.Group].Fail(now)
	p[t.Group].last = now
}
