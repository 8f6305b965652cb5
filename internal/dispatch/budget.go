package dispatch

// Members counts the VMs that share a limit.
type Members struct {
	// All counts the listed VMs, Reachable those that this one hears of. Both include itself.
	All, Reachable int
}

// ConnectionBudget returns how many connections this VM may open to a server, given its own
// load there and that of all other VMs that it hears of.
//
// Load pattern: VMs in failure domains with few VMs, and the owners of customers, carry
// several times the statements of others. A connection serves one customer only, so a VM with
// too few of them opens a new one for nearly every statement. Part of the limit is split
// evenly, so that each VM can start; the rest is split by load. If there are hardly more
// connections than VMs, an even split would leave nothing to split by load: VMs without load
// then use their only connection briefly (see Router.CloseIdle).
func ConnectionBudget(limit int, m Members, own, others float64) int {
	return max(1, int(ConnectionShare(limit, m, own, others)))
}

// ConnectionShare returns this VM's share of the limit, in connections; it may be less than
// one. What is split by load is reduced to the part of the reachable VMs: those that are not heard
// of may still run, split the limit among themselves and reach the server. So the sides of a
// partition stay within the limit together, and a VM that was suspended, which hears of no other
// VM at first, falls back to a VM's part.
func ConnectionShare(limit int, m Members, own, others float64) float64 {
	total := own + others
	each := float64(limit) / float64(max(m.All, 1))
	if total < minLoad {
		return each
	}
	even := evenFraction * min(1, each/fullEvenConnections)
	byLoad := (1 - even) * each * float64(min(m.Reachable, m.All))
	return even*each + byLoad*own/total
}

const (
	// evenFraction is the fraction of a limit that is split evenly over the VMs.
	evenFraction = 0.4
	// fullEvenConnections is the number of connections per VM from which on evenFraction
	// applies in full. Small deployments have that many.
	fullEvenConnections = 4
	// minLoad is the load of the fleet, in statements in flight, below which the whole limit
	// is split evenly.
	minLoad = 0.5
)
