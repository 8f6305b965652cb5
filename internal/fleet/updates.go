package fleet

import (
	"math/bits"
	"sort"
)

const (
	// maxUpdates is the number of records piggybacked on one heartbeat.
	maxUpdates = 6
	// sendsPerLevel and sendsBase give the number of heartbeats that carry one
	// update: sendsPerLevel times the binary logarithm of the fleet, plus
	// sendsBase.
	sendsPerLevel = 3
	sendsBase     = 2
)

// updates holds the records that wait to be spread, with the number of
// heartbeats that have carried them.
type updates struct {
	sent map[string]int
}

// add queues the VM's record as it will be when it is sent.
func (u *updates) add(id string) {
	if u.sent == nil {
		u.sent = map[string]int{}
	}
	u.sent[id] = 0
}

// take returns the ids for the next heartbeat in a fleet of the given size,
// least often sent first.
func (u *updates) take(size int) []string {
	ids := make([]string, 0, len(u.sent))
	for id := range u.sent {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool {
		a, b := u.sent[ids[i]], u.sent[ids[j]]
		return a < b || a == b && ids[i] < ids[j]
	})
	ids = ids[:min(len(ids), maxUpdates)]
	limit := sendsPerLevel*bits.Len(uint(size)) + sendsBase
	for _, id := range ids {
		u.sent[id]++
		if u.sent[id] >= limit {
			delete(u.sent, id)
		}
	}
	return ids
}
