package failover

import (
	"context"
	"fmt"
	"io"
	"math/rand"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"chicoryline/internal/backend"
	"chicoryline/internal/errkind"
	"chicoryline/internal/frame"
	"chicoryline/internal/groupview"
	"chicoryline/internal/peer"
	"chicoryline/internal/services"
	"chicoryline/internal/timeline"
)

// testTimeout limits every wait of these tests.
const testTimeout = 20 * time.Second

// memoryTable implements the methods of services.Table that this package uses.
type memoryTable struct {
	services.Table
	mu   sync.Mutex
	rows map[string]services.Row
}

func (m *memoryTable) Get(_ context.Context, key string) (services.Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	row, ok := m.rows[key]
	if !ok {
		return row, errkind.New(errkind.NotFound, "%s", key)
	}
	return row, nil
}

func (m *memoryTable) CompareAndSet(_ context.Context, key string, version uint64, value []byte, requestID string) (services.Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return compareAndSetRow(m.rows, key, version, value, requestID)
}

// compareAndSetRow implements the semantics of services.Table.CompareAndSet.
func compareAndSetRow(rows map[string]services.Row, key string, version uint64, value []byte, requestID string) (services.Row, error) {
	row := rows[key]
	if row.Version > 0 && row.RequestID == requestID {
		return row, nil
	}
	if row.Version != version {
		return services.Row{}, errkind.New(errkind.Conflict, "%s", key)
	}
	rows[key] = services.Row{Key: key, Version: version + 1, Value: value, RequestID: requestID}
	return rows[key], nil
}

// cluster consists of three VMs in three failure domains, each with a Watcher and a Runner.
type cluster struct {
	t        *testing.T
	fake     *backend.FakeGroup
	watchers []*groupview.Watcher
	runners  map[string]*Runner
	vms      []services.VM
}

func (c *cluster) Peers(string) []services.VM { return c.vms }

func (c *cluster) View(_ context.Context, vm services.VM, group string) (DomainView, error) {
	var view DomainView
	err := c.runners[vm.ID].Service().View(ViewArgs{group}, &view)
	return view, err
}

func startCluster(t *testing.T, bootstrap bool) *cluster {
	log := logrus.New()
	log.SetOutput(io.Discard)
	entry := logrus.NewEntry(log)
	group := testGroup()
	c := &cluster{t: t, fake: backend.NewFakeGroup(group.Instances), runners: map[string]*Runner{}}
	c.fake.SetDelay(2 * time.Millisecond)
	if bootstrap {
		c.fake.Bootstrap("a")
	}
	table := &memoryTable{rows: map[string]services.Row{}}
	for i := range 3 {
		c.vms = append(c.vms, services.VM{ID: fmt.Sprintf("vm%d", i+1), Domain: fmt.Sprintf("d%d", i+1)})
	}
	for i, vm := range c.vms {
		c.fake.SetDomain(vm.ID, vm.Domain)
		controls := func() map[string]backend.Control {
			m := map[string]backend.Control{}
			for _, i := range group.Instances {
				m[i.ID] = c.fake.Control(vm.ID, i.ID)
			}
			return m
		}
		watcher, err := groupview.New(groupview.Config{Group: group, Controls: controls(), WaitControls: controls(), Log: entry})
		if err != nil {
			t.Fatal(err)
		}
		system := frame.New(entry)
		runner, err := NewRunner(Config{
			Group: group, Controls: controls(), Watcher: watcher, Table: table, VM: vm, Peers: c,
			Rank: func() int { return i }, System: system, Rand: rand.New(rand.NewSource(int64(i))), Log: entry,
		})
		if err != nil {
			t.Fatal(err)
		}
		c.watchers = append(c.watchers, watcher)
		c.runners[vm.ID] = runner
		t.Cleanup(func() { runner.Close(); watcher.Close(); system.Shutdown() })
	}
	for i, vm := range c.vms {
		c.watchers[i].Start()
		if err := c.runners[vm.ID].Start(); err != nil {
			t.Fatal(err)
		}
	}
	return c
}

// waitForPrimary waits until the Watcher and the Runner of every VM see a primary that
// accept returns true for.
func (c *cluster) waitForPrimary(what string, accept func(id string, term uint64) bool) {
	c.t.Helper()
	deadline := time.Now().Add(testTimeout)
	for time.Now().Before(deadline) {
		all := true
		for i, w := range c.watchers {
			id, term, ok := w.View().Primary()
			all = all && ok && accept(id, term) && c.runners[c.vms[i].ID].DomainView().Term == term
		}
		if all {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	c.t.Fatalf("not all VMs saw %s", what)
}

// write writes to the primary that the first VM sees and waits until a majority has the
// write.
func (c *cluster) write(data string) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	id, _, ok := c.watchers[0].View().Primary()
	if !ok {
		c.t.Fatal("no primary")
	}
	p, err := c.fake.Write(id, data)
	if err != nil {
		c.t.Fatal(err)
	}
	if err := c.watchers[0].Confirm(ctx, p); err != nil {
		c.t.Fatal(err)
	}
}

func TestRunnersReplaceDeadPrimaryTwice(t *testing.T) {
	c := startCluster(t, true)
	c.waitForPrimary("the first primary", func(id string, _ uint64) bool { return id == "a" })
	c.write("w1")
	c.fake.SetDown("a", true)
	c.waitForPrimary("the second primary", func(id string, term uint64) bool { return id != "a" && term > 1 })
	c.write("w2")
	second, term, _ := c.watchers[0].View().Primary()
	c.fake.SetDown("a", false)
	c.waitForPrimary("the restarted instance replicating", func(string, uint64) bool { return c.fake.Holds("a", "w2") })
	c.fake.SetDown(second, true)
	c.waitForPrimary("the third primary", func(id string, t uint64) bool { return id != second && t > term })
	c.write("w3")
	third, _, _ := c.watchers[0].View().Primary()
	for _, w := range []string{"w1", "w2", "w3"} {
		if !c.fake.Holds(third, w) {
			t.Errorf("primary %s lost %s", third, w)
		}
	}
}

func TestRunnersBootstrapGroupWithoutPrimary(t *testing.T) {
	c := startCluster(t, false)
	c.waitForPrimary("a primary", func(string, uint64) bool { return true })
	c.write("w1")
}

func TestHandover(t *testing.T) {
	c := startCluster(t, true)
	c.waitForPrimary("the first primary", func(id string, _ uint64) bool { return id == "a" })
	c.write("w1")
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	runner := c.runners["vm2"]
	if err := runner.Handover(ctx, "nobody"); !errkind.Is(err, errkind.NotFound) {
		t.Fatalf("unknown target: %v", err)
	}
	var reply HandoverReply
	if err := runner.Service().Handover(HandoverArgs{"g", "c"}, &reply); err != nil || reply.Primary != "c" {
		t.Fatalf("switchover to c: %v, primary %s", err, reply.Primary)
	}
	c.waitForPrimary("c as primary", func(id string, _ uint64) bool { return id == "c" })
	c.write("w2")
}

func TestLeavingPrimaryIsHandedOver(t *testing.T) {
	c := startCluster(t, true)
	c.waitForPrimary("the first primary", func(id string, _ uint64) bool { return id == "a" })
	c.runners["vm1"].SetLeaving([]string{"a"})
	c.waitForPrimary("another primary", func(id string, _ uint64) bool { return id != "a" })
	c.write("w1")
}

func TestServiceOverNetRPC(t *testing.T) {
	c := startCluster(t, true)
	c.waitForPrimary("the first primary", func(id string, _ uint64) bool { return id == "a" })
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := peer.NewServer(timeline.NewClock(time.Now), listener, nil)
	if err := server.Register(ServiceName, c.runners["vm2"].Service()); err != nil {
		t.Fatal(err)
	}
	go server.Serve()
	defer server.Close()
	client := peer.NewClient(timeline.NewClock(time.Now), nil, nil)
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()

	views := PeerViews{Caller: client, List: func(string) []services.VM { return nil }}
	vm := services.VM{ID: "vm2", Address: listener.Addr().String()}
	view, err := views.View(ctx, vm, "g")
	if err != nil || view.Domain != "d2" || view.Primary != "a" || !view.Proved {
		t.Fatalf("view %+v: %v", view, err)
	}
	if _, err := views.View(ctx, vm, "other"); !errkind.Is(err, errkind.NotFound) {
		t.Fatalf("view of a group without a steward: %v", err)
	}
	var reply HandoverReply
	if err := client.Call(ctx, vm.Address, ServiceName+".Handover", HandoverArgs{"g", "b"}, &reply); err != nil || reply.Primary != "b" {
		t.Fatalf("switchover: %v, primary %s", err, reply.Primary)
	}
}
