package dbinstance

import (
	"slices"
	"strconv"
	"strings"
)

var comparisons = []string{"=", "<", ">", "<=", ">=", "<>", "!="}

// selectOrCall reads the rest of a statement after SELECT.
func (p *parser) selectOrCall() (Statement, error) {
	s := &selectStatement{}
	var err error
	if s.items, err = p.selectItems(); err != nil {
		return nil, err
	}
	if p.takeWords("from") {
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
	if err = p.selectTail(s); err != nil {
		return nil, err
	}
	return s, nil
}

func (p *parser) selectTail(s *selectStatement) error {
	if p.takeWords("order", "by") {
		err := p.list(func() error {
			name, err := p.name()
			descending := p.takeWords("desc")
			_ = descending || p.takeWords("asc")
			s.orderBy = append(s.orderBy, orderItem{name, descending})
			return err
		})
		if err != nil {
			return err
		}
	}
	if p.takeWords("limit") {
		var err error
		if s.limit, err = p.expression(); err != nil {
			return err
		}
	}
	s.forUpdate = p.takeWords("for", "update")
	return nil
}

func (p *parser) selectItems() ([]selectItem, error) {
	var items []selectItem
	err := p.list(func() error {
		if p.takeSymbol("*") {
			items = append(items, selectItem{star: true})
			return nil
		}
		value, err := p.expression()
		if err != nil {
			return err
		}
		item := selectItem{value: value}
		if p.takeWords("as") {
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
	if !p.takeWords("where") {
		return nil, nil
	}
	var list []condition
	for {
		c, err := p.condition()
		if err != nil {
			return nil, err
		}
		list = append(list, c)
		if !p.takeWords("and") {
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
	if p.takeWords("in") {
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

// expression reads sums; there is no other precedence.
func (p *parser) expression() (expr, error) {
	left, err := p.term()
	if err != nil {
		return nil, err
	}
	for p.isSymbol("+") || p.isSymbol("-") || p.isSymbol("||") {
		op := p.next().text
		right, err := p.term()
		if err != nil {
			return nil, err
		}
		left = &binaryOp{op, left, right}
	}
	return left, nil
}

func (p *parser) term() (expr, error) {
	e, err := p.primary()
	for err == nil && p.takeSymbol("::") {
		var oid uint32
		oid, err = p.typeName()
		e = &castOp{e, oid}
	}
	return e, err
}

func (p *parser) primary() (expr, error) {
	t := p.peek()
	switch t.kind {
	case tokenNumber:
		p.pos++
		return number(t.text)
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
	case p.takeSymbol("-"):
		e, err := p.term()
		return &binaryOp{"-", &literal{intValue(0)}, e}, err
	case p.takeSymbol("("):
		e, err := p.expression()
		if err != nil {
			return nil, err
		}
		return e, p.wantSymbol(")")
	}
	return nil, p.syntaxError()
}

// reservedWords cannot be column names without quotes.
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
		return call, p.wantSymbol(")")
	}
	call.args, err = p.arguments()
	return call, err
}

// arguments reads a list in parentheses that may be empty.
func (p *parser) arguments() ([]expr, error) {
	if p.takeSymbol("(") && p.takeSymbol(")") {
		return nil, nil
	}
	p.pos--
	var args []expr
	err := p.parens(func() error { return p.appendExpr(&args) })
	return args, err
}

func number(text string) (expr, error) {
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
