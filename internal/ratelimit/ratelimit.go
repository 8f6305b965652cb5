// Package ratelimit keeps customers within their rate and burst over all VMs
// without a coordinator. The limit is the platform's: in a window, a customer may
// have rate x window + burst operations. A token bucket paces what the window
// allows, so that a customer that asks for more than it may is served evenly.
//
// Every VM keeps a copy of each customer's token bucket and
// tells the others what it has taken; between two reports it takes at most the
// part of the tokens that its share of the demand gives it. A VM that hears only
// some of the others counts on the same part of the rate as it hears VMs, so that
// two sides of a network partition together stay within it.
package ratelimit

import (
	"sync"
	"time"

	"chicoryline/internal/access"
	"chicoryline/internal/boottime"
)

const (
	// reportInterval is the time between two reports of a VM to the others.
	reportInterval = 500 * time.Millisecond
	// demandDecay is the time over which demand is averaged.
	demandDecay = time.Second
	// minDemandFraction is the part of an even share that a VM without demand counts
	// with, so that its first operations find tokens.
	minDemandFraction = 0.2
	// reservePerRound is the part of a window's limit that is kept back for counts
	// that are under way, for each round of reports beyond two.
	reservePerRound = 0.02
	// bucketCapacityBursts of a bucket, in bursts. The window bounds what a customer may take; the
	// bucket only spreads it, and unused tokens of a small customer have to be enough
	// for whole ones on each of the VMs that it uses.
	bucketCapacityBursts = 2.5
	// minReportedDemand is the demand, in operations per second, below which a customer
	// is left out of reports; it is reached some seconds after the last operation.
	minReportedDemand = 0.02
	// limitReductionDelay is the time after which a lowered limit takes effect: by then all
	// VMs in touch have the configuration, so none refuses what another admits. It
	// is within the 3 s in which a configuration has to be in force.
	limitReductionDelay = 2500 * time.Millisecond
)

// Usage is what one VM has taken and wanted of one customer's tokens, since its
// start.
type Usage struct {
	Taken  uint64
	Demand float32 // operations per second, smoothed
	// Cells is the number of cells that a sum over several covers.
	Cells uint16
}

// RecentEstimate is what counts, of the operations taken, from a source that is heard for the
// first time: what its present demand accounts for.
func (u Usage) RecentEstimate() float64 {
	return min(float64(u.Taken), float64(u.Demand)*(demandDecay+2*reportInterval).Seconds())
}

// bucket is one customer's tokens. Own and peers' takings are subtracted.
type bucket struct {
	customer access.Customer
	// recent counts what all VMs in touch have taken in the window.
	recent windowCounter
	// reduced takes the place of customer at lowerAt, if that is not 0.
	reduced      access.Customer
	reducedAt    boottime.Time
	tokens       float64
	filledAt     boottime.Time
	taken        uint64
	requested    float64 // since demandAt
	demand       float64
	demandAt     boottime.Time
	averagedOver time.Duration // over which demand is the average, so far
	allowance    float64       // own operations until the next renewal
	renewedAt    boottime.Time
	// peers are the other VMs of the cell, distant the other cells.
	peers, otherCells map[string]Usage
	// home is used in large fleets.
	home homeState
}

// Limiter admits operations. The mutex guards the fields below it.
type Limiter struct {
	now    func() boottime.Time
	window time.Duration

	mu        sync.Mutex
	buckets   map[string]*bucket
	reachable int // VMs in touch, this one included
	members   int // VMs that may serve
	rounds    int // of reports until a count has reached all VMs
	// cells is how the rates are split in a large fleet; nil in a small one, where each
	// VM hears all others.
	cells *CellLayout
}

// New returns a limiter over windows of the length. Buckets start empty: what was
// taken before a restart is not known.
func New(now func() boottime.Time, window time.Duration) *Limiter {
	return &Limiter{now: now, window: window, buckets: map[string]*bucket{}, reachable: 1, members: 1, rounds: 1}
}

// SetFleet tells how many VMs may serve, how many of them are in touch, this one
// included, and in how many rounds of reports a count reaches all of them.
func (l *Limiter) SetFleet(reachable, members, rounds int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reachable, l.members, l.rounds = max(reachable, 1), max(members, reachable, 1), max(rounds, 1)
}

// Configure takes the customers' limits.
func (l *Limiter) Configure(customers map[string]access.Customer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, c := range customers {
		b := l.bucket(name)
		l.fill(b)
		b.setLimit(c)
	}
	for name := range l.buckets {
		if _, ok := customers[name]; !ok {
			delete(l.buckets, name)
		}
	}
}

func (l *Limiter) bucket(name string) *bucket {
	b := l.buckets[name]
	if b == nil {
		now := l.now()
		b = &bucket{filledAt: now, demandAt: now, peers: map[string]Usage{}, otherCells: map[string]Usage{}}
		l.buckets[name] = b
	}
	return b
}

// setLimit takes a limit; a lower one takes effect later.
func (b *bucket) setLimit(c access.Customer) {
	if c.Rate >= b.customer.Rate {
		b.customer, b.reducedAt = c, 0
		return
	}
	if b.reducedAt == 0 {
		b.reducedAt = b.filledAt.Add(limitReductionDelay)
	}
	b.reduced = c
}

// reachableFraction is the part of every rate that the VMs in touch may use together.
func (l *Limiter) reachableFraction() float64 { return float64(l.reachable) / float64(l.members) }

// fill adds the tokens since the last call.
func (l *Limiter) fill(b *bucket) {
	now := l.now()
	if b.reducedAt != 0 && now >= b.reducedAt {
		b.customer, b.reducedAt = b.reduced, 0
		b.recent, b.home.admitted = windowCounter{}, windowCounter{}
	}
	b.recent.advance(now, l.window)
	b.home.admitted.advance(now, l.window)
	passed := now.Sub(b.filledAt).Seconds()
	b.filledAt = now
	gain := passed * l.tokenRate(b)
	b.tokens = min(b.tokens+gain, bucketCapacityBursts*b.customer.Burst*l.reachableFraction())
	b.allowance += gain * l.demandShare(b)
	if age := now.Sub(b.demandAt); age >= reportInterval {
		b.updateDemand(age, l.cells != nil)
		b.requested, b.demandAt = 0, now
	}
}

// updateDemand averages the demand. The first measurements count as much as there are of
// them, so that the average does not begin at zero.
func (b *bucket) updateDemand(age time.Duration, large bool) {
	decay := demandDecay
	if large {
		decay = largeFleetDemandDecay
	}
	if b.demand <= minReportedDemand {
		b.averagedOver = 0
	}
	b.averagedOver = min(b.averagedOver+age, max(decay, age))
	b.demand += (b.requested/age.Seconds() - b.demand) * age.Seconds() / b.averagedOver.Seconds()
}

// tokenRate is the rate at which tokens come: what a window allows, spread evenly.
func (l *Limiter) tokenRate(b *bucket) float64 {
	return (b.customer.Rate + b.customer.Burst/l.window.Seconds()) * l.reachableFraction()
}

// windowRemaining is what the window allows at this moment.
func (l *Limiter) windowRemaining(b *bucket) float64 {
	limit := (b.customer.Rate*l.window.Seconds() + b.customer.Burst) * l.reachableFraction()
	return limit*(1-reservePerRound*float64(max(0, l.rounds-2))) - b.recent.sum
}

// demandShare is this VM's part of the demand of the VMs in touch. Those that have not
// reported the customer count with a small demand: a flood may begin at all at once.
func (l *Limiter) demandShare(b *bucket) float64 {
	floor := minDemandFraction * b.customer.Rate / float64(l.members)
	own := max(b.demand, floor)
	total := own + floor*float64(max(0, l.reachable-1-len(b.peers)))
	for _, p := range b.peers {
		total += max(float64(p.Demand), floor)
	}
	if total <= 0 {
		return 1 / float64(l.reachable)
	}
	return own / total
}

// renewAllowance gives this VM its share of the tokens that are there until its next report.
// As long as a report takes to reach all VMs, each gives the same tokens out again,
// so each time only a part of what the window still allows is given. A fraction of a
// token is kept, so that a VM with a small share comes to a whole one.
func (l *Limiter) renewAllowance(b *bucket, now boottime.Time) {
	if now.Sub(b.renewedAt) < reportInterval/2 {
		return
	}
	b.renewedAt = now
	free := max(0, min(b.tokens, l.windowRemaining(b)/float64(l.rounds)))
	b.allowance = min(b.allowance, 1) + l.demandShare(b)*free
}

// Admit takes one operation, or tells when there is room for one.
func (l *Limiter) Admit(c access.Customer) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucket(c.Name)
	l.fill(b)
	b.requested++
	if l.cells != nil {
		return l.admitForCell(b)
	}
	if b.tokens >= 1 && b.allowance >= 1 && l.windowRemaining(b) >= 1 {
		b.tokens--
		b.allowance--
		b.taken++
		b.recent.add(1)
		return 0, true
	}
	missing := max(1-b.tokens, 1-b.allowance, 1-l.windowRemaining(b))
	perSecond := max(0.1, l.tokenRate(b)*l.demandShare(b))
	return time.Duration(missing / perSecond * float64(time.Second)), false
}

// Report returns what this VM has taken, for the others, and renews what it may
// take until the next report.
func (l *Limiter) Report() map[string]Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	report := make(map[string]Usage, len(l.buckets))
	for name, b := range l.buckets {
		l.fill(b)
		b.home.recordDemand(b, l.rounds)
		l.updateOnlyHome(b)
		l.renewAllowance(b, l.now())
		if b.demand > minReportedDemand {
			report[name] = Usage{Taken: b.taken, Demand: float32(b.demand)}
		}
	}
	return report
}

// ObserveReport takes the report of another VM of the cell. A count that went down began anew
// at zero. Of a customer that the VM did not report before, what its present demand
// accounts for is counted.
func (l *Limiter) ObserveReport(vm string, usage map[string]Usage) {
	l.observe(vm, usage, func(b *bucket) map[string]Usage { return b.peers })
}

// ObserveCellReport takes the summed report of another cell.
func (l *Limiter) ObserveCellReport(source string, usage map[string]Usage) {
	l.observe(source, usage, func(b *bucket) map[string]Usage {
		if b.home.previousDemand == nil {
			b.home.previousDemand = map[string]float64{}
		}
		b.home.previousDemand[source] = float64(b.otherCells[source].Demand)
		return b.otherCells
	})
}

func (l *Limiter) observe(source string, usage map[string]Usage, reports func(*bucket) map[string]Usage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, u := range usage {
		b, ok := l.buckets[name]
		if !ok {
			continue
		}
		taken := 0.0
		of := reports(b)
		last, reported := of[source]
		switch {
		case reported && u.Taken >= last.Taken:
			taken = float64(u.Taken - last.Taken)
		case reported:
			taken = float64(u.Taken)
		default:
			taken = u.RecentEstimate()
		}
		l.fill(b)
		b.tokens -= taken
		b.recent.add(taken)
		of[source] = u
	}
}

// Forget drops what is known of a VM, or a cell, that is no longer in touch.
func (l *Limiter) Forget(vm string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, b := range l.buckets {
		delete(b.peers, vm)
		delete(b.otherCells, vm)
		delete(b.home.previousDemand, vm)
	}
}
