package quota

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"chicoryline/internal/errkind"
	"chicoryline/internal/frame"
	"chicoryline/internal/services"
)

// Node runs the holders and homes of all resources of one process. It is safe for
// concurrent use.
type Node struct {
	config    Config
	timing    timing
	start     uint64
	startedAt time.Time
	actor     *frame.Ref
	stop      chan struct{}
	calls     sync.WaitGroup

	mu        sync.Mutex
	resources map[string]*resource
	started   bool
	closed    bool
}

// NewNode returns a node without resources.
func NewNode(config Config) *Node {
	return &Node{
		config: config, timing: config.timing(), start: config.Rand.Uint64() | 1, startedAt: config.Now(),
		stop: make(chan struct{}), resources: map[string]*resource{},
	}
}

// Start starts the renewal of shares. It fails if the actor cannot be started.
func (n *Node) Start() error {
	actor, err := n.config.System.Spawn("quota-"+n.config.VM.ID, mailboxSize, n.handle)
	if err != nil {
		return errors.Annotate(err, "quota actor")
	}
	n.mu.Lock()
	n.actor, n.started = actor, true
	n.mu.Unlock()
	actor.Tick(n.timing.interval, tick{}, n.stop)
	return nil
}

// Close stops the node. Shares that were not returned expire.
func (n *Node) Close() {
	n.mu.Lock()
	if n.closed {
		n.mu.Unlock()
		return
	}
	n.closed = true
	started := n.started
	n.mu.Unlock()
	close(n.stop)
	n.calls.Wait()
	if started {
		n.actor.Stop()
	}
}

// SetTotal sets the limit of a resource; a resource without a total admits nothing. A
// lower total applies at once at this VM.
func (n *Node) SetTotal(name string, total Total) {
	now := n.config.Now()
	n.mu.Lock()
	r := n.resources[name]
	if r == nil {
		r = n.newResource(name, now)
		n.resources[name] = r
	}
	n.mu.Unlock()
	r.update(func() {
		r.holder.setTotal(now, total)
		r.home.setTotal(now, total)
	})
	n.report(r, now)
}

// Admit takes units of the resource's rate at this VM without waiting. It fails with
// errkind.OverRate, or with errkind.NotFound for a resource without a total; in both
// cases nothing is taken.
func (n *Node) Admit(name string, units float64) error {
	r := n.resource(name)
	if r == nil {
		return errkind.New(errkind.NotFound, "resource %s has no total", name)
	}
	r.mu.Lock()
	now := n.config.Now()
	r.holder.recordDemand(units)
	if len(r.waiting) == 0 && r.holder.admit(now, units) {
		r.admitted++
		r.mu.Unlock()
		return nil
	}
	r.rejected++
	renewNow := r.holder.recordShortage(now, units)
	r.mu.Unlock()
	n.requestRenewal(r, renewNow)
	return errkind.New(errkind.OverRate, "resource %s", name)
}

// AdmitWait is like Admit but waits up to admitWait for tokens from the home. It
// also fails with errkind.Canceled if the context ends first.
func (n *Node) AdmitWait(ctx context.Context, name string, units float64) error {
	r := n.resource(name)
	if r == nil {
		return errkind.New(errkind.NotFound, "resource %s has no total", name)
	}
	r.mu.Lock()
	now := n.config.Now()
	r.holder.recordDemand(units)
	if len(r.waiting) == 0 && r.holder.admit(now, units) {
		r.admitted++
		r.mu.Unlock()
		return nil
	}
	if len(r.waiting) >= maxWaiting {
		r.rejected++
		r.mu.Unlock()
		return errkind.New(errkind.OverRate, "resource %s has %d waiting requests", name, maxWaiting)
	}
	outcome := make(chan bool, 1)
	w := &waiter{units, now.Add(admitWait), func(ok bool) { outcome <- ok }}
	r.waiting = append(r.waiting, w)
	r.queued++
	r.mu.Unlock()
	n.processWaiting(r, false)
	return n.await(ctx, r, w, outcome)
}

func (n *Node) await(ctx context.Context, r *resource, w *waiter, outcome <-chan bool) error {
	timer := time.NewTimer(admitWait)
	defer timer.Stop()
	kind, ok := errkind.OverRate, false
	select {
	case ok = <-outcome:
	case <-timer.C:
		ok = n.cancelWait(r, w, outcome)
	case <-ctx.Done():
		kind = errkind.Canceled
		ok = n.cancelWait(r, w, outcome)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if ok {
		r.admitted++
		return nil
	}
	r.rejected++
	return errkind.New(kind, "resource %s", r.name)
}

// cancelWait ends a wait and reports whether the units had already been taken.
func (n *Node) cancelWait(r *resource, w *waiter, outcome <-chan bool) bool {
	r.mu.Lock()
	removed := r.waiting.remove(w)
	r.mu.Unlock()
	return !removed && <-outcome
}

// processWaiting admits or rejects waiting requests of the resource where possible.
// answered is set after a renewal has ended.
func (n *Node) processWaiting(r *resource, answered bool) {
	var now, next time.Time
	var renewNow bool
	r.update(func() {
		now = n.config.Now()
		next, renewNow = r.waiting.process(now, r.holder, answered)
		if r.wakeAt.After(now) && !next.Before(r.wakeAt) {
			next = time.Time{}
		}
		if !next.IsZero() {
			r.wakeAt = next
		}
	})
	if !next.IsZero() {
		time.AfterFunc(next.Sub(now)+time.Microsecond, func() { n.processWaiting(r, false) })
	}
	n.requestRenewal(r, renewNow)
}

// requestRenewal makes the control actor renew the resource now if renewNow is set.
func (n *Node) requestRenewal(r *resource, renewNow bool) {
	n.mu.Lock()
	running := n.started && !n.closed
	n.mu.Unlock()
	if renewNow && running {
		n.actor.Send(urgentRenewal{r.name})
	}
}

// SetDemand sets how many connections of a counted resource this VM wants and how many
// it has open. Open connections are not granted to other VMs until they are closed.
func (n *Node) SetDemand(name string, wanted, open int) {
	if r := n.resource(name); r != nil {
		r.mu.Lock()
		r.holder.demand, r.holder.openConnections = float64(wanted), open
		r.mu.Unlock()
	}
}

// Count returns the number of connections of the resource that this VM may have open
// now. It is 0 once the share's lease has expired.
func (n *Node) Count(name string) int {
	r := n.resource(name)
	if r == nil {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.holder.allowedConnections(n.config.Now())
}

// OnCount sets a function that is called when Count changes. If a share is not renewed,
// the function is called before the lease expires. It must not call the Node.
func (n *Node) OnCount(name string, f func(int)) {
	if r := n.resource(name); r != nil {
		r.mu.Lock()
		r.onCount = f
		r.mu.Unlock()
	}
}

// Stats returns the state of all resources.
func (n *Node) Stats() Stats {
	s := Stats{Resources: map[string]ResourceStats{}}
	for _, r := range n.allResources() {
		s.Resources[r.name] = r.stats()
	}
	return s
}

func (n *Node) newResource(name string, now time.Time) *resource {
	m := &members{jointDuration: n.timing.promise + n.timing.homeLease()}
	h := newHolder(n.timing, n.config.VM.ID, n.start, name, n.startedAt)
	r := &resource{name: name, members: m, holder: h, home: newHome(n.timing, n.start, name, n.startedAt, m)}
	n.setMembers(r, n.config.Holders(), now)
	return r
}

// setMembers passes the registered holders to the resource's holder and home.
func (n *Node) setMembers(r *resource, holders []services.VM, now time.Time) {
	ids := make([]string, 0, len(holders))
	leaving := map[string]bool{}
	for _, vm := range holders {
		ids = append(ids, vm.ID)
		leaving[vm.ID] = vm.Leaving
	}
	r.members.update(now, ids)
	r.holder.voter = slices.Contains(ids, n.config.VM.ID)
	order := r.members.candidates(r.name)
	r.holder.setCandidates(slices.DeleteFunc(order, func(id string) bool { return leaving[id] }))
}

func (n *Node) resource(name string) *resource {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.resources[name]
}

// allResources returns the resources sorted by name.
func (n *Node) allResources() []*resource {
	n.mu.Lock()
	defer n.mu.Unlock()
	var list []*resource
	for _, name := range slices.Sorted(maps.Keys(n.resources)) {
		list = append(list, n.resources[name])
	}
	return list
}
