package settings

import (
	"fmt"
	"strings"
)

// Markdown returns all keys as the Markdown table of the operators' manual.
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
