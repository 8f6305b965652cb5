package dbinstance

import (
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"
	"github.com/juju/errors"
)

// flushRows is the number of rows after which an answer is written out.
const flushRows = 128

// settingDefaults are the answers of SHOW for settings that were not set.
var settingDefaults = map[string]string{
	"server_version":        serverVersion,
	"transaction_isolation": "read committed",
	"client_encoding":       "UTF8",
	"timezone":              "UTC",
}

// run carries out one statement.
func (s *session) run(stmt Statement, params []Value, types []uint32) (*Result, error) {
	switch stmt.(type) {
	case *commitStatement:
		return s.commit()
	case *rollbackStatement:
		s.rollback()
		return &Result{Tag: "ROLLBACK"}, nil
	}
	if s.failed {
		return nil, sqlErrorf(codeAborted, "current transaction is aborted, commands ignored until end of transaction block")
	}
	switch stmt := stmt.(type) {
	case *beginStatement:
		return s.begin(stmt)
	case *showStatement:
		return s.show(stmt)
	case *setStatement:
		s.settings[stmt.name] = stmt.value
		return &Result{Tag: "SET"}, nil
	case *discardStatement:
		return s.discard()
	case *deallocateStatement:
		return s.deallocate(stmt)
	case *unsupportedStatement:
		return nil, sqlErrorf(codeUnsupported, "%s is not supported", stmt.what)
	}
	return s.runOnStore(stmt, params, types)
}

// runOnStore runs a statement on tables or an instance function.
func (s *session) runOnStore(stmt Statement, params []Value, types []uint32) (*Result, error) {
	ctx, end := s.statementContext()
	defer end()
	if call, ok := stmt.(*callStatement); ok {
		return s.srv.store.call(ctx, call, params)
	}
	if isWrite(stmt) && !s.srv.store.writable() {
		return nil, sqlErrorf(codeReadOnly, "cannot write on a replica")
	}
	sleep, err := sleepOf(stmt, params)
	if err != nil {
		return nil, err
	}
	if err := s.srv.occupy(ctx, time.Duration(s.srv.statementDelay.Load())+sleep); err != nil {
		return nil, err
	}
	s.srv.reads.note(stmt, s.srv.store.writable())
	res, err := s.transaction().Execute(ctx, stmt, params, types)
	if err != nil {
		return nil, err
	}
	s.late += s.srv.faults.takeLateAnswer()
	if res.Columns != nil {
		s.cutAfter = s.srv.faults.takeRowLimit()
	}
	return res, nil
}

// delayAnswer waits as long as the fault switch says.
func (s *session) delayAnswer() error {
	d := s.late
	s.late = 0
	if d > 0 && pause(s.srv.ctx, d) != nil {
		return errors.Trace(errEnd)
	}
	return nil
}

// transaction returns the open transaction, or a new implicit one.
func (s *session) transaction() *Tx {
	if s.tx == nil {
		s.tx = s.srv.store.Begin(false)
	}
	return s.tx
}

func (s *session) begin(stmt *beginStatement) (*Result, error) {
	if s.explicit {
		return &Result{Tag: "BEGIN"}, nil
	}
	if stmt.readWrite && !s.srv.store.writable() {
		return nil, sqlErrorf(codeReadOnly, "cannot set transaction read-write mode on a replica")
	}
	s.explicit = true
	s.transaction().readOnly = stmt.readOnly
	return &Result{Tag: "BEGIN"}, nil
}

// commit ends the explicit transaction; a failed one is rolled back.
func (s *session) commit() (*Result, error) {
	if s.failed {
		s.rollback()
		return &Result{Tag: "ROLLBACK"}, nil
	}
	if err := s.publish(); err != nil {
		return nil, err
	}
	return &Result{Tag: "COMMIT"}, nil
}

// publish commits the open transaction and notes its position.
func (s *session) publish() error {
	tx := s.tx
	s.tx, s.explicit, s.failed = nil, false, false
	if tx == nil {
		return nil
	}
	broken := CommitIntact
	if tx.changed() {
		broken = s.srv.faults.takeCommitBreak()
	}
	if broken == BreakBeforeCommit {
		tx.Rollback()
		return errors.Trace(errEnd)
	}
	p, err := tx.Commit()
	if err != nil {
		return err
	}
	if broken == BreakAfterCommit {
		return errors.Trace(errEnd)
	}
	if !p.IsZero() {
		s.committed = p
	}
	return nil
}

// endImplicit commits the transaction unless BEGIN opened it.
func (s *session) endImplicit() error {
	if s.explicit {
		return nil
	}
	return s.publish()
}

func (s *session) rollback() {
	if s.tx != nil {
		s.tx.Rollback()
	}
	s.tx, s.explicit, s.failed = nil, false, false
}

// fail rolls back after an error; an explicit transaction stays open as failed.
func (s *session) fail() {
	explicit := s.explicit
	s.rollback()
	s.explicit, s.failed = explicit, explicit
}

func (s *session) show(stmt *showStatement) (*Result, error) {
	value, ok := s.settings[stmt.name]
	if !ok {
		value, ok = settingDefaults[stmt.name]
	}
	if stmt.name == "transaction_read_only" {
		value, ok = "off", true
		if !s.srv.store.writable() || s.tx != nil && s.tx.readOnly {
			value = "on"
		}
	}
	if !ok {
		return nil, sqlErrorf("42704", "unrecognized configuration parameter")
	}
	columns := []ResultColumn{{stmt.name, pgtype.TextOID}}
	return &Result{Columns: columns, Rows: [][]Value{{textValue(value)}}, Tag: "SHOW"}, nil
}

func (s *session) discard() (*Result, error) {
	if s.explicit {
		return nil, sqlErrorf(codeInTransaction, "DISCARD ALL cannot run inside a transaction block")
	}
	clear(s.settings)
	clear(s.prepared)
	clear(s.portals)
	return &Result{Tag: "DISCARD ALL"}, nil
}

func (s *session) deallocate(stmt *deallocateStatement) (*Result, error) {
	if stmt.name == "" {
		clear(s.prepared)
		return &Result{Tag: "DEALLOCATE ALL"}, nil
	}
	if _, ok := s.prepared[stmt.name]; !ok {
		return nil, sqlErrorf(codeNoStatement, "prepared statement does not exist")
	}
	delete(s.prepared, stmt.name)
	return &Result{Tag: "DEALLOCATE"}, nil
}

// sendResult answers a statement of the simple protocol.
func (s *session) sendResult(res *Result) error {
	if res.Columns != nil {
		s.be.Send(rowDescription(res.Columns, nil))
	}
	if err := s.sendRows(res.Columns, res.Rows, nil); err != nil {
		return err
	}
	s.be.Send(&pgproto3.CommandComplete{CommandTag: []byte(res.Tag)})
	return nil
}

// sendRows sends rows, and breaks off where the fault switch says.
func (s *session) sendRows(columns []ResultColumn, rows [][]Value, formats []int16) error {
	cut := s.cutAfter != noRowLimit
	if cut {
		rows = rows[:min(len(rows), s.cutAfter)]
	}
	for i, row := range rows {
		if err := s.sendRow(columns, row, formats); err != nil {
			return err
		}
		if i%flushRows == flushRows-1 {
			if err := s.be.Flush(); err != nil {
				return errors.Trace(errEnd)
			}
		}
	}
	if cut {
		_ = s.be.Flush()
		return errors.Trace(errEnd)
	}
	return nil
}

func (s *session) sendRow(columns []ResultColumn, row []Value, formats []int16) error {
	values := make([][]byte, len(row))
	for c, v := range row {
		data, err := v.encode(columns[c].OID, formatOf(formats, c))
		if err != nil {
			return err
		}
		values[c] = data
	}
	s.be.Send(&pgproto3.DataRow{Values: values})
	return nil
}

// formatOf returns the format of a column by the protocol's rule: no code means
// text, one code means all columns.
func formatOf(formats []int16, column int) int16 {
	switch {
	case len(formats) == 1:
		return formats[0]
	case column < len(formats):
		return formats[column]
	}
	return formatText
}

func rowDescription(columns []ResultColumn, formats []int16) *pgproto3.RowDescription {
	d := &pgproto3.RowDescription{}
	for i, c := range columns {
		d.Fields = append(d.Fields, pgproto3.FieldDescription{
			Name:         []byte(c.Name),
			DataTypeOID:  c.OID,
			DataTypeSize: typeSize(c.OID),
			TypeModifier: -1,
			Format:       formatOf(formats, i),
		})
	}
	return d
}

func typeSize(oid uint32) int16 {
	switch oid {
	case pgtype.Int8OID, pgtype.Float8OID:
		return int8Bytes
	case pgtype.Int4OID:
		return int4Bytes
	case pgtype.BoolOID:
		return 1
	}
	return -1
}
