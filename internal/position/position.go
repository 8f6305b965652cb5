// Package position defines log positions, the vector of positions that a session must observe,
// and the sealed token that carries the vector between proxies.
package position

import (
	"strconv"
	"strings"

	"github.com/juju/errors"
)

// Position is a position in the log of a database group, a log sequence number with its term:
// the term in which the last entry was written, then the offset of that entry (counted in
// entries, from 1). The zero value is the empty log. Positions are ordered lexicographically.
type Position struct {
	Term   uint64
	Offset uint64
}

// Compare returns -1, 0 or 1 if p is before, at or past q.
func (p Position) Compare(q Position) int {
	switch {
	case p.Term != q.Term && p.Term < q.Term, p.Term == q.Term && p.Offset < q.Offset:
		return -1
	case p == q:
		return 0
	}
	return 1
}

// AtLeast reports whether p is at or past q.
func (p Position) AtLeast(q Position) bool { return p.Compare(q) >= 0 }

// IsZero reports whether p is the empty log.
func (p Position) IsZero() bool { return p == Position{} }

// String returns "term/offset" in decimal.
func (p Position) String() string {
	return strconv.FormatUint(p.Term, 10) + "/" + strconv.FormatUint(p.Offset, 10)
}

// Parse parses the format written by String.
func Parse(s string) (Position, error) {
	term, offset, ok := strings.Cut(s, "/")
	if !ok {
		return Position{}, errors.Errorf("position %q has no slash", s)
	}
	t, err := strconv.ParseUint(term, 10, 64)
	if err != nil {
		return Position{}, errors.Annotatef(err, "term of position %q", s)
	}
	o, err := strconv.ParseUint(offset, 10, 64)
	if err != nil {
		return Position{}, errors.Annotatef(err, "offset of position %q", s)
	}
	return Position{Term: t, Offset: o}, nil
}

// Vector maps the name of a database group to the position that a session must observe.
type Vector map[string]Position

// Raise sets the group's position to p if p is higher.
func (v Vector) Raise(group string, p Position) {
	if p.Compare(v[group]) > 0 {
		v[group] = p
	}
}

// Merge raises each position of v to that of w.
func (v Vector) Merge(w Vector) {
	for group, p := range w {
		v.Raise(group, p)
	}
}
