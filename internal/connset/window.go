package connset

import (
	"time"

	"chicoryline/internal/boottime"
)

const (
	// slowResponse is the response time above which a server has a queue that is too
	// long: half of the usual latency objective of 400 ms.
	slowResponse = 200 * time.Millisecond
	// shrinkFactor is what is left of a window after a sign of overload; the next sign
	// counts after shrinkPause, when the effect shows.
	shrinkFactor   = 0.75
	shrinkInterval = 150 * time.Millisecond
)

// window is the number of statements that this VM has under way at a server. It
// grows by one for a window of good answers and shrinks by a part when the server
// refuses work or is slow.
//
// Load pattern: reads of a group whose replicas all lag go to its primary, from all
// VMs at once. Without the window each VM fills the server's queue, every answer
// misses its objective and handshakes wait behind it as well.
type window struct {
	value    float64
	limit    int
	shrunkAt boottime.Time
}

func newWindow(limit int) window { return window{value: float64(limit), limit: limit} }

// setLimit sets the number of connections that there may be.
func (w *window) setLimit(limit int) {
	if w.value >= float64(w.limit) {
		w.value = float64(limit)
	}
	w.limit = limit
	w.value = min(w.value, float64(max(limit, 1)))
}

func (w *window) size() int { return max(1, int(w.value)) }

// admits reports whether one more statement may be sent beside those under way.
func (w *window) admits(inUse int) bool { return inUse < w.size() }

// noteResponse takes the response time of a statement.
func (w *window) noteResponse(took time.Duration) {
	if took > slowResponse {
		w.noteOverload()
		return
	}
	w.value = min(w.value+1/max(w.value, 1), float64(max(w.limit, 1)))
}

// noteOverload takes a sign that the server has too much to do.
func (w *window) noteOverload() {
	now := boottime.Now()
	if now.Sub(w.shrunkAt) < shrinkInterval {
		return
	}
	w.value, w.shrunkAt = max(1, w.value*shrinkFactor), now
}

// NoteResponse takes the response time of a statement at the server.
func (s *Set) NoteResponse(took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.window.noteResponse(took)
	s.serveWaiters()
}

// NoteOverload takes the server's refusal of a statement for lack of room.
func (s *Set) NoteOverload() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.window.noteOverload()
}
