package mesh

import (
	"testing"
	"time"

	"chicoryline/internal/boottime"
)

// newMeshWithPeer is a mesh without a connection that has heard vm0001.
func newMeshWithPeer(t *testing.T, receivedAt boottime.Time) *Mesh {
	t.Helper()
	m := New(Config{VM: "vm0000"})
	m.SetPeers(peers(2, 1))
	m.peers["vm0001"].receivedAt, m.peers["vm0001"].lastReceivedAt = receivedAt, receivedAt
	return m
}

// A VM that fell silent after the position was learned stopped to count as silent with the
// next round of news, which forgets what it said.
func TestDroppedVMStaysUnobserved(t *testing.T) {
	now := boottime.Now()
	learned := now.Add(-2 * PeerTimeout)
	m := newMeshWithPeer(t, learned.Add(time.Millisecond))
	if m.HasObservedAllSince(learned) {
		t.Fatal("a silent VM is a witness before it is forgotten")
	}
	m.mu.Lock()
	m.dropUnreachable(now) // as each round of news does
	m.mu.Unlock()
	if m.HasObservedAllSince(learned) {
		t.Error("a silent VM is a witness as soon as it is forgotten")
	}
}

// A VM that started anew does not know what its process before saw acknowledged.
func TestRestartedVMIsUnobserved(t *testing.T) {
	m := newMeshWithPeer(t, 0)
	say := func(incarnation uint64) {
		m.receive(datagram(t, "vm0001", incarnation, payload{News: &StateUpdate{}}))
	}
	m.cfg.OnUpdate = func(string, StateUpdate, boottime.Time) {}
	say(1)
	learned := boottime.Now()
	time.Sleep(time.Millisecond) // it acknowledges what it tells nobody, and is killed
	say(2)
	if m.HasObservedAllSince(learned) {
		t.Error("a VM that was started anew after the position was learned is a witness")
	}
}

// A VM of which this one has never heard may run on behind a cut.
func TestVMNeverReceivedFromIsUnobserved(t *testing.T) {
	if newMeshWithPeer(t, 0).HasObservedAllSince(boottime.Now()) {
		t.Error("a VM that was never heard of is a witness")
	}
}

// A digest that was made before the moment tells nothing of the time after it.
func TestOldDigestDoesNotCountAsObserved(t *testing.T) {
	now := boottime.Now()
	m := New(Config{VM: "vm0000"})
	m.SetPeers(peers(40, 4))
	m.digests["d1/0"] = receivedDigest{receivedAt: now, since: now.Add(-digestTimeout)}
	if m.IsDomainObservedSince("d1", now.Add(-time.Second)) {
		t.Errorf("a digest of %v ago counts as heard a second ago or later", digestTimeout)
	}
}

// A cell's digest stands for its VMs, and tells only how many it sums up.
func TestUnreachableVMOfAnotherCellIsUnobserved(t *testing.T) {
	now := boottime.Now()
	learned := now.Add(-time.Second)
	m := New(Config{VM: "vm0000"})
	m.SetPeers(peers(40, 4))
	for _, vm := range m.cells[m.ownCell].vms {
		if p := m.peers[vm]; p != nil {
			p.receivedAt, p.lastReceivedAt = now, now
		}
	}
	m.digests["d1/0"] = receivedDigest{Digest: Digest{Cell: "d1/0", Members: 9}, receivedAt: now, since: now} // of 10
	m.digests["d2/0"] = receivedDigest{Digest: Digest{Cell: "d2/0", Members: 10}, receivedAt: now, since: now}
	// Nothing was ever heard of d3/0.
	if m.HasObservedAllSince(learned) {
		t.Error("each VM is a witness, though one is missing in a digest and one cell has none")
	}
}
