package mesh

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"chicoryline/internal/boottime"
	"chicoryline/internal/position"
	"chicoryline/internal/ratelimit"
)

func peers(n, domains int) []Peer {
	var list []Peer
	for i := range n {
		list = append(list, Peer{VM: fmt.Sprintf("vm%04d", i), Domain: fmt.Sprint("d", i%domains), Address: "127.0.0.1:1"})
	}
	return list
}

func TestSplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := peers(rapid.IntRange(1, 400).Draw(t, "vms"), rapid.IntRange(1, 8).Draw(t, "domains"))
		domain := map[string]string{}
		for _, p := range list {
			domain[p.VM] = p.Domain
		}
		seen := map[string]bool{}
		cells := splitIntoCells(list)
		for _, c := range cells {
			for _, vm := range c.vms {
				if seen[vm] {
					t.Errorf("%s is in two cells", vm)
				}
				seen[vm] = true
				if len(cells) > 1 && domain[vm] != domain[c.vms[0]] {
					t.Errorf("cell %s crosses failure domains", c.name)
				}
				if !c.has(vm) {
					t.Errorf("cell %s does not find %s", c.name, vm)
				}
			}
			if len(c.vms) > maxCellVMs {
				t.Errorf("cell %s has %d VMs", c.name, len(c.vms))
			}
		}
		if len(seen) != len(list) {
			t.Errorf("%d of %d VMs are in cells", len(seen), len(list))
		}
	})
}

func TestDigestAggregatesCell(t *testing.T) {
	m := New(Config{VM: "vm0000"})
	m.cells = []cell{{name: "d0/0", vms: []string{"vm0000", "vm0001", "vm0002"}}, {name: "d1/0"}}
	now := boottime.Now()
	update := func(taken uint64, offset uint64, age int64, load float32) StateUpdate {
		return StateUpdate{
			ConfigVersion: 4, ConfigAge: age, Usage: map[string]ratelimit.Usage{"c": {Taken: taken, Demand: 2}},
			Groups: map[string]GroupState{"g": {Position: position.Position{Term: 1, Offset: offset}, PositionAge: age, Primary: "s", AnsweredAge: age, CommittedAge: -1, Loads: map[uint32]float32{1: load}}},
		}
	}
	add := func(vm string, n StateUpdate, held time.Duration) {
		m.peers[vm] = &peerState{receivedAt: now, since: now.Add(-held), update: &n}
		m.ownUsage.add(vm, n.Usage)
	}
	own := update(5, 10, 300, 1)
	m.ownUsage.add("vm0000", own.Usage)
	add("vm0001", update(7, 20, 100, 2), 50*time.Millisecond)
	add("vm0002", update(9, 30, 400, 3), 0)
	ahead := m.peers["vm0001"].update.Groups["g"]
	ahead.Acknowledged = position.Position{Term: 2, Offset: 1}
	m.peers["vm0001"].update.Groups["g"] = ahead
	behind := m.peers["vm0002"].update.Groups["g"]
	behind.Acknowledged = position.Position{Term: 1, Offset: 30}
	m.peers["vm0002"].update.Groups["g"] = behind
	d := m.buildDigest(own, now)
	g := d.News.Groups["g"]
	if want := (position.Position{Term: 2, Offset: 1}); g.Acknowledged != want {
		t.Errorf("acknowledged %v, want the highest %v", g.Acknowledged, want)
	}
	if d.Members != 3 || d.News.ConfigAge != 151 || g.PositionAge != 151 || g.Position.Offset != 20 || g.AnsweredAge != 151 || g.CommittedAge != -1 || g.Loads[1] != 6 {
		t.Errorf("digest %+v", d)
	}
	if u := d.News.Usage["c"]; u.Taken != 21 || u.Demand != 6 {
		t.Errorf("usage %+v", u)
	}
	m.ownUsage.add("vm0001", map[string]ratelimit.Usage{"c": {Taken: 2}}) // restarted
	if got := m.ownUsage.taken["c"]; got != 23 {
		t.Errorf("%d taken after a restart of a VM, want 23", got)
	}
}

// The leader of a cell repeats the last digest of a partitioned failure domain, so
// reachability depends on the age of a digest and not on its arrival.
func TestPartitionedDomainIsUnreachable(t *testing.T) {
	now := boottime.Now()
	small := New(Config{VM: "vm0000"})
	small.SetPeers(peers(4, 2)) // vm0002 is in d0, the others in d1
	small.peers["vm0001"].receivedAt = now.Add(-PeerTimeout - time.Millisecond)
	small.peers["vm0002"].receivedAt = now
	if diff := cmp.Diff([]string{"d0"}, small.ReachableDomains()); diff != "" {
		t.Error(diff)
	}
	if small.IsDomainObservedSince("d0", now) || !small.IsDomainObservedSince("d0", now.Add(-time.Millisecond)) || small.IsDomainObservedSince("d1", now.Add(-PeerTimeout)) {
		t.Error("the domain is not observed at the same time as its VM")
	}
	large := New(Config{VM: "vm0000"})
	large.SetPeers(peers(40, 4))
	large.digests["d1/0"] = receivedDigest{receivedAt: now, since: now.Add(-digestTimeout)}
	large.digests["d2/0"] = receivedDigest{receivedAt: now, since: now.Add(-domainTimeout - time.Millisecond)}
	large.digests["d3/0"] = receivedDigest{receivedAt: now}
	if diff := cmp.Diff([]string{"d1"}, large.ReachableDomains()); diff != "" {
		t.Error(diff)
	}
}

// node is a running mesh that counts the updates it receives.
type node struct {
	*Mesh
	mu           sync.Mutex
	received     map[string]int
	maxOverclaim time.Duration // largest understatement of an age
	urgent       bool
	pause        time.Duration // between composing an update and sending it
}

// startFleet runs meshes on loopback. Each VM's update states that its position of the group
// was observed at the moment of composing.
func startFleet(t *testing.T, n, domains int) []*node {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	list := peers(n, domains)
	var nodes []*node
	var composed sync.Map // position offset to the time of its observation
	var next sync.Mutex
	offset := uint64(0)
	for i := range list {
		conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		list[i].Address = conn.LocalAddr().String()
		nd := &node{received: map[string]int{}}
		receive := func(source string, update StateUpdate, since boottime.Time) {
			nd.mu.Lock()
			defer nd.mu.Unlock()
			nd.received[source]++
			g := update.Groups["g"]
			if truth, ok := composed.Load(g.Position.Offset); ok && since != 0 {
				claim := since.Add(-time.Duration(g.PositionAge) * time.Millisecond)
				nd.maxOverclaim = max(nd.maxOverclaim, claim.Sub(truth.(boottime.Time)))
			}
		}
		nd.Mesh = New(Config{
			VM: list[i].VM, Conn: conn, Log: logrus.NewEntry(log), OnLost: func(string) {},
			IsUrgent: func() bool { nd.mu.Lock(); defer nd.mu.Unlock(); return nd.urgent },
			Compose: func() StateUpdate {
				next.Lock()
				offset++
				p := position.Position{Term: 1, Offset: offset}
				next.Unlock()
				composed.Store(p.Offset, boottime.Now())
				nd.mu.Lock()
				pause := nd.pause
				nd.mu.Unlock()
				time.Sleep(pause)
				return StateUpdate{Groups: map[string]GroupState{"g": {Position: p, PositionAge: 0, AnsweredAge: -1, CommittedAge: -1}}}
			},
			OnUpdate: receive, OnDigest: receive,
		})
		nodes = append(nodes, nd)
	}
	for _, nd := range nodes {
		nd.SetPeers(list)
		go nd.Run(ctx)
	}
	return nodes
}

func waitUntil(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("timed out waiting for %s", what)
}

// Updates never understate the age of an observation, neither directly nor through digests.
func TestAgesAreNeverUnderstated(t *testing.T) {
	for _, c := range []struct{ vms, domains int }{{4, 2}, {40, 3}} {
		t.Run(fmt.Sprint(c.vms), func(t *testing.T) {
			nodes := startFleet(t, c.vms, c.domains)
			waitUntil(t, "all VMs to be reachable", func() bool {
				for _, nd := range nodes {
					if reachable, all := nd.ReachableCount(); reachable != c.vms-1 || all != c.vms-1 {
						return false
					}
				}
				return true
			})
			for _, nd := range nodes {
				nd.mu.Lock()
				if nd.maxOverclaim > 0 {
					t.Errorf("an update dates an observation %v too late", nd.maxOverclaim)
				}
				nd.mu.Unlock()
			}
		})
	}
}

// Two VMs in urgent state answered each other's answers without end (journal 910659c4: 7 MB in
// 5.8 s).
func TestUrgentUpdateIsAnsweredOnce(t *testing.T) {
	nodes := startFleet(t, 2, 1)
	waitUntil(t, "the other VM to be reachable", func() bool { n, _ := nodes[0].ReachableCount(); return n == 1 })
	for _, nd := range nodes {
		nd.mu.Lock()
		nd.urgent, nd.received = true, map[string]int{}
		nd.mu.Unlock()
	}
	time.Sleep(time.Second)
	for _, nd := range nodes {
		nd.mu.Lock()
		for source, n := range nd.received {
			// One datagram per interval, and one answer to each of our own.
			if most := 2*int(time.Second/urgentGossipInterval) + 10; n > most {
				t.Errorf("%d datagrams from %s in a second, want at most %d", n, source, most)
			}
		}
		nd.mu.Unlock()
	}
}

// Guards against a datagram that arrives twice, the second time after a newer one, and brings an old
// state back.
func TestRepeatedDatagramIsIgnored(t *testing.T) {
	applied := 0
	log := logrus.New()
	log.SetOutput(io.Discard)
	m := New(Config{VM: "vm0000", Log: logrus.NewEntry(log), OnLost: func(string) {}, OnUpdate: func(string, StateUpdate, boottime.Time) { applied++ }, OnDigest: func(string, StateUpdate, boottime.Time) {}, Compose: func() StateUpdate { return StateUpdate{} }})
	m.SetPeers(peers(3, 1))
	body, err := encode(payload{News: &StateUpdate{}})
	if err != nil {
		t.Fatal(err)
	}
	for _, sent := range []boottime.Time{1, 2, 1, 2} {
		data, err := encode(envelope{VM: "vm0001", Incarnation: 1, Sent: sent, Payload: body})
		if err != nil {
			t.Fatal(err)
		}
		m.receive(data)
	}
	if applied != 2 {
		t.Errorf("%d updates, want 2", applied)
	}
}

func TestMalformedDatagramIsIgnored(t *testing.T) {
	nodes := startFleet(t, 1, 1)
	for _, data := range []string{"", "\x00", "garbage", "\xdf\xff\xff\xff\xff", "\x97\xa1a"} {
		nodes[0].receive([]byte(data))
	}
}

func FuzzReceive(f *testing.F) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	data := datagram(f, "vm0001", 1, payload{News: &StateUpdate{Groups: map[string]GroupState{"g": {}}}, Digests: []Digest{{Cell: "d1/0"}}, Fleet: &Fleet{}})
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		m := New(Config{VM: "vm0000", Log: logrus.NewEntry(log), OnLost: func(string) {}, OnUpdate: func(string, StateUpdate, boottime.Time) {}, OnDigest: func(string, StateUpdate, boottime.Time) {}, Compose: func() StateUpdate { return StateUpdate{} }})
		m.SetPeers(peers(3, 1))
		m.receive(data)
	})
}

// A VM that pauses between composing an update and sending it, and receives datagrams
// meanwhile, does not date its state by those datagrams.
func TestAgeCountsFromEchoedTimestamp(t *testing.T) {
	nodes := startFleet(t, 2, 1)
	waitUntil(t, "the other VM to be reachable", func() bool { n, _ := nodes[0].ReachableCount(); return n == 1 })
	nodes[0].mu.Lock()
	nodes[0].pause = GossipInterval + 2*urgentGossipInterval
	nodes[0].mu.Unlock()
	time.Sleep(4 * GossipInterval)
	nodes[1].mu.Lock()
	defer nodes[1].mu.Unlock()
	if nodes[1].maxOverclaim > 0 {
		t.Errorf("an update dates an observation %v too late", nodes[1].maxOverclaim)
	}
}

// The acknowledged positions known to the reachable VMs do not cover a VM that became
// unreachable after they were observed, or less than one interval before: it may not have
// reported its last commits.
func TestUnreachableVMMayHaveObservedLaterCommits(t *testing.T) {
	now := boottime.Now()
	observedAt := now.Add(-2 * PeerTimeout)
	m := New(Config{VM: "vm0000"})
	m.SetPeers(peers(3, 1))
	m.peers["vm0001"].receivedAt, m.peers["vm0001"].lastReceivedAt = now, now
	for _, c := range []struct {
		name       string
		receivedAt boottime.Time
		want       bool
	}{
		{"reachable", now, true},
		{"silent for one interval before", observedAt.Add(-GossipInterval - time.Millisecond), true},
		{"silent for less than an interval before", observedAt.Add(-time.Millisecond), false},
		{"silent after the moment", observedAt.Add(time.Millisecond), false},
	} {
		m.peers["vm0002"].receivedAt, m.peers["vm0002"].lastReceivedAt = c.receivedAt, c.receivedAt
		if got := m.HasObservedAllSince(observedAt); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

// datagram returns an encoded datagram of the VM.
func datagram(t testing.TB, vm string, incarnation uint64, p payload) []byte {
	t.Helper()
	body, err := encode(p)
	if err != nil {
		t.Fatal(err)
	}
	data, err := encode(envelope{VM: vm, Incarnation: incarnation, Sent: 1, Payload: body})
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// Datagrams of a VM that was missing from the list were dropped silently: while the watch of
// the list got no answer, the VM stayed unknown and the fleet exceeded rates (verdict QUOTA).
func TestUnknownVMIsReported(t *testing.T) {
	var unknown []string
	m := New(Config{VM: "vm0000", OnUnknownPeer: func(vm string) { unknown = append(unknown, vm) }, OnUpdate: func(string, StateUpdate, boottime.Time) {}})
	m.SetPeers(peers(2, 1))
	for _, vm := range []string{"vm0001", "vm0007"} {
		m.receive(datagram(t, vm, 1, payload{News: &StateUpdate{}}))
	}
	if diff := cmp.Diff([]string{"vm0007"}, unknown); diff != "" {
		t.Error(diff)
	}
}
