package connset

import (
	"time"

	"chicoryline/internal/boottime"
)

// raiseDelay is how long a higher limit is delayed: until then another VM whose limit was
// lowered may still use its connections for statements in flight.
const raiseDelay = 700 * time.Millisecond

// limitLifetime is how long a limit permits more connections after it was last set, ten of the
// intervals at which it is. A VM that was suspended for longer finds its limit out of date: others
// have taken over its part of the connections.
const limitLifetime = 2 * time.Second

// LimitRaise is a higher limit that applies after raiseDelay. Its zero value holds none.
type LimitRaise struct {
	newLimit    int
	effectiveAt boottime.Time // 0 without one
}

// Next returns the limit in force when n is requested. A raise takes the lowest limit that was
// requested during the delay.
func (r *LimitRaise) Next(now boottime.Time, limit, n int) int {
	switch {
	case n <= limit:
		r.effectiveAt = 0
		return n
	case r.effectiveAt == 0:
		r.newLimit, r.effectiveAt = n, now.Add(raiseDelay)
		return limit
	}
	if r.newLimit = min(r.newLimit, n); now < r.effectiveAt {
		return limit
	}
	r.effectiveAt = 0
	return r.newLimit
}
