// Package mesh exchanges state updates (gossip) between VMs in UDP datagrams: rate usage per
// customer, the configuration version and the age of its last validation, and the state of the
// database groups. Updates are soft state; a lost datagram is compensated by the next one.
//
// Up to maxSingleCellVMs VMs all exchange datagrams with each other. Larger fleets are split
// into cells within failure domains. The leader of a cell, its largest reachable VM, sends a
// digest of the cell to the leaders of the other cells and relays an aggregate of their
// digests to its own cell. The traffic of a VM therefore grows with the size of a cell, and
// that of a leader with the number of cells.
//
// Clocks of different VMs are never compared. A datagram echoes the timestamp of the newest
// datagram that its sender had received from the recipient, and the recipient counts ages back
// from that timestamp on its own clock. Ages may be overstated but never understated.
package mesh

import (
	"bytes"
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"

	"chicoryline/internal/boottime"
	"chicoryline/internal/position"
	"chicoryline/internal/ratelimit"
)

const (
	// GossipInterval is the time between two datagrams to the same VM. Datagrams cross failure
	// domains, which is billed; rate limits and positions tolerate this delay.
	GossipInterval = 500 * time.Millisecond
	// urgentGossipInterval replaces GossipInterval while a VM does not get answers from a
	// primary and needs to know whether other VMs do.
	urgentGossipInterval = 100 * time.Millisecond
	// PeerTimeout is how long a VM counts as reachable after its last datagram: three
	// consecutive losses.
	PeerTimeout = 3*GossipInterval + urgentGossipInterval
	// digestTimeout is how long a cell counts as reachable after its last digest, which the
	// leader of the own cell relays up to one interval late.
	digestTimeout = PeerTimeout + 2*GossipInterval
	// domainTimeout is the maximum age of a digest for its failure domain to count as
	// reachable: it allows for one round and one lost datagram both on the way to the leader
	// of the own cell and from there.
	domainTimeout = digestTimeout + 2*GossipInterval
	// maxDatagramBytes is the maximum size of a datagram.
	maxDatagramBytes = 60 << 10
)

// GroupState is what a VM knows of a database group. Ages are in milliseconds; a negative age
// means never.
type GroupState struct {
	// Position is a log sequence number with its term that covered all commits acknowledged up
	// to PositionAge ago.
	Position    position.Position
	PositionAge int64
	// Primary is the server that the VM considers the primary.
	Primary string
	// AnsweredAge and CommittedAge are the times since the primary last answered the VM and
	// since it last acknowledged a commit to it.
	AnsweredAge, CommittedAge int64
	// Loads is the smoothed number of statements that the VM has in flight at each server of
	// the group, by a hash of the server ID. Idle servers are omitted.
	Loads map[uint32]float32
	// ExpectedIn is the expected time in milliseconds until a new primary serves; 0 if no
	// primary change is in progress.
	ExpectedIn int64
	// Acknowledged is the highest position known to the VM that was returned with an
	// acknowledged commit.
	Acknowledged position.Position
	// LedAge is the time since the primary was last confirmed not to have been replaced.
	LedAge int64
}

// StateUpdate is the state that a VM or a digest reports.
type StateUpdate struct {
	Leaving bool
	// Settled is set when the VM has run for long enough to know the rate usage of all VMs.
	Settled bool
	// Urgent requests an immediate answer.
	Urgent        bool
	ConfigVersion int64
	ConfigAge     int64 // milliseconds
	Usage         map[string]ratelimit.Usage
	Groups        map[string]GroupState
	Evacuations   Evacuations
	// StoreLost is set while the VM gets no answers from the store, NoSource if it then knows
	// no other cell whose leader gets them.
	StoreLost, NoSource bool
}

// Digest is the aggregated state of a cell. A cell is a group of VMs of one failure domain
// that exchange updates directly.
type Digest struct {
	Cell string
	// Source identifies the VM that built the digest and its incarnation. Counters of
	// different sources are not comparable.
	Source string
	// Members is the number of VMs that the source counts as reachable, itself included.
	Members int
	// Held is the age of the digest in milliseconds.
	Held int64
	News StateUpdate
	// Listed is the number of VMs of the cell that the source knows, reachable or not, and
	// ObservedAge the time in milliseconds since when it has observed all of them; see
	// HasObservedAllSince. Listed is 0 in digests of VMs that do not report it.
	Listed      int
	ObservedAge int64
}

// envelope is a datagram. Sent and Echo are timestamps on the clocks of the sender and of the
// recipient.
type envelope struct {
	VM              string
	Incarnation     uint64
	Sent            boottime.Time
	EchoIncarnation uint64
	Echo            boottime.Time
	// Payload is an encoded payload, shared by all recipients of a round.
	Payload msgpack.RawMessage
}

// payload is the content of a datagram.
type payload struct {
	// News is nil in datagrams to other cells.
	News *StateUpdate
	// Digests holds the sender's digest in datagrams to other cells. Within a cell, the leader
	// lists the other reachable cells without their state.
	Digests []Digest
	// Fleet is the aggregate of the other cells, sent by the leader to its cell.
	Fleet *Fleet
}

// Fleet is the aggregated state of all other reachable cells. Source identifies the VM that
// built it and its incarnation.
type Fleet struct {
	Source string
	News   StateUpdate
}

// Peer is a VM that state updates are exchanged with.
type Peer struct {
	VM      string
	Address string // host:port, UDP
	Domain  string // failure domain
	// Capacity is the processor time of the VM in cores, 0 if unknown.
	Capacity float64
}

// peerState is what is known of another VM.
type peerState struct {
	address *net.UDPAddr
	domain  string
	// incarnation and sent are those of the newest datagram from the peer.
	incarnation uint64
	sent        boottime.Time
	// listedAt is when the peer was first listed at its address. receivedAt is when the newest
	// datagram came, 0 while the peer is unreachable; lastReceivedAt is kept then. startedAt is
	// when the current incarnation was first observed.
	listedAt, receivedAt, lastReceivedAt, startedAt boottime.Time
	// reachedAt is when the newest datagram was sent to the peer that it is known to have received.
	reachedAt boottime.Time
	// update, only kept for VMs of the own cell, was valid at since or later.
	update *StateUpdate
	since  boottime.Time
}

// Config describes the mesh of one VM.
type Config struct {
	VM   string
	Conn *net.UDPConn
	// Compose returns the current state of this VM.
	Compose func() StateUpdate
	// IsUrgent reports whether updates are to be sent and requested at the short interval.
	IsUrgent func() bool
	// IsStoreLost, if set, reports that this VM gets no answers from the store. It must not
	// call the mesh.
	IsStoreLost func() bool
	// OnUpdate receives updates of VMs of the own cell, OnDigest aggregates of other cells.
	// They were valid at since, on the clock of this VM, or later; since is 0 if the sender
	// has not received a datagram of this VM.
	OnUpdate, OnDigest func(source string, n StateUpdate, since boottime.Time)
	// OnUnknownPeer, if set, is called with a VM that sends updates and is not in the list of
	// peers.
	OnUnknownPeer func(vm string)
	// OnLost is called with a source whose state is no longer valid.
	OnLost func(source string)
	Log    *logrus.Entry
}

// Mesh exchanges state updates with the other VMs. The mutex guards the fields below it.
type Mesh struct {
	cfg         Config
	incarnation uint64
	sendSoon    atomic.Bool // see SendSoon

	// composeMu makes the times of updates follow the order of their contents.
	composeMu sync.Mutex

	mu      sync.Mutex
	peers   map[string]*peerState
	cells   []cell
	ownCell int // index of the own cell
	// ownDomain is the failure domain of this VM, empty while it is not listed.
	ownDomain string
	// digests holds the newest digest of each other cell.
	digests map[string]receivedDigest
	// fleetSource identifies the aggregate over other cells that the leader sent last,
	// received at fleetReceivedAt; it is empty if there is none.
	fleetSource     string
	fleetReceivedAt boottime.Time
	// ownUsage counts the usage of the own cell, remoteUsage that of the other cells.
	ownUsage    usageCounter
	remoteUsage usageCounter
	// round counts the rounds of sendAll.
	round int
	// ownStatus is this VM's status in its last update.
	ownStatus memberStatus
}

// memberStatus is the part of an update that decides whether a VM may lead its cell.
type memberStatus struct{ leaving, settled bool }

// receivedDigest is a digest sent by the VM from, valid at since or later.
type receivedDigest struct {
	Digest
	from       string
	receivedAt boottime.Time
	since      boottime.Time
	// direct is set if the digest came from its own cell, with the state of that cell.
	direct bool
}

// New returns a mesh without peers.
func New(cfg Config) *Mesh {
	return &Mesh{
		cfg: cfg, incarnation: rand.Uint64() | 1, peers: map[string]*peerState{},
		cells: []cell{{}}, digests: map[string]receivedDigest{}, ownUsage: newUsageCounter(), remoteUsage: newUsageCounter(),
	}
}

// SetPeers sets the list of all VMs.
func (m *Mesh) SetPeers(list []Peer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	wanted := map[string]bool{}
	var valid []Peer
	for _, p := range list {
		address, err := net.ResolveUDPAddr("udp4", p.Address)
		if err != nil {
			m.cfg.Log.WithError(err).WithFields(logrus.Fields{"event": "member", "member": p.VM}).Warn("invalid address of a VM")
			continue
		}
		valid = append(valid, p)
		if p.VM == m.cfg.VM {
			m.ownDomain = p.Domain
			continue
		}
		wanted[p.VM] = true
		if old := m.peers[p.VM]; old == nil || old.address.String() != address.String() {
			m.peers[p.VM] = &peerState{address: address, listedAt: boottime.Now()}
		}
		m.peers[p.VM].domain = p.Domain
	}
	for vm := range m.peers {
		if !wanted[vm] {
			delete(m.peers, vm)
		}
	}
	m.cells = splitIntoCells(valid)
	m.ownCell = 0
	for i, c := range m.cells {
		if c.has(m.cfg.VM) {
			m.ownCell = i
		}
	}
}

// ReachableCount returns the number of reachable other VMs and the number of all other VMs.
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
	return p != nil && p.isReachable(now)
}

func (p *peerState) isReachable(now boottime.Time) bool {
	return p.receivedAt != 0 && now.Sub(p.receivedAt) < PeerTimeout
}

// IsReachable reports whether datagrams of the VM arrive.
func (m *Mesh) IsReachable(vm string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.isReachable(vm, boottime.Now())
}

// ReachableDomains returns the failure domains with a reachable VM: one whose datagrams arrive
// or, in a fleet of several cells, one that recently built a digest of a cell of the domain.
// The age of a digest counts and not its arrival, since the leader of the own cell repeats the
// last digest of a cell that has become unreachable.
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

// HasObservedAllSince reports whether the knowledge of the reachable VMs covers the time up to
// at: each other VM is reachable and was running before at, or had already been silent for one
// interval then. A VM that became silent later may not have reported its last commits. In a
// fleet of several cells, a digest states since when its source has observed its whole cell.
func (m *Mesh) HasObservedAllSince(at boottime.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := boottime.Now()
	if m.cellObservedFrom(now) > at {
		return false
	}
	for i, c := range m.cells {
		if i == m.ownCell {
			continue
		}
		if d, ok := m.digests[c.name]; !ok || now.Sub(d.receivedAt) >= digestTimeout || d.Listed < len(c.vms) || d.observedFrom() > at {
			return false
		}
	}
	return true
}

// cellObservedFrom returns the earliest time for which the knowledge of the reachable VMs of the
// own cell is complete. The mutex is held.
func (m *Mesh) cellObservedFrom(now boottime.Time) boottime.Time {
	var from boottime.Time
	for _, vm := range m.cells[m.ownCell].vms {
		if p := m.peers[vm]; p != nil {
			from = max(from, p.observedFrom(now))
		}
	}
	return from
}

// observedFrom returns the earliest time for which the VM can hide nothing: its start or, if it
// is silent, one interval after its last datagram. A VM that was removed for good stays in the
// list and never sends any; it counts as silent once it had time to be heard.
func (p *peerState) observedFrom(now boottime.Time) boottime.Time {
	switch {
	case p.lastReceivedAt == 0:
		return p.listedAt.Add(PeerTimeout + 1)
	case p.isReachable(now):
		return p.startedAt
	}
	return p.lastReceivedAt.Add(GossipInterval + 1)
}

// observedFrom returns the earliest time for which the VMs of the digest's cell can hide nothing.
// The digest was built before it was received, so the result is not too early.
func (d receivedDigest) observedFrom() boottime.Time {
	return d.receivedAt.Add(-time.Duration(d.ObservedAge) * time.Millisecond)
}

// IsDomainObservedSince reports whether a datagram of a VM of the failure domain has arrived
// after since. In a fleet of several cells, a digest of the domain that was built after since
// counts as well.
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

// IsInFirstCell reports whether the own cell is the first reachable one. A task for which one VM
// of each cell is selected is done by a single VM of the fleet if only the first cell does it.
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

// CellLeaders returns the leaders of the reachable cells, the own one included, in the order
// of cells.
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
			leaders = append(leaders, vmOfSource(d.Source))
		}
	}
	return leaders
}

// OtherCells returns the listed VMs of each other reachable cell.
func (m *Mesh) OtherCells() [][]string {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := boottime.Now()
	var list [][]string
	for i, c := range m.cells {
		if d, ok := m.digests[c.name]; i != m.ownCell && ok && now.Sub(d.receivedAt) < digestTimeout {
			list = append(list, c.vms)
		}
	}
	return list
}

// IsLeader reports whether this VM is the leader of its cell.
func (m *Mesh) IsLeader() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leader(boottime.Now()) == m.cfg.VM
}

// Candidates returns the VMs of the own cell that may lead it: the reachable ones that are not
// leaving, restricted to settled ones if there are any.
func (m *Mesh) Candidates() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.candidates(boottime.Now())
}

// IsMajorityReachable reports whether more than half of the own cell is reachable, this VM
// included.
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

// IsLarge reports whether the fleet exceeds maxSingleCellVMs, so that VMs do not all exchange
// datagrams with each other.
func (m *Mesh) IsLarge() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.peers) >= maxSingleCellVMs
}

// Cells returns the number of cells and the number of reachable cells, the own one included.
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

// leader returns the first candidate of the own cell, or this VM if there is none. The mutex
// is held.
func (m *Mesh) leader(now boottime.Time) string {
	if list := m.candidates(now); len(list) > 0 {
		return list[0]
	}
	return m.cfg.VM
}

// candidates implements Candidates, in the order of the cell. The mutex is held.
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

// memberStatus returns the last reported status of a VM of the own cell; it is false for an
// unreachable VM. The mutex is held.
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

// Run exchanges state updates until the context ends.
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
		if m.sendSoon.Swap(false) || urgent || boottime.Since(last) >= GossipInterval-urgentGossipInterval/2 {
			last = boottime.Now()
			m.sendAll(urgent)
		}
	}
}

// target is the recipient of a datagram and the timestamp to echo to it.
type target struct {
	address         *net.UDPAddr
	echo            boottime.Time
	echoIncarnation uint64
}

func (p *peerState) target() target { return target{p.address, p.sent, p.incarnation} }

// sendAll sends an update to the own cell and, from its leader, a digest to the other cells.
// The timestamps to echo are taken before the update is composed, since ages in it count from
// them.
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
	update, sent := m.compose()
	update.Urgent = urgent
	digest, cells, fleet := m.summarize(update, isLeader)
	m.send(outside, sent, payload{Digests: []Digest{digest}})
	m.send(inside, sent, payload{News: &update, Digests: cells, Fleet: fleet})
}

// summarize returns, on a leader, the digest of the own cell, the list of reachable cells and
// the aggregate of their state.
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

// dropUnreachable discards the state of VMs and cells that timed out and returns their names.
// The mutex is held.
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

// compose returns an update and the time at which it was composed. Of two updates, the one with the
// later time has the newer content.
func (m *Mesh) compose() (StateUpdate, boottime.Time) {
	m.composeMu.Lock()
	defer m.composeMu.Unlock()
	sent := boottime.Now()
	update := m.cfg.Compose()
	m.setStoreAccess(&update)
	return update, sent
}

// send sends the payload that was composed at the given time. The time tells recipients which of
// two updates is the newer one, in whichever order they leave: a round is sent with pauses, and
// answers to urgent VMs may overtake it.
func (m *Mesh) send(targets []target, sent boottime.Time, p payload) {
	if len(targets) == 0 {
		return
	}
	body, err := encode(p)
	if err != nil {
		m.cfg.Log.WithError(err).Error("state update could not be encoded")
		return
	}
	e := envelope{VM: m.cfg.VM, Incarnation: m.incarnation, Sent: sent, Payload: body}
	perBurst := datagramsPerBurst(len(body))
	for i, t := range targets {
		if i > 0 && i%perBurst == 0 {
			time.Sleep(burstPause)
		}
		e.EchoIncarnation, e.Echo = t.echoIncarnation, t.echo
		data, err := encode(e)
		if err != nil {
			m.cfg.Log.WithError(err).Error("state update could not be encoded")
			return
		}
		if _, err := m.cfg.Conn.WriteToUDP(data, t.address); err != nil {
			m.cfg.Log.WithError(err).WithField("to", t.address.String()).Debug("datagram could not be sent")
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
			m.cfg.Log.WithError(err).Debug("datagram could not be received")
			time.Sleep(GossipInterval)
			continue
		}
		m.receive(buf[:n])
	}
}

func (m *Mesh) receive(data []byte) {
	var datagram envelope
	var content payload
	err := msgpack.Unmarshal(data, &datagram)
	if err == nil {
		err = msgpack.Unmarshal(datagram.Payload, &content)
	}
	if err != nil {
		m.cfg.Log.WithError(err).Debug("datagram could not be decoded")
		return
	}
	m.handleDatagram(datagram, content)
}

// handleDatagram applies a datagram. Duplicates, reordered datagrams and those of unknown VMs
// are discarded.
func (m *Mesh) handleDatagram(datagram envelope, content payload) {
	now := boottime.Now()
	since := boottime.Time(0)
	if datagram.EchoIncarnation == m.incarnation {
		since = datagram.Echo
	}
	m.mu.Lock()
	p := m.peers[datagram.VM]
	if p == nil || p.incarnation == datagram.Incarnation && datagram.Sent <= p.sent {
		m.mu.Unlock()
		if p == nil && m.cfg.OnUnknownPeer != nil {
			m.cfg.OnUnknownPeer(datagram.VM)
		}
		return
	}
	if p.incarnation != datagram.Incarnation || p.startedAt == 0 {
		p.startedAt = now
	}
	p.incarnation, p.sent, p.receivedAt, p.lastReceivedAt = datagram.Incarnation, datagram.Sent, now, now
	p.reachedAt = max(p.reachedAt, since)
	inside := m.cells[m.ownCell].has(datagram.VM)
	if inside && content.News != nil {
		p.update, p.since = content.News, since
		m.ownUsage.add(datagram.VM, content.News.Usage)
	}
	var applied []receivedDigest
	var fleet *Fleet
	var replaced []string
	if leader := m.leader(now); !inside || datagram.VM == leader {
		// A VM that gets the leader's aggregate does not count the digests of single cells as
		// well.
		direct := !inside && (leader == m.cfg.VM || m.fleetSource == "")
		applied, replaced = m.applyDigests(datagram.VM, content.Digests, direct, since, now)
		if inside && content.Fleet != nil {
			fleet = content.Fleet
			replaced = append(replaced, m.applyFleetSource(fleet.Source, now)...)
		}
	}
	reply := p.target()
	m.mu.Unlock()
	for _, source := range replaced {
		m.cfg.OnLost(source)
	}
	if content.News != nil {
		m.cfg.OnUpdate(datagram.VM, *content.News, since)
	}
	for _, d := range applied {
		m.cfg.OnDigest(d.Source, d.News, d.since)
	}
	if fleet != nil {
		m.cfg.OnDigest(fleet.Source, fleet.News, since)
	}
	if inside && content.News != nil && content.News.Urgent {
		// The answer is not urgent itself; two urgent VMs would otherwise answer each other
		// forever.
		update, sent := m.compose()
		m.send([]target{reply}, sent, payload{News: &update})
	}
}

// applyDigests records the digests in a datagram of the VM. It returns the digests that came
// with state, and the sources that are no longer valid. The mutex is held.
func (m *Mesh) applyDigests(from string, digests []Digest, direct bool, since, now boottime.Time) (applied []receivedDigest, replaced []string) {
	for _, d := range digests {
		if d.Cell == m.cells[m.ownCell].name {
			continue
		}
		received := receivedDigest{Digest: d, from: from, receivedAt: now, direct: direct}
		if since != 0 {
			received.since = since.Add(-time.Duration(d.Held) * time.Millisecond)
		}
		if old, known := m.digests[d.Cell]; known && old.direct && (!direct || old.Source != d.Source) {
			replaced = append(replaced, m.forgetDigestUsage(old))
		}
		if direct {
			m.remoteUsage.addCell(d.Source, d.News.Usage)
			applied = append(applied, received)
		} else {
			received.News = StateUpdate{}
		}
		m.digests[d.Cell] = received
	}
	if direct && m.fleetSource != "" {
		// This VM has become the leader of its cell and receives the digests itself.
		replaced = append(replaced, m.fleetSource)
		m.fleetSource = ""
	}
	return applied, replaced
}

// applyFleetSource records the source of the aggregate over all other cells and returns the
// sources that it replaces. The mutex is held.
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

// forgetDigestUsage drops the usage counters of a digest and returns its source. The mutex is
// held.
func (m *Mesh) forgetDigestUsage(d receivedDigest) string {
	m.remoteUsage.forget(d.Source)
	return d.Source
}

// encode encodes structs as arrays: field names would take up half of a datagram.
func encode(v any) ([]byte, error) {
	var b bytes.Buffer
	e := msgpack.NewEncoder(&b)
	e.UseArrayEncodedStructs(true)
	e.UseCompactInts(true)
	err := e.Encode(v)
	return b.Bytes(), err
}
