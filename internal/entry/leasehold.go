package entry

import (
	"time"

	"chicoryline/internal/boottime"
)

// storeReturnTime is how long a VM whose cell got no answers from the store takes no steward's lease
// after the end of that. Primaries that answer again do so by then: a connection, a statement and a
// state update that reports the answer.
const storeReturnTime = 700 * time.Millisecond

// leaseHold decides whether this VM may try to take stewards' leases.
//
// Load pattern: a failure domain is cut off from the store and from the primaries of most groups. Each
// of its 35 VMs tries to take the lease of each of 8 groups, in vain. At the end of the cut all of
// them find the primaries silent for long, and the first to come takes the lease of each group
// although its primary answers again.
type leaseHold struct{ until boottime.Time }

// allows reports whether leases may be taken; withoutStore is set while the VM's cell gets no answers
// from the store.
func (h *leaseHold) allows(now boottime.Time, withoutStore bool) bool {
	if withoutStore {
		h.until = now.Add(storeReturnTime)
		return false
	}
	return now >= h.until
}

// isWithoutStore reports whether the leader of the cell gets no answers from the store and knows no
// other VM that does, and no VM in reach has validated the configuration for long.
func (e *Process) isWithoutStore() bool {
	_, noSource := e.mesh.CellOrder()
	return noSource && e.view.Age() >= memberProofAge
}
