// Package connset manages the connections of one VM to one backend server. Each connection
// belongs to one customer. The VM may open a bounded number, its share of the limit of the
// server. Requests that wait for a connection are served by priority, then by customer in
// turn.
package connset

import (
	"context"
	"sync"
	"time"

	"chicoryline/internal/admission"
	"chicoryline/internal/boottime"
	"chicoryline/internal/errkind"
	"chicoryline/internal/statement"
)

const (
	// initialHoldTime is the assumed time of a statement before the first measurement.
	// holdSmoothing is the inverse of the weight of a new measurement in the smoothed time.
	initialHoldTime = 30 * time.Millisecond
	holdSmoothing   = 16
	// dialTimeout bounds the opening of one connection. A handshake takes up to 30 ms of a
	// slot, and waits about 300 ms if the queue of the server is full.
	dialTimeout = 700 * time.Millisecond
	// limitPause is how long no further connection is opened after the server refused one
	// because of its connection limit.
	limitPause = 300 * time.Millisecond
	// initialDialTime is the assumed time of opening a connection before the first
	// measurement: handshakes take 12 to 27 ms.
	initialDialTime = 20 * time.Millisecond
	// lateAnswerTimeout is how long an answer is awaited after its caller's deadline, so that
	// the work of the server is not aborted.
	lateAnswerTimeout = 3 * time.Second
)

// Dialer opens connections.
type Dialer interface {
	Dial(ctx context.Context, address, group, server, customer string) (statement.Conn, error)
}

// Texts builds the statements that the proxy sends on its own account.
type Texts interface {
	Begin(readOnly bool) string
	Rollback() string
	Reset() string
	Set(name, value string) string
	Prepare(name, shape string, readOnly bool) string
	Execute(name, args string) string
}

// Conn is a connection with the known state of its session at the server.
type Conn struct {
	statement.Conn
	Customer string

	set      *Set
	values   map[string]string
	prepared map[string]struct{}
	// unread counts the answers that the next user has to read.
	unread int
	// changed reports that setup commands were sent since the last TakeChanged.
	changed bool
	// dirty reports that the values and prepared statements in the session are unknown.
	dirty bool
	// awaiting reports that only an answer is awaited; see MarkAwaiting.
	awaiting   bool
	acquiredAt boottime.Time
	releasedAt boottime.Time
	// replaceable reports that the connection is used by a replaceable request.
	replaceable bool
}

// matched is implemented by connections that match answers with statements.
type matched interface {
	// Repeated reports whether the connection is to be closed after its present use.
	Repeated() bool
	// Reusable reports whether the idle connection may be used again.
	Reusable() bool
}

// HasRepeated reports whether the server has repeated an answer on the connection.
func (c *Conn) HasRepeated() bool {
	m, ok := c.Conn.(matched)
	return ok && m.Repeated()
}

// Request asks for a connection.
type Request struct {
	Customer string
	// Priority is lower for more important requests.
	Priority int
	// MaxWait is how long the request may wait for a connection if the statement is to meet
	// its latency objective.
	MaxWait time.Duration
	// Deadline is when the statement has to be sent to meet its time limit, 0 for no limit.
	Deadline boottime.Time
	// Replaceable reports that a replica may serve the statement, and that the server is the
	// primary.
	Replaceable bool
	// FirstRefused is when the request was first refused if it returned as it was told, 0
	// otherwise or if that is not known.
	FirstRefused boottime.Time
	// KeepsPromise is set for a request on behalf of a caller whose own statement comes later and
	// has the precedence of one that returns as it was told.
	KeepsPromise bool
}

// waiter is a request in the queue. The channel receives the outcome.
type waiter = admission.Entry[chan outcome]

// outcome is a connection, nil as permission to open one, or the error of a request that is
// refused after all.
type outcome struct {
	conn *Conn
	err  error
}

// Set manages the connections to one server. The mutex guards the fields below it.
type Set struct {
	dialer                 Dialer
	address, group, server string

	mu            sync.Mutex
	limit         int
	limitSetAt    boottime.Time // 0 before the first SetLimit
	open          int           // connections that exist or are being opened
	idle          []*Conn
	queue         admission.Queue[chan outcome]
	returns       admission.Returns
	pace          admission.Pace // of replaceable requests
	paceTimer     *time.Timer    // calls serveWaiters when the pace admits a request
	paceTimerAt   boottime.Time  // 0 if the timer does not run
	inUse         map[string]int // by customer
	noGrowthUntil boottime.Time
	closed        bool
	retired       bool // see SetRetired
	awaiting      int  // connections in use on which only an answer is awaited
	window        window
	holdTime      time.Duration // smoothed time for which a connection is in use
	pendingRaise  LimitRaise
	// busy is the total time for which requests held a connection or waited, from busySince up to
	// countedUntil.
	busy                    time.Duration
	busySince, countedUntil boottime.Time
	// replaceableBusy is the part of busy that replaceable requests account for.
	replaceableBusy time.Duration

	dials, evictions   int64
	refused, displaced int64
	dialTime           time.Duration // smoothed
}

// New returns a set without connections that opens at most limit of them.
func New(d Dialer, address, group, server string, limit int) *Set {
	return &Set{dialer: d, address: address, group: group, server: server, limit: limit, inUse: map[string]int{}, dialTime: initialDialTime, window: newWindow(limit), holdTime: initialHoldTime, busySince: boottime.Now(), countedUntil: boottime.Now()}
}

// SetLimit changes the number of connections that the VM may have open. A lower limit applies
// at once, a higher one if it is requested for raiseDelay.
func (s *Set) SetLimit(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := boottime.Now()
	s.countBusy(now)
	s.limit, s.limitSetAt = s.pendingRaise.Next(now, s.limit, n), now
	s.window.setLimit(s.limit)
	for s.open > s.limit && len(s.idle) > 0 {
		s.dropOldest()
	}
}

// countBusy adds the time since the last call for each request that holds a connection or
// waits. It must be called before their numbers change. The mutex is held.
func (s *Set) countBusy(now boottime.Time) {
	passed := now.Sub(s.countedUntil)
	s.busy += passed * time.Duration(s.open-len(s.idle)+s.queue.Len())
	s.replaceableBusy += passed * time.Duration(s.pace.InFlight()+s.queue.Count(isReplaceable))
	s.countedUntil = now
}

// Busy is the mean number of requests that held a connection or waited over the time Over.
type Busy struct {
	All float64
	// Replaceable is the part of the replaceable requests.
	Replaceable float64
	Over        time.Duration
}

// TakeBusy returns the measurement since the last call, and starts a new one.
func (s *Set) TakeBusy() Busy {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := boottime.Now()
	s.countBusy(now)
	over := max(now.Sub(s.busySince), time.Nanosecond)
	b := Busy{All: s.busy.Seconds() / over.Seconds(), Replaceable: s.replaceableBusy.Seconds() / over.Seconds(), Over: over}
	s.busy, s.replaceableBusy, s.busySince = 0, 0, now
	return b
}

// Load describes the conditions for the next request of a customer.
type Load struct {
	// Idle reports that the customer has an idle connection.
	Idle bool
	// InUse and Waiting count requests of this VM at the server.
	InUse, Waiting int
	// CustomerInUse counts the connections that the customer's requests hold.
	CustomerInUse int
	// DialTime is the smoothed time of opening a connection.
	DialTime time.Duration
	// Full reports that a request has to wait for a connection, for about Wait.
	Full bool
	Wait time.Duration
	// PacedWait is how long the most urgent replaceable request has to wait although a connection
	// may be free.
	PacedWait time.Duration
}

// Load returns the present load.
func (s *Set) Load(customer string) Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := Load{InUse: s.open - len(s.idle), Waiting: s.queue.Len(), CustomerInUse: s.inUse[customer], DialTime: s.dialTime}
	for _, c := range s.idle {
		if c.Customer == customer {
			l.Idle = true
		}
	}
	l.Full = !s.window.admits(l.InUse) || !l.Idle && len(s.idle) == 0 && !s.canGrow()
	l.Wait = s.holdTime * time.Duration(s.queue.Len()+1) / time.Duration(s.places())
	now := boottime.Now()
	if r := (Request{Customer: customer, Priority: s.pace.Urgent, Replaceable: true}); s.isPaced(now, r) {
		l.PacedWait = s.queue.Wait(s.entryRequest(now, now, r), s.state(now))
	}
	return l
}

// canGrow reports whether one more connection may be opened.
func (s *Set) canGrow() bool {
	now := boottime.Now()
	return s.open < s.limit && now >= s.noGrowthUntil && (s.limitSetAt == 0 || now.Sub(s.limitSetAt) <= limitLifetime)
}

// places returns the number of statements that the VM may have in flight at the server.
func (s *Set) places() int { return max(1, min(s.window.size(), s.limit)) }

// Acquire returns a connection of the customer. A request that would wait for longer than its
// MaxWait is rejected at once with errkind.QueueFull; so is a waiting one that cannot be served
// in time behind a more urgent arrival. One whose time limit ends gets errkind.QueueTimeout.
func (s *Set) Acquire(ctx context.Context, r Request) (*Conn, error) {
	s.mu.Lock()
	now := boottime.Now()
	s.countBusy(now)
	if s.closed {
		s.mu.Unlock()
		return nil, errkind.New(errkind.Unreachable, "%s is gone", s.server)
	}
	arrived := now
	if !r.KeepsPromise {
		arrived = s.returns.Redeem(now, r.Customer, r.Priority)
	}
	if r.FirstRefused != 0 {
		arrived = min(arrived, r.FirstRefused)
	}
	paced := s.isPaced(now, r)
	if !paced && s.window.admits(s.open-len(s.idle)) {
		request := s.entryRequest(now, arrived, r)
		if c, ok := s.grant(request); ok {
			s.queue.NoteGrant(request, now)
			s.mu.Unlock()
			if c != nil {
				return c, nil
			}
			return s.dial(ctx, r.Customer, r.Replaceable)
		}
	}
	if s.open == 0 && !s.canGrow() {
		s.mu.Unlock()
		return nil, s.limitError()
	}
	w, err := s.enqueue(now, arrived, r)
	s.mu.Unlock()
	if err != nil {
		return nil, err
	}
	return s.wait(ctx, w)
}

// grant returns an idle connection of the customer, or nil and true as permission to open one.
// It returns false if neither is possible. The mutex is held.
func (s *Set) grant(r admission.Request) (*Conn, bool) {
	c := s.takeIdle(r.Customer)
	if c == nil {
		if !s.canGrow() {
			if len(s.idle) == 0 {
				return nil, false
			}
			s.dropOldest()
		}
		s.open++
		s.inUse[r.Customer]++
	} else {
		c.replaceable = r.Replaceable
	}
	if r.Replaceable {
		s.pace.Start(boottime.Now(), r.Priority)
	}
	return c, true
}

func (s *Set) wait(ctx context.Context, w *waiter) (*Conn, error) {
	select {
	case o := <-w.Value:
		if o.err != nil || o.conn != nil {
			return o.conn, o.err
		}
		return s.dial(ctx, w.Customer, w.Replaceable)
	case <-ctx.Done():
	}
	s.mu.Lock()
	s.countBusy(boottime.Now())
	if s.queue.Remove(w) {
		s.mu.Unlock()
		return nil, s.timeoutError()
	}
	s.mu.Unlock()
	// The outcome was decided at the same moment.
	switch o := <-w.Value; {
	case o.err != nil:
		return nil, o.err
	case o.conn != nil:
		o.conn.Release()
	default:
		s.mu.Lock()
		s.forgetConn(w.Customer, w.Replaceable)
		s.mu.Unlock()
	}
	return nil, s.timeoutError()
}

func (s *Set) timeoutError() error {
	return errkind.New(errkind.QueueTimeout, "no connection to %s in time", s.server)
}

func (s *Set) limitError() error { return errkind.New(errkind.ConnectionLimit, "%s", s.server) }

// takeIdle returns the customer's most recently used idle connection. It closes those whose answers
// may no longer match their statements.
func (s *Set) takeIdle(customer string) *Conn {
	for i := len(s.idle) - 1; i >= 0; i-- {
		if c := s.idle[i]; c.Customer == customer {
			s.idle = append(s.idle[:i], s.idle[i+1:]...)
			if m, ok := c.Conn.(matched); ok && !m.Reusable() {
				s.open--
				c.Conn.Close()
				continue
			}
			s.inUse[customer]++
			c.acquiredAt = boottime.Now()
			return c
		}
	}
	return nil
}

// dropOldest closes the idle connection that has been unused for longest.
func (s *Set) dropOldest() {
	c := s.idle[0]
	s.idle = s.idle[1:]
	s.open--
	s.evictions++
	c.Conn.Close()
}

func (s *Set) dial(ctx context.Context, customer string, replaceable bool) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	start := boottime.Now()
	c, err := s.dialer.Dial(ctx, s.address, s.group, s.server, customer)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dials++
	if err == nil && s.closed {
		c.Close()
		err = errkind.New(errkind.Unreachable, "%s is gone", s.server)
	}
	if err != nil {
		s.forgetConn(customer, replaceable)
		if errkind.Is(err, errkind.ConnectionLimit) {
			s.noGrowthUntil = boottime.Now().Add(limitPause)
		}
		return nil, err
	}
	s.dialTime += (boottime.Since(start) - s.dialTime) / 8
	return &Conn{Conn: c, Customer: customer, set: s, replaceable: replaceable, acquiredAt: boottime.Now(), values: map[string]string{}, prepared: map[string]struct{}{}}, nil
}

// forgetConn frees the place of a connection that has ended. The mutex is held.
func (s *Set) forgetConn(customer string, replaceable bool) {
	s.countBusy(boottime.Now())
	s.open--
	s.endUse(customer, replaceable)
	s.serveWaiters()
}

func (s *Set) endUse(customer string, replaceable bool) {
	if replaceable {
		s.pace.End(boottime.Now())
	}
	s.inUse[customer]--
	if s.inUse[customer] <= 0 {
		delete(s.inUse, customer)
	}
}

func (s *Set) hasIdle(customer string) bool {
	for _, c := range s.idle {
		if c.Customer == customer {
			return true
		}
	}
	return false
}

// Release returns a connection to the set.
func (c *Conn) Release() {
	s := c.set
	s.mu.Lock()
	defer s.mu.Unlock()
	s.countBusy(boottime.Now())
	s.endUse(c.Customer, c.replaceable)
	c.endAwaiting()
	repeated := c.HasRepeated()
	if s.closed || s.retired || s.open > s.limit || repeated {
		s.open--
		c.Conn.Close()
		if s.retired || repeated {
			s.serveWaiters() // status requests, or one that may open a connection in its place
		}
		return
	}
	s.holdTime += (boottime.Since(c.acquiredAt) - s.holdTime) / holdSmoothing
	c.releasedAt = boottime.Now()
	c.forgetLargeValues()
	s.idle = append(s.idle, c)
	s.serveWaiters()
}

// CloseIdle closes connections that have been idle for longer than d, so that other VMs can
// use the places.
func (s *Set) CloseIdle(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.idle) > 0 && boottime.Since(s.idle[0].releasedAt) > d {
		s.dropOldest()
	}
}

// Discard closes a connection that cannot be used any more.
func (c *Conn) Discard() {
	c.Conn.Close()
	c.set.mu.Lock()
	defer c.set.mu.Unlock()
	c.endAwaiting()
	c.set.forgetConn(c.Customer, c.replaceable)
}

// AwaitLateAnswer waits in the background for an answer whose caller has given up, and then
// releases the connection. late, if not nil, receives the answer.
func (c *Conn) AwaitLateAnswer(texts Texts, late func(statement.Result)) {
	c.MarkAwaiting()
	go func() {
		r, err := c.Conn.Receive(lateAnswerTimeout)
		if err != nil {
			c.Discard()
			return
		}
		if late != nil {
			late(r)
		}
		c.RollbackAndRelease(texts)
	}()
}

// RollbackAndRelease ends a transaction, if one may be open, and releases the connection. The
// next user reads the answer to the rollback. If the server gets no more work, or has repeated an
// answer, the connection is closed instead.
func (c *Conn) RollbackAndRelease(texts Texts) {
	if c.HasRepeated() || !c.mayRollBack() {
		c.Discard()
		return
	}
	if err := c.Conn.Send(statement.Command{Text: texts.Rollback(), State: statement.Idle}); err != nil {
		c.Discard()
		return
	}
	c.unread++
	c.Release()
}

// MarkDirty records that the state of the session at the server is unknown.
func (c *Conn) MarkDirty() { c.dirty = true }

// TakeChanged reports whether setup commands were sent since the last call.
func (c *Conn) TakeChanged() bool {
	changed := c.changed
	c.changed = false
	return changed
}

// Usable reports whether the idle connection appears to be open.
func (c *Conn) Usable() bool { return c.unread > 0 || c.Conn.Alive() }

// Close closes all idle connections and rejects new requests. Connections in use are closed
// when they are released.
func (s *Set) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, c := range s.idle {
		s.open--
		c.Conn.Close()
	}
	s.idle = nil
	for _, w := range s.queue.Clear() {
		w.Value <- outcome{err: errkind.New(errkind.Unreachable, "%s is gone", s.server)}
	}
}

// Stats holds the counters of a set.
type Stats struct {
	Open, Idle, Waiting int
	Limit               int
	Dials, Evictions    int64
	DialTime            time.Duration
	// Refused counts the requests refused on arrival, Displaced those refused in favour of a
	// more urgent one.
	Refused, Displaced int64
	// ReplaceableLimit is the limit of replaceable requests in flight, -1 for none.
	ReplaceableLimit float64
}

// Stats returns the counters.
func (s *Set) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Stats{
		Open: s.open, Idle: len(s.idle), Waiting: s.queue.Len(), Limit: s.limit, Dials: s.dials, Evictions: s.evictions, DialTime: s.dialTime,
		Refused: s.refused, Displaced: s.displaced, ReplaceableLimit: s.pace.Limit(),
	}
}
