package configsync

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"chicoryline/internal/services"
)

// verdict is what the holders' rows say about a pending patch.
type verdict struct {
	// agreed says that the patch can go in force.
	agreed bool
	// blockers names the holders and domains that stand against it.
	blockers []string
	// lapsed lists the holders that agreed by having lapsed.
	lapsed []string
}

// decide judges a pending attempt by rows read after the attempt was written.
// A holder agrees if it has acknowledged. A holder that has lapsed agrees if a
// majority of its own voters has acknowledged: from then on no majority of them
// promises it anything before it knows the attempt, so it can not extend its
// grant without the platform; and with the platform it reads the attempt. One
// without voters never extends its grant without the platform.
func decide(attempt uint64, holders []Holder, lapsed func(Holder) bool) verdict {
	acked := map[string]bool{}
	for _, h := range holders {
		if h.Acked < attempt {
			continue
		}
		acked[h.ID] = true
		for _, id := range h.Former {
			acked[id] = true
		}
	}
	v := verdict{}
	for _, h := range holders {
		switch {
		case acked[h.ID]:
		case !lapsed(h):
			v.blockers = append(v.blockers, fmt.Sprintf("domain %s VM %s has not acknowledged", h.Domain, h.VM))
		case len(h.Voters) > 0 && !majority(h.Voters, acked):
			v.blockers = append(v.blockers, fmt.Sprintf("domain %s VM %s has lapsed without a majority of the others", h.Domain, h.VM))
		default:
			v.lapsed = append(v.lapsed, h.ID)
		}
	}
	v.agreed = len(v.blockers) == 0
	return v
}

// reason is the text that a refused patch carries.
func (v verdict) reason() string { return strings.Join(v.blockers, "; ") }

// ending is how a pending patch ends, if it ends now.
type ending struct {
	ended  bool
	agreed bool
	next   Record   // the record that has to be written
	gone   []string // holders whose rows can be deleted afterwards
}

// conclude ends the record's pending patch if the holders agree, or with a
// refusal if it has waited too long. Holders that agreed by having lapsed are
// barred; the row of one that was barred before this patch can go, because a
// majority of its voters knows that it is barred. So can the row of a
// registration that its process has given up.
func conclude(r Record, holders []Holder, lapsed func(Holder) bool, late bool) ending {
	v := decide(r.Pending.Attempt, holders, lapsed)
	switch {
	case v.agreed:
		e := ending{ended: true, agreed: true, next: r.withOutcome(StateInForce, "")}
		e.next.Barred = v.lapsed
		for _, id := range v.lapsed {
			if slices.Contains(r.Barred, id) {
				e.gone = append(e.gone, id)
			}
		}
		for _, h := range holders {
			e.gone = append(e.gone, h.Former...)
		}
		return e
	case late:
		return ending{ended: true, next: r.withOutcome(StateRefused, v.reason())}
	}
	return ending{}
}

// goneRows picks the rows of the holders from a list.
func goneRows(ids []string, rows []services.Row) []services.Row {
	var gone []services.Row
	for _, row := range rows {
		if slices.Contains(ids, strings.TrimPrefix(row.Key, holderPrefix)) {
			gone = append(gone, row)
		}
	}
	return gone
}

// patience is how long a pending patch waits at least: a dead holder with
// grants of this length is found to have lapsed within it.
func patience(length time.Duration) time.Duration {
	return length + lapseMargin(length) + patienceSlack
}

// majority reports whether more than half of the ids are in the set.
func majority(ids []string, set map[string]bool) bool {
	count := 0
	for _, id := range ids {
		if set[id] {
			count++
		}
	}
	return 2*count > len(ids)
}

// lapseMarginParts divides a grant's length into the margin that covers the
// difference of clock rates.
const lapseMarginParts = 6

func lapseMargin(length time.Duration) time.Duration { return length / lapseMarginParts }

// lapseWatch concludes from rows alone, on one monotonic clock, that holders
// have lapsed.
type lapseWatch struct {
	seen map[string]sighting
	last time.Time // the end of the last list
}

// maxListGap is the longest time between two lists that a lapse may span. After
// a longer gap, as in a platform outage, the holders get a whole grant's time to
// renew before they are taken as lapsed.
const maxListGap = 2 * time.Second

type sighting struct {
	version uint64
	first   time.Time // the end of the first read that showed the version
	still   time.Duration
}

// observe takes a list of the holders' rows whose read began and ended then.
func (w *lapseWatch) observe(rows []services.Row, began, ended time.Time) {
	next := make(map[string]sighting, len(rows))
	gap := began.Sub(w.last) > maxListGap
	w.last = ended
	for _, row := range rows {
		s, ok := w.seen[row.Key]
		if !ok || gap || s.version != row.Version {
			next[row.Key] = sighting{version: row.Version, first: ended}
			continue
		}
		s.still = max(s.still, began.Sub(s.first))
		next[row.Key] = s
	}
	w.seen = next
}

// lapsed reports whether the newest observed list showed the holder's counter
// unchanged for the grant's length and a margin.
func (w *lapseWatch) lapsed(h Holder) bool {
	s, ok := w.seen[holderKey(h.ID)]
	return ok && s.still >= h.Length+lapseMargin(h.Length)
}

// still returns how long the holder's counter is known to have stood still.
func (w *lapseWatch) still(h Holder) time.Duration { return w.seen[holderKey(h.ID)].still }
