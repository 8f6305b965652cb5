package settings

import (
	"fmt"
	"strings"
)

// Markdown returns every key as a Markdown table, as it stands in the manual
// for operators.
func Markdown() string {
	var b strings.Builder
	b.WriteString("| section | key | required | default | meaning |\n|---|---|---|---|---|\n")
	for _, k := range keys {
		required := "no"
		if k.Required {
			required = "yes"
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s |\n", k.Section, k.Name, required, k.DefaultValue(), k.Meaning)
	}
	return b.String()
}
