package explain

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"

	"chicoryline/internal/eventlog"
)

const vm1 = `   1.2 vm1 time="2026-01-12T10:39:30.000Z" level=info msg=changed event=primary group=g backend_server=a vm=vm1
time="2026-01-12T10:39:29.000Z" level=info msg=changed event=primary group=other backend_server=x vm=vm1
noise without fields
time="2026-01-12T10:39:01.000Z" level=warning msg="not served" event=statement id=r1 group=g vm=vm1 kind=no_primary cause="group \"g\"; retry after 1500 ms" took_ms=3 config_version=7 config_age_ms=120
time="2026-01-12T10:39:02.000Z" level=info msg=served event=statement id=r2 group=g vm=vm1 took_ms=9
`

const vm2 = `time="2026-01-12T11:00:00.000Z" level=info msg="lease taken" event=failover group=g token=3 vm=vm2
`

func readLogs(t *testing.T) []Line {
	t.Helper()
	var lines []Line
	for name, text := range map[string]string{"1": vm1, "2": vm2} {
		l, err := Read(name, strings.NewReader(text))
		if err != nil {
			t.Fatal(err)
		}
		lines = append(lines, l...)
	}
	return lines
}

// The steward's clock is ahead, yet its line must come before the rejection that depends on
// it. The process's clock steps back, yet its lines must keep their order.
func TestLinesAreInCausalOrder(t *testing.T) {
	r, err := Find("r1", readLogs(t))
	if err != nil {
		t.Fatal(err)
	}
	var events []string
	for _, l := range r.Lines {
		events = append(events, l.Fields["event"]+" "+l.Fields["vm"])
	}
	if diff := cmp.Diff([]string{"failover vm2", "primary vm1", "statement vm1"}, events); diff != "" {
		t.Error(diff)
	}
	want := `no_primary: group "g"; retry after 1500 ms (decided by vm1 after 3 ms, configuration 7 known to be the newest 120 ms before)`
	if r.Cause != want {
		t.Errorf("cause %q", r.Cause)
	}
}

func TestServedAndUnknownRequests(t *testing.T) {
	r, err := Find("r2", readLogs(t))
	if err != nil || r.Cause != "served by vm1 after 9 ms" {
		t.Errorf("%q, %v", r.Cause, err)
	}
	if _, err := Find("r3", readLogs(t)); err == nil {
		t.Error("an unknown request yields a report, want an error")
	}
}

func FuzzParse(f *testing.F) {
	f.Add(vm1)
	f.Fuzz(func(t *testing.T, text string) {
		for key := range parse(text) {
			if strings.Contains(key, " ") {
				t.Errorf("key %q", key)
			}
		}
	})
}

// Guards against values that do not come back from the log as they were written: ids that callers
// choose, and causes with texts of others.
func FuzzValuesComeBackFromTheLog(f *testing.F) {
	for _, v := range []string{"plain", "", "a b", `"`, `\`, `\"`, `" id=r2 event=other`, "a\nb", "\r\n", "tab\t", "\x00\x7f", "\xff\xfe", "\u00a0", "\u200b\U0001f600", "ő", "time=x", "a=b"} {
		f.Add(v, v)
	}
	f.Fuzz(func(t *testing.T, id, cause string) {
		var log strings.Builder
		fields := logrus.Fields{"event": "statement", "id": id, "cause": cause, "vm": "vm1"}
		eventlog.New(&log, logrus.InfoLevel).WithFields(fields).Warn("not served")
		lines, err := Read("1", strings.NewReader(log.String()))
		if err != nil || len(lines) != 1 {
			t.Fatalf("%d lines, %v: %q", len(lines), err, log.String())
		}
		if got := lines[0].Fields; got["id"] != id || got["cause"] != cause || got["event"] != "statement" || got["vm"] != "vm1" {
			t.Errorf("%q: id %q, cause %q", log.String(), got["id"], got["cause"])
		}
	})
}
