package dbinstance

import (
	"encoding/binary"
	"math"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgtype"
)

// Kind is the data type of a Value.
type Kind uint8

// The kinds of values.
const (
	Null Kind = iota
	Int
	Text
	Bool
	Float
)

const (
	formatText   = 0
	formatBinary = 1

	int4Bytes = 4
	int8Bytes = 8
)

// Value is an SQL value. It is comparable and can be a map key. I holds Int and Bool
// (0 or 1), F holds Float, and S holds Text.
type Value struct {
	Kind Kind    `json:"k"`
	I    int64   `json:"i,omitempty"`
	F    float64 `json:"f,omitempty"`
	S    string  `json:"s,omitempty"`
}

func intValue(i int64) Value     { return Value{Kind: Int, I: i} }
func textValue(s string) Value   { return Value{Kind: Text, S: s} }
func floatValue(f float64) Value { return Value{Kind: Float, F: f} }

func boolValue(b bool) Value {
	if b {
		return Value{Kind: Bool, I: 1}
	}
	return Value{Kind: Bool}
}

// String returns the value in PostgreSQL's text format.
func (v Value) String() string {
	switch v.Kind {
	case Int:
		return strconv.FormatInt(v.I, 10)
	case Float:
		return strconv.FormatFloat(v.F, 'g', -1, 64)
	case Bool:
		if v.I != 0 {
			return "t"
		}
		return "f"
	}
	return v.S
}

// oid returns the OID of the value's PostgreSQL type.
func (v Value) oid() uint32 {
	switch v.Kind {
	case Int:
		return pgtype.Int8OID
	case Bool:
		return pgtype.BoolOID
	case Float:
		return pgtype.Float8OID
	}
	return pgtype.TextOID
}

// coerce converts the value to the PostgreSQL type.
func (v Value) coerce(oid uint32) (Value, error) {
	if v.Kind == Null {
		return v, nil
	}
	switch oid {
	case pgtype.Int8OID, pgtype.Int4OID, pgtype.Int2OID:
		return v.toInt(oid)
	case pgtype.BoolOID:
		return v.toBool()
	case pgtype.Float8OID, pgtype.Float4OID, pgtype.NumericOID:
		return v.toFloat()
	}
	return textValue(v.String()), nil
}

func (v Value) toInt(oid uint32) (Value, error) {
	n := v.I
	switch v.Kind {
	case Text:
		parsed, err := strconv.ParseInt(strings.TrimSpace(v.S), 10, 64)
		if err != nil {
			return Value{}, sqlErrorf(codeInvalidTextFormat, "invalid input syntax for type bigint")
		}
		n = parsed
	case Float:
		n = int64(math.Round(v.F))
	case Bool:
		return Value{}, sqlErrorf(codeDatatypeMismatch, "value is boolean but type is integer")
	}
	if oid == pgtype.Int4OID && n != int64(int32(n)) {
		return Value{}, sqlErrorf("22003", "integer out of range")
	}
	return intValue(n), nil
}

func (v Value) toBool() (Value, error) {
	if v.Kind == Bool {
		return v, nil
	}
	switch strings.ToLower(v.S) {
	case "t", "true", "on", "yes", "1":
		return boolValue(true), nil
	case "f", "false", "off", "no", "0":
		return boolValue(false), nil
	}
	return Value{}, sqlErrorf(codeInvalidTextFormat, "invalid input syntax for type boolean")
}

func (v Value) toFloat() (Value, error) {
	switch v.Kind {
	case Int:
		return floatValue(float64(v.I)), nil
	case Float:
		return v, nil
	}
	f, err := strconv.ParseFloat(v.S, 64)
	if err != nil {
		return Value{}, sqlErrorf(codeInvalidTextFormat, "invalid input syntax for type double precision")
	}
	return floatValue(f), nil
}

// compare returns -1, 0 or 1 for the order of two values of the same type. Null sorts
// last.
func (v Value) compare(w Value) int {
	if v.Kind == Null || w.Kind == Null {
		return boolRank(v.Kind == Null) - boolRank(w.Kind == Null)
	}
	if v.Kind == Text || w.Kind == Text {
		return strings.Compare(v.String(), w.String())
	}
	if v.Kind == Float || w.Kind == Float {
		return compareFloats(v.asFloat(), w.asFloat())
	}
	switch {
	case v.I < w.I:
		return -1
	case v.I > w.I:
		return 1
	}
	return 0
}

func (v Value) asFloat() float64 {
	if v.Kind == Float {
		return v.F
	}
	return float64(v.I)
}

func compareFloats(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

func boolRank(b bool) int {
	if b {
		return 1
	}
	return 0
}

// encode returns the wire format of the value as the type; it is nil for Null.
func (v Value) encode(oid uint32, format int16) ([]byte, error) {
	if v.Kind == Null {
		return nil, nil
	}
	c, err := v.coerce(oid)
	if err != nil {
		return nil, err
	}
	if format == formatText {
		return []byte(c.String()), nil
	}
	switch oid {
	case pgtype.Int8OID:
		return binary.BigEndian.AppendUint64(nil, uint64(c.I)), nil
	case pgtype.Int4OID:
		return binary.BigEndian.AppendUint32(nil, uint32(c.I)), nil
	case pgtype.BoolOID:
		return []byte{byte(c.I)}, nil
	case pgtype.Float8OID:
		return binary.BigEndian.AppendUint64(nil, math.Float64bits(c.F)), nil
	}
	return []byte(c.String()), nil
}

// decodeValue decodes a parameter from its wire format; nil is Null.
func decodeValue(raw []byte, oid uint32, format int16) (Value, error) {
	if raw == nil {
		return Value{}, nil
	}
	if format == formatText {
		return textValue(string(raw)).coerce(oid)
	}
	bad := sqlErrorf("22P03", "incorrect binary data format")
	switch oid {
	case pgtype.Int8OID:
		if len(raw) != int8Bytes {
			return Value{}, bad
		}
		return intValue(int64(binary.BigEndian.Uint64(raw))), nil
	case pgtype.Int4OID:
		if len(raw) != int4Bytes {
			return Value{}, bad
		}
		return intValue(int64(int32(binary.BigEndian.Uint32(raw)))), nil
	case pgtype.BoolOID:
		if len(raw) != 1 {
			return Value{}, bad
		}
		return boolValue(raw[0] != 0), nil
	case pgtype.Float8OID:
		if len(raw) != int8Bytes {
			return Value{}, bad
		}
		return floatValue(math.Float64frombits(binary.BigEndian.Uint64(raw))), nil
	case pgtype.TextOID, pgtype.VarcharOID:
		return textValue(string(raw)), nil
	}
	return Value{}, sqlErrorf(codeUnsupported, "binary format of type %d is not supported", oid)
}
