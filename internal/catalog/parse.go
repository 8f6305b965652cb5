package catalog

import (
	"regexp"
	"strings"

	"chicoryline/internal/errkind"
	"chicoryline/internal/inifile"
)

// MaxPatchBytes is the maximum size of a patch and of an encoded document.
const MaxPatchBytes = 4 << 20

// Kinds of sections.
const (
	kindCustomer = "customer"
	kindGroup    = "group"
	kindRoute    = "route"
	kindSession  = "session"
	kindDocument = "document"
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9_][A-Za-z0-9_.-]{0,62}$`)

// Patch is a parsed list of changes. Its values are well-formed; its references are
// validated by Apply.
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

// isDeleted reports whether the section deletes its object.
func (s section) isDeleted() bool {
	e, ok := s.entry("delete")
	return ok && e.value == "true"
}

// ParsePatch parses a patch file. It reports all malformed sections, keys and values
// in one errkind.InvalidPatch.
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

// parseSections parses the sections of a patch or an encoded document.
func parseSections(data []byte) ([]section, error) {
	if len(data) > MaxPatchBytes {
		return nil, errkind.New(errkind.InvalidPatch, "longer than %d bytes", MaxPatchBytes)
	}
	loaded, faults := inifile.Parse(data)
	if err := faults.Err(errkind.InvalidPatch); err != nil {
		return nil, err
	}
	var sections []section
	for _, l := range loaded {
		s := newSection(l.Title, l.Line)
		for _, k := range l.Keys {
			s.entries = append(s.entries, entry{key: k.Name, value: k.Value, line: k.Line})
		}
		sections = append(sections, s)
	}
	return sections, nil
}

func newSection(title string, line int) section {
	kind, name, _ := strings.Cut(title, " ")
	return section{kind: kind, name: strings.TrimSpace(name), line: line}
}
