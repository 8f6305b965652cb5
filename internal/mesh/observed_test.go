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

// The row of a VM that was removed for good stays listed. Processes that started later never
// heard of it, and for them no knowledge was ever complete (review/5).
func TestVMRemovedBeforeTheStartIsNotAwaitedForever(t *testing.T) {
	listedAt := boottime.Now()
	for _, c := range []struct {
		name string
		at   time.Duration // after the VM was listed
		want bool
	}{
		{"before it was listed", -time.Second, false},
		{"before it could be heard", PeerTimeout, false},
		{"later", PeerTimeout + time.Millisecond, true},
	} {
		m := newMeshWithPeer(t, 0)
		m.peers["vm0001"].listedAt = listedAt
		if got := m.HasObservedAllSince(listedAt.Add(c.at)); got != c.want {
			t.Errorf("%s: observed %t, want %t", c.name, got, c.want)
		}
	}
}

// A VM of another cell was removed for good. Its cell's digest covered one VM less than listed,
// and the knowledge of the fleet never counted as complete.
func TestVMRemovedFromAnotherCellIsNotAwaitedForever(t *testing.T) {
	const removed = "vm0001" // of d1/0
	start := boottime.Now().Add(-10 * time.Second)
	source := newMeshOfCell(t, "vm0005", start)
	other := newMeshOfCell(t, "vm0000", start)
	for _, m := range []*Mesh{source, other} {
		for vm, p := range m.peers {
			p.receivedAt, p.lastReceivedAt, p.startedAt = boottime.Now(), boottime.Now(), start
			if vm == removed {
				p.receivedAt, p.lastReceivedAt = 0, 0
			}
		}
	}
	for _, name := range []string{"d2/0", "d3/0"} {
		other.digests[name] = receivedDigest{Digest: Digest{Cell: name, Members: 10, Listed: 10, ObservedAge: 10_000}, receivedAt: boottime.Now()}
	}
	observed := func(change func(*Digest)) bool {
		d := source.buildDigest(StateUpdate{}, boottime.Now())
		change(&d)
		other.digests["d1/0"] = receivedDigest{Digest: d, receivedAt: boottime.Now()}
		return other.HasObservedAllSince(boottime.Now().Add(-2 * time.Second))
	}
	if !observed(func(*Digest) {}) {
		t.Error("a VM that was never heard keeps the knowledge of its cell from being complete")
	}
	if observed(func(d *Digest) { d.Listed = 9 }) {
		t.Error("a digest covers a VM that its source does not know")
	}
	if observed(func(d *Digest) { d.Listed, d.ObservedAge = 0, 0 }) {
		t.Error("a digest without the observed age counts")
	}
	source.peers["vm0009"].receivedAt, source.peers["vm0009"].lastReceivedAt = 0, boottime.Now()
	if observed(func(*Digest) {}) {
		t.Error("a VM of another cell that has just become silent counts as observed")
	}
	source.peers["vm0009"].receivedAt, source.peers["vm0009"].startedAt = boottime.Now(), boottime.Now()
	if observed(func(*Digest) {}) {
		t.Error("a VM of another cell that has just restarted counts as observed")
	}
}

// newMeshOfCell returns the mesh of one of 40 VMs in four cells, all listed at the given time.
func newMeshOfCell(t *testing.T, vm string, listedAt boottime.Time) *Mesh {
	t.Helper()
	m := New(Config{VM: vm})
	m.SetPeers(peers(40, 4))
	for _, p := range m.peers {
		p.listedAt = listedAt
	}
	return m
}
