package proxy

import (
	"context"
	"sync"
	"time"

	"chicoryline/internal/errkind"
	"chicoryline/internal/failover"
	"chicoryline/internal/pool"
	"chicoryline/internal/services"
)

// deposeMargin is the time between the suspicion of a primary and the query to other failure
// domains.
const deposeMargin = 50 * time.Millisecond

// promotedEvent is the steward's event for the promotion of a new primary.
const promotedEvent = "promoted"

// refreshTimeout limits the notification of VMs about a new primary.
const refreshTimeout = 500 * time.Millisecond

// refreshWatchers makes the VMs that watch the group probe it immediately, so that a new
// primary serves requests without waiting for their next regular probes.
func (p *Proxy) refreshWatchers(group services.Group) {
	ctx, cancel := context.WithTimeout(context.Background(), refreshTimeout)
	defer cancel()
	var wait sync.WaitGroup
	peers := p.withLocalPool()
	for _, instance := range group.Instances {
		for _, vm := range p.topology.Owners(instance) {
			wait.Go(func() {
				_ = peers.Call(ctx, vm.Address, "Pool.Refresh", &pool.ViewArgs{Group: group.Name}, &pool.Empty{})
			})
		}
	}
	wait.Wait()
}

// failoverSettings returns the steward's default settings with the operator's suspicion
// timeout.
func (p *Proxy) failoverSettings() failover.Settings {
	s := failover.DefaultSettings()
	s.SuspectAfter = p.settings.SuspectAfter
	s.DeposeAfter = s.SuspectAfter + deposeMargin
	return s
}

// leavingInstances lists the instances of the group that the platform is removing.
func leavingInstances(group services.Group) []string {
	var ids []string
	for _, i := range group.Instances {
		if i.Leaving {
			ids = append(ids, i.ID)
		}
	}
	return ids
}

// holdWrites makes the pool owners of the group's primary reject new writes and waits until
// they have no open session there, reads included. With release it ends the hold at the owners
// of all instances.
func (p *Proxy) holdWrites(ctx context.Context, worker *groupWorker, release bool) error {
	settings := p.failoverSettings()
	args := pool.HoldArgs{
		Release: release, Patience: settings.DrainTimeout,
		Limit: settings.DrainTimeout + settings.CatchUpTimeout + settings.ClaimMaxWait,
	}
	var targets []services.Instance
	primary, _, _ := worker.watcher.View().Primary()
	for _, i := range worker.group.Instances {
		if release || i.ID == primary {
			targets = append(targets, i)
		}
	}
	if len(targets) == 0 {
		return errkind.New(errkind.NoPrimary, "group %s", worker.group.Name)
	}
	ctx, cancel := context.WithTimeout(ctx, settings.DrainTimeout)
	defer cancel()
	return p.callOwners(ctx, targets, args)
}

// callOwners sends the hold to all owners of the instances concurrently and returns the first
// error.
func (p *Proxy) callOwners(ctx context.Context, targets []services.Instance, args pool.HoldArgs) error {
	var wait sync.WaitGroup
	var mu sync.Mutex
	var first error
	peers := p.withLocalPool()
	for _, instance := range targets {
		for _, vm := range p.topology.Owners(instance) {
			ownerArgs := args
			ownerArgs.Instance = instance.ID
			wait.Go(func() {
				if err := peers.Call(ctx, vm.Address, "Pool.Hold", &ownerArgs, &pool.Empty{}); err != nil {
					mu.Lock()
					defer mu.Unlock()
					if first == nil {
						first = err
					}
				}
			})
		}
	}
	wait.Wait()
	return first
}
