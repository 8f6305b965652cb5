package linegroup

import (
	"testing"
	"time"
)

// Regression test: a growing lag undid entries that a replica had already applied, between
// the position check of a read and the read itself (soak seeds 157 and 1).
func TestAppliedCommitsStayWhenTheLagGrows(t *testing.T) {
	g, err := New(Options{Name: "g", Servers: 2, Domains: []string{"d"}, MaxConnections: 1, Slots: 1})
	if err != nil {
		t.Fatal(err)
	}
	defer g.Close()
	if _, led, acked := g.commit(g.Primary(), []Write{{ID: "w", Item: "a", Data: "1"}}); !led || !acked {
		t.Fatal("not committed")
	}
	replica := g.Servers()[1]
	read := func() (data, at string) {
		replica.withLock(func() { data, at = replica.readItem("a"), replica.position() })
		return data, at
	}
	if data, at := read(); data != "1" || at != "1.1" {
		t.Fatalf("%q at %s", data, at)
	}
	replica.SetLag(time.Hour)
	if data, at := read(); data != "1" || at != "1.1" {
		t.Errorf("%q at %s after the lag has grown", data, at)
	}
}

// Regression test: a primary that was demoted between the position check of a read and the
// read itself no longer showed its last commits, because replicas apply with a lag and
// primaries do not.
func TestDemotedPrimaryKeepsWhatItHadApplied(t *testing.T) {
	g, err := New(Options{Name: "g", Servers: 2, Domains: []string{"d"}, MaxConnections: 1, Slots: 1, Lag: time.Hour})
	if err != nil {
		t.Fatal(err)
	}
	defer g.Close()
	old := g.Primary()
	if _, led, acked := g.commit(old, []Write{{ID: "w", Item: "a", Data: "1"}}); !led || !acked {
		t.Fatal("not committed")
	}
	read := func() (data, at string) {
		old.withLock(func() { data, at = old.readItem("a"), old.position() })
		return data, at
	}
	if data, at := read(); data != "1" || at != "1.1" {
		t.Fatalf("%q at %s", data, at)
	}
	g.makePrimary(g.Servers()[1])
	if data, at := read(); data != "1" || at != "1.1" {
		t.Errorf("%q at %s after the demotion", data, at)
	}
}
