package dispatch

import (
	"context"
	"time"

	"chicoryline/internal/boottime"
	"chicoryline/internal/connset"
	"chicoryline/internal/errkind"
	"chicoryline/internal/position"
	"chicoryline/internal/statement"
)

const (
	// retryPause is the pause before the same server is asked again.
	retryPause = 25 * time.Millisecond
	// beginTimeout bounds the wait for the answer to the opening of a transaction,
	// which takes no slot.
	beginTimeout = 400 * time.Millisecond
)

// Call is one statement to run.
type Call struct {
	Customer     string
	Priority     int
	SessionState connset.SessionState
	Command      statement.Command
	// Deadline is when the caller's time limit of the statement passes.
	Deadline boottime.Time
	// LatencyDeadline is when the latency objective of the operation passes.
	LatencyDeadline boottime.Time
	// Arrived is when the statement was read from the caller.
	Arrived boottime.Time
}

func (c *Call) remaining() time.Duration { return c.Deadline.Sub(boottime.Now()) }

func (c *Call) context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), c.remaining())
}

// request asks for a connection. Its patience leaves time for the statement.
func (c *Call) request(s *Server) connset.Request {
	now := boottime.Now()
	return connset.Request{Customer: c.Customer, Priority: c.Priority, MaxWait: c.LatencyDeadline.Sub(now) - s.expectedResponseTime(now)}
}

// timeoutError is the refusal of a call that found no way in time.
func (c *Call) timeoutError(last error) error {
	if last != nil {
		return last
	}
	return errkind.New(errkind.QueueTimeout, "time limit passed before the statement was sent")
}

// Mode is how a single statement runs.
type Mode uint8

// The modes.
const (
	// ModeWrite runs at the primary.
	ModeWrite Mode = iota
	// ModeCurrent reads what is acknowledged by now.
	ModeCurrent
	// ModeStale reads what was acknowledged at a moment, and an own position.
	ModeStale
)

// RunSingle runs a statement outside a transaction. The moment and own count for
// ModeStale.
func (g *Group) RunSingle(mode Mode, call *Call, before boottime.Time, own position.Position) (statement.Result, error) {
	switch mode {
	case ModeWrite:
		return g.Write(call)
	case ModeCurrent:
		return g.ReadCurrent(call)
	}
	return g.Read(call, before, own)
}

// Write runs a single write at the primary. An error of class not run proves that
// nothing was sent or the server refused it.
func (g *Group) Write(call *Call) (statement.Result, error) {
	ctx, cancel := call.context()
	defer cancel()
	var last error
	for call.remaining() > 0 {
		s, c, err := g.acquirePrimary(ctx, call)
		if err != nil {
			return statement.Result{}, err
		}
		if !c.Usable() {
			c.Discard()
			continue
		}
		if err := g.requireCommitting(ctx, s, call); err != nil {
			c.Release()
			return statement.Result{}, err
		}
		if _, err := c.Align(call.SessionState, g.cfg.Texts, nil, beginTimeout); err != nil {
			last = err
			c.Discard()
			s.noteFailure()
			continue
		}
		r, err := g.writeOn(s, c, call)
		if !errkind.Is(err, errkind.ReadOnly) {
			return r, err
		}
		last = g.rejectNotPrimary(s)
	}
	return statement.Result{}, call.timeoutError(last)
}

func (g *Group) writeOn(s *Server, c *connset.Conn, call *Call) (statement.Result, error) {
	sent := boottime.Now()
	if err := c.Start(call.Command); err != nil {
		c.Discard()
		s.noteFailure()
		if errkind.Is(err, errkind.Unreachable) {
			return statement.Result{}, err
		}
		return statement.Result{}, errkind.New(errkind.OutcomeUnknown, "%s: %v", s.Info().ID, err)
	}
	r, err := receive(c, call.remaining())
	if err != nil {
		g.handleMissingAnswer(s, c, sent, err)
		return statement.Result{}, errkind.New(errkind.OutcomeUnknown, "%s: %v", s.Info().ID, err)
	}
	if r.Status != statement.Idle {
		c.RollbackAndRelease(g.cfg.Texts)
	} else {
		c.Release()
	}
	if r.Err != nil {
		s.noteRefusal(r.Err)
		return r, r.Err
	}
	s.noteSuccess(boottime.Since(sent), r.Position)
	g.History.Add(sent, r.Position)
	g.ObserveAcknowledged(r.Position)
	g.noteCommitted(s)
	g.confirmLeadership(s, sent)
	return r, nil
}

// receive awaits the answer to a caller's statement.
func receive(c *connset.Conn, wait time.Duration) (statement.Result, error) {
	r, err := c.Receive(wait)
	if err == nil && !isAnswer(r) {
		return r, errkind.New(errkind.AnswerIncomplete, "answer of another statement")
	}
	return r, err
}

// isAnswer reports whether the result answers a caller's statement. One without a
// signature belongs to another statement: one before it got lost.
func isAnswer(r statement.Result) bool { return r.Err != nil || r.Signature != "" }

// handleMissingAnswer settles a connection without an answer: if the server may still
// answer, the answer is awaited so that its work is not broken off.
func (g *Group) handleMissingAnswer(s *Server, c *connset.Conn, sent boottime.Time, err error) {
	s.noteFailure()
	g.noteCommitUnanswered(s, sent)
	if statement.IsTimeout(err) {
		c.MarkDirty()
		c.AwaitLateAnswer(g.cfg.Texts, g.acknowledgeLateAnswer)
		return
	}
	c.Discard()
}

// retry reports whether a call that did not run may be tried again, after a
// pause.
func (g *Group) retry(ctx context.Context, call *Call, err error) bool {
	if boottime.Now() > call.LatencyDeadline {
		return false
	}
	switch errkind.KindOf(err) {
	case errkind.Unreachable, errkind.ConnectionLimit, errkind.WrongServer, errkind.ReadOnly, errkind.ShuttingDown:
	default:
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(retryPause):
		return true
	}
}

// rejectNotPrimary notes that the server does not lead and returns the refusal that follows.
func (g *Group) rejectNotPrimary(s *Server) error {
	g.MarkNotPrimary(s)
	return errkind.New(errkind.NoPrimary, "%s does not lead", s.Info().ID)
}

// acquirePrimary returns a connection of the customer to the primary, trying again
// while that can help in time.
func (g *Group) acquirePrimary(ctx context.Context, call *Call) (*Server, *connset.Conn, error) {
	for {
		s, c, err := g.tryPrimary(ctx, call)
		if err == nil || !g.retry(ctx, call, err) {
			return s, c, err
		}
	}
}

func (g *Group) tryPrimary(ctx context.Context, call *Call) (*Server, *connset.Conn, error) {
	s, err := g.awaitPrimary(ctx, call.Deadline)
	if err != nil {
		return nil, nil, err
	}
	start := boottime.Now()
	c, err := g.acquire(ctx, s, call)
	if errkind.Is(err, errkind.Unreachable) || errkind.Is(err, errkind.WrongServer) {
		s.noteFailure()
		g.noteUnanswered(s, start)
	}
	return s, c, err
}

// acquire returns a connection to the server, unless the wait for it took the rest of the
// time in which a leaving server may get work.
func (g *Group) acquire(ctx context.Context, s *Server, call *Call) (*connset.Conn, error) {
	c, err := s.Conns.Acquire(ctx, call.request(s))
	if err == nil && s.hasLeft(boottime.Now(), g.cfg.LeaveTime) {
		c.Release()
		return nil, errkind.New(errkind.ShuttingDown, "%s has left", s.Info().ID)
	}
	return c, err
}

// recordPosition takes the position of the primary's log, which covers all commits acknowledged
// before the statement was sent if the server led then.
func (g *Group) recordPosition(s *Server, sent boottime.Time, p position.Position) {
	if g.hasLeaderLease(s, sent) {
		g.History.Add(sent, p)
	}
}

// beginOnPrimary opens a transaction at the primary and proves by it that the server
// leads.
func (g *Group) beginOnPrimary(ctx context.Context, call *Call) (*Server, *connset.Conn, error) {
	var last error
	for call.remaining() > 0 {
		s, c, err := g.acquirePrimary(ctx, call)
		if err != nil {
			return nil, nil, err
		}
		if err := g.requireLeaderLease(ctx, s, call); err != nil {
			c.Release()
			return nil, nil, err
		}
		sent := boottime.Now()
		r, err := c.Align(call.SessionState, g.cfg.Texts, &statement.Command{Text: g.cfg.Texts.Begin(false)}, min(beginTimeout, call.remaining()))
		if err != nil {
			last = err
			c.Discard()
			s.noteFailure()
			g.noteUnanswered(s, sent)
			continue
		}
		if r.Err == nil {
			c.TakeChanged()
			s.noteReached()
			g.noteAnswered(s)
			g.recordPosition(s, sent, r.Position)
			return s, c, nil
		}
		c.RollbackAndRelease(g.cfg.Texts)
		if errkind.Is(r.Err, errkind.ReadOnly) {
			last = g.rejectNotPrimary(s)
			continue
		}
		last = r.Err
		if !g.retry(ctx, call, r.Err) {
			return nil, nil, r.Err
		}
	}
	return nil, nil, call.timeoutError(last)
}

// ReadCurrent runs a read that sees every commit acknowledged before it. The
// transaction around it makes a server that has lost the lead refuse it.
func (g *Group) ReadCurrent(call *Call) (statement.Result, error) {
	ctx, cancel := call.context()
	defer cancel()
	var last error
	for call.remaining() > 0 {
		s, c, err := g.beginOnPrimary(ctx, call)
		if err != nil {
			return statement.Result{}, err
		}
		sent := boottime.Now()
		err = c.Start(call.Command, statement.Command{Text: g.cfg.Texts.Rollback()})
		var r statement.Result
		if err == nil {
			r, err = receive(c, call.remaining())
		}
		if err != nil {
			s.noteFailure()
			if statement.IsTimeout(err) {
				c.MarkDirty()
				c.AwaitLateAnswer(g.cfg.Texts, nil)
				return statement.Result{}, errkind.New(errkind.AnswerIncomplete, "%s: %v", s.Info().ID, err)
			}
			c.Discard()
			last = errkind.New(errkind.AnswerIncomplete, "%s: %v", s.Info().ID, err)
			continue
		}
		c.Release()
		if r.Err == nil {
			s.noteSuccess(boottime.Since(sent), position.Position{})
			return r, nil
		}
		if errkind.Is(r.Err, errkind.ReadOnly) {
			last = g.rejectNotPrimary(s)
			continue
		}
		s.noteRefusal(r.Err)
		return r, r.Err
	}
	return statement.Result{}, call.timeoutError(last)
}
