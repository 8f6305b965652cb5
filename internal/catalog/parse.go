package catalog

import (
	"bytes"
	"regexp"
	"strings"

	"gopkg.in/ini.v1"

	"chicoryline/internal/errkind"
)

// MaxPatchBytes bounds a patch and an encoded document.
const MaxPatchBytes = 4 << 20

// The kinds of sections.
const (
	kindCustomer = "customer"
	kindGroup    = "group"
	kindRoute    = "route"
	kindSession  = "session"
	kindDocument = "document"
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9_][A-Za-z0-9_.-]{0,62}$`)

// Patch is a parsed list of changes. Its values are well-formed; whether its
// references hold is known only to Apply.
type Patch struct {
	sections []section
}

type section struct {
	kind    string
	name    string
	line    int
	entries []entry
}

type entry struct {
	key   string
	value string
	line  int
}

func (s section) title() string { return strings.TrimSpace(s.kind + " " + s.name) }

func (s section) entry(key string) (entry, bool) {
	for _, e := range s.entries {
		if e.key == key {
			return e, true
		}
	}
	return entry{}, false
}

// deleted reports whether the section removes its object.
func (s section) deleted() bool {
	e, ok := s.entry("delete")
	return ok && e.value == "true"
}

// ParsePatch reads a patch file. It reports every malformed section, key and
// value in one errkind.InvalidPatch.
func ParsePatch(data []byte) (*Patch, error) {
	sections, err := parseSections(data)
	if err != nil {
		return nil, err
	}
	var faults faultList
	for _, s := range sections {
		if s.kind == kindDocument {
			faults.add(s, entry{}, "unknown section")
			continue
		}
		checkSection(s, &faults)
	}
	if err := faults.err(); err != nil {
		return nil, err
	}
	return &Patch{sections: sections}, nil
}

func loadOptions() ini.LoadOptions {
	return ini.LoadOptions{
		IgnoreContinuation:      true,
		IgnoreInlineComment:     true,
		KeyValueDelimiters:      "=",
		ChildSectionDelimiter:   "\x00",
		PreserveSurroundedQuote: true,
	}
}

// parseSections reads the file's sections. The INI library gives no line
// numbers and merges repeated sections and keys, so a scan of the lines finds
// both beforehand.
func parseSections(data []byte) ([]section, error) {
	if len(data) > MaxPatchBytes {
		return nil, errkind.New(errkind.InvalidPatch, "longer than %d bytes", MaxPatchBytes)
	}
	index, faults := scanLines(data)
	if err := faults.err(); err != nil {
		return nil, err
	}
	file, err := ini.LoadSources(loadOptions(), data)
	if err != nil {
		return nil, errkind.New(errkind.InvalidPatch, "%v", err)
	}
	var sections []section
	for _, loaded := range file.Sections() {
		title := loaded.Name()
		if title == ini.DefaultSection && len(loaded.Keys()) == 0 {
			continue
		}
		s := newSection(title, index[lineKey{section: title}])
		for _, key := range loaded.Keys() {
			line := index[lineKey{section: title, key: key.Name()}]
			s.entries = append(s.entries, entry{key: key.Name(), value: key.Value(), line: line})
		}
		sections = append(sections, s)
	}
	return sections, nil
}

func newSection(title string, line int) section {
	kind, name, _ := strings.Cut(title, " ")
	return section{kind: kind, name: strings.TrimSpace(name), line: line}
}

type lineKey struct{ section, key string }

// scanLines maps sections and keys to their lines and reports repeated ones,
// keys before the first section and quoted values that could span lines.
func scanLines(data []byte) (map[lineKey]int, faultList) {
	index := map[lineKey]int{}
	var faults faultList
	title := ""
	for i, raw := range bytes.Split(data, []byte("\n")) {
		text := strings.TrimSpace(string(raw))
		if text == "" || text[0] == '#' || text[0] == ';' {
			continue
		}
		found := entry{line: i + 1}
		if text[0] == '[' {
			title = strings.TrimSpace(text[1:max(1, strings.LastIndexByte(text, ']'))])
		} else {
			key, value, _ := strings.Cut(text, "=")
			found.key, found.value = strings.TrimSpace(key), strings.TrimSpace(value)
		}
		checkLine(title, found, index, &faults)
		index[lineKey{title, found.key}] = found.line
	}
	return index, faults
}

func checkLine(title string, found entry, index map[lineKey]int, faults *faultList) {
	s := newSection(title, found.line)
	if first, twice := index[lineKey{title, found.key}]; twice {
		faults.add(s, found, "already given in line %d", first)
	}
	if title == "" {
		faults.add(s, found, "stands in no section")
	}
	if strings.HasPrefix(found.value, "`") || strings.HasPrefix(found.value, `"`) || strings.HasPrefix(found.key, `"`) || strings.HasPrefix(found.key, "`") {
		faults.add(s, found, "quotes are not allowed")
	}
}
