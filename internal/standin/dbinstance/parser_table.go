package dbinstance

import (
	"strings"

	"github.com/jackc/pgx/v5/pgtype"
)

var typeOIDs = map[string]uint32{
	"bigint": pgtype.Int8OID, "int8": pgtype.Int8OID, "bigserial": pgtype.Int8OID,
	"int": pgtype.Int4OID, "integer": pgtype.Int4OID, "int4": pgtype.Int4OID,
	"text": pgtype.TextOID, "varchar": pgtype.TextOID,
	"boolean": pgtype.BoolOID, "bool": pgtype.BoolOID,
	"float8": pgtype.Float8OID,
}

func (p *parser) typeName() (uint32, error) {
	t := p.next()
	oid, ok := typeOIDs[t.text]
	if t.kind != tokenIdent || !ok {
		return 0, sqlErrorf("42704", "type does not exist")
	}
	return oid, nil
}

func (p *parser) create() (Statement, error) {
	if err := p.expectWord("table"); err != nil {
		return nil, err
	}
	s := &createStatement{ifNotExists: p.acceptWords("if", "not", "exists")}
	var err error
	if s.table, err = p.name(); err != nil {
		return nil, err
	}
	err = p.parens(func() error {
		if p.acceptWords("primary", "key") {
			return p.primaryKey(s)
		}
		c, err := p.columnDef()
		s.columns = append(s.columns, c)
		return err
	})
	return s, err
}

func (p *parser) columnDef() (columnDef, error) {
	var c columnDef
	var err error
	if c.Name, err = p.name(); err != nil {
		return c, err
	}
	if c.OID, err = p.typeName(); err != nil {
		return c, err
	}
	for {
		switch {
		case p.acceptWords("primary", "key"):
			c.Primary, c.NotNull = true, true
		case p.acceptWords("not", "null"):
			c.NotNull = true
		case p.acceptWords("null"):
		default:
			return c, nil
		}
	}
}

// primaryKey parses the column list of the table constraint PRIMARY KEY (column).
func (p *parser) primaryKey(s *createStatement) error {
	return p.parens(func() error {
		name, err := p.name()
		if err != nil {
			return err
		}
		for i := range s.columns {
			if s.columns[i].Primary {
				return sqlErrorf(codeUnsupported, "primary keys of several columns are not supported")
			}
			if s.columns[i].Name == name {
				s.columns[i].Primary, s.columns[i].NotNull = true, true
				return nil
			}
		}
		return sqlErrorf(codeUndefinedColumn, "column %q named in key does not exist", name)
	})
}

func (p *parser) drop() (Statement, error) {
	if err := p.expectWord("table"); err != nil {
		return nil, err
	}
	s := &dropStatement{ifExists: p.acceptWords("if", "exists")}
	var err error
	s.table, err = p.name()
	return s, err
}

func (p *parser) insert() (Statement, error) {
	if err := p.expectWord("into"); err != nil {
		return nil, err
	}
	s := &insertStatement{}
	var err error
	if s.table, err = p.name(); err != nil {
		return nil, err
	}
	if p.isSymbol("(") {
		if err = p.parens(func() error { return p.appendName(&s.columns) }); err != nil {
			return nil, err
		}
	}
	if err = p.expectWord("values"); err != nil {
		return nil, err
	}
	err = p.list(func() error {
		var row []expr
		err := p.parens(func() error { return p.appendExpr(&row) })
		s.rows = append(s.rows, row)
		return err
	})
	if err != nil {
		return nil, err
	}
	if err = p.onConflict(s); err != nil {
		return nil, err
	}
	s.returning, err = p.returning()
	return s, err
}

func (p *parser) appendName(list *[]string) error {
	name, err := p.name()
	*list = append(*list, name)
	return err
}

func (p *parser) appendExpr(list *[]expr) error {
	e, err := p.expression()
	*list = append(*list, e)
	return err
}

func (p *parser) onConflict(s *insertStatement) error {
	if !p.acceptWords("on", "conflict") {
		return nil
	}
	if p.isSymbol("(") {
		var names []string
		if err := p.parens(func() error { return p.appendName(&names) }); err != nil {
			return err
		}
	}
	if !p.acceptWords("do", "nothing") {
		return sqlErrorf(codeUnsupported, "only ON CONFLICT DO NOTHING is supported")
	}
	s.doNothing = true
	return nil
}

func (p *parser) returning() ([]selectItem, error) {
	if !p.acceptWords("returning") {
		return nil, nil
	}
	return p.selectItems()
}

func (p *parser) update() (Statement, error) {
	s := &updateStatement{}
	var err error
	if s.table, err = p.name(); err != nil {
		return nil, err
	}
	if err = p.expectWord("set"); err != nil {
		return nil, err
	}
	err = p.list(func() error {
		name, err := p.name()
		if err != nil {
			return err
		}
		if err = p.expectSymbol("="); err != nil {
			return err
		}
		value, err := p.expression()
		s.set = append(s.set, assignment{name, value})
		return err
	})
	if err != nil {
		return nil, err
	}
	if s.where, err = p.where(); err != nil {
		return nil, err
	}
	s.returning, err = p.returning()
	return s, err
}

func (p *parser) delete() (Statement, error) {
	if err := p.expectWord("from"); err != nil {
		return nil, err
	}
	s := &deleteStatement{}
	var err error
	if s.table, err = p.name(); err != nil {
		return nil, err
	}
	if s.where, err = p.where(); err != nil {
		return nil, err
	}
	s.returning, err = p.returning()
	return s, err
}

// isInstanceFunction reports whether the name is that of an instance function.
func isInstanceFunction(name string) bool { return strings.HasPrefix(name, "instance_") }
