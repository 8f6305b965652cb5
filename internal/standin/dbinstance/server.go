package dbinstance

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
)

// Config describes an instance.
type Config struct {
	// ID names the instance in its group.
	ID string
	// Group is the name of the database group.
	Group string
	// Domain is the instance's failure domain.
	Domain string
	// Listen is the address of the listener, such as "127.0.0.1:0".
	Listen string
	// Peers returns the address of another instance, or "" if it has none.
	Peers func(id string) string
	// InitialPrimary makes the instance the primary of InitialTerm.
	InitialPrimary bool
	// InitialTerm is the fence at the start; zero means 1.
	InitialTerm uint64
	// InitialSource is the primary that a replica follows from the start.
	InitialSource string
	// Store is the state of an earlier server. It simulates the restart of an instance
	// with its disk intact. If it is set, the Initial fields are ignored.
	Store *Store
	// Connections limits the number of open connections; zero means no limit.
	// Connections from other instances do not count.
	Connections int
	// Slots limits the number of concurrent statements on tables; zero means no limit.
	Slots int
	// ConnectDelay is the delay of the login of a new connection.
	ConnectDelay time.Duration
	// StatementDelay is the execution time of a statement on tables.
	StatementDelay time.Duration
	// ReplicationLag is the delay between receiving and applying a log entry.
	ReplicationLag time.Duration
	// User and Password are the credentials that the instance accepts, and that it uses
	// to connect to other instances. An empty User accepts any credentials.
	User     string
	Password string
	// AdminListen is the address of the HTTP listener for fault injection; empty means
	// none.
	AdminListen string
	// PeerDomain returns the failure domain of another instance, so that a cut of the
	// domain also holds back replication from it; nil means unknown.
	PeerDomain func(id string) string
	// Log receives the log events; nil discards them.
	Log *logrus.Entry
}

// Server is a running instance.
type Server struct {
	cfg      Config
	log      *logrus.Entry
	store    *Store
	listener net.Listener
	slots    chan struct{}
	faults   *activeFaults

	// adminServer is the HTTP server for fault injection, or nil.
	adminServer *http.Server
	adminAddr   string

	reads readCounts
	// The delays are stored as time.Duration values.
	connectDelay   atomic.Int64
	statementDelay atomic.Int64
	replicationLag atomic.Int64

	ctx  context.Context
	stop context.CancelFunc
	wg   sync.WaitGroup

	// mu guards the fields below.
	mu             sync.Mutex
	conns          map[*faultConn]struct{}
	sessions       map[uint32]*session
	nextPID        uint32
	clientSessions int
	closed         bool
}

// Start opens the listeners and serves until Close or Kill.
func Start(cfg Config) (*Server, error) {
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, errors.Annotatef(err, "open listener of instance %s", cfg.ID)
	}
	s := newServer(cfg, listener)
	if cfg.AdminListen != "" {
		if err := s.startAdmin(cfg.AdminListen); err != nil {
			_ = listener.Close()
			return nil, err
		}
	}
	s.wg.Add(2)
	go func() {
		defer s.wg.Done()
		s.accept()
	}()
	go func() {
		defer s.wg.Done()
		s.replicate(s.ctx)
	}()
	s.log.WithField("address", s.Addr()).Info("instance_started")
	return s, nil
}

func newServer(cfg Config, listener net.Listener) *Server {
	s := &Server{
		cfg:      cfg,
		log:      cfg.Log,
		store:    cfg.Store,
		listener: listener,
		faults:   newActiveFaults(),
		conns:    map[*faultConn]struct{}{},
		sessions: map[uint32]*session{},
	}
	if s.log == nil {
		discard := logrus.New()
		discard.SetLevel(logrus.PanicLevel)
		s.log = logrus.NewEntry(discard)
	}
	s.log = s.log.WithFields(logrus.Fields{"instance": cfg.ID, "group": cfg.Group, "domain": cfg.Domain})
	if s.store == nil {
		s.store = NewStore(StoreConfig{
			ID:             cfg.ID,
			InitialTerm:    cfg.InitialTerm,
			InitialPrimary: cfg.InitialPrimary,
			InitialSource:  cfg.InitialSource,
		})
	}
	if cfg.Slots > 0 {
		s.slots = make(chan struct{}, cfg.Slots)
	}
	s.connectDelay.Store(int64(cfg.ConnectDelay))
	s.statementDelay.Store(int64(cfg.StatementDelay))
	s.replicationLag.Store(int64(cfg.ReplicationLag))
	s.ctx, s.stop = context.WithCancel(context.Background())
	return s
}

// Addr returns the address of the listener.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Store returns the state of the instance.
func (s *Server) Store() *Store { return s.store }

// Done returns a channel that is closed when the server has been closed or killed.
func (s *Server) Done() <-chan struct{} { return s.ctx.Done() }

// Close closes all connections and waits for all goroutines to end. The store keeps
// the committed data.
func (s *Server) Close() {
	conns := s.stopAccepting()
	s.stopServing()
	for c := range conns {
		_ = c.Close()
	}
	s.wg.Wait()
	s.log.Info("instance_stopped")
}

// Kill simulates a crash: it resets all connections before running statements can
// report that they were canceled. Close may be called afterwards.
func (s *Server) Kill() {
	for c := range s.stopAccepting() {
		c.reset()
	}
	s.stopServing()
	s.log.Info("instance_killed")
}

// stopAccepting makes the server reject new connections and returns the open ones.
func (s *Server) stopAccepting() map[*faultConn]struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	conns := s.conns
	s.conns = map[*faultConn]struct{}{}
	return conns
}

// stopServing cancels running statements and replication and closes the listeners.
func (s *Server) stopServing() {
	s.stop()
	_ = s.listener.Close()
	if s.adminServer != nil {
		_ = s.adminServer.Close()
	}
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		c := newFaultConn(conn, s.faults, nil)
		if !s.trackConn(c) {
			_ = c.Close()
			return
		}
		go func() {
			defer s.wg.Done()
			defer s.untrackConn(c)
			newSession(s, c).serve()
		}()
	}
}

// trackConn registers an open connection and its goroutine. It reports false if the
// server is closed.
func (s *Server) trackConn(c *faultConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[c] = struct{}{}
	s.wg.Add(1)
	return true
}

func (s *Server) untrackConn(c *faultConn) {
	c.drainAndClose()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// register assigns a process id to the session, or rejects it if the connection limit
// is reached.
func (s *Server) register(ss *session) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !ss.fromPeer {
		if s.cfg.Connections > 0 && s.clientSessions >= s.cfg.Connections {
			return sqlErrorf(codeTooManyConnections, "sorry, too many clients already")
		}
		s.clientSessions++
	}
	s.nextPID++
	ss.pid = s.nextPID
	s.sessions[ss.pid] = ss
	return nil
}

func (s *Server) unregister(ss *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.sessions[ss.pid]; !ok {
		return
	}
	delete(s.sessions, ss.pid)
	if !ss.fromPeer {
		s.clientSessions--
	}
}

// cancelSession cancels the running statement of the session that a cancel request
// identifies, and reports whether it reached the session. A cancel request does not
// identify its sender, so cuts apply to it as to the session's own connection.
func (s *Server) cancelSession(pid uint32, secret []byte) bool {
	s.mu.Lock()
	ss := s.sessions[pid]
	s.mu.Unlock()
	if ss == nil || string(ss.secret) != string(secret) {
		return false
	}
	if held, _ := s.faults.isHeld(CutInbound, *ss.conn.parties.Load()); held {
		return false
	}
	ss.cancelStatement()
	return true
}

// holdSlot waits for an execution slot and holds it for the execution time of a
// statement.
func (s *Server) holdSlot(ctx context.Context, d time.Duration) error {
	if s.slots != nil {
		select {
		case s.slots <- struct{}{}:
			defer func() { <-s.slots }()
		case <-ctx.Done():
			return canceled(ctx)
		}
	}
	return sleepContext(ctx, d)
}

// sleepContext sleeps for the duration. It returns an error if the context ends first.
func sleepContext(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return canceled(ctx)
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return canceled(ctx)
	}
}
