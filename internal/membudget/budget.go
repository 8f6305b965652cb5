package membudget

import (
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"chicoryline/internal/boottime"
	"chicoryline/internal/errkind"
)

const (
	// recheckInterval is how often a waiting reservation looks for a connection that has become
	// stalled.
	recheckInterval = 100 * time.Millisecond
	// maxLinesPerSecond limits the log lines for closed connections.
	maxLinesPerSecond = 10
)

// Reasons for closing a connection.
const (
	// ReasonMemory means that the memory for callers was used up.
	ReasonMemory = "memory"
	// ReasonConnections means that there were too many connections.
	ReasonConnections = "connections"
	// ReasonMessageTimeout means that a message was not completed in time.
	ReasonMessageTimeout = "message_timeout"
	// ReasonWriteTimeout means that an answer was not read in time.
	ReasonWriteTimeout = "write_timeout"
	// ReasonTooLarge means that a message exceeded the limit of the protocol.
	ReasonTooLarge = "too_large"
)

// Budget applies limits to the connections of a process. A nil Budget has no limits. The mutex
// guards the fields below it.
type Budget struct {
	log *logrus.Entry

	mu     sync.Mutex
	ledger *ledger
	// changed is closed, and replaced, when memory was released or a connection was evicted.
	changed chan struct{}
	waiting int
	closed  map[string]int64 // connections closed, by reason
	second  boottime.Time
	lines   int
}

// New returns a budget, or nil if nothing is limited.
func New(l Limits) *Budget {
	if l.Bytes <= 0 && l.Connections <= 0 {
		return nil
	}
	return &Budget{log: logrus.NewEntry(logrus.StandardLogger()), ledger: newLedger(l), changed: make(chan struct{}), closed: map[string]int64{}}
}

// LogTo sets the log for connections that are closed. It must be called before the budget is used.
func (b *Budget) LogTo(log *logrus.Entry) {
	if b != nil {
		b.log = log
	}
}

// Limits returns the limits.
func (b *Budget) Limits() Limits {
	if b == nil {
		return Limits{}
	}
	return b.ledger.limits
}

// Open adds a connection. It may close another one instead, and returns nil if the new one has
// to be closed. The function closes the connection's socket; it may be called from another
// goroutine at any time until Close.
func (b *Budget) Open(remote string, closeConn func()) *Account {
	a := &Account{Remote: remote, close: closeConn}
	if b == nil {
		return a
	}
	b.mu.Lock()
	victim := b.ledger.open(boottime.Now(), a)
	b.mu.Unlock()
	b.evict(victim, ReasonConnections)
	if victim == a {
		return nil
	}
	return a
}

// NewHolder returns an account for memory that belongs to no single connection of a caller.
// Nothing is closed to release it, and it does not count as a connection.
func NewHolder(name string) *Account { return &Account{Remote: name, shared: true} }

// Part is an account whose reservations do not wait.
type Part struct {
	budget  *Budget
	account *Account
}

// NewPart returns a part of the budget for memory that belongs to no single connection.
func (b *Budget) NewPart(name string) Part { return Part{b, NewHolder(name)} }

// PartOf returns the part of the budget that a connection takes.
func (b *Budget) PartOf(a *Account) Part { return Part{b, a} }

// Reserve fails with the errors of Budget.Reserve if there is no room for n more bytes.
func (p Part) Reserve(n int64) error { return p.budget.Reserve(p.account, n, 0) }

// Release gives up n bytes.
func (p Part) Release(n int64) { p.budget.Release(p.account, n) }

// Close removes a connection and what it holds.
func (b *Budget) Close(a *Account) {
	b.change(func(now boottime.Time) { b.ledger.remove(now, a) })
}

// Started records that the caller has a session.
func (b *Budget) Started(a *Account) { b.update(func(boottime.Time) { a.started = true }) }

// Begin records that the caller began to send a message.
func (b *Budget) Begin(a *Account) { b.update(func(now boottime.Time) { a.since = now }) }

// Done records that a message was received or an answer was read by the caller. pinned protects
// the connection from being closed until the next call.
func (b *Budget) Done(a *Account, pinned bool) {
	b.update(func(now boottime.Time) {
		a.since, a.pinned = now, pinned
		a.steps++
	})
}

// Unpin ends the protection of a connection whose answer is about to be written.
func (b *Budget) Unpin(a *Account) {
	b.update(func(now boottime.Time) { a.since, a.pinned = now, false })
}

// Reserve waits until the connection may hold n more bytes, for at most the given time. Errors:
// errkind.MessageTooLarge if one connection may not hold as much; errkind.QueueFull if there was
// no room in time or this connection was chosen to be closed.
func (b *Budget) Reserve(a *Account, n int64, limit time.Duration) error {
	if b == nil {
		return nil
	}
	deadline := boottime.Now().Add(limit)
	for {
		now := boottime.Now()
		b.mu.Lock()
		v, victim := b.ledger.reserve(now, a, n)
		retry := b.ledger.retryAfter(now, n)
		changed := b.changed
		waits := v == mustWait && now < deadline
		if waits {
			b.waiting++
		}
		b.mu.Unlock()
		b.evict(victim, ReasonMemory)
		switch {
		case v == granted:
			return nil
		case v == overOwnLimit:
			return errkind.New(errkind.MessageTooLarge, "a connection may hold %d bytes", b.ledger.limits.ConnBytes)
		case v == closed:
			return errkind.New(errkind.QueueFull, "memory for callers is used up, connection is closed; retry after %d ms", retry.Milliseconds())
		case !waits:
			return errkind.New(errkind.QueueFull, "memory for callers is used up; retry after %d ms", retry.Milliseconds())
		}
		b.await(changed, min(deadline.Sub(now), recheckInterval))
	}
}

// await waits for a change, for at most the given time. The waiting reservation is counted.
func (b *Budget) await(changed chan struct{}, limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	}
	b.update(func(boottime.Time) { b.waiting-- })
}

// Add records n bytes that the connection holds already. If that exceeds the limits, other
// connections are closed.
func (b *Budget) Add(a *Account, n int64) {
	b.update(func(boottime.Time) { b.ledger.add(a, n) })
	for b != nil {
		b.mu.Lock()
		victim := b.ledger.overdrawn(boottime.Now())
		b.mu.Unlock()
		if victim == nil {
			return
		}
		b.evict(victim, ReasonMemory)
	}
}

// Release gives up n bytes of the connection.
func (b *Budget) Release(a *Account, n int64) {
	if n > 0 {
		b.change(func(now boottime.Time) { b.ledger.release(now, a, n) })
	}
}

// evict closes the connection, if there is one, and wakes waiting reservations, one of which may
// be its own.
func (b *Budget) evict(a *Account, reason string) {
	if a == nil {
		return
	}
	b.NoteClosed(a, reason)
	a.close()
	b.change(func(boottime.Time) {})
}

// NoteClosed counts and logs that a connection is closed because of a limit.
func (b *Budget) NoteClosed(a *Account, reason string) {
	if b == nil {
		return
	}
	b.mu.Lock()
	now := boottime.Now()
	b.closed[reason]++
	if now.Sub(b.second) >= time.Second {
		b.second, b.lines = now, 0
	}
	b.lines++
	log := b.lines <= maxLinesPerSecond
	if !log {
		b.closed["not_logged"]++
	}
	fields := logrus.Fields{
		"event": "caller_closed", "reason": reason, "remote": a.Remote, "held_bytes": a.held, "completed": a.steps,
		"stalled_ms": now.Sub(a.since).Milliseconds(), "used_bytes": b.ledger.used, "connections": len(b.ledger.accounts),
	}
	b.mu.Unlock()
	if log {
		b.log.WithFields(fields).Warn("connection is closed")
	}
}

// Lines returns the metrics, one "name value" each.
func (b *Budget) Lines() []string {
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.ledger
	line := func(name string, value int64) string { return "callers." + name + " " + strconv.FormatInt(value, 10) }
	lines := []string{
		line("connections", int64(len(l.accounts))), line("max_connections", int64(l.limits.Connections)),
		line("held_bytes", l.used), line("max_held_bytes", l.limits.Bytes), line("waiting", int64(b.waiting)),
	}
	for reason, n := range b.closed {
		lines = append(lines, line("closed."+reason, n))
	}
	return lines
}

// update applies a change that makes no room.
func (b *Budget) update(apply func(now boottime.Time)) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	apply(boottime.Now())
}

// change applies a change that may make room.
func (b *Budget) change(apply func(now boottime.Time)) {
	b.update(func(now boottime.Time) {
		apply(now)
		if b.waiting > 0 {
			close(b.changed)
			b.changed = make(chan struct{})
		}
	})
}
