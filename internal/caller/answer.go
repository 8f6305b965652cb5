package caller

import (
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"chicoryline/internal/errkind"
)

// lingerTimeout limits the wait for a caller to read the last message. Closing the socket
// while data from the caller is unread would reset the connection and could discard that
// message.
const lingerTimeout = 2 * time.Second

// sendError sends an ErrorResponse built from the entry of the error's kind in the errkind
// table.
func (c *conn) sendError(err error, severity string) {
	kind := errkind.KindOf(err)
	answer := kind.Answer()
	message := answer.Text
	if e, ok := errkind.As(err); ok && e.Detail != "" {
		message += ": " + e.Detail
	}
	c.backend.Send(&pgproto3.ErrorResponse{
		Severity: severity, SeverityUnlocalized: severity, Code: answer.SQLState, Message: message,
		Detail: "kind=" + answer.Name + " class=" + answer.Class.String(),
		Hint:   "retry: " + answer.Retry.String(),
	})
}

// sendReady ends a request with ReadyForQuery and the current transaction status.
func (c *conn) sendReady() {
	c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: c.txStatus()})
	_ = c.backend.Flush()
}

// sendEmptyQuery answers a query without statements.
func (c *conn) sendEmptyQuery() { c.backend.Send(&pgproto3.EmptyQueryResponse{}) }

// sendFatal sends the error as the last message and lets the caller read it before the
// connection is closed.
func (c *conn) sendFatal(err error) {
	c.sendError(err, "FATAL")
	_ = c.backend.Flush()
	c.linger()
}

// linger closes the sending side and discards input until the caller closes its side or
// lingerTimeout has passed.
func (c *conn) linger() {
	writeCloser, ok := c.net.(interface{ CloseWrite() error })
	if !ok {
		return
	}
	_ = writeCloser.CloseWrite()
	_ = c.net.SetReadDeadline(time.Now().Add(lingerTimeout))
	buf := make([]byte, 512)
	for {
		if _, err := c.net.Read(buf); err != nil {
			return
		}
	}
}

// sendToken reports the new session token in a ParameterStatus message.
func (c *conn) sendToken() {
	token := c.server.cfg.Access().Sealer().Seal(c.customer, c.session.minPositions)
	c.backend.Send(&pgproto3.ParameterStatus{Name: sessionParameter, Value: token})
}

// answerLocal answers a batch whose statements are all handled by the proxy itself.
func (c *conn) answerLocal(b *batch) {
	for _, s := range b.steps {
		if err := c.answerStep(b, s); err != nil {
			c.sendError(err, "ERROR")
			break
		}
	}
	c.sendReady()
}

func (c *conn) answerStep(b *batch, s step) error {
	switch s.kind {
	case '1':
		c.backend.Send(&pgproto3.ParseComplete{})
	case 'B':
		c.backend.Send(&pgproto3.BindComplete{})
	case 'C':
		c.backend.Send(&pgproto3.CloseComplete{})
	case 'S':
		c.backend.Send(&pgproto3.ParameterDescription{})
		c.describeLocal(s.sql)
	case 'P':
		c.describeLocal(s.sql)
	case 'E':
		return c.runLocal(b, s.sql)
	}
	return nil
}

func (c *conn) describeLocal(sql string) {
	if classify(sql).local != localShowSession {
		c.backend.Send(&pgproto3.NoData{})
		return
	}
	c.backend.Send(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{
		Name: []byte(sessionParameter), DataTypeOID: textOID, DataTypeSize: -1, TypeModifier: -1,
	}}})
}

// textOID is the object identifier of PostgreSQL's type text.
const textOID = 25

// runLocal executes one statement that is handled by the proxy itself.
func (c *conn) runLocal(b *batch, sql string) error {
	tag := "SET"
	switch classify(sql).local {
	case localSetSession:
		if err := c.setProxySetting(sql); err != nil {
			return err
		}
	case localShowSession:
		if b.simple {
			c.describeLocal(sql)
		}
		token := c.server.cfg.Access().Sealer().Seal(c.customer, c.session.minPositions)
		c.backend.Send(&pgproto3.DataRow{Values: [][]byte{[]byte(token)}})
		tag = "SHOW"
	case localDiscard:
		tag = "DISCARD ALL"
	}
	c.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	return nil
}

// setProxySetting executes SET chicoryline.session and SET chicoryline.max_age.
func (c *conn) setProxySetting(sql string) error {
	name, value, ok := splitSet(sql)
	if !ok {
		return errkind.New(errkind.ProtocolViolation, "SET needs a name and a value")
	}
	switch name {
	case sessionParameter:
		return c.applyToken(&value)
	case maxAgeParameter:
		limit, err := parseMaxAge(value)
		if err != nil {
			return err
		}
		c.session.maxAge = limit
		return nil
	}
	return errkind.New(errkind.Unsupported, "setting %s", name)
}

// splitSet parses "SET name = 'value'" or "SET name TO value".
func splitSet(sql string) (name, value string, ok bool) {
	rest := skipBlank(sql)[len("SET"):]
	rest = strings.TrimSpace(rest)
	end := strings.IndexAny(rest, " \t\r\n=")
	if end < 0 {
		return "", "", false
	}
	name, rest = strings.ToLower(rest[:end]), strings.TrimSpace(rest[end:])
	if trimmed, found := strings.CutPrefix(rest, "="); found {
		rest = trimmed
	} else if len(rest) >= 2 && strings.EqualFold(rest[:2], "TO") {
		rest = rest[2:]
	} else {
		return "", "", false
	}
	value = strings.Trim(strings.TrimSpace(rest), "';")
	return name, value, true
}

// close closes the connection and aborts its open transaction, if any.
func (c *conn) close() {
	c.endOnce.Do(func() {
		close(c.ended)
		_ = c.net.Close()
		c.endTransaction()
	})
}

// rejectConnection ends a connection that addConn did not accept.
func (c *conn) rejectConnection() {
	c.fire("stop_requested", errkind.New(errkind.ShuttingDown, ""))
}
