package mesh

import (
	"testing"
	"time"

	"chicoryline/internal/boottime"
)

// quiet is a mesh without a connection that has heard vm0001.
func quiet(t *testing.T, heard boottime.Time) *Mesh {
	t.Helper()
	m := New(Config{VM: "vm0000"})
	m.SetPeers(peers(2, 1))
	m.peers["vm0001"].heard, m.peers["vm0001"].last = heard, heard
	return m
}

// A VM that fell silent after the position was learned stopped to count as silent with the
// next round of news, which forgets what it said.
func TestForgottenVMIsNoWitness(t *testing.T) {
	now := boottime.Now()
	learned := now.Add(-2 * HeardTime)
	m := quiet(t, learned.Add(time.Millisecond))
	if m.HeardAllSince(learned) {
		t.Fatal("a silent VM is a witness before it is forgotten")
	}
	m.mu.Lock()
	m.dropSilent(now) // as each round of news does
	m.mu.Unlock()
	if m.HeardAllSince(learned) {
		t.Error("a silent VM is a witness as soon as it is forgotten")
	}
}

// A VM that started anew does not know what its process before saw acknowledged.
func TestRestartedVMIsNoWitness(t *testing.T) {
	m := quiet(t, 0)
	say := func(incarnation uint64) {
		m.receive(datagram(t, "vm0001", incarnation, payload{News: &News{}}))
	}
	m.cfg.Receive = func(string, News, boottime.Time) {}
	say(1)
	learned := boottime.Now()
	time.Sleep(time.Millisecond) // it acknowledges what it tells nobody, and is killed
	say(2)
	if m.HeardAllSince(learned) {
		t.Error("a VM that was started anew after the position was learned is a witness")
	}
}

// A VM of which this one has never heard may run on behind a cut.
func TestVMNeverHeardOfIsNoWitness(t *testing.T) {
	if quiet(t, 0).HeardAllSince(boottime.Now()) {
		t.Error("a VM that was never heard of is a witness")
	}
}

// A digest that was made before the moment tells nothing of the time after it.
func TestOldDigestIsNotHeardAfterTheMoment(t *testing.T) {
	now := boottime.Now()
	m := New(Config{VM: "vm0000"})
	m.SetPeers(peers(40, 4))
	m.digests["d1/0"] = heardDigest{at: now, since: now.Add(-digestTime)}
	if m.DomainHeard("d1", now.Add(-time.Second)) {
		t.Errorf("a digest of %v ago counts as heard a second ago or later", digestTime)
	}
}

// A cell's digest stands for its VMs, and tells only how many it sums up.
func TestSilentVMOfAnotherCellIsNoWitness(t *testing.T) {
	now := boottime.Now()
	learned := now.Add(-time.Second)
	m := New(Config{VM: "vm0000"})
	m.SetPeers(peers(40, 4))
	for _, vm := range m.cells[m.own].vms {
		if p := m.peers[vm]; p != nil {
			p.heard, p.last = now, now
		}
	}
	m.digests["d1/0"] = heardDigest{Digest: Digest{Cell: "d1/0", Members: 9}, at: now, since: now} // of 10
	m.digests["d2/0"] = heardDigest{Digest: Digest{Cell: "d2/0", Members: 10}, at: now, since: now}
	// Nothing was ever heard of d3/0.
	if m.HeardAllSince(learned) {
		t.Error("each VM is a witness, though one is missing in a digest and one cell has none")
	}
}
