package dispatch

// ConnectionBudget returns how many connections this VM may open to a server, given its own
// load there and that of all other VMs.
//
// Load pattern: VMs in failure domains with few VMs, and the owners of customers, carry
// several times the statements of others. A connection serves one customer only, so a VM with
// too few of them opens a new one for nearly every statement. Part of the limit is split
// evenly, so that each VM can start; the rest is split by load. If there are hardly more
// connections than VMs, an even split would leave nothing to split by load: VMs without load
// then use their only connection briefly (see Router.CloseIdle).
func ConnectionBudget(limit, members int, own, others float64) int {
	return max(1, int(ConnectionShare(limit, members, own, others)))
}

// ConnectionShare returns this VM's share of the limit, in connections; it may be less than
// one.
func ConnectionShare(limit, members int, own, others float64) float64 {
	total := own + others
	each := float64(limit) / float64(max(members, 1))
	if total < minLoad {
		return each
	}
	even := evenFraction * min(1, each/fullEvenConnections)
	return even*each + (1-even)*float64(limit)*own/total
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
