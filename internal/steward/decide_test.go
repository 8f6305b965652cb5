package steward

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"chicoryline/internal/boottime"
	"chicoryline/internal/position"
)

func TestDecide(t *testing.T) {
	now := boottime.Time(time.Hour)
	ago := func(d time.Duration) boottime.Time { return now.Add(-d) }
	for _, c := range []struct {
		name string
		o    Observation
		want Reason
	}{
		{"healthy", Observation{Known: true, Answered: ago(10 * time.Millisecond)}, None},
		{"leaving", Observation{Known: true, Leaving: true, UnknownSince: ago(time.Millisecond)}, Leaving},
		{"leaving, another VM precedes", Observation{Known: true, Leaving: true, UnknownSince: ago(time.Millisecond), Rank: 1}, None},
		{"no known primary", Observation{UnknownSince: ago(MissingTimeout)}, Missing},
		{"no known primary for a short time", Observation{UnknownSince: ago(MissingTimeout / 2)}, None},
		{"never a known primary", Observation{}, None},
		{"no primary since the start, entries may return", Observation{Unseen: true, UnknownSince: ago(UnseenTimeout - time.Millisecond)}, None},
		{"no primary since the start", Observation{Unseen: true, UnknownSince: ago(UnseenTimeout)}, Missing},
		{"no primary since the start, another VM precedes", Observation{Unseen: true, UnknownSince: ago(UnseenTimeout), Rank: 1}, None},
		{"fails for this VM, answers others", Observation{Known: true, FailingSince: ago(2 * time.Second), Answered: ago(100 * time.Millisecond)}, None},
		{"fails for all", Observation{Known: true, FailingSince: ago(SuspectTimeout), Answered: ago(2 * time.Second)}, Silent},
		{"answered after the failure", Observation{Known: true, FailingSince: ago(time.Minute), Answered: ago(30 * time.Second)}, None},
		{"fails for all, another VM precedes", Observation{Known: true, FailingSince: ago(SuspectTimeout), Answered: ago(2 * time.Second), Rank: 2}, None},
		{"commits are stuck", Observation{Known: true, Answered: now, StuckSince: ago(StuckCommitTimeout), Committed: ago(time.Minute)}, CommitStuck},
		{"commits are stuck for this VM only", Observation{Known: true, Answered: now, StuckSince: ago(StuckCommitTimeout), Committed: ago(time.Millisecond)}, None},
		{"a replica may end", Observation{Known: true, Answered: now, DepartingSince: ago(time.Millisecond)}, Departing},
		{"a replica may end, another VM precedes", Observation{Known: true, Answered: now, DepartingSince: ago(time.Millisecond), Rank: 1}, None},
		{"a replica may end, the primary fails", Observation{Known: true, FailingSince: ago(time.Millisecond), Answered: ago(time.Second), DepartingSince: ago(time.Second)}, None},
		{"a replica may end, commits are stuck", Observation{Known: true, Answered: now, StuckSince: ago(time.Millisecond), Committed: ago(time.Second), DepartingSince: ago(time.Second)}, None},
		{"a replica may end, the primary leaves", Observation{Known: true, Leaving: true, UnknownSince: ago(time.Millisecond), Rank: 1, DepartingSince: ago(time.Second)}, None},
		{"a change is in progress", Observation{Changing: true, Known: true, FailingSince: ago(time.Minute)}, None},
	} {
		c.o.Now = now
		if got := Decide(c.o); got != c.want {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
}

// replicas generates replica states that a steward may observe. A commit is acknowledged
// once one replica has received it.
func replicas(t *rapid.T) []Replica {
	n := rapid.IntRange(1, 4).Draw(t, "replicas")
	list := make([]Replica, n)
	for i := range list {
		list[i] = Replica{
			ID: string(rune('a' + i)), Received: position.Position{Term: 1, Offset: uint64(rapid.IntRange(0, 5).Draw(t, "received"))},
			Leaving: rapid.Bool().Draw(t, "leaving"), Paused: rapid.Bool().Draw(t, "paused"),
		}
	}
	return list
}

// A safe target has every commit that any replica has received, and no other replica can
// receive a further one.
func TestSafeTargetHoldsAllCommits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := replicas(t)
		target := ChooseTarget(list)
		if !IsSafeTarget(list, target) {
			return
		}
		var at position.Position
		for _, r := range list {
			if r.ID == target {
				at = r.Received
			}
		}
		for _, r := range list {
			if r.Received.Compare(at) > 0 {
				t.Errorf("%s has %s, the target %s only %s", r.ID, r.Received, target, at)
			}
			if r.ID != target && !r.Paused {
				t.Errorf("%s still receives besides the target", r.ID)
			}
		}
	})
}

func TestChooseTarget(t *testing.T) {
	at := func(n uint64) position.Position { return position.Position{Term: 1, Offset: n} }
	for _, c := range []struct {
		name string
		list []Replica
		want string
	}{
		{"none", nil, ""},
		{"highest position", []Replica{{ID: "a", Received: at(1)}, {ID: "b", Received: at(2)}}, "b"},
		{"highest position, although leaving", []Replica{{ID: "a", Received: at(1)}, {ID: "b", Received: at(2), Leaving: true}}, "b"},
		{"among equals one that is not leaving", []Replica{{ID: "a", Received: at(2), Leaving: true}, {ID: "b", Received: at(2)}}, "b"},
		{"among equals one that is not cold", []Replica{{ID: "a", Received: at(2), Cold: true}, {ID: "b", Received: at(2)}}, "b"},
		{"a cold one before a leaving one", []Replica{{ID: "a", Received: at(2), Leaving: true}, {ID: "b", Received: at(2), Cold: true}}, "b"},
		{"highest position, although cold", []Replica{{ID: "a", Received: at(1)}, {ID: "b", Received: at(2), Cold: true}}, "b"},
		{"newer term before a higher offset", []Replica{{ID: "a", Received: at(9)}, {ID: "b", Received: position.Position{Term: 2, Offset: 1}}}, "b"},
	} {
		if got := ChooseTarget(c.list); got != c.want {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
}
