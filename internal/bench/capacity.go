package bench

import (
	"context"
	"fmt"
	"io"
	"math/rand"
	"net"
	"runtime"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"chicoryline/internal/backend"
	"chicoryline/internal/catalog"
	"chicoryline/internal/failover"
	"chicoryline/internal/frame"
	"chicoryline/internal/groupview"
	"chicoryline/internal/peer"
	"chicoryline/internal/services"
	"chicoryline/internal/timeline"
)

const (
	// watchTime is the measurement time for each number of groups.
	watchTime = 4 * time.Second
	// groupInstances is the number of instances in each measured group.
	groupInstances = 3
	// authorizationCount is the number of key checks in one measurement.
	authorizationCount = 200_000
)

// Sizes at which the cost of each part is measured.
var (
	watchSizes   = []int{1, 8, 32, 128}
	catalogSizes = []int{10, 100, 1000, 10000}
	linkSizes    = []int{50, 100, 200, 400}
	idleSizes    = []int{500, 1000, 2000, 4000}
)

// Capacity prints the cost of each part that grows with the fleet, one line for each of
// several sizes.
func Capacity(ctx context.Context, out io.Writer, log *logrus.Entry) error {
	for _, n := range watchSizes {
		if err := measureGroupWatch(out, log, n); err != nil {
			return err
		}
	}
	for _, n := range catalogSizes {
		if err := measureCatalog(out, n); err != nil {
			return err
		}
	}
	for _, n := range linkSizes {
		if err := measureLinks(ctx, out, n); err != nil {
			return err
		}
	}
	measureRing(out)
	for _, n := range idleSizes {
		if err := IdleMemory(ctx, out, log, n); err != nil {
			return err
		}
	}
	return nil
}

// measureGroupWatch measures the CPU time and memory of watching n groups, each with a
// standby failover coordinator (steward). The instances are fakes, so only the watcher and
// the steward contribute.
func measureGroupWatch(out io.Writer, log *logrus.Entry, n int) error {
	before := memoryInUse()
	system := frame.New(log)
	defer system.Shutdown()
	var stops []func()
	for i := range n {
		stop, err := watchGroup(system, log, fmt.Sprintf("group%d", i))
		if err != nil {
			return err
		}
		stops = append(stops, stop)
	}
	time.Sleep(settleTime)
	used, started := cpuTime(), time.Now()
	time.Sleep(watchTime)
	cpu := float64(cpuTime()-used) / float64(time.Since(started))
	memory := memoryInUse() - before
	for _, stop := range stops {
		stop()
	}
	_, _ = fmt.Fprintf(out, "part=group_watch groups=%d core_percent=%.3f core_percent_per_group=%.4f bytes_per_group=%d\n",
		n, 100*cpu, 100*cpu/float64(n), memory/int64(n))
	return nil
}

func watchGroup(system *frame.System, log *logrus.Entry, name string) (func(), error) {
	group := services.Group{Name: name}
	for i := range groupInstances {
		group.Instances = append(group.Instances, services.Instance{ID: fmt.Sprintf("%s-db%d", name, i+1), Domain: fmt.Sprintf("domain%d", i+1)})
	}
	fake := backend.NewFakeGroup(group.Instances)
	fake.Bootstrap(group.Instances[0].ID)
	vm := services.VM{ID: "vm1", Domain: "domain1", Address: "127.0.0.1:1"}
	controls := map[string]backend.Control{}
	for _, i := range group.Instances {
		controls[i.ID] = fake.Control(vm.ID, i.ID)
	}
	watcher, err := groupview.New(groupview.Config{Group: group, Controls: controls, WaitControls: controls, Log: log})
	if err != nil {
		return nil, errors.Trace(err)
	}
	runner, err := failover.NewRunner(failover.Config{
		Group: group, Controls: controls, Watcher: watcher, Table: services.NewMemory(time.Now), VM: vm,
		Peers: failover.PeerViews{List: func(string) []services.VM { return nil }}, Rank: func() int { return 0 },
		System: system, Rand: rand.New(rand.NewSource(1)), Log: log,
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	watcher.Start()
	if err := runner.Start(); err != nil {
		return nil, errors.Trace(err)
	}
	return func() {
		runner.Close()
		watcher.Close()
	}, nil
}

// measureCatalog measures memory, decoding and key checks for a configuration document of n
// customers and n routes.
func measureCatalog(out io.Writer, n int) error {
	doc := &catalog.Document{
		TokenSecret: make([]byte, 16), Customers: map[string]catalog.Customer{},
		Groups: map[string]catalog.Group{"g": {Name: "g"}}, Routes: map[string]catalog.Route{},
	}
	key := "measured-key"
	for i := range n {
		name := fmt.Sprintf("customer%d", i)
		doc.Customers[name] = catalog.Customer{Name: name, Rate: 100, Burst: 100, Weight: 1, Keys: map[string]catalog.KeyHash{"main": catalog.HashKey(key, []byte("0123456789abcdef"))}}
		doc.Routes[name] = catalog.Route{Name: name, Group: "g", Mode: catalog.ReadSession}
	}
	data := catalog.Encode(doc)
	before := memoryInUse()
	used := cpuTime()
	decoded, err := catalog.Decode(data)
	if err != nil {
		return errors.Trace(err)
	}
	decodeTime := cpuTime() - used
	held := memoryInUse() - before
	view := catalog.View{Current: decoded}
	ref, _ := view.MatchKey("customer0", key)
	used = cpuTime()
	for range authorizationCount {
		if _, _, err := view.AuthorizeKey("customer0", ref, "customer0"); err != nil {
			return err
		}
	}
	each := (cpuTime() - used) / authorizationCount
	_, _ = fmt.Fprintf(out, "part=catalog customers=%d routes=%d document_bytes=%d held_bytes=%d decode_ms=%.2f authorize_ns=%d\n",
		n, n, len(data), held, float64(decodeTime)/float64(time.Millisecond), each.Nanoseconds())
	runtime.KeepAlive(decoded)
	return nil
}

// Ping is the RPC service that measureLinks calls.
type Ping struct{}

// Ping returns its argument.
func (Ping) Ping(args int, reply *int) error {
	*reply = args
	return nil
}

// measureLinks measures the memory of both ends of n peer connections.
func measureLinks(ctx context.Context, out io.Writer, n int) error {
	clock := timeline.NewClock(time.Now)
	before := memoryInUse()
	var closers []func()
	for range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return errors.Trace(err)
		}
		server := peer.NewServer(clock, listener, nil)
		if err := server.Register("Ping", Ping{}); err != nil {
			return errors.Trace(err)
		}
		go server.Serve()
		client := peer.NewClient(clock, nil, nil)
		var reply int
		if err := client.Call(ctx, listener.Addr().String(), "Ping.Ping", 1, &reply); err != nil {
			return errors.Trace(err)
		}
		closers = append(closers, func() { client.Close(); server.Close() })
	}
	used := memoryInUse() - before
	for _, closeLink := range closers {
		closeLink()
	}
	_, _ = fmt.Fprintf(out, "part=peer_link links=%d bytes_per_link_both_ends=%d\n", n, used/int64(n))
	return nil
}

// measureRing measures the memory of a full event ring buffer.
func measureRing(out io.Writer) {
	before := memoryInUse()
	ring := timeline.NewRing(timeline.NewClock(time.Now), "vm1", "domain1", timeline.DefaultRingSize)
	for i := range timeline.DefaultRingSize {
		ring.Add(timeline.Event{Kind: "request_refused", Group: "group1", Customer: "customer", Detail: fmt.Sprintf("event %d of the measurement", i)})
	}
	_, _ = fmt.Fprintf(out, "part=timeline events=%d bytes=%d\n", timeline.DefaultRingSize, memoryInUse()-before)
	runtime.KeepAlive(ring)
}
