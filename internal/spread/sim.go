package spread

import (
	"container/heap"
	"fmt"
	"math/rand"
	"time"

	"chicoryline/internal/fleet"
	"chicoryline/internal/services"
)

// Times of one run, relative to its start.
const (
	changeTime   = 2 * time.Second
	faultEndTime = 5 * time.Second
	runDuration  = 10 * time.Second
)

// Sizes in bytes. The overheads include the TCP and IP headers. For a platform read they
// also include the HTTP headers as the client and the stand-in platform send them.
const (
	callOverhead     = 60
	platformRequest  = 247
	platformOverhead = 267
	noticeBytes      = 64
	patchBytes       = 2048
)

// One-way delays between VMs of the same domain, between VMs of different domains, and
// between a VM and the platform.
const (
	intraDomainDelay = 250 * time.Microsecond
	interDomainDelay = 1500 * time.Microsecond
	platformDelay    = 6 * time.Millisecond
)

// messageKind is the kind of a message.
type messageKind uint8

const (
	versionNotice  messageKind = iota // carries the sender's version number
	versionRequest                    // carries the sender's version number, requests a newer one
	patch                             // carries the content of the sender's version
	rumorNotice                       // carries a version number and the set of informed nodes
	rumorFetch                        // requests the content of a version announced by a rumorNotice
	platformRow                       // platform's reply with the row that holds the version number
	platformObject                    // platform's reply with the object that holds the content
	intervalEnd                       // end of the protocol's interval at a node
)

type message struct {
	kind     messageKind
	from     int
	tree     int
	version  int
	failed   bool
	informed bitmap
}

// protocol implements one distribution protocol. Nodes are identified by index.
type protocol interface {
	interval() time.Duration
	tick(s *sim, node int)
	receive(s *sim, node int, m message)
	// commit is called when the node has committed the change at the platform.
	commit(s *sim, node int)
}

// sim runs one protocol in virtual time.
type sim struct {
	random          *rand.Rand
	protocol        protocol
	fault           Fault
	members         []fleet.Member
	dead            []bool
	partitioned     []bool // whether the node is in the failure domain of the fault
	version         []int
	learnedAt       []time.Duration
	traffic         []traffic
	reads           []int // platform reads, indexed by second
	platformVersion int   // newest version at the platform

	now       time.Duration
	queue     events
	lastOrder int
	outgoing  []event
	cpu       time.Duration
}

// traffic counts what one node has sent and received. Periodic traffic also occurs
// without a change.
type traffic struct {
	periodicMessages, changeMessages int
	periodicBytes, changeBytes       int
}

type event struct {
	at    time.Duration
	order int
	node  int
	m     message
}

func newSim(n, domains int, protocol protocol, fault Fault, seed int64) *sim {
	s := &sim{
		random: rand.New(rand.NewSource(seed)), protocol: protocol, fault: fault,
		dead: make([]bool, n), partitioned: make([]bool, n), version: make([]int, n),
		learnedAt: make([]time.Duration, n), traffic: make([]traffic, n),
		reads: make([]int, int(runDuration/time.Second)+1),
	}
	s.members = makeMembers(n, domains)
	for i, m := range s.members {
		s.partitioned[i] = m.VM.Domain == s.members[0].VM.Domain
		s.learnedAt[i] = -1
	}
	return s
}

func makeMembers(n, domains int) []fleet.Member {
	members := make([]fleet.Member, n)
	for i := range members {
		vm := services.VM{ID: fmt.Sprintf("vm-%04d", i), Domain: fmt.Sprintf("domain-%d", i%domains), Address: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250)}
		members[i] = fleet.Member{VM: vm, Incarnation: int64(i) + 1, State: fleet.Alive}
	}
	return members
}

// run processes the events of one run; the change is committed at changeTime.
func (s *sim) run() {
	for i := range s.members {
		s.push(event{at: time.Duration(s.random.Int63n(int64(s.protocol.interval()))), node: i, m: message{kind: intervalEnd}})
	}
	committed := false
	for s.queue.Len() > 0 {
		e := heap.Pop(&s.queue).(event)
		if e.at > runDuration {
			return
		}
		if !committed && e.at >= changeTime {
			committed = true
			s.now = changeTime
			s.commitChange()
		}
		s.now = e.at
		s.step(e)
	}
}

func (s *sim) commitChange() {
	s.platformVersion = 1
	s.failVMs()
	origin := 0
	for s.dead[origin] || s.partitioned[origin] {
		origin++
	}
	s.learnVersion(origin, 1)
	s.runNodeCode(func() { s.protocol.commit(s, origin) })
}

// failVMs crashes VMs for FaultVMCrash; all others still consider them alive.
func (s *sim) failVMs() {
	if s.fault != FaultVMCrash {
		return
	}
	for _, i := range s.random.Perm(len(s.dead))[:(len(s.dead)*crashedVMPercent+99)/100] {
		s.dead[i] = true
	}
}

func (s *sim) step(e event) {
	if s.dead[e.node] {
		return
	}
	if e.m.kind != intervalEnd {
		s.runNodeCode(func() { s.protocol.receive(s, e.node, e.m) })
		return
	}
	s.runNodeCode(func() { s.protocol.tick(s, e.node) })
	s.push(event{at: s.now + s.protocol.interval(), node: e.node, m: e.m})
}

// runNodeCode runs and times protocol code, then delivers the messages that it sent.
func (s *sim) runNodeCode(code func()) {
	start := time.Now()
	code()
	s.cpu += time.Since(start)
	for _, e := range s.outgoing {
		s.deliver(e)
	}
	s.outgoing = s.outgoing[:0]
}

// send queues a message with the sender's version number. Protocol code calls it.
func (s *sim) send(from, to int, m message) {
	m.from, m.version = from, s.version[from]
	s.outgoing = append(s.outgoing, event{node: to, m: m})
}

// readPlatform requests the row or the object of the newest version from the platform.
func (s *sim) readPlatform(node int, k messageKind) {
	s.outgoing = append(s.outgoing, event{node: node, m: message{kind: k}})
}

func (s *sim) learnVersion(node, version int) bool {
	if version <= s.version[node] {
		return false
	}
	s.version[node], s.learnedAt[node] = version, s.now
	return true
}

func (s *sim) deliver(e event) {
	if e.m.kind == platformRow || e.m.kind == platformObject {
		s.deliverFromPlatform(e)
		return
	}
	from, to := e.m.from, e.node
	size, periodic := sizeOf(e.m), e.m.kind == versionNotice || e.m.kind == versionRequest
	s.traffic[from].add(size, periodic)
	if s.dead[to] || s.isPartitioned(from, to) {
		return
	}
	s.traffic[to].add(size, periodic)
	if e.m.kind == versionNotice && e.m.version == s.version[to] {
		return // no protocol reacts to a notice of its own version
	}
	e.at = s.now + interDomainDelay
	if s.members[from].VM.Domain == s.members[to].VM.Domain {
		e.at = s.now + intraDomainDelay
	}
	s.push(e)
}

func (s *sim) deliverFromPlatform(e event) {
	e.at = s.now + 2*platformDelay
	e.m.failed = s.partitioned[e.node] && s.isFaultActive() && (s.fault == FaultDomainPartition || s.fault == FaultPlatformPartition)
	s.traffic[e.node].add(platformRequest, e.m.kind == platformRow)
	if !e.m.failed {
		s.reads[int(s.now/time.Second)]++
		e.m.version = s.platformVersion
		size := noticeBytes
		if e.m.kind == platformObject {
			size = patchBytes
		}
		s.traffic[e.node].add(platformOverhead+size, e.m.kind == platformRow)
	}
	s.push(e)
}

func (s *sim) isPartitioned(a, b int) bool {
	return s.fault == FaultDomainPartition && s.isFaultActive() && s.partitioned[a] != s.partitioned[b]
}

func (s *sim) isFaultActive() bool { return s.now >= changeTime && s.now < faultEndTime }

func (s *sim) push(e event) {
	s.lastOrder++
	e.order = s.lastOrder
	heap.Push(&s.queue, e)
}

func sizeOf(m message) int {
	switch m.kind {
	case patch:
		return callOverhead + patchBytes
	case rumorNotice:
		return callOverhead + noticeBytes + 8*len(m.informed)
	default:
		return callOverhead + noticeBytes
	}
}

func (t *traffic) add(size int, periodic bool) {
	if periodic {
		t.periodicMessages++
		t.periodicBytes += size
		return
	}
	t.changeMessages++
	t.changeBytes += size
}

// events is a heap ordered by time.
type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *events) Push(e any) { *q = append(*q, e.(event)) }

// Pop implements heap.Interface.
func (q *events) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}
