package dbinstance

import (
	"slices"
	"strconv"
	"strings"
)

var comparisons = []string{"=", "<", ">", "<=", ">=", "<>", "!="}

// selectOrCall parses the rest of a SELECT, which may call an instance function.
func (p *parser) selectOrCall() (Statement, error) {
	s := &selectStatement{}
	var err error
	if s.items, err = p.selectItems(); err != nil {
		return nil, err
	}
	if p.acceptWords("from") {
		if s.table, err = p.name(); err != nil {
			return nil, err
		}
		if isInstanceFunction(s.table) && p.isSymbol("(") {
			args, err := p.arguments()
			return &callStatement{s.table, args}, err
		}
	}
	if s.where, err = p.where(); err != nil {
		return nil, err
	}
	if err = p.selectClauses(s); err != nil {
		return nil, err
	}
	return s, nil
}

func (p *parser) selectClauses(s *selectStatement) error {
	if p.acceptWords("order", "by") {
		err := p.list(func() error {
			name, err := p.name()
			descending := p.acceptWords("desc")
			_ = descending || p.acceptWords("asc")
			s.orderBy = append(s.orderBy, orderItem{name, descending})
			return err
		})
		if err != nil {
			return err
		}
	}
	if p.acceptWords("limit") {
		var err error
		if s.limit, err = p.expression(); err != nil {
			return err
		}
	}
	s.forUpdate = p.acceptWords("for", "update")
	return nil
}

func (p *parser) selectItems() ([]selectItem, error) {
	var items []selectItem
	err := p.list(func() error {
		if p.acceptSymbol("*") {
			items = append(items, selectItem{star: true})
			return nil
		}
		value, err := p.expression()
		if err != nil {
			return err
		}
		item := selectItem{value: value}
		if p.acceptWords("as") {
			if item.alias, err = p.name(); err != nil {
				return err
			}
		}
		items = append(items, item)
		return nil
	})
	return items, err
}

func (p *parser) where() ([]condition, error) {
	if !p.acceptWords("where") {
		return nil, nil
	}
	var list []condition
	for {
		c, err := p.condition()
		if err != nil {
			return nil, err
		}
		list = append(list, c)
		if !p.acceptWords("and") {
			return list, nil
		}
	}
}

func (p *parser) condition() (condition, error) {
	name, err := p.name()
	if err != nil {
		return condition{}, err
	}
	c := condition{column: name}
	if p.acceptWords("in") {
		c.op = "in"
		err = p.parens(func() error { return p.appendExpr(&c.values) })
		return c, err
	}
	t := p.peek()
	if t.kind != tokenSymbol || !slices.Contains(comparisons, t.text) {
		return c, p.syntaxError()
	}
	p.pos++
	c.op = t.text
	err = p.appendExpr(&c.values)
	return c, err
}

// expression parses operands joined by +, - and ||, which have equal precedence.
func (p *parser) expression() (expr, error) {
	left, err := p.castExpression()
	if err != nil {
		return nil, err
	}
	for p.isSymbol("+") || p.isSymbol("-") || p.isSymbol("||") {
		op := p.next().text
		right, err := p.castExpression()
		if err != nil {
			return nil, err
		}
		left = &binaryOp{op, left, right}
	}
	return left, nil
}

func (p *parser) castExpression() (expr, error) {
	e, err := p.primaryExpression()
	for err == nil && p.acceptSymbol("::") {
		var oid uint32
		oid, err = p.typeName()
		e = &castOp{e, oid}
	}
	return e, err
}

func (p *parser) primaryExpression() (expr, error) {
	t := p.peek()
	switch t.kind {
	case tokenNumber:
		p.pos++
		return parseNumber(t.text)
	case tokenString:
		p.pos++
		return &literal{textValue(t.text)}, nil
	case tokenParam:
		p.pos++
		n, err := strconv.Atoi(t.text)
		if err != nil || n < 1 || n > maxParameters {
			return nil, sqlErrorf(codeUndefinedParam, "there is no parameter $%s", t.text)
		}
		return &parameter{n}, nil
	case tokenIdent, tokenQuoted:
		return p.nameOrCall()
	}
	switch {
	case p.acceptSymbol("-"):
		e, err := p.castExpression()
		return &binaryOp{"-", &literal{intValue(0)}, e}, err
	case p.acceptSymbol("("):
		e, err := p.expression()
		if err != nil {
			return nil, err
		}
		return e, p.expectSymbol(")")
	}
	return nil, p.syntaxError()
}

// reservedWords are the words that cannot be column names unless quoted.
var reservedWords = []string{"from", "where", "order", "limit", "for", "select", "and", "values", "set", "returning"}

func (p *parser) nameOrCall() (expr, error) {
	t := p.peek()
	if t.kind == tokenIdent {
		switch {
		case t.text == "null":
			p.pos++
			return &literal{}, nil
		case t.text == "true", t.text == "false":
			p.pos++
			return &literal{boolValue(t.text == "true")}, nil
		case slices.Contains(reservedWords, t.text):
			return nil, p.syntaxError()
		}
	}
	name, err := p.name()
	if err != nil {
		return nil, err
	}
	if !p.isSymbol("(") {
		return &columnRef{name}, nil
	}
	call := &funcCall{name: name}
	if p.tokens[p.pos+1] == (token{tokenSymbol, "*"}) {
		p.pos += 2
		call.star = true
		return call, p.expectSymbol(")")
	}
	call.args, err = p.arguments()
	return call, err
}

// arguments parses a list of expressions in parentheses, which may be empty.
func (p *parser) arguments() ([]expr, error) {
	if p.acceptSymbol("(") && p.acceptSymbol(")") {
		return nil, nil
	}
	p.pos--
	var args []expr
	err := p.parens(func() error { return p.appendExpr(&args) })
	return args, err
}

func parseNumber(text string) (expr, error) {
	if strings.Contains(text, ".") {
		f, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return nil, sqlErrorf(codeSyntax, "syntax error in number")
		}
		return &literal{floatValue(f)}, nil
	}
	i, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return nil, sqlErrorf("22003", "integer out of range")
	}
	return &literal{intValue(i)}, nil
}
