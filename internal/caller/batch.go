package caller

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/jackc/pgx/v5/pgproto3"

	"chicoryline/internal/errkind"
	"chicoryline/internal/pool"
)

// batch is one request of a caller: all messages up to Query or Sync. Statement names are
// rewritten so that they are valid on every pooled connection.
type batch struct {
	messages   []byte
	statements []pool.Statement
	// parsedNames holds the shared names of the statements that the batch itself parses.
	parsedNames map[string]bool
	// portals holds the texts of the statements that the batch binds, by portal.
	portals map[string]string
	classes []statementClass
	// executionCount is the number of statement executions; simple marks a simple query.
	executionCount int
	simple         bool
	// steps lists the messages to answer if the proxy itself answers the batch.
	steps []step
	// err rejects the batch as a whole; none of its statements is executed.
	err error
	// fatal ends the connection after err has been sent.
	fatal bool
}

// step is one message of a request that needs a response. The kind is one of: '1' Parse, 'B'
// Bind, 'C' Close, 'E' Execute or one statement of a simple query, 'S' Describe of a
// statement, 'P' Describe of a portal.
type step struct {
	kind byte
	sql  string
}

// closedStatement is a name that no statement has. Closing it succeeds like any other Close
// and keeps the prepared statements of the pooled connection.
const closedStatement = "chicoryline_none"

func (b *batch) reject(err error) {
	if b.err == nil {
		b.err = err
	}
}

// addQuery adds a simple query, which may hold several statements.
func (b *batch) addQuery(m *pgproto3.Query) {
	b.simple = true
	for _, sql := range splitStatements(m.String) {
		b.addStatement(sql)
	}
	b.encode(m)
}

func (b *batch) addStatement(sql string) {
	class := classify(sql)
	if class.rejectReason != "" {
		b.reject(errkind.New(errkind.Unsupported, "%s", class.rejectReason))
	}
	b.classes = append(b.classes, class)
	b.executionCount++
	b.steps = append(b.steps, step{kind: 'E', sql: sql})
}

func (b *batch) encode(m pgproto3.FrontendMessage) {
	out, err := m.Encode(b.messages)
	if err != nil {
		b.reject(errkind.New(errkind.ProtocolViolation, "%v", err))
		return
	}
	b.messages = out
}

// addExtended adds one message of the extended query protocol. The map holds the connection's
// prepared statements by the caller's names.
func (b *batch) addExtended(message pgproto3.FrontendMessage, prepared map[string]pool.Statement) {
	switch m := message.(type) {
	case *pgproto3.Parse:
		b.addParse(m, prepared)
	case *pgproto3.Bind:
		if b.portals == nil {
			b.portals = map[string]string{}
		}
		b.portals[m.DestinationPortal] = prepared[m.PreparedStatement].Query
		m.PreparedStatement = b.resolveStatement(m.PreparedStatement, prepared)
		b.steps = append(b.steps, step{kind: 'B'})
		b.encode(m)
	case *pgproto3.Describe:
		if m.ObjectType == 'S' {
			name := m.Name
			m.Name = b.resolveStatement(name, prepared)
			b.steps = append(b.steps, step{kind: 'S', sql: prepared[name].Query})
		} else {
			b.steps = append(b.steps, step{kind: 'P', sql: b.queryOf(m.Name)})
		}
		b.encode(m)
	case *pgproto3.Execute:
		b.addExecute(m)
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			delete(prepared, m.Name)
			m.Name = closedStatement
		}
		b.steps = append(b.steps, step{kind: 'C'})
		b.encode(m)
	case *pgproto3.Flush:
		b.reject(errkind.New(errkind.Unsupported, "Flush without Sync"))
	}
}

func (b *batch) addParse(m *pgproto3.Parse, prepared map[string]pool.Statement) {
	s := pool.Statement{Query: m.Query, Types: append([]uint32(nil), m.ParameterOIDs...)}
	s.Name = statementName(s)
	prepared[m.Name] = s
	m.Name = s.Name
	if b.parsedNames == nil {
		b.parsedNames = map[string]bool{}
	}
	b.parsedNames[s.Name] = true
	if class := classify(s.Query); class.rejectReason != "" {
		b.reject(errkind.New(errkind.Unsupported, "%s", class.rejectReason))
	}
	if b.executionCount == 0 && len(b.classes) == 0 {
		b.classes = append(b.classes, classify(s.Query))
	}
	b.steps = append(b.steps, step{kind: '1'})
	b.encode(m)
}

// addExecute adds the execution of a portal. A portal kept from an earlier batch exists only inside
// an open transaction and inherits that transaction's class.
func (b *batch) addExecute(m *pgproto3.Execute) {
	if b.executionCount == 0 {
		b.classes = nil
	}
	b.addStatement(b.queryOf(m.Portal))
	b.encode(m)
}

// queryOf returns the text of the portal's statement. That of a portal from an earlier batch is taken
// to be the last one that the batch referred to.
func (b *batch) queryOf(portal string) string {
	if query, ok := b.portals[portal]; ok {
		return query
	}
	if len(b.statements) == 0 {
		return ""
	}
	return b.statements[len(b.statements)-1].Query
}

// resolveStatement returns the shared name for a caller's statement name. A name that the caller has
// not prepared becomes one that no statement has, as it may be the shared name of another caller's.
func (b *batch) resolveStatement(name string, prepared map[string]pool.Statement) string {
	s, ok := prepared[name]
	if !ok {
		return closedStatement
	}
	b.statements = append(b.statements, s)
	return s.Name
}

// statementName derives the shared name, which is the same on all connections, from the
// statement text and the parameter types.
func statementName(s pool.Statement) string {
	h := sha256.New()
	for _, oid := range s.Types {
		_ = binary.Write(h, binary.BigEndian, oid)
	}
	h.Write([]byte{0})
	h.Write([]byte(s.Query))
	return "c" + hex.EncodeToString(h.Sum(nil)[:12])
}

// unparsedStatements returns the statements that the batch refers to but does not parse. The
// pool prepares them if its connection does not have them yet.
func (b *batch) unparsedStatements() []pool.Statement {
	var list []pool.Statement
	for _, s := range b.statements {
		if !b.parsedNames[s.Name] {
			list = append(list, s)
		}
	}
	return list
}

// all reports whether every statement of the batch satisfies the predicate.
func (b *batch) all(predicate func(statementClass) bool) bool {
	for _, class := range b.classes {
		if !predicate(class) {
			return false
		}
	}
	return true
}

// any reports whether at least one statement of the batch satisfies the predicate.
func (b *batch) any(predicate func(statementClass) bool) bool {
	for _, class := range b.classes {
		if predicate(class) {
			return true
		}
	}
	return false
}

func isRead(c statementClass) bool              { return c.read }
func isReadOnlyBegin(c statementClass) bool     { return c.readOnlyBegin }
func mayCommit(c statementClass) bool           { return c.end && !c.rollback }
func isLocal(c statementClass) bool             { return c.local != notLocal }
func changesSessionState(c statementClass) bool { return c.changesSessionState }
