// Package explain traces one request through the logs of all processes and reports why it was
// not served.
package explain

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/juju/errors"
)

// Line is one parsed log line.
type Line struct {
	Source string // name of the log file
	Number int    // line number in the log, from 1
	Text   string
	Fields map[string]string
}

// maxLineBytes bounds one log line, in bytes.
const maxLineBytes = 1 << 20

// Read reads the events of a log. A prefix before the time field is removed, and lines without
// an event field are skipped.
func Read(source string, r io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 64<<10), maxLineBytes)
	for n := 1; scanner.Scan(); n++ {
		text := scanner.Text()
		if i := strings.Index(text, "time="); i >= 0 {
			text = text[i:]
		}
		if fields := parse(text); fields["event"] != "" {
			lines = append(lines, Line{Source: source, Number: n, Text: text, Fields: fields})
		}
	}
	return lines, errors.Annotate(scanner.Err(), source)
}

// parse returns the key=value fields of a line. Values with blanks are quoted.
func parse(text string) map[string]string {
	fields := map[string]string{}
	for text != "" {
		text = strings.TrimLeft(text, " ")
		key, rest, ok := strings.Cut(text, "=")
		if !ok || strings.ContainsAny(key, " \"") {
			_, text, _ = strings.Cut(text, " ")
			continue
		}
		var value string
		value, text = splitValue(rest)
		fields[key] = value
	}
	return fields
}

// splitValue splits the text after the first value, which it returns without its quotes. A quoted
// value that the end of the line cuts off is returned as written.
func splitValue(text string) (value, rest string) {
	if !strings.HasPrefix(text, `"`) {
		value, rest, _ = strings.Cut(text, " ")
		return value, rest
	}
	quoted, err := strconv.QuotedPrefix(text)
	if err != nil {
		return text[1:], ""
	}
	value, _ = strconv.Unquote(quoted) // QuotedPrefix returns a valid literal
	return value, text[len(quoted):]
}

// Report is the result of tracing a request.
type Report struct {
	// Lines are the lines of the request and the earlier lines that changed the state
	// on which it was decided, in causal order: the lines of a process in the order in
	// which it wrote them, lines of other processes before the lines that depend on
	// them. Timestamps are not compared between VMs, because of clock skew.
	Lines []Line
	// Cause explains the outcome in one sentence.
	Cause string
}

// maxContextPerKind bounds the earlier lines that are shown for each event.
const maxContextPerKind = 2

// Find traces the request. It returns a NotFound error if no log has a line of it.
func Find(id string, lines []Line) (Report, error) {
	var r Report
	for i, l := range lines {
		if l.Fields["event"] != "statement" || l.Fields["id"] != id {
			continue
		}
		r.Lines = append(r.Lines, precedingLines(lines, i)...)
		r.Lines = append(r.Lines, l)
		r.Cause = describeCause(l)
	}
	if len(r.Lines) == 0 {
		return r, errors.NotFoundf("request %q in the logs", id)
	}
	return r, nil
}

// precedingLines returns the last lines of each event that the process of line i logged before
// it, preceded by the last failover lines of other VMs about its group.
func precedingLines(lines []Line, i int) []Line {
	line := lines[i]
	var own, others []Line
	seen := map[string]int{}
	for j := i - 1; j >= 0; j-- {
		earlier := lines[j]
		event := earlier.Fields["event"]
		if earlier.Source != line.Source || earlier.Fields["vm"] != line.Fields["vm"] || event == "statement" || seen[event] >= maxContextPerKind {
			continue
		}
		if g := earlier.Fields["group"]; g != "" && g != line.Fields["group"] {
			continue
		}
		seen[event]++
		own = append([]Line{earlier}, own...)
	}
	for _, other := range lines {
		if other.Fields["event"] == "failover" && other.Fields["group"] == line.Fields["group"] && other.Fields["vm"] != line.Fields["vm"] {
			others = append(others, other)
		}
	}
	if len(others) > 3*maxContextPerKind {
		others = others[len(others)-3*maxContextPerKind:]
	}
	return append(others, own...)
}

// describeCause returns the sentence for the outcome in the line.
func describeCause(l Line) string {
	f := l.Fields
	if f["kind"] == "" {
		return fmt.Sprintf("served by %s after %s ms", f["vm"], f["took_ms"])
	}
	return fmt.Sprintf("%s: %s (decided by %s after %s ms, configuration %s known to be the newest %s ms before)",
		f["kind"], f["cause"], f["vm"], f["took_ms"], f["config_version"], f["config_age_ms"])
}
