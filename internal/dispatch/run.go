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
	// Deadline is when the time limit of the statement expires.
	Deadline boottime.Time
	// LatencyDeadline is when the latency objective of the operation is missed.
	LatencyDeadline boottime.Time
	// Arrived is when the statement was read from the caller.
	Arrived boottime.Time
	// Domains holds the allowed failure domains; nil allows all.
	Domains map[string]struct{}
	// positionOnly marks an empty transaction, which occupies no slot of a server.
	positionOnly bool

	attempts
}

func (c *Call) remaining() time.Duration { return c.Deadline.Sub(boottime.Now()) }

func (c *Call) context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), c.remaining())
}

// request returns the request for a connection. Its MaxWait and Deadline leave time for the
// statement itself.
func (c *Call) request(s *Server, replaceable bool) connset.Request {
	now := boottime.Now()
	response := time.Duration(0)
	if !c.positionOnly {
		response = s.expectedResponseTime(now)
	}
	return connset.Request{
		Customer: c.Customer, Priority: c.Priority, Replaceable: replaceable, FirstRefused: c.firstRefused, KeepsPromise: c.positionOnly,
		MaxWait: c.LatencyDeadline.Sub(now) - response, Deadline: c.Deadline.Add(-response),
	}
}

// canFinish reports whether a statement that is sent now can be answered within the time limit.
// An empty transaction does not wait for a slot.
func (c *Call) canFinish(s *Server) bool {
	now := boottime.Now()
	return c.positionOnly || c.Deadline.Sub(now) > s.expectedResponseTime(now)
}

func errTooLate(s *Server) error {
	return errkind.New(errkind.QueueTimeout, "%s could not answer within the time limit", s.Info().ID)
}

// timeoutError returns the error of a call whose time is over: the last one, if there is any.
func (c *Call) timeoutError(lastErr error) error {
	if lastErr != nil {
		return lastErr
	}
	return errkind.New(errkind.QueueTimeout, "time limit passed before the statement was sent")
}

// Mode selects how a single statement runs.
type Mode uint8

// The execution modes.
const (
	// ModeWrite runs at the primary.
	ModeWrite Mode = iota
	// ModeCurrent reads everything acknowledged by now.
	ModeCurrent
	// ModeStale reads what was acknowledged before a given time, and at least the own
	// position.
	ModeStale
)

// RunSingle runs a statement outside a transaction. before and own apply to ModeStale only.
func (g *Group) RunSingle(mode Mode, call *Call, before boottime.Time, own position.Position) (r statement.Result, err error) {
	switch mode {
	case ModeWrite:
		r, err = g.Write(call)
	case ModeCurrent:
		r, err = g.ReadCurrent(call)
	default:
		r, err = g.Read(call, before, own)
	}
	return r, g.tellRetryTime(call, mode != ModeStale, err)
}

// Write runs a single write at the primary. An error of the class "not run" guarantees that
// nothing was sent or that the server rejected it.
func (g *Group) Write(call *Call) (statement.Result, error) {
	ctx, cancel := call.context()
	defer cancel()
	var lastErr error
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
		if answered, err := g.checkNotBeingReplaced(s); err != nil && !answered {
			lastErr = err
			c.Release()
			time.Sleep(min(primaryPollInterval, max(call.remaining(), 0)))
			continue
		}
		if _, err := c.Align(call.SessionState, g.cfg.Texts, nil, beginTimeout); err != nil {
			lastErr = err
			c.Discard()
			s.noteFailure()
			call.noteRefusedBy(s, err)
			continue
		}
		if lastErr = g.checkSend(s, call); lastErr != nil {
			c.Release()
			continue
		}
		r, err := g.writeOn(s, c, call)
		if !errkind.Is(err, errkind.ReadOnly) {
			return r, err
		}
		lastErr = g.rejectNotPrimary(s)
	}
	return statement.Result{}, call.timeoutError(lastErr)
}

func (g *Group) writeOn(s *Server, c *connset.Conn, call *Call) (statement.Result, error) {
	if err := g.takeColdSlot(s, false); err != nil {
		c.Release()
		return statement.Result{}, err
	}
	sent := boottime.Now()
	number := g.startCommit(sent)
	defer g.endCommit(number)
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
		call.noteAnswer(r.Err)
		return r, r.Err
	}
	if _, err := g.checkNotBeingReplaced(s); err != nil {
		return statement.Result{}, g.withhold(s, err)
	}
	s.noteSuccess(boottime.Since(sent), r.Position)
	g.History.Add(sent, r.Position)
	if err := g.acknowledgeCommit(s, number, sent, call.Deadline, r.Position); err != nil {
		return statement.Result{}, err
	}
	return r, nil
}

// receive waits for the answer to a caller's statement.
func receive(c *connset.Conn, wait time.Duration) (statement.Result, error) {
	r, err := c.Receive(wait)
	if err == nil && !isAnswer(r) {
		return r, errkind.New(errkind.AnswerIncomplete, "answer of another statement")
	}
	return r, err
}

// isAnswer reports whether the result answers a caller's statement. A successful result
// without a signature belongs to another statement: an earlier answer was lost.
func isAnswer(r statement.Result) bool { return r.Err != nil || r.Signature != "" }

// handleMissingAnswer handles a connection whose answer did not arrive. If the server may
// still answer, the answer is awaited in the background so that its work is not aborted.
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

// retry reports whether a call that did not run may be retried, after pausing.
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

// rejectNotPrimary records that the server is not the primary and returns the resulting error.
func (g *Group) rejectNotPrimary(s *Server) error {
	g.MarkNotPrimary(s)
	return errkind.New(errkind.NoPrimary, "%s does not lead", s.Info().ID)
}

// acquirePrimary returns a connection of the customer to the primary, retrying while that can
// succeed in time.
func (g *Group) acquirePrimary(ctx context.Context, call *Call) (*Server, *connset.Conn, error) {
	for {
		s, c, err := g.tryPrimary(ctx, call)
		if err == nil || !g.retry(ctx, call, err) {
			return s, c, err
		}
	}
}

func (g *Group) tryPrimary(ctx context.Context, call *Call) (*Server, *connset.Conn, error) {
	if err := g.checkPrimary(g.Leader(), call); err != nil {
		return nil, nil, err
	}
	s, err := g.awaitPrimary(ctx, call.Deadline)
	if err == nil {
		err = g.checkPrimary(s, call)
	}
	if err != nil {
		return nil, nil, err
	}
	if !call.positionOnly {
		g.redeem(call)
	}
	start := boottime.Now()
	c, err := g.acquire(ctx, s, call, false)
	if errkind.Is(err, errkind.Unreachable) {
		s.noteFailure()
	}
	if errkind.Is(err, errkind.Unreachable) || errkind.Is(err, errkind.WrongServer) {
		g.noteUnanswered(s, start)
	}
	return s, c, err
}

// acquire returns a connection to the server. It fails if the server is leaving and may no
// longer get work by the time the connection is available, if its failure domain is evacuated, or
// if the statement could not be answered within its time limit.
func (g *Group) acquire(ctx context.Context, s *Server, call *Call, replaceable bool) (*connset.Conn, error) {
	if err := g.checkMayWork(s); err != nil {
		return nil, err
	}
	if !call.mayAsk(s) {
		err := errkind.New(errkind.QueueFull, "%s refused", s.Info().ID)
		call.noteFull(s, err)
		return nil, err
	}
	c, err := s.Conns.Acquire(ctx, call.request(s, replaceable))
	if err != nil {
		call.noteRefusedBy(s, err)
		call.noteFull(s, err)
		return nil, err
	}
	if now := boottime.Now(); s.hasLeft(now, g.cfg.LeaveTime) || !g.mayWork(s, now) {
		c.Release()
		return nil, errkind.New(errkind.ShuttingDown, "%s has left", s.Info().ID)
	}
	if !call.canFinish(s) {
		c.Release()
		return nil, errTooLate(s)
	}
	return c, nil
}

// recordPosition records the position of the primary's log, which covers all commits
// acknowledged before the statement was sent if the server led at that time.
func (g *Group) recordPosition(s *Server, sent boottime.Time, p position.Position) {
	if g.hasLeaderLease(s, sent) {
		g.History.Add(sent, p)
	}
}

// opening is the answer to the start of a transaction that was sent at the given time.
type opening struct {
	sent     boottime.Time
	position position.Position
}

// beginOnPrimary opens a transaction at the primary, which confirms that the server leads. The
// caller reads the answers to the trailing commands.
func (g *Group) beginOnPrimary(ctx context.Context, call *Call, trailing ...statement.Command) (*Server, *connset.Conn, opening, error) {
	var lastErr error
	for call.remaining() > 0 {
		s, c, err := g.acquirePrimary(ctx, call)
		if err != nil {
			return nil, nil, opening{}, err
		}
		if err := g.requireLeaderLease(ctx, s, call); err != nil {
			c.Release()
			return nil, nil, opening{}, err
		}
		if lastErr = g.checkSend(s, call); lastErr != nil {
			c.Release()
			continue
		}
		sent := boottime.Now()
		r, err := c.Align(call.SessionState, g.cfg.Texts, &statement.Command{Text: g.cfg.Texts.Begin(false), State: statement.InTx}, min(beginTimeout, call.remaining()), trailing...)
		if err != nil {
			lastErr = err
			c.Discard()
			s.noteFailure()
			g.noteUnanswered(s, sent)
			call.noteRefusedBy(s, err)
			continue
		}
		if r.Err == nil {
			c.TakeChanged()
			s.noteReached()
			g.noteAnswered(s)
			if !call.canFinish(s) {
				c.RollbackAndRelease(g.cfg.Texts)
				return nil, nil, opening{}, errTooLate(s)
			}
			return s, c, opening{sent, r.Position}, nil
		}
		c.RollbackAndRelease(g.cfg.Texts)
		if errkind.Is(r.Err, errkind.ReadOnly) {
			lastErr = g.rejectNotPrimary(s)
			continue
		}
		lastErr = r.Err
		if !g.retry(ctx, call, r.Err) {
			return nil, nil, opening{}, r.Err
		}
	}
	return nil, nil, opening{}, call.timeoutError(lastErr)
}

// ReadCurrent runs a read that observes every commit acknowledged before it. The transaction
// around it makes a server that no longer leads reject it.
func (g *Group) ReadCurrent(call *Call) (statement.Result, error) {
	ctx, cancel := call.context()
	defer cancel()
	var lastErr error
	for call.remaining() > 0 {
		s, c, _, err := g.beginOnPrimary(ctx, call)
		if err != nil {
			return statement.Result{}, err
		}
		if lastErr = g.checkSend(s, call); lastErr != nil {
			c.Discard()
			continue
		}
		if err := g.takeColdSlot(s, false); err != nil {
			c.RollbackAndRelease(g.cfg.Texts)
			return statement.Result{}, err
		}
		sent := boottime.Now()
		command := call.Command
		command.Read = true
		err = c.Start(command, statement.Command{Text: g.cfg.Texts.Rollback(), State: statement.Idle})
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
			lastErr = errkind.New(errkind.AnswerIncomplete, "%s: %v", s.Info().ID, err)
			call.noteRefusedBy(s, lastErr)
			continue
		}
		c.Release()
		if r.Err == nil {
			s.noteSuccess(boottime.Since(sent), position.Position{})
			g.recordPosition(s, sent, r.Position)
			return r, nil
		}
		if errkind.Is(r.Err, errkind.ReadOnly) {
			lastErr = g.rejectNotPrimary(s)
			continue
		}
		s.noteRefusal(r.Err)
		call.noteAnswer(r.Err)
		return r, r.Err
	}
	return statement.Result{}, call.timeoutError(lastErr)
}
