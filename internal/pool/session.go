package pool

import (
	"context"
	"sync"
	"time"

	"chicoryline/internal/errkind"
	"chicoryline/internal/statechart"
)

// transactionChart is the state chart of every session.
var transactionChart = statechart.MustLoad("transaction")

// session is a caller's request, open transaction or unfinished answer at this VM.
// It is registered in Manager.sessions from the arrival of the request to the end.
// mu is held while a request of the session runs; a cancel takes only targetMu.
type session struct {
	id SessionID
	// firstSeq is the Seq of the request that started the session.
	firstSeq uint64
	// ctx is canceled when the session ends or is aborted.
	ctx    context.Context
	cancel context.CancelFunc

	mu           sync.Mutex
	chart        statechart.Cursor
	owner        *Owner
	conn         *conn
	exchange     *exchange
	args         *ExecuteArgs
	part         int
	releasePlace func() // releases the place in the connection queue
	releaseSlot  func() // releases the execution slot
	lastUse      time.Time

	targetMu sync.Mutex
	target   *cancelTarget
}

// cancelTarget identifies the statement that a session is running.
type cancelTarget struct {
	key   cancelKey
	owner *Owner
	conn  *conn
	write bool
}

// beginSession creates the session of a request outside of an open transaction and
// returns it with its mutex locked.
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

// addSession registers the session, unless this VM may not serve it.
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

// acquireConn waits for a place in the connection queue and for a connection.
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

// rejectionEvent returns the chart event of a request that ends before it was sent.
func (s *session) rejectionEvent() string {
	switch {
	case s.ctx.Err() != nil:
		return "aborted"
	case s.conn != nil && s.conn.broken:
		return "connection_broke"
	}
	return "refused"
}

// rejectionError returns the error of a request that ends before it was sent: err, or
// errkind.Canceled if the session was aborted.
func (s *session) rejectionError(err error) error {
	if err != nil && s.ctx.Err() != nil {
		return errkind.New(errkind.Canceled, "session was aborted")
	}
	return err
}

// fire passes the event to the chart and executes the resulting actions. The caller
// holds s.mu. Events after the session has ended are ignored.
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

// hasEnded reports whether the chart is in a final state.
func (s *session) hasEnded() bool {
	state := s.chart.State()
	return state == "ended" || state == "aborted"
}

// releaseResources releases the connection, the execution slot and the place in the
// connection queue.
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

// abort ends the session and closes its connection, so that the server rolls the
// transaction back. A queued request is not sent.
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

// cancelStatement asks the backend server to cancel the running statement. It holds
// targetMu meanwhile, so that the connection is not released before the server has
// processed the request, which could otherwise cancel the next session's statement.
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
