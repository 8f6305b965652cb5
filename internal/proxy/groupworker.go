package proxy

import (
	"context"
	"time"

	"github.com/juju/errors"

	"chicoryline/internal/backend"
	"chicoryline/internal/failover"
	"chicoryline/internal/groupview"
	"chicoryline/internal/pool"
	"chicoryline/internal/quota"
	"chicoryline/internal/services"
	"chicoryline/internal/timeline"
)

const (
	// reconcileInterval is the interval at which this VM checks which instances it owns.
	reconcileInterval = 200 * time.Millisecond
	// confirmConnections is the number of VMs, the owners of the primary, that hold a second
	// control connection to each instance, which waits for the confirmation of commits.
	confirmConnections = ownersPerInstance
	// standbyIntervalFactor multiplies the probe interval of a group of which this VM is the
	// first owner of no instance.
	standbyIntervalFactor = 4
	// firstOwnerFraction is the fraction of an instance's connections that its first owner
	// requests. The second owner requests the rest, so that it can take over at once.
	firstOwnerFraction = 0.7
	// warmConnections is the number of connections that the first owner opens in advance.
	warmConnections = 2
)

// groupWorker is the work of this VM for one database group while it owns one of its
// instances: it watches the group and is a candidate for its steward, the coordinator of
// failovers and planned switchovers.
type groupWorker struct {
	group   services.Group
	watcher *groupview.Watcher
	runner  *failover.Runner
	clients []*backend.Client
}

// newGroupWorker connects to all instances of the group and starts watching them.
func (p *Proxy) newGroupWorker(group services.Group) (*groupWorker, error) {
	w := &groupWorker{group: group}
	controls := w.newControls(p)
	watcher, err := groupview.New(groupview.Config{
		Group: group, Controls: controls, WaitControls: controls,
		Interval: p.settings.ProbeInterval, ProofLifetime: p.settings.ProofLifetime, Log: p.log,
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	w.watcher = watcher
	w.runner, err = failover.NewRunner(failover.Config{
		Group: group, Controls: controls, Watcher: watcher, Table: p.services, VM: p.vm,
		Peers:    failover.PeerViews{Caller: p.peers, List: p.otherStewards},
		Rank:     func() int { return p.stewardRank(group.Name) },
		Settings: p.failoverSettings(),
		Drain:    func(ctx context.Context) error { return p.holdWrites(ctx, w, false) },
		Release:  func() { _ = p.holdWrites(context.Background(), w, true) },
		System:   p.system, Rand: p.newMathRand(), Log: p.log,
		OnEvent: func(kind string, fields map[string]string) {
			p.recordEvent(kind, timeline.Event{Group: group.Name}, fields)
			if kind == promotedEvent {
				go p.refreshWatchers(group)
			}
		},
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	watcher.Start()
	p.stewards.Add(w.runner)
	return w, errors.Trace(w.runner.Start())
}

// newControls creates one control client for each instance; close closes them.
func (w *groupWorker) newControls(p *Proxy) map[string]backend.Control {
	controls := map[string]backend.Control{}
	for _, i := range w.group.Instances {
		client := backend.NewClient(backend.ClientConfig{
			ID: i.ID, Address: i.Address, User: p.settings.BackendUser, Password: p.settings.BackendPassword,
			ApplicationName: p.applicationName(), Dial: p.dial,
		})
		w.clients = append(w.clients, client)
		controls[i.ID] = client
	}
	return controls
}

func (w *groupWorker) close() {
	w.runner.Close()
	w.watcher.Close()
	for _, c := range w.clients {
		c.Close()
	}
}

// reconcileLoop starts and stops group workers as the fleet's members and the groups change.
func (p *Proxy) reconcileLoop() {
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		p.reconcile()
		select {
		case <-p.stop:
			return
		case <-ticker.C:
		}
	}
}

func (p *Proxy) reconcile() {
	groups := p.topology.groupsByName()
	for name, group := range groups {
		p.reconcileGroup(name, group)
	}
	for _, name := range p.groupWorkerNames() {
		if _, listed := groups[name]; !listed && len(groups) > 0 {
			p.stopGroupWorker(name)
		}
	}
}

func (p *Proxy) reconcileGroup(name string, group services.Group) {
	isOwner, isFirstOwner := false, false
	for _, instance := range group.Instances {
		rank := p.topology.rank(instance, p.vm.ID)
		isOwner = isOwner || rank >= 0 && !instance.Leaving
		isFirstOwner = isFirstOwner || rank == 0
	}
	worker := p.groupWorker(name)
	if isOwner && worker != nil && !sameInstances(worker.group, group) {
		p.stopGroupWorker(name)
		worker = nil
	}
	if isOwner && worker == nil {
		worker = p.startGroupWorker(name, group)
	}
	if !isOwner && worker != nil {
		p.stopGroupWorker(name)
		worker = nil
	}
	if worker == nil {
		return
	}
	interval := p.settings.ProbeInterval
	if !isFirstOwner {
		interval *= standbyIntervalFactor
	}
	worker.watcher.SetInterval(interval)
	worker.runner.SetLeaving(leavingInstances(group))
	p.reconcileOwners(worker, group)
}

// sameInstances reports whether two descriptions list the same instances at the same
// addresses.
func sameInstances(a, b services.Group) bool {
	if len(a.Instances) != len(b.Instances) {
		return false
	}
	for i := range a.Instances {
		if a.Instances[i].ID != b.Instances[i].ID || a.Instances[i].Address != b.Instances[i].Address {
			return false
		}
	}
	return true
}

func (p *Proxy) startGroupWorker(name string, group services.Group) *groupWorker {
	worker, err := p.newGroupWorker(group)
	if err != nil {
		p.log.WithError(err).WithField("group", name).WithField("event", "duty_failed").Error("group")
		return nil
	}
	p.mu.Lock()
	p.groupWorkers[name] = worker
	p.mu.Unlock()
	p.recordEvent("duty_started", timeline.Event{Group: name}, nil)
	return worker
}

func (p *Proxy) stopGroupWorker(name string) {
	p.mu.Lock()
	worker := p.groupWorkers[name]
	delete(p.groupWorkers, name)
	p.mu.Unlock()
	if worker == nil {
		return
	}
	for _, i := range worker.group.Instances {
		p.pool.SetOwner(i.ID, nil)
	}
	p.stewards.Remove(worker.runner)
	worker.close()
	p.recordEvent("duty_ended", timeline.Event{Group: name}, nil)
}

func (p *Proxy) groupWorker(name string) *groupWorker {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.groupWorkers[name]
}

func (p *Proxy) groupWorkerNames() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	names := make([]string, 0, len(p.groupWorkers))
	for name := range p.groupWorkers {
		names = append(names, name)
	}
	return names
}

// reconcileOwners creates and removes the pools of the instances that this VM owns and sets
// each pool's connection budget from this VM's share of the instance's connection limit.
func (p *Proxy) reconcileOwners(worker *groupWorker, group services.Group) {
	for _, instance := range group.Instances {
		rank := p.topology.rank(instance, p.vm.ID)
		owner, owned := p.pool.Owner(instance.ID)
		resource := instanceResource(instance.ID)
		switch {
		case rank < 0 && owned:
			p.pool.SetOwner(instance.ID, nil)
			p.quota.SetDemand(resource, 0, owner.Open())
		case rank >= 0 && !owned:
			owner = p.newOwner(worker, instance)
			p.pool.SetOwner(instance.ID, owner)
			fallthrough
		case rank >= 0:
			p.quota.SetDemand(resource, wantedConnections(group, rank), owner.Open())
			owner.SetBudget(p.quota.Count(resource))
			if rank == 0 && owner.Open() < warmConnections {
				go owner.Warm(context.Background(), warmConnections)
			}
		}
	}
}

// instanceResource returns the quota resource of an instance's connection limit.
func instanceResource(instance string) string { return "instance/" + instance }

// applyGroups sets the instances' connection limits as the totals of which the VMs lease
// shares.
func (p *Proxy) applyGroups(groups map[string]services.Group) {
	for _, group := range groups {
		for _, instance := range group.Instances {
			p.quota.SetTotal(instanceResource(instance.ID), quota.Total{Count: dataConnections(group)})
		}
	}
}

func (p *Proxy) newOwner(worker *groupWorker, instance services.Instance) *pool.Owner {
	return pool.NewOwner(pool.OwnerConfig{
		Instance: instance, Group: worker.group, Watcher: groupWatcher{worker.watcher},
		Credentials: pool.Credentials{
			User: p.settings.BackendUser, Password: p.settings.BackendPassword,
			Database: p.settings.BackendDatabase, Application: p.applicationName(),
		},
		Dial: p.dial, Log: p.log,
	}, p.quota.Count(instanceResource(instance.ID)))
}

// dataConnections returns the number of an instance's connections that carry statements: its
// limit less the control connections of all VMs that watch the group.
func dataConnections(group services.Group) int {
	watchers := ownersPerInstance * len(group.Instances)
	return max(group.Connections-watchers-confirmConnections, ownersPerInstance)
}

// wantedConnections returns the number of connections that the owner of the given rank
// requests.
func wantedConnections(group services.Group, rank int) int {
	data := dataConnections(group)
	first := max(1, int(float64(data)*firstOwnerFraction))
	if rank == 0 {
		return first
	}
	return max(1, data-first)
}
