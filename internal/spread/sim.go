package spread

import (
	"container/heap"
	"fmt"
	"math/rand"
	"time"

	"chicoryline/internal/fleet"
	"chicoryline/internal/services"
)

// Times of one run, since its start.
const (
	changeAt = 2 * time.Second
	healAt   = 5 * time.Second
	runFor   = 10 * time.Second
)

// Sizes in bytes. The overheads include the headers of TCP and IP; those of a
// platform read are the header of HTTP as the client and the stand-in send it.
const (
	callOverhead     = 60
	platformRequest  = 247
	platformOverhead = 267
	noticeBytes      = 64
	patchBytes       = 2048
)

// One-way delays between VMs of one domain, between domains, and to the
// platform and back.
const (
	delayInside   = 250 * time.Microsecond
	delayAcross   = 1500 * time.Microsecond
	delayPlatform = 6 * time.Millisecond
)

// kind is the kind of a message.
type kind uint8

const (
	notice kind = iota // tells a version
	ask                // tells a version and asks for a newer one
	patch              // carries the newest version
	rumor              // tells a version and who has been told
	fetch              // asks for the version of a rumor
	answer             // the platform's row
	object             // the platform's object
	tick               // the end of an interval
)

type message struct {
	kind     kind
	from     int
	tree     int
	version  int
	failed   bool
	informed bitmap
}

// way is the decision code of one way of spreading. A node is named by its index.
type way interface {
	interval() time.Duration
	tick(s *sim, node int)
	receive(s *sim, node int, m message)
	// commit tells that the node has made the change at the platform.
	commit(s *sim, node int)
}

// sim runs one way in virtual time.
type sim struct {
	random  *rand.Rand
	way     way
	fault   Fault
	members []fleet.Member
	dead    []bool
	cut     []bool // in the failure domain that the fault concerns
	version []int
	learned []time.Duration
	traffic []traffic
	reads   []int // platform reads by second
	current int   // version at the platform

	now   time.Duration
	queue events
	order int
	out   []event
	cpu   time.Duration
}

// traffic is what one node has sent and received. Periodic traffic runs without
// a change too.
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

func newSim(n, domains int, w way, fault Fault, seed int64) *sim {
	s := &sim{
		random: rand.New(rand.NewSource(seed)), way: w, fault: fault,
		dead: make([]bool, n), cut: make([]bool, n), version: make([]int, n),
		learned: make([]time.Duration, n), traffic: make([]traffic, n),
		reads: make([]int, int(runFor/time.Second)+1),
	}
	s.members = makeMembers(n, domains)
	for i, m := range s.members {
		s.cut[i] = m.VM.Domain == s.members[0].VM.Domain
		s.learned[i] = -1
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

// run carries the change from the node that makes it to the end of the run.
func (s *sim) run() {
	for i := range s.members {
		s.push(event{at: time.Duration(s.random.Int63n(int64(s.way.interval()))), node: i, m: message{kind: tick}})
	}
	committed := false
	for s.queue.Len() > 0 {
		e := heap.Pop(&s.queue).(event)
		if e.at > runFor {
			return
		}
		if !committed && e.at >= changeAt {
			committed = true
			s.now = changeAt
			s.change()
		}
		s.now = e.at
		s.step(e)
	}
}

func (s *sim) change() {
	s.current = 1
	s.lose()
	origin := 0
	for s.dead[origin] || s.cut[origin] {
		origin++
	}
	s.learn(origin, 1)
	s.decide(func() { s.way.commit(s, origin) })
}

// lose takes VMs away that all others still hold for alive.
func (s *sim) lose() {
	if s.fault != FaultLoss {
		return
	}
	for _, i := range s.random.Perm(len(s.dead))[:(len(s.dead)*lossPercent+99)/100] {
		s.dead[i] = true
	}
}

func (s *sim) step(e event) {
	if s.dead[e.node] {
		return
	}
	if e.m.kind != tick {
		s.decide(func() { s.way.receive(s, e.node, e.m) })
		return
	}
	s.decide(func() { s.way.tick(s, e.node) })
	s.push(event{at: s.now + s.way.interval(), node: e.node, m: e.m})
}

// decide measures the decision code and then sends what it has decided to.
func (s *sim) decide(code func()) {
	start := time.Now()
	code()
	s.cpu += time.Since(start)
	for _, e := range s.out {
		s.deliver(e)
	}
	s.out = s.out[:0]
}

// send is called by the decision code.
func (s *sim) send(from, to int, m message) {
	m.from, m.version = from, s.version[from]
	s.out = append(s.out, event{node: to, m: m})
}

// read asks the platform for the version's row or object.
func (s *sim) read(node int, k kind) {
	s.out = append(s.out, event{node: node, m: message{kind: k}})
}

func (s *sim) learn(node, version int) bool {
	if version <= s.version[node] {
		return false
	}
	s.version[node], s.learned[node] = version, s.now
	return true
}

func (s *sim) deliver(e event) {
	if e.m.kind == answer || e.m.kind == object {
		s.deliverFromPlatform(e)
		return
	}
	from, to := e.m.from, e.node
	size, periodic := sizeOf(e.m), e.m.kind == notice || e.m.kind == ask
	s.traffic[from].add(size, periodic)
	if s.dead[to] || s.separated(from, to) {
		return
	}
	s.traffic[to].add(size, periodic)
	if e.m.kind == notice && e.m.version == s.version[to] {
		return // no way acts on it
	}
	e.at = s.now + delayAcross
	if s.members[from].VM.Domain == s.members[to].VM.Domain {
		e.at = s.now + delayInside
	}
	s.push(e)
}

func (s *sim) deliverFromPlatform(e event) {
	e.at = s.now + 2*delayPlatform
	e.m.failed = s.cut[e.node] && s.faultActive() && (s.fault == FaultCut || s.fault == FaultPlatform)
	s.traffic[e.node].add(platformRequest, e.m.kind == answer)
	if !e.m.failed {
		s.reads[int(s.now/time.Second)]++
		e.m.version = s.current
		size := noticeBytes
		if e.m.kind == object {
			size = patchBytes
		}
		s.traffic[e.node].add(platformOverhead+size, e.m.kind == answer)
	}
	s.push(e)
}

func (s *sim) separated(a, b int) bool {
	return s.fault == FaultCut && s.faultActive() && s.cut[a] != s.cut[b]
}

func (s *sim) faultActive() bool { return s.now >= changeAt && s.now < healAt }

func (s *sim) push(e event) {
	s.order++
	e.order = s.order
	heap.Push(&s.queue, e)
}

func sizeOf(m message) int {
	switch m.kind {
	case patch:
		return callOverhead + patchBytes
	case rumor:
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

// events is a heap in the order of time.
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
