// Package ratelimit keeps customers within their rate and burst over all VMs without a
// coordinator. The limit is defined by the platform: in a window, a customer may run rate x
// window + burst operations. A token bucket spreads the allowed operations evenly over the
// window, so that a customer above its rate is served at a steady pace.
//
// Every VM keeps a copy of each customer's token bucket and reports to the others how many
// tokens it has taken. Between two reports it takes at most its share of the tokens, which is
// proportional to its share of the demand. A VM that reaches only some of the others uses the
// same fraction of the rate as the fraction of VMs that it reaches, so that both sides of a
// network partition together stay within the limit.
package ratelimit

import (
	"sync"
	"time"

	"chicoryline/internal/access"
	"chicoryline/internal/admission"
	"chicoryline/internal/boottime"
)

const (
	// reportInterval is the time between two reports of a VM to the others.
	reportInterval = 500 * time.Millisecond
	// demandDecay is the time over which demand is averaged.
	demandDecay = time.Second
	// minDemandFraction is the demand that a VM without demand is assumed to have, as a
	// fraction of an even share, so that its first operations find tokens.
	minDemandFraction = 0.2
	// reservePerRound is the fraction of a window's limit that is reserved for counts in
	// flight, for each round of reports beyond two.
	reservePerRound = 0.02
	// bucketCapacityBursts is the capacity of a bucket, in bursts. The window bounds what a
	// customer may take; the bucket only spreads it. The unused tokens of a small customer
	// have to suffice for whole tokens on each of the VMs that it uses.
	bucketCapacityBursts = 2.5
	// minReportedDemand is the demand, in operations per second, below which a customer is
	// omitted from reports; the demand falls below it some seconds after the last operation.
	minReportedDemand = 0.02
	// limitReductionDelay is the time after which a reduced limit takes effect. By then all
	// reachable VMs have the configuration, so none rejects what another one admits. It is
	// within the 3 s in which a configuration has to be in force.
	limitReductionDelay = 2500 * time.Millisecond
)

// Usage is what one VM has taken and requested of one customer's tokens. Taken counts from the
// start of the VM.
type Usage struct {
	Taken  uint64
	Demand float32 // operations per second, smoothed
	// Cells is the number of cells that an aggregate covers.
	Cells uint16
}

// RecentEstimate returns how many of the operations taken are counted for a source that
// reports for the first time: those that its present demand accounts for.
func (u Usage) RecentEstimate() float64 {
	return min(float64(u.Taken), float64(u.Demand)*(demandDecay+2*reportInterval).Seconds())
}

// bucket is the token bucket of one customer. Operations of this VM and of the others are both
// deducted.
type bucket struct {
	customer access.Customer
	// recent counts the operations of all reachable VMs in the window.
	recent windowCounter
	// reduced replaces customer at reducedAt, if that is not 0.
	reduced      access.Customer
	reducedAt    boottime.Time
	tokens       float64
	filledAt     boottime.Time
	taken        uint64
	requested    float64 // operations since demandAt
	demand       float64
	demandAt     boottime.Time
	averagedOver time.Duration // time that the average demand covers so far
	allowance    float64       // own operations until the next renewal
	returns      admission.Spread
	renewedAt    boottime.Time
	// peers holds the reports of the other VMs of the cell, otherCells those of the other
	// cells.
	peers, otherCells map[string]Usage
	// home is used in large fleets.
	home homeState
}

// Limiter admits operations. The mutex guards the fields below it.
type Limiter struct {
	now    func() boottime.Time
	window time.Duration
	// started is when this VM started: it has admitted nothing before.
	started boottime.Time

	mu        sync.Mutex
	buckets   map[string]*bucket
	reachable int // reachable VMs, this one included
	members   int // VMs that may serve
	rounds    int // of reports until a count reaches all VMs
	// cells is set in a large fleet; it is nil in a small one, where each VM gets the reports
	// of all others.
	cells *CellLayout
}

// New returns a limiter with windows of the given length. Buckets start empty because
// operations before a restart are not known.
func New(now func() boottime.Time, window time.Duration) *Limiter {
	return &Limiter{now: now, window: window, started: now(), buckets: map[string]*bucket{}, reachable: 1, members: 1, rounds: 1}
}

// SetFleet sets how many VMs may serve, how many of them are reachable, this one included, and
// in how many rounds of reports a count reaches all of them.
func (l *Limiter) SetFleet(reachable, members, rounds int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reachable, l.members, l.rounds = max(reachable, 1), max(members, reachable, 1), max(rounds, 1)
}

// Configure sets the customers' limits.
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
		b = &bucket{filledAt: now, demandAt: now, peers: map[string]Usage{}, otherCells: map[string]Usage{}, home: homeState{filledAt: l.started}}
		l.buckets[name] = b
	}
	return b
}

// setLimit sets the limit; a limit with a lower rate takes effect after limitReductionDelay.
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

// reachableFraction is the fraction of every rate that the reachable VMs may use together.
func (l *Limiter) reachableFraction() float64 { return float64(l.reachable) / float64(l.members) }

// fill adds the tokens since the last call and applies a due limit reduction.
func (l *Limiter) fill(b *bucket) {
	now := l.now()
	if b.reducedAt != 0 && now >= b.reducedAt {
		b.customer, b.reducedAt = b.reduced, 0
		b.recent = windowCounter{}
	}
	b.recent.advance(now, l.window)
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

// updateDemand updates the average demand. While less than the decay time has been measured,
// the average covers just the measured time, so that it does not start from zero.
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

// tokenRate is the number of tokens added per second: the limit of a window, spread evenly.
func (l *Limiter) tokenRate(b *bucket) float64 {
	return (b.customer.Rate + b.customer.Burst/l.window.Seconds()) * l.reachableFraction()
}

// windowRemaining is the number of operations that the window still allows.
func (l *Limiter) windowRemaining(b *bucket) float64 {
	limit := (b.customer.Rate*l.window.Seconds() + b.customer.Burst) * l.reachableFraction()
	return limit*(1-reservePerRound*float64(max(0, l.rounds-2))) - b.recent.sum
}

// demandShare returns this VM's share of the demand of the reachable VMs. VMs that have not
// reported the customer are assumed to have a small demand: a burst may begin at all VMs at
// once.
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

// renewAllowance sets the operations that this VM may admit until its next report to its share
// of the available tokens. While a report propagates to all VMs, each VM distributes the same
// tokens again, so each round only distributes a part of what the window still allows. Up to
// one token is carried over, so that a VM with a small share reaches a whole one.
func (l *Limiter) renewAllowance(b *bucket, now boottime.Time) {
	if now.Sub(b.renewedAt) < reportInterval/2 {
		return
	}
	b.renewedAt = now
	free := max(0, min(b.tokens, l.windowRemaining(b)/float64(l.rounds)))
	b.allowance = min(b.allowance, 1) + l.demandShare(b)*free
}

// Admit admits one operation, or returns when to retry.
func (l *Limiter) Admit(c access.Customer) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucket(c.Name)
	l.fill(b)
	b.requested++
	if l.admit(b) {
		return 0, true
	}
	return l.reject(b), false
}

// tryAdmit admits one operation, which counts for the demand only if it is not repeated.
func (l *Limiter) tryAdmit(c access.Customer, repeated bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucket(c.Name)
	l.fill(b)
	if !repeated {
		b.requested++
	}
	return l.admit(b)
}

// rejected returns when an operation that was not admitted may be sent again.
func (l *Limiter) rejected(c access.Customer) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucket(c.Name)
	l.fill(b)
	return l.reject(b)
}

// admit admits one operation of a bucket that has been filled. The mutex is held.
func (l *Limiter) admit(b *bucket) bool {
	if l.cells != nil {
		return l.admitForCell(b)
	}
	if b.tokens < 1 || b.allowance < 1 || l.windowRemaining(b) < 1 {
		return false
	}
	b.tokens--
	b.allowance--
	b.taken++
	b.recent.add(1)
	return true
}

// reject returns when a rejected operation may be sent again. The mutex is held.
func (l *Limiter) reject(b *bucket) time.Duration {
	if l.cells != nil {
		return l.rejectForCell(b)
	}
	missing := max(1-b.tokens, 1-b.allowance, 1-l.windowRemaining(b))
	perSecond := max(0.1, l.tokenRate(b)*l.demandShare(b))
	return l.retryAfter(b, missing, perSecond)
}

// Report returns the usage of this VM to send to the others, and renews its allowance until
// the next report.
func (l *Limiter) Report() map[string]Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	report := make(map[string]Usage, len(l.buckets))
	for name, b := range l.buckets {
		l.fill(b)
		b.home.recordDemand(b, l.rounds)
		l.updateOnlyHome(b)
		if l.cells != nil {
			l.cellAllowance(b) // a VM that becomes the home must not count the time before
		}
		l.renewAllowance(b, l.now())
		if b.demand > minReportedDemand {
			report[name] = Usage{Taken: b.taken, Demand: float32(b.demand)}
		}
	}
	return report
}

// ObserveReport applies the report of another VM of the cell. A counter that decreased has
// restarted from zero. For a customer that the VM did not report before, RecentEstimate is
// counted.
func (l *Limiter) ObserveReport(vm string, usage map[string]Usage) {
	l.observe(vm, usage, func(b *bucket) map[string]Usage { return b.peers })
}

// ObserveCellReport applies the aggregated report of another cell.
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
		known := reports(b)
		last, reported := known[source]
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
		known[source] = u
	}
}

// Forget drops the reports of a VM or a cell that has become unreachable.
func (l *Limiter) Forget(vm string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, b := range l.buckets {
		delete(b.peers, vm)
		delete(b.otherCells, vm)
		delete(b.home.previousDemand, vm)
	}
}
