package dbinstance

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgtype"
	"github.com/juju/errors"

	"chicoryline/internal/backend"
	"chicoryline/internal/position"
)

// Names of the instance functions: the SQL functions with which the proxy controls
// the instance and replicas read its log.
const (
	functionStatus  = "instance_status"
	functionWait    = "instance_wait"
	functionFence   = "instance_fence"
	functionPromote = "instance_promote"
	functionFollow  = "instance_follow"
	functionLog     = "instance_log"
)

// Values of the column kind in the result of instance_log.
const (
	logRowFloor = "floor"
	logRowEntry = "entry"
)

// functionArgCounts maps each instance function to its number of arguments.
var functionArgCounts = map[string]int{
	functionStatus: 0, functionWait: 3, functionFence: 1, functionPromote: 1, functionFollow: 2, functionLog: 4,
}

// functionColumns returns the result columns of an instance function; all have the
// type text.
func functionColumns(function string) []ResultColumn {
	names := []string{"instance", "role", "fence", "log_term", "log_offset", "source"}
	if function == functionLog {
		names = []string{"kind", "entry"}
	}
	var list []ResultColumn
	for _, n := range names {
		list = append(list, ResultColumn{n, pgtype.TextOID})
	}
	return list
}

// callFunction executes an instance function. It needs no execution slot and no
// transaction.
func (s *Store) callFunction(ctx context.Context, stmt *callStatement, params []Value) (*Result, error) {
	want, ok := functionArgCounts[stmt.function]
	if !ok || len(stmt.args) != want {
		return nil, sqlErrorf(codeUndefinedFunction, "function %s with %d arguments does not exist", stmt.function, len(stmt.args))
	}
	args := make([]Value, want)
	for i, x := range stmt.args {
		v, err := (&evalEnv{params: params}).eval(x)
		if err != nil {
			return nil, err
		}
		args[i] = v
	}
	if stmt.function == functionLog {
		return s.callLog(ctx, args)
	}
	status, err := s.callControl(ctx, stmt.function, args)
	if err != nil {
		return nil, err
	}
	return &Result{Columns: functionColumns(stmt.function), Rows: [][]Value{statusRow(status)}, Tag: selectTag(1)}, nil
}

func (s *Store) callControl(ctx context.Context, function string, args []Value) (backend.Status, error) {
	if function == functionStatus {
		return s.Status(), nil
	}
	term, err := unsigned(args[0])
	if err != nil {
		return backend.Status{}, err
	}
	switch function {
	case functionFence:
		return s.Fence(term)
	case functionPromote:
		return s.Promote(term)
	case functionFollow:
		return s.Follow(term, args[1].String())
	}
	offset, err := unsigned(args[1])
	if err != nil {
		return backend.Status{}, err
	}
	timeout, err := milliseconds(args[2])
	if err != nil {
		return backend.Status{}, err
	}
	status := s.Wait(ctx, position.Position{Term: term, Offset: offset}, timeout)
	return status, canceled(ctx)
}

func (s *Store) callLog(ctx context.Context, args []Value) (*Result, error) {
	var numbers [3]uint64
	for i := range numbers {
		n, err := unsigned(args[i])
		if err != nil {
			return nil, err
		}
		numbers[i] = n
	}
	wait, err := milliseconds(args[3])
	if err != nil {
		return nil, err
	}
	b, err := s.ReadLog(ctx, numbers[0], position.Position{Term: numbers[1], Offset: numbers[2]}, wait)
	if err != nil {
		return nil, err
	}
	if err := canceled(ctx); err != nil {
		return nil, err
	}
	return batchResult(b)
}

func batchResult(b Batch) (*Result, error) {
	res := &Result{Columns: functionColumns(functionLog)}
	if !b.Match {
		res.Rows = [][]Value{{textValue(logRowFloor), textValue(b.Floor.String())}}
	}
	for _, e := range b.Entries {
		data, err := json.Marshal(e)
		if err != nil {
			return nil, errors.Annotate(err, "encode log entry")
		}
		res.Rows = append(res.Rows, []Value{textValue(logRowEntry), textValue(string(data))})
	}
	res.Tag = selectTag(len(res.Rows))
	return res, nil
}

func canceled(ctx context.Context) error {
	if ctx.Err() != nil {
		return sqlErrorf(codeQueryCanceled, "canceling statement due to user request")
	}
	return nil
}

func unsigned(v Value) (uint64, error) {
	n, err := strconv.ParseUint(v.String(), 10, 64)
	if err != nil {
		return 0, sqlErrorf(codeInvalidTextFormat, "argument is not an unsigned integer")
	}
	return n, nil
}

func milliseconds(v Value) (time.Duration, error) {
	n, err := unsigned(v)
	return time.Duration(n) * time.Millisecond, err
}

func statusRow(s backend.Status) []Value {
	return []Value{
		textValue(s.Instance),
		textValue(string(s.Role)),
		textValue(strconv.FormatUint(s.Fence, 10)),
		textValue(strconv.FormatUint(s.Log.Term, 10)),
		textValue(strconv.FormatUint(s.Log.Offset, 10)),
		textValue(s.Source),
	}
}
