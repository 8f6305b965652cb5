package dbinstance

import (
	"strings"
	"unicode"
)

type tokenKind uint8

const (
	tokenEnd tokenKind = iota
	tokenIdent
	tokenQuoted
	tokenNumber
	tokenString
	tokenParam
	tokenSymbol
)

type token struct {
	kind tokenKind
	// text is converted to lower case for tokenIdent.
	text string
}

// twoByteOperators are the operators of two bytes.
var twoByteOperators = []string{"<=", ">=", "<>", "!=", "::", "||"}

// scan splits SQL text into tokens; the last one is tokenEnd.
func scan(text string) ([]token, error) {
	var list []token
	for pos := 0; ; {
		pos = skipSpace(text, pos)
		if pos >= len(text) {
			return append(list, token{kind: tokenEnd}), nil
		}
		t, next, err := scanOne(text, pos)
		if err != nil {
			return nil, err
		}
		list = append(list, t)
		pos = next
	}
}

// skipSpace returns the next position that is neither in white space nor in a comment.
func skipSpace(text string, pos int) int {
	for pos < len(text) {
		rest := text[pos:]
		switch {
		case unicode.IsSpace(rune(text[pos])):
			pos++
		case strings.HasPrefix(rest, "--"):
			end := strings.IndexByte(rest, '\n')
			if end < 0 {
				return len(text)
			}
			pos += end
		case strings.HasPrefix(rest, "/*"):
			end := strings.Index(rest, "*/")
			if end < 0 {
				return len(text)
			}
			pos += end + len("*/")
		default:
			return pos
		}
	}
	return pos
}

func scanOne(text string, pos int) (token, int, error) {
	c := text[pos]
	switch {
	case c == '\'' || c == '"':
		return scanQuoted(text, pos)
	case c == '$':
		end := scanWhile(text, pos+1, isDigit)
		if end == pos+1 {
			return token{}, 0, sqlErrorf(codeSyntax, "syntax error at or near \"$\"")
		}
		return token{tokenParam, text[pos+1 : end]}, end, nil
	case isDigit(c):
		end := scanWhile(text, pos, func(b byte) bool { return isDigit(b) || b == '.' })
		return token{tokenNumber, text[pos:end]}, end, nil
	case isIdentStart(c):
		end := scanWhile(text, pos, func(b byte) bool { return isIdentStart(b) || isDigit(b) })
		return token{tokenIdent, strings.ToLower(text[pos:end])}, end, nil
	}
	for _, s := range twoByteOperators {
		if strings.HasPrefix(text[pos:], s) {
			return token{tokenSymbol, s}, pos + len(s), nil
		}
	}
	return token{tokenSymbol, string(c)}, pos + 1, nil
}

// scanQuoted scans a string or a quoted name. A doubled quote represents one quote.
func scanQuoted(text string, pos int) (token, int, error) {
	quote := text[pos]
	kind := tokenString
	if quote == '"' {
		kind = tokenQuoted
	}
	var b strings.Builder
	for i := pos + 1; i < len(text); i++ {
		if text[i] != quote {
			b.WriteByte(text[i])
			continue
		}
		if i+1 < len(text) && text[i+1] == quote {
			b.WriteByte(quote)
			i++
			continue
		}
		return token{kind, b.String()}, i + 1, nil
	}
	return token{}, 0, sqlErrorf(codeSyntax, "unterminated quoted string")
}

func scanWhile(text string, pos int, keep func(byte) bool) int {
	for pos < len(text) && keep(text[pos]) {
		pos++
	}
	return pos
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

func isIdentStart(c byte) bool {
	return c == '_' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= 0x80
}
