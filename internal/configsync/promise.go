package configsync

import "time"

// promiseBook holds what a holder has promised to others: it acknowledges no
// attempt before a promise ends, unless the other knows the attempt. Promises
// to holders and leases to VMs that hold no grant are the same thing here.
type promiseBook struct {
	given  map[string]promise
	barred map[string]bool
}

type promise struct {
	until   time.Time
	row     uint64 // newest version of the configuration row that the other knows
	address string
}

func newPromiseBook() promiseBook {
	return promiseBook{given: map[string]promise{}, barred: map[string]bool{}}
}

// give records a promise and reports whether it could be given: not to a barred
// holder and not to one that knows less than this process, whose newest row
// version is own.
func (b *promiseBook) give(id, address string, row, own uint64, until time.Time) bool {
	if b.barred[id] || row < own {
		return false
	}
	old := b.given[id]
	if old.until.After(until) {
		until = old.until
	}
	b.given[id] = promise{until: until, row: max(row, old.row), address: address}
	return true
}

// clear reports whether an attempt that was first seen in the given version of
// the configuration row may be acknowledged now. It forgets promises that ended.
func (b *promiseBook) clear(row uint64, now time.Time) bool {
	ok := true
	for id, p := range b.given {
		if !now.Before(p.until) {
			delete(b.given, id)
			continue
		}
		ok = ok && p.row >= row
	}
	return ok
}

// bar ends promises to the holders for ever.
func (b *promiseBook) bar(ids []string) {
	for _, id := range ids {
		b.barred[id] = true
	}
}
