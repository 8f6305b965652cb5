package mesh

import (
	"chicoryline/internal/boottime"
	"chicoryline/internal/evacuation"
)

// Evacuations is what a VM knows of evacuated failure domains.
type Evacuations struct {
	// Domains are evacuated as of Version, a version of the store; 0 if none is known.
	Domains []string
	Version uint64
	// Confirmed is the newest version as of which the VM sends nothing to evacuated domains, 0
	// for none. In a digest it applies to all VMs of the cell.
	Confirmed uint64
	// CellConfirmed is the value for the digest of the VM's cell.
	CellConfirmed uint64
}

// merge keeps the newest demands in an aggregate, which confirms nothing.
func (e *Evacuations) merge(o Evacuations) {
	if o.Version > e.Version {
		e.Domains, e.Version = o.Domains, o.Version
	}
}

// UnconfirmedInCell counts the other VMs of the own cell that have not confirmed the version.
func (m *Mesh) UnconfirmedInCell(version uint64) (u evacuation.Unconfirmed) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := boottime.Now()
	for _, vm := range m.cells[m.ownCell].vms {
		p := m.peers[vm]
		switch {
		case vm == m.cfg.VM:
		case p == nil || !p.isReachable(now) || p.update == nil:
			u.Silent++
		case p.update.Evacuations.Confirmed < version:
			u.Reachable++
		}
	}
	return u
}

// UnconfirmedCells counts the other cells that have not confirmed the version. Only the leader of a
// cell receives the state of others.
func (m *Mesh) UnconfirmedCells(version uint64) (u evacuation.Unconfirmed) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := boottime.Now()
	for i, c := range m.cells {
		if i == m.ownCell {
			continue
		}
		switch d, ok := m.digests[c.name]; {
		case !ok || !d.direct || now.Sub(d.receivedAt) >= digestTimeout:
			u.Silent++
		case d.News.Evacuations.Confirmed < version:
			u.Reachable++
		}
	}
	return u
}

// SendSoon sends the next update at the next urgentGossipInterval, once.
func (m *Mesh) SendSoon() { m.sendSoon.Store(true) }
