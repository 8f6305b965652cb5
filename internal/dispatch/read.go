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
	// minHedgeDelay is the least time after which a read without an answer is also sent to
	// another server; statements take up to 400 ms.
	minHedgeDelay = 250 * time.Millisecond
	// hedgeResponseFactor times the smoothed response time is the delay after which a read is
	// hedged, if that is above minHedgeDelay.
	hedgeResponseFactor = 6
)

// sharedCheck is a check of the primary that several callers wait for.
type sharedCheck struct {
	done chan struct{}
	err  error
}

// RefreshPosition obtains a position that covers all commits acknowledged before now, by
// opening a transaction at the primary. Concurrent calls share one transaction. It has the priority
// and the time limit of the first call; the others that are more urgent or have more time try again
// if it fails.
func (g *Group) RefreshPosition(ctx context.Context, call *Call) error {
	for {
		g.mu.Lock()
		p := g.positionRefresh
		if p == nil {
			p = &sharedRefresh{sharedCheck: sharedCheck{done: make(chan struct{})}, call: call}
			g.positionRefresh = p
			g.mu.Unlock()
			return g.refreshPosition(ctx, p)
		}
		g.mu.Unlock()
		select {
		case <-p.done:
			if p.err == nil || !call.mayOutlast(p.call) || ctx.Err() != nil {
				return p.err
			}
		case <-ctx.Done():
			return errkind.New(errkind.NoPrimary, "no proof of the primary of %s in time", g.Name)
		}
	}
}

// sharedRefresh is a check that obtains a position on behalf of the call.
type sharedRefresh struct {
	sharedCheck
	call *Call
}

func (g *Group) refreshPosition(ctx context.Context, p *sharedRefresh) error {
	err := g.runEmptyTransaction(ctx, g.positionCall(p.call))
	g.mu.Lock()
	p.err, g.positionRefresh = err, nil
	g.mu.Unlock()
	close(p.done)
	return err
}

// runEmptyTransaction opens and ends a transaction at the primary and records its position. The
// answer to BEGIN is not signed: the position counts only if no answer has been repeated by the end
// of the transaction.
func (g *Group) runEmptyTransaction(ctx context.Context, call *Call) error {
	var lastErr error
	for call.remaining() > 0 {
		s, c, opened, err := g.beginOnPrimary(ctx, call, statement.Command{Text: g.cfg.Texts.Rollback(), State: statement.Idle})
		if err != nil {
			return err
		}
		if lastErr = c.Drain(min(beginTimeout, call.remaining())); lastErr != nil {
			s.noteFailure()
			c.Discard()
			continue
		}
		if c.HasRepeated() {
			lastErr = errkind.New(errkind.Unreachable, "%s repeats answers", s.Info().ID)
			c.Discard()
			continue
		}
		g.recordPosition(s, opened.sent, opened.position)
		c.Release()
		return nil
	}
	return call.timeoutError(lastErr)
}

// mayOutlast reports whether the call may succeed where the other one failed, because it is more
// urgent or has noticeably more time.
func (c *Call) mayOutlast(o *Call) bool {
	return c.Priority < o.Priority || c.Deadline.Sub(o.Deadline) > retryPause || c.LatencyDeadline.Sub(o.LatencyDeadline) > retryPause
}

// attemptResult is the result of one attempt of a read.
type attemptResult struct {
	result statement.Result
	err    error
}

// readState is the state of one read across its attempts.
type readState struct {
	group  *Group
	call   *Call
	before boottime.Time
	own    position.Position
	// tried holds the servers that were asked in the present round.
	tried   []*Server
	lastErr error
	// late receives the answers of attempts that were hedged; outstanding counts those still
	// expected.
	late        chan attemptResult
	outstanding int
}

// maxOutstanding bounds the concurrent attempts of one read.
const maxOutstanding = 3

// Read runs a read at the server that is expected to answer first among those that have
// applied own and all commits acknowledged before the given time.
func (g *Group) Read(call *Call, before boottime.Time, own position.Position) (statement.Result, error) {
	ctx, cancel := call.context()
	defer cancel()
	if err := g.checkDomains(call); err != nil {
		return statement.Result{}, err
	}
	r := &readState{group: g, call: call, before: before, own: own, late: make(chan attemptResult, maxOutstanding)}
	for call.remaining() > 0 {
		if result, err, final := r.attempt(ctx); final {
			return result, err
		}
	}
	return statement.Result{}, call.timeoutError(r.lastErr)
}

// attempt makes one attempt, or waits for an earlier one or for the next round; final reports
// whether its result is that of the read.
func (r *readState) attempt(ctx context.Context) (result statement.Result, err error, final bool) {
	need, err := r.group.requiredPosition(ctx, r.call, r.before, r.own)
	if err != nil {
		return result, err, true
	}
	s := r.group.selectReader(r.call, need, r.tried)
	switch {
	case s == nil && r.outstanding > 0, r.outstanding >= maxOutstanding:
		return r.awaitLateAnswer(ctx)
	case s == nil:
		if err := r.group.refuseRead(r.call); err != nil {
			return result, err, true
		}
		err := r.group.awaitNextRound(ctx, r.call, r.lastErr)
		r.tried = nil
		return result, err, err != nil
	}
	r.tried = append(r.tried, s)
	result, err, pending := r.group.readAt(ctx, s, r.call, need, r.late)
	if pending {
		r.outstanding++
		return result, nil, false
	}
	switch errkind.KindOf(err) {
	case errkind.StatementFailed, errkind.StatementTimeout, errkind.ProtocolViolation, errkind.MessageTooLarge:
		return result, err, true
	}
	if !r.group.ranked.Load() || !isOverloaded(r.lastErr) || !errkind.Is(err, errkind.NotEligible) {
		// If the only servers without a lag are full, that they are full counts.
		r.lastErr = err
	}
	return result, err, err == nil
}

// awaitLateAnswer waits for the answer of an earlier attempt.
func (r *readState) awaitLateAnswer(ctx context.Context) (statement.Result, error, bool) {
	select {
	case a := <-r.late:
		r.outstanding--
		r.call.noteAnswer(a.result.Err)
		r.lastErr = a.err
		return a.result, a.err, a.err == nil
	case <-ctx.Done():
		return statement.Result{}, errkind.New(errkind.AnswerIncomplete, "no answer in time"), true
	}
}

// requiredPosition returns the position that a server must have applied for a read: it covers
// own and every commit acknowledged before the given time.
func (g *Group) requiredPosition(ctx context.Context, call *Call, before boottime.Time, own position.Position) (position.Position, error) {
	for {
		if required, ok := g.History.RequiredPosition(before); ok {
			if own.Compare(required) > 0 {
				return own, nil
			}
			return required, nil
		}
		if err := g.RefreshPosition(ctx, call); err != nil {
			call.noteFull(g.Leader(), err)
			return position.Position{}, err
		}
	}
}

// awaitNextRound pauses before all servers are asked again, or returns the final error:
// waiting longer does not help if all servers are overloaded or the latency objective is
// missed.
func (g *Group) awaitNextRound(ctx context.Context, call *Call, lastErr error) error {
	if err := g.evacuatedError(); err != nil {
		return err
	}
	if lastErr != nil && (isOverloaded(lastErr) || boottime.Now() > call.LatencyDeadline) {
		return lastErr
	}
	select {
	case <-ctx.Done():
		if lastErr == nil {
			lastErr = errkind.New(errkind.Unreachable, "no backend server of %s can be asked", g.Name)
		}
		return lastErr
	case <-time.After(retryPause):
		return nil
	}
}

// isOverloaded reports whether the error says that the servers that could run the statement
// are overloaded; waiting longer would not help the caller.
func isOverloaded(err error) bool {
	return errkind.Is(err, errkind.QueueFull) || errkind.Is(err, errkind.QueueTimeout)
}

// readAt sends the read to one server. If pending is true, the answer, if any, is sent to
// late.
func (g *Group) readAt(ctx context.Context, s *Server, call *Call, need position.Position, late chan attemptResult) (r statement.Result, err error, pending bool) {
	c, err := g.acquire(ctx, s, call, g.isReplaceable(s))
	if err != nil {
		switch errkind.KindOf(err) {
		case errkind.QueueFull, errkind.QueueTimeout, errkind.ConnectionLimit, errkind.WrongServer, errkind.ShuttingDown:
			// The server has not failed: it is full or another one, or this VM sends it nothing more.
		default:
			s.noteFailure()
		}
		return r, err, false
	}
	if _, err := c.Align(call.SessionState, g.cfg.Texts, nil, beginTimeout); err != nil {
		c.Discard()
		s.noteFailure()
		call.noteRefusedBy(s, err)
		return r, err, false
	}
	command := call.Command
	command.After, command.Read = need, true
	if err := g.checkSend(s, call); err != nil {
		c.Release()
		return r, err, false
	}
	if err := g.takeColdSlot(s, false); err != nil {
		c.Release()
		return r, err, false
	}
	sent := boottime.Now()
	if err := c.Start(command); err != nil {
		c.Discard()
		s.noteFailure()
		return r, errkind.New(errkind.AnswerIncomplete, "%v", err), false
	}
	hedge := max(minHedgeDelay, hedgeResponseFactor*s.expectedResponseTime(sent))
	r, err = receive(c, min(hedge, call.remaining()))
	if err != nil && statement.IsTimeout(err) {
		c.MarkAwaiting()
		go func() {
			r, err := receive(c, lateAnswerTimeout)
			r, err = g.finishRead(s, c, need, sent, r, err)
			late <- attemptResult{r, err}
		}()
		return r, nil, true
	}
	r, err = g.finishRead(s, c, need, sent, r, err)
	call.noteAnswer(r.Err)
	call.noteRefusedBy(s, err)
	call.noteFull(s, r.Err)
	return r, err, false
}

// lateAnswerTimeout is how long the answer of a hedged attempt is awaited, counted from the
// hedge, before its connection is closed; it is above the time limit of every known route.
const lateAnswerTimeout = 3 * time.Second

// finishRead releases or discards the connection of a read and records what the answer shows
// about the server.
func (g *Group) finishRead(s *Server, c *connset.Conn, need position.Position, sent boottime.Time, r statement.Result, err error) (statement.Result, error) {
	if err != nil {
		c.Discard()
		s.noteFailure()
		return r, errkind.New(errkind.AnswerIncomplete, "%s: %v", s.Info().ID, err)
	}
	if r.Status == statement.Idle {
		c.Release()
	} else {
		c.RollbackAndRelease(g.cfg.Texts)
	}
	if r.Err == nil {
		s.noteSuccess(boottime.Since(sent), r.Position)
		return r, nil
	}
	if errkind.Is(r.Err, errkind.NotEligible) {
		s.noteLagging(need)
	}
	s.noteRefusal(r.Err)
	return r, r.Err
}
