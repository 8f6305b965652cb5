package dbinstance

import (
	"fmt"
	"sort"

	"github.com/jackc/pgx/v5/pgtype"
)

// output builds the result rows of a statement.
type output struct {
	x     *execution
	table *table
	items []selectItem
	res   *Result
}

func (x *execution) newOutput(t *table, items []selectItem) (*output, error) {
	ty := &typeInferrer{table: t, params: x.types}
	columns, err := ty.columns(items)
	if err != nil {
		return nil, err
	}
	return &output{x: x, table: t, items: items, res: &Result{Columns: columns}}, nil
}

// add evaluates the items for the row and appends the result row. Without items it
// does nothing.
func (o *output) add(row []Value) error {
	if len(o.items) == 0 {
		return nil
	}
	e := o.x.env(o.table, row)
	var values []Value
	for _, item := range o.items {
		if item.star {
			values = append(values, row...)
			continue
		}
		v, err := e.eval(item.value)
		if err != nil {
			return err
		}
		values = append(values, v)
	}
	o.res.Rows = append(o.res.Rows, values)
	return nil
}

func (o *output) result(tag string) *Result {
	o.res.Tag = tag
	return o.res
}

func (x *execution) selectRows(s *selectStatement) (*Result, error) {
	if s.table == "" {
		return x.selectValues(s)
	}
	view, ids, err := x.selectMatches(s)
	if err != nil {
		return nil, err
	}
	out, err := x.newOutput(view.base, s.items)
	if err != nil {
		return nil, err
	}
	if len(s.items) > 0 && isAggregate(s.items[0].value) {
		return x.aggregate(out, view, ids)
	}
	if ids, err = x.orderAndLimit(s, view, ids); err != nil {
		return nil, err
	}
	for _, id := range ids {
		if err := out.add(view.get(id)); err != nil {
			return nil, err
		}
	}
	return out.result(selectTag(len(out.res.Rows))), nil
}

func selectTag(n int) string { return fmt.Sprintf("SELECT %d", n) }

// selectValues executes a SELECT without FROM.
func (x *execution) selectValues(s *selectStatement) (*Result, error) {
	out, err := x.newOutput(nil, s.items)
	if err != nil {
		return nil, err
	}
	if err := out.add(nil); err != nil {
		return nil, err
	}
	return out.result(selectTag(1)), nil
}

func (x *execution) selectMatches(s *selectStatement) (*overlayTable, []uint64, error) {
	if s.forUpdate {
		return x.lockMatches(s.table, s.where)
	}
	view, err := x.tx.view(s.table)
	if err != nil {
		return nil, nil, err
	}
	ids, err := x.match(view, s.where)
	return view, ids, err
}

// aggregate evaluates count and sum over the rows.
func (x *execution) aggregate(out *output, view *overlayTable, ids []uint64) (*Result, error) {
	values := make([]Value, len(out.items))
	for i, item := range out.items {
		if !isAggregate(item.value) {
			return nil, sqlErrorf("42803", "column must appear in an aggregate function")
		}
		v, err := x.aggregateOne(item.value.(*funcCall), view, ids)
		if err != nil {
			return nil, err
		}
		values[i] = v
	}
	out.res.Rows = [][]Value{values}
	return out.result(selectTag(1)), nil
}

func (x *execution) aggregateOne(call *funcCall, view *overlayTable, ids []uint64) (Value, error) {
	if call.star && call.name == "count" {
		return intValue(int64(len(ids))), nil
	}
	if len(call.args) != 1 {
		return Value{}, sqlErrorf(codeUndefinedFunction, "function %s takes one argument", call.name)
	}
	var count, sum int64
	for _, id := range ids {
		v, err := x.env(view.base, view.get(id)).eval(call.args[0])
		if err != nil {
			return Value{}, err
		}
		if v.Kind != Null {
			count++
			sum += v.I
		}
	}
	switch {
	case call.name == "count":
		return intValue(count), nil
	case count == 0:
		return Value{}, nil
	}
	return intValue(sum), nil
}

func (x *execution) orderAndLimit(s *selectStatement, view *overlayTable, ids []uint64) ([]uint64, error) {
	for i := len(s.orderBy) - 1; i >= 0; i-- {
		item := s.orderBy[i]
		column, err := view.base.column(item.column)
		if err != nil {
			return nil, err
		}
		sort.SliceStable(ids, func(a, b int) bool {
			order := view.get(ids[a])[column].compare(view.get(ids[b])[column])
			return order < 0 && !item.descending || order > 0 && item.descending
		})
	}
	if s.limit == nil {
		return ids, nil
	}
	v, err := x.env(nil, nil).eval(s.limit)
	if err != nil {
		return nil, err
	}
	if v, err = v.coerce(pgtype.Int8OID); err != nil {
		return nil, err
	}
	if v.Kind == Null {
		return ids, nil
	}
	if v.I < 0 {
		return nil, sqlErrorf("2201W", "LIMIT must not be negative")
	}
	return ids[:min(int64(len(ids)), v.I)], nil
}
