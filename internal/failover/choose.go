package failover

import (
	"chicoryline/internal/backend"
	"chicoryline/internal/services"
)

// eligible reports whether the instance may be promoted: its position is at or
// past those of a majority of the group, itself included, that all stand fenced
// at the attempt's term. Every acknowledged write is held by a member of that
// majority and so by the instance.
func eligible(id string, fenced map[string]backend.Status, size int) bool {
	candidate, ok := fenced[id]
	if !ok {
		return false
	}
	covered := 0
	for _, s := range fenced {
		if candidate.Log.AtLeast(s.Log) {
			covered++
		}
	}
	return covered >= backend.Majority(size)
}

// choose returns the instance to promote among a fenced majority: the preferred
// one if it is eligible, else the one with the highest position. Of equals, one
// that is not leaving comes first, then the order of the group.
func choose(instances []services.Instance, leaving map[string]bool, fenced map[string]backend.Status, preferred string) string {
	if preferred != "" && eligible(preferred, fenced, len(instances)) {
		return preferred
	}
	best := ""
	for _, i := range instances {
		status, ok := fenced[i.ID]
		if !ok {
			continue
		}
		order := 1
		if best != "" {
			order = status.Log.Compare(fenced[best].Log)
		}
		if order > 0 || order == 0 && leaving[best] && !leaving[i.ID] {
			best = i.ID
		}
	}
	return best
}
