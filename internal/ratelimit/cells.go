package ratelimit

import (
	"time"

	"chicoryline/internal/access"
	"chicoryline/internal/boottime"
)

const (
	// unreachableHomeFraction is the fraction of a cell's share that its VMs may use on their
	// own, in equal parts, while the home that they ask does not answer. The home may still be
	// running and use its share as well.
	unreachableHomeFraction = 0.5
	// largeFleetDemandDecay is the time over which demand is averaged in a large fleet: one
	// window, in which a cell receives some operations even of a small customer.
	largeFleetDemandDecay = 5 * time.Second
	// tokenReserve is the part of a window's limit that all homes together keep as tokens. The
	// platform tolerates a tenth.
	tokenReserve = 0.08
	// maxRefillGap is the time without a report after which a VM was frozen, and another one may
	// have become the home.
	maxRefillGap = 2 * reportInterval
	// homeSlackOperations is the number of operations per window that all homes of a customer
	// together admit beyond its limit, since operations of a small customer are spread
	// unevenly over the cells. The platform tolerates 20.
	homeSlackOperations = 15
	// minSplitOperationsPerCell is the number of operations per window and cell below which a
	// limit is not split: arrivals typically deviate from it by a quarter.
	minSplitOperationsPerCell = 15
)

// CellLayout describes how rates are split in a large fleet. Each cell, a group of VMs of one
// failure domain, has a share of every limit and admits the customer's operations at one VM,
// the customer's home. A small customer has a single home in the fleet.
type CellLayout struct {
	// Total is the number of cells, Reachable that of reachable ones, this one included;
	// Members is the number of reachable VMs of this cell.
	Total, Reachable, Members int
	// IsHome reports whether this VM is the customer's home in the cell, IsOnlyHome whether it
	// would be the customer's single home in the fleet.
	IsHome, IsOnlyHome func(customer string) bool
}

// isSmall reports whether the customer's limit is too small to be split.
//
// Load pattern: 190 customers use a fleet of ten cells. Of a limit of 30 operations per window
// each cell gets three; a cell receives two or three on average, and occasionally six.
func (l *Limiter) isSmall(c access.Customer) bool {
	return l.cells != nil && l.cells.Total > 1 && c.Rate*l.window.Seconds()+c.Burst < minSplitOperationsPerCell*float64(l.cells.Total)
}

// HasOneHome reports whether the customer's operations are admitted at a single VM of the
// fleet.
func (l *Limiter) HasOneHome(customer string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[customer]
	return b != nil && l.isSmall(b.customer)
}

// homeState is the state for admitting a customer in a large fleet.
type homeState struct {
	// tokens limit the rate of this VM's operations; they were last refilled at filledAt.
	tokens   float64
	filledAt boottime.Time
	// refilled reports that the tokens have been refilled before.
	refilled bool
	// demandHistory holds the cell's demand at the last reports, oldest first. The other cells
	// know only the oldest one. The newest is of demandRecordedAt.
	demandHistory    []float64
	demandRecordedAt boottime.Time
	// previousDemand is each other cell's demand in its last report but one.
	previousDemand map[string]float64
	// onlyHomeSince is the time since which this VM is the customer's single home, 0 if it is
	// not.
	onlyHomeSince boottime.Time
	// loan is the number of operations borrowed from other cells, usable until loanUntil.
	loan      int
	loanUntil boottime.Time
}

// recordDemand appends the cell's demand and drops entries older than the given number of
// rounds, after which all other cells know them. Reports that are sent out of turn, as in a
// failover, add no round.
func (h *homeState) recordDemand(b *bucket, rounds int) {
	if b.filledAt.Sub(h.demandRecordedAt) < reportInterval*9/10 {
		return
	}
	h.demandRecordedAt = b.filledAt
	sum := b.demand
	for _, u := range b.peers {
		sum += float64(u.Demand)
	}
	if len(h.demandHistory) > rounds {
		h.demandHistory = append(h.demandHistory[:0], h.demandHistory[len(h.demandHistory)-rounds:]...)
	}
	h.demandHistory = append(h.demandHistory, sum)
}

// updateOnlyHome updates whether this VM is the customer's single home.
func (l *Limiter) updateOnlyHome(b *bucket) {
	switch {
	case l.cells == nil || !l.isSmall(b.customer) || !l.cells.IsOnlyHome(b.customer.Name):
		b.home.onlyHomeSince = 0
	case b.home.onlyHomeSince == 0:
		b.home.onlyHomeSince = b.filledAt
	}
}

// cellFraction returns the fraction of the customer's limit that this VM may admit, and its
// part of homeSlackOperations.
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
		// The last operations that the previous home admitted are not known yet.
		return unreachableHomeFraction, 0
	}
	return 1, homeSlackOperations
}

// SetCells sets how rates are split over cells.
func (l *Limiter) SetCells(c CellLayout) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.Total, c.Reachable, c.Members = max(c.Total, c.Reachable, 1), max(c.Reachable, 1), max(c.Members, 1)
	l.cells = &c
}

// cellDemandShare returns this cell's share of the demand of all cells.
//
// Load pattern: a burst begins in all cells within the time that reports take to propagate. If
// each cell compared its current demand with the others' outdated reports, it would claim
// nearly the whole limit, and together the cells would admit several times the limit. With
// demands of equal age the shares add up to one. As the ages may differ by one round, the
// lower of two own values and the higher of two values of each other cell are used. The demand
// is that of the cell and not of the VM, so that a new home takes over its share.
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

// cellAllowance is what this VM may admit for a customer.
type cellAllowance struct {
	// perSecond is the number of tokens added per second, capacity the number that is kept.
	perSecond, capacity float64
	// isHome reports that the VM admits the customer's operations for its cell.
	isHome bool
}

// cellAllowance returns what this VM may admit, and refills its tokens.
//
// The tokens of all homes together are refilled at the pace of the limit and hold at most
// tokenReserve of it, so no window exceeds the limit by more while reports arrive in time for the
// homes' fractions to add up to one. A home that starts, or resumes after a freeze, has no tokens:
// those of its predecessor or successor may have been used.
func (l *Limiter) cellAllowance(b *bucket) cellAllowance {
	fraction, slack := l.cellFraction(b)
	limit := fraction * l.reachableFraction() * (b.customer.Rate*l.window.Seconds() + b.customer.Burst)
	slack *= l.reachableFraction()
	a := cellAllowance{perSecond: limit / l.window.Seconds(), capacity: max(1, tokenReserve*limit+slack), isHome: slack > 0}
	h := &b.home
	passed := b.filledAt.Sub(h.filledAt)
	if h.refilled && passed > maxRefillGap {
		h.tokens, passed = 0, 0
	}
	h.tokens = min(h.tokens+passed.Seconds()*a.perSecond, a.capacity)
	h.filledAt, h.refilled = b.filledAt, true
	return a
}

// admitForCell admits one operation within this VM's fraction of the limit or of one borrowed
// from another cell. The delayed count of all VMs is a second bound, for the time in which reports
// are late.
func (l *Limiter) admitForCell(b *bucket) bool {
	a := l.cellAllowance(b)
	h := &b.home
	if l.fleetRemaining(b, a.isHome) < 1 {
		return false
	}
	switch {
	case h.tokens >= 1:
		h.tokens--
	case !h.useLoan(b.filledAt):
		return false
	}
	b.taken++
	b.recent.add(1)
	return true
}

// rejectForCell returns when a rejected operation may be sent again.
func (l *Limiter) rejectForCell(b *bucket) time.Duration {
	a := l.cellAllowance(b)
	return l.retryAfter(b, max(1-b.home.tokens, 1-l.fleetRemaining(b, a.isHome), 0.1), max(0.1, a.perSecond))
}

// fleetRemaining is the number of operations that the window still allows by the delayed count of
// all VMs. Homes are bounded by their tokens in a partition, so for them the window counts for the
// whole fleet.
func (l *Limiter) fleetRemaining(b *bucket, isHome bool) float64 {
	if !isHome {
		return l.windowRemaining(b)
	}
	return b.customer.Rate*l.window.Seconds() + b.customer.Burst + homeSlackOperations - b.recent.sum
}
