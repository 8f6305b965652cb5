package entry

import (
	"time"

	"chicoryline/internal/boottime"
	"chicoryline/internal/mesh"
)

// domainSettleTime is how long a failure domain has to be reachable before a missing entry
// there says something about its server: entries that expired during a network partition are
// back within 2 s of its end.
const domainSettleTime = 2500 * time.Millisecond

// domainReachability records since when each failure domain has been reachable without
// interruption. Only the supervision of primaries uses it.
type domainReachability struct {
	updatedAt boottime.Time
	since     map[string]boottime.Time
}

// update records the domains that are reachable now. A long pause between two updates counts
// as an interruption: this VM was paused, and has only since then read the datagrams that
// arrived meanwhile.
func (t *domainReachability) update(now boottime.Time, domains []string) {
	if now.Sub(t.updatedAt) > mesh.PeerTimeout {
		t.since = nil
	}
	since := map[string]boottime.Time{}
	for _, d := range domains {
		since[d] = now
		if first, ok := t.since[d]; ok {
			since[d] = first
		}
	}
	t.updatedAt, t.since = now, since
}

// isSettled reports whether the domain has been reachable for long enough for its servers'
// entries to be back.
func (t *domainReachability) isSettled(domain string) bool {
	first, ok := t.since[domain]
	return ok && t.updatedAt.Sub(first) >= domainSettleTime
}

// meshContact implements dispatch.Contact. The mesh starts after the router.
type meshContact struct{ e *Process }

func (c meshContact) IsInTouch() bool { return c.e.mesh.IsInTouch() }

func (c meshContact) HasReachedMajoritySince(since boottime.Time) bool {
	return c.e.mesh.HasReachedMajoritySince(since)
}
