package quota

import "time"

// maxWaiting bounds the waiting requests of one resource.
const maxWaiting = 256

// waiter is a request that waits for tokens. done learns the outcome once.
type waiter struct {
	n        float64
	deadline time.Time
	done     func(admitted bool)
}

// waitList holds the waiting requests of one resource in order of arrival.
type waitList []*waiter

// process settles what can be settled at the time now. answered says that a
// renewal has just ended. It returns when to come again (zero: at the next
// answer or deadline) and whether a renewal should be sent now.
func (l *waitList) process(now time.Time, h *holder, answered bool) (next time.Time, urgent bool) {
	for len(*l) > 0 {
		first := (*l)[0]
		if h.admit(now, first.n) {
			l.pop(true)
			continue
		}
		next, inTime := h.availableAt(now, first.n, first.deadline)
		if !now.Before(first.deadline) || (!inTime && answered && now.Before(h.noTokensUntil)) {
			l.pop(false)
			continue
		}
		urgent = h.recordShortage(now, l.totalUnits())
		if !inTime {
			next = time.Time{}
		}
		return next, urgent
	}
	return time.Time{}, false
}

// remove takes the waiter out and reports whether it was still waiting.
func (l *waitList) remove(w *waiter) bool {
	for i, other := range *l {
		if other == w {
			*l = append((*l)[:i], (*l)[i+1:]...)
			return true
		}
	}
	return false
}

func (l *waitList) pop(admitted bool) {
	first := (*l)[0]
	*l = (*l)[1:]
	first.done(admitted)
}

// totalUnits is what all waiting requests ask for.
func (l *waitList) totalUnits() float64 {
	sum := 0.0
	for _, w := range *l {
		sum += w.n
	}
	return sum
}
