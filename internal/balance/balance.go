// Package balance picks the backend server of a database group that runs a read, from load
// information that is old and that all VMs share.
//
// Load pattern: more than a hundred VMs each send a few statements a second to each of three
// servers, and learn of the others' statements 50 to 1,500 ms late, when statements of 30 ms have
// long ended. If each VM takes the server that looked least loaded, all take the same one, and
// another one half a second later.
//
// The VMs therefore do not chase the present load. From the smoothed load of each server, which
// all VMs know to be about the same, each VM derives the same weights, and its customers are
// distributed over the servers in proportion to them by a weighted rendezvous hash. A customer
// stays at its server, where its connection is open, until the weights change. What a VM measures
// itself is fresh, and changes only its own weights.
package balance

import (
	"math"
	"time"

	"chicoryline/internal/boottime"
)

const (
	// smoothing is the time constant of the load on which weights are based. With information up to
	// 1.5 s old, shorter ones make the VMs swing between the servers in step.
	smoothing = 4 * time.Second
	// maxAge is the age from which information counts as none: the oldest update that a VM of a
	// fleet of several cells receives is 1.5 s old, and one update may be lost.
	maxAge = 2500 * time.Millisecond
	// settleTime is how long a server that is new or could not be used counts as average. Its load
	// was reported as nothing, and until reports show what it gets now, all VMs would prefer it:
	// 1.5 s until they come, and 2 s in which the reported loads, which are smoothed, follow.
	settleTime = 4 * time.Second
	// minExclusion is the time without use after which a server counts as returning. Replicas that
	// lack a position for a moment keep their load.
	minExclusion = time.Second
	// baseTemperature and temperaturePerLoad set how far the loads of two servers, in parts of
	// their slots, must differ for the weights to differ by a factor of e. The difference grows
	// with the mean load, as the effect of a weight does; with less the VMs swing.
	baseTemperature, temperaturePerLoad = 0.02, 0.15
	// primaryReserve and remoteReserve are added to the loads of the primary and of servers in
	// other failure domains. The primary takes reads once the replicas are busier by a tenth of
	// their slots, which leaves room for what only the primary can run. The own domain is left
	// once its servers are busier by a fifth of their slots, since traffic between domains is
	// billed; at 0.15 a quiet day has a third more of it, at 0.3 the primaries take most of it.
	primaryReserve, remoteReserve = 0.1, 0.2
	// delayScale is the difference between the expected delays of two servers for which their
	// weights differ by a factor of e: half of a statement. It does not grow with the load, so that
	// under overload what each VM measures itself counts most.
	delayScale = 15 * time.Millisecond
	// remoteCost is the price of a round trip between failure domains: 1 to 3 ms, and the billed
	// traffic.
	remoteCost = 5 * time.Millisecond
	// inFlightCost is the time that each statement in flight adds for those behind it: its own
	// execution time, over the slots of the server.
	inFlightCost = 30 * time.Millisecond
	// responseHalfLife is the time in which a measured response time loses half of its weight, so
	// that a server that was slow is asked again.
	responseHalfLife = time.Second
	// maxHalvings is the number of halvings after which nothing remains of a response time.
	maxHalvings = 16
)

// Server is what a VM knows of a server when it picks one. Servers are identified by a hash.
type Server struct {
	ID              uint64
	Slots           int
	Primary, Remote bool
	// InFlight is the number of own statements in flight.
	InFlight int
	// Response is the response time measured by this VM, ResponseAge the time since then.
	Response, ResponseAge time.Duration
	// Wait is the expected time until a connection is available.
	Wait time.Duration
}

// estimate is the load of a server, in statements, as of at. It counts from countsFrom on, when it
// begins to be smoothed.
type estimate struct {
	load       float64
	at         boottime.Time
	countsFrom boottime.Time
	// excludedFrom is when the server could no longer be used, 0 if it can.
	excludedFrom boottime.Time
}

// Balancer holds the loads of a group's servers. It is not safe for concurrent use.
type Balancer struct{ loads map[uint64]*estimate }

// New returns a balancer that knows no loads.
func New() *Balancer { return &Balancer{loads: map[uint64]*estimate{}} }

// Observe records the load of a server, in statements in flight or queued over all VMs, as it was
// the given age ago. Old information has no effect, and after a gap the server counts as new: a VM
// that was suspended starts anew.
func (b *Balancer) Observe(now boottime.Time, server uint64, load float64, age time.Duration) {
	if age > maxAge {
		return
	}
	at, e := now.Add(-age), b.loads[server]
	if e == nil {
		b.loads[server] = &estimate{load: load, at: at, countsFrom: now.Add(settleTime)}
		return
	}
	switch {
	case at <= e.at:
		return
	case at.Sub(e.at) > maxAge:
		e.countsFrom = now.Add(settleTime)
	case now >= e.countsFrom:
		load = e.load + (load-e.load)*(1-math.Exp(-at.Sub(e.at).Seconds()/smoothing.Seconds()))
	}
	e.load, e.at = load, at
}

// Exclude records that the server cannot be used at present.
func (b *Balancer) Exclude(now boottime.Time, server uint64) {
	if e := b.loads[server]; e != nil && e.excludedFrom == 0 {
		e.excludedFrom = now
	}
}

// Settle records that the server gets less than its part for a reason that ends: its load says
// nothing about the time after that, and it counts as average until it has settled.
func (b *Balancer) Settle(now boottime.Time, server uint64) {
	if e := b.loads[server]; e != nil {
		e.countsFrom = now.Add(settleTime)
	}
}

// include records that the server can be used. A VM with few reads may have missed that it could be
// used meanwhile; the server then counts as average for a while, which does no harm.
func (e *estimate) include(now boottime.Time) {
	if e.excludedFrom != 0 && now.Sub(e.excludedFrom) >= minExclusion {
		e.countsFrom = now.Add(settleTime)
	}
	e.excludedFrom = 0
}

// Load returns the load of a server; it is false if it does not count.
func (b *Balancer) Load(now boottime.Time, server uint64) (float64, bool) {
	e := b.loads[server]
	if e == nil || now < e.countsFrom || now.Sub(e.at) > maxAge {
		return 0, false
	}
	return e.load, true
}

// Forget drops the loads of all servers except the given ones.
func (b *Balancer) Forget(keep func(server uint64) bool) {
	for id := range b.loads {
		if !keep(id) {
			delete(b.loads, id)
		}
	}
}

// Key returns the key of a customer's read at the VM with the seed, given the number of the
// customer's statements in flight there.
func Key(seed, customer uint64, inFlight int) uint64 {
	return mix(seed ^ mix(customer+uint64(inFlight)))
}

// Pick returns the index of the server for a read, -1 if there is none. Reads with the same key
// go to the same server while the weights permit; keys are taken to be random.
func (b *Balancer) Pick(now boottime.Time, key uint64, servers []Server) int {
	if len(servers) == 0 {
		return -1
	}
	for _, s := range servers {
		if e := b.loads[s.ID]; e != nil {
			e.include(now)
		}
	}
	weights := b.logWeights(now, servers)
	picked, highest := 0, math.Inf(-1)
	for i, s := range servers {
		if x := weights[i] - math.Log(-math.Log(uniform(key, s.ID))); x > highest {
			picked, highest = i, x
		}
	}
	return picked
}

// logWeights returns the logarithms of the relative parts of the reads that the servers are to
// take. A server of unknown load counts as average.
func (b *Balancer) logWeights(now boottime.Time, servers []Server) []float64 {
	loads := make([]float64, len(servers))
	var sum, known float64
	for i, s := range servers {
		load, ok := b.Load(now, s.ID)
		if loads[i] = load / float64(max(s.Slots, 1)); !ok {
			loads[i] = math.NaN()
			continue
		}
		sum, known = sum+loads[i], known+1
	}
	mean := sum / max(known, 1)
	for i, s := range servers {
		excess := loads[i] - mean
		if math.IsNaN(excess) {
			excess = 0
		}
		if s.Primary {
			excess += primaryReserve
		}
		if s.Remote {
			excess += remoteReserve
		}
		loads[i] = math.Log(float64(max(s.Slots, 1))) - excess/(baseTemperature+temperaturePerLoad*mean) - s.delay().Seconds()/delayScale.Seconds()
	}
	return loads
}

// delay estimates the time until the server answers, from what this VM has measured itself.
func (s Server) delay() time.Duration {
	halvings := min(max(s.ResponseAge/responseHalfLife, 0), maxHalvings)
	delay := s.Response>>halvings + s.Wait + inFlightCost*time.Duration(s.InFlight)/time.Duration(max(s.Slots, 1))
	if s.Remote {
		delay += remoteCost
	}
	return delay
}

// uniform returns a number between 0 and 1, both exclusive, that depends on the key and the
// server only.
func uniform(key, server uint64) float64 { return fraction(mix(key ^ mix(server))) }

// fraction maps a hash to a number between 0 and 1, both exclusive, in the order of hashes.
func fraction(hash uint64) float64 {
	const bits = 52 // with half a unit more, a float64 holds the result exactly
	return (float64(hash>>(64-bits)) + 0.5) / (1 << bits)
}

// mix is the finalizer of splitmix64. Each bit of its result depends on every bit of x.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
