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

// Load pattern: 20 groups, of which a VM uses few. What it has heard from others is no news;
// what it has learned itself is told twice at least, as a datagram may be lost.
func TestVMsTellOfGroupsThatTheyUse(t *testing.T) {
	now := boottime.Now()
	recent, old := now.Add(-recentTime/2), now.Add(-2*recentTime)
	for name, c := range map[string]struct {
		news   mesh.GroupNews
		health dispatch.Health
		want   bool
	}{
		"heard of only":         {mesh.GroupNews{Acknowledged: position.Position{Term: 1, Offset: 7}}, dispatch.Health{LeadershipConfirmedAt: recent, LastAnswer: recent}, false},
		"statements under way":  {mesh.GroupNews{Loads: map[uint32]float32{1: 0.1}}, dispatch.Health{}, true},
		"committed":             {mesh.GroupNews{}, dispatch.Health{OwnLastCommit: recent}, true},
		"committed long ago":    {mesh.GroupNews{}, dispatch.Health{OwnLastCommit: old}, false},
		"answered":              {mesh.GroupNews{}, dispatch.Health{OwnLastAnswer: recent}, true},
		"proved the lead":       {mesh.GroupNews{}, dispatch.Health{OwnLeadershipConfirmedAt: recent}, true},
		"primary fails":         {mesh.GroupNews{}, dispatch.Health{FailingSince: recent}, true},
		"change of the primary": {mesh.GroupNews{ExpectedIn: 300}, dispatch.Health{}, true},
	} {
		if got := isNews(c.news, c.health); got != c.want {
			t.Errorf("%s: told %t, want %t", name, got, c.want)
		}
	}
}
