package coord

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"chicoryline/internal/boottime"
)

// rewriteTime is how long the operator and the backend servers take to write again what the store
// has lost: the time in which entries return after an outage.
const rewriteTime = 2 * time.Second

// Eras tracks the era of the store. An era is settled once everything that others had written
// before the store was restored has been written again; only then an answer of the store shows
// that there is nothing newer. A nil *Eras stands for a store that is never restored. The mutex
// guards the fields below it.
type Eras struct {
	mu        sync.Mutex
	log       *logrus.Entry
	newest    uint64
	known     bool
	since     boottime.Time // when the newest era was first observed
	isSettled bool          // the newest era is known to be settled
	onChange  []func()
}

// NewEras returns a tracker that has not observed an era yet.
func NewEras() *Eras { return &Eras{} }

// LogTo sets where changes of the era are logged.
func (e *Eras) LogTo(log *logrus.Entry) {
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.log = log
}

// OnChange adds a function that is called when a new era was observed.
func (e *Eras) OnChange(f func()) {
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.onChange = append(e.onChange, f)
}

// Observe records the era that an answer of the store names.
func (e *Eras) Observe(era uint64) {
	if e == nil {
		return
	}
	for _, f := range e.observe(era) {
		f()
	}
}

// observe records the era and returns the functions to call if it is new.
func (e *Eras) observe(era uint64) []func() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.known && era <= e.newest {
		return nil
	}
	if e.log != nil {
		entry := e.log.WithFields(logrus.Fields{"event": "store_era", "era": era})
		if e.known {
			entry.WithFields(logrus.Fields{"previous": e.newest, "previous_ms": boottime.AgeMillis(e.since)}).Warn("store was restored from a backup")
		} else {
			entry.Info("first answer")
		}
	}
	e.known, e.newest, e.since, e.isSettled = true, era, boottime.Now(), false
	return e.onChange
}

// MarkSettled records that the era is known to be settled.
func (e *Eras) MarkSettled(era uint64) {
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.known && era == e.newest {
		e.isSettled = true
	}
}

// IsSettled reports whether the newest era was settled at the given time.
func (e *Eras) IsSettled(at boottime.Time) bool { return e.IsOlderThan(rewriteTime, at) }

// IsOlderThan reports whether the newest era had begun d before the given time.
func (e *Eras) IsOlderThan(d time.Duration, at boottime.Time) bool {
	if e == nil {
		return true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.isSettled || e.known && at.Sub(e.since) >= d
}

// Newest returns the newest era observed, 0 before the first answer.
func (e *Eras) Newest() uint64 {
	if e == nil {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.newest
}
