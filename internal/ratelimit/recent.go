package ratelimit

import (
	"time"

	"chicoryline/internal/boottime"
)

const (
	// windowParts is the number of parts that a window is divided into; operations expire by
	// whole parts.
	windowParts = 100
	// windowSlots has one slot more than parts: operations of the oldest part are all older
	// than the window only when the next part begins.
	windowSlots = windowParts + 1
)

// windowCounter counts the operations of the last window.
type windowCounter struct {
	counts [windowSlots]float64
	sum    float64
	// at is the current part, counted from the start of the clock.
	at int64
}

// advance expires operations that are older than the window.
func (r *windowCounter) advance(now boottime.Time, window time.Duration) {
	at := int64(now) / (int64(window) / windowParts)
	for i := max(r.at+1, at-windowSlots+1); i <= at; i++ {
		r.sum -= r.counts[i%windowSlots]
		r.counts[i%windowSlots] = 0
	}
	r.at = max(r.at, at)
}

// add counts operations at the current time.
func (r *windowCounter) add(n float64) {
	r.counts[r.at%windowSlots] += n
	r.sum += n
}
