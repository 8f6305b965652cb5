package quota

import "time"

// search is a holder's search for the home. It calls every candidate once, in order and
// without a promise. If none of them acts as home or names the home, the holder selects
// the first candidate that answered. Holders that can reach the same VMs therefore
// select the same candidate.
type search struct {
	running       bool
	next          int    // index of the next candidate to call
	firstAnswered string // first candidate that answered
}

// continueSearch starts a search or moves on to the next candidate. answered is set if
// the current target has answered.
func (h *holder) continueSearch(now time.Time, answered bool) {
	if len(h.candidates) == 0 {
		return
	}
	if !h.search.running {
		h.search = search{running: true}
	} else if answered && h.search.firstAnswered == "" {
		h.search.firstAnswered = h.target
	}
	if h.search.next < len(h.candidates) {
		h.setTarget(h.candidates[h.search.next])
		h.search.next++
		return
	}
	target := h.search.firstAnswered
	if target == "" {
		target = h.candidates[0]
	}
	h.search = search{}
	h.waitingSince = now
	h.setTarget(target)
}

// needsImmediateRenewal reports whether to send the next renewal now instead of at the
// next interval: during a search, and for the first promise to a new home.
func (h *holder) needsImmediateRenewal(now time.Time) bool {
	if h.inFlight || h.machine.Done() {
		return false
	}
	return h.search.running || (h.promisedHome != h.markHome && h.canPromise(now))
}
