package entry

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"chicoryline/internal/boottime"
	"chicoryline/internal/dispatch"
	"chicoryline/internal/steward"
)

// superviseInterval is the pause between two looks at the groups' primaries.
const superviseInterval = 100 * time.Millisecond

// supervise replaces primaries that leave or do not answer.
func (e *Process) supervise(ctx context.Context) {
	every(ctx, superviseInterval, func() {
		if e.leaving.Load() {
			return
		}
		e.touch.look(boottime.Now(), append(e.mesh.DomainsInTouch(), e.settings.Domain))
		for _, g := range e.router.Groups() {
			if task, ok := e.task(g); ok {
				e.steward.Start(ctx, task)
			}
		}
	})
}

// task returns the change of primary that the group needs now. It is false for none.
func (e *Process) task(g *dispatch.Group) (steward.Task, bool) {
	h := g.Health()
	current := g.Servers()
	servers := e.taskServers(current, g.Former())
	if len(servers) < 2 || len(current) < 2 && !e.isConfigured(g.Name) {
		return steward.Task{}, false
	}
	reason := steward.Decide(steward.Observation{
		Now: boottime.Now(), Changing: h.Changing, Known: h.Primary != "", Leaving: h.Leaving, UnknownSince: h.Since,
		Answered: h.Answered, FailingSince: h.Failing, Committed: h.Committed, StuckSince: h.Stuck,
		Rank: e.rank(g.Name),
	})
	if reason == steward.None {
		return steward.Task{}, false
	}
	return steward.Task{
		Group: g.Name, Primary: h.Primary, Servers: servers, Reason: reason, Acknowledged: g.Acknowledged,
		Progress: func(in time.Duration) { g.Expect(boottime.Now().Add(in)) },
		Answered: g.NoteReachable,
		Done: func(server string) {
			g.Expect(boottime.Now().Add(steward.ExpectedPromotion))
			g.Succeed(server, reason == steward.Leaving)
		},
	}, true
}

// isConfigured reports whether the configuration names the group. One that was removed
// keeps its former servers and needs no primary.
func (e *Process) isConfigured(group string) bool {
	c := e.view.Config()
	return c != nil && hasGroup(c, group)
}

// taskServers lists the servers that a steward of the group has to know: those that get
// statements, and former ones, which may still receive commits.
func (e *Process) taskServers(current []*dispatch.Server, former []dispatch.Former) []steward.Server {
	var list []steward.Server
	add := func(info dispatch.ServerInfo, missing time.Duration) {
		list = append(list, steward.Server{
			ID: info.ID, Address: info.Address, Leaving: info.Leaving, Missing: missing, DomainInTouch: e.touch.settled(info.Domain),
		})
	}
	for _, s := range current {
		add(s.Info(), s.Missing())
	}
	for _, f := range former {
		add(f.ServerInfo, boottime.Since(f.Since))
	}
	return list
}

// rank is the number of VMs in touch that come before this one in the group's
// rendezvous order.
func (e *Process) rank(group string) int {
	own := xxhash.Sum64String(group + "/" + e.settings.VM)
	e.mu.Lock()
	defer e.mu.Unlock()
	rank := 0
	for vm := range e.members {
		if vm == e.settings.VM || xxhash.Sum64String(group+"/"+vm) <= own {
			continue
		}
		if e.mesh.InTouch(vm) {
			rank++
		}
	}
	return rank
}
