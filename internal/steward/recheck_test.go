package steward

import (
	"context"
	"testing"
	"time"

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
