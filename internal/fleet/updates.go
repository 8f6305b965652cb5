package fleet

import (
	"math/bits"
	"sort"
)

const (
	// maxUpdatesPerHeartbeat is the number of records piggybacked on one heartbeat.
	maxUpdatesPerHeartbeat = 6
	// sendsPerLevel and sendsBase define the number of heartbeats that carry one update:
	// sendsPerLevel times the binary logarithm of the fleet size, plus sendsBase.
	sendsPerLevel = 3
	sendsBase     = 2
)

// updateQueue holds the ids of the members whose records are to be gossiped, with the
// number of heartbeats that have carried each.
type updateQueue struct {
	sends map[string]int
}

// add queues the VM's record. The record is read when it is sent.
func (u *updateQueue) add(id string) {
	if u.sends == nil {
		u.sends = map[string]int{}
	}
	u.sends[id] = 0
}

// take returns the ids for the next heartbeat in a fleet of the given size, those sent
// least often first, and counts the send.
func (u *updateQueue) take(size int) []string {
	ids := make([]string, 0, len(u.sends))
	for id := range u.sends {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool {
		a, b := u.sends[ids[i]], u.sends[ids[j]]
		return a < b || a == b && ids[i] < ids[j]
	})
	ids = ids[:min(len(ids), maxUpdatesPerHeartbeat)]
	limit := sendsPerLevel*bits.Len(uint(size)) + sendsBase
	for _, id := range ids {
		u.sends[id]++
		if u.sends[id] >= limit {
			delete(u.sends, id)
		}
	}
	return ids
}
