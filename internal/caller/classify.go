package caller

import (
	"strings"
)

// statementClass is what the proxy needs to know about a statement before it is executed.
type statementClass struct {
	// read is true if a replica can execute the statement.
	read bool
	// begin, readOnlyBegin and end are true for transaction control statements.
	begin         bool
	readOnlyBegin bool
	end           bool
	// rollback is true for an end that cannot commit.
	rollback bool
	// local is set for a statement that the proxy answers itself.
	local localStatement
	// rejectReason is the reason why the proxy does not accept the statement, or "".
	rejectReason string
	// changesSessionState is true if the statement may change session state, so that the
	// pooled connection is reset after it.
	changesSessionState bool
}

// localStatement is the kind of a statement that the proxy answers itself.
type localStatement uint8

const (
	notLocal localStatement = iota
	localSetSession
	localSetIgnored
	localShowSession
	localDiscard
)

// ignoredSettings are session settings that drivers send and that do not affect the answers of
// a pooled connection. SET of them succeeds without effect.
var ignoredSettings = map[string]bool{
	"application_name": true, "client_encoding": true, "extra_float_digits": true,
	"datestyle": true, "intervalstyle": true, "client_min_messages": true, "timezone": true,
}

// classify classifies one statement by its leading keywords.
func classify(sql string) statementClass {
	words := leadingWords(sql, 4)
	if len(words) == 0 {
		return statementClass{read: true}
	}
	switch words[0] {
	case "SELECT", "VALUES", "TABLE":
		return classifySelect(sql)
	case "SHOW":
		if len(words) > 1 && words[1] == "CHICORYLINE" {
			return statementClass{local: localShowSession}
		}
		return statementClass{read: true}
	case "BEGIN", "START":
		return statementClass{begin: true, readOnlyBegin: hasReadOnly(sql), read: hasReadOnly(sql)}
	case "COMMIT", "END":
		return statementClass{end: true}
	case "ROLLBACK", "ABORT":
		if len(words) > 1 && (words[1] == "TO") {
			return statementClass{}
		}
		return statementClass{end: true, rollback: true}
	case "SET", "RESET":
		return classifySet(sql, words)
	case "DISCARD":
		return statementClass{local: localDiscard}
	case "COPY", "LISTEN", "UNLISTEN", "NOTIFY", "PREPARE", "EXECUTE", "DEALLOCATE", "DECLARE", "LOAD":
		return statementClass{rejectReason: words[0] + " needs a connection of its own"}
	case "CREATE":
		if len(words) > 1 && (words[1] == "TEMP" || words[1] == "TEMPORARY") {
			return statementClass{rejectReason: "temporary tables need a connection of their own"}
		}
	case "WITH":
		return statementClass{read: !changesData(sql)}
	case "INSERT", "UPDATE", "DELETE", "SAVEPOINT", "RELEASE", "ALTER", "DROP", "TRUNCATE", "MERGE":
	default:
		return statementClass{changesSessionState: true}
	}
	return statementClass{}
}

func classifySelect(sql string) statementClass {
	upper := strings.ToUpper(sql)
	locks := strings.Contains(upper, "FOR UPDATE") || strings.Contains(upper, "FOR SHARE") ||
		strings.Contains(upper, "FOR NO KEY") || strings.Contains(upper, "FOR KEY")
	if locks || strings.Contains(upper, " INTO ") {
		return statementClass{}
	}
	if strings.Contains(upper, "ADVISORY_LOCK") || strings.Contains(upper, "SET_CONFIG") {
		return statementClass{rejectReason: "session-level locks and settings need a connection of their own"}
	}
	if strings.Contains(upper, "INSTANCE_") {
		return statementClass{rejectReason: "instance control is not open to callers"}
	}
	return statementClass{read: true}
}

// changesData reports whether a WITH statement contains a keyword that changes data. A false
// positive sends a read to the primary; after a false negative the replica rejects the
// statement.
func changesData(sql string) bool {
	upper := strings.ToUpper(sql)
	for _, word := range []string{"INSERT", "UPDATE", "DELETE", "MERGE"} {
		if strings.Contains(upper, word) {
			return true
		}
	}
	return false
}

func classifySet(sql string, words []string) statementClass {
	if len(words) < 2 {
		return statementClass{}
	}
	switch {
	case words[1] == "CHICORYLINE":
		return statementClass{local: localSetSession}
	case words[1] == "LOCAL", words[1] == "TRANSACTION":
		return statementClass{}
	}
	name := strings.ToLower(words[1])
	if name == "session" && len(words) > 2 {
		name = strings.ToLower(words[2])
	}
	if ignoredSettings[name] || words[0] == "RESET" {
		return statementClass{local: localSetIgnored}
	}
	return statementClass{rejectReason: "SET of " + name + " outside SET LOCAL"}
}

func hasReadOnly(sql string) bool {
	return strings.Contains(strings.Join(leadingWords(sql, 12), " "), "READ ONLY")
}

// leadingWords returns up to n words of the statement in upper case, without comments.
func leadingWords(sql string, n int) []string {
	var words []string
	for len(words) < n {
		sql = skipBlank(sql)
		end := 0
		for end < len(sql) && isWordByte(sql[end]) {
			end++
		}
		if end == 0 {
			if sql == "" || len(words) == 0 && sql[0] != '(' {
				return words
			}
			sql = sql[1:]
			continue
		}
		words = append(words, strings.ToUpper(sql[:end]))
		sql = sql[end:]
	}
	return words
}

func isWordByte(c byte) bool {
	return c == '_' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
}

// whiteSpace is what servers skip between words.
const whiteSpace = " \t\r\n\f\v"

// skipBlank removes leading white space and comments.
func skipBlank(sql string) string {
	for {
		trimmed := strings.TrimLeft(sql, whiteSpace)
		switch {
		case strings.HasPrefix(trimmed, "--"):
			sql = trimmed[lineLen(trimmed):]
		case strings.HasPrefix(trimmed, "/*"):
			sql = skipComment(trimmed)
		default:
			return trimmed
		}
	}
}

// skipComment removes a leading block comment, which may be nested.
func skipComment(sql string) string {
	depth := 0
	for i := 0; i+1 < len(sql); i++ {
		switch sql[i : i+2] {
		case "/*":
			depth++
			i++
		case "*/":
			depth--
			i++
		}
		if depth == 0 {
			return sql[i+1:]
		}
	}
	return ""
}

// splitStatements splits a simple query at semicolons outside of quotes, dollar quotes and
// comments. Empty statements are dropped.
func splitStatements(sql string) []string {
	var list []string
	start := 0
	for i := 0; i < len(sql); {
		if sql[i] == ';' {
			list = appendStatement(list, sql[start:i])
			i++
			start = i
			continue
		}
		i = skipToken(sql, i)
	}
	return appendStatement(list, sql[start:])
}

func appendStatement(list []string, sql string) []string {
	if skipBlank(sql) == "" {
		return list
	}
	return append(list, sql)
}

// lineLen returns the length of the first line, without its end. Servers end a comment at a carriage
// return alone, too.
func lineLen(s string) int {
	if n := strings.IndexAny(s, "\r\n"); n >= 0 {
		return n
	}
	return len(s)
}

// skipToken returns the index after the quoted text, identifier, comment or byte at i.
func skipToken(sql string, i int) int {
	rest := sql[i:]
	switch {
	case rest[0] == '\'' || rest[0] == '"':
		return i + quotedLen(rest, false)
	case isIdentifierStart(rest[0]):
		n := identifierLen(rest)
		if strings.EqualFold(rest[:n], "e") && strings.HasPrefix(rest[n:], "'") {
			return i + n + escapedLen(rest[n:])
		}
		return i + n
	case strings.HasPrefix(rest, "--"):
		return i + lineLen(rest)
	case strings.HasPrefix(rest, "/*"):
		return len(sql) - len(skipComment(rest))
	case rest[0] == '$':
		return i + dollarLen(rest)
	}
	return i + 1
}

// isIdentifierStart reports whether an identifier, or the tag of a dollar quote, can begin with the byte.
func isIdentifierStart(c byte) bool {
	return isWordByte(c) && (c < '0' || c > '9') || c >= 0x80
}

// identifierLen returns the length of the identifier that s starts with. It may contain dollar signs.
func identifierLen(s string) int {
	n := 1
	for n < len(s) && (isWordByte(s[n]) || s[n] >= 0x80 || s[n] == '$') {
		n++
	}
	return n
}

// quotedLen returns the length of the quoted text that s starts with. A doubled quote is part of it.
func quotedLen(s string, escapes bool) int {
	quote := s[0]
	for i := 1; i < len(s); i++ {
		switch {
		case escapes && s[i] == '\\':
			i++
		case s[i] == quote && i+1 < len(s) && s[i+1] == quote:
			i++
		case s[i] == quote:
			return i + 1
		}
	}
	return len(s)
}

// escapedLen returns the length of the string with escapes that s starts with, from its quote on. It
// goes on in a further quote behind white space with the end of a line.
func escapedLen(s string) int {
	for n := 0; ; {
		n += quotedLen(s[n:], true)
		next := skipLines(s, n)
		if next == len(s) || s[next] != '\'' || !strings.ContainsAny(s[n:next], "\r\n") {
			return n
		}
		n = next
	}
}

// skipLines returns the index after the white space and line comments at i.
func skipLines(s string, i int) int {
	for i < len(s) {
		switch {
		case strings.IndexByte(whiteSpace, s[i]) >= 0:
			i++
		case strings.HasPrefix(s[i:], "--"):
			i += lineLen(s[i:])
		default:
			return i
		}
	}
	return i
}

// dollarLen returns the length of the dollar-quoted string that s starts with, or 1 if there
// is none.
func dollarLen(s string) int {
	end := 1
	for end < len(s) && (isIdentifierStart(s[end]) || end > 1 && isWordByte(s[end])) {
		end++
	}
	if end >= len(s) || s[end] != '$' {
		return 1
	}
	tag := s[:end+1]
	if n := strings.Index(s[end+1:], tag); n >= 0 {
		return end + 1 + n + len(tag)
	}
	return len(s)
}
