package dbinstance

import (
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"
	"github.com/juju/errors"
)

// rowsPerFlush is the number of rows after which buffered rows are flushed.
const rowsPerFlush = 128

// sendResult sends the result of a statement of the simple query protocol.
func (s *session) sendResult(res *Result) error {
	if res.Columns != nil {
		s.backend.Send(rowDescription(res.Columns, nil))
	}
	if err := s.sendRows(res.Columns, res.Rows, nil); err != nil {
		return err
	}
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(res.Tag)})
	return nil
}

// sendRows sends rows. If a truncation fault is active, it stops at the row limit and
// ends the session.
func (s *session) sendRows(columns []ResultColumn, rows [][]Value, formats []int16) error {
	cut := s.rowLimit != noRowLimit
	if cut {
		rows = rows[:min(len(rows), s.rowLimit)]
	}
	for i, row := range rows {
		if err := s.sendRow(columns, row, formats); err != nil {
			return err
		}
		if i%rowsPerFlush == rowsPerFlush-1 {
			if err := s.backend.Flush(); err != nil {
				return errors.Trace(errSessionEnded)
			}
		}
	}
	if cut {
		_ = s.backend.Flush()
		return errors.Trace(errSessionEnded)
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
	s.backend.Send(&pgproto3.DataRow{Values: values})
	return nil
}

// formatOf returns the format code of a column. As the protocol defines, no codes means
// text for all columns, and a single code applies to all columns.
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
