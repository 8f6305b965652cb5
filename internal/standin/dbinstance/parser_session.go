package dbinstance

// unsupportedWords start statements that are refused with 0A000.
var unsupportedWords = []string{
	"copy", "listen", "notify", "unlisten", "prepare", "execute", "declare", "fetch", "savepoint",
	"release", "alter", "truncate", "explain", "lock", "vacuum", "analyze", "call", "do", "with",
}

// sessionStatement reads a statement on the session or the transaction.
func (p *parser) sessionStatement() (Statement, error) {
	switch {
	case p.takeWords("begin"):
		_ = p.takeWords("work") || p.takeWords("transaction")
		s, err := p.begin()
		return &s, err
	case p.takeWords("start", "transaction"):
		s, err := p.begin()
		return &s, err
	case p.takeWords("commit"), p.takeWords("end"):
		_ = p.takeWords("work") || p.takeWords("transaction")
		return &commitStatement{}, nil
	case p.takeWords("rollback"), p.takeWords("abort"):
		_ = p.takeWords("work") || p.takeWords("transaction")
		if p.takeWords("to") {
			p.skipStatement()
			return &unsupportedStatement{"savepoint"}, nil
		}
		return &rollbackStatement{}, nil
	case p.takeWords("show"):
		name, err := p.settingName()
		return &showStatement{name}, err
	case p.takeWords("set"):
		return p.set()
	case p.takeWords("reset"):
		name, err := p.settingName()
		return &resetStatement{name}, err
	case p.takeWords("discard", "all"):
		return &discardStatement{}, nil
	case p.takeWords("deallocate"):
		return p.deallocate()
	case p.isWord(unsupportedWords...):
		what := p.next().text
		p.skipStatement()
		return &unsupportedStatement{what}, nil
	}
	return nil, p.syntaxError()
}

// begin reads the modes of a transaction.
func (p *parser) begin() (beginStatement, error) {
	var s beginStatement
	for {
		switch {
		case p.takeWords("read", "only"):
			s.readOnly, s.readWrite = true, false
		case p.takeWords("read", "write"):
			s.readOnly, s.readWrite = false, true
		case p.takeWords("isolation", "level"):
			if !p.isolationLevel() {
				return s, p.syntaxError()
			}
		case p.takeWords("not", "deferrable"), p.takeWords("deferrable"), p.takeSymbol(","):
		default:
			return s, nil
		}
	}
}

// isolationLevel takes any level; every transaction runs as read committed.
func (p *parser) isolationLevel() bool {
	return p.takeWords("read", "committed") || p.takeWords("read", "uncommitted") ||
		p.takeWords("repeatable", "read") || p.takeWords("serializable")
}

// settingName reads a name with dots, or the words TRANSACTION ISOLATION LEVEL.
func (p *parser) settingName() (string, error) {
	if p.takeWords("transaction", "isolation", "level") {
		return "transaction_isolation", nil
	}
	t := p.next()
	if t.kind != tokenIdent && t.kind != tokenQuoted {
		return "", p.syntaxError()
	}
	name := t.text
	for p.takeSymbol(".") {
		name += "." + p.next().text
	}
	return name, nil
}

func (p *parser) set() (Statement, error) {
	if p.takeWords("transaction") {
		modes, err := p.begin()
		return &setTransactionStatement{modes}, err
	}
	if p.takeWords("session", "characteristics") {
		p.skipStatement()
		return &unsupportedStatement{"set session characteristics"}, nil
	}
	_ = p.takeWords("session") || p.takeWords("local")
	name, err := p.settingName()
	if err != nil {
		return nil, err
	}
	if !p.takeSymbol("=") && !p.takeWords("to") {
		return nil, p.syntaxError()
	}
	s := &setStatement{name: name}
	err = p.list(func() error {
		_ = p.takeSymbol("-")
		t := p.next()
		if t.kind == tokenEnd || t.kind == tokenSymbol {
			return p.syntaxError()
		}
		if s.value != "" {
			s.value += ", "
		}
		s.value += t.text
		return nil
	})
	return s, err
}

func (p *parser) deallocate() (Statement, error) {
	p.takeWords("prepare")
	if p.takeWords("all") {
		return &deallocateStatement{}, nil
	}
	name, err := p.name()
	return &deallocateStatement{name}, err
}
