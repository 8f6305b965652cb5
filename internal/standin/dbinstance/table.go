package dbinstance

import "slices"

// table holds the committed rows of one table.
type table struct {
	name    string
	columns []columnDef
	// key is the index of the primary key column, or -1.
	key  int
	rows map[uint64][]Value
	// byKey maps a primary key to its row id.
	byKey map[Value]uint64
}

func newTable(name string, columns []columnDef) *table {
	return &table{
		name:    name,
		columns: columns,
		key:     slices.IndexFunc(columns, func(c columnDef) bool { return c.Primary }),
		rows:    map[uint64][]Value{},
		byKey:   map[Value]uint64{},
	}
}

// column returns the index of the named column.
func (t *table) column(name string) (int, error) {
	i := slices.IndexFunc(t.columns, func(c columnDef) bool { return c.Name == name })
	if i < 0 {
		return 0, errUndefinedColumn(name)
	}
	return i, nil
}

func errUndefinedColumn(name string) error {
	return sqlErrorf(codeUndefinedColumn, "column %q does not exist", name)
}

func (t *table) put(id uint64, row []Value) {
	t.remove(id)
	t.rows[id] = row
	if t.key >= 0 {
		t.byKey[row[t.key]] = id
	}
}

func (t *table) remove(id uint64) {
	old, ok := t.rows[id]
	if !ok {
		return
	}
	if t.key >= 0 && t.byKey[old[t.key]] == id {
		delete(t.byKey, old[t.key])
	}
	delete(t.rows, id)
}

// tableSet maps table names to committed tables.
type tableSet map[string]*table

// apply applies the changes of one log entry.
func (s tableSet) apply(changes []Change) {
	for _, c := range changes {
		t := s[c.Table]
		switch {
		case c.Kind == CreateTable:
			s[c.Table] = newTable(c.Table, c.Columns)
		case t == nil:
			// Unreachable: Commit rejects changes to a table that was dropped concurrently.
		case c.Kind == DropTable:
			delete(s, c.Table)
		case c.Kind == PutRow:
			t.put(c.Row, c.Values)
		case c.Kind == DeleteRow:
			t.remove(c.Row)
		}
	}
}
