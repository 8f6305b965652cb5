package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chicoryline/internal/boottime"
	"chicoryline/internal/position"
)

// expireEntry expires the server, as if its entry had been missing for too long.
func expireEntry(g *Group, id string) {
	g.markMissing(id)
	g.servers[id].missingSince = boottime.Now().Add(-missingTimeout - time.Millisecond)
	g.expire()
}

func formerIDs(g *Group) []string {
	ids := []string{}
	for _, f := range g.FormerServers() {
		ids = append(ids, f.ID)
	}
	return ids
}

// Guards against a lost commit: a server whose entry had expired kept receiving commits, and a
// steward that did not know the server promoted one without them (LOST, deaf-and-lag --seed
// 14).
func TestServerWithoutEntryIsKeptAsFormerServer(t *testing.T) {
	g := newGroup("a", "b")
	info := entryOf("a", true, 3)
	info.Leaving, info.Address = true, "127.0.0.1:2"
	g.update(info)
	expireEntry(g, "a")
	former := g.FormerServers()
	if len(former) != 1 || former[0].ServerInfo != info || former[0].Since == 0 {
		t.Fatalf("former servers %+v, want %+v", former, info)
	}
	if got := primaryOf(g); got != "" {
		t.Errorf("%q is the primary without an entry", got)
	}
	if s := g.pickReader("customer", position.Position{}, nil); s == nil || s.Info().ID != "b" || len(g.Servers()) != 1 {
		t.Errorf("%d servers get statements, reads go to %v", len(g.Servers()), s)
	}
	g.markMissing("a") // repeated by a list of all entries
	if len(g.FormerServers()) != 1 {
		t.Error("the former server was dropped")
	}
	g.update(info)
	if ids := formerIDs(g); len(ids) != 0 || len(g.Servers()) != 2 || primaryOf(g) != "a" {
		t.Errorf("former servers %v after the entry returned", ids)
	}
}

func TestFormerServerIsKnownUntilItIsReplaced(t *testing.T) {
	for _, c := range []struct {
		name, id, address string
		started           int64
		replaces          bool
	}{
		{"its own entry", "a", "127.0.0.1:2", 5, true},
		{"its own entry, restarted at another address", "a", "127.0.0.1:9", 8, true},
		{"a later server at its address", "c", "127.0.0.1:2", 8, true},
		{"an entry of an earlier server at its address", "c", "127.0.0.1:2", 4, false},
		{"an entry without a start at its address", "c", "127.0.0.1:2", 0, false},
		{"a later server elsewhere", "c", "127.0.0.1:9", 8, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			former := entryOf("a", true, 3)
			former.Address, former.Started = "127.0.0.1:2", 5
			other := entryOf(c.id, false, 9)
			other.Address, other.Started = c.address, c.started
			want := []string{"a"}
			if c.replaces {
				want = []string{}
			}
			g, hook := newLoggedGroup("b")
			g.update(former)
			expireEntry(g, "a")
			g.update(other)
			if diff := cmp.Diff(want, formerIDs(g)); diff != "" {
				t.Errorf("entry observed after the server expired: %s", diff)
			}
			logMessages(t, hook, "backend_server")
			if c.id == "a" {
				return
			}
			g = newGroup("b")
			g.update(former)
			g.update(other)
			expireEntry(g, "a")
			if diff := cmp.Diff(want, formerIDs(g)); diff != "" {
				t.Errorf("entry observed before the server expired: %s", diff)
			}
		})
	}
}

func TestFormerServersAreBounded(t *testing.T) {
	g, hook := newLoggedGroup("b")
	for i := range maxFormerServers + 2 {
		info := entryOf(fmt.Sprint("s", i), false, uint64(i))
		info.Address = fmt.Sprint("127.0.0.1:", 10+i)
		g.update(info)
		expireEntry(g, info.ID)
	}
	ids := formerIDs(g)
	if len(ids) != maxFormerServers || ids[0] != "s2" || ids[maxFormerServers-1] != fmt.Sprint("s", maxFormerServers+1) {
		t.Errorf("former servers %v, want the last %d", ids, maxFormerServers)
	}
	forgotten := 0
	for _, m := range logMessages(t, hook, "backend_server") {
		if m == "forgotten" {
			forgotten++
		}
	}
	if forgotten != 2 {
		t.Errorf("%d log messages about dropped former servers, want 2", forgotten)
	}
}
