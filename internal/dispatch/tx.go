package dispatch

import (
	"time"

	"chicoryline/internal/boottime"
	"chicoryline/internal/connset"
	"chicoryline/internal/errkind"
	"chicoryline/internal/position"
	"chicoryline/internal/statement"
)

// Tx is an open transaction with a connection of its own.
type Tx struct {
	group  *Group
	server *Server
	conn   *connset.Conn
	// onPrimary reports that the primary runs the transaction. Each successful answer then
	// confirms that the server leads, except that to the commit of a transaction that wrote
	// nothing.
	onPrimary bool
	// stateChanged reports that the transaction changed the state of the session at the
	// server, which a rollback may undo.
	stateChanged bool
	wrote        bool
}

// Begin opens a transaction at the primary.
func (g *Group) Begin(call *Call) (*Tx, error) {
	ctx, cancel := call.context()
	defer cancel()
	s, c, _, err := g.beginOnPrimary(ctx, call)
	if err != nil {
		return nil, g.tellRetryTime(call, true, err)
	}
	return &Tx{group: g, server: s, conn: c, onPrimary: true}, nil
}

// BeginRead opens a read-only transaction at a server that has applied own and all commits
// acknowledged before the given time.
func (g *Group) BeginRead(call *Call, before boottime.Time, own position.Position) (*Tx, error) {
	t, err := g.beginRead(call, before, own)
	return t, g.tellRetryTime(call, false, err)
}

func (g *Group) beginRead(call *Call, before boottime.Time, own position.Position) (*Tx, error) {
	ctx, cancel := call.context()
	defer cancel()
	if err := g.checkDomains(call); err != nil {
		return nil, err
	}
	var lastErr error
	var tried []*Server
	for call.remaining() > 0 {
		need, err := g.requiredPosition(ctx, call, before, own)
		if err != nil {
			return nil, err
		}
		s := g.selectReader(call, need, tried)
		if s == nil {
			if err := g.refuseRead(call); err != nil {
				return nil, err
			}
			if err := g.awaitNextRound(ctx, call, lastErr); err != nil {
				return nil, err
			}
			tried = nil
			continue
		}
		tried = append(tried, s)
		c, err := g.acquire(ctx, s, call, g.isReplaceable(s))
		if err != nil {
			lastErr = err
			continue
		}
		r, err := c.Align(call.SessionState, g.cfg.Texts, &statement.Command{Text: g.cfg.Texts.Begin(true), After: need, State: statement.InTx}, min(beginTimeout, call.remaining()))
		if err != nil {
			lastErr = err
			c.Discard()
			s.noteFailure()
			continue
		}
		if r.Err == nil {
			c.TakeChanged()
			if !call.canFinish(s) {
				c.RollbackAndRelease(g.cfg.Texts)
				return nil, errTooLate(s)
			}
			return &Tx{group: g, server: s, conn: c}, nil
		}
		lastErr = r.Err
		if errkind.Is(r.Err, errkind.NotEligible) {
			s.noteLagging(need)
		}
		c.RollbackAndRelease(g.cfg.Texts)
	}
	return nil, call.timeoutError(lastErr)
}

// Run runs a statement of the transaction. After an error that is not an answer of the server
// the transaction is over.
func (t *Tx) Run(call *Call, write bool) (statement.Result, error) {
	if err := t.align(call); err != nil {
		return statement.Result{}, err
	}
	if err := t.prepareSend(call, true); err != nil {
		return statement.Result{}, err
	}
	r, err := t.exchange(call, true)
	if err != nil {
		t.abandon(err, nil)
		return statement.Result{}, errkind.New(errkind.TransactionLost, "%s: %v", t.server.Info().ID, err)
	}
	t.wrote = t.wrote || write && r.Err == nil
	return r, r.Err
}

// align brings the session at the server into the state that the statement needs. After an error
// the transaction is over, and the statement was not sent.
func (t *Tx) align(call *Call) error {
	if !call.allows(t.server) {
		t.Rollback()
		return errkind.New(errkind.TransactionLost, "%s is outside the allowed regions", t.server.Info().ID)
	}
	if err := t.endIfEvacuated(); err != nil {
		return err
	}
	if _, err := t.conn.Align(call.SessionState, t.group.cfg.Texts, nil, beginTimeout); err != nil {
		t.abandon(err, nil)
		return errkind.New(errkind.TransactionLost, "%v", err)
	}
	t.stateChanged = t.conn.TakeChanged() || t.stateChanged
	return t.endIfEvacuated()
}

// Commit commits the transaction. If it wrote, a missing answer leaves its outcome unknown.
func (t *Tx) Commit(call *Call) (statement.Result, error) {
	if err := t.align(call); err != nil {
		return statement.Result{}, err
	}
	if err := t.prepareSend(call, t.wrote); err != nil {
		return statement.Result{}, err
	}
	if t.onPrimary && t.wrote {
		if _, err := t.group.checkNotBeingReplaced(t.server); err != nil {
			t.Rollback()
			return statement.Result{}, errkind.New(errkind.TransactionLost, "%v", err)
		}
	}
	sent := boottime.Now()
	var number uint64
	if t.onPrimary && t.wrote {
		number = t.group.startCommit(sent)
		defer t.group.endCommit(number)
	}
	// A server that no longer leads still commits a transaction that wrote nothing.
	r, err := t.exchange(call, t.wrote)
	if err != nil {
		if t.wrote {
			t.abandon(err, t.group.acknowledgeLateAnswer)
			t.group.noteCommitUnanswered(t.server, sent)
			return statement.Result{}, errkind.New(errkind.OutcomeUnknown, "%s: %v", t.server.Info().ID, err)
		}
		t.abandon(err, nil)
		return statement.Result{}, errkind.New(errkind.TransactionLost, "%s: %v", t.server.Info().ID, err)
	}
	if r.Err != nil {
		t.Rollback()
		return r, r.Err
	}
	if t.onPrimary && t.wrote {
		if _, err := t.group.checkNotBeingReplaced(t.server); err != nil {
			t.release(r.Status)
			return statement.Result{}, t.group.withhold(t.server, err)
		}
	}
	server := t.server
	t.release(r.Status)
	if t.onPrimary && t.wrote {
		if err := t.group.acknowledgeCommit(server, number, sent, call.Deadline, r.Position); err != nil {
			return statement.Result{}, err
		}
	}
	return r, nil
}

// exchange sends a statement and waits for its answer; confirms means that only a primary
// answers the statement successfully. A statement that a full server rejected is sent again if
// the transaction is still open: its connection and the work done would be lost.
func (t *Tx) exchange(call *Call, confirms bool) (statement.Result, error) {
	for {
		r, err := t.exchangeOnce(call, confirms)
		if err != nil || r.Status != statement.InTx || !errkind.Is(r.Err, errkind.QueueFull) {
			return r, err
		}
		call.noteAnswer(r.Err)
		if call.remaining() < 2*retryPause || !call.canFinish(t.server) || !call.mayAsk(t.server) {
			return r, nil
		}
		time.Sleep(retryPause)
		if err := t.prepareSend(call, confirms); err != nil {
			return statement.Result{Err: err, Status: statement.Failed}, nil
		}
	}
}

// prepareSend waits until a statement may be sent to a cold server, if it takes one of its slots.
// After an error the transaction is over, and the statement was not sent.
func (t *Tx) prepareSend(call *Call, takesSlot bool) error {
	if takesSlot {
		if err := t.takeColdSlot(call); err != nil {
			return err
		}
	}
	return t.endIfEvacuated()
}

func (t *Tx) exchangeOnce(call *Call, confirms bool) (statement.Result, error) {
	sent := boottime.Now()
	if err := t.conn.Start(call.Command); err != nil {
		return statement.Result{}, err
	}
	r, err := receive(t.conn, call.remaining())
	if err != nil {
		t.server.noteFailure()
		return r, err
	}
	if r.Err == nil {
		t.server.noteSuccess(boottime.Since(sent), position.Position{})
		if t.onPrimary && confirms {
			t.group.recordPosition(t.server, sent, r.Position)
		}
		return r, nil
	}
	t.server.noteRefusal(r.Err)
	if errkind.Is(r.Err, errkind.ReadOnly) && t.onPrimary {
		t.group.MarkNotPrimary(t.server)
	}
	return r, nil
}

// Rollback ends the transaction without effect.
func (t *Tx) Rollback() {
	if t.conn == nil {
		return
	}
	if t.stateChanged {
		t.conn.MarkDirty()
	}
	t.conn.RollbackAndRelease(t.group.cfg.Texts)
	t.conn = nil
}

func (t *Tx) release(status statement.Status) {
	if status != statement.Idle {
		t.Rollback()
		return
	}
	t.conn.Release()
	t.conn = nil
}

// abandon ends the transaction after an answer did not arrive. Without a commit it is rolled
// back: when the connection closes or, if the server is still working, after its answer. late,
// if not nil, receives that answer.
func (t *Tx) abandon(err error, late func(statement.Result)) {
	if t.conn == nil {
		return
	}
	if statement.IsTimeout(err) {
		t.conn.MarkDirty()
		t.conn.AwaitLateAnswer(t.group.cfg.Texts, late)
	} else {
		t.conn.Discard()
	}
	t.conn = nil
}

// IsOver reports whether the transaction has ended.
func (t *Tx) IsOver() bool { return t.conn == nil }
