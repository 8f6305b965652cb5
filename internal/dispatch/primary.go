package dispatch

const (
	// primaryBusyFraction is the number of statements in flight per slot of a primary from
	// which on the reads that a replica may serve are limited there: below it, most statements
	// find a free slot.
	primaryBusyFraction = 0.75
	// readFill is the number of statements in flight per slot that reads may fill a primary to.
	// With 1.5, slots are empty while statements travel and connections open; with 3.5, routes
	// of the replay miss their objective in the queue of the server.
	readFill = 2.5
	// minReadFill is what remains for reads if the work that only the primary can run needs
	// all slots.
	minReadFill = 0.25
	// maxSlack bounds the factor by which the parts of the VMs may add up to more than the whole
	// while there is room for all reads. Without it, 77 VMs did not serve 1.7 % of the operations at
	// a primary that was busy for 0.6 of the time.
	maxSlack = 4
	// evenReadFraction is the part of the reads that is split evenly over the VMs; the rest
	// follows demand, which is known after a second.
	evenReadFraction = 0.2
	// minReadDemand is the demand, in statements in flight, below which the whole part of reads
	// is split evenly.
	minReadDemand = 0.1
)

// PrimaryLoad is the load of a primary: the statements that this VM and all others have in
// flight there or waiting, and those of them that a replica may serve.
type PrimaryLoad struct {
	Members                           int
	Own, Others, OwnReads, OtherReads float64
}

// readLimit returns how many reads that a replica may serve this VM may have in flight at the
// primary. limited is false while the primary has room for all. overloaded reports that this VM
// has noticed that the primary is overloaded, which the loads show only later.
//
// Load pattern: all replicas of a group lag, and the primary gets all reads of the group. They
// displace the writes, which only the primary can run.
func readLimit(slots int, l PrimaryLoad, overloaded bool) (limit float64, limited bool) {
	total, reads := l.Own+l.Others, l.OwnReads+l.OtherReads
	if !overloaded && total < primaryBusyFraction*float64(slots) {
		return 0, false
	}
	all := float64(slots) * readFill
	all = max(minReadFill*float64(slots), all-max(0, total-reads))
	if !overloaded && reads < all {
		// All reads fit in; the parts leave room for chance.
		all *= min(maxSlack, all/max(reads, minReadDemand))
	}
	even := 1 / float64(max(l.Members, 1))
	if reads < minReadDemand {
		return all * even, true
	}
	return all * (evenReadFraction*even + (1-evenReadFraction)*l.OwnReads/reads), true
}

// LimitReads sets whether the routes of the group have different priorities and, if they do,
// limits the reads at its primary that a replica may serve; urgent is their most urgent priority.
func (r *Router) LimitReads(group string, ranked bool, urgent int, load func(*Server) PrimaryLoad) {
	g := r.find(group)
	if g == nil {
		return
	}
	g.ranked.Store(ranked)
	leader := g.Leader()
	for _, s := range g.Servers() {
		s.Conns.SetRanked(ranked, urgent)
		if s == leader && ranked {
			if limit, limited := readLimit(s.Info().Slots, load(s), s.Conns.IsOverloaded()); limited {
				s.Conns.LimitReplaceable(limit)
				continue
			}
		}
		s.Conns.UnlimitReplaceable()
	}
}

// isReplaceable reports whether a read at the server takes the place of work that only the
// primary can run.
func (g *Group) isReplaceable(s *Server) bool { return g.ranked.Load() && s == g.Leader() }

// ReplaceableLoad returns the smoothed number of reads that this VM has in flight or queued at
// the primary and that a replica may serve.
func (s *Server) ReplaceableLoad() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.load.replaceable
}
