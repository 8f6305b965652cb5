package entry

import (
	"context"
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"chicoryline/internal/boottime"
	"chicoryline/internal/dispatch"
	"chicoryline/internal/steward"
)

// superviseInterval is the pause between two looks at the groups' primaries.
const superviseInterval = 100 * time.Millisecond

// demoteInterval is the least time between two tries to make a replaced primary step down,
// which ends by itself a second after it reaches its successor.
const demoteInterval = time.Second

// supervise replaces primaries that leave or do not answer.
func (e *Process) supervise(ctx context.Context) {
	demoted := map[string]boottime.Time{}
	every(ctx, superviseInterval, func() {
		if e.leaving.Load() {
			return
		}
		e.touch.look(boottime.Now(), append(e.mesh.DomainsInTouch(), e.settings.Domain))
		for _, g := range e.router.Groups() {
			e.checkFormer(ctx, g)
			e.demoteReplaced(ctx, g, demoted)
			e.renewLead(g)
			if task, ok := e.task(g); ok {
				e.steward.Start(ctx, task)
			}
		}
	})
}

// renewLead proves the group's primary again before the proof at hand is over, also while
// nobody commits. The first VM of the cell does; the others hear of it.
//
// Load pattern: traffic begins, or comes back after an outage, at all VMs at once. Each of
// them would ask a replica of each group, over connections that all need for statements.
func (e *Process) renewLead(g *dispatch.Group) {
	if !g.LeaderLeaseNeedsRenewal() || !e.isConfigured(g.Name) || e.rank(g.Name) > 0 {
		return
	}
	g.RenewLeaderLease()
}

// demoteReplaced tells servers of the group that claim to lead, and were replaced, to step
// down. The first VM of the group does; tried holds its last tries by server.
func (e *Process) demoteReplaced(ctx context.Context, g *dispatch.Group, tried map[string]boottime.Time) {
	replaced, leader := g.ReplacedPrimaries(), g.Leader()
	if len(replaced) == 0 || leader == nil || e.rank(g.Name) > 0 {
		return
	}
	to := leader.Info()
	for _, info := range replaced {
		if info.ID == to.ID || boottime.Since(tried[info.ID]) < demoteInterval {
			continue
		}
		maps.DeleteFunc(tried, func(_ string, at boottime.Time) bool { return boottime.Since(at) > lookTime })
		tried[info.ID] = boottime.Now()
		go func() {
			old := steward.Server{ID: info.ID, Address: info.Address, Domain: info.Domain}
			err := e.steward.Demote(ctx, g.Name, old, steward.Server{ID: to.ID, Address: to.Address, Domain: to.Domain})
			if err != nil {
				e.log.WithError(err).WithFields(logrus.Fields{"event": "failover", "group": g.Name, "backend_server": info.ID}).Info("replaced primary was not told to step down")
			}
		}()
	}
}

// task returns the change of primary that the group needs now. It is false for none.
func (e *Process) task(g *dispatch.Group) (steward.Task, bool) {
	h := g.Health()
	current := g.Servers()
	servers := e.taskServers(current, g.FormerServers())
	if len(servers) < 2 || len(current) < 2 && !e.isConfigured(g.Name) {
		return steward.Task{}, false
	}
	observed := steward.Observation{
		Now: boottime.Now(), Changing: h.PromotionPending, Known: h.Primary != "", Leaving: h.Leaving, UnknownSince: h.Since,
		Answered: h.LastAnswer, FailingSince: h.FailingSince, Committed: h.LastCommit, StuckSince: h.StuckSince,
		UnfinishedSince: e.steward.Unfinished(g.Name),
	}
	// The rank looks at every VM, so it is computed only where the first would act.
	if steward.Decide(observed) == steward.None {
		return steward.Task{}, false
	}
	observed.Rank = e.rank(g.Name)
	reason := steward.Decide(observed)
	if reason == steward.None {
		return steward.Task{}, false
	}
	settled := map[string]bool{}
	for _, s := range servers {
		settled[s.ID] = e.touch.settled(s.Domain)
	}
	return steward.Task{
		Group: g.Name, Primary: h.LastPrimary, Servers: servers, Reason: reason, Acknowledged: g.Acknowledged,
		Refresh: func(ctx context.Context) ([]steward.Server, error) {
			err := e.readServers(ctx)
			if err == nil {
				err = e.readRosters(ctx)
			}
			return e.taskServers(g.Servers(), g.FormerServers()), err
		},
		DomainHeard: func(s steward.Server, since boottime.Time) bool {
			return settled[s.ID] && (s.Domain == e.settings.Domain || e.mesh.DomainHeard(s.Domain, since))
		},
		Witnessed: func() bool { return e.isWitnessed(g) },
		Progress:  func(in time.Duration) { g.SetPrimaryExpectedAt(boottime.Now().Add(in)) },
		Answered:  g.NoteReachable,
		Done: func(server string) {
			g.SetPrimaryExpectedAt(boottime.Now().Add(steward.ExpectedPromotion))
			g.ObservePromotionOrder(server, false)
		},
	}, true
}

// isWitnessed reports whether what this VM knows to be acknowledged covers all that was.
func (e *Process) isWitnessed(g *dispatch.Group) bool {
	at := g.Stats().AcknowledgedAt
	return at != 0 && e.mesh.HeardAllSince(at)
}

// isConfigured reports whether the configuration names the group. One that was removed
// keeps its former servers and needs no primary.
func (e *Process) isConfigured(group string) bool {
	c := e.view.Config()
	return c != nil && hasGroup(c, group)
}

// taskServers lists the servers that a steward of the group has to know: those that get
// statements, and former ones, which may still receive commits.
func (e *Process) taskServers(current []*dispatch.Server, former []dispatch.FormerServer) []steward.Server {
	var list []steward.Server
	add := func(info dispatch.ServerInfo, missing time.Duration) {
		list = append(list, steward.Server{
			ID: info.ID, Address: info.Address, Domain: info.Domain, Leaving: info.Leaving, Missing: missing,
		})
	}
	for _, s := range current {
		add(s.Info(), s.MissingFor())
	}
	for _, f := range former {
		add(f.ServerInfo, boottime.Since(f.Since))
		last := &list[len(list)-1]
		last.FoundGone, last.Position = f.Gone, f.Position
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
