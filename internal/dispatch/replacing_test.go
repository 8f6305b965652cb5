package dispatch

import (
	"context"
	"testing"
	"time"

	"chicoryline/internal/boottime"
	"chicoryline/internal/errkind"
)

// replacedDuring returns a group whose primary is being replaced from the call with the number on.
func replacedDuring(s *scriptedServer, call int) *Group {
	g, calls := scriptedGroup(s), 0
	g.cfg.OutstandingTargets = func(string) ([]string, bool) {
		if calls++; calls >= call {
			return []string{"b"}, false
		}
		return nil, false
	}
	return g
}

// An order without an answer was executed seconds late. Until then VMs reported commits of the
// old primary as successful that the promoted server lacked (soak seed 9004: LOST).
func TestAcknowledgementsOfAServerThatIsBeingReplacedAreWithheld(t *testing.T) {
	g := replacedDuring(&scriptedServer{}, 2)
	if _, err := g.Write(scriptedCall("write")); !errkind.Is(err, errkind.OutcomeUnknown) {
		t.Errorf("write: %v, want an unknown outcome", err)
	}
	g.wantAcknowledged(t, "a withheld write", 0)

	g = replacedDuring(&scriptedServer{}, 2)
	tx := scriptedTx(t, g, true)
	if _, err := tx.Commit(scriptedCall("commit")); !errkind.Is(err, errkind.OutcomeUnknown) {
		t.Errorf("commit: %v, want an unknown outcome", err)
	}
	if !tx.IsOver() {
		t.Error("the transaction is still open")
	}
	g.wantAcknowledged(t, "a withheld commit", 0)
}

// Nothing is written at a server that is being replaced, so that callers may retry.
func TestNothingIsCommittedAtAServerThatIsBeingReplaced(t *testing.T) {
	s := &scriptedServer{}
	g := replacedDuring(s, 1)
	call := scriptedCall("write")
	call.Deadline = boottime.Now().Add(100 * time.Millisecond)
	if _, err := g.Write(call); err == nil || errkind.Is(err, errkind.OutcomeUnknown) || s.end > 0 {
		t.Errorf("write: %v after %d answers", err, s.end)
	}
	tx := scriptedTx(t, g, true)
	if _, err := tx.Commit(scriptedCall("commit")); !errkind.Is(err, errkind.TransactionLost) {
		t.Errorf("commit: %v", err)
	}
}

// A planned change makes the primary step down, whose refusal tells that it does not lead any
// more: waiting at it instead would delay the use of its successor.
func TestWritesOfAnAnsweredOrderAreSent(t *testing.T) {
	s := &scriptedServer{}
	g := scriptedGroup(s)
	g.cfg.OutstandingTargets = func(string) ([]string, bool) { return []string{"b"}, true }
	if _, err := g.Write(scriptedCall("write")); !errkind.Is(err, errkind.OutcomeUnknown) || s.end == 0 {
		t.Errorf("write: %v after %d answers", err, s.end)
	}
}

// A server that is promoted by an order without an answer leads and commits.
func TestTargetOfAnOrderCommits(t *testing.T) {
	g := scriptedGroup(&scriptedServer{})
	g.cfg.OutstandingTargets = func(string) ([]string, bool) { return []string{"a"}, false }
	if _, err := g.Write(scriptedCall("write")); err != nil {
		t.Error(err)
	}
}

// A server that had joined after an order without an answer confirmed the old primary, which then
// served current reads after the order had been executed.
func TestNothingProvesTheLeadOfAServerThatIsBeingReplaced(t *testing.T) {
	for name, c := range map[string]struct {
		prove  func(g *Group, a *Server) error
		target string
	}{
		"statuses":           {prove: func(g *Group, a *Server) error { return g.askReplicas(context.Background(), a, "c") }, target: "b"},
		"commit":             {prove: func(g *Group, a *Server) error { g.confirmLeadership(a, boottime.Now()); return nil }, target: "b"},
		"news of another VM": {prove: func(g *Group, _ *Server) error { g.ObserveLeadership("a", boottime.Now()); return nil }, target: "b"},
		"it is the target":   {prove: func(g *Group, a *Server) error { return g.askReplicas(context.Background(), a, "c") }, target: "a"},
	} {
		g := leaseGroup(statuses{"a": {Primary: true, Term: 1}, "b": {Term: 1}, "c": {Term: 1}}, "a", "b", "c")
		g.cfg.OutstandingTargets = func(string) ([]string, bool) { return []string{c.target}, false }
		err := c.prove(g, g.Leader())
		if got := g.hasLeaderLease(g.Leader(), boottime.Now()); got != (c.target == "a") {
			t.Errorf("%s: proved to lead: %t, %v", name, got, err)
		}
	}
}
