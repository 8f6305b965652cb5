package steward

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chicoryline/internal/errkind"
	"chicoryline/internal/position"
)

// departingGroup returns a group whose primary is a, and its servers; c is about to end.
func departingGroup() (*fakeGroup, []Server) {
	g := &fakeGroup{received: map[string]uint64{"a": 7, "b": 7, "c": 7}, primary: "a"}
	return g, []Server{{ID: "a"}, {ID: "b"}, {ID: "c", Started: 3, Leaving: true, Departing: true}}
}

// retireC retires c, which then ends, and the primary is lost. It returns the servers as VMs that
// restart know them from the roster.
func retireC(t *testing.T, store *fakeStore, g *fakeGroup, servers []Server) []Server {
	t.Helper()
	s := newSteward("vm1", store, g)
	if _, err := runAttempt(s, Departing, 7, servers...); err != nil || !s.IsRetired("g", "c", 3) || s.IsRetired("g", "c", 4) {
		t.Fatalf("c is not retired: %v, %v", err, g.history())
	}
	g.losePrimary()
	g.down = map[string]bool{"a": true, "c": true}
	return []Server{{ID: "a"}, {ID: "b"}, {ID: "c", Started: 3, Missing: time.Millisecond}}
}

// A replica left as planned, the primary was lost, and VMs restarted: each steward refused, as the
// replica might have been the only holder of a commit (review/8).
func TestDepartedReplicaDoesNotKeepAPrimaryFromBeingReplacedAfterARestartOfAllVMs(t *testing.T) {
	for _, primary := range []string{"a", ""} {
		g, servers := departingGroup()
		store := newFakeStore()
		left := retireC(t, store, g, servers)
		if diff := cmp.Diff([]string{"pause c at 2"}, g.history()); diff != "" {
			t.Error(diff)
		}
		done := ""
		s := newSteward("vm1", store, g)
		err := s.runTask(context.Background(), Task{
			Group: "g", Primary: primary, Servers: left, Reason: Missing, OnPrimaryAnswered: func() {}, OnPromoted: func(server string) { done = server },
		}, s.cfg.Log)
		if err != nil || done != "b" {
			t.Errorf("known primary %q: %q, %v", primary, done, err)
		}
	}
}

// Guards against a promotion without the commits of a server whose log bound does not hold, or that
// the target lacks.
func TestRetiredServerHoldsAPromotionUpIfItsLogBoundDoesNotHold(t *testing.T) {
	for name, change := range map[string]func(g *fakeGroup, left []Server, r *record){
		"beyond the target's log":   func(g *fakeGroup, _ []Server, _ *record) { g.received["b"] = 6 },
		"restarted":                 func(_ *fakeGroup, left []Server, _ *record) { left[2].Started = 4 },
		"of a term before":          func(_ *fakeGroup, _ []Server, r *record) { r.Retired[0].Term = 0 },
		"of another era":            func(_ *fakeGroup, _ []Server, r *record) { r.Retired[0].Era = 1 },
		"may be released by orders": func(_ *fakeGroup, _ []Server, r *record) { r.Active, r.Earlier = true, []string{"b"} },
	} {
		g, servers := departingGroup()
		store := newFakeStore()
		left := retireC(t, store, g, servers)
		r, err := decodeRecord(store.rows["g"])
		if err != nil || len(r.Retired) != 1 {
			t.Fatalf("%+v, %v", r, err)
		}
		change(g, left, &r)
		store.put(t, r)
		if done, err := runAttempt(newSteward("vm1", store, g), Missing, 0, left...); err == nil || done == "b" {
			t.Errorf("%s: %q, %v", name, done, err)
		}
	}
}

// Guards against a log bound of a server that was found to receive again.
func TestServerThatReceivesAgainIsNotRetired(t *testing.T) {
	g, servers := departingGroup()
	store := newFakeStore()
	s := newSteward("vm1", store, g)
	if _, err := runAttempt(s, Departing, 7, servers...); err != nil || !s.IsRetired("g", "c", 3) {
		t.Fatal(err)
	}
	g.hold("c", 0)
	servers[2].Departing = false
	if _, err := runAttempt(s, Departing, 7, servers...); err != nil || s.IsRetired("g", "c", 3) {
		t.Errorf("%v, retired %t", err, s.IsRetired("g", "c", 3))
	}
}

// Guards against a leaving replica that is retired although no other one has its log or receives,
// and that would leave the primary without a replica.
func TestReplicaIsRetiredOnlyIfAnotherOneStaysWithItsLog(t *testing.T) {
	for name, change := range map[string]func(g *fakeGroup, servers []Server){
		"other lacks commits":   func(g *fakeGroup, _ []Server) { g.received["b"] = 6 },
		"other leaves as well":  func(_ *fakeGroup, servers []Server) { servers[1].Leaving = true },
		"other does not answer": func(g *fakeGroup, _ []Server) { g.down = map[string]bool{"b": true} },
		"other is paused":       func(g *fakeGroup, _ []Server) { g.hold("b", 2) },
		"commit before the pause": func(g *fakeGroup, _ []Server) {
			g.beforePause = func(string) { g.received["c"] = 8 }
		},
	} {
		g, servers := departingGroup()
		change(g, servers)
		s := newSteward("vm1", newFakeStore(), g)
		if _, err := runAttempt(s, Departing, 7, servers...); err != nil || s.IsRetired("g", "c", 3) || g.held["c"] != 0 {
			t.Errorf("%s: %v, retired %t, paused at %d", name, err, s.IsRetired("g", "c", 3), g.held["c"])
		}
	}
}

// Commits got no answer for as long as the last replica that received was retired.
func TestRetiredReplicaIsResumedIfCommitsGetNoAnswer(t *testing.T) {
	g, servers := departingGroup()
	store := newFakeStore()
	s := newSteward("vm1", store, g)
	if _, err := runAttempt(s, Departing, 7, servers...); err != nil || !s.IsRetired("g", "c", 3) {
		t.Fatal(err)
	}
	g.received["a"], g.catchUp = 8, true
	servers[2].Departing = false
	_, err := runAttempt(s, CommitStuck, 7, servers...)
	if !errkind.Is(err, errkind.Conflict) || s.IsRetired("g", "c", 3) || g.held["c"] != 0 || g.received["c"] != 8 {
		t.Errorf("%v, paused at %d, received %d", err, g.held["c"], g.received["c"])
	}
}

// An attempt that failed resumed a replica that was about to end, and forgot what it had (soak seed
// 9007).
func TestAttemptThatIsGivenUpRetiresDepartingReplicas(t *testing.T) {
	g := &fakeGroup{received: map[string]uint64{"b": 7, "c": 7}, down: map[string]bool{"a": true, "d": true}}
	store := newFakeStore()
	servers := []Server{{ID: "a"}, {ID: "b"}, {ID: "c", Started: 3, Leaving: true, Departing: true}, {ID: "d"}}
	s := newSteward("vm1", store, g)
	if _, err := runAttempt(s, Silent, 0, servers...); err == nil || !s.IsRetired("g", "c", 3) {
		t.Fatalf("%v, retired %t", err, s.IsRetired("g", "c", 3))
	}
	g.down = map[string]bool{"a": true, "c": true}
	g.received["d"] = 7
	if done, err := runAttempt(newSteward("vm1", store, g), Silent, 0, servers...); err != nil || done == "" {
		t.Errorf("%q, %v", done, err)
	}
}

// A promotion ends the pause of a retired replica. It was not retired again for 3 s, and the next loss
// of a primary left the group without one for good (soak --departures --seed 61001).
func TestPromotionRetiresDepartingReplicasAgain(t *testing.T) {
	for _, reason := range []Reason{Leaving, Silent} {
		g, servers := departingGroup()
		g.received["d"], g.countsTerms = 7, true
		servers = append(servers, Server{ID: "d"})
		s := newSteward("vm1", newFakeStore(), g)
		if _, err := runAttempt(s, Departing, 7, servers...); err != nil {
			t.Fatal(err)
		}
		if reason == Silent {
			g.down = map[string]bool{"a": true}
		}
		if done, err := runAttempt(s, reason, 7, servers...); err != nil || done == "" || !s.IsRetired("g", "c", 3) {
			t.Errorf("%s: %q, %v, retired %t", reason, done, err, s.IsRetired("g", "c", 3))
		}
		history := g.history()
		leads, pause := slices.IndexFunc(history, func(event string) bool { return strings.HasSuffix(event, " leads") }), slices.Index(history, "pause c at 3")
		if leads < 0 || pause < leads || slices.Contains(history, "resume c") {
			t.Errorf("%s: %v", reason, history)
		}
	}
}

// Guards against a retirement that makes VMs that start forget which server was promoted last.
func TestRetirementKeepsTheNewestPromotionInTheRow(t *testing.T) {
	g, servers := departingGroup()
	store := newFakeStore()
	store.put(t, record{Holder: "vm1", Token: 4, Target: "a", Ordered: true})
	s := newSteward("vm1", store, g)
	if _, err := runAttempt(s, Departing, 7, servers...); err != nil || !s.IsRetired("g", "c", 3) {
		t.Fatal(err)
	}
	if change, err := s.Observe(store.rows["g"]); err != nil || change.Primary != "a" || change.InProgress {
		t.Errorf("%+v, %v", change, err)
	}
}

// Guards against an entry that outlives the promotion that ended the pause.
func TestPromotionEndsRetirements(t *testing.T) {
	g, servers := departingGroup()
	s := newSteward("vm1", newFakeStore(), g)
	if _, err := runAttempt(s, Departing, 7, servers...); err != nil {
		t.Fatal(err)
	}
	servers[2].Departing = false
	if done, err := runAttempt(s, Leaving, 7, servers...); err != nil || done != "b" || s.IsRetired("g", "c", 3) {
		t.Errorf("%q, %v, retired %t", done, err, s.IsRetired("g", "c", 3))
	}
}

// Guards against a row that grows with each server that leaves.
func TestRowKeepsTheNewestRetiredServers(t *testing.T) {
	a := &attempt{lease: &lease{}}
	for i := range 2 * maxRetired {
		a.addRetired(retiredServer{ID: "s", Started: int64(i), Position: position.Position{Term: 1, Offset: 1}})
	}
	if list := a.lease.record.Retired; len(list) != maxRetired || list[maxRetired-1].Started != 2*maxRetired-1 {
		t.Errorf("%d entries, the last is %+v", len(list), list[len(list)-1])
	}
}
