package dbinstance

// unsupportedWords are the first words of statements that are rejected with SQLSTATE
// 0A000.
var unsupportedWords = []string{
	"copy", "listen", "notify", "unlisten", "prepare", "execute", "declare", "fetch", "savepoint",
	"release", "alter", "truncate", "explain", "lock", "vacuum", "analyze", "call", "do", "with",
}

// sessionStatement parses a statement on the session or the transaction.
func (p *parser) sessionStatement() (Statement, error) {
	switch {
	case p.acceptWords("begin"):
		_ = p.acceptWords("work") || p.acceptWords("transaction")
		s, err := p.transactionModes()
		return &s, err
	case p.acceptWords("start", "transaction"):
		s, err := p.transactionModes()
		return &s, err
	case p.acceptWords("commit"), p.acceptWords("end"):
		_ = p.acceptWords("work") || p.acceptWords("transaction")
		return &commitStatement{}, nil
	case p.acceptWords("rollback"), p.acceptWords("abort"):
		_ = p.acceptWords("work") || p.acceptWords("transaction")
		if p.acceptWords("to") {
			p.skipStatement()
			return &unsupportedStatement{"savepoint"}, nil
		}
		return &rollbackStatement{}, nil
	case p.acceptWords("show"):
		name, err := p.settingName()
		return &showStatement{name}, err
	case p.acceptWords("set"):
		return p.set()
	case p.acceptWords("reset"):
		name, err := p.settingName()
		return &resetStatement{name}, err
	case p.acceptWords("discard", "all"):
		return &discardStatement{}, nil
	case p.acceptWords("deallocate"):
		return p.deallocate()
	case p.isWord(unsupportedWords...):
		what := p.next().text
		p.skipStatement()
		return &unsupportedStatement{what}, nil
	}
	return nil, p.syntaxError()
}

// transactionModes parses the transaction modes of BEGIN and SET TRANSACTION.
func (p *parser) transactionModes() (beginStatement, error) {
	var s beginStatement
	for {
		switch {
		case p.acceptWords("read", "only"):
			s.readOnly, s.readWrite = true, false
		case p.acceptWords("read", "write"):
			s.readOnly, s.readWrite = false, true
		case p.acceptWords("isolation", "level"):
			if !p.isolationLevel() {
				return s, p.syntaxError()
			}
		case p.acceptWords("not", "deferrable"), p.acceptWords("deferrable"), p.acceptSymbol(","):
		default:
			return s, nil
		}
	}
}

// isolationLevel accepts any isolation level, but every transaction runs as read
// committed.
func (p *parser) isolationLevel() bool {
	return p.acceptWords("read", "committed") || p.acceptWords("read", "uncommitted") ||
		p.acceptWords("repeatable", "read") || p.acceptWords("serializable")
}

// settingName parses a setting name, which may contain dots, or the words TRANSACTION
// ISOLATION LEVEL.
func (p *parser) settingName() (string, error) {
	if p.acceptWords("transaction", "isolation", "level") {
		return "transaction_isolation", nil
	}
	t := p.next()
	if t.kind != tokenIdent && t.kind != tokenQuoted {
		return "", p.syntaxError()
	}
	name := t.text
	for p.acceptSymbol(".") {
		name += "." + p.next().text
	}
	return name, nil
}

func (p *parser) set() (Statement, error) {
	if p.acceptWords("transaction") {
		modes, err := p.transactionModes()
		return &setTransactionStatement{modes}, err
	}
	if p.acceptWords("session", "characteristics") {
		p.skipStatement()
		return &unsupportedStatement{"set session characteristics"}, nil
	}
	_ = p.acceptWords("session") || p.acceptWords("local")
	name, err := p.settingName()
	if err != nil {
		return nil, err
	}
	if !p.acceptSymbol("=") && !p.acceptWords("to") {
		return nil, p.syntaxError()
	}
	s := &setStatement{name: name}
	err = p.list(func() error {
		_ = p.acceptSymbol("-")
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
	p.acceptWords("prepare")
	if p.acceptWords("all") {
		return &deallocateStatement{}, nil
	}
	name, err := p.name()
	return &deallocateStatement{name}, err
}
