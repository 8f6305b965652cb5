package failover

import (
	"chicoryline/internal/backend"
	"chicoryline/internal/services"
)

// isEligible reports whether the instance may be promoted: its position is at or above the
// positions of a majority of the group, itself included, that are all fenced at the
// attempt's term. Every acknowledged write is held by a member of that majority, and
// therefore by the instance.
func isEligible(id string, fenced map[string]backend.Status, size int) bool {
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

// choose returns the instance to promote among a fenced majority: the preferred one if it
// is eligible, else the one with the highest position. Among instances with equal
// positions, those that are not leaving come first, then the order of the group decides.
func choose(instances []services.Instance, leaving map[string]bool, fenced map[string]backend.Status, preferred string) string {
	if preferred != "" && isEligible(preferred, fenced, len(instances)) {
		return preferred
	}
	best := ""
	for _, i := range instances {
		status, ok := fenced[i.ID]
		if !ok {
			continue
		}
		comparison := 1
		if best != "" {
			comparison = status.Log.Compare(fenced[best].Log)
		}
		if comparison > 0 || comparison == 0 && leaving[best] && !leaving[i.ID] {
			best = i.ID
		}
	}
	return best
}
