package dispatch

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"chicoryline/internal/balance"
	"chicoryline/internal/boottime"
	"chicoryline/internal/position"
)

// ReportedLoad is the load of a server over all VMs, in statements in flight or queued, as known
// to this VM. Age is the mean age of the reports in it.
type ReportedLoad struct {
	Load float64
	Age  time.Duration
}

// ObserveLoads records the loads of the group's servers, on which the distribution of reads is
// based.
func (r *Router) ObserveLoads(group string, load func(*Server) ReportedLoad) {
	g := r.find(group)
	if g == nil {
		return
	}
	g.observeLoads(boottime.Now(), load)
}

func (g *Group) observeLoads(now boottime.Time, load func(*Server) ReportedLoad) {
	g.mu.Lock()
	defer g.mu.Unlock()
	known := map[uint64]bool{}
	for _, s := range g.servers {
		id, l := s.balanceID(), load(s)
		known[id] = true
		g.balancer.Observe(now, id, l.Load, l.Age)
		if !s.isEligible(position.Position{}, now) {
			g.balancer.Exclude(now, id)
		}
		if s.isLimited(now) {
			g.balancer.Settle(now, id)
		}
	}
	g.balancer.Forget(func(id uint64) bool { return known[id] })
}

// balanceID identifies the server in package balance.
func (s *Server) balanceID() uint64 { return xxhash.Sum64String(s.Info().ID) }

// balanceRead returns the server for a read of the customer among those that can run it and were
// not tried before. Each concurrent read of a customer has a key of its own: the customer's single
// reads reuse one connection, and a customer with many spreads over the servers. The mutex is held.
func (g *Group) balanceRead(eligible, tried []*Server, customer string, now boottime.Time) *Server {
	for _, s := range g.servers {
		if !contains(eligible, s) && !contains(tried, s) {
			g.balancer.Exclude(now, s.balanceID())
		}
	}
	if len(eligible) == 0 {
		return nil
	}
	known, inUse := make([]balance.Server, 0, len(eligible)), 0
	for _, s := range eligible {
		b, customerInUse := g.balanceServer(s, customer, now)
		known, inUse = append(known, b), inUse+customerInUse
	}
	key := balance.Key(g.cfg.ReadSeed, xxhash.Sum64String(customer), inUse)
	picked := eligible[g.balancer.Pick(now, key, known)]
	picked.reads.Add(1)
	return picked
}

// balanceServer returns what this VM knows of the server for a read of the customer, and the number
// of the customer's statements there.
func (g *Group) balanceServer(s *Server, customer string, now boottime.Time) (balance.Server, int) {
	info, load := s.Info(), s.Conns.Load(customer)
	b := balance.Server{ID: s.balanceID(), Slots: info.Slots, Primary: s == g.leader, Remote: info.Domain != g.cfg.Domain, InFlight: load.InUse}
	switch {
	case load.Full:
		b.Wait = load.Wait
	case !load.Idle:
		b.Wait = load.DialTime
	}
	if s == g.leader && g.ranked.Load() {
		b.Wait = max(b.Wait, load.PacedWait)
	}
	s.mu.Lock()
	b.Response, b.ResponseAge = s.responseTime, now.Sub(s.responseMeasuredAt)
	s.mu.Unlock()
	return b, load.CustomerInUse
}

// ReadStats describes the distribution of reads.
type ReadStats struct {
	// Picked counts the reads for which this VM picked the server.
	Picked int64
	// Load is the smoothed load over all VMs, in statements, 0 if nothing recent is known.
	Load float64
}

// ReadStats returns the counters of a server.
func (g *Group) ReadStats(s *Server) ReadStats {
	g.mu.Lock()
	defer g.mu.Unlock()
	load, known := g.balancer.Load(boottime.Now(), s.balanceID())
	if !known {
		load = 0
	}
	return ReadStats{Picked: s.reads.Load(), Load: load}
}
