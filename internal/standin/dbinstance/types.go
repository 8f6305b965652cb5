package dbinstance

import (
	"math"

	"github.com/jackc/pgx/v5/pgtype"
)

// ResultColumn describes one column of a result.
type ResultColumn struct {
	Name string
	OID  uint32
}

// Result is the result of one statement. Columns is nil if the statement returns no
// rows. Tag is the command tag of the protocol, such as "SELECT 1".
type Result struct {
	Columns []ResultColumn
	Rows    [][]Value
	Tag     string
}

// typeInferrer infers the types of the expressions and parameters of one statement.
type typeInferrer struct {
	table  *table
	params []uint32
	// err is the error for the first column that does not exist.
	err error
}

// infer sets the types of the parameters in the expression whose type is still unknown;
// oid is the type expected from the context.
func (t *typeInferrer) infer(x expr, oid uint32) {
	switch x := x.(type) {
	case *parameter:
		for len(t.params) < x.number {
			t.params = append(t.params, 0)
		}
		if t.params[x.number-1] == 0 {
			t.params[x.number-1] = oid
		}
	case *binaryOp:
		if x.op == "||" {
			oid = pgtype.TextOID
		} else if oid == pgtype.TextOID {
			oid = t.operandOID(x)
		}
		t.infer(x.left, oid)
		t.infer(x.right, oid)
	case *castOp:
		t.infer(x.value, x.oid)
	case *funcCall:
		for _, a := range x.args {
			t.infer(a, argumentOID(x.name))
		}
	}
}

func argumentOID(function string) uint32 {
	if function == "pg_sleep" {
		return pgtype.Float8OID
	}
	return pgtype.TextOID
}

// operandOID returns the type of a column that is an operand of the sum, or bigint.
func (t *typeInferrer) operandOID(x *binaryOp) uint32 {
	for _, side := range []expr{x.left, x.right} {
		if _, ok := side.(*columnRef); ok {
			return t.oid(side)
		}
	}
	return pgtype.Int8OID
}

// columnOID returns the type of the column. If it does not exist, columnOID records the
// error and returns text.
func (t *typeInferrer) columnOID(name string) uint32 {
	err := errUndefinedColumn(name)
	if t.table != nil {
		i, found := t.table.column(name)
		if found == nil {
			return t.table.columns[i].OID
		}
		err = found
	}
	if t.err == nil {
		t.err = err
	}
	return pgtype.TextOID
}

// oid returns the type of an expression's value.
func (t *typeInferrer) oid(x expr) uint32 {
	switch x := x.(type) {
	case *literal:
		if x.value.Kind == Int && x.value.I >= math.MinInt32 && x.value.I <= math.MaxInt32 {
			return pgtype.Int4OID
		}
		return x.value.oid()
	case *parameter:
		if x.number <= len(t.params) && t.params[x.number-1] != 0 {
			return t.params[x.number-1]
		}
	case *columnRef:
		return t.columnOID(x.name)
	case *castOp:
		return x.oid
	case *binaryOp:
		return t.sumOID(x)
	case *funcCall:
		return callOID(x.name)
	}
	return pgtype.TextOID
}

func (t *typeInferrer) sumOID(x *binaryOp) uint32 {
	left, right := t.oid(x.left), t.oid(x.right)
	switch {
	case x.op == "||":
		return pgtype.TextOID
	case left == pgtype.Float8OID || right == pgtype.Float8OID:
		return pgtype.Float8OID
	case left == pgtype.Int4OID && right == pgtype.Int4OID:
		return pgtype.Int4OID
	}
	return pgtype.Int8OID
}

func callOID(name string) uint32 {
	switch name {
	case "count", "sum":
		return pgtype.Int8OID
	case "pg_is_in_recovery":
		return pgtype.BoolOID
	}
	return pgtype.TextOID
}

func (t *typeInferrer) inferWhere(where []condition) {
	for _, c := range where {
		for _, v := range c.values {
			t.infer(v, t.columnOID(c.column))
		}
	}
}

func (t *typeInferrer) inferItems(items []selectItem) {
	for _, item := range items {
		t.infer(item.value, pgtype.TextOID)
	}
}

// inferStatement infers the types of all parameters of the statement; the default is
// text.
func (t *typeInferrer) inferStatement(s Statement) {
	switch s := s.(type) {
	case *insertStatement:
		names := s.targetColumns(t.table)
		for _, row := range s.rows {
			for i, v := range row {
				if i < len(names) {
					t.infer(v, t.columnOID(names[i]))
				}
			}
		}
		t.inferItems(s.returning)
	case *updateStatement:
		for _, a := range s.set {
			t.infer(a.value, t.columnOID(a.column))
		}
		t.inferWhere(s.where)
		t.inferItems(s.returning)
	case *deleteStatement:
		t.inferWhere(s.where)
		t.inferItems(s.returning)
	case *selectStatement:
		t.inferWhere(s.where)
		t.infer(s.limit, pgtype.Int8OID)
		t.inferItems(s.items)
	case *callStatement:
		for _, a := range s.args {
			t.infer(a, pgtype.TextOID)
		}
	}
	for i, oid := range t.params {
		if oid == 0 {
			t.params[i] = pgtype.TextOID
		}
	}
}

// targetColumns returns the names of the columns that an INSERT sets.
func (s *insertStatement) targetColumns(t *table) []string {
	if s.columns != nil || t == nil {
		return s.columns
	}
	var names []string
	for _, c := range t.columns {
		names = append(names, c.Name)
	}
	return names
}

// columns returns the output columns of the items.
func (t *typeInferrer) columns(items []selectItem) ([]ResultColumn, error) {
	var list []ResultColumn
	for _, item := range items {
		if !item.star {
			list = append(list, ResultColumn{outputName(item), t.oid(item.value)})
			continue
		}
		if t.table == nil {
			return nil, sqlErrorf(codeSyntax, "SELECT * with no tables specified is not valid")
		}
		for _, c := range t.table.columns {
			list = append(list, ResultColumn{c.Name, c.OID})
		}
	}
	return list, t.err
}

// tableName returns the name of the statement's table, or "".
func tableName(s Statement) string {
	switch s := s.(type) {
	case *insertStatement:
		return s.table
	case *updateStatement:
		return s.table
	case *deleteStatement:
		return s.table
	case *selectStatement:
		return s.table
	}
	return ""
}

// outputItems returns the items of the statement's SELECT or RETURNING list.
func outputItems(s Statement) []selectItem {
	switch s := s.(type) {
	case *insertStatement:
		return s.returning
	case *updateStatement:
		return s.returning
	case *deleteStatement:
		return s.returning
	case *selectStatement:
		return s.items
	}
	return nil
}

// Describe returns the parameter types and the result columns of a statement. Declared
// parameter types take precedence over inferred ones; zero means not declared.
func (tx *Tx) Describe(s Statement, declared []uint32) ([]uint32, []ResultColumn, error) {
	tx.store.mu.Lock()
	defer tx.store.mu.Unlock()
	return tx.describe(s, declared)
}

func (tx *Tx) describe(s Statement, declared []uint32) ([]uint32, []ResultColumn, error) {
	t := &typeInferrer{params: append([]uint32(nil), declared...)}
	if name := tableName(s); name != "" {
		view, err := tx.view(name)
		if err != nil {
			return nil, nil, err
		}
		t.table = view.base
	}
	t.inferStatement(s)
	switch s := s.(type) {
	case *callStatement:
		return t.params, functionColumns(s.function), nil
	case *showStatement:
		return t.params, []ResultColumn{{s.name, pgtype.TextOID}}, nil
	}
	columns, err := t.columns(outputItems(s))
	return t.params, columns, err
}
