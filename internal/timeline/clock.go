// Package timeline keeps a bounded ring of events in each process, stamped by a
// hybrid logical clock, and merges the rings of many processes in causal order.
package timeline

import (
	"sync"
	"time"
)

// Stamp is a time of a hybrid logical clock: wall time in nanoseconds since
// 1970, then a counter for events that the wall clock cannot order.
type Stamp struct {
	Wall    int64
	Logical uint32
}

// Before reports whether s is ordered before t.
func (s Stamp) Before(t Stamp) bool {
	return s.Wall < t.Wall || s.Wall == t.Wall && s.Logical < t.Logical
}

// Time returns the wall part.
func (s Stamp) Time() time.Time { return time.Unix(0, s.Wall).UTC() }

// Clock is a hybrid logical clock. Its stamps rise, and rise past every stamp
// that it has observed. The mutex guards last.
type Clock struct {
	wall func() time.Time

	mu   sync.Mutex
	last Stamp
}

// NewClock returns a clock over the wall clock.
func NewClock(wall func() time.Time) *Clock { return &Clock{wall: wall} }

// Now returns the next stamp.
func (c *Clock) Now() Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(c.last)
	return c.last
}

// Observe moves the clock past a stamp of another process.
func (c *Clock) Observe(s Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last.Before(s) {
		c.last = s
	}
}

func (c *Clock) advance(last Stamp) {
	wall := c.wall().UnixNano()
	if wall > last.Wall {
		c.last = Stamp{Wall: wall}
		return
	}
	c.last = Stamp{Wall: last.Wall, Logical: last.Logical + 1}
}
