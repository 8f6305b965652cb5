package fleet

import "time"

// Members returns the other members that have been heard. A member that the
// platform's list shows as leaving counts as leaving while it does.
func (t *Table) Members() []Member {
	members := make([]Member, 0, len(t.members))
	for _, m := range t.members {
		if m.State == Joining || m.Incarnation == 0 {
			continue
		}
		entry := Member{VM: m.VM, Incarnation: m.Incarnation, State: m.State, LastProgress: m.progressWallTime}
		if m.listedLeaving && (m.State == Alive || m.State == Suspect) {
			entry.State, entry.VM.Leaving = Leaving, true
		}
		members = append(members, entry)
	}
	return members
}

// SelfMember returns the VM itself as a member; it counts as leaving under the
// same rule as the others, so that all agree on who owns what.
func (t *Table) SelfMember(now time.Time) Member {
	self := Member{VM: t.self.VM, Incarnation: t.self.Incarnation, State: t.self.State, LastProgress: now}
	if t.selfListedLeaving {
		self.State, self.VM.Leaving = Leaving, true
	}
	return self
}

// Generation rises with every change that Members can show, except LastHeard.
func (t *Table) Generation() uint64 { return t.generation }

// Changes returns the changes since the last call.
func (t *Table) Changes() []Change {
	events := t.changes
	t.changes = nil
	return events
}

// settleTimeout bounds the wait of a VM for its own registration to show.
const settleTimeout = 5 * time.Second

// IsSettled reports whether no listed VM is waited for. At the start it also waits
// for the list to show this VM itself: then the list shows whoever registered
// before. Without the platform it waits for settleWithin.
func (t *Table) IsSettled() bool {
	if !t.selfListed && t.activeTime < settleTimeout {
		return false
	}
	for _, m := range t.members {
		if m.State == Joining {
			return false
		}
	}
	return true
}
