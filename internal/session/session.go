// Package session implements callers' sessions: it keeps the state of a session (values,
// prepared statements, the open transaction, its own commits) and answers each statement,
// either directly or through a database group.
package session

import (
	"context"
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"chicoryline/internal/access"
	"chicoryline/internal/boottime"
	"chicoryline/internal/connset"
	"chicoryline/internal/dispatch"
	"chicoryline/internal/errkind"
	"chicoryline/internal/position"
	"chicoryline/internal/statement"
)

const (
	// maxNames bounds the session values and, separately, the prepared statements of a
	// session.
	maxNames = 200
	// DefaultTimeout is the time limit of a statement whose route sets none.
	DefaultTimeout = 5 * time.Second
)

// Limiter enforces the rate and burst of a customer over all VMs.
type Limiter interface {
	// Admit admits one operation, or returns when to retry.
	Admit(c access.Customer) (retryAfter time.Duration, ok bool)
}

// Owners runs single statements at the VM that owns the customer's connections.
type Owners interface {
	// Run runs the statement at the owner. If taken is false, the statement did not run there
	// or is a read, and this VM has to admit and run it.
	Run(c access.Customer, group string, mode dispatch.Mode, call *dispatch.Call, maxAge time.Duration, own position.Position) (r statement.Result, err error, taken bool)
}

// Observer receives the results of operations.
type Observer interface {
	// Statement reports the result of a statement that a backend server had to answer, or the
	// rejection of a session or of a BEGIN.
	Statement(e Event)
}

// Event is one statement, or the rejected opening of a session, with its result.
type Event struct {
	ID, Customer, Database, Group string
	// Consistency is the consistency of the route.
	Consistency access.Consistency
	Op          statement.Op
	Took        time.Duration
	// ConfigVersion and ConfigAge describe the configuration that authorized the caller.
	ConfigVersion int64
	ConfigAge     time.Duration
	Err           error
}

// Core opens sessions.
type Core struct {
	Access *access.View
	// WaitForConfigUntil is the time up to which Open waits for the first confirmed configuration.
	WaitForConfigUntil boottime.Time
	Limiter            Limiter
	Owners             Owners
	Router             *dispatch.Router
	Observer           Observer
	Texts              connset.Texts
	Log                *logrus.Entry
	// Fits reports whether a command fits into one message to a backend server; nil means that every
	// command does.
	Fits func(statement.Command) bool
	// Regions maps failure domains to regions.
	Regions map[string]string
	// MaxStateBytes bounds the values and prepared statements of a session; 0 means no limit.
	MaxStateBytes int64
}

// Session is one caller's session. It must not be used concurrently.
type Session struct {
	core          *Core
	database, key string
	values        map[string]string
	prepared      map[string]*connset.Prepared
	ownCommits    map[string]position.Position // newest own commit by group
	tx            *transaction
	state         stateSize
}

// transaction is an open transaction of the caller. The first statement that needs a backend
// server opens the transaction there.
type transaction struct {
	route    access.Route
	customer access.Customer
	group    *dispatch.Group
	arrived  boottime.Time
	readOnly bool
	tx       *dispatch.Tx
	// failed reports that only the end of the transaction is accepted, and that the caller has
	// been told.
	failed bool
	// lostReason is the reason why the transaction has ended, until the caller has been told.
	lostReason error
}

// Open authorizes the key and returns a session on the database.
func (c *Core) Open(ctx context.Context, database, key string) (*Session, error) {
	c.awaitFirstConfig(ctx)
	if _, _, err := c.Access.Authorize(database, key); err != nil {
		c.Observer.Statement(Event{Database: database, Err: err, ConfigAge: c.Access.Age()})
		return nil, err
	}
	return &Session{core: c, database: database, key: key}, nil
}

// awaitFirstConfig waits until a configuration has been confirmed, but not after
// WaitForConfigUntil.
//
// Load pattern: all VMs restart at once, and their callers reconnect within the few hundred
// milliseconds in which the VMs read the configuration. Callers that are rejected use up their
// retries in that time.
func (c *Core) awaitFirstConfig(ctx context.Context) {
	wait := c.WaitForConfigUntil.Sub(boottime.Now())
	if wait <= 0 {
		return
	}
	select {
	case <-c.Access.Confirmed():
	case <-ctx.Done():
	case <-time.After(wait):
	}
}

// InTransaction reports whether a transaction is open, and how long it may wait for its next
// statement.
func (s *Session) InTransaction() (bool, time.Duration) {
	if s.tx == nil {
		return false, 0
	}
	if c := s.core.Access.Config(); c != nil {
		return true, c.TxIdle
	}
	return true, 0
}

// AbortTransaction rolls back the open transaction. The next statement fails with the reason,
// unless it is a rollback.
func (s *Session) AbortTransaction(reason string) {
	if s.tx == nil || s.tx.failed || s.tx.lostReason != nil {
		return
	}
	if s.tx.tx != nil {
		s.tx.tx.Rollback()
		s.tx.tx = nil
	}
	s.tx.lostReason = errkind.New(errkind.TransactionLost, "%s", reason)
}

// Close ends the session.
func (s *Session) Close() {
	if s.tx != nil && s.tx.tx != nil {
		s.tx.tx.Rollback()
	}
	s.tx = nil
	s.freeState()
}

// Handle answers one statement.
func (s *Session) Handle(st statement.Statement) statement.Result {
	arrived := boottime.Now()
	switch st.Op {
	case statement.Set, statement.Prepare, statement.Deallocate:
		return s.updateState(st)
	case statement.Begin:
		return s.begin(st, arrived)
	case statement.Rollback:
		return s.rollback()
	}
	if s.tx != nil {
		return s.runInTransaction(st, arrived)
	}
	if st.Op == statement.Commit {
		return s.reject(errkind.New(errkind.ProtocolViolation, "no transaction is open"))
	}
	return s.runSingle(st, arrived)
}

// status returns the transaction state reported to the caller.
func (s *Session) status() statement.Status {
	switch {
	case s.tx == nil:
		return statement.Idle
	case s.tx.failed:
		return statement.Failed
	}
	return statement.InTx
}

func (s *Session) reject(err error) statement.Result {
	return statement.Result{Err: err, Status: s.status()}
}

func (s *Session) success() statement.Result { return statement.Result{Status: s.status()} }

// updateState answers statements that only change the state of the session.
func (s *Session) updateState(st statement.Statement) statement.Result {
	if err := s.takeLostError(); err != nil {
		return s.reject(err)
	}
	if s.tx != nil && s.tx.failed {
		return s.reject(errkind.New(errkind.ProtocolViolation, "transaction has failed"))
	}
	switch st.Op {
	case statement.Set:
		if _, ok := s.values[st.Name]; !ok && len(s.values) >= maxNames {
			return s.reject(errkind.New(errkind.MessageTooLarge, "more than %d session values", maxNames))
		}
		if err := s.resizeState(valueSize(s.values, st.Name), int64(len(st.Name)+len(st.Value))); err != nil {
			return s.reject(err)
		}
		if s.values == nil {
			s.values = map[string]string{}
		}
		s.values[st.Name] = st.Value
	case statement.Prepare:
		if len(s.prepared) >= maxNames && s.prepared[st.Name] == nil {
			return s.reject(errkind.New(errkind.MessageTooLarge, "more than %d prepared statements", maxNames))
		}
		p := connset.NewPrepared(st.Value, st.ReadOnly)
		if err := s.checkPrepared(p); err != nil {
			return s.reject(err)
		}
		if err := s.resizeState(preparedSize(s.prepared, st.Name), int64(len(st.Name)+len(st.Value))); err != nil {
			return s.reject(err)
		}
		if s.prepared == nil {
			s.prepared = map[string]*connset.Prepared{}
		}
		s.prepared[st.Name] = p
	case statement.Deallocate:
		if err := s.resizeState(preparedSize(s.prepared, st.Name), 0); err != nil {
			return s.reject(err)
		}
		delete(s.prepared, st.Name)
	}
	return s.success()
}

// takeLostError returns the reason why the open transaction has ended, if the caller has not
// been told yet.
func (s *Session) takeLostError() error {
	if s.tx == nil || s.tx.lostReason == nil {
		return nil
	}
	err := s.tx.lostReason
	s.tx.lostReason, s.tx.failed = nil, true
	return err
}

// admit checks one operation against the rate of the customer.
func (s *Session) admit(customer access.Customer) error {
	if customer.Name == "" {
		return nil
	}
	if wait, ok := s.core.Limiter.Admit(customer); !ok {
		return errkind.New(errkind.OverRate, "retry after %d ms", wait.Milliseconds())
	}
	return nil
}

func (s *Session) begin(st statement.Statement, arrived boottime.Time) statement.Result {
	if err := s.takeLostError(); err != nil {
		return s.reject(err)
	}
	if s.tx != nil {
		return s.reject(errkind.New(errkind.ProtocolViolation, "a transaction is open"))
	}
	route, customer, err := s.core.Access.Authorize(s.database, s.key)
	if err == nil {
		err = s.admit(customer)
	}
	if err != nil {
		s.report(st, route, customer, arrived, err)
		return s.reject(err)
	}
	s.tx = &transaction{
		route: route, customer: customer, group: s.core.Router.Group(route.Group),
		arrived: arrived, readOnly: st.ReadOnly,
	}
	return s.success()
}

func (s *Session) rollback() statement.Result {
	if s.tx == nil {
		return s.reject(errkind.New(errkind.ProtocolViolation, "no transaction is open"))
	}
	if s.tx.tx != nil {
		s.tx.tx.Rollback()
	}
	s.tx = nil
	return s.success()
}

// StatementTimeout returns the time limit of the route's statements.
func StatementTimeout(r access.Route) time.Duration {
	if r.Timeout <= 0 {
		return DefaultTimeout
	}
	return r.Timeout
}

// buildCall returns the statement in the form in which a group runs it, and whether it writes.
func (s *Session) buildCall(st statement.Statement, route access.Route, customer access.Customer, arrived boottime.Time) (*dispatch.Call, bool, error) {
	timeout := StatementTimeout(route)
	target := route.Target
	if target <= 0 {
		target = timeout
	}
	call := &dispatch.Call{
		Customer: customer.Name, Priority: route.Priority, Arrived: arrived,
		Deadline: arrived.Add(timeout), LatencyDeadline: arrived.Add(min(target, timeout)),
		SessionState: connset.SessionState{Values: s.values},
		Command:      statement.Command{ID: st.ID, Text: st.Text},
		Domains:      s.core.allowedDomains(route, customer),
	}
	write := st.Op == statement.Write
	if st.Op == statement.Execute {
		p := s.prepared[st.Name]
		if p == nil {
			return nil, false, errkind.New(errkind.NoStatement, "%.40q is not prepared", st.Name)
		}
		call.SessionState.Prepared = p
		call.Command.Text = s.core.Texts.Execute(p.Name, st.Args)
		write = !p.ReadOnly
	}
	if read := s.tx == nil && !write; read || st.Op == statement.Execute {
		return call, write, s.checkSize(call.Command, read)
	}
	return call, write, nil
}

// checkSize returns an error if a command that is longer than what the caller sent does not fit into
// a message to a backend server, with any position before it if waits is set. A server that refuses
// such a message, or closes the connection, would count as failing.
func (s *Session) checkSize(c statement.Command, waits bool) error {
	if waits {
		c.After = position.Position{Term: math.MaxUint64, Offset: math.MaxUint64}
	}
	if s.core.Fits == nil || s.core.Fits(c) {
		return nil
	}
	return errkind.New(errkind.MessageTooLarge, "statement does not fit into a message to a backend server")
}

// checkPrepared returns an error if the prepared statement cannot be set up at a backend server.
func (s *Session) checkPrepared(p *connset.Prepared) error {
	if s.core.Fits == nil {
		return nil
	}
	return s.checkSize(statement.Command{Text: s.core.Texts.Prepare(p.Name, p.Shape, p.ReadOnly)}, false)
}

// runSingle runs a statement outside a transaction.
func (s *Session) runSingle(st statement.Statement, arrived boottime.Time) statement.Result {
	route, customer, err := s.core.Access.Authorize(s.database, s.key)
	if err != nil {
		s.report(st, route, customer, arrived, err)
		return s.reject(err)
	}
	call, write, err := s.buildCall(st, route, customer, arrived)
	if err != nil {
		return s.reject(err)
	}
	mode := dispatch.ModeStale
	switch {
	case write:
		mode = dispatch.ModeWrite
	case route.Consistency == access.Current:
		mode = dispatch.ModeCurrent
	}
	r, err := s.run(route, customer, mode, call)
	if write && err == nil {
		s.noteOwnCommit(route.Group, r.Position)
	}
	s.report(st, route, customer, arrived, err)
	return s.result(r, err)
}

// run runs a single statement at the owner of the customer or, if no other VM took it, here.
func (s *Session) run(route access.Route, customer access.Customer, mode dispatch.Mode, call *dispatch.Call) (statement.Result, error) {
	own := s.ownCommit(route)
	if s.core.Owners != nil && customer.Name != "" {
		if r, err, taken := s.core.Owners.Run(customer, route.Group, mode, call, route.MaxStaleness, own); taken {
			return r, err
		}
	}
	if err := s.admit(customer); err != nil {
		return statement.Result{}, err
	}
	return s.core.Router.Group(route.Group).RunSingle(mode, call, call.Arrived.Add(-route.MaxStaleness), own)
}

// result returns the result for the caller, without the position of the server.
func (s *Session) result(r statement.Result, err error) statement.Result {
	r.Err, r.Status, r.Position = err, s.status(), position.Position{}
	if err != nil {
		r.Rows = nil
	}
	return r
}

func (s *Session) noteOwnCommit(group string, p position.Position) {
	if s.ownCommits == nil {
		s.ownCommits = map[string]position.Position{}
	}
	if p.Compare(s.ownCommits[group]) > 0 {
		s.ownCommits[group] = p
	}
}

func (s *Session) ownCommit(route access.Route) position.Position {
	if route.Consistency != access.ReadYourWrites {
		return position.Position{}
	}
	return s.ownCommits[route.Group]
}

// runInTransaction runs a statement of the open transaction.
func (s *Session) runInTransaction(st statement.Statement, arrived boottime.Time) statement.Result {
	if err := s.takeLostError(); err != nil {
		if st.Op == statement.Commit {
			s.tx = nil
		}
		return s.reject(err)
	}
	t := s.tx
	if t.failed {
		if st.Op != statement.Commit {
			return s.reject(errkind.New(errkind.ProtocolViolation, "transaction has failed"))
		}
		s.rollback()
		return s.reject(errkind.New(errkind.TransactionLost, "transaction had failed"))
	}
	call, write, err := s.buildCall(st, t.route, t.customer, arrived)
	if err == nil {
		// The key may have been withdrawn since the start of the transaction.
		err = s.core.Access.Recheck(s.key, t.customer.Name)
	}
	if err == nil && write && t.readOnly {
		err = errkind.New(errkind.ReadOnly, "transaction is read-only")
	}
	if err == nil && t.tx == nil {
		err = s.openTransaction(call)
	}
	if err != nil {
		return s.failTransaction(st, arrived, statement.Result{}, err)
	}
	if st.Op == statement.Commit {
		return s.commit(st, call, arrived)
	}
	r, err := t.tx.Run(call, write)
	if err != nil {
		return s.failTransaction(st, arrived, r, err)
	}
	s.report(st, t.route, t.customer, arrived, nil)
	return s.result(r, nil)
}

// openTransaction opens the transaction at a backend server.
func (s *Session) openTransaction(call *dispatch.Call) error {
	t := s.tx
	var err error
	if t.readOnly && t.route.Consistency != access.Current {
		t.tx, err = t.group.BeginRead(call, call.Arrived.Add(-t.route.MaxStaleness), s.ownCommit(t.route))
	} else {
		t.tx, err = t.group.Begin(call)
	}
	return err
}

func (s *Session) commit(st statement.Statement, call *dispatch.Call, arrived boottime.Time) statement.Result {
	t := s.tx
	r, err := t.tx.Commit(call)
	if err == nil && !t.readOnly {
		s.noteOwnCommit(t.route.Group, r.Position)
	}
	s.report(st, t.route, t.customer, arrived, err)
	s.tx = nil
	return s.result(r, err)
}

// failTransaction returns the result of a failed statement and marks the transaction as
// failed; after a failed commit the transaction is over.
func (s *Session) failTransaction(st statement.Statement, arrived boottime.Time, r statement.Result, err error) statement.Result {
	t := s.tx
	if t.tx != nil {
		t.tx.Rollback()
		t.tx = nil
	}
	t.failed = true
	if st.Op == statement.Commit {
		s.tx = nil
	}
	s.report(st, t.route, t.customer, arrived, err)
	return s.result(r, err)
}

func (s *Session) report(st statement.Statement, route access.Route, customer access.Customer, arrived boottime.Time, err error) {
	version, _ := s.core.Access.LastConfirmed()
	s.core.Observer.Statement(Event{
		ID: st.ID, Customer: customer.Name, Database: s.database, Group: route.Group, Consistency: route.Consistency, Op: st.Op,
		Took: boottime.Since(arrived), ConfigVersion: version, ConfigAge: s.core.Access.Age(), Err: err,
	})
}
