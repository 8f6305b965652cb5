package history

import (
	"fmt"

	"github.com/anishathalye/porcupine"
)

// summary counts the operations of a history.
func summary(history []porcupine.Operation) string {
	reads, acknowledged, unknown := 0, 0, 0
	for _, o := range history {
		switch {
		case o.Input.(input).op == read:
			reads++
		case o.Return == never:
			unknown++
		default:
			acknowledged++
		}
	}
	return fmt.Sprintf("reads=%d acknowledged=%d unknown=%d", reads, acknowledged, unknown)
}
