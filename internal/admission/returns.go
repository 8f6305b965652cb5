package admission

import (
	"slices"
	"time"

	"chicoryline/internal/boottime"
)

const (
	// maxRetryAfter bounds retry times: the longest time limit of a statement is 2 s, and
	// what was promised for later would be out of date.
	maxRetryAfter = 3 * time.Second
	// maxEarly and maxLate are how much earlier or later than promised a caller may return:
	// rounding and a round trip, and a new connection to another VM that asks this one.
	maxEarly = 30 * time.Millisecond
	maxLate  = 300 * time.Millisecond
	// maxPromises bounds the remembered promises.
	maxPromises = 256
	// spreadFraction is the golden ratio less one. Its multiples, modulo 1, are spread evenly
	// for any number of them.
	spreadFraction = 0.6180339887498949
)

// Spread gives callers that are refused together different times to come back.
//
// Load pattern: hundreds of requests are refused within a few milliseconds. With the same retry
// time for all they arrive together again, and most are refused again.
type Spread struct {
	// next is the earliest time of the next return.
	next  boottime.Time
	drawn float64
}

// Next returns when the next caller is to come back: from the given time on, one for each step,
// the time in which there is room for one more.
func (s *Spread) Next(now, from boottime.Time, step time.Duration) boottime.Time {
	horizon := max(now.Add(maxRetryAfter), from.Add(maxRetryAfter/2))
	if at := max(from, s.next); at < horizon {
		s.next = at.Add(step)
		return at
	}
	// More callers than there is room for: the rest is spread evenly over the second half.
	s.drawn += spreadFraction
	s.drawn -= float64(int(s.drawn))
	return horizon.Add(-time.Duration(s.drawn * float64(maxRetryAfter/2)))
}

// Returns spreads the returns of refused callers over the time in which the server has room for
// them, the more urgent ones first, and recognizes callers that return as they were told.
type Returns struct {
	spreads  map[int]*Spread // by priority
	promises []promise
}

// promise is a return that was promised to a caller.
type promise struct {
	class
	refusedAt, returnAt boottime.Time
}

// Promise returns when a refused caller is to come back. wait is the time until there is room,
// step the time in which the server has room for one more request. arrived is when the request
// arrived, or was first refused.
func (r *Returns) Promise(now, arrived boottime.Time, customer string, priority int, wait, step time.Duration) time.Duration {
	if r.spreads == nil {
		r.spreads = map[int]*Spread{}
	}
	if r.spreads[priority] == nil {
		r.spreads[priority] = &Spread{}
	}
	from := now.Add(min(wait, maxRetryAfter))
	for p, s := range r.spreads {
		if p < priority {
			from = max(from, min(s.next, now.Add(maxRetryAfter)))
		}
	}
	at := r.spreads[priority].Next(now, from, step)
	if len(r.promises) >= maxPromises {
		r.promises = slices.DeleteFunc(r.promises, func(p promise) bool { return now.Sub(p.returnAt) > maxLate })
	}
	if len(r.promises) < maxPromises {
		r.promises = append(r.promises, promise{class{customer, priority}, arrived, at})
	}
	return max(at.Sub(now), time.Millisecond)
}

// Redeem returns when the request that arrives now was first refused, or now if its customer was
// not told to return now. Each promise is redeemed once.
func (r *Returns) Redeem(now boottime.Time, customer string, priority int) boottime.Time {
	found := -1
	for i, p := range r.promises {
		early, late := p.returnAt.Sub(now), now.Sub(p.returnAt)
		if p.class == (class{customer, priority}) && early <= maxEarly && late <= maxLate && (found < 0 || p.refusedAt < r.promises[found].refusedAt) {
			found = i
		}
	}
	if found < 0 {
		return now
	}
	refusedAt := r.promises[found].refusedAt
	r.promises = slices.Delete(r.promises, found, found+1)
	return refusedAt
}
