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

// deposeMargin is the time between the suspicion of a primary and the question
// to other failure domains.
const deposeMargin = 50 * time.Millisecond

// promotedEvent is the steward's event after which a new primary leads.
const promotedEvent = "promoted"

// refreshTimeout bounds the news of a new primary.
const refreshTimeout = 500 * time.Millisecond

// refreshWatchers makes the VMs that watch the group probe it at once, so that
// a new primary serves without waiting for their next probes.
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

// failoverSettings are the steward's, with the operator's own suspicion.
func (p *Proxy) failoverSettings() failover.Settings {
	s := failover.DefaultSettings()
	s.SuspectAfter = p.settings.SuspectAfter
	s.DeposeAfter = s.SuspectAfter + deposeMargin
	return s
}

// leavingInstances lists the instances of the group that the platform takes away.
func leavingInstances(group services.Group) []string {
	var ids []string
	for _, i := range group.Instances {
		if i.Leaving {
			ids = append(ids, i.ID)
		}
	}
	return ids
}

// holdWrites makes the pool owners of the group's primary hold new writes and
// waits until none is open there, or ends the hold.
func (p *Proxy) holdWrites(ctx context.Context, d *groupDuty, release bool) error {
	settings := p.failoverSettings()
	args := pool.HoldArgs{
		Release: release, Patience: settings.DrainTimeout,
		Limit: settings.DrainTimeout + settings.CatchUpTimeout + settings.ClaimMaxWait,
	}
	var targets []services.Instance
	primary, _, _ := d.watcher.View().Primary()
	for _, i := range d.group.Instances {
		if release || i.ID == primary {
			targets = append(targets, i)
		}
	}
	if len(targets) == 0 {
		return errkind.New(errkind.NoPrimary, "group %s", d.group.Name)
	}
	ctx, cancel := context.WithTimeout(ctx, settings.DrainTimeout)
	defer cancel()
	return p.callOwners(ctx, targets, args)
}

// callOwners sends the hold to every owner of the instances at once and returns
// the first error.
func (p *Proxy) callOwners(ctx context.Context, targets []services.Instance, args pool.HoldArgs) error {
	var wait sync.WaitGroup
	var mu sync.Mutex
	var first error
	peers := p.withLocalPool()
	for _, instance := range targets {
		for _, vm := range p.topology.Owners(instance) {
			one := args
			one.Instance = instance.ID
			wait.Go(func() {
				if err := peers.Call(ctx, vm.Address, "Pool.Hold", &one, &pool.Empty{}); err != nil {
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
