package pool

import (
	"encoding/binary"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/sirupsen/logrus"

	"chicoryline/internal/errkind"
)

// Answers carry no ID, and a server may send one twice, the second time late. Each request
// therefore begins with a marker: a prepared statement that has the request's number as its
// parameter types is described and closed. The answer begins with that description, so one that
// begins otherwise belongs to an earlier request. The marker's answer and the request's end with the
// same ReadyForQuery.
const (
	// markerName is the name of the marker's statement. No caller's statement has it.
	markerName = "chicoryline_marker"
	// markerQuery is never executed. It can be prepared in a failed transaction, too.
	markerQuery = "ROLLBACK"
	// markerType is the lowest parameter type of a marker. No server defines types from there on.
	markerType = 1 << 31
)

// markerTypes returns the parameter types for the number.
func markerTypes(number uint64) []uint32 {
	return []uint32{markerType | uint32(number>>31), markerType | uint32(number)}
}

// appendMarker appends the marker of the next request.
func (c *conn) appendMarker(out []byte) ([]byte, error) {
	c.requests++
	for _, m := range []pgproto3.FrontendMessage{
		&pgproto3.Parse{Name: markerName, Query: markerQuery, ParameterOIDs: markerTypes(c.requests)},
		&pgproto3.Describe{ObjectType: 'S', Name: markerName},
		&pgproto3.Close{ObjectType: 'S', Name: markerName},
	} {
		var err error
		if out, err = m.Encode(out); err != nil {
			return nil, errkind.New(errkind.ProtocolViolation, "%v", err)
		}
	}
	return out, nil
}

// awaitAnswer reads up to the end of the last request's marker. It drops the answers before it.
func (c *conn) awaitAnswer() error {
	marked := false // the frames of the marker are being read
	for first := true; ; {
		f, err := c.readAny()
		switch {
		case err != nil:
			return err
		case f.isAsynchronous(), f.kind() == 'R': // a repeated request for the password
		case marked:
			if f.kind() == '3' {
				return nil
			}
		case first && f.kind() == '1':
			first = false
		case f.kind() == 't' && isMarker(f.body(), c.requests):
			marked = true
		default:
			if err := c.dropAnswer(f); err != nil {
				return err
			}
			first = true
		}
	}
}

// isMarker reports whether the ParameterDescription is that of the marker with the number.
func isMarker(body []byte, number uint64) bool {
	types := markerTypes(number)
	want := binary.BigEndian.AppendUint16(nil, uint16(len(types)))
	for _, t := range types {
		want = binary.BigEndian.AppendUint32(want, t)
	}
	return string(body) == string(want)
}

// dropAnswer reads the rest of an answer that belongs to an earlier request, from the frame on. The
// first one of a connection is logged.
func (c *conn) dropAnswer(f frame) error {
	for f.kind() != 'Z' {
		var err error
		if f, err = c.readAny(); err != nil {
			return err
		}
	}
	if c.dropped++; c.dropped == 1 {
		c.log.WithFields(logrus.Fields{"event": "answer", "reason": "repeated", "answered": c.requests}).Warn("answer to an earlier request")
	}
	return nil
}
