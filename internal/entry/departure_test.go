package entry

import (
	"testing"
	"time"

	"chicoryline/internal/boottime"
	"chicoryline/internal/dispatch"
	"chicoryline/internal/steward"
)

// Load pattern: a leaving replica does not answer any more and keeps its entry for many seconds.
// Without pauses the steward of each group would call the store three times a second for it.
func TestReplicaThatCannotBeRetiredCausesFewAttempts(t *testing.T) {
	start := boottime.Time(time.Hour)
	pace := departurePace{}
	departing, failing := steward.Task{Group: "g", Reason: steward.Departing}, steward.Task{Group: "g", Reason: steward.Silent}
	attempts := 0
	for at := time.Duration(0); at < 20*time.Second; at += superviseInterval {
		now := start.Add(at)
		if pace.allows(departing, now) {
			pace.note(departing, now)
			attempts++
		}
		if !pace.allows(failing, now) {
			t.Fatal("a failover is held up")
		}
	}
	if attempts > 6 {
		t.Errorf("%d attempts in 20 s", attempts)
	}
	if later := start.Add(time.Minute); !pace.allows(departing, later) || !pace.allows(steward.Task{Group: "other", Reason: steward.Departing}, later) {
		t.Error("the next replica that leaves is not retired")
	}
}

// Guards against a replica that is retired long before its end, or not before it, and against one
// whose announcement was not observed.
func TestReplicaDepartsShortlyBeforeItsEnd(t *testing.T) {
	e := newProcess(&growingStore{})
	e.settings.LeaveTime = departureMargin + time.Minute
	now := boottime.Now()
	add := func(info dispatch.ServerInfo) *dispatch.Server {
		info.Group, info.Address, info.Slots = "g", "127.0.0.1:1", 1
		e.router.Update(info)
		for _, s := range e.router.Group("g").Servers() {
			if s.Info().ID == info.ID {
				return s
			}
		}
		t.Fatalf("%s is not known", info.ID)
		return nil
	}
	if s := add(dispatch.ServerInfo{ID: "stays"}); e.departsFrom(s) != 0 {
		t.Error("a server that stays counts as about to end")
	}
	if s := add(dispatch.ServerInfo{ID: "unobserved", Leaving: true}); e.departsFrom(s) == 0 {
		t.Error("a server whose announcement was not observed does not count as about to end")
	}
	for _, c := range []struct {
		id   string
		ago  time.Duration
		want bool
	}{{"announced", 0, false}, {"later", time.Minute + time.Second, true}} {
		add(dispatch.ServerInfo{ID: c.id})
		s := add(dispatch.ServerInfo{ID: c.id, Leaving: true, ChangedAfter: now.Add(-c.ago)})
		if got := e.departsFrom(s) != 0; got != c.want {
			t.Errorf("%s: counts as about to end %t, want %t", c.id, got, c.want)
		}
	}
}
