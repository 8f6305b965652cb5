// Package coord describes the store that all VMs share and follows its tables.
package coord

import (
	"context"
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
	// Pause is the least time from a change to the next call.
	Pause time.Duration
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

	// mu guards the fields below it and the order of Reset and Update.
	mu      sync.Mutex
	version uint64
	loaded  bool
	failing bool
}

const (
	// firstPause and lastPause bound the pause after a failed call; the last is a
	// quarter of the shortest lease that rests on a follower.
	firstPause = 50 * time.Millisecond
	lastPause  = 800 * time.Millisecond
	// firstRelayPause and lastRelayPause are those of a VM that reads from another one:
	// what it needs first, the proof of the configuration, comes by news.
	firstRelayPause = 400 * time.Millisecond
	lastRelayPause  = 2 * time.Second
	// relayWait is how long one call of another VM waits for a change. A VM that is
	// lost meanwhile is noticed within this time at the latest.
	relayWait = 2500 * time.Millisecond
)

// Run follows the table until the context ends.
func (f *Follower) Run(ctx context.Context) {
	pause := firstPause
	for ctx.Err() == nil {
		err := f.step(ctx)
		if err == nil {
			f.noteHealth(nil)
			pause = firstPause
			continue
		}
		if ctx.Err() != nil {
			return
		}
		f.noteHealth(err)
		if errkind.Is(err, errkind.HistoryGone) {
			f.mu.Lock()
			f.loaded = false
			f.mu.Unlock()
			pause = firstPause
		}
		select {
		case <-ctx.Done():
		case <-time.After(f.longer(pause)):
		}
		pause = min(2*pause, lastRelayPause)
	}
}

// longer returns the pause after a failed call: a longer one for a VM that can read
// from another, so that an outage of the store does not bring calls of the whole fleet.
func (f *Follower) longer(pause time.Duration) time.Duration {
	f.mu.Lock()
	loaded := f.loaded
	f.mu.Unlock()
	if _, ok := f.source(); ok && loaded {
		return max(pause, firstRelayPause)
	}
	return min(pause, lastPause)
}

func (f *Follower) noteHealth(err error) {
	failing := err != nil
	if failing == f.failing {
		return
	}
	f.failing = failing
	entry := f.Log.WithFields(logrus.Fields{"event": "store_watch", "table": f.Table, "store_version": f.version})
	if failing {
		entry.WithField("cause", err.Error()).Warn("lost")
		return
	}
	entry.Info("regained")
}

func (f *Follower) step(ctx context.Context) error {
	if !f.isLoaded() {
		return f.load(ctx)
	}
	changed, relayed, err := f.watch(ctx, f.Wait)
	if changed && !relayed && f.Pause > 0 {
		select {
		case <-ctx.Done():
		case <-time.After(f.Pause):
		}
	}
	return err
}

// load reads the whole table.
func (f *Follower) load(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, f.Timeout)
	defer cancel()
	if address, ok := f.source(); ok {
		rows, version, err := f.Relay.Rows(ctx, address, f.Table)
		if err == nil && f.reset(rows, version) {
			return nil
		}
		f.noteRelay(address, err)
	}
	start := boottime.Now()
	rows, version, err := f.Store.Rows(ctx, f.Table)
	if err != nil {
		return err
	}
	f.reset(rows, version)
	f.noteAnswer(start)
	return nil
}

// reset takes the whole table unless it is older than what is at hand.
func (f *Follower) reset(rows []Row, version uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if version < f.version {
		return false
	}
	f.Reset(rows)
	f.version, f.loaded = version, true
	if f.Copies != nil {
		f.Copies.reset(f.Table, rows, version)
	}
	return true
}

// source returns the VM to read from instead of the store.
func (f *Follower) source() (address string, ok bool) {
	if f.Relay == nil {
		return "", false
	}
	return f.Relay.Source()
}

func (f *Follower) noteRelay(address string, err error) {
	cause := "older than what is known"
	if err != nil {
		cause = err.Error()
	}
	f.Log.WithFields(logrus.Fields{"event": "store_watch", "table": f.Table, "store_version": f.version, "address": address, "cause": cause}).Info("read from the store")
}

// noteAnswer records that the store has answered a call that was sent at the moment.
func (f *Follower) noteAnswer(start boottime.Time) {
	if f.Copies != nil {
		f.Copies.noteContact(start)
	}
	if f.Proof != nil {
		f.Proof(start)
	}
}

func (f *Follower) isLoaded() bool {
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
	if address, ok := f.source(); ok {
		call, cancel := context.WithTimeout(ctx, relayWait+f.Timeout)
		rows, version, err := f.Relay.Watch(call, address, f.Table, after, min(wait, relayWait))
		cancel()
		if err == nil || errkind.Is(err, errkind.HistoryGone) {
			return f.update(rows, version), true, err
		}
		f.noteRelay(address, err)
	}
	changed, err = f.watchStore(ctx, after, wait)
	return changed, false, err
}

func (f *Follower) watchStore(ctx context.Context, after uint64, wait time.Duration) (changed bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, wait+f.Timeout)
	defer cancel()
	start := boottime.Now()
	rows, version, err := f.Store.Watch(ctx, f.Table, after, wait)
	if err != nil {
		return false, err
	}
	changed = f.update(rows, version)
	f.noteAnswer(start)
	return changed, nil
}

// update delivers changes up to the version.
func (f *Follower) update(rows []Row, version uint64) (changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(rows) > 0 {
		f.Update(rows)
	}
	f.version = max(f.version, version)
	if f.Copies != nil {
		f.Copies.update(f.Table, rows, version)
	}
	return len(rows) > 0
}

// Check delivers the changes that the store has now, without waiting for more, beside
// the watch that Run has under way.
func (f *Follower) Check(ctx context.Context) error {
	if !f.isLoaded() {
		return errkind.New(errkind.PlatformUnavailable, "table %s is not loaded", f.Table)
	}
	f.mu.Lock()
	after := f.version
	f.mu.Unlock()
	_, err := f.watchStore(ctx, after, 0)
	return err
}
