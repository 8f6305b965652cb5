package fleet

import "time"

// Members returns the other members that have been observed. A member counts as leaving
// for as long as the platform's list shows it as leaving.
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

// SelfMember returns the entry of the local VM. The rule for leaving is the same as in
// Members, so that all VMs compute the same owners.
func (t *Table) SelfMember(now time.Time) Member {
	self := Member{VM: t.self.VM, Incarnation: t.self.Incarnation, State: t.self.State, LastProgress: now}
	if t.selfListedLeaving {
		self.State, self.VM.Leaving = Leaving, true
	}
	return self
}

// Generation returns a number that increases with every change in the result of
// Members, except for LastProgress.
func (t *Table) Generation() uint64 { return t.generation }

// Changes returns the changes since the last call.
func (t *Table) Changes() []Change {
	events := t.changes
	t.changes = nil
	return events
}

// settleTimeout bounds the time that a VM waits to see its own registration in the
// platform's list.
const settleTimeout = 5 * time.Second

// IsSettled reports whether every listed VM has been observed or declared dead. After
// the start it is also false until the list contains this VM, because only then does
// the list contain all VMs that registered earlier; this wait ends after settleTimeout
// at the latest, for the case that the platform is unreachable.
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
