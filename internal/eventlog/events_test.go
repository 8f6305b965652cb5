package eventlog

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

func TestManualHoldsTheEvents(t *testing.T) {
	page, err := os.ReadFile("../../docs/EVENTS.md")
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(page), Markdown()) {
		t.Errorf("docs/EVENTS.md does not hold this table:\n%s", Markdown())
	}
}

// Every event that the code of the platform's processes logs must be listed, and every listed
// event must be logged somewhere.
func TestEventsAreAClosedList(t *testing.T) {
	listed, logged := map[string]bool{}, map[string]bool{}
	for _, e := range Events {
		listed[e.Name] = true
	}
	pattern := regexp.MustCompile(`"event"(?::|,) "([a-z_]+)"|event=([a-z_]+) `)
	for _, folder := range []string{"answers", "entry", "owner", "ratelimit", "dispatch", "mesh", "steward", "coord", "session", "connset", "membudget", "eventlog", "../cmd/chicoryline", "../platform"} {
		files, err := filepath.Glob(filepath.Join("..", folder, "*.go"))
		if err != nil || len(files) == 0 {
			t.Fatalf("%s: %v", folder, err)
		}
		for _, name := range files {
			text, err := os.ReadFile(name)
			if err != nil {
				t.Fatal(err)
			}
			if strings.HasSuffix(name, "_test.go") {
				continue
			}
			for _, m := range pattern.FindAllStringSubmatch(string(text), -1) {
				event := m[1] + m[2]
				logged[event] = true
				if !listed[event] {
					t.Errorf("%s logs %q, which is not in the list", name, event)
				}
			}
		}
	}
	for event := range listed {
		if !logged[event] {
			t.Errorf("%q is listed and never logged", event)
		}
	}
}
