package quota

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// members is the list of registered holders that this VM knows. After a change, a
// majority of the previous list is required as well, until every promise and share
// granted under the previous list has expired.
type members struct {
	jointDuration time.Duration
	current       []string
	previous      []string
	changedAt     time.Time
}

// update sets a new list.
func (m *members) update(now time.Time, ids []string) {
	ids = slices.Sorted(slices.Values(ids))
	if slices.Equal(ids, m.current) {
		return
	}
	m.previous, m.current, m.changedAt = m.current, ids, now
}

// hasMajority reports whether has is true for a majority of the list.
func (m *members) hasMajority(now time.Time, has func(vm string) bool) bool {
	if !isMajority(m.current, has) {
		return false
	}
	joint := len(m.previous) > 0 && now.Before(m.changedAt.Add(m.jointDuration))
	return !joint || isMajority(m.previous, has)
}

func isMajority(ids []string, has func(vm string) bool) bool {
	n := 0
	for _, id := range ids {
		if has(id) {
			n++
		}
	}
	return 2*n > len(ids)
}

// candidates returns the list in the resource's order of rendezvous hashing.
func (m *members) candidates(resource string) []string {
	ids := slices.Clone(m.current)
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(cmp.Compare(rendezvousScore(resource, b), rendezvousScore(resource, a)), cmp.Compare(a, b))
	})
	return ids
}

func rendezvousScore(resource, vm string) uint64 { return xxhash.Sum64String(resource + "\x00" + vm) }
