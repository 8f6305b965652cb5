// Package coord defines the interface of the store that all VMs share. It keeps tables of the
// store up to date at a VM, read from the store itself or relayed by another VM.
package coord

import (
	"context"
	"math/rand/v2"
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
	Version Version
	// Deleted marks a deleted row in results of Watch.
	Deleted bool
	// Restored is set by a Follower if the row was read after the store was restored from a backup:
	// it may be older than one that was delivered before.
	Restored bool
	// After is set by a Follower to a time after which this version of the row was written; 0
	// if none is known.
	After boottime.Time
}

// Condition requires a row to have a version. Version 0 requires that it does not exist.
type Condition struct {
	Table   string
	Key     string
	Version Version
}

// Change is an atomic change of rows that is made only if all conditions hold.
type Change struct {
	If      []Condition
	Put     []Row
	Deletes []Row
}

// Store is the shared transactional table service. Errors are
// errkind.PlatformUnavailable (certainly no effect), errkind.PlatformUnknown (the call may
// take effect, even later), errkind.Conflict and errkind.HistoryGone.
type Store interface {
	// Rows returns all rows of the table and the version of this snapshot.
	Rows(ctx context.Context, table string) ([]Row, Version, error)
	// Watch returns the changes after the version. If there are none it waits for one, for up
	// to wait. The version has to be of the store's present era, otherwise HistoryGone is
	// returned.
	Watch(ctx context.Context, table string, after Version, wait time.Duration) ([]Row, Version, error)
	// Apply makes the change and returns the new version of its rows. A condition on a version
	// of another era does not hold; if the store began a new era meanwhile, PlatformUnknown is
	// returned.
	Apply(ctx context.Context, c Change) (Version, error)
}

// Follower keeps a VM's copy of one table up to date.
type Follower struct {
	Store Store
	Table string
	// Wait is how long one call waits for a change.
	Wait time.Duration
	// Timeout bounds a call, in addition to Wait.
	Timeout time.Duration
	// ChangePause is the minimum time between a change read from the store and the next call.
	ChangePause time.Duration
	// MaxProofAge, if set, is the age of the last proof at which the store is queried in
	// addition to the watch in flight, whose answer may be lost.
	MaxProofAge time.Duration
	// Reset receives the whole table, at the start and after a gap. Update receives changes.
	// Both are called in the order of versions.
	Reset  func([]Row)
	Update func([]Row)
	// Proof, if set, is called after each answer of the store itself, not of a relay, with a
	// time up to which all changes have been delivered.
	Proof func(boottime.Time)
	// Copies, if set, receives the table and its changes, to serve them to other VMs.
	Copies *Copies
	// Relay, if set, is used instead of the store while it names a VM that answers.
	Relay *Relay
	// Access, if set, is the store with a record of whether this VM gets answers from it.
	Access *Access
	// Eras tells when the store was restored from a backup.
	Eras *Eras
	Log  *logrus.Entry

	isFailing bool
	// isRelayed reports that another VM answered the last watch, or failed to.
	isRelayed bool
	// lossJitter is the part of relayLossJitter that this follower waits.
	lossJitter time.Duration

	// mu guards the fields below it and the order of Reset and Update.
	mu      sync.Mutex
	version Version
	loaded  bool
	// provedAt is a time up to which all changes have been delivered.
	provedAt boottime.Time
	// relayedAt is when another VM last supplied the table or its changes.
	relayedAt boottime.Time
	// cancelWatch ends the watch at the store that is in flight.
	cancelWatch context.CancelFunc
	// inFlight is the watch in flight, at the store or at another VM.
	inFlight *sourcedWatch
}

const (
	// minRetryPause and maxRetryPause bound the pause after a failed call. The maximum is a
	// quarter of the shortest lease that depends on a follower.
	minRetryPause = 50 * time.Millisecond
	maxRetryPause = 800 * time.Millisecond
	// minRelayRetryPause and maxRelayRetryPause are the same for a VM that reads from another
	// one. They are longer because the most urgent information, the proof that the
	// configuration is current, arrives with state updates of other VMs.
	minRelayRetryPause = 400 * time.Millisecond
	maxRelayRetryPause = 2 * time.Second
	// relayWatchWait bounds how long one watch at another VM waits for a change, and thus the
	// time until a failure of that VM is detected.
	relayWatchWait = 2500 * time.Millisecond
	// relayStartTimeout is how long a VM without a current table waits until the VM that it
	// reads from has the table. Reading a table takes 10 ms; if it is relayed through two VMs,
	// choosing the first takes two rounds of state updates. relayPollInterval is the pause
	// between two attempts.
	relayStartTimeout = 2500 * time.Millisecond
	relayPollInterval = 100 * time.Millisecond
	// relayedMaxAge, plus up to relayedMaxAgeJitter, is how long after the last answer of a relay
	// a follower with MaxProofAge asks the store itself. Usually a relay answers every 2.5 s. A
	// leaving server may get statements for 6.5 s; 1.5 s remain for a lost call and another one.
	relayedMaxAge       = 4 * time.Second
	relayedMaxAgeJitter = time.Second
	// relayLossTimeout, plus up to relayLossJitter, is how long a table without MaxProofAge is
	// not read if the relay does not answer. It covers the loss of two sources in turn, each of
	// which is replaced within 2 s.
	relayLossTimeout = 6 * time.Second
	relayLossJitter  = 4 * time.Second
	// proofPollInterval is the pause between two checks of the proof's age.
	proofPollInterval = 200 * time.Millisecond
)

// Run follows the table until the context ends.
func (f *Follower) Run(ctx context.Context) {
	f.lossJitter = rand.N(relayLossJitter)
	if f.MaxProofAge > 0 {
		go f.keepProofFresh(ctx)
	}
	f.Eras.OnChange(f.cancelWatchOfEarlierEra)
	f.Access.OnLost(f.cancelWatchOfStore)
	pause, hasFailed := minRetryPause, false
	for ctx.Err() == nil {
		err := f.step(ctx)
		if err == nil {
			f.logHealthChange(nil)
			if !hasFailed {
				pause = minRetryPause
			}
			// The first answer after a failure may be one that did not wait for a change: a
			// store that refuses only watches that wait would be called without pauses.
			hasFailed = false
			continue
		}
		hasFailed = true
		if ctx.Err() != nil {
			return
		}
		if !f.isRelayed {
			f.logHealthChange(err)
		}
		if errkind.Is(err, errkind.HistoryGone) {
			f.setNotLoaded()
			pause = minRetryPause
		}
		select {
		case <-ctx.Done():
		case <-time.After(f.retryPause(pause)):
		}
		pause = min(2*pause, maxRelayRetryPause)
	}
}

// setNotLoaded makes Run read the whole table, even if a watch is in flight.
func (f *Follower) setNotLoaded() {
	f.mu.Lock()
	f.loaded = false
	cancelWatch := f.cancelWatch
	f.mu.Unlock()
	if cancelWatch != nil {
		cancelWatch()
	}
}

// cancelWatchOfEarlierEra ends a watch at the store that is in flight when a new era begins: it
// delivers nothing more, and may not end by itself.
func (f *Follower) cancelWatchOfEarlierEra() {
	f.mu.Lock()
	outdated := f.cancelWatch != nil && f.version.Era() < f.Eras.Newest()
	f.mu.Unlock()
	if outdated {
		f.setNotLoaded()
	}
}

// cancelWatchOfStore ends a watch at the store that is in flight when this VM loses the store: it
// may not end by itself, and another VM may have the table.
func (f *Follower) cancelWatchOfStore() {
	f.mu.Lock()
	cancelWatch := f.cancelWatch
	f.mu.Unlock()
	if cancelWatch != nil {
		cancelWatch()
	}
}

// retryPause returns the pause after a failed call. It is longer for a VM that can read from
// another one, so that during an outage of the store not all VMs call it repeatedly.
func (f *Follower) retryPause(pause time.Duration) time.Duration {
	f.mu.Lock()
	loaded := f.loaded
	f.mu.Unlock()
	if _, ok := f.relaySource(); ok && loaded {
		return max(pause, minRelayRetryPause)
	}
	return min(pause, maxRetryPause)
}

// keepProofFresh queries the store whenever the current proof reaches MaxProofAge or, if the table
// is relayed, there was neither a proof nor an answer of the relay for relayedMaxAge.
func (f *Follower) keepProofFresh(ctx context.Context) {
	pause, jitter := proofPollInterval, rand.N(relayedMaxAgeJitter)
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		f.mu.Lock()
		provedAt, relayedAt, loaded := f.provedAt, f.relayedAt, f.loaded
		f.mu.Unlock()
		age, limit := boottime.Since(provedAt), f.MaxProofAge
		if _, relayed := f.relaySource(); relayed {
			age, limit = boottime.Since(max(provedAt, relayedAt)), relayedMaxAge+jitter
		}
		if !loaded || age < limit || !f.Eras.IsSettled(boottime.Now()) {
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

// logHealthChange logs when the table can no longer be followed, or can again.
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

// step loads the table, or performs one watch.
func (f *Follower) step(ctx context.Context) error {
	f.isRelayed = false
	if !f.Loaded() {
		return f.load(ctx)
	}
	changed, relayed, err := f.watch(ctx, f.Wait)
	f.isRelayed = relayed
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
	if !f.reset(TableState{Rows: rows, Version: version, Proved: f.proofOf(start)}) {
		return errkind.New(errkind.PlatformUnavailable, "table %s at version %s is older than the known version", f.Table, version)
	}
	f.recordStoreContact(start)
	return nil
}

// proofOf returns the time up to which an answer to a call sent at start shows all changes, 0 if
// the store may lack some.
func (f *Follower) proofOf(start boottime.Time) boottime.Time {
	if !f.Eras.IsSettled(start) {
		return 0
	}
	return start
}

// loadRelayed reads the whole table from another VM. It returns false if the table has to be
// read from the store.
//
// Load pattern: 295 VMs start within 0.3 s. The VM that they read from has not read its
// tables yet, and each of the others would read all tables from the store, twice. Or the store
// discards its history while it refuses the VM that they read from, and each would read all tables
// again. So a VM waits for the VM that it reads from, as long as that one answers.
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
			f.mu.Lock()
			f.relayedAt = boottime.Now()
			f.mu.Unlock()
			f.Eras.Observe(a.Version.Era())
			f.recordRelayedContact(a)
			return true
		}
		if !errkind.Is(err, errkind.PlatformUnavailable) || boottime.Since(start) >= relayStartTimeout {
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

// TableState is rows as of a version.
type TableState struct {
	Rows    []Row
	Version Version
	// Proved is a time up to which all changes are included, 0 if none is known.
	Proved boottime.Time
	// Contact is a time at which the store answered the VM that supplied the rows, 0 if none
	// is known.
	Contact boottime.Time
}

// reset replaces the whole table unless the given state is older than the current one.
func (f *Follower) reset(a TableState) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if a.Version < f.version {
		return false
	}
	restored := f.version != 0 && a.Version.Era() != f.version.Era()
	for i := range a.Rows {
		a.Rows[i].Restored = restored
	}
	f.Reset(f.setChangedAfter(a.Rows))
	f.version, f.loaded, f.provedAt = a.Version, true, max(f.provedAt, a.Proved)
	if f.Copies != nil {
		f.Copies.reset(f.Table, a.Rows, a.Version, f.provedAt)
	}
	return true
}

// setChangedAfter sets Row.After of each row that is newer than the current version. The mutex
// is held.
func (f *Follower) setChangedAfter(rows []Row) []Row {
	for i := range rows {
		rows[i].After = 0
		if rows[i].Version > f.version {
			rows[i].After = f.provedAt
		}
	}
	return rows
}

// mayBypassRelay reports whether the table may be watched at the store although the relay names a
// VM to read from, which did not answer.
//
// Load pattern: the VM that reads for the fleet ends, or loses the store. It is replaced within
// 2 s; until then, each of 121 VMs would watch each of five tables at the store. A table with
// MaxProofAge is validated by keepProofFresh, and others tolerate a longer gap.
func (f *Follower) mayBypassRelay() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.MaxProofAge == 0 && boottime.Since(f.relayedAt) >= relayLossTimeout+f.lossJitter
}

// relaySource returns the address of the VM to read from instead of the store, if any.
func (f *Follower) relaySource() (address string, ok bool) {
	if f.Relay == nil {
		return "", false
	}
	return f.Relay.Source()
}

// logStoreFallback logs why the table is read from the store and not from the relay.
func (f *Follower) logStoreFallback(address string, err error) {
	cause := "relayed table is older than the current one"
	if err != nil {
		cause = err.Error()
	}
	f.Log.WithFields(logrus.Fields{"event": "store_watch", "table": f.Table, "store_version": f.version, "address": address, "cause": cause}).Info("read from the store")
}

// recordStoreContact records that the store has answered a call sent at the given time.
func (f *Follower) recordStoreContact(start boottime.Time) {
	if f.Copies != nil {
		f.Copies.recordStoreContact(start)
	}
	if proof := f.proofOf(start); f.Proof != nil && proof != 0 {
		f.Proof(proof)
	}
}

// recordRelayedContact records the last contact with the store that another VM reported.
func (f *Follower) recordRelayedContact(a TableState) {
	if f.Copies != nil {
		f.Copies.recordRelayedContact(a.Contact)
	}
}

// Loaded reports whether the table has been read and has no gap since.
func (f *Follower) Loaded() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.loaded
}

// watch delivers the changes after the current version. relayed reports that another VM
// supplied them or did not answer.
func (f *Follower) watch(ctx context.Context, wait time.Duration) (changed, relayed bool, err error) {
	f.mu.Lock()
	after := f.version
	f.mu.Unlock()
	address, ok := f.relaySource()
	ctx, end := f.beginWatch(ctx, address)
	defer end(&err)
	if ok {
		call, cancel := context.WithTimeout(ctx, relayWatchWait+f.Timeout)
		a, err := f.Relay.Watch(call, address, f.Table, after, min(wait, relayWatchWait))
		cancel()
		if err == nil || errkind.Is(err, errkind.HistoryGone) {
			f.recordRelayedContact(a)
			f.mu.Lock()
			f.relayedAt = boottime.Now()
			f.mu.Unlock()
			changed, _ := f.update(a)
			return changed, true, err
		}
		if ctx.Err() != nil || !f.mayBypassRelay() {
			return false, true, err
		}
		f.logStoreFallback(address, err)
	}
	watch, cancel := context.WithCancel(ctx)
	defer cancel()
	f.setCancelWatch(cancel)
	defer f.setCancelWatch(nil)
	changed, err = f.watchStore(watch, after, wait)
	if err != nil && watch.Err() != nil && ctx.Err() == nil {
		err = errkind.New(errkind.PlatformUnavailable, "store: watch after version %d was canceled because it missed changes", after)
	}
	return changed, false, err
}

func (f *Follower) setCancelWatch(cancel context.CancelFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelWatch = cancel
}

func (f *Follower) watchStore(ctx context.Context, after Version, wait time.Duration) (changed bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, wait+f.Timeout)
	defer cancel()
	start := boottime.Now()
	rows, version, err := f.Store.Watch(ctx, f.Table, after, wait)
	if err != nil {
		return false, err
	}
	changed, ok := f.update(TableState{Rows: rows, Version: version, Proved: f.proofOf(start)})
	if ok {
		f.recordStoreContact(start)
	}
	return changed, nil
}

// update delivers those of the given changes that have not been delivered yet. ok is false if
// they are of an earlier era than the current version.
func (f *Follower) update(a TableState) (changed, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if a.Version.Era() < f.version.Era() {
		return false, false
	}
	rows := slices.DeleteFunc(a.Rows, func(r Row) bool { return r.Version <= f.version })
	if len(rows) > 0 {
		f.Update(f.setChangedAfter(rows))
	}
	f.version, f.provedAt = max(f.version, a.Version), max(f.provedAt, a.Proved)
	if f.Copies != nil {
		f.Copies.update(f.Table, rows, f.version, f.provedAt)
	}
	return len(rows) > 0, true
}

// CatchUp delivers the changes that the store has now, without waiting for more. It runs
// concurrently with the watch of Run, and cancels that watch if it missed changes. If it fails with
// HistoryGone, Run reads the whole table.
func (f *Follower) CatchUp(ctx context.Context) error {
	if !f.Loaded() {
		return errkind.New(errkind.PlatformUnavailable, "table %s is not loaded", f.Table)
	}
	f.mu.Lock()
	after, cancelWatch := f.version, f.cancelWatch
	f.mu.Unlock()
	changed, err := f.watchStore(ctx, after, 0)
	switch {
	case errkind.Is(err, errkind.HistoryGone):
		f.setNotLoaded()
	case changed && cancelWatch != nil:
		cancelWatch()
	}
	return err
}
