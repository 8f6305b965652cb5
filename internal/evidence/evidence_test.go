package evidence

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"chicoryline/internal/boottime"
	"chicoryline/internal/position"
)

func at(ms int) boottime.Time { return boottime.Time(time.Duration(ms) * time.Millisecond) }

func pos(term, offset uint64) position.Position { return position.Position{Term: term, Offset: offset} }

func TestRequiredPositionIsOldestRecentPoint(t *testing.T) {
	var h History
	if _, ok := h.RequiredPosition(at(0)); ok {
		t.Error("an empty history returns a position")
	}
	for i := 1; i <= 10; i++ {
		h.Add(at(i*100), pos(1, uint64(i)))
	}
	for _, c := range []struct {
		before int
		want   uint64
		ok     bool
	}{{50, 1, true}, {100, 1, true}, {101, 2, true}, {950, 10, true}, {1000, 10, true}, {1001, 0, false}} {
		p, ok := h.RequiredPosition(at(c.before))
		if ok != c.ok || ok && p.Offset != c.want {
			t.Errorf("before %d ms: %s %v, want 1/%d %v", c.before, p, ok, c.want, c.ok)
		}
	}
}

func TestPositionOfOldTermIsReplacedByNewTerm(t *testing.T) {
	var h History
	h.Add(at(100), pos(1, 50)) // may include entries that the failover discards
	h.Add(at(200), pos(2, 40))
	if p, ok := h.RequiredPosition(at(50)); !ok || p != pos(2, 40) {
		t.Errorf("%s %v, want the new term's position", p, ok)
	}
}

// Whatever the points recorded, the required position covers every commit acknowledged before
// the given time.
func TestRequiredPositionCoversAcknowledgedCommits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h History
		now, offset := 0, uint64(0)
		acked := map[int]uint64{} // by time
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += rapid.IntRange(1, 60).Draw(t, "pass")
			offset += uint64(rapid.IntRange(0, 3).Draw(t, "commits"))
			acked[now] = offset
			if rapid.Bool().Draw(t, "noted") {
				// The position covers every commit acknowledged up to now.
				h.Add(at(now), pos(1, offset))
			}
		}
		before := rapid.IntRange(0, now+10).Draw(t, "before")
		p, ok := h.RequiredPosition(at(before))
		if !ok {
			return
		}
		for when, n := range acked {
			if when < before && n > p.Offset {
				t.Errorf("commit %d was acknowledged at %d ms, before %d ms; required position is %s", n, when, before, p)
			}
		}
	})
}
