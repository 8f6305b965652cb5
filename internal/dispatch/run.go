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
	// retryPause is the pause before the same server is asked again.
	retryPause = 25 * time.Millisecond
	// beginWait bounds the wait for the answer to the opening of a transaction,
	// which takes no slot.
	beginWait = 400 * time.Millisecond
)

// Call is one statement to run.
type Call struct {
	Customer string
	Priority int
	Needs    connset.Needs
	Command  statement.Command
	// Deadline is when the caller's time limit of the statement passes.
	Deadline boottime.Time
	// Useful is when the latency objective of the operation passes.
	Useful boottime.Time
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
	return connset.Request{Customer: c.Customer, Priority: c.Priority, Patience: c.Useful.Sub(now) - s.expected(now)}
}

// timeUp is the refusal of a call that found no way in time.
func (c *Call) timeUp(last error) error {
	if last != nil {
		return last
	}
	return errkind.New(errkind.QueueTimeout, "time limit passed before the statement was sent")
}

// Write runs a single write at the primary. An error of class not run proves that
// nothing was sent or the server refused it.
func (g *Group) Write(call *Call) (statement.Result, error) {
	ctx, cancel := call.context()
	defer cancel()
	var last error
	for call.remaining() > 0 {
		s, c, err := g.primaryConn(ctx, call)
		if err != nil {
			last = err
			if !g.retry(ctx, call, err) {
				return statement.Result{}, err
			}
			continue
		}
		if !c.Usable() {
			c.Discard()
			continue
		}
		if _, err := c.Align(call.Needs, g.cfg.Texts, nil, beginWait); err != nil {
			last = err
			c.Discard()
			s.noteFailure()
			continue
		}
		r, err := g.writeOn(s, c, call)
		if !errkind.Is(err, errkind.ReadOnly) {
			return r, err
		}
		last = errkind.New(errkind.NoPrimary, "%s does not lead", s.Info().ID)
		g.Deny(s)
	}
	return statement.Result{}, call.timeUp(last)
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
		g.noteLost(s, c, sent, err)
		return statement.Result{}, errkind.New(errkind.OutcomeUnknown, "%s: %v", s.Info().ID, err)
	}
	if r.Status != statement.Idle {
		c.Finish(g.cfg.Texts)
	} else {
		c.Release()
	}
	if r.Err != nil {
		s.noteRefusal(r.Err)
		return r, r.Err
	}
	s.noteSuccess(boottime.Since(sent), r.Position)
	g.History.Add(sent, r.Position)
	g.noteCommitted(s)
	return r, nil
}

// receive awaits the answer to a caller's statement. An answer without a signature
// belongs to another statement: one before it got lost.
func receive(c *connset.Conn, wait time.Duration) (statement.Result, error) {
	r, err := c.Receive(wait)
	if err == nil && r.Err == nil && r.Signature == "" {
		return r, errkind.New(errkind.AnswerIncomplete, "answer of another statement")
	}
	return r, err
}

// noteLost settles a connection without an answer: if the server may still
// answer, the answer is awaited so that its work is not broken off.
func (g *Group) noteLost(s *Server, c *connset.Conn, sent boottime.Time, err error) {
	s.noteFailure()
	g.noteStuck(s, sent)
	if statement.IsTimeout(err) {
		c.MarkDirty()
		c.Linger(g.cfg.Texts)
		return
	}
	c.Discard()
}

// retry reports whether a call that did not run may be tried again, after a
// pause.
func (g *Group) retry(ctx context.Context, call *Call, err error) bool {
	if boottime.Now() > call.Useful {
		return false
	}
	switch errkind.KindOf(err) {
	case errkind.Unreachable, errkind.ConnectionLimit, errkind.WrongServer, errkind.ReadOnly:
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

// primaryConn returns a connection of the customer to the primary.
func (g *Group) primaryConn(ctx context.Context, call *Call) (*Server, *connset.Conn, error) {
	s, err := g.awaitLeader(ctx, call.Deadline)
	if err != nil {
		return nil, nil, err
	}
	start := boottime.Now()
	c, err := s.Conns.Acquire(ctx, call.request(s))
	if err != nil {
		if errkind.Is(err, errkind.Unreachable) || errkind.Is(err, errkind.WrongServer) {
			s.noteFailure()
			g.noteFailed(s, start)
		}
		return s, nil, err
	}
	return s, c, nil
}

// begin opens a transaction at the primary and proves by it that the server
// leads.
func (g *Group) begin(ctx context.Context, call *Call) (*Server, *connset.Conn, error) {
	var last error
	for call.remaining() > 0 {
		s, c, err := g.primaryConn(ctx, call)
		if err != nil {
			last = err
			if !g.retry(ctx, call, err) {
				return nil, nil, err
			}
			continue
		}
		sent := boottime.Now()
		r, err := c.Align(call.Needs, g.cfg.Texts, &statement.Command{Text: g.cfg.Texts.Begin(false)}, min(beginWait, call.remaining()))
		if err != nil {
			last = err
			c.Discard()
			s.noteFailure()
			g.noteFailed(s, sent)
			continue
		}
		if r.Err == nil {
			c.TakeChanged()
			s.noteReached()
			g.noteAnswered(s)
			g.History.Add(sent, r.Position)
			return s, c, nil
		}
		last = r.Err
		c.Finish(g.cfg.Texts)
		if errkind.Is(r.Err, errkind.ReadOnly) {
			last = errkind.New(errkind.NoPrimary, "%s does not lead", s.Info().ID)
			g.Deny(s)
			continue
		}
		if !g.retry(ctx, call, r.Err) {
			return nil, nil, r.Err
		}
	}
	return nil, nil, call.timeUp(last)
}

// ReadCurrent runs a read that sees every commit acknowledged before it. The
// transaction around it makes a server that has lost the lead refuse it.
func (g *Group) ReadCurrent(call *Call) (statement.Result, error) {
	ctx, cancel := call.context()
	defer cancel()
	var last error
	for call.remaining() > 0 {
		s, c, err := g.begin(ctx, call)
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
				c.Linger(g.cfg.Texts)
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
			last = errkind.New(errkind.NoPrimary, "%s does not lead", s.Info().ID)
			g.Deny(s)
			continue
		}
		s.noteRefusal(r.Err)
		return r, r.Err
	}
	return statement.Result{}, call.timeUp(last)
}

// proof is a proof of the primary that several reads wait for.
type proof struct {
	done chan struct{}
	err  error
}

// Prove learns a position that covers all commits acknowledged before now, from
// a transaction that the primary opens.
func (g *Group) Prove(ctx context.Context, call *Call) error {
	g.mu.Lock()
	p := g.proving
	if p == nil {
		p = &proof{done: make(chan struct{})}
		g.proving = p
		g.mu.Unlock()
		own := *call
		own.Needs = connset.Needs{}
		_, c, err := g.begin(ctx, &own)
		if err == nil {
			c.Finish(g.cfg.Texts)
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
	server *Server
	result statement.Result
	err    error
}

// Read runs a read at the server that is expected to answer first among those
// that have all commits acknowledged before the moment, and own.
func (g *Group) Read(call *Call, before boottime.Time, own position.Position) (statement.Result, error) {
	ctx, cancel := call.context()
	defer cancel()
	var last error
	var tried []*Server
	var late chan answer // answers of tries that a hedge has overtaken
	outstanding := 0
	for call.remaining() > 0 {
		need, ok := g.History.Need(before)
		if !ok {
			if err := g.Prove(ctx, call); err != nil {
				return statement.Result{}, err
			}
			continue
		}
		if own.Compare(need) > 0 {
			need = own
		}
		s := g.pickReader(call.Customer, need, tried)
		if s == nil {
			if outstanding > 0 {
				select {
				case a := <-late:
					outstanding--
					if a.err == nil {
						return a.result, nil
					}
					last = a.err
					continue
				case <-ctx.Done():
					return statement.Result{}, call.timeUp(last)
				}
			}
			if last != nil && (isFull(last) || boottime.Now() > call.Useful) {
				return statement.Result{}, last
			}
			if len(tried) == 0 && last == nil {
				last = errkind.New(errkind.Unreachable, "no backend server of %s can be asked", g.Name)
			}
			tried = nil
			select {
			case <-ctx.Done():
				return statement.Result{}, call.timeUp(last)
			case <-time.After(retryPause):
			}
			continue
		}
		tried = append(tried, s)
		if late == nil {
			late = make(chan answer, 8)
		}
		result, err, pending := g.readAt(ctx, s, call, need, late)
		if pending {
			outstanding++
			if outstanding >= 3 {
				select {
				case a := <-late:
					return a.result, a.err
				case <-ctx.Done():
					return statement.Result{}, errkind.New(errkind.AnswerIncomplete, "no answer in time")
				}
			}
			continue
		}
		if err == nil {
			return result, nil
		}
		switch errkind.KindOf(err) {
		case errkind.StatementFailed, errkind.StatementTimeout, errkind.ProtocolViolation, errkind.MessageTooLarge:
			return result, err
		}
		last = err
		select {
		case a := <-late:
			outstanding--
			if a.err == nil {
				return a.result, nil
			}
		default:
		}
	}
	return statement.Result{}, call.timeUp(last)
}

// isFull reports whether a refusal says that the servers that could run the
// statement have too much to do; waiting longer would not help the caller.
func isFull(err error) bool {
	return errkind.Is(err, errkind.QueueFull) || errkind.Is(err, errkind.QueueTimeout)
}

// readAt asks one server. pending tells that the answer, if it comes, goes to
// late.
func (g *Group) readAt(ctx context.Context, s *Server, call *Call, need position.Position, late chan answer) (r statement.Result, err error, pending bool) {
	c, err := s.Conns.Acquire(ctx, call.request(s))
	if err != nil {
		if !errkind.Is(err, errkind.QueueFull) && !errkind.Is(err, errkind.QueueTimeout) && !errkind.Is(err, errkind.ConnectionLimit) {
			s.noteFailure()
		}
		return r, err, false
	}
	if _, err := c.Align(call.Needs, g.cfg.Texts, nil, beginWait); err != nil {
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
			late <- answer{s, r, err}
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
		c.Finish(g.cfg.Texts)
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
