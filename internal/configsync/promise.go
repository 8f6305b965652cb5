package configsync

import "time"

// promiseTable holds what a holder has promised to others: it acknowledges no
// attempt before a promise ends, unless the other knows the attempt. Promises
// to holders and leases to VMs that hold no grant are the same thing here.
type promiseTable struct {
	active map[string]promise
	barred map[string]bool
}

type promise struct {
	until      time.Time
	rowVersion uint64 // newest version of the configuration row that the other knows
	address    string
}

func newPromiseTable() promiseTable {
	return promiseTable{active: map[string]promise{}, barred: map[string]bool{}}
}

// grant records a promise and reports whether it could be given: not to a barred
// holder and not to one that knows less than this process, whose newest row
// version is own.
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

// allowsAcknowledging reports whether an attempt that was first seen in the given version of
// the configuration row may be acknowledged now. It forgets promises that ended.
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

// bar ends promises to the holders for ever.
func (t *promiseTable) bar(ids []string) {
	for _, id := range ids {
		t.barred[id] = true
	}
}
