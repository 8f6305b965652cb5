package fleet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"

	"chicoryline/internal/frame"
	"chicoryline/internal/peer"
	"chicoryline/internal/services"
	"chicoryline/internal/timeline"
)

// node is one member process, running on loopback.
type node struct {
	vm          services.VM
	fleet       *Fleet
	server      *peer.Server
	client      *peer.Client
	system      *frame.System
	partitioned atomic.Bool // the node cannot open connections
	once        sync.Once
}

func startNode(t *testing.T, vms services.VMs, id, listen string, seeds ...string) *node {
	t.Helper()
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetLevel(logrus.ErrorLevel)
	entry := logrus.NewEntry(log)
	n := &node{vm: services.VM{ID: id, Domain: "a", Address: listener.Addr().String()}, system: frame.New(entry)}
	clock := timeline.NewClock(time.Now)
	n.client = peer.NewClient(clock, func(ctx context.Context, network, address string) (net.Conn, error) {
		if n.partitioned.Load() {
			return nil, errors.New("partitioned")
		}
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}, nil)
	n.server = peer.NewServer(clock, listener, nil)
	n.fleet, err = New(Config{
		Self: n.vm, Services: vms, Caller: n.client, System: n.system, Log: entry, Seeds: seeds,
		HeartbeatInterval: 20 * time.Millisecond, SuspectAfter: 400 * time.Millisecond,
		DeadAfter: 800 * time.Millisecond, ListInterval: 50 * time.Millisecond,
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := n.server.Register(ServiceName, n.fleet.Service()); err != nil {
		t.Fatal(err)
	}
	go n.server.Serve()
	n.fleet.Start()
	t.Cleanup(n.stop)
	return n
}

func (n *node) stop() {
	n.once.Do(func() {
		n.fleet.Close()
		n.server.Close()
		n.client.Close()
		n.system.Shutdown()
	})
}

func (n *node) states() map[string]string {
	states := map[string]string{}
	for _, m := range n.fleet.Directory().Members() {
		states[m.VM.ID] = m.State.String()
	}
	return states
}

// eventually waits until the node's directory shows the given states.
func (n *node) eventually(t *testing.T, want map[string]string) {
	t.Helper()
	deadline := time.Now().Add(30 * time.Second)
	for !cmp.Equal(n.states(), want) {
		if time.Now().After(deadline) {
			t.Fatalf("%s: %s", n.vm.ID, cmp.Diff(want, n.states()))
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func TestFleetOverLoopback(t *testing.T) {
	memory := services.NewMemory(time.Now)
	var nodes []*node
	for i := range 3 {
		nodes = append(nodes, startNode(t, memory, fmt.Sprintf("vm-%d", i), "127.0.0.1:0"))
	}
	all := map[string]string{"vm-0": "alive", "vm-1": "alive", "vm-2": "alive"}
	for _, n := range nodes {
		n.eventually(t, all)
	}
	changed := make(chan struct{}, 64)
	nodes[0].fleet.Directory().Watch(func() { changed <- struct{}{} })
	if err := nodes[2].fleet.Leave(context.Background()); err != nil {
		t.Fatal(err)
	}
	nodes[0].eventually(t, map[string]string{"vm-0": "alive", "vm-1": "alive", "vm-2": "leaving"})
	<-changed
	for i := range 50 {
		for _, owner := range nodes[0].fleet.Directory().Owners(services.Instance{ID: fmt.Sprint(i), Domain: "a"}, 2) {
			if owner.VM.ID == "vm-2" {
				t.Fatal("a leaving member owns an instance")
			}
		}
	}
	nodes[2].stop()
	nodes[0].eventually(t, map[string]string{"vm-0": "alive", "vm-1": "alive", "vm-2": "dead"})
}

func TestAddressReuseOverLoopback(t *testing.T) {
	memory := services.NewMemory(time.Now)
	first := startNode(t, memory, "vm-0", "127.0.0.1:0")
	old := startNode(t, memory, "vm-1", "127.0.0.1:0")
	first.eventually(t, map[string]string{"vm-0": "alive", "vm-1": "alive"})
	old.stop()
	startNode(t, memory, "vm-2", old.vm.Address)
	first.eventually(t, map[string]string{"vm-0": "alive", "vm-1": "dead", "vm-2": "alive"})
}

func TestJoinBySeedWithoutPlatform(t *testing.T) {
	memory := services.NewMemory(time.Now)
	memory.ChangeFaults(func(f *services.Faults) { f.Down = true })
	first := startNode(t, memory, "vm-0", "127.0.0.1:0")
	second := startNode(t, memory, "vm-1", "127.0.0.1:0", first.vm.Address)
	want := map[string]string{"vm-0": "alive", "vm-1": "alive"}
	first.eventually(t, want)
	second.eventually(t, want)
}

func TestOneWayPartitionOverLoopback(t *testing.T) {
	memory := services.NewMemory(time.Now)
	first := startNode(t, memory, "vm-0", "127.0.0.1:0")
	first.partitioned.Store(true)
	second := startNode(t, memory, "vm-1", "127.0.0.1:0")
	want := map[string]string{"vm-0": "alive", "vm-1": "alive"}
	first.eventually(t, want)
	second.eventually(t, want)
}

func TestOwnersPreferInstanceDomain(t *testing.T) {
	member := func(id, domain string, state State) Member {
		return Member{VM: services.VM{ID: id, Domain: domain}, State: state}
	}
	d := NewDirectory(member("1", "a", Alive), member("2", "a", Leaving), member("3", "b", Alive), member("4", "c", Dead))
	cases := []struct {
		domain string
		want   int
	}{{"a", 1}, {"b", 1}, {"c", 2}}
	for _, c := range cases {
		for range 2 { // the second call is served from the cache
			if got := d.Owners(services.Instance{ID: "i", Domain: c.domain}, 2); len(got) != c.want {
				t.Errorf("domain %s: %+v", c.domain, got)
			}
		}
	}
}
