// Package coord describes the store that all VMs share and follows its tables.
package coord

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"chicoryline/internal/boottime"
	"chicoryline/internal/errkind"
)

// Row is one row of a table.
type Row struct {
	Table   string
	Key     string
	Value   []byte
	Version uint64
	// Deleted marks a row that is gone, in answers of Watch.
	Deleted bool
	// After is set by a Follower: the row changed later than that. 0 is not known.
	After boottime.Time
}

// Condition is a row version that must hold; version 0: the row does not exist.
type Condition struct {
	Table   string
	Key     string
	Version uint64
}

// Change is an atomic change of rows.
type Change struct {
	If      []Condition
	Put     []Row
	Deletes []Row
}

// Store is the shared transactional table service. Errors are
// errkind.PlatformUnavailable (surely no effect), errkind.PlatformUnknown (the
// effect may come, even later), errkind.Conflict and errkind.HistoryGone.
type Store interface {
	// Rows returns all rows of the table and the version they are as of.
	Rows(ctx context.Context, table string) ([]Row, uint64, error)
	// Watch returns the changes after the version, waiting up to wait for one.
	Watch(ctx context.Context, table string, after uint64, wait time.Duration) ([]Row, uint64, error)
	// Apply makes the change and returns the version that its rows have now.
	Apply(ctx context.Context, c Change) (uint64, error)
}

// Follower keeps up with one table.
type Follower struct {
	Store Store
	Table string
	// Wait is how long one call waits for a change.
	Wait time.Duration
	// Timeout bounds a call beyond Wait.
	Timeout time.Duration
	// ChangePause is the least time from a change to the next call.
	ChangePause time.Duration
	// ProofAge, if set, is how long after the last proof the store is asked beside the
	// watch: one without an answer may be lost.
	MaxProofAge time.Duration
	// Reset takes the whole table after a gap, Update a change, both in order.
	Reset  func([]Row)
	Update func([]Row)
	// Proof, if set, is told that all changes up to the moment have been delivered.
	Proof func(boottime.Time)
	// Copies, if set, takes what the store says, for other VMs.
	Copies *Copies
	// Relay, if set, is asked instead of the store while it names a VM that answers.
	Relay *Relay
	Log   *logrus.Entry

	isFailing bool

	// mu guards the fields below it and the order of Reset and Update.
	mu      sync.Mutex
	version uint64
	loaded  bool
	// provedAt is a moment up to which all changes have been delivered.
	provedAt boottime.Time
	// cancelWatch ends the watch that is under way.
	cancelWatch context.CancelFunc
}

const (
	// minRetryPause and lastPause bound the pause after a failed call; the last is a
	// quarter of the shortest lease that rests on a follower.
	minRetryPause = 50 * time.Millisecond
	maxRetryPause = 800 * time.Millisecond
	// minRelayRetryPause and lastRelayPause are those of a VM that reads from another one:
	// what it needs first, the proof of the configuration, comes by news.
	minRelayRetryPause = 400 * time.Millisecond
	maxRelayRetryPause = 2 * time.Second
	// relayWatchWait is how long one call of another VM waits for a change. A VM that is
	// lost meanwhile is noticed within this time at the latest.
	relayWatchWait = 2500 * time.Millisecond
	// relayStartTimeout is how long a VM that starts waits for the one that it reads from to
	// have the table: reading it takes 10 ms, and through two VMs the choice of the first
	// takes two rounds of news. relayPoll is the pause between two tries.
	relayStartTimeout = 2500 * time.Millisecond
	relayPollInterval = 100 * time.Millisecond
	// proofPollInterval is the pause between two looks at the age of the proof.
	proofPollInterval = 200 * time.Millisecond
)

// Run follows the table until the context ends.
func (f *Follower) Run(ctx context.Context) {
	if f.MaxProofAge > 0 {
		go f.keepProofFresh(ctx)
	}
	pause := minRetryPause
	for ctx.Err() == nil {
		err := f.step(ctx)
		if err == nil {
			f.logHealthChange(nil)
			pause = minRetryPause
			continue
		}
		if ctx.Err() != nil {
			return
		}
		f.logHealthChange(err)
		if errkind.Is(err, errkind.HistoryGone) {
			f.mu.Lock()
			f.loaded = false
			f.mu.Unlock()
			pause = minRetryPause
		}
		select {
		case <-ctx.Done():
		case <-time.After(f.retryPause(pause)):
		}
		pause = min(2*pause, maxRelayRetryPause)
	}
}

// retryPause returns the pause after a failed call: a longer one for a VM that can read
// from another, so that an outage of the store does not bring calls of the whole fleet.
func (f *Follower) retryPause(pause time.Duration) time.Duration {
	f.mu.Lock()
	loaded := f.loaded
	f.mu.Unlock()
	if _, ok := f.relaySource(); ok && loaded {
		return max(pause, minRelayRetryPause)
	}
	return min(pause, maxRetryPause)
}

// keepProofFresh asks the store before the proof at hand gets older than ProofAge.
func (f *Follower) keepProofFresh(ctx context.Context) {
	pause := proofPollInterval
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		f.mu.Lock()
		due := f.loaded && boottime.Since(f.provedAt) >= f.MaxProofAge
		f.mu.Unlock()
		if _, relayed := f.relaySource(); relayed || !due {
			pause = proofPollInterval
			continue
		}
		if err := f.CatchUp(ctx); err != nil {
			pause = min(2*pause, maxRetryPause)
			continue
		}
		pause = proofPollInterval
	}
}

func (f *Follower) logHealthChange(err error) {
	failing := err != nil
	if failing == f.isFailing {
		return
	}
	f.isFailing = failing
	entry := f.Log.WithFields(logrus.Fields{"event": "store_watch", "table": f.Table, "store_version": f.version})
	if failing {
		entry.WithField("cause", err.Error()).Warn("lost")
		return
	}
	entry.Info("regained")
}

func (f *Follower) step(ctx context.Context) error {
	if !f.Loaded() {
		return f.load(ctx)
	}
	changed, relayed, err := f.watch(ctx, f.Wait)
	if changed && !relayed && f.ChangePause > 0 {
		select {
		case <-ctx.Done():
		case <-time.After(f.ChangePause):
		}
	}
	return err
}

// load reads the whole table.
func (f *Follower) load(ctx context.Context) error {
	if f.loadRelayed(ctx) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, f.Timeout)
	defer cancel()
	start := boottime.Now()
	rows, version, err := f.Store.Rows(ctx, f.Table)
	if err != nil {
		return err
	}
	f.reset(TableState{Rows: rows, Version: version, Proved: start})
	f.recordStoreContact(start)
	return nil
}

// loadRelayed reads the whole table from another VM. It is false if the store has to be
// asked.
//
// Load pattern: 295 VMs start within 0.3 s. The VM that they read from has not read its
// tables yet, and each of the others would read all of them from the store, twice. A VM
// that has no table at all waits for the one that it reads from, if that one answers.
func (f *Follower) loadRelayed(ctx context.Context) bool {
	for start := boottime.Now(); ; {
		address, ok := f.relaySource()
		if !ok {
			return false
		}
		call, cancel := context.WithTimeout(ctx, f.Timeout)
		a, err := f.Relay.Rows(call, address, f.Table)
		cancel()
		if err == nil && f.reset(a) {
			f.recordRelayedContact(a)
			return true
		}
		f.mu.Lock()
		isNew := f.version == 0
		f.mu.Unlock()
		if !isNew || !errkind.Is(err, errkind.PlatformUnavailable) || boottime.Since(start) >= relayStartTimeout {
			f.logStoreFallback(address, err)
			return false
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(relayPollInterval):
		}
	}
}

// TableState is rows as of a version; Proved is a moment up to which it has all changes, 0
// if none is known.
type TableState struct {
	Rows    []Row
	Version uint64
	Proved  boottime.Time
	// Contact is a moment at which the store answered who gave the rows, 0 if none is
	// known.
	Contact boottime.Time
}

// reset takes the whole table unless it is older than what is at hand.
func (f *Follower) reset(a TableState) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if a.Version < f.version {
		return false
	}
	f.Reset(f.setChangedAfter(a.Rows))
	f.version, f.loaded, f.provedAt = a.Version, true, max(f.provedAt, a.Proved)
	if f.Copies != nil {
		f.Copies.reset(f.Table, a.Rows, a.Version, f.provedAt)
	}
	return true
}

// setChangedAfter notes in each row that is new after which moment it has changed. The mutex is
// held.
func (f *Follower) setChangedAfter(rows []Row) []Row {
	for i := range rows {
		rows[i].After = 0
		if rows[i].Version > f.version {
			rows[i].After = f.provedAt
		}
	}
	return rows
}

// relaySource returns the VM to read from instead of the store.
func (f *Follower) relaySource() (address string, ok bool) {
	if f.Relay == nil {
		return "", false
	}
	return f.Relay.Source()
}

func (f *Follower) logStoreFallback(address string, err error) {
	cause := "older than what is known"
	if err != nil {
		cause = err.Error()
	}
	f.Log.WithFields(logrus.Fields{"event": "store_watch", "table": f.Table, "store_version": f.version, "address": address, "cause": cause}).Info("read from the store")
}

// recordStoreContact records that the store has answered a call that was sent at the moment.
func (f *Follower) recordStoreContact(start boottime.Time) {
	if f.Copies != nil {
		f.Copies.recordStoreContact(start)
	}
	if f.Proof != nil {
		f.Proof(start)
	}
}

// recordRelayedContact records what another VM's answer says of its contact with the store.
func (f *Follower) recordRelayedContact(a TableState) {
	if f.Copies != nil {
		f.Copies.recordRelayedContact(a.Contact)
	}
}

// Loaded reports whether the table has been read.
func (f *Follower) Loaded() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.loaded
}

// watch delivers the changes since the version at hand; relayed tells that another VM
// gave them.
func (f *Follower) watch(ctx context.Context, wait time.Duration) (changed, relayed bool, err error) {
	f.mu.Lock()
	after := f.version
	f.mu.Unlock()
	if address, ok := f.relaySource(); ok {
		call, cancel := context.WithTimeout(ctx, relayWatchWait+f.Timeout)
		a, err := f.Relay.Watch(call, address, f.Table, after, min(wait, relayWatchWait))
		cancel()
		if err == nil || errkind.Is(err, errkind.HistoryGone) {
			f.recordRelayedContact(a)
			return f.update(a), true, err
		}
		f.logStoreFallback(address, err)
	}
	watch, cancel := context.WithCancel(ctx)
	defer cancel()
	f.setCancelWatch(cancel)
	defer f.setCancelWatch(nil)
	changed, err = f.watchStore(watch, after, wait)
	if err != nil && watch.Err() != nil && ctx.Err() == nil {
		err = errkind.New(errkind.PlatformUnavailable, "store: watch after %d kept silent about changes", after)
	}
	return changed, false, err
}

func (f *Follower) setCancelWatch(drop context.CancelFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelWatch = drop
}

func (f *Follower) watchStore(ctx context.Context, after uint64, wait time.Duration) (changed bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, wait+f.Timeout)
	defer cancel()
	start := boottime.Now()
	rows, version, err := f.Store.Watch(ctx, f.Table, after, wait)
	if err != nil {
		return false, err
	}
	changed = f.update(TableState{Rows: rows, Version: version, Proved: start})
	f.recordStoreContact(start)
	return changed, nil
}

// update delivers the changes in the answer that have not been delivered.
func (f *Follower) update(a TableState) (changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	rows := slices.DeleteFunc(a.Rows, func(r Row) bool { return r.Version <= f.version })
	if len(rows) > 0 {
		f.Update(f.setChangedAfter(rows))
	}
	f.version, f.provedAt = max(f.version, a.Version), max(f.provedAt, a.Proved)
	if f.Copies != nil {
		f.Copies.update(f.Table, rows, f.version, f.provedAt)
	}
	return len(rows) > 0
}

// CatchUp delivers the changes that the store has now, without waiting for more, beside
// the watch that Run has under way. A watch that did not tell them is dropped.
func (f *Follower) CatchUp(ctx context.Context) error {
	if !f.Loaded() {
		return errkind.New(errkind.PlatformUnavailable, "table %s is not loaded", f.Table)
	}
	f.mu.Lock()
	after, drop := f.version, f.cancelWatch
	f.mu.Unlock()
	changed, err := f.watchStore(ctx, after, 0)
	if changed && drop != nil {
		drop()
	}
	return err
}
