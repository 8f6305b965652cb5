package errkind

import (
	"fmt"
	"strings"
)

// Markdown returns the kinds and their answers as a Markdown table, as
// included in docs/CALLERS.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString("| kind | SQLSTATE | class | retry | meaning |\n|---|---|---|---|---|\n")
	for _, k := range All() {
		a := k.Answer()
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s |\n", a.Name, a.SQLState, a.Class, a.Retry, a.Text)
	}
	return b.String()
}
