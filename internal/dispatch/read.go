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
	// hedgeFloor is the least time after which a read that has no answer is sent
	// to another server as well; statements take up to 400 ms.
	hedgeFloor = 250 * time.Millisecond
	// hedgeFactor times the smoothed response time is when a read is slow.
	hedgeFactor = 6
)

// proof is a proof of the primary that several reads wait for.
type proof struct {
	done chan struct{}
	err  error
}

// RefreshPosition learns a position that covers all commits acknowledged before now, from
// a transaction that the primary opens.
func (g *Group) RefreshPosition(ctx context.Context, call *Call) error {
	g.mu.Lock()
	p := g.proving
	if p == nil {
		p = &proof{done: make(chan struct{})}
		g.proving = p
		g.mu.Unlock()
		own := *call
		own.SessionState = connset.SessionState{}
		_, c, err := g.begin(ctx, &own)
		if err == nil {
			c.RollbackAndRelease(g.cfg.Texts)
		}
		g.mu.Lock()
		p.err, g.proving = err, nil
		g.mu.Unlock()
		close(p.done)
		return err
	}
	g.mu.Unlock()
	select {
	case <-p.done:
		return p.err
	case <-ctx.Done():
		return errkind.New(errkind.NoPrimary, "no proof of the primary of %s in time", g.Name)
	}
}

// answer is what one try of a read brought.
type answer struct {
	result statement.Result
	err    error
}

// reading is the state of one read over its tries.
type reading struct {
	group  *Group
	call   *Call
	before boottime.Time
	own    position.Position
	// tried holds the servers of the present round.
	tried []*Server
	last  error
	// late takes the answers of tries that a hedge has overtaken; outstanding counts
	// those to come.
	late        chan answer
	outstanding int
}

// maxOutstanding bounds the tries of one read that run at the same time.
const maxOutstanding = 3

// Read runs a read at the server that is expected to answer first among those
// that have all commits acknowledged before the moment, and own.
func (g *Group) Read(call *Call, before boottime.Time, own position.Position) (statement.Result, error) {
	ctx, cancel := call.context()
	defer cancel()
	r := &reading{group: g, call: call, before: before, own: own, late: make(chan answer, maxOutstanding)}
	for call.remaining() > 0 {
		if result, err, final := r.step(ctx); final {
			return result, err
		}
	}
	return statement.Result{}, call.timeUp(r.last)
}

// step makes one try, or waits for what can help; final tells that its answer
// stands.
func (r *reading) step(ctx context.Context) (result statement.Result, err error, final bool) {
	need, err := r.group.need(ctx, r.call, r.before, r.own)
	if err != nil {
		return result, err, true
	}
	s := r.group.pickReader(r.call.Customer, need, r.tried)
	switch {
	case s == nil && r.outstanding > 0, r.outstanding >= maxOutstanding:
		return r.await(ctx)
	case s == nil:
		err := r.group.nextRound(ctx, r.call, r.last)
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
	r.last = err
	return result, err, err == nil
}

// await waits for the answer of an earlier try.
func (r *reading) await(ctx context.Context) (statement.Result, error, bool) {
	select {
	case a := <-r.late:
		r.outstanding--
		r.last = a.err
		return a.result, a.err, a.err == nil
	case <-ctx.Done():
		return statement.Result{}, errkind.New(errkind.AnswerIncomplete, "no answer in time"), true
	}
}

// need returns the position that a read has to see: every commit acknowledged
// before the moment, and own.
func (g *Group) need(ctx context.Context, call *Call, before boottime.Time, own position.Position) (position.Position, error) {
	for {
		if at, ok := g.History.RequiredPosition(before); ok {
			if own.Compare(at) > 0 {
				return own, nil
			}
			return at, nil
		}
		if err := g.RefreshPosition(ctx, call); err != nil {
			return position.Position{}, err
		}
	}
}

// nextRound pauses before all servers are asked again, or returns the refusal that
// stands: waiting longer does not help if all are full, or if the objective is
// missed.
func (g *Group) nextRound(ctx context.Context, call *Call, last error) error {
	if last != nil && (isFull(last) || boottime.Now() > call.LatencyDeadline) {
		return last
	}
	select {
	case <-ctx.Done():
		if last == nil {
			last = errkind.New(errkind.Unreachable, "no backend server of %s can be asked", g.Name)
		}
		return last
	case <-time.After(retryPause):
		return nil
	}
}

// isFull reports whether a refusal says that the servers that could run the
// statement have too much to do; waiting longer would not help the caller.
func isFull(err error) bool {
	return errkind.Is(err, errkind.QueueFull) || errkind.Is(err, errkind.QueueTimeout)
}

// readAt asks one server. pending tells that the answer, if it comes, goes to
// late.
func (g *Group) readAt(ctx context.Context, s *Server, call *Call, need position.Position, late chan answer) (r statement.Result, err error, pending bool) {
	c, err := g.acquire(ctx, s, call)
	if err != nil {
		if !errkind.Is(err, errkind.QueueFull) && !errkind.Is(err, errkind.QueueTimeout) && !errkind.Is(err, errkind.ConnectionLimit) {
			s.noteFailure()
		}
		return r, err, false
	}
	if _, err := c.Align(call.SessionState, g.cfg.Texts, nil, beginWait); err != nil {
		c.Discard()
		s.noteFailure()
		return r, err, false
	}
	command := call.Command
	command.After = need
	sent := boottime.Now()
	if err := c.Start(command); err != nil {
		c.Discard()
		s.noteFailure()
		return r, errkind.New(errkind.AnswerIncomplete, "%v", err), false
	}
	hedge := max(hedgeFloor, hedgeFactor*s.expected(sent))
	r, err = receive(c, min(hedge, call.remaining()))
	if err != nil && statement.IsTimeout(err) {
		go func() {
			r, err := receive(c, lateTime)
			r, err = g.readDone(s, c, need, sent, r, err)
			late <- answer{r, err}
		}()
		return r, nil, true
	}
	r, err = g.readDone(s, c, need, sent, r, err)
	return r, err, false
}

// lateTime is how long a server may take for a read before its connection is
// given up; it is above every time limit of a route seen so far.
const lateTime = 3 * time.Second

// readDone settles the connection of a read and what its answer tells.
func (g *Group) readDone(s *Server, c *connset.Conn, need position.Position, sent boottime.Time, r statement.Result, err error) (statement.Result, error) {
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
		s.noteBehind(need)
	}
	s.noteRefusal(r.Err)
	return r, r.Err
}
