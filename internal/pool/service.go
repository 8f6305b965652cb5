package pool

import (
	"context"
	"time"

	"chicoryline/internal/errkind"
	"chicoryline/internal/peer"
	"chicoryline/internal/position"
)

// Service exposes a Manager over net/rpc under the name "Pool".
type Service struct{ manager *Manager }

// NewService returns the service.
func NewService(m *Manager) *Service { return &Service{manager: m} }

// Execute runs one request and returns its answer, or the first part of it.
//
// Errors of class errkind.NotRun are returned only if no byte of the request was
// sent to the backend server, or if the server's answer shows that nothing ran.
func (s *Service) Execute(args *ExecuteArgs, reply *ExecuteReply) error {
	reply.Session, reply.Seq = args.Session, args.Seq
	return peer.Encode(s.manager.execute(context.Background(), args, reply))
}

// Fetch returns the next part of an answer.
func (s *Service) Fetch(args *FetchArgs, reply *ExecuteReply) error {
	reply.Session, reply.Seq = args.Session, args.Seq
	return peer.Encode(s.manager.fetch(args, reply))
}

// Abort ends the session's open transaction or unfinished answer.
func (s *Service) Abort(args *SessionArgs, _ *Empty) error {
	found, err := s.manager.findSession(args.Session)
	if err == nil && (args.Seq == 0 || found.firstSeq <= args.Seq) {
		s.manager.abort(found, "caller is gone")
	}
	return nil
}

// Cancel asks the backend server to cancel the session's running statement.
func (s *Service) Cancel(args *SessionArgs, _ *Empty) error {
	return peer.Encode(s.manager.cancel(args.Session))
}

func (m *Manager) execute(ctx context.Context, args *ExecuteArgs, reply *ExecuteReply) error {
	s, err := m.openSession(ctx, args)
	if err != nil {
		return err
	}
	defer s.mu.Unlock()
	s.lastUse = time.Now()
	return m.runRequest(s, args, reply)
}

// openSession returns the session of the request with its mutex locked. A request
// outside of an open transaction gets a new session.
func (m *Manager) openSession(ctx context.Context, args *ExecuteArgs) (*session, error) {
	if !args.Continue {
		return m.beginSession(ctx, args)
	}
	s, err := m.findSession(args.Session)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	m.fire(s, "request")
	if s.chart.State() != "resuming" {
		// The previous answer has unread parts, so the connection can't be used.
		m.fire(s, "aborted")
		s.mu.Unlock()
		return nil, errkind.New(errkind.TransactionLost, "transaction was ended")
	}
	return s, nil
}

func (m *Manager) runRequest(s *session, args *ExecuteArgs, reply *ExecuteReply) error {
	if err := m.prepare(s, args, reply); err != nil {
		s.freeSlot()
		err = s.rejectionError(err) // before fire, which may cancel the session's context
		m.fire(s, s.rejectionEvent())
		return err
	}
	s.args, s.part = args, 0
	s.conn.position = position.Position{}
	s.exchange = &exchange{conn: s.conn, deadline: time.Now().Add(statementTimeout)}
	s.setTarget(&cancelTarget{key: s.conn.cancelKey, owner: s.owner, conn: s.conn, write: args.Write})
	m.fire(s, "sent")
	if err := s.exchange.start(args); err != nil {
		sent := s.exchange.sent
		m.abandonExchange(s)
		return brokenConnError(args, sent, err)
	}
	return m.receive(s, reply)
}

// prepare waits for an execution slot and for the log position that the request
// needs.
func (m *Manager) prepare(s *session, args *ExecuteArgs, reply *ExecuteReply) error {
	slot, err := s.owner.slotGate.Acquire(s.ctx, args.Customer, queueWeight(args.Weight), queueDeadline(args))
	if err != nil {
		return err
	}
	s.releaseSlot = slot
	if err := m.waitForReadPosition(s.ctx, s, args, reply); err != nil {
		return err
	}
	return s.ctx.Err()
}

// waitForReadPosition ensures that a read of current data at a replica sees all
// writes acknowledged before the request arrived: it waits until the replica has
// reached the read index. At the primary, confirmRead checks this after the request.
// A read of older data only has to see Min.
func (m *Manager) waitForReadPosition(ctx context.Context, s *session, args *ExecuteArgs, reply *ExecuteReply) error {
	if args.Write {
		return nil
	}
	if !args.Current {
		return s.owner.waitForPosition(ctx, s.conn, args.Min)
	}
	at, err := s.owner.cfg.Watcher.ReadIndex(ctx)
	if err != nil {
		return err
	}
	if args.Min.Compare(at) > 0 {
		at = args.Min
	}
	reply.Position = at
	return s.owner.waitForPosition(ctx, s.conn, at)
}

// receive reads the next part of the answer. After the last part it completes the
// request.
func (m *Manager) receive(s *session, reply *ExecuteReply) error {
	answer, err := s.exchange.receive(nil)
	s.lastUse = time.Now()
	if err != nil {
		m.abandonExchange(s)
		return brokenConnError(s.args, true, err)
	}
	reply.Answer = answer
	if !s.exchange.done {
		reply.More = true
		return nil
	}
	reply.Status = s.conn.status
	return m.completeRequest(s, reply)
}

// completeRequest releases the execution slot, fires the chart event that fits the
// answer and, where needed, waits until a majority has confirmed it.
func (m *Manager) completeRequest(s *session, reply *ExecuteReply) error {
	finished, args, committed := s.exchange, s.args, s.conn.position
	s.exchange = nil
	s.freeSlot()
	s.setTarget(nil)
	idle := s.conn.status == statusIdle
	if idle && args.ResetAfter {
		s.conn.reset()
	}
	if finished.readOnlyRefused && !args.Continue && s.part == 0 {
		m.fire(s, answeredEvent(idle))
		m.fire(s, "aborted")
		return rejectedWriteError(args)
	}
	if committed.IsZero() && !needsReadConfirmation(args, idle) {
		m.fire(s, answeredEvent(idle))
		return nil
	}
	m.fire(s, heldEvent(idle))
	err := m.confirmAnswer(s, committed, reply)
	if err != nil {
		m.fire(s, "unconfirmed")
		return err
	}
	m.fire(s, "confirmed")
	return nil
}

func answeredEvent(idle bool) string {
	if idle {
		return "answered_idle"
	}
	return "answered_open"
}

func heldEvent(idle bool) string {
	if idle {
		return "held_idle"
	}
	return "held_open"
}

// needsReadConfirmation reports whether the answer of a request that committed nothing
// reveals the state of the primary and so has to be confirmed: a read of current
// data, or a write that changed no rows.
func needsReadConfirmation(args *ExecuteArgs, idle bool) bool {
	return args.Write && (args.Current || idle && args.MayCommit)
}

// confirmAnswer delays the answer until a majority holds the commit or, without a
// commit, everything that the answer shows.
func (m *Manager) confirmAnswer(s *session, committed position.Position, reply *ExecuteReply) error {
	if committed.IsZero() {
		return m.confirmRead(s, reply)
	}
	return m.confirmCommit(s, committed, reply)
}

// rejectedWriteError returns the error of a request that the server rejected as a write
// because it is a replica. The request had no effect.
func rejectedWriteError(args *ExecuteArgs) error {
	if args.Write {
		return errkind.New(errkind.NoPrimary, "%s has become a replica", args.Instance)
	}
	return errkind.New(errkind.ReadOnly, "%s is a replica", args.Instance)
}

func (m *Manager) confirmCommit(s *session, p position.Position, reply *ExecuteReply) error {
	ctx, cancel := context.WithTimeout(s.ctx, confirmTimeout)
	defer cancel()
	owner := s.owner.cfg
	if err := owner.Watcher.Confirm(ctx, p); err != nil {
		m.observer.PoolEvent("commit_unconfirmed", s.id, owner.Group.Name, owner.Instance.ID, err.Error())
		return errkind.New(errkind.OutcomeUnknown, "commit at %s was not confirmed by a majority", p)
	}
	reply.Position, reply.Committed = p, true
	return nil
}

// confirmRead delays an answer of the primary until two conditions hold: a round of
// probes that began after the answer has confirmed a primary, and a majority holds the
// log up to the position found by that round. Without the first, the answer may come
// from a replaced primary; without the second, it may show a commit that a failover
// discards. It does not compare the confirmed primary with the instance that answered.
func (m *Manager) confirmRead(s *session, reply *ExecuteReply) error {
	ctx, cancel := context.WithTimeout(s.ctx, confirmTimeout)
	defer cancel()
	watcher := s.owner.cfg.Watcher
	at, err := watcher.ReadIndex(ctx)
	if err == nil {
		err = watcher.Confirm(ctx, at)
	}
	if err != nil {
		return errkind.New(errkind.AnswerIncomplete, "what the primary showed was not proved")
	}
	reply.Position = at
	return nil
}

// abandonExchange aborts the session after its connection broke.
func (m *Manager) abandonExchange(s *session) {
	s.exchange = nil
	m.fire(s, "connection_broke")
}

// brokenConnError returns the error of a request whose connection broke. The outcome
// is unknown if the request may have committed. An open transaction is rolled back by
// the server, and a read has changed nothing.
func brokenConnError(args *ExecuteArgs, sent bool, err error) error {
	if errkind.Is(err, errkind.Unsupported) || errkind.Is(err, errkind.ProtocolViolation) {
		return err
	}
	switch {
	case !sent:
		return errkind.New(errkind.Unreachable, "%v", err)
	case args.ReadOnly:
		return errkind.New(errkind.AnswerIncomplete, "connection broke")
	case args.Continue && !args.MayCommit:
		return errkind.New(errkind.TransactionLost, "connection broke")
	}
	return errkind.New(errkind.OutcomeUnknown, "connection broke")
}

func (m *Manager) fetch(args *FetchArgs, reply *ExecuteReply) error {
	s, err := m.findSession(args.Session)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hasEnded() || s.exchange == nil || s.args.Seq != args.Seq || s.part+1 != args.Part {
		return errkind.New(errkind.AnswerIncomplete, "part %d is not next", args.Part)
	}
	s.part = args.Part
	return m.receive(s, reply)
}

func (m *Manager) cancel(id SessionID) error {
	s, err := m.findSession(id)
	if err != nil {
		return err
	}
	return s.cancelStatement()
}
