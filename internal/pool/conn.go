package pool

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/sirupsen/logrus"

	"chicoryline/internal/errkind"
	"chicoryline/internal/position"
)

const (
	// connectTimeout bounds the opening of a backend connection.
	connectTimeout = 2 * time.Second
	// maxPreparedStatements bounds the prepared statements kept on a connection.
	maxPreparedStatements = 256
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 16 << 10

	statusIdle        = 'I'
	positionParameter = "log_position"
)

// Credentials are the proxy's own credentials for backend servers. Keys of callers
// are never sent to a backend server.
type Credentials struct {
	User     string
	Password string
	Database string
	// Application is the application_name, "chicoryline/VM/DOMAIN".
	Application string
}

// conn is one connection to a backend server. It has no lock: only the
// transaction that holds it may use it.
type conn struct {
	net       net.Conn
	reader    *bufio.Reader
	buf       []byte
	prepared  map[string]bool
	cancelKey cancelKey
	status    byte
	position  position.Position
	broken    bool
	lastUse   time.Time
	// requests counts the requests sent, dropped the answers that were repeats.
	requests, dropped uint64
	log               *logrus.Entry
	// idleTimeout is the server's idle_in_transaction_session_timeout.
	idleTimeout time.Duration
}

type cancelKey struct {
	pid    uint32
	secret []byte
}

// openConn connects, logs in and sets the idle-in-transaction timeout.
func openConn(ctx context.Context, cfg *OwnerConfig) (*conn, error) {
	address := cfg.Instance.Address
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	socket, err := cfg.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, errkind.New(errkind.Unreachable, "%s: %v", address, err)
	}
	if deadline, ok := ctx.Deadline(); ok {
		_ = socket.SetDeadline(deadline)
	}
	c := &conn{net: socket, reader: bufio.NewReaderSize(socket, readBufferBytes), prepared: map[string]bool{}, idleTimeout: cfg.IdleTransactionTimeout}
	c.log = cfg.Log.WithFields(logrus.Fields{"group": cfg.Group.Name, "backend_server": cfg.Instance.ID})
	if err := c.login(cfg.Credentials); err != nil {
		_ = socket.Close()
		return nil, err
	}
	if err := c.setIdleTimeout(); err != nil {
		_ = socket.Close()
		return nil, err
	}
	_ = socket.SetDeadline(time.Time{})
	return c, nil
}

func (c *conn) login(cred Credentials) error {
	front := pgproto3.NewFrontend(c.reader, c.net)
	front.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters: map[string]string{
			"user": cred.User, "database": cred.Database, "application_name": cred.Application,
		},
	})
	if err := front.Flush(); err != nil {
		return errkind.New(errkind.Unreachable, "startup: %v", err)
	}
	asked := false
	for {
		message, err := front.Receive()
		if err != nil {
			return errkind.New(errkind.Unreachable, "startup: %v", err)
		}
		if _, ok := message.(*pgproto3.AuthenticationCleartextPassword); ok {
			if asked {
				continue // a repeat
			}
			asked = true
		}
		done, err := c.handleLoginMessage(front, message, cred)
		if done || err != nil {
			return err
		}
	}
}

func (c *conn) handleLoginMessage(front *pgproto3.Frontend, message pgproto3.BackendMessage, cred Credentials) (bool, error) {
	switch m := message.(type) {
	case *pgproto3.AuthenticationCleartextPassword:
		front.Send(&pgproto3.PasswordMessage{Password: cred.Password})
		if err := front.Flush(); err != nil {
			return false, errkind.New(errkind.Unreachable, "password: %v", err)
		}
	case *pgproto3.BackendKeyData:
		c.cancelKey = cancelKey{pid: m.ProcessID, secret: append([]byte(nil), m.SecretKey...)}
	case *pgproto3.ErrorResponse:
		return false, errkind.New(errkind.Unreachable, "startup refused: %s", m.Code)
	case *pgproto3.ReadyForQuery:
		c.status = m.TxStatus
		return true, nil
	}
	return false, nil
}

func (c *conn) close() {
	c.broken = true
	_ = c.net.Close()
}

// isReusable reports whether another transaction may use the connection.
func (c *conn) isReusable() bool { return !c.broken && c.status == statusIdle }

// read returns the next message for the caller. It records the commit position
// and drops all other ParameterStatus messages and notifications.
func (c *conn) read() (frame, error) {
	for {
		f, err := c.readAny()
		if err != nil {
			return nil, err
		}
		switch f.kind() {
		case 'S':
			c.recordParameter(f.body())
		case 'A':
		default:
			return f, nil
		}
	}
}

// readAny returns the next message.
func (c *conn) readAny() (frame, error) {
	f, err := readFrame(c.reader, c.buf)
	if err != nil {
		return nil, err
	}
	c.buf = f
	return f, f.check()
}

func (c *conn) recordParameter(body []byte) {
	name, value, _ := cutString(body)
	if name != positionParameter {
		return
	}
	if p, err := position.Parse(cString(value)); err == nil {
		c.position = p
	}
}

// query runs a simple query of the proxy itself and returns the last row.
func (c *conn) query(sql string, timeout time.Duration) ([]string, error) {
	_ = c.net.SetDeadline(time.Now().Add(timeout))
	defer func() { _ = c.net.SetDeadline(time.Time{}) }()
	data, err := c.appendMarker(nil)
	if err != nil {
		return nil, err
	}
	if data, err = (&pgproto3.Query{String: sql}).Encode(data); err != nil {
		return nil, err
	}
	_, err = c.net.Write(data)
	if err == nil {
		err = c.awaitAnswer()
	}
	if err != nil {
		c.broken = true
		return nil, errkind.New(errkind.Unreachable, "%v", err)
	}
	var row []string
	var failure error
	for {
		f, err := c.read()
		if err != nil {
			c.broken = true
			return nil, errkind.New(errkind.Unreachable, "%v", err)
		}
		switch f.kind() {
		case 'D':
			row, err = dataRow(f.body())
			if err != nil {
				failure = err
			}
		case 'E':
			failure = errkind.New(errkind.StatementFailed, "SQLSTATE %s", errorCode(f.body()))
		case 'Z':
			c.status = f.body()[0]
			return row, failure
		}
	}
}

func dataRow(body []byte) ([]string, error) {
	var m pgproto3.DataRow
	if err := m.Decode(body); err != nil {
		return nil, err
	}
	row := make([]string, len(m.Values))
	for i, v := range m.Values {
		row[i] = string(v)
	}
	return row, nil
}

// errorCode returns the SQLSTATE of an ErrorResponse body.
func errorCode(body []byte) string {
	for len(body) > 1 {
		value, rest, _ := cutString(body[1:])
		if body[0] == 'C' {
			return value
		}
		body = rest
	}
	return ""
}

// reset clears the session state that a transaction left on the connection.
func (c *conn) reset() {
	if _, err := c.query("DISCARD ALL", connectTimeout); err != nil {
		c.broken = true
	}
	c.prepared = map[string]bool{}
	if !c.broken && c.setIdleTimeout() != nil {
		c.broken = true
	}
}

// setIdleTimeout makes the server end transactions that receive no requests. This
// releases their row locks even if this VM fails without closing its sockets.
func (c *conn) setIdleTimeout() error {
	_, err := c.query(fmt.Sprintf("SET idle_in_transaction_session_timeout = %d", c.idleTimeout.Milliseconds()), connectTimeout)
	return err
}

// sendCancel asks the server to cancel the statement that runs on the connection.
// It returns once the server has processed the request, which the server signals
// by closing the socket. If the socket stays open, sendCancel closes the connection:
// the cancel could otherwise take effect later and hit another session's statement.
func (t *cancelTarget) sendCancel(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	address := t.owner.cfg.Instance.Address
	socket, err := t.owner.cfg.Dial(ctx, "tcp", address)
	if err != nil {
		return errkind.New(errkind.Unreachable, "%s: %v", address, err)
	}
	defer func() { _ = socket.Close() }()
	_ = socket.SetDeadline(time.Now().Add(connectTimeout))
	data, err := (&pgproto3.CancelRequest{ProcessID: t.key.pid, SecretKey: t.key.secret}).Encode(nil)
	if err != nil {
		return err
	}
	if _, err = socket.Write(data); err == nil {
		_, err = socket.Read(make([]byte, 1))
	}
	if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, syscall.ECONNRESET) {
		_ = t.conn.net.Close()
	}
	return nil
}

// isReadOnlyRefusal reports whether the SQLSTATE means that the server rejected a
// write because it is read-only, before executing any part of it.
func isReadOnlyRefusal(code string) bool { return strings.EqualFold(code, "25006") }
