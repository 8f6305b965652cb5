package entry

import (
	"testing"

	"chicoryline/internal/boottime"
	"chicoryline/internal/dispatch"
	"chicoryline/internal/mesh"
	"chicoryline/internal/position"
)

// A VM has to know of commits that only other VMs saw acknowledged, and relay that. An
// acknowledged position does not age, so it is accepted from a VM that has not received a
// datagram of this one, too.
func TestAcknowledgedPositionsPropagate(t *testing.T) {
	e := newProcess(&growingStore{})
	e.router.Update(dispatch.ServerInfo{ID: "a", Group: "g", Address: "127.0.0.1:1", Slots: 1, Primary: true})
	high, low := position.Position{Term: 2, Offset: 4}, position.Position{Term: 2, Offset: 3}
	state := func(p position.Position) mesh.StateUpdate {
		return mesh.StateUpdate{Groups: map[string]mesh.GroupState{"g": {PositionAge: -1, AnsweredAge: -1, CommittedAge: -1, Acknowledged: p}}}
	}
	e.receiveUpdate("vm2", state(high), 0)
	e.receiveDigest("south/vm3", state(low), 0)
	if got := e.router.Group("g").Acknowledged(); got != high {
		t.Errorf("acknowledged %v, want %v", got, high)
	}
	if got := e.composeUpdate().Groups["g"].Acknowledged; got != high {
		t.Errorf("the own update reports %v, want %v", got, high)
	}
}

// Load pattern: 20 groups, of which a VM uses few. State received from others is not reported
// again; own observations are reported at least twice, as a datagram may be lost.
func TestOnlyUsedGroupsAreReported(t *testing.T) {
	now := boottime.Now()
	recent, old := now.Add(-recentStatePeriod/2), now.Add(-2*recentStatePeriod)
	for name, c := range map[string]struct {
		state  mesh.GroupState
		health dispatch.Health
		want   bool
	}{
		"received only":        {mesh.GroupState{Acknowledged: position.Position{Term: 1, Offset: 7}}, dispatch.Health{LeadershipConfirmedAt: recent, LastAnswer: recent}, false},
		"statements in flight": {mesh.GroupState{Loads: map[uint32]float32{1: 0.1}}, dispatch.Health{}, true},
		"committed":            {mesh.GroupState{}, dispatch.Health{OwnLastCommit: recent}, true},
		"committed long ago":   {mesh.GroupState{}, dispatch.Health{OwnLastCommit: old}, false},
		"answered":             {mesh.GroupState{}, dispatch.Health{OwnLastAnswer: recent}, true},
		"confirmed leadership": {mesh.GroupState{}, dispatch.Health{OwnLeadershipConfirmedAt: recent}, true},
		"primary fails":        {mesh.GroupState{}, dispatch.Health{FailingSince: recent}, true},
		"primary change":       {mesh.GroupState{ExpectedIn: 300}, dispatch.Health{}, true},
	} {
		if got := hasNewState(c.state, c.health); got != c.want {
			t.Errorf("%s: reported %t, want %t", name, got, c.want)
		}
	}
}
