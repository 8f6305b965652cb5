package configsync

import "time"

// promiseTable holds the promises that a holder has given to others. The holder
// does not acknowledge an attempt before all promises have ended whose recipients
// do not know the attempt. Leases to VMs without a grant are handled as promises.
type promiseTable struct {
	active map[string]promise // by id of the recipient
	barred map[string]bool    // ids of holders that get no more promises
}

type promise struct {
	until      time.Time
	rowVersion uint64 // newest version of the configuration row known to the recipient
	address    string
}

func newPromiseTable() promiseTable {
	return promiseTable{active: map[string]promise{}, barred: map[string]bool{}}
}

// grant records a promise and reports whether it was given. own is the version of
// the newest configuration row known to this process. A promise is refused to a
// barred holder and to one that knows only an older row.
func (t *promiseTable) grant(id, address string, row, own uint64, until time.Time) bool {
	if t.barred[id] || row < own {
		return false
	}
	old := t.active[id]
	if old.until.After(until) {
		until = old.until
	}
	t.active[id] = promise{until: until, rowVersion: max(row, old.rowVersion), address: address}
	return true
}

// allowsAcknowledging reports whether an attempt that was first seen in the given
// version of the configuration row may be acknowledged now. It removes promises
// that have ended.
func (t *promiseTable) allowsAcknowledging(row uint64, now time.Time) bool {
	allowed := true
	for id, p := range t.active {
		if !now.Before(p.until) {
			delete(t.active, id)
			continue
		}
		allowed = allowed && p.rowVersion >= row
	}
	return allowed
}

// bar refuses all future promises to the holders.
func (t *promiseTable) bar(ids []string) {
	for _, id := range ids {
		t.barred[id] = true
	}
}
