package dispatch

import "testing"

// restoredEntry returns an entry read after the store was restored from a backup.
func restoredEntry(id string, primary bool, sequence, version uint64) ServerInfo {
	info := entryOf(id, primary, version)
	info.Started, info.Sequence, info.Restored = 5, sequence, true
	return info
}

func knownEntry(id string, primary bool, sequence, version uint64) ServerInfo {
	info := restoredEntry(id, primary, sequence, version)
	info.Restored = false
	return info
}

// Guards against forgetting that a server leaves: its restored entry says that it stays, and when
// it announced its end again, its time began anew.
func TestLeavingServerKeepsLeavingAfterRestore(t *testing.T) {
	g := newGroup("b")
	leaving := knownEntry("a", true, 7, 9)
	leaving.Leaving, leaving.ChangedAfter = true, 1
	g.update(knownEntry("a", true, 6, 8))
	g.update(leaving)
	g.update(restoredEntry("a", true, 6, 20))
	s := g.servers["a"]
	if !s.Info().Leaving || s.lastNotLeaving != 1 {
		t.Fatalf("entry %+v, known to stay at %v", s.Info(), s.lastNotLeaving)
	}
	again := leaving
	again.Version, again.ChangedAfter = 30, 1000
	g.update(again)
	if s.lastNotLeaving != 1 {
		t.Errorf("known to stay at %v", s.lastNotLeaving)
	}
}

// Guards against using a server again that has left: the restored store still has its entry.
func TestServerThatHasLeftIsNotUsedAfterRestore(t *testing.T) {
	g := newGroup("b")
	leaving := knownEntry("a", false, 7, 9)
	leaving.Leaving = true
	g.update(leaving)
	g.markMissing("a")
	g.update(restoredEntry("a", false, 6, 20))
	if s := g.servers["a"]; !s.isMissing() {
		t.Error("an older entry made the server present")
	}
	expireEntry(g, "a")
	g.update(restoredEntry("a", false, 6, 21))
	if g.servers["a"] != nil {
		t.Error("an older entry made a former server present")
	}
	earlier := restoredEntry("a", false, 60, 22)
	earlier.Started = 4
	g.update(earlier)
	if g.servers["a"] != nil {
		t.Error("the entry of an earlier incarnation made a former server present")
	}
	g.update(restoredEntry("a", false, 7, 23)) // its last entry, perhaps written again
	if g.servers["a"] == nil {
		t.Error("the last entry was ignored")
	}
}

// Guards against following a claim again that its server has denied.
func TestDeniedClaimStaysDeniedAfterRestore(t *testing.T) {
	g := newGroup("b")
	g.update(knownEntry("a", true, 6, 8))
	g.MarkNotPrimary(g.servers["a"])
	g.update(restoredEntry("a", true, 6, 20))
	if got := primaryOf(g); got == "a" {
		t.Error("the restored claim of a server that denied it counts")
	}
	g.update(restoredEntry("a", true, 8, 21))
	if got := primaryOf(g); got != "a" {
		t.Errorf("primary %q, want a by its new claim", got)
	}
}
