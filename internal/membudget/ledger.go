// Package membudget accounts for the memory and the connections that callers can take of a
// process, and decides which connection is closed when either is used up.
//
// Load: some hundred connections, of which a crowd holds up to 1 MiB each in messages that stop
// half-way or in answers that nobody reads, beside ordinary ones that hold a few hundred bytes
// for milliseconds or nothing for hours.
package membudget

import (
	"math/bits"
	"time"

	"chicoryline/internal/boottime"
)

const (
	// smallBytes is the size up to which a reservation may use the whole budget. Larger ones
	// leave 1/largeReserveFraction of it free, so that they do not delay small messages.
	smallBytes           = 64 << 10
	largeReserveFraction = 8
	// stallTime is how long a connection is left to finish its message or answer before it may
	// be closed in favor of others. 1 MiB takes 0.84 s at 10 Mbit/s, the slowest link.
	stallTime = time.Second
	// scanInterval is the pause after a search that found no stalled connection. Each release of
	// memory wakes all waiting reservations, and each of them would search again.
	scanInterval = 50 * time.Millisecond
	// minRetry and maxRetry bound the time after which a refused caller is told to retry. A
	// statement takes at most 2 s, and its memory is free after it.
	minRetry = 20 * time.Millisecond
	maxRetry = 2 * time.Second
)

// Limits bounds what all callers of a process take together; 0 means no limit.
type Limits struct {
	// Bytes bounds the memory of messages, answers and session state.
	Bytes int64
	// ConnBytes bounds the part of one connection.
	ConnBytes int64
	// Connections bounds the open connections.
	Connections int
}

// Account is what one connection takes.
type Account struct {
	// Remote names the connection in events.
	Remote string
	// close closes the connection's socket.
	close func()

	held int64
	// steps counts the messages and answers that were completed. since is when the present one
	// began or, if there is none, the last one was completed.
	steps uint64
	since boottime.Time
	// started is set once the caller has a session.
	started bool
	// pinned protects the connection while a statement of it runs or its outcome is written.
	pinned bool
	// shared is set on an account that belongs to no single connection.
	shared bool
	// evicted is set once the connection was chosen to be closed.
	evicted bool
}

// ledger holds the accounts and decides. It does no I/O and must not be used concurrently.
type ledger struct {
	limits   Limits
	accounts map[*Account]struct{}
	used     int64
	// leaving is the part of used that is held by evicted connections, and leavingConns their
	// number.
	leaving      int64
	leavingConns int
	releases     releaseRate
	// nextScan is when stalled connections are searched again.
	nextScan boottime.Time
}

func newLedger(l Limits) *ledger { return &ledger{limits: l, accounts: map[*Account]struct{}{}} }

// open adds a connection. If there are too many, it returns the one to close instead, which is
// the new one itself if no other may be closed.
func (l *ledger) open(now boottime.Time, a *Account) (victim *Account) {
	a.since = now
	if n := l.limits.Connections; n > 0 && len(l.accounts)-l.leavingConns >= n {
		for other := range l.accounts {
			if !other.pinned && !other.evicted && (victim == nil || isClosedBefore(other, victim)) {
				victim = other
			}
		}
		if victim == nil {
			return a
		}
		l.evict(victim)
	}
	l.accounts[a] = struct{}{}
	return victim
}

// isClosedBefore orders connections for the case that there are too many: those without a
// session first, then those with the fewest completed messages, by powers of two, then those
// that have been idle for longest.
func isClosedBefore(a, b *Account) bool {
	if a.started != b.started {
		return b.started
	}
	if x, y := bits.Len64(a.steps), bits.Len64(b.steps); x != y {
		return x < y
	}
	return a.since < b.since
}

// verdict is the decision on a reservation.
type verdict uint8

const (
	granted verdict = iota
	// mustWait means that memory has to be released first.
	mustWait
	// overOwnLimit means that the connection holds all that one may hold.
	overOwnLimit
	// closed means that the connection has been chosen to be closed.
	closed
)

// reserve decides whether the connection may hold n more bytes. If a connection has to be closed
// to make room, it returns that one as well.
func (l *ledger) reserve(now boottime.Time, a *Account, n int64) (v verdict, victim *Account) {
	switch {
	case a.evicted:
		return closed, nil
	case l.limits.ConnBytes > 0 && !a.shared && a.held+n > l.limits.ConnBytes:
		return overOwnLimit, nil
	case l.fits(l.used, n):
		l.add(a, n)
		return granted, nil
	case l.fits(l.used-l.leaving, n):
		return mustWait, nil
	}
	victim = l.largest(now)
	if victim == nil {
		return mustWait, nil
	}
	l.evict(victim)
	if victim == a {
		return closed, victim
	}
	return mustWait, victim
}

// fits reports whether n more bytes may be reserved beside the used ones.
func (l *ledger) fits(used, n int64) bool {
	limit := l.limits.Bytes
	if limit <= 0 {
		return true
	}
	if n > smallBytes {
		limit -= limit / largeReserveFraction
	}
	return used+n <= limit
}

// add records bytes that the connection already holds, whatever the limits.
func (l *ledger) add(a *Account, n int64) {
	a.held += n
	l.used += n
	if a.evicted {
		l.leaving += n
	}
}

// overdrawn returns a connection to close if more is held than the limit allows, nil otherwise.
func (l *ledger) overdrawn(now boottime.Time) *Account {
	if l.limits.Bytes <= 0 || l.used-l.leaving <= l.limits.Bytes {
		return nil
	}
	victim := l.largest(now)
	if victim != nil {
		l.evict(victim)
	}
	return victim
}

// release gives up n bytes of the connection.
func (l *ledger) release(now boottime.Time, a *Account, n int64) {
	n = min(n, a.held)
	l.add(a, -n)
	l.releases.count(now, n)
}

// remove ends the account.
func (l *ledger) remove(now boottime.Time, a *Account) {
	if _, ok := l.accounts[a]; !ok {
		return
	}
	l.release(now, a, a.held)
	delete(l.accounts, a)
	if a.evicted {
		l.leavingConns--
	}
}

// largest returns the stalled connection that holds most and has moved least: the largest
// holding, by powers of two, then the longest time since a message or answer was completed. It
// returns nil if there is none.
func (l *ledger) largest(now boottime.Time) *Account {
	if now < l.nextScan {
		return nil
	}
	var worst *Account
	for a := range l.accounts {
		if a.held > 0 && !a.pinned && !a.evicted && now.Sub(a.since) >= stallTime && (worst == nil || isLarger(a, worst)) {
			worst = a
		}
	}
	if worst == nil {
		l.nextScan = now.Add(scanInterval)
	}
	return worst
}

func isLarger(a, b *Account) bool {
	if x, y := bits.Len64(uint64(a.held)), bits.Len64(uint64(b.held)); x != y {
		return x > y
	}
	return a.since < b.since
}

func (l *ledger) evict(a *Account) {
	a.evicted = true
	l.leaving += a.held
	l.leavingConns++
}

// releaseRate measures the bytes released in a second.
type releaseRate struct {
	second        boottime.Time
	present, last int64
}

func (r *releaseRate) count(now boottime.Time, n int64) {
	switch since := now.Sub(r.second); {
	case since >= 2*time.Second:
		r.second, r.last, r.present = now, 0, 0
	case since >= time.Second:
		r.second, r.last, r.present = now, r.present, 0
	}
	r.present += n
}

// retryAfter returns when n bytes are expected to be free at the present rate of releases.
func (l *ledger) retryAfter(now boottime.Time, n int64) time.Duration {
	l.releases.count(now, 0)
	missing := l.used + n - l.limits.Bytes
	rate := max(l.releases.last, l.releases.present)
	if missing <= 0 {
		return minRetry
	}
	if rate == 0 {
		return maxRetry
	}
	return min(max(time.Duration(float64(missing)/float64(rate)*float64(time.Second)), minRetry), maxRetry)
}
