package dbinstance

import (
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgtype"
)

// maxParameters is the protocol's limit on the number of parameters of a statement.
const maxParameters = 65535

// serverVersion is the PostgreSQL version that the instance reports.
const serverVersion = "16.0"

// evalEnv is the environment in which an expression is evaluated: parameters, table
// and current row.
type evalEnv struct {
	params []Value
	table  *table
	row    []Value
	// replica is the result of pg_is_in_recovery.
	replica bool
}

func (e *evalEnv) eval(x expr) (Value, error) {
	switch x := x.(type) {
	case *literal:
		return x.value, nil
	case *parameter:
		if x.number > len(e.params) {
			return Value{}, sqlErrorf(codeUndefinedParam, "there is no parameter $%d", x.number)
		}
		return e.params[x.number-1], nil
	case *columnRef:
		return e.column(x.name)
	case *binaryOp:
		return e.binary(x)
	case *castOp:
		v, err := e.eval(x.value)
		if err != nil {
			return Value{}, err
		}
		return v.coerce(x.oid)
	case *funcCall:
		return e.call(x)
	}
	return Value{}, sqlErrorf(codeInternal, "unknown expression")
}

func (e *evalEnv) column(name string) (Value, error) {
	if e.table == nil {
		return Value{}, errUndefinedColumn(name)
	}
	i, err := e.table.column(name)
	if err != nil || e.row == nil {
		return Value{}, err
	}
	return e.row[i], nil
}

func (e *evalEnv) binary(x *binaryOp) (Value, error) {
	left, err := e.eval(x.left)
	if err != nil {
		return Value{}, err
	}
	right, err := e.eval(x.right)
	if err != nil || left.Kind == Null || right.Kind == Null {
		return Value{}, err
	}
	if x.op == "||" {
		return textValue(left.String() + right.String()), nil
	}
	if left.Kind == Float || right.Kind == Float {
		return addFloats(left, right, x.op)
	}
	if left, err = left.coerce(pgtype.Int8OID); err != nil {
		return Value{}, err
	}
	if right, err = right.coerce(pgtype.Int8OID); err != nil {
		return Value{}, err
	}
	if x.op == "-" {
		return intValue(left.I - right.I), nil
	}
	return intValue(left.I + right.I), nil
}

func addFloats(left, right Value, op string) (Value, error) {
	left, err := left.toFloat()
	if err != nil {
		return Value{}, err
	}
	if right, err = right.toFloat(); err != nil {
		return Value{}, err
	}
	if op == "-" {
		return floatValue(left.F - right.F), nil
	}
	return floatValue(left.F + right.F), nil
}

func (e *evalEnv) call(x *funcCall) (Value, error) {
	switch x.name {
	case "pg_sleep":
		// The session has already slept before executing the statement.
		return textValue(""), nil
	case "version":
		return textValue("PostgreSQL " + serverVersion + " (stand-in)"), nil
	case "pg_is_in_recovery":
		return boolValue(e.replica), nil
	case "now":
		return textValue(time.Now().UTC().Format("2006-01-02 15:04:05.999999-07")), nil
	}
	return Value{}, sqlErrorf(codeUndefinedFunction, "function %s does not exist", x.name)
}

// matches reports whether the row satisfies all conditions.
func (e *evalEnv) matches(where []condition) (bool, error) {
	for _, c := range where {
		ok, err := e.matchesCondition(c)
		if err != nil || !ok {
			return false, err
		}
	}
	return true, nil
}

func (e *evalEnv) matchesCondition(c condition) (bool, error) {
	i, err := e.table.column(c.column)
	if err != nil {
		return false, err
	}
	for _, x := range c.values {
		v, err := e.operand(i, x)
		if err != nil {
			return false, err
		}
		if v.Kind != Null && e.row[i].Kind != Null && satisfiesOperator(c.op, e.row[i].compare(v)) {
			return true, nil
		}
	}
	return false, nil
}

// operand evaluates an expression and converts it to the type of the column that it
// is compared with or assigned to.
func (e *evalEnv) operand(column int, x expr) (Value, error) {
	v, err := e.eval(x)
	if err != nil {
		return Value{}, err
	}
	return v.coerce(e.table.columns[column].OID)
}

// satisfiesOperator reports whether the comparison operator is true for operands with
// the given order: negative, zero or positive, as returned by compare.
func satisfiesOperator(op string, order int) bool {
	switch op {
	case "=", "in":
		return order == 0
	case "<":
		return order < 0
	case ">":
		return order > 0
	case "<=":
		return order <= 0
	case ">=":
		return order >= 0
	}
	return order != 0
}

// sleepDuration returns the total duration of the statement's pg_sleep calls.
func sleepDuration(s Statement, params []Value) (time.Duration, error) {
	q, ok := s.(*selectStatement)
	if !ok {
		return 0, nil
	}
	var total time.Duration
	for _, item := range q.items {
		call, ok := item.value.(*funcCall)
		if !ok || call.name != "pg_sleep" || len(call.args) != 1 {
			continue
		}
		v, err := (&evalEnv{params: params}).eval(call.args[0])
		if err != nil {
			return 0, err
		}
		if v, err = v.toFloat(); err != nil {
			return 0, err
		}
		total += time.Duration(v.F * float64(time.Second))
	}
	return total, nil
}

// isAggregate reports whether the expression is an aggregate call.
func isAggregate(x expr) bool {
	call, ok := x.(*funcCall)
	return ok && (call.name == "count" || call.name == "sum")
}

// outputName returns the name of an item in the result.
func outputName(item selectItem) string {
	if item.alias != "" {
		return item.alias
	}
	switch x := item.value.(type) {
	case *columnRef:
		return x.name
	case *funcCall:
		return strings.ToLower(x.name)
	}
	return "?column?"
}
