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

// superviseInterval is the time between two checks of the groups' primaries.
const superviseInterval = 100 * time.Millisecond

// demoteRetryInterval is the minimum time between two attempts to make a replaced primary step
// down, which it does by itself one second after it can reach its successor.
const demoteRetryInterval = time.Second

// supervise starts failovers for primaries that are leaving or do not answer.
func (e *Process) supervise(ctx context.Context) {
	demoted := map[string]boottime.Time{}
	var hold leaseHold
	departures := departurePace{}
	every(ctx, superviseInterval, func() {
		if e.leaving.Load() {
			return
		}
		e.reachability.update(boottime.Now(), append(e.mesh.ReachableDomains(), e.settings.Domain))
		mayTakeLease := hold.allows(boottime.Now(), e.isWithoutStore())
		for _, g := range e.router.Groups() {
			e.probeFormerServers(ctx, g)
			e.demoteReplaced(ctx, g, demoted)
			e.renewLeadershipProof(g)
			if task, ok := e.failoverTask(g); ok && mayTakeLease && departures.allows(task, boottime.Now()) && e.changePrimary(ctx, g, task) {
				departures.note(task, boottime.Now())
			}
		}
	})
}

// renewLeadershipProof confirms that the group's primary has not been replaced before the last
// confirmation expires, even without commits. One VM of the cell does so, and the others learn
// it from state updates.
//
// Load pattern: traffic starts, or resumes after an outage, at all VMs at once. Without this,
// each of them would query a replica of each group over connections that are needed for
// statements.
func (e *Process) renewLeadershipProof(g *dispatch.Group) {
	if !g.LeaderLeaseNeedsRenewal() || !e.isConfigured(g.Name) || e.rank(g.Name) > 0 {
		return
	}
	g.RenewLeaderLease()
}

// demoteReplaced orders servers of the group that claim to be primary but were replaced to
// step down. The first VM in the order of the group does so; lastTried holds the times of the
// last attempts by server.
func (e *Process) demoteReplaced(ctx context.Context, g *dispatch.Group, lastTried map[string]boottime.Time) {
	replaced, leader := g.ReplacedPrimaries(), g.Leader()
	if len(replaced) == 0 || leader == nil || e.rank(g.Name) > 0 {
		return
	}
	to := leader.Info()
	for _, info := range replaced {
		if info.ID == to.ID || boottime.Since(lastTried[info.ID]) < demoteRetryInterval {
			continue
		}
		maps.DeleteFunc(lastTried, func(_ string, at boottime.Time) bool { return boottime.Since(at) > probeRecordLifetime })
		lastTried[info.ID] = boottime.Now()
		go func() {
			old := steward.Server{ID: info.ID, Address: info.Address, Domain: info.Domain}
			err := e.steward.Demote(ctx, g.Name, old, steward.Server{ID: to.ID, Address: to.Address, Domain: to.Domain})
			if err != nil {
				e.log.WithError(err).WithFields(logrus.Fields{"event": "failover", "group": g.Name, "backend_server": info.ID}).Info("step-down request to a replaced primary failed")
			}
		}()
	}
}

// failoverTask returns the primary change that the group needs now; it is false if none is
// needed.
func (e *Process) failoverTask(g *dispatch.Group) (steward.Task, bool) {
	h := g.Health()
	current := g.Servers()
	servers := e.failoverServers(current, g.FormerServers())
	if len(servers) < 2 || len(current) < 2 && !e.isConfigured(g.Name) {
		return steward.Task{}, false
	}
	observed := steward.Observation{
		Now: boottime.Now(), DepartingSince: e.departingSince(g, h.LastPrimary), Changing: h.PromotionPending, Known: h.Primary != "", Unseen: h.LastPrimary == "", Leaving: h.Leaving, UnknownSince: h.Since,
		Answered: h.LastAnswer, FailingSince: h.FailingSince, Committed: h.LastCommit, StuckSince: h.StuckSince,
		UnfinishedSince: e.steward.UnfinishedSince(g.Name),
	}
	// Computing the rank visits every VM, so it is only done if rank 0 would have to act.
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
		settled[s.ID] = e.reachability.isSettled(s.Domain)
	}
	return steward.Task{
		Group: g.Name, Primary: h.LastPrimary, Servers: servers, Reason: reason, Acknowledged: g.Acknowledged,
		RefreshServers: func(ctx context.Context) ([]steward.Server, error) {
			err := e.readServers(ctx)
			if err == nil {
				err = e.readRosters(ctx)
			}
			return e.failoverServers(g.Servers(), g.FormerServers()), err
		},
		IsDomainReachable: func(s steward.Server, since boottime.Time) bool {
			return settled[s.ID] && (s.Domain == e.settings.Domain || e.mesh.IsDomainObservedSince(s.Domain, since))
		},
		IsAcknowledgedComplete: func() bool { return e.isAcknowledgedComplete(g) },
		IsEvacuated:            e.router.IsEvacuated,
		IsLeaving:              func() bool { return g.Health().Leaving },
		OnPromotionExpected:    func(in time.Duration) { g.SetPrimaryExpectedAt(boottime.Now().Add(in)) },
		OnPrimaryAnswered:      g.NoteReachable,
		OnPromoted: func(server string) {
			g.SetPrimaryExpectedAt(boottime.Now().Add(steward.ExpectedPromotionTime))
			g.ObservePromotionOrder(server, false)
		},
	}, true
}

// isAcknowledgedComplete reports whether the acknowledged position known to this VM covers
// every acknowledged commit.
func (e *Process) isAcknowledgedComplete(g *dispatch.Group) bool {
	at := g.Stats().AcknowledgedAt
	return at != 0 && e.mesh.HasObservedAllSince(at)
}

// isConfigured reports whether the configuration names the group. A removed group keeps its
// former servers and needs no primary.
func (e *Process) isConfigured(group string) bool {
	c := e.view.Config()
	return c != nil && hasGroup(c, group)
}

// failoverServers lists the servers that the group's steward, its failover coordinator, has to
// consider: the current ones, and former ones, which may still receive commits.
func (e *Process) failoverServers(current []*dispatch.Server, former []dispatch.FormerServer) []steward.Server {
	var list []steward.Server
	add := func(info dispatch.ServerInfo, missing time.Duration) {
		list = append(list, steward.Server{
			ID: info.ID, Address: info.Address, Domain: info.Domain, Started: info.Started, Leaving: info.Leaving, Missing: missing,
		})
	}
	for _, s := range current {
		add(s.Info(), s.MissingFor())
		last := &list[len(list)-1]
		last.Cold, last.Departing = s.IsCold(), e.departsFrom(s) != 0
	}
	for _, f := range former {
		add(f.ServerInfo, boottime.Since(f.Since))
		last := &list[len(list)-1]
		last.ConfirmedGone, last.Position, last.Departing = f.Gone, f.Position, f.Leaving
	}
	return list
}

// rank returns the number of reachable VMs that precede this one in the group's
// rendezvous-hash order. A VM counts as reachable if its datagrams arrive here: in a fleet of
// several cells hardly any VMs of other cells do, so that each cell has a VM with rank 0.
func (e *Process) rank(group string) int {
	own := xxhash.Sum64String(group + "/" + e.settings.VM)
	e.mu.Lock()
	defer e.mu.Unlock()
	rank := 0
	for vm := range e.members {
		if vm == e.settings.VM || xxhash.Sum64String(group+"/"+vm) <= own {
			continue
		}
		if e.mesh.IsReachable(vm) {
			rank++
		}
	}
	return rank
}
