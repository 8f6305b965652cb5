package dbinstance

import (
	"context"
	"fmt"

	"chicoryline/internal/backend"
)

// Execute executes a statement on tables. params are the values of $1, $2 and so on,
// and types are the OIDs of their PostgreSQL types.
func (tx *Tx) Execute(ctx context.Context, s Statement, params []Value, types []uint32) (*Result, error) {
	tx.store.mu.Lock()
	defer tx.store.mu.Unlock()
	if tx.failure != nil {
		return nil, tx.failure
	}
	if isWrite(s) {
		if err := tx.beginWrite(); err != nil {
			return nil, err
		}
	}
	types, _, err := tx.describe(s, types)
	if err != nil {
		return nil, err
	}
	x := &execution{tx: tx, ctx: ctx, params: params, types: types}
	switch s := s.(type) {
	case *createStatement:
		return x.create(s)
	case *dropStatement:
		return x.drop(s)
	case *insertStatement:
		return x.insert(s)
	case *updateStatement:
		return x.update(s)
	case *deleteStatement:
		return x.delete(s)
	case *selectStatement:
		return x.selectRows(s)
	}
	return nil, sqlErrorf(codeUnsupported, "statement is not supported here")
}

// execution is one execution of a statement. Its methods are called with the store's
// mutex held.
type execution struct {
	tx     *Tx
	ctx    context.Context
	params []Value
	types  []uint32
}

func (x *execution) env(t *table, row []Value) *evalEnv {
	return &evalEnv{params: x.params, table: t, row: row, replica: x.tx.store.role != backend.Primary}
}

func (x *execution) create(s *createStatement) (*Result, error) {
	if _, err := x.tx.lock(x.ctx, lockKey{table: s.table}); err != nil {
		return nil, err
	}
	if _, err := x.tx.view(s.table); err == nil {
		if s.ifNotExists {
			return &Result{Tag: "CREATE TABLE"}, nil
		}
		return nil, sqlErrorf(codeDuplicateTable, "relation %q already exists", s.table)
	}
	x.tx.record(Change{Kind: CreateTable, Table: s.table, Columns: s.columns})
	return &Result{Tag: "CREATE TABLE"}, nil
}

func (x *execution) drop(s *dropStatement) (*Result, error) {
	if _, err := x.tx.lock(x.ctx, lockKey{table: s.table}); err != nil {
		return nil, err
	}
	if _, err := x.tx.view(s.table); err != nil {
		if s.ifExists {
			return &Result{Tag: "DROP TABLE"}, nil
		}
		return nil, err
	}
	x.tx.record(Change{Kind: DropTable, Table: s.table})
	return &Result{Tag: "DROP TABLE"}, nil
}

func (x *execution) insert(s *insertStatement) (*Result, error) {
	view, err := x.tx.view(s.table)
	if err != nil {
		return nil, err
	}
	out, err := x.newOutput(view.base, s.returning)
	if err != nil {
		return nil, err
	}
	count := 0
	for _, values := range s.rows {
		row, err := x.newRow(view.base, s, values)
		if err != nil {
			return nil, err
		}
		free, err := x.lockPrimaryKey(s.table, row, 0)
		if err != nil {
			return nil, err
		}
		if !free && s.doNothing {
			continue
		}
		if !free {
			return nil, sqlErrorf(codeUniqueViolation, "duplicate key value violates unique constraint \"%s_pkey\"", s.table)
		}
		x.tx.store.lastRow++
		x.tx.record(Change{Kind: PutRow, Table: s.table, Row: x.tx.store.lastRow, Values: row})
		count++
		if err := out.add(row); err != nil {
			return nil, err
		}
	}
	return out.result(fmt.Sprintf("INSERT 0 %d", count)), nil
}

// newRow evaluates the values of one row of an INSERT.
func (x *execution) newRow(t *table, s *insertStatement, values []expr) ([]Value, error) {
	names := s.targetColumns(t)
	if len(values) > len(names) || s.columns != nil && len(values) < len(names) {
		return nil, sqlErrorf(codeSyntax, "INSERT has a different number of expressions than target columns")
	}
	row := make([]Value, len(t.columns))
	e := x.env(t, nil)
	for i, value := range values {
		column, err := t.column(names[i])
		if err != nil {
			return nil, err
		}
		if row[column], err = e.operand(column, value); err != nil {
			return nil, err
		}
	}
	return row, checkNotNull(t, row)
}

func checkNotNull(t *table, row []Value) error {
	for i, c := range t.columns {
		if c.NotNull && row[i].Kind == Null {
			return sqlErrorf(codeNotNullViolation, "null value in column %q violates not-null constraint", c.Name)
		}
	}
	return nil
}

// lockPrimaryKey locks the primary key of a row and reports whether the key is free:
// no row other than ownID has it.
func (x *execution) lockPrimaryKey(name string, row []Value, ownID uint64) (bool, error) {
	view, err := x.tx.view(name)
	if err != nil || view.base.key < 0 {
		return true, err
	}
	key := row[view.base.key]
	if _, err := x.tx.lock(x.ctx, lockKey{table: name, key: key}); err != nil {
		return false, err
	}
	if view, err = x.tx.view(name); err != nil {
		return false, err
	}
	id := view.byKey(key)
	return id == 0 || id == ownID, nil
}

// match returns the ids of the visible rows that satisfy the conditions, in ascending
// order.
func (x *execution) match(view *overlayTable, where []condition) ([]uint64, error) {
	ids, err := x.candidates(view, where)
	if err != nil {
		return nil, err
	}
	var found []uint64
	for _, id := range ids {
		ok, err := x.env(view.base, view.get(id)).matches(where)
		if err != nil {
			return nil, err
		}
		if ok {
			found = append(found, id)
		}
	}
	return found, nil
}

// candidates returns the ids of the rows that can satisfy the conditions: at most one
// if a condition compares the primary key for equality, otherwise all.
func (x *execution) candidates(view *overlayTable, where []condition) ([]uint64, error) {
	for _, c := range where {
		column, err := view.base.column(c.column)
		if err != nil {
			return nil, err
		}
		if column != view.base.key || c.op != "=" {
			continue
		}
		key, err := x.env(view.base, nil).operand(column, c.values[0])
		if err != nil {
			return nil, err
		}
		if id := view.byKey(key); id != 0 {
			return []uint64{id}, nil
		}
		return nil, nil
	}
	return view.ids(), nil
}

// lockMatches locks the rows that satisfy the conditions. After waiting for a lock it
// evaluates the conditions again, because the rows may have changed.
func (x *execution) lockMatches(name string, where []condition) (*overlayTable, []uint64, error) {
	for {
		view, err := x.tx.view(name)
		if err != nil {
			return nil, nil, err
		}
		ids, err := x.match(view, where)
		if err != nil {
			return nil, nil, err
		}
		waited := false
		for _, id := range ids {
			if waited, err = x.tx.lockRow(x.ctx, view, id, view.get(id)); err != nil {
				return nil, nil, err
			}
			if waited {
				break
			}
		}
		if !waited {
			return view, ids, nil
		}
	}
}

func (x *execution) update(s *updateStatement) (*Result, error) {
	view, ids, err := x.lockMatches(s.table, s.where)
	if err != nil {
		return nil, err
	}
	out, err := x.newOutput(view.base, s.returning)
	if err != nil {
		return nil, err
	}
	for _, id := range ids {
		row, err := x.updatedRow(view.base, s.set, view.get(id))
		if err != nil {
			return nil, err
		}
		free, err := x.lockPrimaryKey(s.table, row, id)
		if err != nil {
			return nil, err
		}
		if !free {
			return nil, sqlErrorf(codeUniqueViolation, "duplicate key value violates unique constraint \"%s_pkey\"", s.table)
		}
		x.tx.record(Change{Kind: PutRow, Table: s.table, Row: id, Values: row})
		if err := out.add(row); err != nil {
			return nil, err
		}
	}
	return out.result(fmt.Sprintf("UPDATE %d", len(ids))), nil
}

// updatedRow returns a copy of the row with the assignments applied.
func (x *execution) updatedRow(t *table, set []assignment, old []Value) ([]Value, error) {
	row := append([]Value(nil), old...)
	e := x.env(t, old)
	for _, a := range set {
		column, err := t.column(a.column)
		if err != nil {
			return nil, err
		}
		if row[column], err = e.operand(column, a.value); err != nil {
			return nil, err
		}
	}
	return row, checkNotNull(t, row)
}

func (x *execution) delete(s *deleteStatement) (*Result, error) {
	view, ids, err := x.lockMatches(s.table, s.where)
	if err != nil {
		return nil, err
	}
	out, err := x.newOutput(view.base, s.returning)
	if err != nil {
		return nil, err
	}
	for _, id := range ids {
		row := view.get(id)
		x.tx.record(Change{Kind: DeleteRow, Table: s.table, Row: id})
		if err := out.add(row); err != nil {
			return nil, err
		}
	}
	return out.result(fmt.Sprintf("DELETE %d", len(ids))), nil
}
