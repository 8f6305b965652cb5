package pool

import (
	"context"
	"sync"
	"time"

	"chicoryline/internal/errkind"
	"chicoryline/internal/statechart"
)

// transactionChart is the chart that every session follows.
var transactionChart = statechart.MustLoad("transaction")

// session is a caller's request, open transaction or unfinished answer at this
// VM. It is listed from the request's arrival to its end. Its mutex is held
// while one of its requests runs; a cancel uses target under keyMu only.
type session struct {
	id SessionID
	// firstSeq is the Seq of the request that began the session.
	firstSeq uint64
	// ctx ends when the session is aborted or over.
	ctx    context.Context
	cancel context.CancelFunc

	mu           sync.Mutex
	chart        statechart.Cursor
	owner        *Owner
	conn         *conn
	exchange     *exchange
	args         *ExecuteArgs
	part         int
	releasePlace func() // place in the connection queue
	releaseSlot  func() // execution slot
	lastUse      time.Time

	targetMu sync.Mutex
	target   *cancelTarget
}

// cancelTarget is the statement that a session runs at present.
type cancelTarget struct {
	key   cancelKey
	owner *Owner
	conn  *conn
	write bool
}

// beginSession makes the session of a request that is not part of an open transaction
// and returns it locked.
func (m *Manager) beginSession(ctx context.Context, args *ExecuteArgs) (*session, error) {
	s := &session{id: args.Session, firstSeq: args.Seq, lastUse: time.Now(), chart: transactionChart.Cursor()}
	s.ctx, s.cancel = context.WithCancel(ctx)
	s.mu.Lock()
	if err := m.addSession(s, args.Instance); err != nil {
		s.cancel()
		s.mu.Unlock()
		return nil, err
	}
	if err := m.acquireConn(s, args); err != nil {
		m.fire(s, s.rejectionEvent())
		s.mu.Unlock()
		return nil, err
	}
	m.fire(s, "granted")
	return s, nil
}

// addSession enters the session in the list unless this VM may not serve it.
func (m *Manager) addSession(s *session, instance string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	owner, ok := m.owners[instance]
	_, open := m.sessions[s.id]
	switch {
	case m.draining:
		return errkind.New(errkind.ShuttingDown, "pool owner")
	case !ok:
		return errkind.New(errkind.NotEligible, "not an owner of %s", instance)
	case open:
		return errkind.New(errkind.ProtocolViolation, "session has an open transaction here")
	}
	s.owner = owner
	m.sessions[s.id] = s
	if m.trace != nil {
		m.trace(s.id, s.chart.State())
	}
	return nil
}

// acquireConn waits for a place and a connection.
func (m *Manager) acquireConn(s *session, args *ExecuteArgs) error {
	if err := s.owner.admit(args); err != nil {
		return err
	}
	release, err := s.owner.connGate.Acquire(s.ctx, args.Customer, queueWeight(args.Weight), queueDeadline(args))
	if err != nil {
		return s.rejectionError(err)
	}
	s.releasePlace = release
	s.conn, err = s.owner.acquireConn(s.ctx)
	return s.rejectionError(err)
}

// rejectionEvent is the event of a request that ends before it was sent.
func (s *session) rejectionEvent() string {
	switch {
	case s.ctx.Err() != nil:
		return "aborted"
	case s.conn != nil && s.conn.broken:
		return "connection_broke"
	}
	return "refused"
}

// rejectionError gives the error of a request that ends before it was sent.
func (s *session) rejectionError(err error) error {
	if err != nil && s.ctx.Err() != nil {
		return errkind.New(errkind.Canceled, "session was aborted")
	}
	return err
}

// fire takes the event and carries out the chart's actions. The caller holds
// s.mu. An event after the end has no effect.
func (m *Manager) fire(s *session, event string) {
	if s.hasEnded() {
		return
	}
	actions, err := s.chart.Fire(event)
	if err != nil {
		m.log.WithError(err).WithField("event", "chart_refused").Error("pool")
		return
	}
	if m.trace != nil {
		m.trace(s.id, s.chart.State())
	}
	for _, action := range actions {
		if action == "close_connection" && s.conn != nil {
			s.conn.close()
		}
		s.releaseResources()
	}
	if s.hasEnded() {
		m.removeSession(s)
	}
}

// hasEnded reports whether the chart has ended.
func (s *session) hasEnded() bool {
	state := s.chart.State()
	return state == "ended" || state == "aborted"
}

// releaseResources returns the connection and the places in the queues.
func (s *session) releaseResources() {
	s.freeSlot()
	s.setTarget(nil)
	if s.conn != nil {
		s.owner.releaseConn(s.conn)
	}
	if s.releasePlace != nil {
		s.releasePlace()
		s.releasePlace = nil
	}
}

func (m *Manager) removeSession(s *session) {
	s.cancel()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.sessions[s.id] == s {
		delete(m.sessions, s.id)
	}
}

// abort ends the session; the end of its connection rolls its transaction back.
// A request that still waits is not sent any more.
func (m *Manager) abort(s *session, reason string) {
	s.cancel()
	_ = s.cancelStatement()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hasEnded() {
		return
	}
	m.fire(s, "aborted")
	m.observer.PoolEvent("session_aborted", s.id, s.owner.cfg.Group.Name, s.owner.cfg.Instance.ID, reason)
}

func (s *session) freeSlot() {
	if s.releaseSlot != nil {
		s.releaseSlot()
		s.releaseSlot = nil
	}
}

// cancelStatement asks the backend server to end the statement that runs. It
// holds keyMu meanwhile, so that the connection is not given back before the
// request was dealt with: it would strike the next session's statement.
func (s *session) cancelStatement() error {
	s.targetMu.Lock()
	defer s.targetMu.Unlock()
	if s.target == nil {
		return nil
	}
	return s.target.sendCancel(context.Background())
}

func (s *session) setTarget(t *cancelTarget) {
	s.targetMu.Lock()
	s.target = t
	s.targetMu.Unlock()
}
