package linegroup

import (
	"strconv"
	"strings"

	"chicoryline/internal/standin/linewire"
)

// statement is the text of a query, split into its command and fields.
type statement struct {
	command string
	fields  []string
}

// fieldCounts holds the least and the largest number of fields of each command. "The query texts
// are: BEGIN [READ], COMMIT, ROLLBACK, READ item, WRITE item data, SET name value, PARSE name
// READ|WRITE shape, EXECUTE name item [data], and CLOSE name." The commands of the section on
// instances follow.
var fieldCounts = map[string][2]int{
	"BEGIN": {0, 1}, "COMMIT": {0, 0}, "ROLLBACK": {0, 0}, "READ": {1, 1}, "WRITE": {2, 2}, "SET": {2, 2},
	"PARSE": {3, 3}, "EXECUTE": {2, 3}, "CLOSE": {1, 1},
	"DISCARD": {0, 0}, "STATUS": {0, 0}, "RESUME": {0, 0}, "PAUSE": {1, 1}, "STEPDOWN": {1, 1},
}

// parseStatement splits a text. The last field extends to the end of the text and may be empty;
// ok is false if the page has no such text.
func parseStatement(text string) (s statement, ok bool) {
	command, _ := linewire.Split(text, 1)
	counts, ok := fieldCounts[command]
	if !ok {
		return s, false
	}
	_, fields := linewire.Split(text, max(1, counts[1]))
	if len(fields) < counts[0] || len(fields) > counts[1] {
		return s, false
	}
	for i, f := range fields {
		if f == "" && i < len(fields)-1 {
			return s, false
		}
	}
	switch {
	case command == "BEGIN" && len(fields) == 1 && fields[0] != "READ",
		command == "PARSE" && fields[1] != "READ" && fields[1] != "WRITE":
		return s, false
	}
	return statement{command, fields}, true
}

// splitAfter splits the prefix AFTER TERM.NUMBER from a text; ok is false if its position is not
// one or if it is in front of anything but a read or a BEGIN.
func splitAfter(text string) (position, rest string, ok bool) {
	command, fields := linewire.Split(text, 2)
	if command != "AFTER" {
		return "", text, true
	}
	if len(fields) < 2 {
		return "", text, false
	}
	if _, valid := parsePosition(fields[0]); !valid {
		return "", text, false
	}
	s, _ := parseStatement(fields[1])
	return fields[0], fields[1], s.command == "BEGIN" || s.kind() == "READ"
}

// parsePosition returns term and number of a position.
func parsePosition(p string) (position [2]uint64, ok bool) {
	term, number, ok := strings.Cut(p, ".")
	for i, digits := range []string{term, number} {
		n, err := strconv.ParseUint(digits, 10, 64)
		position[i], ok = n, ok && err == nil
	}
	return position, ok
}

// kind returns READ, WRITE or COMMIT for a statement that a server runs, and "" for others. An
// EXECUTE with data is a write.
func (s statement) kind() string {
	switch {
	case s.command == "EXECUTE" && len(s.fields) > 2:
		return "WRITE"
	case s.command == "EXECUTE":
		return "READ"
	case s.command == "READ" || s.command == "WRITE" || s.command == "COMMIT":
		return s.command
	}
	return ""
}

// kindOf returns the kind of the statement with the text.
func kindOf(text string) string {
	s, _ := parseStatement(text)
	return s.kind()
}

// withoutName returns the text of a statement without the name of a prepared statement, which
// proxies may change.
func withoutName(text string) string {
	if s, ok := parseStatement(text); ok && s.command == "EXECUTE" {
		return s.command + " " + strings.Join(s.fields[1:], " ")
	}
	return text
}
