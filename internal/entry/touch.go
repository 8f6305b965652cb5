package entry

import (
	"time"

	"chicoryline/internal/boottime"
	"chicoryline/internal/mesh"
)

// returnTime is how long a failure domain has to be in touch before an entry that is
// missing there tells of its server: entries that lapsed behind a cut are back within
// 2 s of its end.
const returnTime = 2500 * time.Millisecond

// touch knows since when each failure domain has been in touch without a break. Only
// the supervision of primaries uses it.
type touch struct {
	looked boottime.Time
	since  map[string]boottime.Time
}

// look takes the domains that are in touch at the moment. A long pause between two
// looks is a break: this VM stood still, and has read what came meanwhile since.
func (t *touch) look(now boottime.Time, domains []string) {
	if now.Sub(t.looked) > mesh.HeardTime {
		t.since = nil
	}
	since := map[string]boottime.Time{}
	for _, d := range domains {
		since[d] = now
		if first, ok := t.since[d]; ok {
			since[d] = first
		}
	}
	t.looked, t.since = now, since
}

// settled reports whether the domain has been in touch for long enough for its servers'
// entries to be back.
func (t *touch) settled(domain string) bool {
	first, ok := t.since[domain]
	return ok && t.looked.Sub(first) >= returnTime
}
