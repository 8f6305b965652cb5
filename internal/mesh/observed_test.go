package mesh

import (
	"testing"
	"time"

	"chicoryline/internal/boottime"
)

// newMeshWithPeer returns a mesh without a connection that received a datagram of vm0001 at
// the given time.
func newMeshWithPeer(t *testing.T, receivedAt boottime.Time) *Mesh {
	t.Helper()
	m := New(Config{VM: "vm0000"})
	m.SetPeers(peers(2, 1))
	m.peers["vm0001"].receivedAt, m.peers["vm0001"].lastReceivedAt = receivedAt, receivedAt
	return m
}

// A VM that became unreachable after the position was observed must stay unobserved when the
// next round drops its state.
func TestDroppedVMStaysUnobserved(t *testing.T) {
	now := boottime.Now()
	observedAt := now.Add(-2 * PeerTimeout)
	m := newMeshWithPeer(t, observedAt.Add(time.Millisecond))
	if m.HasObservedAllSince(observedAt) {
		t.Fatal("an unreachable VM counts as observed before its state is dropped")
	}
	m.mu.Lock()
	m.dropUnreachable(now) // as each round does
	m.mu.Unlock()
	if m.HasObservedAllSince(observedAt) {
		t.Error("an unreachable VM counts as observed once its state is dropped")
	}
}

// A restarted VM does not know which commits its previous process saw acknowledged.
func TestRestartedVMIsUnobserved(t *testing.T) {
	m := newMeshWithPeer(t, 0)
	say := func(incarnation uint64) {
		m.receive(datagram(t, "vm0001", incarnation, payload{News: &StateUpdate{}}))
	}
	m.cfg.OnUpdate = func(string, StateUpdate, boottime.Time) {}
	say(1)
	observedAt := boottime.Now()
	time.Sleep(time.Millisecond) // it acknowledges a commit, and is killed before it reports it
	say(2)
	if m.HasObservedAllSince(observedAt) {
		t.Error("a VM that restarted after the position was observed counts as observed")
	}
}

// A VM that never sent a datagram may be running on the other side of a network partition.
func TestVMNeverReceivedFromIsUnobserved(t *testing.T) {
	if newMeshWithPeer(t, 0).HasObservedAllSince(boottime.Now()) {
		t.Error("a VM that never sent a datagram counts as observed")
	}
}

// A digest that was built before the moment says nothing about the time after it.
func TestOldDigestDoesNotCountAsObserved(t *testing.T) {
	now := boottime.Now()
	m := New(Config{VM: "vm0000"})
	m.SetPeers(peers(40, 4))
	m.digests["d1/0"] = receivedDigest{receivedAt: now, since: now.Add(-digestTimeout)}
	if m.IsDomainObservedSince("d1", now.Add(-time.Second)) {
		t.Errorf("a digest built %v ago counts as observed within the last second", digestTimeout)
	}
}

// A cell's digest stands for its VMs but only states how many of them it covers.
func TestUnreachableVMOfAnotherCellIsUnobserved(t *testing.T) {
	now := boottime.Now()
	observedAt := now.Add(-time.Second)
	m := New(Config{VM: "vm0000"})
	m.SetPeers(peers(40, 4))
	for _, vm := range m.cells[m.ownCell].vms {
		if p := m.peers[vm]; p != nil {
			p.receivedAt, p.lastReceivedAt = now, now
		}
	}
	m.digests["d1/0"] = receivedDigest{Digest: Digest{Cell: "d1/0", Members: 9}, receivedAt: now, since: now} // of 10
	m.digests["d2/0"] = receivedDigest{Digest: Digest{Cell: "d2/0", Members: 10}, receivedAt: now, since: now}
	// No digest of d3/0 was ever received.
	if m.HasObservedAllSince(observedAt) {
		t.Error("all VMs count as observed although one is missing from a digest and one cell has none")
	}
}
