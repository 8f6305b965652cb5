package ratelimit

import (
	"time"

	"chicoryline/internal/boottime"
)

const (
	// windowParts is the number of parts of a window; a part is forgotten at once.
	windowParts = 100
	// windowSlots holds one part more: operations of the oldest part are older than the
	// window only when the part after it begins.
	windowSlots = windowParts + 1
)

// windowCounter counts operations of the last window.
type windowCounter struct {
	counts [windowSlots]float64
	sum    float64
	// at is the slot of the present moment, counted from the clock's start.
	at int64
}

// advance forgets what is older than the window.
func (r *windowCounter) advance(now boottime.Time, window time.Duration) {
	at := int64(now) / (int64(window) / windowParts)
	for i := max(r.at+1, at-windowSlots+1); i <= at; i++ {
		r.sum -= r.counts[i%windowSlots]
		r.counts[i%windowSlots] = 0
	}
	r.at = max(r.at, at)
}

// add counts operations of the present moment.
func (r *windowCounter) add(n float64) {
	r.counts[r.at%windowSlots] += n
	r.sum += n
}
