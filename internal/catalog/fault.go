package catalog

import (
	"chicoryline/internal/errkind"
	"chicoryline/internal/inifile"
)

// faultList collects the errors in a patch in the order in which they are found.
type faultList struct{ inifile.Faults }

// add records an error at an entry of a section.
func (l *faultList) add(s section, e entry, format string, args ...any) {
	l.Add(inifile.Section{Title: s.title(), Line: s.line}, inifile.Key{Name: e.key, Line: e.line}, format, args...)
}

// err returns nil, or one errkind.InvalidPatch that lists all errors.
func (l *faultList) err() error { return l.Err(errkind.InvalidPatch) }
