// Package mesh carries news between the VMs in datagrams: what each has taken of
// the customers' rates, which configuration it holds and when that was proved,
// what it knows of the database groups. News are soft state; a lost datagram is
// made good by the next.
//
// Up to singleCell VMs all talk to each other. More are split into cells within
// failure domains; the first VM in touch of a cell sums up the cell's news for the
// first VMs of the others, and what it hears from those for its cell. So a VM's part grows
// with the size of a cell and a leader's with the number of cells.
//
// Clocks of VMs are not compared. A datagram returns the stamp of the newest one
// that its sender had received, so an age in it counts from that stamp on the
// receiver's own clock, or later; taking the stamp errs to the safe side.
package mesh

import (
	"bytes"
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"

	"chicoryline/internal/boottime"
	"chicoryline/internal/position"
	"chicoryline/internal/ratelimit"
)

const (
	// GossipInterval is the time between two datagrams to the same VM. Datagrams cross
	// failure domains, which is billed; rates and positions bear this delay.
	GossipInterval = 500 * time.Millisecond
	// urgentGossipInterval is that of a VM that misses answers of a primary and has to
	// know whether others get them.
	urgentGossipInterval = 100 * time.Millisecond
	// PeerTimeout is how long a VM counts as in touch after its last datagram: three
	// lost in a row.
	PeerTimeout = 3*GossipInterval + urgentGossipInterval
	// digestTimeout is how long a cell counts as in touch after its last digest, which
	// its leader relays with a delay of an interval.
	digestTimeout = PeerTimeout + 2*GossipInterval
	// domainTimeout is how old a digest may be for its failure domain to be in touch: a
	// round of news, and one that was lost, on each of the ways to this cell's leader
	// and from there.
	domainTimeout = digestTimeout + 2*GossipInterval
	// maxDatagramBytes bounds a datagram, in bytes.
	maxDatagramBytes = 60 << 10
)

// GroupState is what a VM knows of a database group. Ages are in milliseconds; a
// negative age means never.
type GroupState struct {
	// Position covered all commits acknowledged before PositionAge ago.
	Position    position.Position
	PositionAge int64
	// Primary is the server that the VM takes as the primary.
	Primary string
	// AnsweredAge and CommittedAge are when the primary last answered the VM and
	// when it last acknowledged a commit to it.
	AnsweredAge, CommittedAge int64
	// Loads is the smoothed number of statements that the VM has under way at each of
	// the group's servers, by a hash of the server's id; none for servers without load.
	Loads map[uint32]float32
	// ExpectedIn is when a new primary should lead, in milliseconds; 0 if no change
	// is under way.
	ExpectedIn int64
	// Acknowledged is the highest position that an acknowledged commit was answered
	// with, as far as the VM knows.
	Acknowledged position.Position
	// LedAge is when the primary was last proved not to have been replaced.
	LedAge int64
}

// StateUpdate is the body of a datagram.
type StateUpdate struct {
	Leaving bool
	// Settled tells that the VM has run for long enough to know what all have taken
	// of the customers' rates.
	Settled bool
	// Urgent asks for an answer at once.
	Urgent        bool
	ConfigVersion int64
	ConfigAge     int64 // milliseconds
	Usage         map[string]ratelimit.Usage
	Groups        map[string]GroupState
}

// Digest sums up the news of a cell.
type Digest struct {
	Cell string
	// Source names the VM that made the digest, with its incarnation: counts of two
	// sources are not comparable.
	Source string
	// Members is the number of VMs that the source counts as in touch.
	Members int
	// Held is how long ago the digest was made, in milliseconds.
	Held int64
	News StateUpdate
}

// envelope is a datagram. Stamps are on the clock of the VM that made them.
type envelope struct {
	VM              string
	Incarnation     uint64
	Sent            boottime.Time
	EchoIncarnation uint64
	Echo            boottime.Time
	// Payload is an encoded payload: the same for all VMs that a datagram goes to.
	Payload msgpack.RawMessage
}

// payload is what a datagram tells.
type payload struct {
	// News is nil in datagrams to other cells.
	News *StateUpdate
	// Digests holds the sender's digest in datagrams to other cells. Inside a cell the
	// leader's name all cells in touch, without their news.
	Digests []Digest
	// Fleet sums up the other cells, from the leader to its cell.
	Fleet *Fleet
}

// Fleet is the summed news of all other cells in touch. Its source is the VM that made the
// sum, with its incarnation.
type Fleet struct {
	Source string
	News   StateUpdate
}

// Peer is a VM to exchange news with.
type Peer struct {
	VM      string
	Address string // host:port, UDP
	Domain  string // failure domain
}

type peerState struct {
	address *net.UDPAddr
	domain  string
	// incarnation and sent are those of the newest datagram from the peer.
	incarnation uint64
	sent        boottime.Time
	// receivedAt is 0 while the peer is silent, last is kept; began is when the present
	// incarnation was first heard of.
	receivedAt, lastReceivedAt, startedAt boottime.Time
	// update were true at since or later; only kept of VMs of the own cell.
	update *StateUpdate
	since  boottime.Time
}

// Config describes the mesh of one VM.
type Config struct {
	VM   string
	Conn *net.UDPConn
	// Compose returns the news of the moment.
	Compose func() StateUpdate
	// IsUrgent reports whether news are to be sent and asked for at short intervals.
	IsUrgent func() bool
	// OnUpdate takes news of a VM of the cell, ReceiveDigest those of another cell; they
	// were true at the moment since, on this VM's clock, or later. since is 0 if the
	// sender has not heard this VM.
	OnUpdate, OnDigest func(source string, n StateUpdate, since boottime.Time)
	// Unknown, if set, is told of a VM that sends news and is not among the peers.
	OnUnknownPeer func(vm string)
	// OnLost is told of a source whose news are no longer valid.
	OnLost func(source string)
	Log    *logrus.Entry
}

// Mesh exchanges news. The mutex guards the fields below it.
type Mesh struct {
	cfg         Config
	incarnation uint64

	mu      sync.Mutex
	peers   map[string]*peerState
	cells   []cell
	ownCell int // index of the own cell
	// digests holds the newest digest of each other cell.
	digests map[string]receivedDigest
	// fleetSource is the source of the sum over other cells that the leader gave last, heard
	// when it came.
	fleetSource     string
	fleetReceivedAt boottime.Time
	// ownUsage counts the own cell's usage, distant that of the others.
	ownUsage    usageCounter
	remoteUsage usageCounter
	round       int
	// ownStatus is this VM's part in its cell as its last news told it.
	ownStatus memberStatus
}

// memberStatus is what a VM says of itself that decides what it does for its cell.
type memberStatus struct{ leaving, settled bool }

// receivedDigest is a digest that came from the VM, true at since or later.
type receivedDigest struct {
	Digest
	from       string
	receivedAt boottime.Time
	since      boottime.Time
	// direct tells that the digest came from its cell, with its news.
	direct bool
}

// New returns a mesh without peers.
func New(cfg Config) *Mesh {
	return &Mesh{
		cfg: cfg, incarnation: rand.Uint64() | 1, peers: map[string]*peerState{},
		cells: []cell{{}}, digests: map[string]receivedDigest{}, ownUsage: newUsageCounter(), remoteUsage: newUsageCounter(),
	}
}

// SetPeers takes the list of all VMs.
func (m *Mesh) SetPeers(list []Peer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	wanted := map[string]bool{}
	for _, p := range list {
		address, err := net.ResolveUDPAddr("udp4", p.Address)
		if err != nil {
			m.cfg.Log.WithError(err).WithFields(logrus.Fields{"event": "member", "member": p.VM}).Warn("address is not valid")
			continue
		}
		if p.VM == m.cfg.VM {
			continue
		}
		wanted[p.VM] = true
		if old := m.peers[p.VM]; old == nil || old.address.String() != address.String() {
			m.peers[p.VM] = &peerState{address: address}
		}
		m.peers[p.VM].domain = p.Domain
	}
	for vm := range m.peers {
		if !wanted[vm] {
			delete(m.peers, vm)
		}
	}
	m.cells = splitIntoCells(list)
	m.ownCell = 0
	for i, c := range m.cells {
		if c.has(m.cfg.VM) {
			m.ownCell = i
		}
	}
}

// ReachableCount returns the number of other VMs in touch and of all other VMs.
func (m *Mesh) ReachableCount() (reachable, all int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := boottime.Now()
	for _, vm := range m.cells[m.ownCell].vms {
		if m.isReachable(vm, now) {
			reachable++
		}
	}
	for _, d := range m.digests {
		if now.Sub(d.receivedAt) < digestTimeout {
			reachable += d.Members
		}
	}
	return min(reachable, len(m.peers)), len(m.peers)
}

func (m *Mesh) isReachable(vm string, now boottime.Time) bool {
	p := m.peers[vm]
	return p != nil && p.receivedAt != 0 && now.Sub(p.receivedAt) < PeerTimeout
}

// IsReachable reports whether datagrams of the VM come.
func (m *Mesh) IsReachable(vm string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.isReachable(vm, boottime.Now())
}

// ReachableDomains returns the failure domains of which a VM is in touch: one whose
// datagrams come or, in a fleet of several cells, one that summed up a cell of the
// domain a short time ago. Digests pass through the leader of the own cell, which
// repeats the last one, so their age counts and not when they came.
func (m *Mesh) ReachableDomains() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := boottime.Now()
	domains := map[string]bool{}
	for vm, p := range m.peers {
		if m.isReachable(vm, now) {
			domains[p.domain] = true
		}
	}
	for _, c := range m.cells {
		if d, ok := m.digests[c.name]; ok && d.since != 0 && now.Sub(d.since) < domainTimeout {
			domains[c.domain] = true
		}
	}
	return slices.Sorted(maps.Keys(domains))
}

// HasObservedAllSince reports whether what VMs in touch know covers the time up to the moment:
// each other VM is in touch and has run since before it, or had been silent for a round of
// news by then. In a fleet of several cells a digest that sums up a whole cell stands for
// its VMs; one that has restarted there is not noticed.
func (m *Mesh) HasObservedAllSince(at boottime.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := boottime.Now()
	for _, vm := range m.cells[m.ownCell].vms {
		p := m.peers[vm]
		switch {
		case vm == m.cfg.VM:
		case p == nil || p.lastReceivedAt == 0:
			return false
		case m.isReachable(vm, now):
			if p.startedAt > at {
				return false
			}
		case p.lastReceivedAt.Add(GossipInterval) >= at:
			return false
		}
	}
	for i, c := range m.cells {
		if i == m.ownCell {
			continue
		}
		if d, ok := m.digests[c.name]; !ok || now.Sub(d.receivedAt) >= digestTimeout || d.Members < len(c.vms) {
			return false
		}
	}
	return true
}

// IsDomainObservedSince reports whether a VM of the failure domain has been heard of after the
// moment. In a fleet of several cells a digest of the domain that was made after it stands
// for its VMs.
func (m *Mesh) IsDomainObservedSince(domain string, since boottime.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		if p.domain == domain && p.receivedAt > since {
			return true
		}
	}
	for _, c := range m.cells {
		if d, ok := m.digests[c.name]; ok && c.domain == domain && d.since > since {
			return true
		}
	}
	return false
}

// TableSource returns the VM that this one learns from what the store says: the one that acts
// for its cell, and for that one the one that acts for the first cell in touch; self tells
// that it is this VM. So one VM of a fleet in touch follows the store.
func (m *Mesh) TableSource() (vm string, self bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := boottime.Now()
	if leader := m.leader(now); leader != m.cfg.VM {
		return leader, false
	}
	for _, c := range m.cells[:m.ownCell] {
		if d, ok := m.digests[c.name]; ok && d.direct && now.Sub(d.receivedAt) < PeerTimeout {
			return d.from, false
		}
	}
	return m.cfg.VM, true
}

// IsInFirstCell reports whether the own cell is the first one in touch. One VM of the fleet
// that is the first of something in its cell is the first in the fleet by it.
func (m *Mesh) IsInFirstCell() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := boottime.Now()
	for _, c := range m.cells[:m.ownCell] {
		if d, ok := m.digests[c.name]; ok && now.Sub(d.receivedAt) < digestTimeout {
			return false
		}
	}
	return true
}

// CellLeaders returns the VMs that act for the cells in touch, the own one included, in the
// order of cells.
func (m *Mesh) CellLeaders() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := boottime.Now()
	var leaders []string
	for i, c := range m.cells {
		if i == m.ownCell {
			leaders = append(leaders, m.leader(now))
			continue
		}
		if d, ok := m.digests[c.name]; ok && now.Sub(d.receivedAt) < digestTimeout {
			vm, _, _ := strings.Cut(d.Source, "/")
			leaders = append(leaders, vm)
		}
	}
	return leaders
}

// IsLeader reports whether this VM acts for its cell.
func (m *Mesh) IsLeader() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leader(boottime.Now()) == m.cfg.VM
}

// Candidates returns the VMs of the own cell that may act for it: those in touch
// that do not leave; among them, if there are any, only settled ones.
func (m *Mesh) Candidates() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.candidates(boottime.Now())
}

// IsMajorityReachable reports whether more than half of the own cell is in touch.
func (m *Mesh) IsMajorityReachable() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now, reachable := boottime.Now(), 1
	for _, vm := range m.cells[m.ownCell].vms {
		if m.isReachable(vm, now) {
			reachable++
		}
	}
	return 2*reachable > len(m.cells[m.ownCell].vms)
}

// IsLarge reports whether there are too many VMs for each to count on all others.
func (m *Mesh) IsLarge() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.peers) >= maxSingleCellVMs
}

// Cells returns the number of cells and of those in touch, the own one included.
func (m *Mesh) Cells() (all, reachable int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := boottime.Now()
	reachable = 1
	for _, d := range m.digests {
		if now.Sub(d.receivedAt) < digestTimeout {
			reachable++
		}
	}
	return len(m.cells), reachable
}

// leader is the first candidate of the own cell. The mutex is held.
func (m *Mesh) leader(now boottime.Time) string {
	if list := m.candidates(now); len(list) > 0 {
		return list[0]
	}
	return m.cfg.VM
}

// candidates lists VMs in the cell's order. The mutex is held.
func (m *Mesh) candidates(now boottime.Time) []string {
	var list, settled []string
	for _, vm := range m.cells[m.ownCell].vms {
		s, known := m.memberStatus(vm, now)
		if !known || s.leaving {
			continue
		}
		list = append(list, vm)
		if s.settled {
			settled = append(settled, vm)
		}
	}
	if len(settled) > 0 {
		return settled
	}
	return list
}

// memberStatus returns what a VM of the own cell last said of itself; it is not known
// of one out of touch. The mutex is held.
func (m *Mesh) memberStatus(vm string, now boottime.Time) (memberStatus, bool) {
	if vm == m.cfg.VM {
		return m.ownStatus, true
	}
	if !m.isReachable(vm, now) || m.peers[vm].update == nil {
		return memberStatus{}, false
	}
	update := m.peers[vm].update
	return memberStatus{leaving: update.Leaving, settled: update.Settled}, true
}

// Run exchanges news until the context ends.
func (m *Mesh) Run(ctx context.Context) {
	go m.receiveLoop(ctx)
	ticker := time.NewTicker(urgentGossipInterval)
	defer ticker.Stop()
	var last boottime.Time
	for {
		select {
		case <-ctx.Done():
			m.cfg.Conn.Close()
			return
		case <-ticker.C:
		}
		urgent := m.cfg.IsUrgent()
		if urgent || boottime.Since(last) >= GossipInterval-urgentGossipInterval/2 {
			last = boottime.Now()
			m.sendAll(urgent)
		}
	}
}

// target is where a datagram goes and what it returns.
type target struct {
	address         *net.UDPAddr
	echo            boottime.Time
	echoIncarnation uint64
}

func (p *peerState) target() target { return target{p.address, p.sent, p.incarnation} }

// sendAll sends news to the own cell and, from its leader, a digest to the others.
// The stamps to return are taken before the news are composed: ages count from them.
func (m *Mesh) sendAll(urgent bool) {
	m.mu.Lock()
	now := boottime.Now()
	lost := m.dropUnreachable(now)
	isLeader := m.leader(now) == m.cfg.VM
	var inside, outside []target
	for _, vm := range m.cells[m.ownCell].vms {
		if p := m.peers[vm]; p != nil {
			inside = append(inside, p.target())
		}
	}
	if isLeader && len(m.cells) > 1 {
		outside = m.digestTargets(now)
	}
	m.round++
	m.mu.Unlock()
	for _, source := range lost {
		m.cfg.Log.WithFields(logrus.Fields{"event": "member", "member": source, "silent_ms": PeerTimeout.Milliseconds()}).Warn("lost")
		m.cfg.OnLost(source)
	}
	update := m.cfg.Compose()
	update.Urgent = urgent
	digest, cells, fleet := m.summarize(update, isLeader)
	m.send(inside, payload{News: &update, Digests: cells, Fleet: fleet})
	m.send(outside, payload{Digests: []Digest{digest}})
}

// summarize returns, for a leader, the digest of the own cell, the cells in touch and the sum
// over them.
func (m *Mesh) summarize(update StateUpdate, isLeader bool) (Digest, []Digest, *Fleet) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ownStatus = memberStatus{leaving: update.Leaving, settled: update.Settled}
	m.ownUsage.add(m.cfg.VM, update.Usage)
	if !isLeader {
		return Digest{}, nil, nil
	}
	now := boottime.Now()
	cells, fleet := m.relayedState(update, now)
	return m.buildDigest(update, now), cells, fleet
}

// dropUnreachable forgets what silent VMs and cells said, and returns their names. The
// mutex is held.
func (m *Mesh) dropUnreachable(now boottime.Time) []string {
	var lost []string
	for vm, p := range m.peers {
		if p.receivedAt != 0 && now.Sub(p.receivedAt) >= PeerTimeout {
			p.receivedAt, p.update = 0, nil
			lost = append(lost, vm)
		}
	}
	for name, d := range m.digests {
		if now.Sub(d.receivedAt) >= digestTimeout {
			delete(m.digests, name)
			if d.direct {
				lost = append(lost, m.forgetDigestUsage(d))
			}
		}
	}
	if m.fleetSource != "" && now.Sub(m.fleetReceivedAt) >= digestTimeout {
		lost = append(lost, m.fleetSource)
		m.fleetSource = ""
	}
	return lost
}

func (m *Mesh) send(targets []target, p payload) {
	if len(targets) == 0 {
		return
	}
	body, err := encode(p)
	if err != nil {
		m.cfg.Log.WithError(err).Error("news were not encoded")
		return
	}
	e := envelope{VM: m.cfg.VM, Incarnation: m.incarnation, Payload: body}
	for _, t := range targets {
		e.Sent, e.EchoIncarnation, e.Echo = boottime.Now(), t.echoIncarnation, t.echo
		data, err := encode(e)
		if err != nil {
			m.cfg.Log.WithError(err).Error("news were not encoded")
			return
		}
		if _, err := m.cfg.Conn.WriteToUDP(data, t.address); err != nil {
			m.cfg.Log.WithError(err).WithField("to", t.address.String()).Debug("news were not sent")
		}
	}
}

func (m *Mesh) receiveLoop(ctx context.Context) {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, _, err := m.cfg.Conn.ReadFromUDP(buf)
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			m.cfg.Log.WithError(err).Debug("news were not read")
			time.Sleep(GossipInterval)
			continue
		}
		m.receive(buf[:n])
	}
}

func (m *Mesh) receive(data []byte) {
	var datagram envelope
	var e payload
	err := msgpack.Unmarshal(data, &datagram)
	if err == nil {
		err = msgpack.Unmarshal(datagram.Payload, &e)
	}
	if err != nil {
		m.cfg.Log.WithError(err).Debug("news were not decoded")
		return
	}
	m.handleDatagram(datagram, e)
}

// handleDatagram takes a datagram.
func (m *Mesh) handleDatagram(head envelope, e payload) {
	now := boottime.Now()
	since := boottime.Time(0)
	if head.EchoIncarnation == m.incarnation {
		since = head.Echo
	}
	m.mu.Lock()
	p := m.peers[head.VM]
	if p == nil || p.incarnation == head.Incarnation && head.Sent <= p.sent {
		m.mu.Unlock()
		if p == nil && m.cfg.OnUnknownPeer != nil {
			m.cfg.OnUnknownPeer(head.VM)
		}
		return
	}
	if p.incarnation != head.Incarnation || p.startedAt == 0 {
		p.startedAt = now
	}
	p.incarnation, p.sent, p.receivedAt, p.lastReceivedAt = head.Incarnation, head.Sent, now, now
	inside := m.cells[m.ownCell].has(head.VM)
	if inside && e.News != nil {
		p.update, p.since = e.News, since
		m.ownUsage.add(head.VM, e.News.Usage)
	}
	var applied []receivedDigest
	var fleet *Fleet
	var replaced []string
	if leader := m.leader(now); !inside || head.VM == leader {
		// A VM that hears the leader's sum needs no other cell's news beside it.
		direct := !inside && (leader == m.cfg.VM || m.fleetSource == "")
		applied, replaced = m.applyDigests(head.VM, e.Digests, direct, since, now)
		if inside && e.Fleet != nil {
			fleet = e.Fleet
			replaced = append(replaced, m.applyFleetSource(fleet.Source, now)...)
		}
	}
	reply := p.target()
	m.mu.Unlock()
	for _, source := range replaced {
		m.cfg.OnLost(source)
	}
	if e.News != nil {
		m.cfg.OnUpdate(head.VM, *e.News, since)
	}
	for _, d := range applied {
		m.cfg.OnDigest(d.Source, d.News, d.since)
	}
	if fleet != nil {
		m.cfg.OnDigest(fleet.Source, fleet.News, since)
	}
	if inside && e.News != nil && e.News.Urgent {
		// The answer asks for none, or two urgent VMs would go on without end.
		update := m.cfg.Compose()
		m.send([]target{reply}, payload{News: &update})
	}
}

// applyDigests notes the cells that a datagram of the VM tells of. It returns the digests that came
// with news, and sources whose news no longer count. The mutex is held.
func (m *Mesh) applyDigests(from string, digests []Digest, direct bool, since, now boottime.Time) (applied []receivedDigest, replaced []string) {
	for _, d := range digests {
		if d.Cell == m.cells[m.ownCell].name {
			continue
		}
		h := receivedDigest{Digest: d, from: from, receivedAt: now, direct: direct}
		if since != 0 {
			h.since = since.Add(-time.Duration(d.Held) * time.Millisecond)
		}
		if old, known := m.digests[d.Cell]; known && old.direct && (!direct || old.Source != d.Source) {
			replaced = append(replaced, m.forgetDigestUsage(old))
		}
		if direct {
			m.remoteUsage.addCell(d.Source, d.News.Usage)
			applied = append(applied, h)
		} else {
			h.News = StateUpdate{}
		}
		m.digests[d.Cell] = h
	}
	if direct && m.fleetSource != "" {
		// This VM leads the cell now and hears the others itself.
		replaced = append(replaced, m.fleetSource)
		m.fleetSource = ""
	}
	return applied, replaced
}

// applyFleetSource notes the source of the sum over all other cells and returns sources that it
// replaces. The mutex is held.
func (m *Mesh) applyFleetSource(source string, now boottime.Time) (replaced []string) {
	if m.fleetSource != "" && m.fleetSource != source {
		replaced = append(replaced, m.fleetSource)
	}
	m.fleetSource, m.fleetReceivedAt = source, now
	for name, d := range m.digests {
		if d.direct {
			replaced = append(replaced, m.forgetDigestUsage(d))
			d.direct, d.News = false, StateUpdate{}
			m.digests[name] = d
		}
	}
	return replaced
}

// forgetDigestUsage forgets what a cell's digests have counted so far and returns their source. The
// mutex is held.
func (m *Mesh) forgetDigestUsage(d receivedDigest) string {
	m.remoteUsage.forget(d.Source)
	return d.Source
}

// encode writes structures as arrays: names of fields would be half of a datagram.
func encode(v any) ([]byte, error) {
	var b bytes.Buffer
	e := msgpack.NewEncoder(&b)
	e.UseArrayEncodedStructs(true)
	e.UseCompactInts(true)
	err := e.Encode(v)
	return b.Bytes(), err
}
