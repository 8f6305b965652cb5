package dbinstance

import (
	"bytes"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"
	"github.com/juju/errors"
)

// prepared is a prepared statement. Its statement is nil if the query text was empty.
type prepared struct {
	statement Statement
	params    []uint32
	columns   []ResultColumn
}

// portal is a prepared statement with bound parameters. After the first Execute, its
// result holds the rows that have not been sent.
type portal struct {
	prepared *prepared
	params   []Value
	formats  []int16
	result   *Result
}

// handleExtended handles one message of the extended query protocol.
func (s *session) handleExtended(msg pgproto3.FrontendMessage) error {
	switch msg := msg.(type) {
	case *pgproto3.Parse:
		return s.parse(msg)
	case *pgproto3.Bind:
		return s.bind(msg)
	case *pgproto3.Describe:
		return s.describe(msg)
	case *pgproto3.Execute:
		return s.execute(msg)
	case *pgproto3.Close:
		if msg.ObjectType == 'S' {
			delete(s.prepared, msg.Name)
		} else {
			delete(s.portals, msg.Name)
		}
		s.backend.Send(&pgproto3.CloseComplete{})
		return nil
	}
	return sqlErrorf(codeProtocol, "unexpected message")
}

func (s *session) parse(msg *pgproto3.Parse) error {
	if _, ok := s.prepared[msg.Name]; ok && msg.Name != "" {
		return sqlErrorf(codeDuplicatePrepared, "prepared statement already exists")
	}
	list, err := parseSQL(msg.Query)
	if err != nil {
		return err
	}
	if len(list) > 1 {
		return sqlErrorf(codeSyntax, "cannot insert multiple commands into a prepared statement")
	}
	p := &prepared{}
	if len(list) == 1 {
		p.statement = list[0]
		if err := s.describeStatement(p, msg.ParameterOIDs); err != nil {
			return err
		}
	}
	s.prepared[msg.Name] = p
	s.backend.Send(&pgproto3.ParseComplete{})
	return nil
}

// describeStatement determines the statement's parameter types and result columns as
// the current transaction sees the tables.
func (s *session) describeStatement(p *prepared, declared []uint32) error {
	if s.failed && !isTransactionEnd(p.statement) {
		return sqlErrorf(codeFailedTransaction, "current transaction is aborted, commands ignored until end of transaction block")
	}
	known := make([]uint32, len(declared))
	for i, oid := range declared {
		if oid != pgtype.UnknownOID {
			known[i] = oid
		}
	}
	tx := s.tx
	if tx == nil {
		tx = s.srv.store.Begin(true)
		defer tx.Rollback()
	}
	var err error
	p.params, p.columns, err = tx.Describe(p.statement, known)
	return err
}

func isTransactionEnd(stmt Statement) bool {
	switch stmt.(type) {
	case *commitStatement, *rollbackStatement:
		return true
	}
	return false
}

func (s *session) bind(msg *pgproto3.Bind) error {
	p, ok := s.prepared[msg.PreparedStatement]
	if !ok {
		return sqlErrorf(codeUndefinedPrepared, "prepared statement does not exist")
	}
	if s.failed && !isTransactionEnd(p.statement) {
		return sqlErrorf(codeFailedTransaction, "current transaction is aborted, commands ignored until end of transaction block")
	}
	if len(msg.Parameters) != len(p.params) {
		return sqlErrorf(codeProtocol, "bind message supplies %d parameters, but the statement needs %d", len(msg.Parameters), len(p.params))
	}
	po := &portal{prepared: p, formats: append([]int16(nil), msg.ResultFormatCodes...)}
	for i, raw := range msg.Parameters {
		v, err := decodeValue(bytes.Clone(raw), p.params[i], formatOf(msg.ParameterFormatCodes, i))
		if err != nil {
			return err
		}
		po.params = append(po.params, v)
	}
	s.portals[msg.DestinationPortal] = po
	s.backend.Send(&pgproto3.BindComplete{})
	return nil
}

func (s *session) describe(msg *pgproto3.Describe) error {
	if msg.ObjectType == 'P' {
		po, ok := s.portals[msg.Name]
		if !ok {
			return sqlErrorf(codeUndefinedPortal, "portal does not exist")
		}
		s.sendDescription(po.prepared.columns, po.formats)
		return nil
	}
	p, ok := s.prepared[msg.Name]
	if !ok {
		return sqlErrorf(codeUndefinedPrepared, "prepared statement does not exist")
	}
	s.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: p.params})
	s.sendDescription(p.columns, nil)
	return nil
}

func (s *session) sendDescription(columns []ResultColumn, formats []int16) {
	if columns == nil {
		s.backend.Send(&pgproto3.NoData{})
		return
	}
	s.backend.Send(rowDescription(columns, formats))
}

func (s *session) execute(msg *pgproto3.Execute) error {
	po, ok := s.portals[msg.Portal]
	if !ok {
		return sqlErrorf(codeUndefinedPortal, "portal does not exist")
	}
	if po.prepared.statement == nil {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	if po.result == nil {
		res, err := s.run(po.prepared.statement, po.params, po.prepared.params)
		if err != nil {
			return err
		}
		po.result = res
	}
	return s.sendPortal(po, int(msg.MaxRows))
}

// sendPortal sends up to limit rows of the portal; a limit of zero means all.
func (s *session) sendPortal(po *portal, limit int) error {
	rows := po.result.Rows
	if limit > 0 && len(rows) > limit {
		po.result.Rows = rows[limit:]
		if err := s.sendRows(po.result.Columns, rows[:limit], po.formats); err != nil {
			return err
		}
		s.backend.Send(&pgproto3.PortalSuspended{})
		return nil
	}
	po.result.Rows = nil
	if err := s.sendRows(po.result.Columns, rows, po.formats); err != nil {
		return err
	}
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(po.result.Tag)})
	return nil
}

// handleSync handles Sync: it ends a sequence of extended query messages and commits
// the implicit transaction.
func (s *session) handleSync() error {
	if !s.skipping {
		err := s.commitImplicit()
		if errors.Cause(err) == errSessionEnded {
			return err
		}
		if err != nil {
			s.sendError(err, "ERROR")
		}
	}
	s.skipping = false
	if s.tx == nil {
		clear(s.portals)
	}
	return s.ready()
}
