package configsync

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"chicoryline/internal/services"
)

// patchDecision is what the holders' rows say about a pending patch.
type patchDecision struct {
	// agreed says that the patch can go in force.
	agreed bool
	// blockers names the holders and domains that stand against it.
	blockers []string
	// expired lists the holders that agreed by having lapsed.
	expired []string
}

// evaluatePatch judges a pending attempt by rows read after the attempt was written.
// A holder agrees if it has acknowledged. A holder that has lapsed agrees if a
// majority of its own voters has acknowledged: from then on no majority of them
// promises it anything before it knows the attempt, so it can not extend its
// grant without the platform; and with the platform it reads the attempt. One
// without voters never extends its grant without the platform.
func evaluatePatch(attempt uint64, holders []Holder, isExpired func(Holder) bool) patchDecision {
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
	decision := patchDecision{}
	for _, h := range holders {
		switch {
		case acked[h.ID]:
		case !isExpired(h):
			decision.blockers = append(decision.blockers, fmt.Sprintf("domain %s VM %s has not acknowledged", h.Domain, h.VM))
		case len(h.Voters) > 0 && !hasMajority(h.Voters, acked):
			decision.blockers = append(decision.blockers, fmt.Sprintf("domain %s VM %s has lapsed without a majority of the others", h.Domain, h.VM))
		default:
			decision.expired = append(decision.expired, h.ID)
		}
	}
	decision.agreed = len(decision.blockers) == 0
	return decision
}

// reason is the text that a refused patch carries.
func (d patchDecision) reason() string { return strings.Join(d.blockers, "; ") }

// conclusion is how a pending patch ends, if it ends now.
type conclusion struct {
	isFinal   bool
	agreed    bool
	next      Record   // the record that has to be written
	removable []string // holders whose rows can be deleted afterwards
}

// conclude ends the record's pending patch if the holders agree, or with a
// refusal if it has waited too long. Holders that agreed by having lapsed are
// barred; the row of one that was barred before this patch can go, because a
// majority of its voters knows that it is barred. So can the row of a
// registration that its process has given up.
func conclude(r Record, holders []Holder, isExpired func(Holder) bool, timedOut bool) conclusion {
	decision := evaluatePatch(r.Pending.Attempt, holders, isExpired)
	switch {
	case decision.agreed:
		end := conclusion{isFinal: true, agreed: true, next: r.withOutcome(StateInForce, "")}
		end.next.Barred = decision.expired
		for _, id := range decision.expired {
			if slices.Contains(r.Barred, id) {
				end.removable = append(end.removable, id)
			}
		}
		for _, h := range holders {
			end.removable = append(end.removable, h.Former...)
		}
		return end
	case timedOut:
		return conclusion{isFinal: true, next: r.withOutcome(StateRefused, decision.reason())}
	}
	return conclusion{}
}

// selectRows picks the rows of the holders from a list.
func selectRows(ids []string, rows []services.Row) []services.Row {
	var selected []services.Row
	for _, row := range rows {
		if slices.Contains(ids, strings.TrimPrefix(row.Key, holderPrefix)) {
			selected = append(selected, row)
		}
	}
	return selected
}

// pendingTimeout is how long a pending patch waits at least: a dead holder with
// grants of this length is found to have lapsed within it.
func pendingTimeout(length time.Duration) time.Duration {
	return length + expiryMargin(length) + pendingTimeoutSlack
}

// hasMajority reports whether more than half of the ids are in the set.
func hasMajority(ids []string, set map[string]bool) bool {
	count := 0
	for _, id := range ids {
		if set[id] {
			count++
		}
	}
	return 2*count > len(ids)
}

// expiryMarginDivisor divides a grant's length into the margin that covers the
// difference of clock rates.
const expiryMarginDivisor = 6

func expiryMargin(length time.Duration) time.Duration { return length / expiryMarginDivisor }

// expiryDetector concludes from rows alone, on one monotonic clock, that holders
// have lapsed.
type expiryDetector struct {
	observations map[string]counterObservation
	lastListEnd  time.Time // the end of the last list
}

// maxListGap is the longest time between two lists that a lapse may span. After
// a longer gap, as in a platform outage, the holders get a whole grant's time to
// renew before they are taken as lapsed.
const maxListGap = 2 * time.Second

type counterObservation struct {
	version      uint64
	firstSeen    time.Time // the end of the first read that showed the version
	unchangedFor time.Duration
}

// observe takes a list of the holders' rows whose read began and ended then.
func (d *expiryDetector) observe(rows []services.Row, began, ended time.Time) {
	next := make(map[string]counterObservation, len(rows))
	gap := began.Sub(d.lastListEnd) > maxListGap
	d.lastListEnd = ended
	for _, row := range rows {
		observation, ok := d.observations[row.Key]
		if !ok || gap || observation.version != row.Version {
			next[row.Key] = counterObservation{version: row.Version, firstSeen: ended}
			continue
		}
		observation.unchangedFor = max(observation.unchangedFor, began.Sub(observation.firstSeen))
		next[row.Key] = observation
	}
	d.observations = next
}

// isExpired reports whether the newest observed list showed the holder's counter
// unchanged for the grant's length and a margin.
func (d *expiryDetector) isExpired(h Holder) bool {
	s, ok := d.observations[holderKey(h.ID)]
	return ok && s.unchangedFor >= h.Length+expiryMargin(h.Length)
}

// unchangedFor returns how long the holder's counter is known to have stood still.
func (d *expiryDetector) unchangedFor(h Holder) time.Duration {
	return d.observations[holderKey(h.ID)].unchangedFor
}
