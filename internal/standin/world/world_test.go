package world

import "testing"

func TestEntriesOfHiddenAndAddedServers(t *testing.T) {
	w, err := New(Options{Groups: 1, Domains: []string{"north"}, VMs: 1, Network: "1.250", MaxConnections: 10})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Close)
	g := w.Groups[0]
	check := func(when, server string, want bool) {
		t.Helper()
		if _, exists := w.Store.Rows("servers")[server]; exists != want {
			t.Errorf("%s: entry of %s exists = %v, want the opposite", when, server, exists)
		}
	}
	s := g.Servers()[1]
	w.Hide(s)
	w.PublishEntry(s)
	check("hidden", s.ID, false)
	s.Crash()
	if err := s.Restart(); err != nil {
		t.Fatal(err)
	}
	w.PublishEntry(s)
	check("restarted", s.ID, false)
	w.Show(s)
	check("shown", s.ID, true)
	for _, entry := range []bool{false, true} {
		added, err := w.AddServer(g, "north", entry)
		if err != nil {
			t.Fatal(err)
		}
		w.PublishEntry(added)
		check("added", added.ID, entry)
	}
}
