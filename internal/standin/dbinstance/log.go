package dbinstance

import (
	"chicoryline/internal/position"
)

// Entry is one entry of the replicated log: a committed transaction, or a promotion
// marker if it has no changes.
type Entry struct {
	Position position.Position `json:"p"`
	Changes  []Change          `json:"c,omitempty"`
}

// ChangeKind is the kind of a Change.
type ChangeKind uint8

// The kinds of changes.
const (
	// CreateTable creates the table with Columns.
	CreateTable ChangeKind = iota + 1
	// DropTable removes the table.
	DropTable
	// PutRow inserts or replaces the row with the id.
	PutRow
	// DeleteRow removes the row with the id.
	DeleteRow
)

// Change is one change of a table. Applying the changes of a log in order reproduces
// its tables.
type Change struct {
	Kind    ChangeKind  `json:"k"`
	Table   string      `json:"t"`
	Columns []columnDef `json:"d,omitempty"`
	Row     uint64      `json:"r,omitempty"`
	Values  []Value     `json:"v,omitempty"`
}

// entryLog is the log of an instance. The entry with offset n is at index n-1.
type entryLog []Entry

// last returns the position of the last entry.
func (l entryLog) last() position.Position {
	if len(l) == 0 {
		return position.Position{}
	}
	return l[len(l)-1].Position
}

// contains reports whether the log has an entry at p. Every log contains the zero
// position.
func (l entryLog) contains(p position.Position) bool {
	if p.Offset == 0 {
		return p.Term == 0
	}
	return p.Offset <= uint64(len(l)) && l[p.Offset-1].Position == p
}

// floor returns the greatest position of the log whose offset and term are both at most
// those of p. If another log has an entry at p and this one does not, the common prefix
// of the two logs ends at or before the floor.
func (l entryLog) floor(p position.Position) position.Position {
	for n := min(p.Offset, uint64(len(l))); n > 0; n-- {
		if l[n-1].Position.Term <= p.Term {
			return l[n-1].Position
		}
	}
	return position.Position{}
}
