package dispatch

// ConnectionBudget returns how many connections this VM may have to a server, by its load there and
// that of all others.
//
// Load pattern: VMs of a failure domain with few VMs, and the owners of customers,
// carry several times the statements of others, and a connection serves one customer
// only, so that a VM short of them opens one for nearly every statement. A part of the
// limit is split evenly, so that each VM can begin; the rest follows the load. If there
// are hardly more connections than VMs, an even split would leave none to follow it:
// VMs without load use their one for moments only (see Router.CloseIdle).
func ConnectionBudget(limit, members int, own, others float64) int {
	return max(1, int(ConnectionShare(limit, members, own, others)))
}

// ConnectionShare is the part of the limit that falls to this VM; it may be less than a connection.
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
	// evenFraction is the part of a limit that is split evenly over the VMs.
	evenFraction = 0.4
	// fullEvenConnections is the number of connections for each VM from which on that
	// part is split in full: as many as there are on small deployments.
	fullEvenConnections = 4
	// minLoad is the fleet's load, in statements under way, below which the split is
	// even.
	minLoad = 0.5
)
