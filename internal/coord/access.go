package coord

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"chicoryline/internal/boottime"
	"chicoryline/internal/errkind"
)

const (
	// lostAfterFailures is the number of failed calls, each sent after the one before had
	// failed, after which the store counts as lost: some stores refuse single calls.
	lostAfterFailures = 3
	// lostAfterSilence is the duration of a failed call after which the store counts as lost at
	// once. It is below the timeout of a call and above the duration of a slow answer.
	lostAfterSilence = 700 * time.Millisecond
	// lostLifetime is how long a VM that makes no calls counts as having lost the store.
	lostLifetime = 10 * time.Second
	// pauseJitter is the part by which a pause is shortened or extended at random.
	pauseJitter = 0.25
)

// Pauses bounds the pauses between two calls of a VM that gets no answers from the store. The
// first pause is Shortest, and each further failed call doubles it up to Longest.
type Pauses struct{ Shortest, Longest time.Duration }

// after returns the pause after a number of failed calls; draw is a random number from 0 to 1.
func (p Pauses) after(failures int, draw float64) time.Duration {
	pause := p.Shortest
	for ; failures > 1 && pause < p.Longest; failures-- {
		pause *= 2
	}
	return time.Duration(float64(min(pause, p.Longest)) * (1 - pauseJitter + 2*pauseJitter*draw))
}

// accessState decides when a VM that gets no answers from the store calls it again, and when it
// counts as having lost the store.
//
// Load pattern: for 9 s the store refuses, resets or ignores the calls of some VMs and serves the
// others. Each of such a VM's five watches, its proofs and its rosters would be repeated by
// itself, 9 calls a second.
type accessState struct {
	failures int
	// failedAt is when the last failed call ended, next the earliest time for another one.
	failedAt, next boottime.Time
	// pauses are those from which next was computed.
	pauses Pauses
	lost   bool
}

// isFailing reports whether the last call failed.
func (a *accessState) isFailing() bool { return a.failures > 0 }

// isLost reports whether other VMs should read the store instead of this one.
func (a *accessState) isLost(now boottime.Time) bool {
	return a.lost && now.Sub(a.failedAt) < lostLifetime
}

// admit reports whether the store may be called now. If calls fail, it admits one in each pause.
func (a *accessState) admit(now boottime.Time, p Pauses, draw float64) bool {
	if !a.isFailing() {
		return true
	}
	if p != a.pauses { // the VM has another role now
		a.next, a.pauses = min(a.next, a.failedAt.Add(p.after(a.failures, draw))), p
	}
	if now < a.next {
		return false
	}
	a.next = now.Add(p.after(a.failures, draw))
	return true
}

// succeed records an answer of the store. It reports whether the store was lost.
func (a *accessState) succeed() (wasLost bool) {
	wasLost = a.lost
	*a = accessState{}
	return wasLost
}

// fail records a call without an answer or with a refusal. Calls that were already in flight when
// another one failed count as one with it. It reports whether the store has become lost.
func (a *accessState) fail(start, now boottime.Time, isWatch bool, p Pauses, draw float64) (becameLost bool) {
	if a.failures == 0 || start >= a.failedAt {
		a.failures++
		a.next, a.pauses = now.Add(p.after(a.failures, draw)), p
	}
	a.failedAt = now
	silent := !isWatch && now.Sub(start) >= lostAfterSilence
	if a.lost || a.failures < lostAfterFailures && !silent {
		return false
	}
	a.lost = true
	return true
}

// Access is a Store that spaces this VM's calls while it gets no answers from the store. Calls that
// are not admitted fail with PlatformUnavailable. The mutex guards the fields below it.
type Access struct {
	store Store
	// Pauses returns the bounds of the pauses between two calls.
	Pauses func() Pauses
	// Timeout bounds a call while the store does not answer.
	Timeout time.Duration
	Log     *logrus.Entry

	mu        sync.Mutex
	state     accessState
	changedAt boottime.Time // when the store was lost or regained
	onLost    []func()
	withheld  int64
}

// NewAccess returns an Access to the store.
func NewAccess(store Store, timeout time.Duration, pauses func() Pauses, log *logrus.Entry) *Access {
	return &Access{store: store, Timeout: timeout, Pauses: pauses, Log: log}
}

// IsLost reports whether this VM gets no answers from the store.
func (a *Access) IsLost() bool {
	if a == nil {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state.isLost(boottime.Now())
}

// ChangedWithin reports whether the store was lost or regained within the given time.
func (a *Access) ChangedWithin(d time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.changedAt != 0 && boottime.Since(a.changedAt) < d
}

// Withheld returns the number of calls that were not admitted.
func (a *Access) Withheld() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.withheld
}

// OnLost adds a function that is called when the store was lost.
func (a *Access) OnLost(f func()) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.onLost = append(a.onLost, f)
}

// admit reports whether a call may be made, and whether calls are failing.
func (a *Access) admit() (failing bool, err error) {
	pauses := a.Pauses() // takes other locks
	a.mu.Lock()
	defer a.mu.Unlock()
	failing = a.state.isFailing()
	if !a.state.admit(boottime.Now(), pauses, rand.Float64()) {
		a.withheld++
		return failing, errkind.New(errkind.PlatformUnavailable, "the store is not called again yet after %d failed calls", a.state.failures)
	}
	return failing, nil
}

// record records the outcome of a call. One that this VM canceled says nothing.
func (a *Access) record(ctx context.Context, start boottime.Time, isWatch bool, err error) {
	failed := errkind.Is(err, errkind.PlatformUnavailable) || errkind.Is(err, errkind.PlatformUnknown)
	if failed && ctx.Err() == context.Canceled {
		return
	}
	pauses := a.Pauses()
	a.mu.Lock()
	now := boottime.Now()
	var notify []func()
	if !failed {
		if a.state.succeed() {
			a.changedAt = now
			a.Log.WithField("event", "store_access").Info("regained")
		}
	} else if a.state.fail(start, now, isWatch, pauses, rand.Float64()) {
		a.changedAt = now
		notify = a.onLost
		a.Log.WithFields(logrus.Fields{"event": "store_access", "cause": err.Error()}).Warn("lost")
	}
	a.mu.Unlock()
	for _, f := range notify {
		f()
	}
}

// Rows implements Store.
func (a *Access) Rows(ctx context.Context, table string) ([]Row, Version, error) {
	if _, err := a.admit(); err != nil {
		return nil, 0, err
	}
	return a.Unpaced().Rows(ctx, table)
}

// Watch implements Store. While calls fail it does not wait for a change: the answer shows whether
// the store answers again.
func (a *Access) Watch(ctx context.Context, table string, after Version, wait time.Duration) ([]Row, Version, error) {
	failing, err := a.admit()
	if err != nil {
		return nil, 0, err
	}
	if failing {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, a.Timeout)
		defer cancel()
		wait = 0
	}
	return a.Unpaced().Watch(ctx, table, after, wait)
}

// Apply implements Store.
func (a *Access) Apply(ctx context.Context, c Change) (Version, error) {
	if _, err := a.admit(); err != nil {
		return 0, err
	}
	return a.Unpaced().Apply(ctx, c)
}

// Unpaced returns the store for calls that are made in any case. Their outcomes are recorded, so
// that an answer ends the pauses of the others.
func (a *Access) Unpaced() Store { return unpaced{a} }

type unpaced struct{ access *Access }

// Rows implements Store.
func (u unpaced) Rows(ctx context.Context, table string) ([]Row, Version, error) {
	start := boottime.Now()
	rows, version, err := u.access.store.Rows(ctx, table)
	u.access.record(ctx, start, false, err)
	return rows, version, err
}

// Watch implements Store.
func (u unpaced) Watch(ctx context.Context, table string, after Version, wait time.Duration) ([]Row, Version, error) {
	start := boottime.Now()
	rows, version, err := u.access.store.Watch(ctx, table, after, wait)
	u.access.record(ctx, start, wait > 0, err)
	return rows, version, err
}

// Apply implements Store.
func (u unpaced) Apply(ctx context.Context, c Change) (Version, error) {
	start := boottime.Now()
	version, err := u.access.store.Apply(ctx, c)
	u.access.record(ctx, start, false, err)
	return version, err
}
