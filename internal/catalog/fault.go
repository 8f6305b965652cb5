package catalog

import (
	"fmt"
	"strings"

	"chicoryline/internal/errkind"
)

// Fault is one mistake in a patch. Line is 0 when the fault belongs to no line.
type Fault struct {
	Section string
	Key     string
	Line    int
	Text    string
}

// String returns "line N: [section] key: text" without the parts that are absent.
func (f Fault) String() string {
	var b strings.Builder
	if f.Line > 0 {
		fmt.Fprintf(&b, "line %d: ", f.Line)
	}
	if f.Section != "" {
		fmt.Fprintf(&b, "[%s] ", f.Section)
	}
	if f.Key != "" {
		fmt.Fprintf(&b, "%s: ", f.Key)
	}
	return b.String() + f.Text
}

// faultList gathers faults in the order of the file.
type faultList []Fault

func (l *faultList) add(s section, e entry, format string, args ...any) {
	line := e.line
	if line == 0 {
		line = s.line
	}
	*l = append(*l, Fault{Section: s.title(), Key: e.key, Line: line, Text: fmt.Sprintf(format, args...)})
}

// err returns nil or one errkind.InvalidPatch that lists every fault.
func (l faultList) err() error {
	if len(l) == 0 {
		return nil
	}
	texts := make([]string, len(l))
	for i, f := range l {
		texts[i] = f.String()
	}
	return errkind.New(errkind.InvalidPatch, "%s", strings.Join(texts, "; "))
}
