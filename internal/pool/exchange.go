package pool

import (
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"chicoryline/internal/errkind"
)

// maxPartBytes is the size in bytes at which a part of an answer is returned.
const maxPartBytes = 128 << 10

// ack is an expected ParseComplete or CloseComplete.
type ack struct {
	statement string // statement that is prepared afterwards; empty for a Close
	injected  bool   // the Parse was added by the pool, so the ack isn't forwarded
	replaced  bool   // the caller's Parse was sent as a Close
}

// exchange is one request on a connection, from the first byte sent to
// ReadyForQuery. No other request may use the connection until done is true.
type exchange struct {
	conn *conn
	acks []ack
	// sent is true if any byte may have reached the server.
	sent bool
	// marked is true after the marker was read.
	marked bool
	// done is true after ReadyForQuery was read.
	done bool
	// readOnlyRefused is true if the server returned SQLSTATE 25006 and no rows.
	readOnlyRefused bool
	rows            int
	errorCode       string
	deadline        time.Time
}

// start rewrites the request for this connection and sends it.
func (e *exchange) start(args *ExecuteArgs) error {
	out, err := e.rewrite(args)
	if err != nil {
		return err
	}
	_ = e.conn.net.SetWriteDeadline(e.deadline)
	e.sent = true
	if _, err := e.conn.net.Write(out); err != nil {
		e.conn.close()
		return errkind.New(errkind.OutcomeUnknown, "send: %v", err)
	}
	return nil
}

// rewrite prepends a marker, and a Parse for each prepared statement that the connection lacks.
// It replaces the Parse of a statement that the connection already has with a Close
// of a nonexistent statement; its CloseComplete is then forwarded as ParseComplete.
func (e *exchange) rewrite(args *ExecuteArgs) ([]byte, error) {
	frames, err := splitFrames(args.Messages)
	if err != nil {
		return nil, err
	}
	out, err := e.conn.appendMarker(make([]byte, 0, len(args.Messages)+256))
	if err != nil {
		return nil, err
	}
	pending := map[string]bool{}
	for _, s := range args.Statements {
		if e.conn.prepared[s.Name] || pending[s.Name] {
			continue
		}
		out, err = (&pgproto3.Parse{Name: s.Name, Query: s.Query, ParameterOIDs: s.Types}).Encode(out)
		if err != nil {
			return nil, errkind.New(errkind.ProtocolViolation, "%v", err)
		}
		e.acks = append(e.acks, ack{statement: s.Name, injected: true})
		pending[s.Name] = true
	}
	for _, f := range frames {
		out, err = e.rewriteFrame(out, f, pending)
		if err != nil {
			return nil, err
		}
	}
	return out, nil
}

func (e *exchange) rewriteFrame(out []byte, f frame, pending map[string]bool) ([]byte, error) {
	switch f.kind() {
	case 'C':
		e.acks = append(e.acks, ack{})
	case 'P':
		name := cString(f.body())
		if name != "" && (e.conn.prepared[name] || pending[name]) {
			e.acks = append(e.acks, ack{replaced: true})
			return (&pgproto3.Close{ObjectType: 'S', Name: nonexistentStatement}).Encode(out)
		}
		e.acks = append(e.acks, ack{statement: name})
		pending[name] = name != ""
	}
	return append(out, f...), nil
}

// nonexistentStatement is a name that is never used for a caller's statement.
const nonexistentStatement = "chicoryline_none"

// receive appends messages to answer until ReadyForQuery or maxPartBytes.
func (e *exchange) receive(answer []byte) ([]byte, error) {
	_ = e.conn.net.SetReadDeadline(e.deadline)
	if !e.marked {
		if err := e.conn.awaitAnswer(); err != nil {
			e.conn.close()
			return answer, errkind.New(errkind.OutcomeUnknown, "receive: %v", err)
		}
		e.marked = true
	}
	for len(answer) < maxPartBytes {
		f, err := e.conn.read()
		if err != nil {
			e.conn.close()
			return answer, errkind.New(errkind.OutcomeUnknown, "receive: %v", err)
		}
		switch f.kind() {
		case 'Z':
			e.finish(f)
			return answer, nil
		case 'G', 'H', 'W':
			e.conn.close()
			return answer, errkind.New(errkind.Unsupported, "COPY")
		case '1', '3':
			answer = e.matchAck(answer, f)
			continue
		case 'E':
			e.recordError(f)
		case 'D':
			e.rows++
		}
		answer = append(answer, f...)
	}
	return answer, nil
}

func (e *exchange) finish(ready frame) {
	e.done = true
	e.conn.status = ready.body()[0]
	_ = e.conn.net.SetDeadline(time.Time{})
}

func (e *exchange) recordError(f frame) {
	e.errorCode = errorCode(f.body())
	e.readOnlyRefused = e.rows == 0 && isReadOnlyRefusal(e.errorCode)
}

// matchAck matches a ParseComplete or CloseComplete with the message it answers.
func (e *exchange) matchAck(answer []byte, f frame) []byte {
	if len(e.acks) == 0 {
		return append(answer, f...)
	}
	a := e.acks[0]
	e.acks = e.acks[1:]
	if a.statement != "" {
		e.conn.prepared[a.statement] = true
	}
	switch {
	case a.injected:
		return answer
	case a.replaced:
		return append(answer, '1', 0, 0, 0, 4)
	}
	return append(answer, f...)
}
