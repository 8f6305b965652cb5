package steward

import (
	"context"
	"testing"
	"time"

	"chicoryline/internal/errkind"
	"chicoryline/internal/position"
	"chicoryline/internal/statement"
)

// pausingGroup is a fakeGroup whose servers report their pauses. The server that restarts does
// so after its pause: that ends the pause and breaks the connection.
type pausingGroup struct {
	*fakeGroup
	paused   map[string]uint64
	restarts string
}

func (g *pausingGroup) Pause(c statement.Conn, term uint64, wait time.Duration) (statement.ServerStatus, error) {
	g.mu.Lock()
	g.paused[c.(fakeConn).server] = term
	g.mu.Unlock()
	return g.fakeGroup.Pause(c, term, wait)
}

func (g *pausingGroup) Status(c statement.Conn, wait time.Duration) (statement.ServerStatus, error) {
	id := c.(fakeConn).server
	status, err := g.fakeGroup.Status(c, wait)
	g.mu.Lock()
	defer g.mu.Unlock()
	if status.Primary {
		g.paused[id] = 0
	}
	if status.PausedTerm = g.paused[id]; status.PausedTerm > 0 && id == g.restarts {
		g.paused[id] = 0
		return statement.ServerStatus{}, errkind.New(errkind.Unreachable, "restarted")
	}
	return status, err
}

// failOverWithLease replaces the unreachable primary a where replaced primaries go on.
func failOverWithLease(restarts string, refresh func() []Server) (tokens int, err error) {
	return runWithLease(newFakeStore(), restarts, Task{RefreshServers: func(context.Context) ([]Server, error) { return refresh(), nil }})
}

// runWithLease completes the task of failOverWithLease and runs it.
func runWithLease(store *fakeStore, restarts string, task Task) (tokens int, err error) {
	g := &pausingGroup{fakeGroup: &fakeGroup{received: map[string]uint64{"b": 7, "c": 7}, down: map[string]bool{"a": true}}, paused: map[string]uint64{}, restarts: restarts}
	s := newSteward("vm1", store, g.fakeGroup)
	s.cfg.Control, s.cfg.LeaderLease = g, 10*time.Millisecond
	task.Group, task.Primary, task.Reason = "g", "a", Silent
	task.OnPrimaryAnswered, task.OnPromoted = func() {}, func(string) {}
	err = s.runTask(context.Background(), task, s.cfg.Log)
	return len(g.tokens), err
}

// Guards against a promotion without what was acknowledged, or with a primary that was proved to lead,
// between the last check of the replicas and the row that makes VMs withhold acknowledgements.
func TestReplicasAreCheckedOnceVMsWithholdAcknowledgements(t *testing.T) {
	for name, c := range map[string]struct {
		acknowledged uint64
		joined       []string
	}{
		"commit acknowledged": {acknowledged: 9},
		"server joined":       {acknowledged: 7, joined: []string{"d"}},
	} {
		store := newFakeStore()
		announced := func() bool { return observedLongAgo(t, store).record.Target != "" }
		tokens, err := runWithLease(store, "", Task{
			RefreshServers: func(context.Context) ([]Server, error) {
				if announced() {
					return serversWithIDs(append([]string{"a", "b", "c"}, c.joined...)...), nil
				}
				return serversWithIDs("a", "b", "c"), nil
			},
			Acknowledged: func() position.Position {
				if announced() {
					return position.Position{Term: 1, Offset: c.acknowledged}
				}
				return position.Position{Term: 1, Offset: 7}
			},
		})
		if err == nil || tokens != 0 || announced() {
			t.Errorf("%s: %d orders, announced %t, %v", name, tokens, announced(), err)
		}
	}
}

// Guards against a promotion while a replica may confirm the replaced primary, or let it
// acknowledge commits: a restart ended its pause, or it has joined since.
func TestNothingIsOrderedUnlessAllReplicasStayedPaused(t *testing.T) {
	all := func() []Server { return serversWithIDs("a", "b", "c") }
	if tokens, err := failOverWithLease("", all); err != nil || tokens != 1 {
		t.Errorf("no fault: %d orders, %v", tokens, err)
	}
	for _, id := range []string{"b", "c"} {
		if tokens, err := failOverWithLease(id, all); err == nil || tokens != 0 {
			t.Errorf("%s restarted: %d orders, %v", id, tokens, err)
		}
	}
	calls := 0
	joins := func() []Server {
		if calls++; calls == 1 {
			return all()
		}
		return append(all(), Server{ID: "d"})
	}
	if tokens, err := failOverWithLease("", joins); err == nil || tokens != 0 {
		t.Errorf("d joined: %d orders, %v", tokens, err)
	}
}

// Guards against a replaced primary that is taken for the primary because its successor does
// not answer the steward and the other replica has not observed the new term.
func TestReplacedPrimaryIsNotTakenForThePrimary(t *testing.T) {
	g := &fakeGroup{received: map[string]uint64{"a": 7, "b": 7, "c": 9}, primary: "a", down: map[string]bool{"c": true}}
	s, done := newSteward("vm1", newFakeStore(), g), ""
	err := s.runTask(context.Background(), Task{
		Group: "g", Primary: "c", Reason: Silent, Servers: serversWithIDs("a", "b", "c"),
		Acknowledged:      func() position.Position { return position.Position{Term: 2, Offset: 9} },
		OnPrimaryAnswered: func() {}, OnPromoted: func(server string) { done = server },
	}, s.cfg.Log)
	if err == nil || done != "" || len(g.tokens) != 0 {
		t.Errorf("%q is taken for the primary of a later term, %d orders, %v", done, len(g.tokens), err)
	}
	if g.currentPrimary() == "a" {
		t.Error("the replaced primary was not told to step down")
	}
}
