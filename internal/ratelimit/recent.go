package ratelimit

import (
	"time"

	"chicoryline/internal/boottime"
)

const (
	// parts is the number of parts of a window; a part is forgotten at once.
	parts = 100
	// slots holds one part more: operations of the oldest part are older than the
	// window only when the part after it begins.
	slots = parts + 1
)

// recent counts operations of the last window.
type recent struct {
	counts [slots]float64
	sum    float64
	// at is the slot of the present moment, counted from the clock's start.
	at int64
}

// move forgets what is older than the window.
func (r *recent) move(now boottime.Time, window time.Duration) {
	at := int64(now) / (int64(window) / parts)
	for i := max(r.at+1, at-slots+1); i <= at; i++ {
		r.sum -= r.counts[i%slots]
		r.counts[i%slots] = 0
	}
	r.at = max(r.at, at)
}

// add counts operations of the present moment.
func (r *recent) add(n float64) {
	r.counts[r.at%slots] += n
	r.sum += n
}
