// Package position holds log positions, the vector of positions that a session
// must see, and the sealed token that carries the vector between proxies.
package position

import (
	"strconv"
	"strings"

	"github.com/juju/errors"
)

// Position is a place in the log of a database group: the term under which the
// last entry was written, then its offset (entries, from 1). The zero value is
// the empty log. It orders lexicographically.
type Position struct {
	Term   uint64
	Offset uint64
}

// Compare returns -1, 0 or 1.
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

// Parse reads the form that String writes.
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

// Vector maps the name of a database group to the position a session must see.
type Vector map[string]Position

// Raise moves the group's entry up to p; it never moves down.
func (v Vector) Raise(group string, p Position) {
	if p.Compare(v[group]) > 0 {
		v[group] = p
	}
}

// Merge raises every entry of v to that of w.
func (v Vector) Merge(w Vector) {
	for group, p := range w {
		v.Raise(group, p)
	}
}
