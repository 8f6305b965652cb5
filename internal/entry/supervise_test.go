package entry

import (
	"testing"
	"time"

	"chicoryline/internal/access"
	"chicoryline/internal/boottime"
	"chicoryline/internal/dispatch"
	"chicoryline/internal/mesh"
	"chicoryline/internal/position"
	"chicoryline/internal/steward"
)

// The entry of a primary expires, and one replica is left: a steward has to act, and has to
// know the server that may still receive and acknowledge commits.
func TestServerWithoutEntryStaysKnownToStewards(t *testing.T) {
	e := newProcess(&growingStore{})
	e.settings.Domain = "north"
	for _, group := range []string{"g", "removed"} {
		e.router.Update(dispatch.ServerInfo{ID: group + "1", Group: group, Address: "127.0.0.1:1", Domain: "north", Slots: 1, Primary: true, Leaving: true})
		e.router.Update(dispatch.ServerInfo{ID: group + "2", Group: group, Address: "127.0.0.1:2", Domain: "south", Slots: 1})
		e.router.MarkMissing(group + "1")
	}
	e.view.Apply(&access.Config{Version: 1, Groups: map[string]access.Group{"g": {}}})
	g := e.router.Group("g")
	acknowledged := position.Position{Term: 1, Offset: 7}
	g.ObserveAcknowledged(acknowledged)
	var task steward.Task
	var ok bool
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		e.router.ExpireServers()
		e.reachability.update(boottime.Now(), []string{"north"})
		if task, ok = e.failoverTask(g); ok && task.Reason == steward.Missing && e.reachability.isSettled("north") {
			break
		}
	}
	if !ok || task.Primary != "g1" || task.Reason != steward.Missing || len(task.Servers) != 2 {
		t.Fatalf("task %v %+v", ok, task)
	}
	for i := range task.Servers {
		if s := &task.Servers[i]; s.ID == "g1" {
			if s.Missing == 0 {
				t.Error("the missing entry is not reported")
			}
			s.Missing = 0
			if want := (steward.Server{ID: "g1", Address: "127.0.0.1:1", Domain: "north", Leaving: true, Departing: true}); *s != want {
				t.Errorf("former server %+v, want %+v", *s, want)
			}
			if !task.IsDomainReachable(*s, boottime.Now()) {
				t.Error("the domain of this VM does not count as observed")
			}
		} else if want := (steward.Server{ID: "g2", Address: "127.0.0.1:2", Domain: "south"}); *s != want {
			t.Errorf("server %+v, want %+v", *s, want)
		} else if task.IsDomainReachable(*s, boottime.Now()) {
			t.Error("an unreachable domain counts as observed")
		}
	}
	if got := task.Acknowledged(); got != acknowledged {
		t.Errorf("acknowledged %v, want %v", got, acknowledged)
	}
	if _, ok := e.failoverTask(e.router.Group("removed")); ok {
		t.Error("a group that the configuration does not name gets a primary")
	}
}

// A network partition ends, and the mesh reaches the domain again sooner than its entries are
// back.
func TestDomainSettlesAfterPartition(t *testing.T) {
	var tc domainReachability
	now := boottime.Now()
	step := func(d time.Duration, domains ...string) {
		for range d / superviseInterval {
			now = now.Add(superviseInterval)
			tc.update(now, domains)
		}
	}
	want := func(what string, settled bool) {
		t.Helper()
		if got := tc.isSettled("north"); got != settled {
			t.Errorf("%s: settled %v", what, got)
		}
	}
	step(domainSettleTime, "north", "south")
	want("just before", false)
	step(superviseInterval, "north")
	want("reachable for long enough", true)
	step(superviseInterval)
	want("partitioned", false)
	step(domainSettleTime, "north")
	want("reachable again", false)
	step(superviseInterval, "north")
	want("reachable again for long enough", true)
	now = now.Add(2 * mesh.PeerTimeout)
	step(superviseInterval, "north")
	want("after a pause of this VM", false)
}
