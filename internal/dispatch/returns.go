package dispatch

import (
	"time"

	"chicoryline/internal/boottime"
	"chicoryline/internal/errkind"
)

// minNoPrimaryRetryAfter is the retry time once a failover has taken longer than usual.
const minNoPrimaryRetryAfter = 250 * time.Millisecond

// tellRetryTime adds to the error of a refused call when the caller is to come back. Each
// refused caller gets a time of its own, at the rate at which there will be room. It is not before
// the one that the error may already hold, and replaces it.
func (g *Group) tellRetryTime(call *Call, atPrimary bool, err error) error {
	e, ok := errkind.As(err)
	if !ok {
		return err
	}
	var wait time.Duration
	switch e.Kind {
	case errkind.QueueFull, errkind.QueueTimeout, errkind.ConnectionLimit:
		s, least := g.Leader(), e.RetryAfter
		if !atPrimary {
			var shortest time.Duration
			s, shortest = g.leastWait(call)
			least = max(least, shortest)
		}
		if s == nil {
			wait = g.promisePrimary(call, e.RetryAfter)
			break
		}
		if call.busy {
			// The queue of the server is full: its response time is that of its queue.
			least = max(least, s.expectedResponseTime(boottime.Now()))
		}
		wait = s.Conns.PromiseReturn(call.request(s, !atPrimary && g.isReplaceable(s)), call.since(), least)
	case errkind.NoPrimary:
		wait = g.promisePrimary(call, e.RetryAfter)
	default:
		return err
	}
	return e.WithRetryAfter(max(wait, e.RetryAfter))
}

// since returns when the call arrived, or was first refused if it returned as it was told.
func (c *Call) since() boottime.Time {
	if c.firstRefused != 0 {
		return c.firstRefused
	}
	return c.Arrived
}

// leastWait returns the server that is expected to have room for the read first, and its wait,
// among those that refused it for want of room: others may lag behind or be forbidden to it. If
// none did, all that may get it count. The server is nil if there is none.
func (g *Group) leastWait(call *Call) (best *Server, least time.Duration) {
	now, fleet := boottime.Now(), g.cfg.fleet.Load()
	for _, s := range g.Servers() {
		if len(call.fullServers) > 0 && !contains(call.fullServers, s) {
			continue
		}
		if !call.allows(s) || s.isAvoided(now) || s.hasLeft(now, g.cfg.LeaveTime) || !g.mayWork(s, now) {
			continue
		}
		wait := s.Conns.ExpectedWait(call.request(s, g.isReplaceable(s)))
		if w, coldWait := s.limitWait(fleet, false); w == cold {
			wait = max(wait, coldWait)
		}
		if best == nil || wait < least {
			best, least = s, wait
		}
	}
	return best, least
}

// usualStatementTime is the execution time of a usual statement.
const usualStatementTime = 30 * time.Millisecond

// promisePrimary returns when a caller without a primary is to come back: when a new primary is
// expected, but not before least, and then at the rate of the connections of this VM.
func (g *Group) promisePrimary(call *Call, least time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := boottime.Now()
	return g.returns.Promise(now, call.since(), call.Customer, call.Priority, max(least, g.primaryWait(now)), usualStatementTime/time.Duration(max(1, g.connLimit)))
}

// primaryWait returns the time until a new primary is expected: as announced by the steward, or
// the duration of a failover from the failure of the primary. The mutex is held.
func (g *Group) primaryWait(now boottime.Time) time.Duration {
	if g.primaryExpectedAt > now {
		return g.primaryExpectedAt.Sub(now)
	}
	failed := now
	for _, at := range []boottime.Time{g.primaryLostAt, g.health.failingSince, g.health.stuckSince} {
		if at != 0 {
			failed = min(failed, at)
		}
	}
	return max(minNoPrimaryRetryAfter, failed.Add(noPrimaryRetryAfter).Sub(now))
}

// redeem recognizes a call that returns as it was told while there was no primary.
func (g *Group) redeem(call *Call) {
	now := boottime.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if since := g.returns.Redeem(now, call.Customer, call.Priority); since < now && call.firstRefused == 0 {
		call.firstRefused = since
	}
}
