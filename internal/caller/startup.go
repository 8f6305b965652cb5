package caller

import (
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"chicoryline/internal/catalog"
	"chicoryline/internal/errkind"
	"chicoryline/internal/pool"
	"chicoryline/internal/router"
	"chicoryline/internal/statechart"
)

// sessionParameter is the name of the startup option, the setting and the reported parameter
// that carry the session token.
const sessionParameter = "chicoryline.session"

// maxStartupBytes limits each message of startup and login, in bytes.
const maxStartupBytes = 10000

// conn is one caller's connection. The goroutine of readLoop owns prepared and the batch being
// built; the goroutine of run owns all other fields except those that mu guards.
type conn struct {
	server  *Server
	net     net.Conn
	backend *pgproto3.Backend
	number  uint16
	secret  uint32

	customer string
	key      string
	keyRef   catalog.KeyRef
	route    string

	session  session
	prepared map[string]pool.Statement
	batches  chan *batch
	revoked  chan error
	stopped  chan error
	ended    chan struct{}

	chart statechart.Cursor
	id    pool.SessionID
	seq   uint64
	// readOnlyTx is true if the open transaction is READ ONLY.
	readOnlyTx bool

	// mu guards txPin, the target of the open transaction, and runningPin, the target of the
	// latest request.
	mu         sync.Mutex
	txPin      *router.Pin
	runningPin *router.Pin
	endOnce    sync.Once
}

func newConn(s *Server, socket net.Conn) *conn {
	return &conn{
		server: s, net: socket, backend: pgproto3.NewBackend(socket, socket),
		prepared: map[string]pool.Statement{}, batches: make(chan *batch, 1),
		revoked: make(chan error, 1), stopped: make(chan error, 1), ended: make(chan struct{}),
		chart: sessionChart.Cursor(),
	}
}

// notify sends err on the channel unless an earlier notification is still pending.
func (c *conn) notify(to chan error, err error) {
	select {
	case to <- err:
	default:
	}
}

// startup performs the startup phase and the login. It returns false if the connection has
// ended.
func (c *conn) startup() bool {
	_ = c.net.SetDeadline(time.Now().Add(startupTimeout))
	c.backend.SetMaxBodyLen(maxStartupBytes)
	message, ok := c.receiveStartupMessage()
	if !ok {
		return false
	}
	if err := c.login(message.Parameters); err != nil {
		c.server.cfg.Observer.CallerEvent("login_refused", c.customer, c.route, errkind.KindOf(err).String())
		c.fire("refused", err)
		return false
	}
	c.fire("logged_in", nil)
	c.backend.SetMaxBodyLen(c.server.cfg.MaxMessageBytes)
	_ = c.net.SetDeadline(time.Time{})
	return true
}

// receiveStartupMessage answers encryption requests until the startup message arrives. A
// cancel request is forwarded instead and ends the connection.
func (c *conn) receiveStartupMessage() (*pgproto3.StartupMessage, bool) {
	for {
		message, err := c.backend.ReceiveStartupMessage()
		if err != nil {
			c.sendFatal(errkind.New(errkind.ProtocolViolation, "startup message"))
			return nil, false
		}
		switch m := message.(type) {
		case *pgproto3.StartupMessage:
			return m, true
		case *pgproto3.SSLRequest:
			if !c.answerTLS() {
				return nil, false
			}
		case *pgproto3.GSSEncRequest:
			if _, err := c.net.Write([]byte{'N'}); err != nil {
				return nil, false
			}
		case *pgproto3.CancelRequest:
			c.forwardCancel(m)
			return nil, false
		}
	}
}

func (c *conn) answerTLS() bool {
	config := c.server.cfg.TLS
	if config == nil {
		_, err := c.net.Write([]byte{'N'})
		return err == nil
	}
	if _, err := c.net.Write([]byte{'S'}); err != nil {
		return false
	}
	secure := tls.Server(c.net, config)
	if err := secure.Handshake(); err != nil {
		return false
	}
	c.net = secure
	c.backend = pgproto3.NewBackend(secure, secure)
	c.backend.SetMaxBodyLen(maxStartupBytes)
	return true
}

func (c *conn) forwardCancel(m *pgproto3.CancelRequest) {
	if len(m.SecretKey) != cancelSecretBytes {
		return
	}
	tag, number := uint16(m.ProcessID>>16), uint16(m.ProcessID)
	secret := binary.BigEndian.Uint32(m.SecretKey)
	if tag == VMTag(c.server.cfg.VM) {
		c.server.Cancel(number, secret)
		return
	}
	if c.server.cfg.CancelForwarder != nil {
		c.server.cfg.CancelForwarder.ForwardCancel(tag, number, secret)
	}
}

const cancelSecretBytes = 4

// login checks the key and the route and applies the session token.
func (c *conn) login(parameters map[string]string) error {
	c.customer = parameters["user"]
	c.route = parameters["database"]
	if c.route == "" {
		c.route = c.customer
	}
	if parameters["replication"] != "" && parameters["replication"] != "false" {
		return errkind.New(errkind.Unsupported, "replication connection")
	}
	access := c.server.cfg.Access()
	customer, _, err := access.Authorize(c.customer, "", c.route)
	if errkind.Is(err, errkind.Unauthorized) {
		if c.key, err = c.requestKey(); err != nil {
			return err
		}
		customer, _, err = access.Authorize(c.customer, c.key, c.route)
	}
	if err != nil {
		return err
	}
	c.keyRef, _ = access.MatchKey(c.customer, c.key)
	c.customer = customer.Name
	c.session = newSession()
	return c.applyToken(startupToken(parameters))
}

// applyToken merges the token into the session; nil means that the caller sent none.
func (c *conn) applyToken(token *string) error {
	if token == nil {
		return nil
	}
	return c.session.mergeToken(c.server.cfg.Access().Sealer(), c.customer, *token)
}

// startupToken returns the session token in the startup parameters, or nil.
func startupToken(parameters map[string]string) *string {
	if token, ok := parameters[sessionParameter]; ok {
		return &token
	}
	for _, option := range strings.Fields(parameters["options"]) {
		option = strings.TrimPrefix(strings.TrimPrefix(option, "-c"), "--")
		if token, ok := strings.CutPrefix(option, sessionParameter+"="); ok {
			return &token
		}
	}
	return nil
}

func (c *conn) requestKey() (string, error) {
	c.backend.Send(&pgproto3.AuthenticationCleartextPassword{})
	if err := c.backend.Flush(); err != nil {
		return "", errkind.New(errkind.ProtocolViolation, "login")
	}
	if err := c.backend.SetAuthType(pgproto3.AuthTypeCleartextPassword); err != nil {
		return "", errkind.New(errkind.ProtocolViolation, "login")
	}
	message, err := c.backend.Receive()
	if err != nil {
		return "", errkind.New(errkind.ProtocolViolation, "login")
	}
	password, ok := message.(*pgproto3.PasswordMessage)
	if !ok {
		return "", errkind.New(errkind.ProtocolViolation, "login")
	}
	return password.Password, nil
}

// reportedParameters are the parameters that drivers expect to receive at login.
var reportedParameters = [][2]string{
	{"server_version", "15.0"}, {"server_encoding", "UTF8"}, {"client_encoding", "UTF8"},
	{"standard_conforming_strings", "on"}, {"integer_datetimes", "on"},
	{"DateStyle", "ISO, MDY"}, {"IntervalStyle", "postgres"}, {"TimeZone", "UTC"},
}

// completeLogin sends the authentication result, the parameters, the cancel key and the first
// ReadyForQuery.
func (c *conn) completeLogin() {
	var secret [cancelSecretBytes]byte
	_, _ = rand.Read(secret[:])
	c.secret = binary.BigEndian.Uint32(secret[:])
	c.id = pool.SessionID{VM: c.server.cfg.VM, Incarnation: c.server.cfg.Incarnation, Number: c.server.lastNumber.Add(1)}
	c.backend.Send(&pgproto3.AuthenticationOk{})
	for _, p := range reportedParameters {
		c.backend.Send(&pgproto3.ParameterStatus{Name: p[0], Value: p[1]})
	}
	pid := uint32(VMTag(c.server.cfg.VM))<<16 | uint32(c.number)
	c.backend.Send(&pgproto3.BackendKeyData{ProcessID: pid, SecretKey: secret[:]})
	c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	_ = c.backend.Flush()
	c.server.cfg.Observer.CallerEvent("login", c.customer, c.route, "")
}

// isRevoked reports whether the error means that the caller's access has been withdrawn. A
// configuration that is too old to be used does not revoke access; the request fails and can
// be retried.
func isRevoked(err error) bool {
	switch errkind.KindOf(err) {
	case errkind.Unauthorized, errkind.UnknownRoute, errkind.RouteForbidden:
		return err != nil
	}
	return false
}

// authorize checks the key and the route again, before each request.
func (c *conn) authorize() (catalog.Customer, catalog.Route, error) {
	return c.server.cfg.Access().AuthorizeKey(c.customer, c.keyRef, c.route)
}
