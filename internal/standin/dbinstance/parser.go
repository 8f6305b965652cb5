package dbinstance

import "slices"

// parser is a recursive descent parser for the SQL text of one message.
type parser struct {
	tokens []token
	pos    int
}

// parseSQL returns the statements of the text. Empty statements are omitted.
func parseSQL(text string) ([]Statement, error) {
	tokens, err := scan(text)
	if err != nil {
		return nil, err
	}
	p := &parser{tokens: tokens}
	var list []Statement
	for {
		for p.acceptSymbol(";") {
		}
		if p.peek().kind == tokenEnd {
			return list, nil
		}
		s, err := p.statement()
		if err != nil {
			return nil, err
		}
		if p.peek().kind != tokenEnd && !p.isSymbol(";") {
			return nil, p.syntaxError()
		}
		list = append(list, s)
	}
}

func (p *parser) peek() token { return p.tokens[p.pos] }

func (p *parser) next() token {
	t := p.tokens[p.pos]
	if t.kind != tokenEnd {
		p.pos++
	}
	return t
}

func (p *parser) syntaxError() error {
	if t := p.peek(); t.kind == tokenSymbol || t.kind == tokenIdent {
		return sqlErrorf(codeSyntax, "syntax error at or near %q", t.text)
	}
	return sqlErrorf(codeSyntax, "syntax error")
}

func (p *parser) isWord(words ...string) bool {
	t := p.peek()
	return t.kind == tokenIdent && slices.Contains(words, t.text)
}

// acceptWords consumes the words if they are the next tokens, and reports whether it
// did.
func (p *parser) acceptWords(words ...string) bool {
	for i, w := range words {
		if p.pos+i >= len(p.tokens) || p.tokens[p.pos+i] != (token{tokenIdent, w}) {
			return false
		}
	}
	p.pos += len(words)
	return true
}

func (p *parser) isSymbol(s string) bool { return p.peek() == token{tokenSymbol, s} }

func (p *parser) acceptSymbol(s string) bool {
	if !p.isSymbol(s) {
		return false
	}
	p.pos++
	return true
}

func (p *parser) expectSymbol(s string) error {
	if !p.acceptSymbol(s) {
		return p.syntaxError()
	}
	return nil
}

func (p *parser) expectWord(w string) error {
	if !p.acceptWords(w) {
		return p.syntaxError()
	}
	return nil
}

// name parses an identifier. It returns the last part of a qualified name.
func (p *parser) name() (string, error) {
	t := p.peek()
	if t.kind != tokenIdent && t.kind != tokenQuoted {
		return "", p.syntaxError()
	}
	p.pos++
	if p.acceptSymbol(".") {
		return p.name()
	}
	return t.text, nil
}

// list parses a comma-separated list by calling item for each element.
func (p *parser) list(item func() error) error {
	for {
		if err := item(); err != nil {
			return err
		}
		if !p.acceptSymbol(",") {
			return nil
		}
	}
}

// parens parses a comma-separated list in parentheses.
func (p *parser) parens(item func() error) error {
	if err := p.expectSymbol("("); err != nil {
		return err
	}
	if err := p.list(item); err != nil {
		return err
	}
	return p.expectSymbol(")")
}

// skipStatement skips to the end of the current statement.
func (p *parser) skipStatement() {
	for p.peek().kind != tokenEnd && !p.isSymbol(";") {
		p.pos++
	}
}

func (p *parser) statement() (Statement, error) {
	switch {
	case p.acceptWords("select"):
		return p.selectOrCall()
	case p.acceptWords("insert"):
		return p.insert()
	case p.acceptWords("update"):
		return p.update()
	case p.acceptWords("delete"):
		return p.delete()
	case p.acceptWords("create"):
		return p.create()
	case p.acceptWords("drop"):
		return p.drop()
	}
	return p.sessionStatement()
}
