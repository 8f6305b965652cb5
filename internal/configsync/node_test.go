package configsync

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"chicoryline/internal/errkind"
	"chicoryline/internal/frame"
	"chicoryline/internal/platform"
)

const basePatch = "[group g]\n[customer depot]\nrate = 10\nburst = 5\n[route racks]\ngroup = g\n[route board]\ngroup = g\nopen = true\nserve_cut_off = true\n"

// net carries calls between nodes of one test; cut addresses are unreachable.
type net struct {
	mu    sync.Mutex
	nodes map[string]*Node
	cut   map[string]bool
}

type netLink struct {
	net  *net
	from string
}

func (l netLink) Call(_ context.Context, address, method string, args, reply any) error {
	l.net.mu.Lock()
	n, cut := l.net.nodes[address], l.net.cut[address] || l.net.cut[l.from]
	l.net.mu.Unlock()
	if n == nil || cut {
		return errkind.New(errkind.Unreachable, "%s", address)
	}
	s := n.Service()
	switch method {
	case "Config.Promise":
		return s.Promise(args.(PromiseAsk), reply.(*PromiseReply))
	case "Config.Lease":
		return s.Lease(args.(LeaseAsk), reply.(*PromiseReply))
	case "Config.Document":
		return s.Document(args.(DocumentAsk), reply.(*DocumentReply))
	case "Config.Notify":
		return s.Notify(args.(NotifyAsk), reply.(*NotifyReply))
	}
	return errkind.New(errkind.Internal, "method %s", method)
}

// fleet is a set of nodes on one fake platform in a test's virtual time.
type fleet struct {
	t       *testing.T
	store   *fakePlatform
	net     *net
	nodes   []*Node
	system  *frame.System
	started int
	seeds   func() []platform.VM // addresses given by the settings of later nodes
}

func newFleet(t *testing.T, system *frame.System, holders int) *fleet {
	f := &fleet{t: t, system: system, store: newFakePlatform(), net: &net{nodes: map[string]*Node{}, cut: map[string]bool{}}}
	for i := range holders {
		f.start(fmt.Sprintf("vm%d", i), fmt.Sprintf("d%d", i%3), false)
	}
	return f
}

func (f *fleet) start(id, domain string, observer bool) *Node {
	vm := platform.VM{ID: id, Domain: domain, Address: id + ":1"}
	f.started++
	n := New(Config{
		VM: vm, Incarnation: uint64(f.started), Services: f.store, Caller: netLink{f.net, vm.Address},
		System: f.system, Observer: observer, Peers: f.seeds,
	})
	f.net.mu.Lock()
	f.net.nodes[vm.Address] = n
	f.net.mu.Unlock()
	f.store.set(func() { f.store.vms = append(f.store.vms, vm) })
	if err := n.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.nodes = append(f.nodes, n)
	return n
}

func (f *fleet) close() {
	for _, n := range f.nodes {
		n.Close()
	}
}

func (f *fleet) submit(base uint64, patch, id string) Result {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	r, err := Submit(ctx, f.store, base, []byte(patch), id)
	f.t.Logf("patch %s on %d: %s version %d %v", id, base, r.State, r.Version, err)
	return r
}

// wait waits for the condition for a generous stretch of virtual time.
func (f *fleet) wait(what string, ok func() bool) {
	f.t.Helper()
	for range 6000 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	f.t.Fatalf("never happened: %s", what)
}

func (f *fleet) valid(nodes ...*Node) func() bool {
	return func() bool {
		for _, n := range nodes {
			if n.View().Expired {
				return false
			}
		}
		return true
	}
}

func version(n *Node) uint64 {
	if d := n.View().Current; d != nil {
		return d.Version
	}
	return 0
}

// inVirtualTime runs a fleet in a synctest bubble. The actor system is made
// outside of it, because its log writer keeps a goroutine for ever.
func inVirtualTime(t *testing.T, holders int, run func(f *fleet)) {
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	system := frame.New(logrus.NewEntry(log))
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, system, holders)
		defer f.close()
		run(f)
	})
}

func TestPatchIsInForceEverywhere(t *testing.T) {
	inVirtualTime(t, 8, func(f *fleet) {
		f.wait("grants", f.valid(f.nodes...))
		if r := f.submit(0, basePatch, "p1"); r.State != StateInForce || r.Version != 1 {
			t.Fatalf("first patch: %+v", r)
		}
		f.wait("version 1", func() bool {
			for _, n := range f.nodes {
				if version(n) != 1 || n.View().Pending != nil {
					return false
				}
			}
			return true
		})
		if r := f.submit(0, basePatch, "p1"); r.State != StateInForce || r.Version != 1 {
			t.Fatalf("the same patch id again: %+v", r)
		}
		if r := f.submit(0, "[group h]", "p2"); r.State != StateRefused {
			t.Fatalf("an old base: %+v", r)
		}
	})
}

func TestOutageKeepsServing(t *testing.T) {
	inVirtualTime(t, 5, func(f *fleet) {
		f.wait("grants", f.valid(f.nodes...))
		f.submit(0, basePatch, "p1")
		time.Sleep(5 * time.Second)
		f.store.set(func() { f.store.down = true })
		known := []platform.VM{f.nodes[0].cfg.VM}
		f.seeds = func() []platform.VM { return known }
		late := f.start("late", "d0", true)
		for range 30 {
			time.Sleep(time.Second)
			if !f.valid(f.nodes[:5]...)() {
				t.Fatal("a grant ran out in a platform outage with all VMs up")
			}
		}
		if !f.valid(late)() || version(late) != 1 {
			t.Fatal("a VM that started in the outage did not learn the configuration from a holder")
		}
	})
}
