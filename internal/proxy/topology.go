package proxy

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"chicoryline/internal/fleet"
	"chicoryline/internal/services"
)

const (
	// groupsInterval is the interval at which the groups are read from the platform.
	groupsInterval = time.Second
	// ownersPerInstance is the number of VMs that hold connections to an instance: one serves
	// requests and one can take over without delay.
	ownersPerInstance = 2
)

// topology holds the database groups as last read from the platform and gets the owners of an
// instance from the fleet. During an outage of the platform the last list stays in use.
type topology struct {
	services  services.Groups
	directory *fleet.Directory
	log       *logrus.Entry
	// onRead is called with the groups after every read.
	onRead func(map[string]services.Group)
	groups atomic.Pointer[map[string]services.Group]
}

func newTopology(groups services.Groups, directory *fleet.Directory, onRead func(map[string]services.Group), log *logrus.Entry) *topology {
	t := &topology{services: groups, directory: directory, onRead: onRead, log: log}
	t.groups.Store(&map[string]services.Group{})
	return t
}

// run reads the groups periodically until stop is closed.
func (t *topology) run(stop <-chan struct{}) {
	ticker := time.NewTicker(groupsInterval)
	defer ticker.Stop()
	for {
		t.read()
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
	}
}

func (t *topology) read() {
	ctx, cancel := context.WithTimeout(context.Background(), services.CallTimeout)
	defer cancel()
	list, err := t.services.Groups(ctx)
	if err != nil {
		t.log.WithError(err).WithField("event", "groups_unread").Debug("platform")
		return
	}
	groups := make(map[string]services.Group, len(list))
	for _, g := range list {
		groups[g.Name] = g
	}
	t.groups.Store(&groups)
	t.onRead(groups)
}

// groupsByName returns the groups as last read. Callers must not modify the map.
func (t *topology) groupsByName() map[string]services.Group { return *t.groups.Load() }

// Group implements router.Topology.
func (t *topology) Group(name string) (services.Group, bool) {
	g, ok := t.groupsByName()[name]
	return g, ok
}

// Owners implements router.Topology. An owner is a VM that holds the pool of connections to an
// instance.
func (t *topology) Owners(instance services.Instance) []services.VM {
	members := t.directory.Owners(instance, ownersPerInstance)
	vms := make([]services.VM, len(members))
	for i, m := range members {
		vms[i] = m.VM
	}
	return vms
}

// stewards lists the preferred VMs for the group's steward (failover coordinator) in order of
// precedence: the first owner of each instance. They probe the group more often than its
// second owners.
func (t *topology) stewards(name string) []fleet.Member {
	group, ok := t.Group(name)
	if !ok {
		return nil
	}
	var members []fleet.Member
	seen := map[string]bool{}
	for _, instance := range group.Instances {
		for _, m := range t.directory.Owners(instance, 1) {
			if !seen[m.VM.ID] {
				seen[m.VM.ID] = true
				members = append(members, m)
			}
		}
	}
	return fleet.Rank("steward/"+name, members)
}

// rank returns the VM's rank among the owners of the instance, or -1 if it is not an owner.
func (t *topology) rank(instance services.Instance, vm string) int {
	for i, owner := range t.Owners(instance) {
		if owner.ID == vm {
			return i
		}
	}
	return -1
}

// stewardRank returns this VM's rank among the stewards of the group. A VM that is only a
// second owner ranks after all of them.
func (p *Proxy) stewardRank(group string) int {
	for i, m := range p.topology.stewards(group) {
		if m.VM.ID == p.vm.ID {
			return i
		}
	}
	return len(p.topology.stewards(group))
}

// otherStewards lists the group's stewards except this VM.
func (p *Proxy) otherStewards(group string) []services.VM {
	return p.exceptSelf(p.topology.stewards(group))
}

// otherVMs lists the VMs of the fleet except this one.
func (p *Proxy) otherVMs() []services.VM { return p.exceptSelf(p.fleet.Directory().Members()) }

func (p *Proxy) exceptSelf(members []fleet.Member) []services.VM {
	var vms []services.VM
	for _, m := range members {
		if m.VM.ID != p.vm.ID {
			vms = append(vms, m.VM)
		}
	}
	return vms
}
