package catalog

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
)

// Diff lists the differences between two documents, one per line, as
// "+ [section] key = value" and "- [section] key = value". Hashes and secrets are
// shortened to their last digits.
func Diff(old, next *Document) string {
	before, after := diffLines(old), diffLines(next)
	var out strings.Builder
	for _, line := range before {
		if !slices.Contains(after, line) {
			fmt.Fprintf(&out, "- %s\n", line)
		}
	}
	for _, line := range after {
		if !slices.Contains(before, line) {
			fmt.Fprintf(&out, "+ %s\n", line)
		}
	}
	return out.String()
}

// shownDigits is the number of digits of a hash or secret in the output of Diff.
const shownDigits = 8

// diffLines returns the encoded document as one line per entry, each with its section.
func diffLines(doc *Document) []string {
	if doc == nil {
		doc = newDocument(nil)
	}
	var lines []string
	title := ""
	for _, raw := range bytes.Split(Encode(doc), []byte("\n")) {
		text := string(raw)
		switch {
		case text == "":
			continue
		case text[0] == '[':
			title = text
			text = ""
		case strings.HasPrefix(text, keyPrefix) || strings.HasPrefix(text, "token_secret"):
			text = shortenValue(text)
		}
		if title != "["+kindDocument+"]" {
			lines = append(lines, strings.TrimSpace(title+" "+text))
		}
	}
	return lines
}

// shortenValue keeps only the last digits of the value. In a key hash these are part
// of the hash and not of the salt.
func shortenValue(text string) string {
	key, value, _ := strings.Cut(text, " = ")
	if len(value) > shownDigits {
		value = "..." + value[len(value)-shownDigits:]
	}
	return key + " = " + value
}
