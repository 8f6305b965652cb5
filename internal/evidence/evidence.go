// Package evidence records what is known about the log of a database group over time:
// positions that covered every acknowledged commit at a given time. A replica that has applied
// such a position can serve reads that may be as old as that time.
package evidence

import (
	"sync"
	"time"

	"chicoryline/internal/boottime"
	"chicoryline/internal/position"
)

const (
	// maxPoints is the number of points kept: enough for reads up to 6 s old at one point per
	// minSpacing.
	maxPoints = 128
	// minSpacing is the minimum time between two points.
	minSpacing = 50 * time.Millisecond
)

// Point states that Position covered all commits acknowledged before At.
type Point struct {
	At       boottime.Time
	Position position.Position
}

// History holds the points of one group in chronological order. The mutex guards the fields
// below it.
type History struct {
	mu     sync.Mutex
	points []Point
	newest Point
}

// Add records that the position covered all commits acknowledged before at.
func (h *History) Add(at boottime.Time, p position.Position) {
	if p.IsZero() {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if at <= h.newest.At {
		return
	}
	h.newest.At = at
	if p.Compare(h.newest.Position) > 0 {
		h.newest.Position = p
	}
	if n := len(h.points); n > 0 && h.newest.At.Sub(h.points[n-1].At) < minSpacing {
		return
	}
	if len(h.points) == maxPoints {
		h.points = append(h.points[:0], h.points[1:]...)
	}
	h.points = append(h.points, h.newest)
}

// Newest returns the latest point; its At is zero if there is none.
func (h *History) Newest() Point {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.newest
}

// RequiredPosition returns the lowest known position that covers all commits acknowledged
// before the given time. It returns false if no point is that recent.
func (h *History) RequiredPosition(before boottime.Time) (position.Position, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, p := range h.points {
		if p.At >= before {
			return h.inNewestTerm(p.Position), true
		}
	}
	return h.newest.Position, h.newest.At >= before && h.newest.At > 0
}

// inNewestTerm replaces a position of an older term by one of the newest term: a failover may
// have discarded the end of the old log, and then no server will ever reach the position.
func (h *History) inNewestTerm(p position.Position) position.Position {
	if p.Term == h.newest.Position.Term {
		return p
	}
	for _, q := range h.points {
		if q.Position.Term == h.newest.Position.Term {
			return q.Position
		}
	}
	return h.newest.Position
}
