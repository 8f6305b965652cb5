package ratelimit

import (
	"time"

	"chicoryline/internal/access"
	"chicoryline/internal/boottime"
)

const (
	// unreachableHomeFraction is the part of a cell's share that its VMs may use by themselves, in
	// equal parts, while the home that they ask is silent. It may be alive and use its
	// share as well.
	unreachableHomeFraction = 0.5
	// largeFleetDemandDecay is the time over which demand is averaged in a large fleet: a
	// window, in which a cell sees some operations of a small customer too.
	largeFleetDemandDecay = 5 * time.Second
	// homeSlackOperations is the number of operations in a window that all homes of a customer
	// together admit beyond its limit: a small customer's operations come unevenly to
	// the cells. The platform tolerates 20.
	homeSlackOperations = 15
	// minSplitOperationsPerCell is the number of operations in a window, for each cell, below which a
	// limit is not split: arrivals are off by a quarter of it as a rule.
	minSplitOperationsPerCell = 15
)

// CellLayout is how the rates are split in a large fleet: each cell has its part of every limit
// and admits the customer's operations at one VM, its home. A small customer has one home
// in the fleet.
type CellLayout struct {
	// Total counts the cells, InTouch those in touch, this one included; Members counts the
	// VMs of this cell in touch.
	Total, Reachable, Members int
	// IsHome reports whether this VM is the customer's home in the cell, IsOnlyHome whether
	// it would be the only one in the fleet.
	IsHome, IsOnlyHome func(customer string) bool
}

// isSmall reports whether the customer's limit is too small to be split.
//
// Load pattern: 190 customers before ten cells. Of a window's limit of 30 operations three
// fall to a cell, to which two or three come on average, and now and then six.
func (l *Limiter) isSmall(c access.Customer) bool {
	return l.cells != nil && l.cells.Total > 1 && c.Rate*l.window.Seconds()+c.Burst < minSplitOperationsPerCell*float64(l.cells.Total)
}

// HasOneHome reports whether the customer's operations are admitted at one VM of the fleet.
func (l *Limiter) HasOneHome(customer string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[customer]
	return b != nil && l.isSmall(b.customer)
}

// homeState is what a cell keeps of a customer.
type homeState struct {
	// admitted counts what this VM has admitted in the window.
	admitted windowCounter
	// tokens pace this VM's operations; filled is when they were last added.
	tokens   float64
	filledAt boottime.Time
	// demandHistory is the cell's at the last reports, the oldest first. Only the oldest is
	// known to the other cells.
	demandHistory []float64
	// previousDemand is the other cells' demand in their reports before the last.
	previousDemand map[string]float64
	// onlyHomeSince is since when this VM is the customer's only home, 0 if it is not.
	onlyHomeSince boottime.Time
}

// recordDemand keeps the cell's demand until all other cells know it.
func (h *homeState) recordDemand(b *bucket, rounds int) {
	sum := b.demand
	for _, u := range b.peers {
		sum += float64(u.Demand)
	}
	if len(h.demandHistory) > rounds {
		h.demandHistory = append(h.demandHistory[:0], h.demandHistory[len(h.demandHistory)-rounds:]...)
	}
	h.demandHistory = append(h.demandHistory, sum)
}

// updateOnlyHome notes whether this VM is the customer's only home.
func (l *Limiter) updateOnlyHome(b *bucket) {
	switch {
	case l.cells == nil || !l.isSmall(b.customer) || !l.cells.IsOnlyHome(b.customer.Name):
		b.home.onlyHomeSince = 0
	case b.home.onlyHomeSince == 0:
		b.home.onlyHomeSince = b.filledAt
	}
}

// cellFraction returns this VM's part of the customer's limit, and of homeSlack.
func (l *Limiter) cellFraction(b *bucket) (fraction, slack float64) {
	if !l.isSmall(b.customer) {
		if l.cells.IsHome(b.customer.Name) {
			return l.cellDemandShare(b), homeSlackOperations / float64(l.cells.Reachable)
		}
		return l.cellDemandShare(b) * unreachableHomeFraction / float64(l.cells.Members), 0
	}
	l.updateOnlyHome(b)
	switch {
	case b.home.onlyHomeSince == 0:
		return unreachableHomeFraction / float64(l.cells.Reachable*l.cells.Members), 0
	case b.filledAt.Sub(b.home.onlyHomeSince) < time.Duration(l.rounds)*reportInterval:
		// What the home before admitted last is not known yet.
		return unreachableHomeFraction, 0
	}
	return 1, homeSlackOperations
}

// SetCells tells how the rates are split.
func (l *Limiter) SetCells(c CellLayout) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.Total, c.Reachable, c.Members = max(c.Total, c.Reachable, 1), max(c.Reachable, 1), max(c.Members, 1)
	l.cells = &c
}

// cellDemandShare is this cell's part of the demand that all cells know of.
//
// Load pattern: a flood begins in all cells within the time that reports take. Each
// cell would take its own demand for nearly all that there is, and together they would
// admit several times the limit. With equally old demands the parts add up to one; as
// they may differ by a round, the lower of two own and the higher of others' count.
// The cell's demand counts, not the VM's own, so that a new home takes over its part.
func (l *Limiter) cellDemandShare(b *bucket) float64 {
	floor := minDemandFraction * b.customer.Rate / float64(l.cells.Reachable)
	own := floor
	if known := b.home.demandHistory; len(known) > 1 {
		own = max(own, min(known[0], known[1]))
	}
	others, reporting := 0.0, 0
	for source, u := range b.otherCells {
		cells := max(1, int(u.Cells))
		others += max(float64(u.Demand), b.home.previousDemand[source], floor*float64(cells))
		reporting += cells
	}
	others += floor * float64(max(0, l.cells.Reachable-1-reporting))
	if own+others <= 0 {
		return 1 / float64(l.cells.Reachable)
	}
	return own / (own + others)
}

// admitForCell takes one operation within this VM's part of the limit. The count of
// all VMs, late as it is, bounds it as well.
func (l *Limiter) admitForCell(b *bucket) (time.Duration, bool) {
	fraction, slack := l.cellFraction(b)
	limit := fraction * (b.customer.Rate*l.window.Seconds() + b.customer.Burst) * l.reachableFraction()
	perSecond := fraction * l.tokenRate(b)
	h := &b.home
	h.tokens = min(h.tokens+b.filledAt.Sub(h.filledAt).Seconds()*perSecond, max(1+slack, fraction*bucketCapacityBursts*b.customer.Burst*l.reachableFraction()))
	h.filledAt = b.filledAt
	if h.tokens >= 1 && h.admitted.sum+1 <= max(1, limit+slack) && l.windowRemaining(b) >= 1 {
		h.tokens--
		h.admitted.add(1)
		b.taken++
		b.recent.add(1)
		return 0, true
	}
	missing := max(1-h.tokens, h.admitted.sum+1-limit-slack, 1-l.windowRemaining(b))
	return time.Duration(missing / max(0.1, perSecond) * float64(time.Second)), false
}
