package quota

import "time"

// search is a holder's search for the home: it asks every candidate once, in
// order and without a promise, and if none acts or knows the home it turns to
// the first one that answered. So holders that reach the same VMs meet there.
type search struct {
	running  bool
	next     int    // index of the candidate to be asked after this one
	answered string // first candidate that answered
}

// continueSearch starts a search or goes on with it; answered says that the present
// target has answered.
func (h *holder) continueSearch(now time.Time, answered bool) {
	if len(h.candidates) == 0 {
		return
	}
	if !h.search.running {
		h.search = search{running: true}
	} else if answered && h.search.answered == "" {
		h.search.answered = h.target
	}
	if h.search.next < len(h.candidates) {
		h.setTarget(h.candidates[h.search.next])
		h.search.next++
		return
	}
	target := h.search.answered
	if target == "" {
		target = h.candidates[0]
	}
	h.search = search{}
	h.waitingSince = now
	h.setTarget(target)
}

// needsImmediateRenewal reports whether the next renewal should be sent now and not with the
// next interval: in a search, and to give the first promise to a new home.
func (h *holder) needsImmediateRenewal(now time.Time) bool {
	if h.inFlight || h.machine.Done() {
		return false
	}
	return h.search.running || (h.promisedHome != h.markHome && h.canPromise(now))
}
