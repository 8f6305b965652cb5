// Package backoff spaces attempts that fail. It does no I/O, and the clock is passed in.
package backoff

import (
	"time"

	"chicoryline/internal/boottime"
)

// Backoff is a pause that begins with First and doubles with each failure, up to Max. It must not
// be used concurrently.
type Backoff struct {
	First, Max time.Duration
	pause      time.Duration
	until      boottime.Time
}

// Fail starts the next pause, unless one is in progress.
func (b *Backoff) Fail(now boottime.Time) {
	if b.Active(now) {
		return
	}
	b.pause = min(max(2*b.pause, b.First), b.Max)
	b.until = now.Add(b.pause)
}

// Reset ends the pause.
func (b *Backoff) Reset() { b.pause, b.until = 0, 0 }

// Active reports whether a pause is in progress.
func (b *Backoff) Active(now boottime.Time) bool { return now < b.until }
