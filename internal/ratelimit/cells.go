package ratelimit

import (
	"time"

	"chicoryline/internal/boottime"
)

const (
	// silentPart is the part of a cell's share that its VMs may use by themselves, in
	// equal parts, while the home that they ask is silent. It may be alive and use its
	// share as well.
	silentPart = 0.5
	// cellDemandDecay is the time over which demand is averaged in a large fleet: a
	// window, in which a cell sees some operations of a small customer too.
	cellDemandDecay = 5 * time.Second
	// homeSlack is the number of operations in a window that all homes of a customer
	// together admit beyond its limit: a small customer's operations come unevenly to
	// the cells. The platform tolerates 20.
	homeSlack = 15
)

// cells is how the rates are split in a large fleet: each cell has its part of every
// limit and admits the customer's operations at one VM, its home.
type cells struct {
	inTouch int // cells, this one included
	members int // VMs of this cell in touch
	isHome  func(customer string) bool
}

// atHome is what a cell keeps of a customer.
type atHome struct {
	// own counts what this VM has admitted in the window.
	own recent
	// tokens pace this VM's operations; filled is when they were last added.
	tokens float64
	filled boottime.Time
	// demand is the cell's at the last reports, the oldest first. Only the oldest is
	// known to the other cells.
	demand []float64
	// before is the other cells' demand in their reports before the last.
	before map[string]float64
}

// note keeps the cell's demand until all other cells know it.
func (h *atHome) note(b *bucket, rounds int) {
	sum := b.demand
	for _, u := range b.peers {
		sum += float64(u.Demand)
	}
	if len(h.demand) > rounds {
		h.demand = append(h.demand[:0], h.demand[len(h.demand)-rounds:]...)
	}
	h.demand = append(h.demand, sum)
}

// SetCells tells in how many cells in touch each customer has a home, how many VMs of
// this cell are in touch, and whether this VM is a customer's home.
func (l *Limiter) SetCells(inTouch, members int, isHome func(customer string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cells = &cells{inTouch: max(inTouch, 1), members: max(members, 1), isHome: isHome}
}

// cellShare is this cell's part of the demand that all cells know of.
//
// Load pattern: a flood begins in all cells within the time that reports take. Each
// cell would take its own demand for nearly all that there is, and together they would
// admit several times the limit. With equally old demands the parts add up to one; as
// they may differ by a round, the lower of two own and the higher of others' count.
// The cell's demand counts, not the VM's own, so that a new home takes over its part.
func (l *Limiter) cellShare(b *bucket) float64 {
	floor := demandFloor * b.customer.Rate / float64(l.cells.inTouch)
	own := floor
	if known := b.atHome.demand; len(known) > 1 {
		own = max(own, min(known[0], known[1]))
	}
	others, reporting := 0.0, 0
	for source, u := range b.distant {
		cells := max(1, int(u.Cells))
		others += max(float64(u.Demand), b.atHome.before[source], floor*float64(cells))
		reporting += cells
	}
	others += floor * float64(max(0, l.cells.inTouch-1-reporting))
	if own+others <= 0 {
		return 1 / float64(l.cells.inTouch)
	}
	return own / (own + others)
}

// admitForCell takes one operation within this VM's part of the limit. The count of
// all VMs, late as it is, bounds it as well.
func (l *Limiter) admitForCell(b *bucket) (time.Duration, bool) {
	part, slack := l.cellShare(b), homeSlack/float64(l.cells.inTouch)
	if !l.cells.isHome(b.customer.Name) {
		part, slack = part*silentPart/float64(l.cells.members), 0
	}
	limit := part * (b.customer.Rate*l.window.Seconds() + b.customer.Burst) * l.part()
	perSecond := part * l.pace(b)
	h := &b.atHome
	h.tokens = min(h.tokens+b.filled.Sub(h.filled).Seconds()*perSecond, max(1+slack, part*capacity*b.customer.Burst*l.part()))
	h.filled = b.filled
	if h.tokens >= 1 && h.own.sum+1 <= max(1, limit+slack) && l.room(b) >= 1 {
		h.tokens--
		h.own.add(1)
		b.taken++
		b.recent.add(1)
		return 0, true
	}
	missing := max(1-h.tokens, h.own.sum+1-limit-slack, 1-l.room(b))
	return time.Duration(missing / max(0.1, perSecond) * float64(time.Second)), false
}
