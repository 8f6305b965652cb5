package configsync

import (
	"math/rand/v2"
	"slices"
	"time"

	"chicoryline/internal/services"
)

// peersInterval is the minimum time between two reads of the platform's list of VMs.
// If 1,500 VMs lose their leases at the same time, that is 300 reads/s.
const peersInterval = 5 * time.Second

// refreshPeers reads the platform's list of VMs if the view is expired and no other
// source of peers is configured. A process that starts without knowing any holder
// finds one this way.
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

// peersDue reports whether the list of VMs may be read now, and if so starts the next
// interval.
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

// maxPeersAsked is the maximum number of processes asked in one attempt.
const maxPeersAsked = 8

// peersToAsk returns up to maxPeersAsked other processes in random order, those in
// the own failure domain first.
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

// shuffle randomizes the order of count elements.
func (n *Node) shuffle(count int, swap func(i, j int)) {
	if n.cfg.Rand == nil {
		rand.Shuffle(count, swap)
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cfg.Rand.Shuffle(count, swap)
}

// lessors returns the addresses to ask for a lease without duplicates, the last
// lessor first.
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

// setHints stores the holder addresses named in the last reply to a lease request.
func (n *Node) setHints(holders []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(holders) > 0 {
		n.holderHints = holders
	}
}

// maxHints is the maximum number of holder addresses in a reply to a lease request.
const maxHints = 4

// limitHints returns up to maxHints holder addresses, the last lessor first.
func (n *Node) limitHints(holders []string) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.lessor != "" {
		holders = append([]string{n.lessor}, holders...)
	}
	return holders[:min(len(holders), maxHints)]
}

// domainDistance returns 0 for a VM in the own failure domain and 1 for any other.
func (n *Node) domainDistance(vm services.VM) int {
	if vm.Domain == n.cfg.VM.Domain {
		return 0
	}
	return 1
}
