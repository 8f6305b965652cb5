// Package inifile parses INI files with the line numbers of sections and keys, and
// collects all faults of a file instead of stopping at the first one.
package inifile

import (
	"bytes"
	"fmt"
	"strings"

	"gopkg.in/ini.v1"

	"chicoryline/internal/errkind"
)

// Section is one section of a file, with its keys in file order.
type Section struct {
	Title string
	Line  int
	Keys  []Key
}

// Key is one "name = value" line.
type Key struct {
	Name  string
	Value string
	Line  int
}

// Fault is one error in a file. Line is 0 if the fault has no particular line.
type Fault struct {
	Section string
	Key     string
	Line    int
	Text    string
}

// String returns "line N: [section] key: text", omitting the parts that are not set.
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

// Faults collects faults in the order in which they are found.
type Faults []Fault

// Add appends a fault of the key; a zero Key means a fault of the section itself.
func (l *Faults) Add(s Section, k Key, format string, args ...any) {
	line := k.Line
	if line == 0 {
		line = s.Line
	}
	*l = append(*l, Fault{Section: s.Title, Key: k.Name, Line: line, Text: fmt.Sprintf(format, args...)})
}

// Err returns one error of the given kind that lists all faults, or nil if there are
// none.
func (l Faults) Err(kind errkind.Kind) error {
	if len(l) == 0 {
		return nil
	}
	texts := make([]string, len(l))
	for i, f := range l {
		texts[i] = f.String()
	}
	return errkind.New(kind, "%s", strings.Join(texts, "; "))
}

type location struct{ section, key string }

// Parse returns the file's sections and its syntax faults: repeated sections and keys,
// keys outside of sections, and quotes.
func Parse(data []byte) ([]Section, Faults) {
	lines, faults := scan(data)
	if len(faults) > 0 {
		return nil, faults
	}
	file, err := ini.LoadSources(ini.LoadOptions{
		IgnoreContinuation: true, IgnoreInlineComment: true, KeyValueDelimiters: "=",
		ChildSectionDelimiter: "\x00", PreserveSurroundedQuote: true,
	}, data)
	if err != nil {
		faults.Add(Section{}, Key{}, "%v", err)
		return nil, faults
	}
	var sections []Section
	for _, loaded := range file.Sections() {
		if loaded.Name() == ini.DefaultSection && len(loaded.Keys()) == 0 {
			continue
		}
		s := Section{Title: loaded.Name(), Line: lines[location{section: loaded.Name()}]}
		for _, k := range loaded.Keys() {
			s.Keys = append(s.Keys, Key{Name: k.Name(), Value: k.Value(), Line: lines[location{s.Title, k.Name()}]})
		}
		sections = append(sections, s)
	}
	return sections, faults
}

// scan returns the lines of sections and keys, and the syntax faults. The INI library
// provides no line numbers and silently merges repeated sections and keys.
func scan(data []byte) (map[location]int, Faults) {
	lines := map[location]int{}
	var faults Faults
	title := ""
	for i, raw := range bytes.Split(data, []byte("\n")) {
		text := strings.TrimSpace(string(raw))
		if text == "" || text[0] == '#' || text[0] == ';' {
			continue
		}
		k := Key{Line: i + 1}
		if text[0] == '[' {
			title = strings.TrimSpace(text[1:max(1, strings.LastIndexByte(text, ']'))])
		} else {
			name, value, _ := strings.Cut(text, "=")
			k.Name, k.Value = strings.TrimSpace(name), strings.TrimSpace(value)
		}
		checkLine(title, k, lines, &faults)
		lines[location{title, k.Name}] = k.Line
	}
	return lines, faults
}

func checkLine(title string, k Key, lines map[location]int, faults *Faults) {
	s := Section{Title: title, Line: k.Line}
	if first, repeated := lines[location{title, k.Name}]; repeated {
		faults.Add(s, k, "already given in line %d", first)
	}
	if title == "" {
		faults.Add(s, k, "stands in no section")
	}
	if strings.ContainsAny(k.Name, "`\"") || strings.HasPrefix(k.Value, "`") || strings.HasPrefix(k.Value, `"`) {
		faults.Add(s, k, "quotes are not allowed")
	}
}
