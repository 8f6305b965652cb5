package dbinstance

import (
	"context"
	"testing"

	"github.com/google/go-cmp/cmp"

	"chicoryline/internal/backend"
	"chicoryline/internal/errkind"
	"chicoryline/internal/position"
)

// command is one control command sent to a store.
type command struct {
	name   string
	term   uint64
	target string
}

func (c command) run(control backend.Control) (backend.Status, error) {
	ctx := context.Background()
	switch c.name {
	case "fence":
		return control.Fence(ctx, c.term)
	case "promote":
		return control.Promote(ctx, c.term)
	case "follow":
		return control.Follow(ctx, c.term, c.target)
	}
	return control.Status(ctx)
}

// TestControlRules runs control commands on instance b, which starts as a replica of a
// unless primary is set. All commands but the last must succeed.
func TestControlRules(t *testing.T) {
	at := func(term, offset uint64) position.Position { return position.Position{Term: term, Offset: offset} }
	cases := []struct {
		name     string
		primary  bool
		commands []command
		want     backend.Status
		kind     errkind.Kind
	}{
		{name: "the initial primary starts active", primary: true, commands: []command{{name: "status"}},
			want: backend.Status{Role: backend.Primary, Fence: 1, Log: at(1, 1)}},
		{name: "a fence makes the primary a replica", primary: true, commands: []command{{name: "fence", term: 2}},
			want: backend.Status{Role: backend.Replica, Fence: 2, Log: at(1, 1)}},
		{name: "a fence at its own term keeps the primary", primary: true, commands: []command{{name: "fence", term: 1}},
			want: backend.Status{Role: backend.Primary, Fence: 1, Log: at(1, 1)}},
		{name: "a fence ends replication", commands: []command{{name: "fence", term: 2}},
			want: backend.Status{Role: backend.Replica, Fence: 2}},
		{name: "a lower fence is rejected", commands: []command{{name: "fence", term: 3}, {name: "fence", term: 2}},
			kind: errkind.Fenced},
		{name: "promotion at the fence", commands: []command{{name: "fence", term: 2}, {name: "promote", term: 2}},
			want: backend.Status{Role: backend.Primary, Fence: 2, Log: at(2, 1)}},
		{name: "promotion twice", commands: []command{{name: "fence", term: 2}, {name: "promote", term: 2}, {name: "promote", term: 2}},
			want: backend.Status{Role: backend.Primary, Fence: 2, Log: at(2, 1)}},
		{name: "promotion below the fence", commands: []command{{name: "fence", term: 3}, {name: "promote", term: 2}},
			kind: errkind.Fenced},
		{name: "promotion above the fence", commands: []command{{name: "fence", term: 2}, {name: "promote", term: 3}},
			kind: errkind.Conflict},
		{name: "promotion of a follower of the term", commands: []command{{name: "follow", term: 2, target: "a"}, {name: "promote", term: 2}},
			kind: errkind.Conflict},
		{name: "follow raises the fence", commands: []command{{name: "follow", term: 2, target: "c"}},
			want: backend.Status{Role: backend.Replica, Fence: 2, Source: "c"}},
		{name: "follow twice", commands: []command{{name: "follow", term: 2, target: "c"}, {name: "follow", term: 2, target: "c"}},
			want: backend.Status{Role: backend.Replica, Fence: 2, Source: "c"}},
		{name: "a primary follows a later one", primary: true, commands: []command{{name: "follow", term: 2, target: "c"}},
			want: backend.Status{Role: backend.Replica, Fence: 2, Log: at(1, 1), Source: "c"}},
		{name: "a primary does not follow in its term", primary: true, commands: []command{{name: "follow", term: 1, target: "c"}},
			kind: errkind.Conflict},
		{name: "an instance does not follow itself", commands: []command{{name: "follow", term: 2, target: "b"}},
			kind: errkind.Conflict},
		{name: "follow below the fence", commands: []command{{name: "fence", term: 3}, {name: "follow", term: 2, target: "c"}},
			kind: errkind.Fenced},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := NewStore(StoreConfig{ID: "b", InitialPrimary: c.primary, InitialSource: "a"})
			c.want.Instance = "b"
			for i, cmd := range c.commands {
				got, err := cmd.run(s.Control())
				last := i == len(c.commands)-1
				if last && c.kind != errkind.Internal {
					if !errkind.Is(err, c.kind) {
						t.Fatalf("error %v, want kind %v", err, c.kind)
					}
					return
				}
				if err != nil {
					t.Fatalf("%s at %d: %v", cmd.name, cmd.term, err)
				}
				if diff := cmp.Diff(c.want, got); last && diff != "" {
					t.Fatal(diff)
				}
			}
		})
	}
}

func TestMemoryGroup(t *testing.T) {
	g := NewMemoryGroup("a", "b", "c")
	defer g.Close()
	ctx := testContext(t)
	_, p, err := g.Store("a").Run(ctx, "CREATE TABLE kv (k text PRIMARY KEY, v bigint)")
	if err != nil {
		t.Fatal(err)
	}
	for _, id := range []string{"b", "c"} {
		if s, err := g.Control(id).Wait(ctx, p, testDeadline); err != nil || !s.Confirms(p) {
			t.Fatalf("instance %s: %+v, %v", id, s, err)
		}
	}
	g.Partition("b")
	_, err = g.Control("b").Status(ctx)
	if !errkind.Is(err, errkind.Unreachable) {
		t.Errorf("status of a partitioned instance: %v", err)
	}
	_, next, err := g.Store("a").Run(ctx, "INSERT INTO kv VALUES ('a', 1)")
	if err != nil {
		t.Fatal(err)
	}
	if s, err := g.Control("c").Wait(ctx, next, testDeadline); err != nil || !s.Confirms(next) {
		t.Fatalf("%+v, %v", s, err)
	}
	if got := g.Store("b").Status().Log; got != p {
		t.Errorf("partitioned instance b at %v, want %v", got, p)
	}
	g.Heal("b")
	if s, err := g.Control("b").Wait(ctx, next, testDeadline); err != nil || !s.Confirms(next) {
		t.Fatalf("%+v, %v", s, err)
	}
	// A wait ends when the fence is higher than the awaited term, whatever the offset.
	if _, err := g.Control("b").Fence(ctx, 2); err != nil {
		t.Fatal(err)
	}
	s, err := g.Control("b").Wait(ctx, position.Position{Term: 1, Offset: 99}, testDeadline)
	if err != nil || s.Fence != 2 {
		t.Fatalf("%+v, %v", s, err)
	}
}

func TestFaultyControl(t *testing.T) {
	cases := []struct {
		fault ControlFault
		kind  errkind.Kind
		fence uint64
	}{
		{ControlUnreachable, errkind.Unreachable, 1},
		{ControlRequestLost, errkind.OutcomeUnknown, 1},
		{ControlResponseLost, errkind.OutcomeUnknown, 2},
	}
	for _, c := range cases {
		s := NewStore(StoreConfig{ID: "a"})
		control := FaultyControl{Control: s.Control(), Next: func(string) ControlFault { return c.fault }}
		_, err := control.Fence(testContext(t), 2)
		if !errkind.Is(err, c.kind) || s.Status().Fence != c.fence {
			t.Errorf("fault %d: error %v and fence %d", c.fault, err, s.Status().Fence)
		}
	}
}
