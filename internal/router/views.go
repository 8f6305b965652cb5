package router

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"chicoryline/internal/peer"
	"chicoryline/internal/pool"
	"chicoryline/internal/services"
)

const (
	// viewInterval is the age at which the next answer refreshes the view of a group
	// in use. Without an answer, a call refreshes it at twice this age.
	viewInterval = 50 * time.Millisecond
	// inactiveInterval is the interval between calls for the view of a group that had
	// no request within inactiveAfter.
	inactiveInterval = time.Second
	inactiveAfter    = 200 * time.Millisecond
	// viewIdleTimeout is the time without requests after which a view is dropped.
	viewIdleTimeout = 10 * time.Second
	// viewTimeout limits the call to one owner.
	viewTimeout = 300 * time.Millisecond
)

// Topology provides the groups and the pool owners.
type Topology interface {
	// Group returns the group with the given name.
	Group(name string) (services.Group, bool)
	// Owners returns the VMs that own the instance's pool, best first.
	Owners(instance services.Instance) []services.VM
}

// groupViews caches a view of each group in use, read from its pool owners. The mutex
// guards the map.
type groupViews struct {
	topology    Topology
	peers       peer.Caller
	localDomain string
	stop        chan struct{}

	mu    sync.Mutex
	views map[string]*groupView
}

// groupView is the cached view of one group: its primary and its replicas. mu guards
// view, updatedAt and tooStale; outstandingMu guards outstanding.
type groupView struct {
	lastUse   atomic.Int64
	refresh   chan struct{}
	firstRead chan struct{}

	mu        sync.Mutex
	view      pool.ViewReply
	updatedAt time.Time
	tooStale  map[string]bool

	outstandingMu sync.Mutex
	outstanding   map[string]int
}

func newGroupViews(topology Topology, peers peer.Caller, localDomain string) *groupViews {
	return &groupViews{topology: topology, peers: peers, localDomain: localDomain, stop: make(chan struct{}), views: map[string]*groupView{}}
}

// get returns the group's view and, if it is new, starts to refresh it.
func (g *groupViews) get(group string) *groupView {
	g.mu.Lock()
	defer g.mu.Unlock()
	v := g.views[group]
	if v == nil {
		v = &groupView{
			refresh: make(chan struct{}, 1), firstRead: make(chan struct{}),
			tooStale: map[string]bool{}, outstanding: map[string]int{},
		}
		g.views[group] = v
		go g.refreshLoop(group, v)
	}
	v.lastUse.Store(time.Now().UnixNano())
	return v
}

// refreshLoop refreshes the view until it has not been used for viewIdleTimeout.
func (g *groupViews) refreshLoop(group string, v *groupView) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	started := false
	for {
		select {
		case <-g.stop:
			return
		case <-v.refresh:
		case <-timer.C:
			if started && v.isFresh() {
				timer.Reset(v.untilNextRead())
				continue
			}
		}
		if g.read(group, v) && !started {
			started = true
			close(v.firstRead)
		}
		if time.Since(time.Unix(0, v.lastUse.Load())) > viewIdleTimeout && g.removeIfIdle(group, v) {
			return
		}
		timer.Reset(v.untilNextRead())
	}
}

func (g *groupViews) removeIfIdle(group string, v *groupView) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if time.Since(time.Unix(0, v.lastUse.Load())) <= viewIdleTimeout {
		return false
	}
	delete(g.views, group)
	return true
}

// read calls the group's owners, those of this failure domain first, and stores the view
// with the highest term. It stops once that view names a primary. It reports whether any
// owner answered.
func (g *groupViews) read(group string, v *groupView) bool {
	described, ok := g.topology.Group(group)
	if !ok {
		return false
	}
	best, found := pool.ViewReply{}, false
	at := time.Now()
	for _, vm := range g.viewOwners(described) {
		var reply pool.ViewReply
		ctx, cancel := context.WithTimeout(context.Background(), viewTimeout)
		err := g.peers.Call(ctx, vm.Address, "Pool.View", &pool.ViewArgs{Group: group}, &reply)
		cancel()
		if err != nil {
			continue
		}
		if !found || reply.Term > best.Term {
			best, found = reply, true
		}
		if best.Primary != "" {
			break
		}
	}
	if !found {
		return false
	}
	v.update(best, at)
	return true
}

// viewOwners lists the owners of the group's instances, those of this failure domain
// first.
func (g *groupViews) viewOwners(group services.Group) []services.VM {
	var local, remote []services.VM
	seen := map[string]bool{}
	for _, instance := range group.Instances {
		for _, vm := range g.topology.Owners(instance) {
			if seen[vm.ID] {
				continue
			}
			seen[vm.ID] = true
			if vm.Domain == g.localDomain {
				local = append(local, vm)
			} else {
				remote = append(remote, vm)
			}
		}
	}
	return append(local, remote...)
}

func (g *groupViews) close() { close(g.stop) }

// update stores a view that was read after the time at, unless a newer view is stored
// or this one names a primary of a lower term.
func (v *groupView) update(view pool.ViewReply, at time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if at.Before(v.updatedAt) || view.Primary != "" && view.Term < v.view.Term {
		return
	}
	v.view, v.updatedAt = view, at
}

// needsRefresh reports whether the next answer should refresh the view.
func (v *groupView) needsRefresh() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return time.Since(v.updatedAt) >= viewInterval
}

// isTooOld reports whether the view is too old for choosing a replica.
func (v *groupView) isTooOld() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return time.Since(v.updatedAt) > inactiveAfter
}

// isFresh reports whether the view was updated within the last 2*viewInterval.
func (v *groupView) isFresh() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return time.Since(v.updatedAt) < 2*viewInterval
}

// untilNextRead returns the time until the next call for the view. The answers refresh
// the view of a busy group, which postpones the call.
func (v *groupView) untilNextRead() time.Duration {
	if time.Since(time.Unix(0, v.lastUse.Load())) > inactiveAfter {
		return inactiveInterval
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return max(2*viewInterval-time.Since(v.updatedAt), time.Millisecond)
}

// requestRefresh makes refreshLoop read the view at once.
func (v *groupView) requestRefresh() {
	select {
	case v.refresh <- struct{}{}:
	default:
	}
}

// primary returns the primary's instance id, or "".
func (v *groupView) primary() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.view.Primary
}

// candidates lists the replicas of the view; their ages include the time since the view
// was read. If maxAge is positive, it updates which replicas are too stale.
func (v *groupView) candidates(group services.Group, domain string, maxAge time.Duration) []Candidate {
	v.mu.Lock()
	defer v.mu.Unlock()
	elapsed := time.Since(v.updatedAt)
	domains := map[string]string{}
	leaving := map[string]bool{}
	for _, i := range group.Instances {
		domains[i.ID] = i.Domain
		leaving[i.ID] = i.Leaving
	}
	var list []Candidate
	for _, r := range v.view.Replicas {
		if leaving[r.Instance] {
			continue
		}
		c := Candidate{
			Instance: r.Instance, Local: domains[r.Instance] == domain, Log: r.Log,
			Age: r.Age + elapsed, AgeKnown: r.AgeKnown, TooStale: v.tooStale[r.Instance],
			Outstanding: v.outstandingRequests(r.Instance),
		}
		if maxAge > 0 {
			v.tooStale[r.Instance] = !c.AgeKnown || !(Candidate{Age: c.Age, AgeKnown: true, TooStale: c.TooStale}).isEligible(Requirement{MaxAge: maxAge})
		}
		list = append(list, c)
	}
	return list
}

func (v *groupView) outstandingRequests(instance string) int {
	v.outstandingMu.Lock()
	defer v.outstandingMu.Unlock()
	return v.outstanding[instance]
}

func (v *groupView) beginRequest(instance string) {
	v.outstandingMu.Lock()
	v.outstanding[instance]++
	v.outstandingMu.Unlock()
}

func (v *groupView) endRequest(instance string) {
	v.outstandingMu.Lock()
	v.outstanding[instance]--
	v.outstandingMu.Unlock()
}
