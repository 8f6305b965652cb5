package history

import (
	"fmt"
	"sort"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// summarize formats the number of operations in a history by kind of outcome.
func summarize(history []porcupine.Operation) string {
	reads, acknowledged, unknown := 0, 0, 0
	for _, o := range history {
		switch {
		case o.Input.(input).op == read:
			reads++
		case o.Return == neverReturned:
			unknown++
		default:
			acknowledged++
		}
	}
	return fmt.Sprintf("reads=%d acknowledged=%d unknown=%d", reads, acknowledged, unknown)
}

// maxLoggedOperations is the largest number of operations that logOperations logs.
const maxLoggedOperations = 40

// logOperations logs the last operations on the result's register that were sent before
// the violation.
func logOperations(t *testing.T, v checkResult, history []porcupine.Operation) {
	var part []porcupine.Operation
	for _, o := range history {
		if o.Input.(input).key == v.key && o.Call <= v.returnTime {
			part = append(part, o)
		}
	}
	sort.Slice(part, func(a, b int) bool { return part[a].Call < part[b].Call })
	for _, o := range part[max(0, len(part)-maxLoggedOperations):] {
		t.Logf("caller=%d sent_us=%d took_us=%d %s", o.ClientId, time.Duration(o.Call).Microseconds(), time.Duration(o.Return-o.Call).Microseconds(), describe(o.Input, o.Output))
	}
}
