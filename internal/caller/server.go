// Package caller serves the connections of callers: it speaks the PostgreSQL protocol, checks
// the key and the route, keeps the log positions of the session, applies rate limits, and
// passes complete requests to the router.
//
// The files follow the order in which a connection is processed: server, startup, reader,
// batch, execute, answer.
package caller

import (
	"context"
	"crypto/tls"
	"hash/fnv"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"chicoryline/internal/catalog"
	"chicoryline/internal/pool"
	"chicoryline/internal/position"
	"chicoryline/internal/router"
)

const (
	// DefaultMaxMessageBytes limits one message of a caller, in bytes.
	DefaultMaxMessageBytes = 1 << 20
	// revokeInterval is the interval at which the keys of open connections are checked.
	revokeInterval = time.Second
	// startupTimeout limits startup and login.
	startupTimeout = 10 * time.Second
)

// Access gives access to the current configuration.
type Access interface {
	// Authorize returns the customer and the route if the key permits it. An open route
	// returns the zero Customer.
	Authorize(customer, key, route string) (catalog.Customer, catalog.Route, error)
	// MatchKey returns the reference of the customer's key if it is valid.
	MatchKey(customer, key string) (catalog.KeyRef, bool)
	// AuthorizeKey is like Authorize for a key that was matched before; it does not hash the
	// key again.
	AuthorizeKey(customer string, ref catalog.KeyRef, route string) (catalog.Customer, catalog.Route, error)
	// Sealer returns the sealer for session tokens.
	Sealer() *position.Sealer
}

// Limiter admits statements within a rate and burst limit that holds across all VMs.
type Limiter interface {
	AdmitWait(ctx context.Context, resource string, n float64) error
}

// Router executes requests; it is implemented by router.Router.
type Router interface {
	Execute(ctx context.Context, r *router.Request) (*router.Result, error)
	Continue(ctx context.Context, pin router.Pin, r *router.Request) (*router.Result, error)
	Fetch(ctx context.Context, pin router.Pin, args pool.FetchArgs) (*pool.ExecuteReply, error)
	Abort(pin router.Pin, session pool.SessionID)
	Cancel(ctx context.Context, pin router.Pin, session pool.SessionID) error
}

// Observer receives the results and events of callers, for the timeline and the metrics.
type Observer interface {
	// Request reports one finished request; err is nil when it succeeded.
	Request(customer, group string, read, replica bool, took time.Duration, err error)
	// CallerEvent reports an event of a caller's connection.
	CallerEvent(kind, customer, route, detail string)
}

// CancelForwarder forwards a cancel request to the VM with the tag (see VMTag).
type CancelForwarder interface {
	ForwardCancel(tag uint16, number uint16, secret uint32)
}

// Config configures the server of one VM.
type Config struct {
	VM              string
	Incarnation     int64
	Access          func() Access
	Limiter         Limiter
	Router          Router
	Observer        Observer
	CancelForwarder CancelForwarder
	TLS             *tls.Config
	MaxMessageBytes int
	QueueTimeout    time.Duration
	Log             *logrus.Entry
}

// Server accepts the connections of callers. mu guards conns and stopping.
type Server struct {
	cfg        Config
	listener   net.Listener
	lastNumber atomic.Uint64
	done       chan struct{}
	// onState, if set before Serve, is called with each state that a connection enters.
	onState func(state string)

	mu       sync.Mutex
	conns    map[uint16]*conn
	stopping bool
}

// NewServer returns a server on the listener.
func NewServer(listener net.Listener, cfg Config) *Server {
	if cfg.MaxMessageBytes == 0 {
		cfg.MaxMessageBytes = DefaultMaxMessageBytes
	}
	return &Server{cfg: cfg, listener: listener, done: make(chan struct{}), conns: map[uint16]*conn{}}
}

// Serve accepts connections until Drain or Close.
func (s *Server) Serve() {
	go s.revokeLoop()
	for {
		socket, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serveConn(socket)
	}
}

func (s *Server) serveConn(socket net.Conn) {
	c := newConn(s, socket)
	defer c.close()
	if !c.startup() {
		return
	}
	if !s.addConn(c) {
		c.rejectConnection()
		return
	}
	defer s.removeConn(c)
	c.completeLogin()
	c.run()
}

// addConn assigns a free number to the connection. Numbers have 16 bits because they are part
// of the cancel key. It returns false during a planned stop or if maxConns is reached.
func (s *Server) addConn(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping || len(s.conns) >= maxConns {
		return false
	}
	for {
		number := uint16(s.lastNumber.Add(1))
		if _, taken := s.conns[number]; !taken {
			c.number = number
			s.conns[number] = c
			return true
		}
	}
}

// maxConns is the maximum number of caller connections of one process.
const maxConns = 60000

func (s *Server) removeConn(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c.number)
}

// Count returns the number of logged-in connections.
func (s *Server) Count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// revokeLoop ends idle connections whose key or route is no longer permitted. Connections with
// a request in flight are checked at their next statement.
func (s *Server) revokeLoop() {
	ticker := time.NewTicker(revokeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.done:
			return
		case <-ticker.C:
			s.revokeWithdrawn()
		}
	}
}

func (s *Server) revokeWithdrawn() {
	access := s.cfg.Access()
	for _, c := range s.listConns() {
		if _, _, err := access.AuthorizeKey(c.customer, c.keyRef, c.route); isRevoked(err) {
			c.notify(c.revoked, err)
		}
	}
}

func (s *Server) listConns() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*conn, 0, len(s.conns))
	for _, c := range s.conns {
		list = append(list, c)
	}
	return list
}

// Drain stops accepting connections and asks every connection to end after its current
// transaction.
func (s *Server) Drain() {
	s.mu.Lock()
	s.stopping = true
	s.mu.Unlock()
	_ = s.listener.Close()
	for _, c := range s.listConns() {
		c.notify(c.stopped, nil)
	}
}

// Close closes all connections immediately.
func (s *Server) Close() {
	s.Drain()
	close(s.done)
	for _, c := range s.listConns() {
		_ = c.net.Close()
	}
}

// Cancel executes a cancel request for a connection of this VM.
func (s *Server) Cancel(number uint16, secret uint32) {
	s.mu.Lock()
	c := s.conns[number]
	s.mu.Unlock()
	if c != nil && c.secret == secret {
		c.cancelRunning()
	}
}

// VMTag hashes a VM's id to the 16 bits that the cancel key has for it.
func VMTag(vm string) uint16 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(vm))
	sum := h.Sum32()
	return uint16(sum>>16) ^ uint16(sum)
}
