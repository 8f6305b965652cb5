package coord

import (
	"sync"

	"github.com/sirupsen/logrus"

	"chicoryline/internal/boottime"
)

// EraBits is the number of bits of an era.
const EraBits = 24

// Eras tracks the era of the store. An era begins when the store is restored from a copy: changes
// made since the copy are lost, and their versions are assigned again. The mutex guards the fields
// below it.
type Eras struct {
	mu     sync.Mutex
	log    *logrus.Entry
	known  bool
	newest uint64
	since  boottime.Time
}

// NewEras returns a tracker that has not observed an era yet.
func NewEras() *Eras { return &Eras{} }

// LogTo sets where changes of the era are logged.
func (e *Eras) LogTo(log *logrus.Entry) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.log = log
}

// Observe records the era that an answer of the store names.
func (e *Eras) Observe(era uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.known && era <= e.newest {
		return
	}
	if e.log != nil {
		entry := e.log.WithFields(logrus.Fields{"event": "store_era", "era": era})
		if e.known {
			entry.WithFields(logrus.Fields{"previous": e.newest, "previous_ms": boottime.AgeMillis(e.since)}).Warn("store was restored from a copy")
		} else {
			entry.Info("first answer")
		}
	}
	e.known, e.newest, e.since = true, era, boottime.Now()
}

// Newest returns the newest era observed and when it was first observed, 0 and 0 before the first
// answer.
func (e *Eras) Newest() (era uint64, since boottime.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.newest, e.since
}
