package steward

import (
	"context"
	"testing"
	"time"

	"chicoryline/internal/coord"
	"chicoryline/internal/errkind"
	"chicoryline/internal/position"
)

// VMs reported commits that the target of an unanswered order lacked, and the order was repeated.
func TestOrderIsNotRepeatedForAServerThatLacksAcknowledgedCommits(t *testing.T) {
	unknown := errkind.New(errkind.PlatformUnknown, "fake")
	g := &fakeGroup{received: map[string]uint64{"b": 7, "c": 7}, down: map[string]bool{"a": true}, answers: []error{unknown}}
	orders := func() int {
		g.mu.Lock()
		defer g.mu.Unlock()
		return len(g.tokens)
	}
	acknowledged := func() position.Position {
		if orders() == 0 {
			return position.Position{Term: 1, Offset: 7}
		}
		return position.Position{Term: 1, Offset: 8}
	}
	s := newSteward("vm1", newFakeStore(), g)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	err := s.runTask(ctx, Task{
		Group: "g", Primary: "a", Servers: serversWithIDs("a", "b", "c"), Reason: Silent,
		Acknowledged: acknowledged, OnPrimaryAnswered: func() {}, OnPromoted: func(string) {},
	}, s.cfg.Log)
	if n := orders(); err == nil || n != 1 {
		t.Errorf("%d orders, %v", n, err)
	}
}

// A target that was announced and not ordered was left in the row: VMs refused the writes of a
// primary that nobody replaced.
func TestTargetThatIsNotOrderedIsWithdrawn(t *testing.T) {
	store := newFakeStore()
	value := `{"holder":"vm1","token":4,"active":true}`
	store.rows["g"] = coord.Row{Table: Table, Key: "g", Value: []byte(value), Version: 1}
	store.version = 1
	g := &fakeGroup{received: map[string]uint64{"b": 7, "c": 7}, down: map[string]bool{"a": true, "d": true}}
	s, reads := newSteward("vm1", store, g), 0
	err := s.runTask(context.Background(), Task{
		Group: "g", Primary: "a", Reason: Silent, OnPrimaryAnswered: func() {}, OnPromoted: func(string) {},
		RefreshServers: func(context.Context) ([]Server, error) {
			if reads++; reads == 1 {
				return serversWithIDs("a", "b", "c"), nil
			}
			return serversWithIDs("a", "b", "c", "d"), nil // d has joined and cannot be paused
		},
	}, s.cfg.Log)
	if targets, _ := s.OutstandingTargets("g"); err == nil || len(g.tokens) > 0 || len(targets) > 0 {
		t.Errorf("%v, %d orders, outstanding %v", err, len(g.tokens), targets)
	}
}

// An order without an answer had been executed, and its target crashed after commits. The former
// primary was promoted without them, because the next order was refused.
func TestFormerPrimaryIsNotPromotedAgainAfterAnUnansweredOrder(t *testing.T) {
	unknown, refused := errkind.New(errkind.PlatformUnknown, "fake"), errkind.New(errkind.Fenced, "fake")
	g := &fakeGroup{received: map[string]uint64{"a": 7, "b": 7, "c": 7}, primary: "a", answers: []error{unknown, refused}}
	_, err := runChangeFor(newSteward("vm1", newFakeStore(), g), Leaving)
	if !errkind.Is(err, errkind.Fenced) || len(g.tokens) != 2 {
		t.Errorf("%v, %d orders, %v", err, len(g.tokens), g.history())
	}
}
