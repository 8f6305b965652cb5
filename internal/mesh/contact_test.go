package mesh

import (
	"testing"

	"chicoryline/internal/boottime"
)

// Guards against taking own failure domain, datagrams that arrive one way only, or old echoes for
// contact with a majority.
func TestContactNeedsAMajorityOfFailureDomains(t *testing.T) {
	now := boottime.Now()
	for _, c := range []struct {
		domains int
		reached []string // VMs that have received a datagram sent now
		want    bool
	}{
		{1, nil, true}, {2, nil, false}, {2, []string{"vm0001"}, true}, {3, []string{"vm0001"}, true},
		{4, []string{"vm0001"}, false}, {4, []string{"vm0001", "vm0005"}, false}, {4, []string{"vm0001", "vm0002"}, true},
	} {
		m := New(Config{VM: "vm0000"})
		m.SetPeers(peers(8, c.domains))
		for _, p := range m.peers {
			p.receivedAt, p.lastReceivedAt, p.reachedAt = now, now, now.Add(-contactTimeout-1)
		}
		for _, vm := range c.reached {
			m.peers[vm].reachedAt = now
		}
		if m.HasReachedMajoritySince(now) != c.want || m.IsInTouch() != c.want {
			t.Errorf("%d domains, %v reached: contact %v, want %v", c.domains, c.reached, !c.want, c.want)
		}
	}
}

// Guards against a fleet of several cells that never counts as in contact, or for too long.
func TestContactOfALargeFleet(t *testing.T) {
	now := boottime.Now()
	m := New(Config{VM: "vm0000"})
	m.SetPeers(peers(40, 4))
	m.digests["d1/0"] = receivedDigest{receivedAt: now, since: now}
	m.digests["d2/0"] = receivedDigest{receivedAt: now, since: now.Add(-domainTimeout - 1)}
	if m.IsInTouch() || m.HasReachedMajoritySince(now) {
		t.Error("an old digest counts as contact")
	}
	m.digests["d2/0"] = receivedDigest{receivedAt: now, since: now.Add(-domainTimeout / 2)}
	if !m.IsInTouch() || m.HasReachedMajoritySince(now) || !m.HasReachedMajoritySince(now.Add(-domainTimeout)) {
		t.Error("digests do not count as contact from the time for which they are valid")
	}
}

// Guards against counting a datagram as received that its recipient has not confirmed.
func TestOnlyEchoesConfirmDatagrams(t *testing.T) {
	m := New(Config{VM: "vm0000", OnUpdate: func(string, StateUpdate, boottime.Time) {}})
	m.SetPeers(peers(2, 2))
	sent := boottime.Now()
	say := func(echo uint64) {
		m.handleDatagram(envelope{VM: "vm0001", Incarnation: 1, Sent: boottime.Now(), Echo: sent, EchoIncarnation: echo}, payload{News: &StateUpdate{}})
	}
	if say(m.incarnation + 1); m.HasReachedMajoritySince(sent) {
		t.Error("the echo of an earlier incarnation counts")
	}
	if say(m.incarnation); !m.HasReachedMajoritySince(sent) || m.HasReachedMajoritySince(sent+1) {
		t.Error("an echo does not count for what was sent up to then")
	}
}
