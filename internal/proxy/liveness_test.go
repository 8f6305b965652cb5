package proxy

import (
	"testing"

	"chicoryline/internal/fleet"
	"chicoryline/internal/services"
)

func TestLivenessContextEndsWithProcess(t *testing.T) {
	member := func(incarnation int64, state fleet.State) []fleet.Member {
		return []fleet.Member{{VM: services.VM{ID: "vm1"}, Incarnation: incarnation, State: state}}
	}
	l := newLiveness()
	l.update(member(1, fleet.Alive))
	first := l.Alive("vm1")
	if ended := l.update(member(1, fleet.Suspect)); len(ended) != 0 || first.Err() != nil {
		t.Fatal("a suspected process was treated as ended")
	}
	if ended := l.update(member(2, fleet.Alive)); ended["vm1"] != 1 || first.Err() == nil {
		t.Fatalf("a new incarnation did not end the old one: %v", ended)
	}
	second := l.Alive("vm1")
	if ended := l.update(member(2, fleet.Dead)); ended["vm1"] != 2 || second.Err() == nil {
		t.Fatalf("a dead process was not treated as ended: %v", ended)
	}
	if ended := l.update(member(2, fleet.Dead)); len(ended) != 0 {
		t.Fatalf("a process ended twice: %v", ended)
	}
	l.update(member(2, fleet.Alive))
	if l.Alive("vm1").Err() != nil {
		t.Fatal("a process that is alive again has an ended context")
	}
}
