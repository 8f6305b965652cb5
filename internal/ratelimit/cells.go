package ratelimit

import (
	"time"

	"chicoryline/internal/access"
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
	// smallLimit is the number of operations in a window, for each cell, below which a
	// limit is not split: arrivals are off by a quarter of it as a rule.
	smallLimit = 15
)

// Cells is how the rates are split in a large fleet: each cell has its part of every limit
// and admits the customer's operations at one VM, its home. A small customer has one home
// in the fleet.
type Cells struct {
	// All counts the cells, InTouch those in touch, this one included; Members counts the
	// VMs of this cell in touch.
	All, InTouch, Members int
	// IsHome reports whether this VM is the customer's home in the cell, IsOnlyHome whether
	// it would be the only one in the fleet.
	IsHome, IsOnlyHome func(customer string) bool
}

// isSmall reports whether the customer's limit is too small to be split.
//
// Load pattern: 190 customers before ten cells. Of a window's limit of 30 operations three
// fall to a cell, to which two or three come on average, and now and then six.
func (l *Limiter) isSmall(c access.Customer) bool {
	return l.cells != nil && l.cells.All > 1 && c.Rate*l.window.Seconds()+c.Burst < smallLimit*float64(l.cells.All)
}

// HasOneHome reports whether the customer's operations are admitted at one VM of the fleet.
func (l *Limiter) HasOneHome(customer string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[customer]
	return b != nil && l.isSmall(b.customer)
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
	// only is since when this VM is the customer's only home, 0 if it is not.
	only boottime.Time
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

// noteOnly notes whether this VM is the customer's only home.
func (l *Limiter) noteOnly(b *bucket) {
	switch {
	case l.cells == nil || !l.isSmall(b.customer) || !l.cells.IsOnlyHome(b.customer.Name):
		b.atHome.only = 0
	case b.atHome.only == 0:
		b.atHome.only = b.filled
	}
}

// cellPart returns this VM's part of the customer's limit, and of homeSlack.
func (l *Limiter) cellPart(b *bucket) (part, slack float64) {
	if !l.isSmall(b.customer) {
		if l.cells.IsHome(b.customer.Name) {
			return l.cellShare(b), homeSlack / float64(l.cells.InTouch)
		}
		return l.cellShare(b) * silentPart / float64(l.cells.Members), 0
	}
	l.noteOnly(b)
	switch {
	case b.atHome.only == 0:
		return silentPart / float64(l.cells.InTouch*l.cells.Members), 0
	case b.filled.Sub(b.atHome.only) < time.Duration(l.rounds)*reportInterval:
		// What the home before admitted last is not known yet.
		return silentPart, 0
	}
	return 1, homeSlack
}

// SetCells tells how the rates are split.
func (l *Limiter) SetCells(c Cells) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.All, c.InTouch, c.Members = max(c.All, c.InTouch, 1), max(c.InTouch, 1), max(c.Members, 1)
	l.cells = &c
}

// cellShare is this cell's part of the demand that all cells know of.
//
// Load pattern: a flood begins in all cells within the time that reports take. Each
// cell would take its own demand for nearly all that there is, and together they would
// admit several times the limit. With equally old demands the parts add up to one; as
// they may differ by a round, the lower of two own and the higher of others' count.
// The cell's demand counts, not the VM's own, so that a new home takes over its part.
func (l *Limiter) cellShare(b *bucket) float64 {
	floor := demandFloor * b.customer.Rate / float64(l.cells.InTouch)
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
	others += floor * float64(max(0, l.cells.InTouch-1-reporting))
	if own+others <= 0 {
		return 1 / float64(l.cells.InTouch)
	}
	return own / (own + others)
}

// admitForCell takes one operation within this VM's part of the limit. The count of
// all VMs, late as it is, bounds it as well.
func (l *Limiter) admitForCell(b *bucket) (time.Duration, bool) {
	part, slack := l.cellPart(b)
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
