package backend

import (
	"sync"
	"time"

	"chicoryline/internal/errkind"
	"chicoryline/internal/position"
	"chicoryline/internal/services"
)

// FakeEntry is one entry of a fake instance's log. Data identifies the write; it is empty
// for the entry that marks a promotion.
type FakeEntry struct {
	Term uint64
	Data string
}

// FakeGroup is an in-memory database group for tests. It simulates instances with logs,
// fences and replication, and network faults between them. A network fault has two
// endpoints, each an instance, a caller or a failure domain, and drops all traffic from
// the first to the second. The mutex guards all state.
type FakeGroup struct {
	mu                sync.Mutex
	order             []string
	instances         map[string]*fakeInstance
	domains           map[string]string
	dropped           map[[2]string]bool
	manualReplication bool
	delay             time.Duration
	changed           chan struct{} // closed and replaced at every change
}

type fakeInstance struct {
	id         string
	role       Role
	fence      uint64
	log        []FakeEntry
	source     string
	sourceTerm uint64
	down       bool
	lag        int
}

// NewFakeGroup returns a group of empty replicas at fence 0.
func NewFakeGroup(instances []services.Instance) *FakeGroup {
	g := &FakeGroup{
		instances: map[string]*fakeInstance{},
		domains:   map[string]string{},
		dropped:   map[[2]string]bool{},
		changed:   make(chan struct{}),
	}
	for _, i := range instances {
		g.order = append(g.order, i.ID)
		g.instances[i.ID] = &fakeInstance{id: i.ID, role: Replica}
		g.domains[i.ID] = i.Domain
	}
	return g
}

// Bootstrap makes the instance primary in term 1; all others replicate from it.
func (g *FakeGroup) Bootstrap(primary string) {
	for _, id := range g.order {
		_, _ = g.Apply(id, FakeCommand{Op: OpFence, Term: 1})
	}
	_, _ = g.Apply(primary, FakeCommand{Op: OpPromote, Term: 1})
	for _, id := range g.order {
		if id != primary {
			_, _ = g.Apply(id, FakeCommand{Op: OpFollow, Term: 1, Primary: primary})
		}
	}
}

// SetDomain assigns a caller to a failure domain.
func (g *FakeGroup) SetDomain(caller, domain string) {
	g.update(func() { g.domains[caller] = domain })
}

// DropTraffic drops all traffic from the first endpoint to the second.
func (g *FakeGroup) DropTraffic(from, to string) {
	g.update(func() { g.dropped[[2]string{from, to}] = true })
}

// Partition drops all traffic between the two endpoints, in both directions.
func (g *FakeGroup) Partition(a, b string) {
	g.DropTraffic(a, b)
	g.DropTraffic(b, a)
}

// Heal ends all network faults.
func (g *FakeGroup) Heal() { g.update(func() { clear(g.dropped) }) }

// SetDown stops or starts the instance, which keeps its log and fence.
func (g *FakeGroup) SetDown(id string, down bool) {
	g.update(func() { g.instances[id].down = down })
}

// SetLag keeps the instance the given number of entries behind its source.
func (g *FakeGroup) SetLag(id string, entries int) {
	g.update(func() { g.instances[id].lag = entries })
}

// SetDelay makes every command of a Control take the given time, half of it
// before the command takes effect.
func (g *FakeGroup) SetDelay(d time.Duration) { g.update(func() { g.delay = d }) }

// SetManualReplication controls whether instances replicate only by calls of Replicate.
func (g *FakeGroup) SetManualReplication(manual bool) {
	g.update(func() { g.manualReplication = manual })
}

// Connected reports whether traffic from the first endpoint reaches the second.
func (g *FakeGroup) Connected(from, to string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.connected(from, to)
}

func (g *FakeGroup) connected(from, to string) bool {
	if from == to {
		return true
	}
	for _, a := range []string{from, g.domains[from]} {
		for _, b := range []string{to, g.domains[to]} {
			if a != "" && b != "" && g.dropped[[2]string{a, b}] {
				return false
			}
		}
	}
	return true
}

// Write appends an entry at the instance if its status is that of an active primary.
func (g *FakeGroup) Write(id, data string) (position.Position, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	i := g.instances[id]
	if i.down {
		return position.Position{}, errkind.New(errkind.Unreachable, "%s", id)
	}
	if !i.status().IsActivePrimary() {
		return position.Position{}, errkind.New(errkind.ReadOnly, "%s", id)
	}
	i.log = append(i.log, FakeEntry{i.fence, data})
	p := i.position()
	g.replicateAndNotify()
	return p, nil
}

// Holds reports whether the instance's log holds a write with the data.
func (g *FakeGroup) Holds(id, data string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, e := range g.instances[id].log {
		if e.Data == data {
			return true
		}
	}
	return false
}

// Status returns the status of the instance regardless of network faults.
func (g *FakeGroup) Status(id string) Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.instances[id].status()
}

// Replicate makes the instance replicate from its source once.
func (g *FakeGroup) Replicate(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.replicate(g.instances[id])
	g.notifyWaiters()
}

func (g *FakeGroup) update(change func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change()
	g.replicateAndNotify()
}

// replicateAndNotify replicates, unless replication is manual, and wakes the waiters.
func (g *FakeGroup) replicateAndNotify() {
	if !g.manualReplication {
		for _, id := range g.order {
			g.replicate(g.instances[id])
		}
	}
	g.notifyWaiters()
}

func (g *FakeGroup) notifyWaiters() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// replicate truncates the replica's log to the prefix that it shares with its source and
// then copies the source's entries, except the last lag ones.
func (g *FakeGroup) replicate(replica *fakeInstance) {
	source := g.instances[replica.source]
	if source == nil || replica.down || source.down || replica.fence != replica.sourceTerm || source.fence != replica.sourceTerm || !source.status().IsActivePrimary() {
		return
	}
	if !g.connected(replica.id, source.id) || !g.connected(source.id, replica.id) {
		return
	}
	commonPrefix := min(len(replica.log), len(source.log)) // logs that match at an index match before it
	for commonPrefix > 0 && replica.log[commonPrefix-1] != source.log[commonPrefix-1] {
		commonPrefix--
	}
	if commonPrefix == len(replica.log) && commonPrefix >= len(source.log)-replica.lag {
		return
	}
	end := max(commonPrefix, len(source.log)-replica.lag)
	replica.log = append(replica.log[:commonPrefix:commonPrefix], source.log[commonPrefix:end]...)
}

func (i *fakeInstance) position() position.Position {
	if len(i.log) == 0 {
		return position.Position{}
	}
	return position.Position{Term: i.log[len(i.log)-1].Term, Offset: uint64(len(i.log))}
}

func (i *fakeInstance) status() Status {
	return Status{Instance: i.id, Role: i.role, Fence: i.fence, Log: i.position(), Source: i.source}
}
