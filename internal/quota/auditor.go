package quota

import (
	"fmt"
	"time"
)

// relativeTolerance is the relative rounding error allowed in sums of tokens.
const relativeTolerance = 1e-6

// auditor checks the units admitted and the shares held by the VMs of a world.
type auditor struct {
	world    *world
	budget   bucket // starts full; every admitted unit is debited
	Admitted int
	Over     int // requests admitted beyond rate and burst
	Faults   []string
}

func newAuditor(w *world) *auditor {
	a := &auditor{world: w}
	a.budget = bucket{rate: w.total.Rate, depth: w.total.Burst, tokens: w.total.Burst, at: w.now}
	w.onEvent = a.checkShares
	return a
}

// admitted records an admitted request of n units. If a bucket that starts full
// never falls below zero, the bound rate*t + burst holds for every time window.
func (a *auditor) admitted(n float64) {
	a.Admitted++
	a.budget.advance(a.world.now)
	a.budget.tokens -= n
	if a.budget.tokens < -relativeTolerance*(1+a.world.total.Burst) {
		a.Over++
		a.recordFault("over rate by %.3f units", -a.budget.tokens)
	}
}

// checkShares checks the sum of the shares that running processes would use now.
func (a *auditor) checkShares() {
	var rate, burst int64
	count := 0
	now := a.world.now
	for _, n := range a.world.nodes {
		if n.dead || n.frozen || n.holder == nil || (!n.holder.hasLease(now) && !n.holder.skipLeaseCheck) {
			continue
		}
		rate += n.holder.share.Rate
		burst += n.holder.share.Burst
		count += n.holder.allowedConnections(now)
	}
	if a.world.total.isCount() {
		if count > a.world.total.Count {
			a.recordFault("%d connections of %d", count, a.world.total.Count)
		}
		return
	}
	if rate > ShareUnits || burst > ShareUnits {
		a.recordFault("shares add up to %.3f of the rate and %.3f of the burst",
			float64(rate)/float64(ShareUnits), float64(burst)/float64(ShareUnits))
	}
}

const maxFaults = 5

func (a *auditor) recordFault(format string, args ...any) {
	if len(a.Faults) < maxFaults {
		after := a.world.now.Sub(virtualStart).Round(time.Millisecond)
		a.Faults = append(a.Faults, fmt.Sprintf("%v: ", after)+fmt.Sprintf(format, args...))
	}
}
