package dispatch

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"chicoryline/internal/boottime"
	"chicoryline/internal/eventlog"
	"chicoryline/internal/position"
)

// newLoggedGroup returns a group like newGroup and a hook that records its log messages from
// then on.
func newLoggedGroup(ids ...string) (*Group, *logtest.Hook) {
	g := newGroup(ids...)
	log, hook := logtest.NewNullLogger()
	log.SetLevel(logrus.DebugLevel)
	g.cfg.Log = logrus.NewEntry(log)
	return g, hook
}

// logMessages returns the log messages of the event, and checks that the list of events in
// package eventlog contains their keys.
func logMessages(t *testing.T, hook *logtest.Hook, event string) []string {
	t.Helper()
	var keys []string
	for _, e := range eventlog.Events {
		if e.Name == event {
			keys = strings.Split(e.Keys, ", ")
		}
	}
	var list []string
	for _, e := range hook.AllEntries() {
		if e.Data["event"] != event {
			continue
		}
		for key := range e.Data {
			if key != "event" && !slices.Contains(keys, key) {
				t.Errorf("key %q of event %s is not listed", key, event)
			}
		}
		list = append(list, e.Message)
	}
	return list
}

// The log must show whether a server is gone or only its entry; it did not in the incident
// LOST.
func TestEachEntryChangeIsLoggedOnce(t *testing.T) {
	g, hook := newLoggedGroup("a")
	g.update(entryOf("b", false, 2))
	g.update(entryOf("b", false, 3)) // no change
	g.markMissing("b")
	g.markMissing("b")
	g.update(entryOf("b", false, 4))
	info := entryOf("b", false, 5)
	info.Leaving = true
	g.update(info)
	g.update(info)
	info = entryOf("b", false, 6)
	info.Started = 7
	g.update(info)
	g.markMissing("b")
	g.servers["b"].missingSince = boottime.Now().Add(-missingTimeout - time.Millisecond)
	g.expire()
	want := []string{"known", "entry vanished", "entry returned", "leaving", "restarted", "known", "entry vanished", "gone"}
	if diff := cmp.Diff(want, logMessages(t, hook, "backend_server")); diff != "" {
		t.Error(diff)
	}
	if age, ok := hook.LastEntry().Data["missing_ms"].(int64); !ok || age <= missingTimeout.Milliseconds() {
		t.Errorf("the last message says that the entry was missing for %v ms", age)
	}
}

func TestPrimaryChangeLogsAcknowledgedPosition(t *testing.T) {
	g, hook := newLoggedGroup("a", "b")
	g.ObserveAcknowledged(position.Position{Term: 1, Offset: 8})
	g.ObserveAcknowledged(position.Position{Term: 1, Offset: 7}) // answers arrive out of order
	g.update(entryOf("b", true, 10))
	logMessages(t, hook, "primary")
	entry := hook.LastEntry()
	if entry.Data["previous"] != "a" || entry.Data["backend_server"] != "b" || entry.Data["acknowledged"] != "1/8" {
		t.Errorf("log entry %v", entry.Data)
	}
}

func TestPrimaryFailuresAreLogged(t *testing.T) {
	g, hook := newLoggedGroup("a", "b")
	s := g.Leader()
	now := boottime.Now()
	g.noteUnanswered(s, now)
	g.noteUnanswered(s, now+1)
	g.noteCommitUnanswered(s, now+2)
	g.noteCommitted(s)
	g.noteAnswered(s)
	want := []string{"primary does not answer", "commit got no answer", "primary answers again", "commits are answered again"}
	if diff := cmp.Diff(want, logMessages(t, hook, "primary_health")); diff != "" {
		t.Error(diff)
	}
}

func TestHealthLogsAreRateLimited(t *testing.T) {
	g, hook := newLoggedGroup("a", "b")
	s := g.Leader()
	for range 20 * maxHealthLogsPerSecond {
		g.noteCommitUnanswered(s, boottime.Now())
		g.noteCommitted(s)
	}
	// The loop may run across the end of a second and then use the limit twice.
	if n := len(logMessages(t, hook, "primary_health")); n > 2*maxHealthLogsPerSecond {
		t.Errorf("%d log messages", n)
	}
}
