package quota

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// members is the list of registered holders as this VM knows it. After a
// change a majority of the former list is needed too, until every promise and
// share of the former list's time has ended.
type members struct {
	jointDuration time.Duration
	current       []string
	previous      []string
	changed       time.Time
}

// update takes a new list.
func (m *members) update(now time.Time, ids []string) {
	ids = slices.Sorted(slices.Values(ids))
	if slices.Equal(ids, m.current) {
		return
	}
	m.previous, m.current, m.changed = m.current, ids, now
}

// hasMajority reports whether more than half of the list has the property.
func (m *members) hasMajority(now time.Time, has func(vm string) bool) bool {
	if !isMajority(m.current, has) {
		return false
	}
	joint := len(m.previous) > 0 && now.Before(m.changed.Add(m.jointDuration))
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

// candidates returns the list in the resource's rendezvous order.
func (m *members) candidates(resource string) []string {
	ids := slices.Clone(m.current)
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(cmp.Compare(rendezvousScore(resource, b), rendezvousScore(resource, a)), cmp.Compare(a, b))
	})
	return ids
}

func rendezvousScore(resource, vm string) uint64 { return xxhash.Sum64String(resource + "\x00" + vm) }
