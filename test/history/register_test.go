// Package history records operations of callers of a whole installation while backend
// servers are partitioned and replaced. The histories are checked against linearizable
// registers, against the session guarantees, and against a model with one copy of the
// data.
package history

import (
	"fmt"
	"math"
	"sort"
	"time"

	"github.com/anishathalye/porcupine"
)

// operation is a kind of request on a register.
type operation uint8

// The operations.
const (
	read operation = iota
	write
	swap
	add
)

// input is one request on a register.
type input struct {
	key string
	op  operation
	// value is the value to write or add; swap writes it if the register holds old.
	value, old int64
}

// output is the answer to an input.
type output struct {
	// unknown marks a change that may take effect at any later time, or never.
	unknown bool
	// value is the result of a read.
	value int64
	// swapped is true if a swap found the old value.
	swapped bool
}

const (
	// neverReturned is the return time of an operation of unknown outcome.
	neverReturned = math.MaxInt64
	// checkTimeout bounds one check of a history; a check that takes longer fails the test.
	checkTimeout = 60 * time.Second
)

// registerModel is the sequential specification: independent registers that start at 0.
var registerModel = porcupine.Model{
	Partition:         partitionByKey,
	Init:              func() any { return int64(0) },
	Step:              step,
	DescribeOperation: describe,
}

func partitionByKey(history []porcupine.Operation) [][]porcupine.Operation {
	byKey := map[string][]porcupine.Operation{}
	for _, o := range history {
		key := o.Input.(input).key
		byKey[key] = append(byKey[key], o)
	}
	var parts [][]porcupine.Operation
	for _, part := range byKey {
		parts = append(parts, part)
	}
	return parts
}

// step applies one operation to a register. An operation of unknown outcome is always
// legal: it may take effect after all others, which is the same as never.
func step(state, in, out any) (bool, any) {
	current, i, o := state.(int64), in.(input), out.(output)
	switch i.op {
	case read:
		return o.value == current, current
	case write:
		return true, i.value
	case add:
		return true, current + i.value
	}
	if !o.unknown && o.swapped != (current == i.old) {
		return false, current
	}
	if current == i.old {
		current = i.value
	}
	return true, current
}

func describe(in, out any) string {
	i, o := in.(input), out.(output)
	text := ""
	switch i.op {
	case read:
		return fmt.Sprintf("read %s gave %d", i.key, o.value)
	case write:
		text = fmt.Sprintf("write %s = %d", i.key, i.value)
	case add:
		text = fmt.Sprintf("add %d to %s", i.value, i.key)
	default:
		text = fmt.Sprintf("swap %s from %d to %d", i.key, i.old, i.value)
		if !o.unknown {
			text += fmt.Sprintf(" found=%t", o.swapped)
		}
	}
	if o.unknown {
		return text + " outcome unknown"
	}
	return text + " acknowledged"
}

// checkResult is the result of checking a history.
type checkResult struct {
	result porcupine.CheckResult
	// violation describes the first answer that no order of the operations explains.
	violation string
	// key and returnTime are the register and the time of that answer.
	key        string
	returnTime int64
}

// checkHistory checks whether the history is linearizable. On a violation it searches for
// the first answer, by return time, that no order of the operations explains.
func checkHistory(history []porcupine.Operation) checkResult {
	result := porcupine.CheckOperationsTimeout(registerModel, history, checkTimeout)
	if result != porcupine.Illegal {
		return checkResult{result: result}
	}
	var returns []porcupine.Operation
	for _, o := range history {
		if o.Return != neverReturned {
			returns = append(returns, o)
		}
	}
	sort.Slice(returns, func(a, b int) bool { return returns[a].Return < returns[b].Return })
	first := sort.Search(len(returns), func(n int) bool {
		return porcupine.CheckOperationsTimeout(registerModel, prefixUntil(history, returns[n].Return), checkTimeout) == porcupine.Illegal
	})
	if first == len(returns) {
		return checkResult{result: result, violation: "no single answer identified"}
	}
	o := returns[first]
	return checkResult{result: result, key: o.Input.(input).key, returnTime: o.Return, violation: fmt.Sprintf("caller=%d sent_us=%d answered_us=%d %s", o.ClientId,
		time.Duration(o.Call).Microseconds(), time.Duration(o.Return).Microseconds(), describe(o.Input, o.Output))}
}

// prefixUntil returns the history as known at the given time. Changes sent but not yet
// answered then are of unknown outcome; such reads are left out.
func prefixUntil(history []porcupine.Operation, at int64) []porcupine.Operation {
	var known []porcupine.Operation
	for _, o := range history {
		switch {
		case o.Return <= at:
		case o.Call <= at && o.Input.(input).op != read:
			o.Return, o.Output = neverReturned, output{unknown: true}
		default:
			continue
		}
		known = append(known, o)
	}
	return known
}
