package catalog

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
)

// Diff lists the differences between two documents, one a line, as
// "+ [section] key = value" and "- [section] key = value". Hashes and secrets
// are shortened to a few digits.
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

// shownDigits is how much of a hash or secret a difference shows.
const shownDigits = 8

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

// shortenValue keeps the last digits, which belong to the hash and not to the salt.
func shortenValue(text string) string {
	key, value, _ := strings.Cut(text, " = ")
	if len(value) > shownDigits {
		value = "..." + value[len(value)-shownDigits:]
	}
	return key + " = " + value
}
