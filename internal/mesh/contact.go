package mesh

import "chicoryline/internal/boottime"

// contactTimeout is how long a VM counts as in touch after it sent a datagram that was received: the
// answer is sent one interval later at most.
const contactTimeout = 2 * GossipInterval

// HasReachedMajoritySince reports whether more than half of the failure domains, the own one
// included, have received what this VM sent at since or later. In a fleet of several cells that is
// known of other cells by the answers that the leaders of cells relay.
func (m *Mesh) HasReachedMajoritySince(since boottime.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.hasReachedMajority(since, since)
}

// IsInTouch reports whether more than half of the failure domains have recently received datagrams
// of this VM.
func (m *Mesh) IsInTouch() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := boottime.Now()
	return m.hasReachedMajority(now.Add(-contactTimeout), now.Add(-domainTimeout))
}

// hasReachedMajority is HasReachedMajoritySince with different times for datagrams and for digests.
// The mutex is held.
func (m *Mesh) hasReachedMajority(datagram, digest boottime.Time) bool {
	reached := map[string]bool{m.ownDomain: true}
	for _, p := range m.peers {
		reached[p.domain] = reached[p.domain] || p.reachedAt != 0 && p.reachedAt >= datagram
	}
	for _, c := range m.cells {
		if d, ok := m.digests[c.name]; ok && d.since != 0 && d.since >= digest {
			reached[c.domain] = true
		}
	}
	n := 0
	for _, ok := range reached {
		if ok {
			n++
		}
	}
	return 2*n > len(reached)
}
