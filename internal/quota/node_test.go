package quota

import (
	"context"
	"fmt"
	"math/rand"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"chicoryline/internal/errkind"
	"chicoryline/internal/frame"
	"chicoryline/internal/peer"
	"chicoryline/internal/services"
	"chicoryline/internal/timeline"
)

// cluster is a set of nodes that call each other over loopback.
type cluster struct {
	nodes   []*Node
	servers []*peer.Server
	vms     []services.VM
}

func newCluster(t *testing.T, size int) *cluster {
	t.Helper()
	c := &cluster{}
	var listeners []net.Listener
	for i := range size {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, l)
		c.vms = append(c.vms, services.VM{ID: fmt.Sprintf("vm%d", i+1), Address: l.Addr().String()})
	}
	log := logrus.New()
	log.SetLevel(logrus.WarnLevel)
	for i, vm := range c.vms {
		client := peer.NewClient(timeline.NewClock(time.Now), nil, nil)
		system := frame.New(logrus.NewEntry(log))
		node := NewNode(Config{
			VM: vm, Holders: func() []services.VM { return c.vms }, Caller: client, System: system,
			Now: time.Now, Rand: rand.New(rand.NewSource(int64(i))), Log: logrus.NewEntry(log),
			ShareLease: 500 * time.Millisecond, RenewInterval: 25 * time.Millisecond, PromiseLifetime: 200 * time.Millisecond,
		})
		server := peer.NewServer(timeline.NewClock(time.Now), listeners[i], nil)
		if err := server.Register(ServiceName, node.Service()); err != nil {
			t.Fatal(err)
		}
		go server.Serve()
		c.nodes, c.servers = append(c.nodes, node), append(c.servers, server)
		t.Cleanup(func() {
			node.Close()
			server.Close()
			client.Close()
			system.Shutdown()
		})
	}
	return c
}

// eventually waits for a condition with a generous deadline.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(time.Minute)
	for !ok() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func TestSharesOverLoopback(t *testing.T) {
	c := newCluster(t, 3)
	for i, node := range c.nodes {
		node.SetTotal("customer/a", Total{Rate: 1e6, Burst: 1e6})
		node.SetTotal("instance/i", Total{Count: 10})
		node.SetDemand("instance/i", 5*(2-i), 0)
		if err := node.Start(); err != nil {
			t.Fatal(err)
		}
	}
	admits := func(node *Node) bool { return node.AdmitWait(t.Context(), "customer/a", 1) == nil }
	counts := func() [3]int {
		return [3]int{c.nodes[0].Count("instance/i"), c.nodes[1].Count("instance/i"), c.nodes[2].Count("instance/i")}
	}
	for _, node := range c.nodes {
		eventually(t, "every node holds a share", func() bool { return admits(node) })
	}
	eventually(t, "connections split 2 to 1", func() bool { return counts() == [3]int{7, 3, 0} })

	home := c.nodes[0].Stats().Resources["customer/a"].Home
	stopped := 0
	for i, vm := range c.vms {
		if vm.ID == home {
			stopped = i
		}
	}
	c.nodes[stopped].Close()
	c.servers[stopped].Close()
	for i, node := range c.nodes {
		if i == stopped {
			continue
		}
		eventually(t, "a new home", func() bool {
			s := node.Stats().Resources["customer/a"]
			return s.Home != home && s.State == "holding" && admits(node)
		})
	}
	if err := c.nodes[0].Admit("customer/none", 1); !errkind.Is(err, errkind.NotFound) {
		t.Fatalf("unknown resource: %v", err)
	}
}

func TestLeaveReturnsShares(t *testing.T) {
	c := newCluster(t, 3)
	for _, node := range c.nodes {
		node.SetTotal("instance/i", Total{Count: 9})
		node.SetDemand("instance/i", 3, 0)
		if err := node.Start(); err != nil {
			t.Fatal(err)
		}
	}
	sum := func() int {
		return c.nodes[0].Count("instance/i") + c.nodes[1].Count("instance/i") + c.nodes[2].Count("instance/i")
	}
	eventually(t, "all connections granted", func() bool { return sum() == 9 })
	if err := c.nodes[0].Leave(context.Background()); err != nil {
		t.Fatal(err)
	}
	if got := c.nodes[0].Count("instance/i"); got != 0 {
		t.Fatalf("a node that left still holds %d connections", got)
	}
	eventually(t, "all connections granted to the remaining nodes", func() bool { return sum() == 9 })
}
