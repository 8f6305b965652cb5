package quota

import (
	"container/heap"
	"fmt"
	"math/rand"
	"time"
)

// virtualStart is the start of virtual time.
var virtualStart = time.Unix(1_000_000, 0)

// world simulates several VMs that share one resource, in virtual time and with a network
// whose links can be blocked and delayed. Measure and the tests use it.
type world struct {
	timing       timing
	resource     string
	total        Total
	now          time.Time
	random       *rand.Rand
	events       eventHeap
	lastSequence uint64
	nodes        []*simNode
	blockedLinks map[[2]int]bool
	latency      func(from, to int) time.Duration
	// extraDelay, if not nil, returns an additional delay for one message.
	extraDelay func(from, to int) time.Duration
	// replayAnswers delivers the previous answer again after each answer.
	replayAnswers bool
	// onEvent runs after each event.
	onEvent func()
	// variant, if not nil, turns a new holder and home into a faulty variant or
	// changes their settings.
	variant func(*holder, *home)
	// equalSplit replaces the protocol: each VM takes an equal part, computed from
	// its own VM list, without a lease.
	equalSplit bool
	calls      int
	// staticFraction is the fraction of the total that is split evenly and
	// permanently, outside of the leased shares.
	staticFraction float64
	// skipOnEvent disables onEvent.
	skipOnEvent bool
}

// simNode is one VM of a world.
type simNode struct {
	world        *world
	index        int
	vm           string
	starts       uint64
	dead         bool
	frozen       bool
	deferred     []func()
	knownVMs     []int // registered holders known to this VM; nil stands for all
	members      *members
	holder       *holder
	home         *home
	waiting      waitList
	wakeAt       time.Time
	staticBucket bucket
	lastGrant    *Grant
}

type simulatedEvent struct {
	at       time.Time
	sequence uint64
	run      func()
}

type eventHeap []simulatedEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].sequence < h[j].sequence
	}
	return h[i].at.Before(h[j].at)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(simulatedEvent)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// defaultTiming is the timing of Config's defaults.
var defaultTiming = timing{lease: DefaultShareLease, interval: DefaultRenewInterval, promise: DefaultPromiseLifetime}

func newWorld(n int, total Total, random *rand.Rand) *world {
	w := &world{
		timing: defaultTiming, resource: "r", total: total, now: virtualStart, random: random,
		blockedLinks: map[[2]int]bool{},
		latency:      func(from, to int) time.Duration { return time.Millisecond },
	}
	for i := range n {
		w.nodes = append(w.nodes, &simNode{world: w, index: i, vm: fmt.Sprintf("vm%d", i+1)})
	}
	return w
}

// boot starts the processes of all VMs.
func (w *world) boot() {
	for _, node := range w.nodes {
		node.boot()
	}
}

// at runs f after d.
func (w *world) at(d time.Duration, f func()) {
	w.lastSequence++
	heap.Push(&w.events, simulatedEvent{w.now.Add(d), w.lastSequence, f})
}

// run advances virtual time by d.
func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		w.step()
	}
	w.now = end
}

// step runs the next event.
func (w *world) step() {
	e := heap.Pop(&w.events).(simulatedEvent)
	w.now = e.at
	e.run()
	if w.onEvent != nil && !w.skipOnEvent {
		w.onEvent()
	}
}

// boot starts or restarts the VM's process.
func (n *simNode) boot() {
	w := n.world
	n.dead, n.frozen, n.deferred, n.waiting, n.lastGrant = false, false, nil, nil, nil
	n.wakeAt = time.Time{}
	n.starts++
	start := n.starts*1000 + uint64(n.index)
	n.members = &members{jointDuration: w.timing.promise + w.timing.homeLease()}
	n.holder = newHolder(w.timing, n.vm, start, w.resource, w.now)
	n.home = newHome(w.timing, start, w.resource, w.now, n.members)
	n.refreshMembers()
	total := w.total
	if w.staticFraction > 0 {
		total.Rate *= 1 - w.staticFraction
		total.Burst *= 1 - w.staticFraction
		part := w.staticFraction / float64(len(w.nodes))
		n.staticBucket = bucket{rate: part * w.total.Rate, depth: part * w.total.Burst, at: w.now}
	}
	n.holder.setTotal(w.now, total)
	n.home.setTotal(w.now, total)
	if w.variant != nil {
		w.variant(n.holder, n.home)
	}
	n.after(time.Duration(w.random.Int63n(int64(w.timing.interval))), n.tick)
}

func (n *simNode) refreshMembers() {
	var ids []string
	if n.knownVMs == nil {
		for _, other := range n.world.nodes {
			ids = append(ids, other.vm)
		}
	}
	for _, i := range n.knownVMs {
		ids = append(ids, n.world.nodes[i].vm)
	}
	n.members.update(n.world.now, ids)
	n.holder.setCandidates(n.members.candidates(n.world.resource))
}

// after runs f in this VM's process after d. A process that has died or restarted in
// between never runs it; a frozen one runs it when it resumes.
func (n *simNode) after(d time.Duration, f func()) {
	start := n.starts
	var guarded func()
	guarded = func() {
		switch {
		case n.dead || n.starts != start:
		case n.frozen:
			n.deferred = append(n.deferred, guarded)
		default:
			f()
		}
	}
	n.world.at(d, guarded)
}

func (n *simNode) kill() { n.dead, n.frozen = true, false }

func (n *simNode) freeze() { n.frozen = true }

func (n *simNode) thaw() {
	n.frozen = false
	list := n.deferred
	n.deferred = nil
	for _, f := range list {
		n.world.at(0, f)
	}
}

func (n *simNode) tick() {
	n.refreshMembers()
	if n.world.equalSplit {
		n.takeEqualPart()
	} else {
		n.renew()
	}
	n.after(n.world.timing.interval, n.tick)
}

func (n *simNode) renew() {
	w := n.world
	if n.holder.inFlight || n.holder.target == "" || w.equalSplit {
		return
	}
	r := n.holder.newRenewal(w.now)
	w.calls++
	to := w.nodeByVM(n.holder.target)
	n.after(callTimeoutIntervals*w.timing.interval, func() { n.handleFailure(r.Seq) })
	if to.dead && !w.blockedLinks[[2]int{n.index, to.index}] {
		n.after(2*w.messageDelay(n.index, to.index), func() { n.handleFailure(r.Seq) })
		return
	}
	w.send(n, to, func() {
		g := to.home.renew(w.now, r)
		to.addHint(&g)
		w.send(to, n, func() { n.handleGrant(g) })
	})
}

// addHint adds the VM that this one uses as home.
func (n *simNode) addHint(g *Grant) {
	if n.holder.machine.State() == "holding" {
		g.Hint = n.holder.target
	}
}

func (w *world) nodeByVM(vm string) *simNode {
	for _, n := range w.nodes {
		if n.vm == vm {
			return n
		}
	}
	return nil
}

func (w *world) messageDelay(from, to int) time.Duration {
	d := w.latency(from, to)
	if w.extraDelay != nil {
		d += w.extraDelay(from, to)
	}
	return d
}

func (w *world) send(from, to *simNode, deliver func()) {
	if w.blockedLinks[[2]int{from.index, to.index}] {
		return
	}
	to.after(w.messageDelay(from.index, to.index), deliver)
}

func (n *simNode) handleGrant(g Grant) {
	w := n.world
	previous := n.lastGrant
	n.lastGrant = &g
	n.holder.handleGrant(w.now, g)
	if w.replayAnswers && previous != nil {
		n.holder.handleGrant(w.now, *previous)
	}
	n.processWaiting(true)
	if g.Again || n.holder.needsImmediateRenewal(w.now) {
		n.renew()
	}
}

func (n *simNode) handleFailure(seq uint64) {
	if n.holder.inFlight && n.holder.seq == seq {
		n.holder.handleFailure(n.world.now, seq)
		n.processWaiting(true)
		if n.holder.needsImmediateRenewal(n.world.now) {
			n.renew()
		}
	}
}

// request requests k units; done is called with the outcome within admitWait.
func (n *simNode) request(k float64, done func(admitted bool)) {
	n.holder.recordDemand(k)
	if n.staticBucket.take(n.world.now, k) || (len(n.waiting) == 0 && n.holder.admit(n.world.now, k)) {
		done(true)
		return
	}
	if len(n.waiting) >= maxWaiting {
		done(false)
		return
	}
	n.waiting = append(n.waiting, &waiter{k, n.world.now.Add(admitWait), done})
	n.after(admitWait, func() { n.processWaiting(false) })
	n.processWaiting(false)
}

// processWaiting admits or rejects waiting requests where possible.
func (n *simNode) processWaiting(answered bool) {
	now := n.world.now
	next, renewNow := n.waiting.process(now, n.holder, answered)
	if renewNow {
		n.renew()
	}
	if !next.IsZero() && (!n.wakeAt.After(now) || next.Before(n.wakeAt)) {
		n.wakeAt = next
		n.after(next.Sub(now)+time.Microsecond, func() { n.processWaiting(false) })
	}
}

// leave returns the VM's share and stops acting as home, in the steps of Node.Leave.
func (n *simNode) leave() {
	n.home.grantAllFree = true
	n.holder.leave(n.world.now)
	n.holder.inFlight = false
	n.renew()
	n.after(callTimeoutIntervals*n.world.timing.interval, func() { n.home.leave(n.world.now) })
}

// without returns the indexes of all VMs but one.
func (w *world) without(index int) []int {
	var list []int
	for i := range w.nodes {
		if i != index {
			list = append(list, i)
		}
	}
	return list
}

// takeEqualPart implements equalSplit.
func (n *simNode) takeEqualPart() {
	h, now := n.holder, n.world.now
	h.skipLeaseCheck = true
	of := n.world.total.shareUnits()
	part := of / int64(len(n.members.current))
	h.share = Share{Rate: part, Burst: ShareUnits / int64(len(n.members.current)), Of: of}
	h.leaseUntil = now.Add(n.world.timing.interval * callTimeoutIntervals)
	h.bucket.resize(now, h.rate(), h.depth())
}

// actingHome returns the VM whose home acts, or 0 if there is none.
func (w *world) actingHome() int {
	for i, n := range w.nodes {
		if !n.dead && !n.frozen && n.home.isActing() {
			return i
		}
	}
	return 0
}

// partition blocks all links between the given VMs and the others, and no other links.
func (w *world) partition(inside ...int) {
	in := map[int]bool{}
	for _, i := range inside {
		in[i] = true
	}
	for i := range w.nodes {
		for j := range w.nodes {
			w.blockedLinks[[2]int{i, j}] = in[i] != in[j]
		}
	}
}
