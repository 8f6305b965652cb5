package connset

import (
	"time"

	"chicoryline/internal/boottime"
)

const (
	// slowResponse is the response time above which the queue of a server is taken to be too
	// long: half of the usual latency objective of 400 ms.
	slowResponse = 200 * time.Millisecond
	// shrinkFactor is the part of a window that remains after a sign of overload. Further
	// signs are ignored for shrinkInterval, until the effect shows.
	shrinkFactor   = 0.75
	shrinkInterval = 150 * time.Millisecond
)

// window is the number of statements that this VM may have in flight at a server. It grows by
// one for each full window of fast answers, and shrinks by a factor when the server rejects
// work or is slow.
//
// Load pattern: reads of a group whose replicas all lag go to its primary, from all VMs at
// once. Without the window each VM would fill the queue of the server; every answer would miss
// its objective, and handshakes would wait in the same queue.
type window struct {
	width    float64
	limit    int
	shrunkAt boottime.Time
}

func newWindow(limit int) window { return window{width: float64(limit), limit: limit} }

// setLimit sets the maximum number of connections.
func (w *window) setLimit(limit int) {
	if w.width >= float64(w.limit) {
		w.width = float64(limit)
	}
	w.limit = limit
	w.width = min(w.width, float64(max(limit, 1)))
}

func (w *window) size() int { return max(1, int(w.width)) }

// admits reports whether one more statement may be sent besides those in flight.
func (w *window) admits(inUse int) bool { return inUse < w.size() }

// noteResponse adapts the window to the response time of a statement.
func (w *window) noteResponse(took time.Duration) {
	if took > slowResponse {
		w.noteOverload()
		return
	}
	w.width = min(w.width+1/max(w.width, 1), float64(max(w.limit, 1)))
}

// noteOverload shrinks the window after a sign of overload.
func (w *window) noteOverload() {
	now := boottime.Now()
	if now.Sub(w.shrunkAt) < shrinkInterval {
		return
	}
	w.width, w.shrunkAt = max(1, w.width*shrinkFactor), now
}

// NoteResponse records the response time of a statement at the server.
func (s *Set) NoteResponse(took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.window.noteResponse(took)
	s.serveWaiters()
}

// NoteOverload records that the server rejected a statement because it was full.
func (s *Set) NoteOverload() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.window.noteOverload()
}
