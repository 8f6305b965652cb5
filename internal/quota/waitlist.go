package quota

import "time"

// maxWaiting is the maximum number of waiting requests of one resource.
const maxWaiting = 256

// waiter is a request that waits for tokens. done is called once with the outcome.
type waiter struct {
	n        float64
	deadline time.Time
	done     func(admitted bool)
}

// waitList holds the waiting requests of one resource in arrival order.
type waitList []*waiter

// process admits or rejects waiting requests where possible. answered is set after a
// renewal has ended. It returns when to call process again (zero: at the next answer or
// deadline) and whether to send a renewal now.
func (l *waitList) process(now time.Time, h *holder, answered bool) (next time.Time, renewNow bool) {
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
		renewNow = h.recordShortage(now, l.totalUnits())
		if !inTime {
			next = time.Time{}
		}
		return next, renewNow
	}
	return time.Time{}, false
}

// remove removes the waiter and reports whether it was still waiting.
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

// totalUnits returns the units that all waiting requests ask for.
func (l *waitList) totalUnits() float64 {
	sum := 0.0
	for _, w := range *l {
		sum += w.n
	}
	return sum
}
