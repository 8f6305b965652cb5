package entry

import (
	"testing"

	"chicoryline/internal/boottime"
	"chicoryline/internal/dispatch"
	"chicoryline/internal/mesh"
	"chicoryline/internal/position"
)

// A VM has to know of commits that only others acknowledged, and pass that on. The
// position holds at any time, so it counts from a VM that has not heard this one, too.
func TestAcknowledgedPositionsPropagate(t *testing.T) {
	e := newProcess(&growingStore{})
	e.router.Update(dispatch.ServerInfo{ID: "a", Group: "g", Address: "127.0.0.1:1", Slots: 1, Primary: true})
	high, low := position.Position{Term: 2, Offset: 4}, position.Position{Term: 2, Offset: 3}
	news := func(p position.Position) mesh.StateUpdate {
		return mesh.StateUpdate{Groups: map[string]mesh.GroupState{"g": {PositionAge: -1, AnsweredAge: -1, CommittedAge: -1, Acknowledged: p}}}
	}
	e.receiveUpdate("vm2", news(high), 0)
	e.receiveDigest("south/vm3", news(low), 0)
	if got := e.router.Group("g").Acknowledged(); got != high {
		t.Errorf("acknowledged %v, want %v", got, high)
	}
	if got := e.composeUpdate().Groups["g"].Acknowledged; got != high {
		t.Errorf("the own news say %v, want %v", got, high)
	}
}

// Load pattern: 20 groups, of which a VM uses few. What it has heard from others is no news;
// what it has learned itself is told twice at least, as a datagram may be lost.
func TestOnlyUsedGroupsAreReported(t *testing.T) {
	now := boottime.Now()
	recent, old := now.Add(-recentStatePeriod/2), now.Add(-2*recentStatePeriod)
	for name, c := range map[string]struct {
		news   mesh.GroupState
		health dispatch.Health
		want   bool
	}{
		"heard of only":         {mesh.GroupState{Acknowledged: position.Position{Term: 1, Offset: 7}}, dispatch.Health{Led: recent, Answered: recent}, false},
		"statements under way":  {mesh.GroupState{Loads: map[uint32]float32{1: 0.1}}, dispatch.Health{}, true},
		"committed":             {mesh.GroupState{}, dispatch.Health{OwnCommitted: recent}, true},
		"committed long ago":    {mesh.GroupState{}, dispatch.Health{OwnCommitted: old}, false},
		"answered":              {mesh.GroupState{}, dispatch.Health{OwnAnswered: recent}, true},
		"proved the lead":       {mesh.GroupState{}, dispatch.Health{OwnLed: recent}, true},
		"primary fails":         {mesh.GroupState{}, dispatch.Health{Failing: recent}, true},
		"change of the primary": {mesh.GroupState{ExpectedIn: 300}, dispatch.Health{}, true},
	} {
		if got := hasNewState(c.news, c.health); got != c.want {
			t.Errorf("%s: told %t, want %t", name, got, c.want)
		}
	}
}
