package dbinstance

import (
	"context"
	"crypto/rand"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/juju/errors"

	"chicoryline/internal/position"
)

// peerPrefix is the prefix of the application_name of another instance's connection:
// "chicoryline-instance/ID/DOMAIN".
const peerPrefix = "chicoryline-instance/"

// secretBytes is the length in bytes of the secret that authorizes cancel requests.
const secretBytes = 4

// errSessionEnded ends a session without a response to the client.
var errSessionEnded = errors.New("session ended")

// session serves one connection. Only its goroutine uses the fields, except cancel.
type session struct {
	srv     *Server
	conn    *faultConn
	backend *pgproto3.Backend
	pid     uint32
	secret  []byte
	// fromPeer is set if the client is another instance.
	fromPeer bool

	tx *Tx
	// explicit is set while a transaction started by BEGIN is open.
	explicit bool
	// failed is set after an error in an explicit transaction, until it ends.
	failed bool
	// committed is the position of the last commit if it has not been reported to the
	// client yet.
	committed position.Position
	settings  map[string]string
	prepared  map[string]*prepared
	portals   map[string]*portal
	// responseDelay is the delay of the current response.
	responseDelay time.Duration
	// rowLimit is the number of rows after which the response is truncated, or
	// noRowLimit.
	rowLimit int
	// skipping is set after an error in the extended query protocol: messages are
	// ignored until Sync.
	skipping bool

	// mu guards cancel, which cancels the running statement.
	mu     sync.Mutex
	cancel context.CancelFunc
}

func newSession(srv *Server, conn *faultConn) *session {
	return &session{
		srv:      srv,
		conn:     conn,
		backend:  pgproto3.NewBackend(conn, conn),
		settings: map[string]string{},
		prepared: map[string]*prepared{},
		portals:  map[string]*portal{},
		rowLimit: noRowLimit,
	}
}

// serve runs the session until the connection ends.
func (s *session) serve() {
	defer s.rollback()
	params, err := s.startup()
	if err != nil {
		return
	}
	defer s.srv.unregister(s)
	if err := s.login(params); err != nil {
		s.srv.log.WithField("code", asSQLError(err).Code).Debug("connection_refused")
		s.sendError(err, "FATAL")
		_ = s.backend.Flush()
		return
	}
	if s.ready() != nil {
		return
	}
	for {
		msg, err := s.receive()
		if err != nil {
			return
		}
		if err := s.handle(msg); err != nil {
			return
		}
	}
}

// receive reads the next message. In an explicit transaction it waits at most for the
// setting idle_in_transaction_session_timeout (milliseconds, 0 means no limit).
func (s *session) receive() (pgproto3.FrontendMessage, error) {
	limit, err := strconv.Atoi(s.settings["idle_in_transaction_session_timeout"])
	if err != nil || limit <= 0 || !s.explicit {
		return s.backend.Receive()
	}
	_ = s.conn.SetReadDeadline(time.Now().Add(time.Duration(limit) * time.Millisecond))
	msg, err := s.backend.Receive()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		s.rollback()
		s.sendError(sqlErrorf(codeIdleTransaction, "terminating connection due to idle-in-transaction timeout"), "FATAL")
		_ = s.backend.Flush()
	}
	_ = s.conn.SetReadDeadline(time.Time{})
	return msg, err
}

// startup rejects encryption requests, handles a cancel request, and returns the
// startup parameters.
func (s *session) startup() (map[string]string, error) {
	for {
		msg, err := s.backend.ReceiveStartupMessage()
		if err != nil {
			return nil, errors.Trace(err)
		}
		switch msg := msg.(type) {
		case *pgproto3.StartupMessage:
			return msg.Parameters, nil
		case *pgproto3.CancelRequest:
			s.srv.cancelSession(msg.ProcessID, msg.SecretKey)
			return nil, errSessionEnded
		default:
			if _, err := s.conn.Write([]byte{'N'}); err != nil {
				return nil, errors.Trace(err)
			}
		}
	}
}

func (s *session) login(params map[string]string) error {
	application := params["application_name"]
	s.fromPeer = strings.HasPrefix(application, peerPrefix)
	s.conn.setParties(partiesOf(application))
	s.conn.waitWhileHeld(CutInbound)
	if err := sleepContext(s.srv.ctx, time.Duration(s.srv.connectDelay.Load())); err != nil {
		return err
	}
	if err := s.authenticate(params["user"]); err != nil {
		return err
	}
	if err := s.srv.register(s); err != nil {
		return err
	}
	s.secret = make([]byte, secretBytes)
	if _, err := rand.Read(s.secret); err != nil {
		return errors.Trace(err)
	}
	s.backend.Send(&pgproto3.AuthenticationOk{})
	for _, p := range [][2]string{
		{"server_version", serverVersion}, {"client_encoding", "UTF8"}, {"DateStyle", "ISO, MDY"},
		{"integer_datetimes", "on"}, {"standard_conforming_strings", "on"}, {"TimeZone", "UTC"},
	} {
		s.backend.Send(&pgproto3.ParameterStatus{Name: p[0], Value: p[1]})
	}
	s.backend.Send(&pgproto3.BackendKeyData{ProcessID: s.pid, SecretKey: s.secret})
	return nil
}

func (s *session) authenticate(user string) error {
	s.backend.Send(&pgproto3.AuthenticationCleartextPassword{})
	if err := s.backend.Flush(); err != nil {
		return errors.Trace(err)
	}
	if err := s.backend.SetAuthType(pgproto3.AuthTypeCleartextPassword); err != nil {
		return errors.Trace(err)
	}
	msg, err := s.backend.Receive()
	if err != nil {
		return errors.Trace(err)
	}
	password, ok := msg.(*pgproto3.PasswordMessage)
	cfg := s.srv.cfg
	if !ok || cfg.User != "" && (user != cfg.User || password.Password != cfg.Password) {
		return sqlErrorf(codeInvalidPassword, "password authentication failed")
	}
	return nil
}

// handle handles one message. An error ends the session.
func (s *session) handle(msg pgproto3.FrontendMessage) error {
	switch msg := msg.(type) {
	case *pgproto3.Terminate:
		return errSessionEnded
	case *pgproto3.Query:
		return s.simpleQuery(msg.String)
	case *pgproto3.Sync:
		return s.handleSync()
	case *pgproto3.Flush:
		return errors.Trace(s.backend.Flush())
	}
	if s.skipping {
		return nil
	}
	if err := s.handleExtended(msg); err != nil {
		if errors.Cause(err) == errSessionEnded {
			return err
		}
		s.skipping = true
		s.fail()
		s.sendError(err, "ERROR")
	}
	return nil
}

// simpleQuery handles a Query message.
func (s *session) simpleQuery(text string) error {
	err := s.runStatements(text)
	if errors.Cause(err) == errSessionEnded {
		return err
	}
	if err != nil {
		s.fail()
		s.sendError(err, "ERROR")
	}
	return s.ready()
}

func (s *session) runStatements(text string) error {
	list, err := parseSQL(text)
	if err != nil {
		return err
	}
	if len(list) == 0 {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	if err := s.rejectWritesOnReplica(list); err != nil {
		return err
	}
	for i, stmt := range list {
		res, err := s.run(stmt, nil, nil)
		if err != nil {
			return err
		}
		if i == len(list)-1 {
			if err := s.commitImplicit(); err != nil {
				return err
			}
		}
		if err := s.sendResult(res); err != nil {
			return err
		}
	}
	return nil
}

// rejectWritesOnReplica returns an error if the instance is a replica and any statement
// of the message is a write, so that no part of the message is executed.
func (s *session) rejectWritesOnReplica(list []Statement) error {
	if s.failed || s.srv.store.isWritable() {
		return nil
	}
	for _, stmt := range list {
		if isWrite(stmt) {
			return sqlErrorf(codeReadOnly, "cannot write on a replica")
		}
	}
	return nil
}

// ready ends the response with ReadyForQuery, preceded by the position of a commit.
func (s *session) ready() error {
	if !s.committed.IsZero() {
		s.backend.Send(&pgproto3.ParameterStatus{Name: "log_position", Value: s.committed.String()})
		s.committed = position.Position{}
	}
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: s.status()})
	if err := s.delayResponse(); err != nil {
		return err
	}
	return errors.Trace(s.backend.Flush())
}

func (s *session) status() byte {
	switch {
	case s.failed:
		return 'E'
	case s.explicit:
		return 'T'
	}
	return 'I'
}

func (s *session) sendError(err error, severity string) {
	e := asSQLError(err)
	s.backend.Send(&pgproto3.ErrorResponse{Severity: severity, SeverityUnlocalized: severity, Code: e.Code, Message: e.Message})
}

// cancelStatement cancels the running statement, if any.
func (s *session) cancelStatement() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancel != nil {
		s.cancel()
	}
}

// statementContext returns a context for one statement, which cancelStatement cancels,
// and a function that releases it.
func (s *session) statementContext() (context.Context, func()) {
	ctx, cancel := context.WithCancel(s.srv.ctx)
	s.mu.Lock()
	s.cancel = cancel
	s.mu.Unlock()
	return ctx, func() {
		s.mu.Lock()
		s.cancel = nil
		s.mu.Unlock()
		cancel()
	}
}
