package configsync

import (
	"math/rand/v2"
	"slices"
	"time"

	"chicoryline/internal/services"
)

// peersInterval is how often the platform's list of VMs is read at most: if
// 1,500 VMs have lost their leases at once, that is 300 reads a second.
const peersInterval = 5 * time.Second

// refreshPeers reads the platform's list of VMs while nothing else tells of
// other processes, so that a start with no holders in view finds some.
func (n *Node) refreshPeers() {
	if n.cfg.Peers != nil || !n.View().Expired || !n.peersDue() {
		return
	}
	ctx, cancel := n.platformContext()
	defer cancel()
	list, err := n.cfg.Services.VMs(ctx)
	if err != nil {
		return
	}
	n.mu.Lock()
	n.peers = list
	n.mu.Unlock()
}

func (n *Node) peersDue() bool {
	now := n.cfg.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if now.Before(n.peersNext) {
		return false
	}
	n.peersNext = now.Add(peersInterval)
	return true
}

// maxPeersAsked is how many processes are asked at most before a pause.
const maxPeersAsked = 8

// peersToAsk returns a few of the other processes in random order, those of the
// own domain first.
func (n *Node) peersToAsk() []services.VM {
	n.mu.Lock()
	list := slices.Clone(n.peers)
	n.mu.Unlock()
	if n.cfg.Peers != nil {
		list = slices.Clone(n.cfg.Peers())
	}
	list = slices.DeleteFunc(list, func(vm services.VM) bool { return vm.Address == n.cfg.VM.Address })
	n.shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	slices.SortStableFunc(list, func(a, b services.VM) int { return n.domainDistance(a) - n.domainDistance(b) })
	return list[:min(len(list), maxPeersAsked)]
}

// shuffle orders n things at random.
func (n *Node) shuffle(count int, swap func(i, j int)) {
	if n.cfg.Rand == nil {
		rand.Shuffle(count, swap)
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cfg.Rand.Shuffle(count, swap)
}

// lessors returns the addresses to ask for a lease, the last lessor first.
func (n *Node) lessors(holders []string) []string {
	n.refreshPeers()
	n.mu.Lock()
	list := append([]string{n.lessor}, n.holderHints...)
	n.mu.Unlock()
	list = append(list, holders...)
	for _, vm := range n.peersToAsk() {
		list = append(list, vm.Address)
	}
	seen := map[string]bool{"": true}
	return slices.DeleteFunc(list, func(address string) bool {
		duplicate := seen[address]
		seen[address] = true
		return duplicate
	})
}

func (n *Node) setLessor(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lessor = address
}

// setHints keeps the addresses of holders that the last process asked has named.
func (n *Node) setHints(holders []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(holders) > 0 {
		n.holderHints = holders
	}
}

// maxHints bounds the holders that a refused lease names.
const maxHints = 4

// limitHints returns the addresses of holders that this process knows.
func (n *Node) limitHints(holders []string) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.lessor != "" {
		holders = append([]string{n.lessor}, holders...)
	}
	return holders[:min(len(holders), maxHints)]
}

// domainDistance is 0 inside the domain and 1 outside of it.
func (n *Node) domainDistance(vm services.VM) int {
	if vm.Domain == n.cfg.VM.Domain {
		return 0
	}
	return 1
}
