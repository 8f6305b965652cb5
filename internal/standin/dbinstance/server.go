package dbinstance

import (
	"context"
	"net"
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
	// Store continues with the state of an earlier server; the Initial fields
	// are then not used. It models an instance that restarts with its disk.
	Store *Store
	// Connections limits the open connections; zero means no limit. Connections
	// of other instances do not count.
	Connections int
	// Slots limits the statements that run at once; zero means no limit.
	Slots int
	// ConnectDelay is the delay of a new connection.
	ConnectDelay time.Duration
	// StatementDelay is the service time of a statement on tables.
	StatementDelay time.Duration
	// ReplicationLag is the time after which a replica applies an entry.
	ReplicationLag time.Duration
	// User and Password are the credentials that the instance accepts, and that
	// it uses towards its peers. An empty User accepts every user.
	User     string
	Password string
	// Log takes the events; nil discards them.
	Log *logrus.Entry
}

// Server is a running instance.
type Server struct {
	cfg      Config
	log      *logrus.Entry
	store    *Store
	listener net.Listener
	slots    chan struct{}

	reads          readCounts
	statementDelay atomic.Int64
	replicationLag atomic.Int64

	ctx  context.Context
	stop context.CancelFunc
	wait sync.WaitGroup

	// mu guards the fields below.
	mu       sync.Mutex
	conns    map[net.Conn]struct{}
	sessions map[uint32]*session
	nextPID  uint32
	counted  int
	closed   bool
}

// Start opens the listener and serves until Close.
func Start(cfg Config) (*Server, error) {
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, errors.Annotatef(err, "instance %s", cfg.ID)
	}
	s := newServer(cfg, listener)
	s.wait.Add(2)
	go func() {
		defer s.wait.Done()
		s.accept()
	}()
	go func() {
		defer s.wait.Done()
		s.replicate(s.ctx)
	}()
	s.log.WithField("address", s.Addr()).Info("event=instance_started")
	return s, nil
}

func newServer(cfg Config, listener net.Listener) *Server {
	s := &Server{
		cfg:      cfg,
		log:      cfg.Log,
		store:    cfg.Store,
		listener: listener,
		conns:    map[net.Conn]struct{}{},
		sessions: map[uint32]*session{},
	}
	if s.log == nil {
		quiet := logrus.New()
		quiet.SetLevel(logrus.PanicLevel)
		s.log = logrus.NewEntry(quiet)
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
	s.statementDelay.Store(int64(cfg.StatementDelay))
	s.replicationLag.Store(int64(cfg.ReplicationLag))
	s.ctx, s.stop = context.WithCancel(context.Background())
	return s
}

// Addr returns the address of the listener.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Store returns the state of the instance.
func (s *Server) Store() *Store { return s.store }

// Close ends all connections and waits until nothing runs any more. The store
// keeps what was committed.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	conns := s.conns
	s.conns = map[net.Conn]struct{}{}
	s.mu.Unlock()
	s.stop()
	_ = s.listener.Close()
	for c := range conns {
		_ = c.Close()
	}
	s.wait.Wait()
	s.log.Info("event=instance_stopped")
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		if !s.track(conn) {
			_ = conn.Close()
			return
		}
		go func() {
			defer s.wait.Done()
			defer s.untrack(conn)
			newSession(s, conn).serve()
		}()
	}
}

// track notes an open connection, and its goroutine, until untrack.
func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[conn] = struct{}{}
	s.wait.Add(1)
	return true
}

func (s *Server) untrack(conn net.Conn) {
	_ = conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// admit gives the session its process id, or refuses it at the limit.
func (s *Server) admit(ss *session) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !ss.peer {
		if s.cfg.Connections > 0 && s.counted >= s.cfg.Connections {
			return sqlErrorf(codeConnections, "sorry, too many clients already")
		}
		s.counted++
	}
	s.nextPID++
	ss.pid = s.nextPID
	s.sessions[ss.pid] = ss
	return nil
}

func (s *Server) dismiss(ss *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.sessions[ss.pid]; !ok {
		return
	}
	delete(s.sessions, ss.pid)
	if !ss.peer {
		s.counted--
	}
}

// cancel ends the statement of the session that the request names.
func (s *Server) cancel(pid uint32, secret []byte) {
	s.mu.Lock()
	ss := s.sessions[pid]
	s.mu.Unlock()
	if ss != nil && string(ss.secret) == string(secret) {
		ss.cancelStatement()
	}
}

// occupy holds an execution slot for the time that a statement takes.
func (s *Server) occupy(ctx context.Context, d time.Duration) error {
	if s.slots != nil {
		select {
		case s.slots <- struct{}{}:
			defer func() { <-s.slots }()
		case <-ctx.Done():
			return canceled(ctx)
		}
	}
	return pause(ctx, d)
}

// pause sleeps, unless the context ends first.
func pause(ctx context.Context, d time.Duration) error {
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
