// Package site runs a whole installation inside one process on loopback: the
// stand-in platform, stand-in backend servers and proxies, joined by a network
// with delays between failure domains that can be cut. The demo, the bench and
// in-process tests run on it.
package site

import (
	"context"
	"net"
	"strconv"
	"sync"
	"time"
)

// Network gives every connection the delay of its two ends and holds its bytes
// back while the ends are cut off from each other. The mutex guards places and cuts.
type Network struct {
	// OneWay is the delay between two failure domains.
	OneWay time.Duration
	// Client is the delay between a caller and a proxy.
	Client time.Duration
	// Direct leaves connections as they are: no delays and no cuts.
	Direct bool

	mu         sync.Mutex
	locations  map[string]Location
	partitions map[[2]string]bool
	changed    chan struct{}
}

// Location is where an address is.
type Location struct {
	Name   string
	Domain string
}

// clients is the place of all callers.
var clients = Location{Name: "clients", Domain: "clients"}

// NewNetwork returns a network without cuts.
func NewNetwork(oneWay, client time.Duration) *Network {
	return &Network{OneWay: oneWay, Client: client, locations: map[string]Location{}, partitions: map[[2]string]bool{}, changed: make(chan struct{})}
}

// SetLocation says where the address (host:port) is.
func (n *Network) SetLocation(address string, place Location) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.locations[address] = place
}

// Partition separates two places or domains, both ways.
func (n *Network) Partition(a, b string) { n.setPartition(a, b, true) }

// Heal joins them again.
func (n *Network) Heal(a, b string) { n.setPartition(a, b, false) }

func (n *Network) setPartition(a, b string, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitions[[2]string{a, b}] = partitioned
	n.partitions[[2]string{b, a}] = partitioned
	close(n.changed)
	n.changed = make(chan struct{})
}

// partitionState tells whether the places are cut off and returns a channel that is
// closed at the next change.
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

// Dial returns the dial function of a process at the place.
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

// DialClient is the dial function of callers.
func (n *Network) DialClient() func(ctx context.Context, network, address string) (net.Conn, error) {
	return n.Dial(clients)
}

// awaitRoundTrip waits for a round trip; a dial across a cut hangs until the
// context ends.
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

// splitAddress cuts host:port; a malformed one gives port 0.
func splitAddress(address string) (string, uint16) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return "", 0
	}
	n, _ := strconv.ParseUint(port, 10, 16)
	return host, uint16(n)
}
