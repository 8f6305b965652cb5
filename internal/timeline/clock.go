// Package timeline records events of each process in a ring buffer, with timestamps of a
// hybrid logical clock, and merges the events of many processes in causal order.
package timeline

import (
	"sync"
	"time"
)

// Stamp is a timestamp of a hybrid logical clock: wall time in nanoseconds since 1970, and
// a counter that orders events with the same wall time.
type Stamp struct {
	Wall    int64
	Logical uint32
}

// Before reports whether s is ordered before t.
func (s Stamp) Before(t Stamp) bool {
	return s.Wall < t.Wall || s.Wall == t.Wall && s.Logical < t.Logical
}

// Time returns the wall time.
func (s Stamp) Time() time.Time { return time.Unix(0, s.Wall).UTC() }

// Clock is a hybrid logical clock. Each stamp is greater than all earlier ones and than
// all stamps that the clock has observed. The mutex guards last.
type Clock struct {
	wall func() time.Time

	mu   sync.Mutex
	last Stamp
}

// NewClock returns a clock based on the given wall clock.
func NewClock(wall func() time.Time) *Clock { return &Clock{wall: wall} }

// Now returns the next stamp.
func (c *Clock) Now() Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(c.last)
	return c.last
}

// Observe advances the clock to a stamp of another process, so that later stamps are
// greater.
func (c *Clock) Observe(s Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last.Before(s) {
		c.last = s
	}
}

// advance sets last to the next stamp: the wall time, or if that is not after the last
// stamp, the last stamp with the counter incremented.
func (c *Clock) advance(last Stamp) {
	wall := c.wall().UnixNano()
	if wall > last.Wall {
		c.last = Stamp{Wall: wall}
		return
	}
	c.last = Stamp{Wall: last.Wall, Logical: last.Logical + 1}
}
