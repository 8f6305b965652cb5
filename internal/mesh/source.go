package mesh

import (
	"slices"

	"chicoryline/internal/boottime"
)

// TableSource returns the VM from which this one reads tables of the store; self is set if it is
// this VM, which then reads the store itself. So one VM of the reachable fleet reads the store.
//
// A VM reads from the leader of its cell. The leader reads from the leader of the first reachable
// cell that gets answers from the store. If there is none, the first VM of the own cell that gets
// answers reads the store for the cell; if there is none either, the leader keeps trying.
//
// Load pattern: for 9 s the store refuses some VMs, the one that reads for all among them. Without
// a change of the source, each VM of the fleet would read each table from the store.
func (m *Mesh) TableSource() (vm string, self bool) {
	lost := m.isStoreLost()
	m.mu.Lock()
	defer m.mu.Unlock()
	now := boottime.Now()
	vm = m.leader(now)
	if vm == m.cfg.VM {
		vm = m.sourceOfLeader(lost, now)
	} else if m.peers[vm].update.NoSource {
		if reader := m.firstWithStore(lost, now); reader != "" {
			vm = reader
		}
	}
	return vm, vm == m.cfg.VM
}

func (m *Mesh) isStoreLost() bool { return m.cfg.IsStoreLost != nil && m.cfg.IsStoreLost() }

// sourceOfLeader returns the VM from which this one reads tables, as the leader of its cell. The
// mutex is held.
func (m *Mesh) sourceOfLeader(lost bool, now boottime.Time) string {
	if vm := m.sourceInOtherCell(lost, now); vm != "" {
		return vm
	}
	if !lost {
		return m.cfg.VM
	}
	if vm := m.firstWithStore(lost, now); vm != "" {
		return vm
	}
	return m.cfg.VM
}

// sourceInOtherCell returns the leader of the first reachable cell that gets answers from the
// store, an empty string if that is the own cell or there is none. The mutex is held.
func (m *Mesh) sourceInOtherCell(lost bool, now boottime.Time) string {
	for i, c := range m.cells {
		if i == m.ownCell {
			if !lost {
				return ""
			}
			continue
		}
		if d, ok := m.digests[c.name]; ok && d.direct && now.Sub(d.receivedAt) < PeerTimeout && !d.News.StoreLost {
			return d.from
		}
	}
	return ""
}

// firstWithStore returns the first VM of the own cell that may lead it and gets answers from the
// store, an empty string if there is none. The mutex is held.
func (m *Mesh) firstWithStore(lost bool, now boottime.Time) string {
	for _, vm := range m.candidates(now) {
		if vm == m.cfg.VM && !lost || vm != m.cfg.VM && !m.peers[vm].update.StoreLost {
			return vm
		}
	}
	return ""
}

// setStoreAccess completes an update of this VM with its access to the store.
func (m *Mesh) setStoreAccess(n *StateUpdate) {
	n.StoreLost = m.isStoreLost()
	if !n.StoreLost {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	n.NoSource = m.sourceInOtherCell(true, boottime.Now()) == ""
}

// CellOrder returns the position of this VM among the VMs that may lead its cell, beginning with 0
// for the leader. noSource is set if the leader knows no VM outside the cell to read from and gets
// no answers from the store itself.
func (m *Mesh) CellOrder() (position int, noSource bool) {
	lost := m.isStoreLost()
	m.mu.Lock()
	defer m.mu.Unlock()
	now := boottime.Now()
	list := m.candidates(now)
	position = slices.Index(list, m.cfg.VM)
	if position < 0 {
		position = len(list)
	}
	if leader := m.leader(now); leader != m.cfg.VM {
		return position, m.peers[leader].update.NoSource
	}
	return position, lost && m.sourceInOtherCell(lost, now) == ""
}
