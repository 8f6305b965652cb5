// Package site runs a whole installation inside one process on loopback: test doubles of
// the platform and of the backend servers, and proxies, connected by a simulated network
// with latency between failure domains and with partitions. The demo, the benchmarks and
// in-process tests run on it.
package site

import (
	"context"
	"net"
	"strconv"
	"sync"
	"time"
)

// Network simulates the network of a site. Each connection gets the latency between the
// locations of its two ends, and its bytes are held back while these are partitioned from
// each other. The mutex guards the fields below it.
type Network struct {
	// OneWay is the one-way latency between two failure domains.
	OneWay time.Duration
	// Client is the one-way latency between a caller and a proxy.
	Client time.Duration
	// Direct disables the simulation: no latency and no partitions.
	Direct bool

	mu         sync.Mutex
	locations  map[string]Location
	partitions map[[2]string]bool
	changed    chan struct{}
}

// Location is the VM or server and the failure domain that an address belongs to.
type Location struct {
	Name   string
	Domain string
}

// clients is the location of all callers.
var clients = Location{Name: "clients", Domain: "clients"}

// NewNetwork returns a network without partitions.
func NewNetwork(oneWay, client time.Duration) *Network {
	return &Network{OneWay: oneWay, Client: client, locations: map[string]Location{}, partitions: map[[2]string]bool{}, changed: make(chan struct{})}
}

// SetLocation sets the location of an address (host:port).
func (n *Network) SetLocation(address string, place Location) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.locations[address] = place
}

// Partition blocks traffic in both directions between two locations or failure domains,
// given by name.
func (n *Network) Partition(a, b string) { n.setPartition(a, b, true) }

// Heal ends the partition between the two.
func (n *Network) Heal(a, b string) { n.setPartition(a, b, false) }

func (n *Network) setPartition(a, b string, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitions[[2]string{a, b}] = partitioned
	n.partitions[[2]string{b, a}] = partitioned
	close(n.changed)
	n.changed = make(chan struct{})
}

// partitionState reports whether the locations are partitioned from each other and returns
// a channel that is closed at the next change of any partition.
func (n *Network) partitionState(a, b Location) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	partitioned := n.partitions[[2]string{a.Name, b.Name}] || n.partitions[[2]string{a.Domain, b.Domain}] ||
		n.partitions[[2]string{a.Name, b.Domain}] || n.partitions[[2]string{a.Domain, b.Name}]
	return partitioned, n.changed
}

func (n *Network) delay(a, b Location) time.Duration {
	switch {
	case a.Domain == clients.Domain || b.Domain == clients.Domain:
		return n.Client
	case a.Domain != b.Domain:
		return n.OneWay
	}
	return 0
}

// Dial returns the dial function for a process at the location.
func (n *Network) Dial(from Location) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if n.Direct {
			return (&net.Dialer{}).DialContext(ctx, network, address)
		}
		n.mu.Lock()
		to := n.locations[address]
		n.mu.Unlock()
		if err := n.awaitRoundTrip(ctx, from, to); err != nil {
			return nil, err
		}
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newDelayedConn(n, from, to, conn), nil
	}
}

// DialClient returns the dial function for callers.
func (n *Network) DialClient() func(ctx context.Context, network, address string) (net.Conn, error) {
	return n.Dial(clients)
}

// awaitRoundTrip waits as long as a connection setup takes, one round trip. While the
// locations are partitioned it blocks, until they are healed or the context ends.
func (n *Network) awaitRoundTrip(ctx context.Context, a, b Location) error {
	for {
		partitioned, changed := n.partitionState(a, b)
		if !partitioned {
			break
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	timer := time.NewTimer(2 * n.delay(a, b))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// splitHostPort splits host:port; a malformed address returns port 0.
func splitHostPort(address string) (string, uint16) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return "", 0
	}
	n, _ := strconv.ParseUint(port, 10, 16)
	return host, uint16(n)
}
