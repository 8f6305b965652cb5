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
	// first is the Seq of the request that began the session.
	first uint64
	// ctx ends when the session is aborted or over.
	ctx    context.Context
	cancel context.CancelFunc

	mu       sync.Mutex
	chart    statechart.Cursor
	owner    *Owner
	conn     *conn
	exchange *exchange
	args     *ExecuteArgs
	part     int
	release  func() // place in the connection queue
	slot     func() // execution slot
	lastUse  time.Time

	keyMu  sync.Mutex
	target *cancelTarget
}

// cancelTarget is the statement that a session runs at present.
type cancelTarget struct {
	key   cancelKey
	owner *Owner
	conn  *conn
	write bool
}

// begin makes the session of a request that is not part of an open transaction
// and returns it locked.
func (m *Manager) begin(ctx context.Context, args *ExecuteArgs) (*session, error) {
	s := &session{id: args.Session, first: args.Seq, lastUse: time.Now(), chart: transactionChart.Cursor()}
	s.ctx, s.cancel = context.WithCancel(ctx)
	s.mu.Lock()
	if err := m.enlist(s, args.Instance); err != nil {
		s.cancel()
		s.mu.Unlock()
		return nil, err
	}
	if err := m.connect(s, args); err != nil {
		m.fire(s, s.refusal())
		s.mu.Unlock()
		return nil, err
	}
	m.fire(s, "granted")
	return s, nil
}

// enlist enters the session in the list unless this VM may not serve it.
func (m *Manager) enlist(s *session, instance string) error {
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

// connect waits for a place and a connection.
func (m *Manager) connect(s *session, args *ExecuteArgs) error {
	if err := s.owner.admit(args); err != nil {
		return err
	}
	release, err := s.owner.conns.Acquire(s.ctx, args.Customer, queueWeight(args.Weight), queueDeadline(args))
	if err != nil {
		return s.refused(err)
	}
	s.release = release
	s.conn, err = s.owner.take(s.ctx)
	return s.refused(err)
}

// refusal is the event of a request that ends before it was sent.
func (s *session) refusal() string {
	switch {
	case s.ctx.Err() != nil:
		return "aborted"
	case s.conn != nil && s.conn.broken:
		return "connection_broke"
	}
	return "refused"
}

// refused gives the error of a request that ends before it was sent.
func (s *session) refused(err error) error {
	if err != nil && s.ctx.Err() != nil {
		return errkind.New(errkind.Canceled, "session was aborted")
	}
	return err
}

// fire takes the event and carries out the chart's actions. The caller holds
// s.mu. An event after the end has no effect.
func (m *Manager) fire(s *session, event string) {
	if s.over() {
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
		s.giveBack()
	}
	if s.over() {
		m.forget(s)
	}
}

// over reports whether the chart has ended.
func (s *session) over() bool {
	state := s.chart.State()
	return state == "ended" || state == "aborted"
}

// giveBack returns the connection and the places in the queues.
func (s *session) giveBack() {
	s.freeSlot()
	s.setTarget(nil)
	if s.conn != nil {
		s.owner.put(s.conn)
	}
	if s.release != nil {
		s.release()
		s.release = nil
	}
}

func (m *Manager) forget(s *session) {
	s.cancel()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.sessions[s.id] == s {
		delete(m.sessions, s.id)
	}
}

// abort ends the session; the end of its connection rolls its transaction back.
// A request that still waits is not sent any more.
func (m *Manager) abort(s *session, why string) {
	s.cancel()
	_ = s.cancelStatement()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.over() {
		return
	}
	m.fire(s, "aborted")
	m.observer.PoolEvent("session_aborted", s.id, s.owner.cfg.Group.Name, s.owner.cfg.Instance.ID, why)
}

func (s *session) freeSlot() {
	if s.slot != nil {
		s.slot()
		s.slot = nil
	}
}

// cancelStatement asks the backend server to end the statement that runs. It
// holds keyMu meanwhile, so that the connection is not given back before the
// request was dealt with: it would strike the next session's statement.
func (s *session) cancelStatement() error {
	s.keyMu.Lock()
	defer s.keyMu.Unlock()
	if s.target == nil {
		return nil
	}
	return s.target.sendCancel(context.Background())
}

func (s *session) setTarget(t *cancelTarget) {
	s.keyMu.Lock()
	s.target = t
	s.keyMu.Unlock()
}
