package configsync

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"chicoryline/internal/services"
)

// patchDecision says whether the holder rows allow a pending patch to take effect.
type patchDecision struct {
	// agreed is set if the patch can take effect.
	agreed bool
	// blockers describes the holders that prevent it.
	blockers []string
	// expired lists the holders that count as agreeing because they have expired.
	expired []string
}

// evaluatePatch evaluates a pending attempt. The holder rows must have been read
// after the attempt was written.
//
// A holder agrees if it has acknowledged the attempt. A holder whose grant has
// expired also agrees if a majority of its voters has acknowledged: from then on,
// until it knows the attempt, no majority of them gives it a promise, so it cannot
// extend its grant without the platform, and with the platform it reads the attempt.
// A holder without voters never extends its grant without the platform.
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

// reason is the reason given for refusing the patch.
func (d patchDecision) reason() string { return strings.Join(d.blockers, "; ") }

// conclusion says whether a pending patch ends now, and how.
type conclusion struct {
	isFinal   bool
	agreed    bool
	next      Record   // the record to write
	removable []string // ids of the holders whose rows can be deleted afterwards
}

// conclude puts the record's pending patch in force if the holders agree, or
// refuses it if it has timed out. Holders that agreed because they had expired are
// barred. The row of a holder that was barred before this patch can be deleted,
// because a majority of its voters knows that it is barred. So can the row of an
// earlier registration of a process that has registered again.
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

// selectRows returns the rows of the holders with these ids.
func selectRows(ids []string, rows []services.Row) []services.Row {
	var selected []services.Row
	for _, row := range rows {
		if slices.Contains(ids, strings.TrimPrefix(row.Key, holderPrefix)) {
			selected = append(selected, row)
		}
	}
	return selected
}

// pendingTimeout is the minimum time before a pending patch is refused. It is long
// enough to detect that a dead holder with a grant of this length has expired.
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

// expiryMarginDivisor sets the safety margin for different clock rates: the margin
// is the length of a grant or lease divided by it.
const expiryMarginDivisor = 6

func expiryMargin(length time.Duration) time.Duration { return length / expiryMarginDivisor }

// expiryDetector detects that the grants of other holders have expired. It uses
// only the holder rows and one local monotonic clock.
type expiryDetector struct {
	observations map[string]counterObservation // by row key
	lastListEnd  time.Time                     // the end of the last list
}

// maxListGap is the longest time between two lists over which an unchanged counter
// counts towards expiry. After a longer gap, as in a platform outage, the holders
// get a full grant length to renew before they are considered expired.
const maxListGap = 2 * time.Second

// counterObservation records how long a holder row has kept its version.
type counterObservation struct {
	version      uint64
	firstSeen    time.Time // the end of the first read that showed the version
	unchangedFor time.Duration
}

// observe processes a list of holder rows that was read between began and ended.
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

// isExpired reports whether the holder's counter was unchanged for at least its
// grant length plus the margin, as of the newest observed list.
func (d *expiryDetector) isExpired(h Holder) bool {
	s, ok := d.observations[holderKey(h.ID)]
	return ok && s.unchangedFor >= h.Length+expiryMargin(h.Length)
}

// unchangedFor returns how long the holder's counter is known to be unchanged.
func (d *expiryDetector) unchangedFor(h Holder) time.Duration {
	return d.observations[holderKey(h.ID)].unchangedFor
}
