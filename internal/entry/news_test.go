package entry

import (
	"testing"

	"chicoryline/internal/dispatch"
	"chicoryline/internal/mesh"
	"chicoryline/internal/position"
)

// A VM has to know of commits that only others acknowledged, and pass that on. The
// position holds at any time, so it counts from a VM that has not heard this one, too.
func TestAcknowledgedPositionsTravel(t *testing.T) {
	e := newProcess(&growingStore{})
	e.router.Update(dispatch.ServerInfo{ID: "a", Group: "g", Address: "127.0.0.1:1", Slots: 1, Primary: true})
	high, low := position.Position{Term: 2, Offset: 4}, position.Position{Term: 2, Offset: 3}
	news := func(p position.Position) mesh.News {
		return mesh.News{Groups: map[string]mesh.GroupNews{"g": {PositionAge: -1, AnsweredAge: -1, CommittedAge: -1, Acknowledged: p}}}
	}
	e.hear("vm2", news(high), 0)
	e.hearDigest("south/vm3", news(low), 0)
	if got := e.router.Group("g").Acknowledged(); got != high {
		t.Errorf("acknowledged %v, want %v", got, high)
	}
	if got := e.compose().Groups["g"].Acknowledged; got != high {
		t.Errorf("the own news say %v, want %v", got, high)
	}
}
