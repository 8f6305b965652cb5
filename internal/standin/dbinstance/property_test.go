package dbinstance

import (
	"reflect"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"chicoryline/internal/backend"
	"chicoryline/internal/position"
)

// modelSteps is the number of steps in one run of the model.
const modelSteps = 150

// checkInvariants checks that a write confirmed by a majority is in the log of the
// primary of the highest term, that no log has a term above its instance's fence, and
// that every primary is active.
func (m *model) checkInvariants(t *rapid.T) {
	highestTerm := uint64(0)
	for term := range m.primaries {
		highestTerm = max(highestTerm, term)
	}
	primary := m.stores[m.primaries[highestTerm]]
	for _, w := range m.writes {
		if len(w.confirmed) < backend.Majority(len(m.ids)) {
			continue
		}
		if !primary.log.contains(w.position) || !hasKey(primary, w.key) {
			t.Fatalf("write %s at %v is missing on %s, the primary of term %d", w.key, w.position, primary.id, highestTerm)
		}
	}
	for _, id := range m.ids {
		s := m.stores[id].Status()
		if s.Log.Term > s.Fence {
			t.Fatalf("the log of %s has a term above the fence: %+v", id, s)
		}
		if s.Role == backend.Primary && !s.IsActivePrimary() {
			t.Fatalf("%s is a primary but not active: %+v", id, s)
		}
	}
}

// checkLogs checks that logs with the same position have the same prefix up to it, and
// that the tables of every store match its log.
func (m *model) checkLogs(t *rapid.T) {
	entries := map[position.Position]Entry{}
	before := map[position.Position]position.Position{}
	for _, id := range m.ids {
		s := m.stores[id]
		last := position.Position{}
		rebuilt := tableSet{}
		for i, e := range s.log {
			if old, ok := entries[e.Position]; ok && (!reflect.DeepEqual(old, e) || before[e.Position] != last) {
				t.Fatalf("two logs differ at %v", e.Position)
			}
			entries[e.Position], before[e.Position] = e, last
			if e.Position.Offset != uint64(i)+1 || e.Position.Term < last.Term {
				t.Fatalf("log of %s is out of order at %v", id, e.Position)
			}
			last = e.Position
			rebuilt.apply(e.Changes)
		}
		if diff := cmp.Diff(rebuilt, s.tables, cmp.AllowUnexported(table{})); diff != "" {
			t.Fatalf("tables of %s do not match its log: %s", id, diff)
		}
	}
}

func hasKey(s *Store, key string) bool {
	t, ok := s.tables["kv"]
	if !ok {
		return false
	}
	_, ok = t.byKey[textValue(key)]
	return ok
}

// TestConfirmedWritesSurvive checks that a write confirmed by a majority is never lost,
// in any order of fence, promote and follow commands.
func TestConfirmedWritesSurvive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(rapid.SampledFrom([]int{3, 5}).Draw(t, "instances"))
		for range modelSteps {
			m.takeStep(t)
			m.checkInvariants(t)
		}
		m.checkLogs(t)
	})
}
