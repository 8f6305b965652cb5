package entry

import (
	"time"

	"chicoryline/internal/boottime"
	"chicoryline/internal/mesh"
)

// domainSettleTime is how long a failure domain has to be in touch before an entry that is
// missing there tells of its server: entries that lapsed behind a cut are back within
// 2 s of its end.
const domainSettleTime = 2500 * time.Millisecond

// domainReachability knows since when each failure domain has been in touch without a break. Only
// the supervision of primaries uses it.
type domainReachability struct {
	updatedAt boottime.Time
	since     map[string]boottime.Time
}

// update takes the domains that are in touch at the moment. A long pause between two
// looks is a break: this VM stood still, and has read what came meanwhile since.
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

// isSettled reports whether the domain has been in touch for long enough for its servers'
// entries to be back.
func (t *domainReachability) isSettled(domain string) bool {
	first, ok := t.since[domain]
	return ok && t.updatedAt.Sub(first) >= domainSettleTime
}
