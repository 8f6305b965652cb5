package entry

import (
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"

	"chicoryline/internal/access"
	"chicoryline/internal/boottime"
	"chicoryline/internal/dispatch"
	"chicoryline/internal/mesh"
	"chicoryline/internal/ratelimit"
)

// configure applies a new configuration.
func (e *Process) configure(c *access.Config) {
	e.limiter.Configure(c.Customers)
	e.configureColdLimits(c)
	e.distributeLimits()
}

const (
	// cellReportRounds is the number of reporting rounds until a count has reached the whole
	// cell: the last reports of other VMs may still be in flight. fleetReportRounds applies to
	// several cells: to the leader of the cell, to the other leaders, to their cells.
	cellReportRounds, fleetReportRounds = 2, 4
)

// distributeLimits updates the parts of rate and connection limits that this VM may use.
func (e *Process) distributeLimits() {
	reachable, all := 0, 0
	rounds := cellReportRounds
	if e.mesh != nil {
		reachable, all = e.mesh.ReachableCount()
		cells, reachableCells := e.mesh.Cells()
		if cells > 1 {
			rounds = fleetReportRounds
		}
		if e.mesh.IsLarge() {
			candidates := e.mesh.Candidates()
			e.homes.update(e.withCapacities(candidates))
			e.onlyHomes.update(e.withCapacities(e.mesh.CellLeaders()))
			e.otherHomes.update(e.otherCellCandidates())
			e.limiter.SetCells(ratelimit.CellLayout{
				Total: cells, Reachable: reachableCells, Members: len(candidates), IsHome: e.isRateHome,
				IsOnlyHome: func(customer string) bool { return e.onlyHomes.find(customer) == e.settings.VM },
			})
		}
	}
	e.limiter.SetFleet(reachable+1, all+1, rounds)
	config := e.view.Config()
	if config == nil {
		return
	}
	loads, members, priorities := e.sumLoads(), dispatch.Members{All: all + 1, Reachable: reachable + 1}, groupPriorities(config)
	for name, g := range config.Groups {
		limit := g.MaxConnections - stewardConnections
		e.router.SetLimits(name, dispatch.ConnectionBudget(limit, members, 0, 0), func(s *dispatch.Server) int {
			own, others := loads.at(hashServer(s.Info().ID))
			s.SetConnectionShare(dispatch.ConnectionShare(limit, members, own, others))
			return dispatch.ConnectionBudget(limit, members, own, others)
		})
		e.router.ObserveLoads(name, loads.ofFleet)
		e.router.LimitReads(name, priorities[name].differ, priorities[name].urgentRead, func(s *dispatch.Server) dispatch.PrimaryLoad {
			return primaryLoad(s, all+1, loads)
		})
	}
}

// serverLoads holds the load of this VM and the sum of all others, by a hash of the backend
// server's ID. The own load is the one that the others know: from the same loads, all VMs
// compute parts that add up to the limit.
type serverLoads struct {
	own    map[uint32]float32
	others map[uint32]float64
	// ages holds the sums of the others' loads in statements times the ages in seconds.
	ages map[uint32]float64
}

// sourceLoads are the loads that another VM or cell reported, valid at the given time.
type sourceLoads struct {
	byServer map[uint32]float32
	at       boottime.Time
}

func (l serverLoads) at(server uint32) (own, others float64) {
	return float64(l.own[server]), l.others[server]
}

// sumLoads sums the loads that other VMs and cells have reported, once for all servers.
func (e *Process) sumLoads() serverLoads {
	e.mu.Lock()
	defer e.mu.Unlock()
	sum := serverLoads{own: e.reported, others: map[uint32]float64{}, ages: map[uint32]float64{}}
	now := boottime.Now()
	for _, source := range e.loads {
		age := now.Sub(source.at).Seconds()
		for server, load := range source.byServer {
			sum.others[server] += float64(load)
			sum.ages[server] += float64(load) * age
		}
	}
	return sum
}

// ofFleet returns the load of a server over all VMs: the present one of this VM and what the
// others reported.
func (l serverLoads) ofFleet(s *dispatch.Server) dispatch.ReportedLoad {
	server := hashServer(s.Info().ID)
	load := dispatch.ReportedLoad{Load: s.Load() + l.others[server]}
	if load.Load > 0 {
		load.Age = time.Duration(l.ages[server] / load.Load * float64(time.Second))
	}
	return load
}

func hashServer(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// minReportedLoad is the load below which a server is omitted from state updates.
const minReportedLoad = 0.005

// recordLoad stores the load that another VM or cell reports. It was valid at since, if that is
// not 0.
func (e *Process) recordLoad(vm string, groups map[string]mesh.GroupState, since boottime.Time) {
	loads := map[uint32]float32{}
	for _, g := range groups {
		maps.Copy(loads, g.Loads)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if since == 0 {
		since = boottime.Now()
	}
	e.loads[vm] = sourceLoads{loads, since}
}

// forgetSource drops the state of a VM or cell that is no longer reachable.
func (e *Process) forgetSource(vm string) {
	e.limiter.Forget(vm)
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.loads, vm)
}

const (
	// recentStatePeriod is how long this VM includes an observation of a primary in its state
	// updates, so that it is sent at least twice.
	recentStatePeriod = 1200 * time.Millisecond
	// fullUpdateRounds is the period, in updates, of those that cover all groups.
	fullUpdateRounds = 4
)

// composeUpdate returns this VM's state update. In a large fleet, a VM that does not lead its
// cell only includes groups with new state of its own, and all groups in every
// fullUpdateRounds-th update.
//
// Load pattern: 20 groups, and the statements of six customers at each VM. Without this rule,
// each VM repeated to all others of the cell, twice a second, the state of every group that it
// had received from them.
func (e *Process) composeUpdate() mesh.StateUpdate {
	full := !e.mesh.IsLarge() || e.mesh.IsLeader() || e.updatesComposed.Add(1)%fullUpdateRounds == 0
	version, proved := e.view.LastConfirmed()
	n := mesh.StateUpdate{
		Leaving: e.leaving.Load(), Settled: boottime.Since(e.started) > e.settings.RateWindow, ConfigVersion: version, ConfigAge: boottime.AgeMillis(proved),
		Usage: e.limiter.Report(), Groups: map[string]mesh.GroupState{}, Evacuations: e.reportedEvacuations(),
	}
	reported := map[uint32]float32{}
	for _, g := range e.router.Groups() {
		state := groupState(g)
		if !full && !hasNewState(state, g.Health()) {
			continue
		}
		n.Groups[g.Name] = state
		maps.Copy(reported, state.Loads)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reported = reported
	return n
}

// hasNewState reports whether this VM has state of the group that others may not know.
func hasNewState(n mesh.GroupState, h dispatch.Health) bool {
	latest := max(h.OwnLastAnswer, h.OwnLastCommit, h.OwnLeadershipConfirmedAt, h.FailingSince, h.StuckSince)
	return len(n.Loads) > 0 || n.ExpectedIn > 0 || latest != 0 && boottime.Since(latest) < recentStatePeriod
}

// urgentPeriod is how long state updates are urgent after the first missing answer of a
// primary; by then it has been replaced, or answers other VMs.
const urgentPeriod = 2 * time.Second

// isUrgent reports whether this VM has just started and heard of no validation, has lost or regained
// the store, a caller waits until others know of its commit, or a primary has recently stopped answering it.
func (e *Process) isUrgent() bool {
	if !e.hasJoined() || e.isUnproven() || e.access.ChangedWithin(accessUrgentTime) {
		return true
	}
	for _, g := range e.router.Groups() {
		h := g.Health()
		if h.Unconfirmed {
			return true
		}
		if first := max(h.FailingSince, h.StuckSince); first != 0 && boottime.Since(first) < urgentPeriod {
			return true
		}
	}
	return false
}

// groupState returns the state of the group that this VM reports.
func groupState(g *dispatch.Group) mesh.GroupState {
	point, h := g.History.Newest(), g.Health()
	state := mesh.GroupState{
		Position: point.Position, PositionAge: boottime.AgeMillis(point.At), Primary: h.Primary,
		AnsweredAge: boottime.AgeMillis(h.OwnLastAnswer), CommittedAge: boottime.AgeMillis(h.OwnLastCommit), Loads: map[uint32]float32{},
		Acknowledged: g.Acknowledged(), LedAge: boottime.AgeMillis(h.LeadershipConfirmedAt),
	}
	for _, s := range g.Servers() {
		if load := s.Load(); load >= minReportedLoad {
			state.Loads[hashServer(s.Info().ID)] = float32(load)
		}
		if load := s.ReplaceableLoad(); load >= minReportedLoad {
			state.Loads[hashReads(s.Info().ID)] = float32(load)
		}
	}
	if expected := g.PrimaryExpectedAt(); expected > boottime.Now() {
		state.ExpectedIn = expected.Sub(boottime.Now()).Milliseconds()
	}
	return state
}

// timeOfAge is the inverse of boottime.AgeMillis, counted back from since; 0 means never.
func timeOfAge(since boottime.Time, age int64) boottime.Time {
	if age < 0 {
		return 0
	}
	return since.Add(-time.Duration(age) * time.Millisecond)
}

// receiveUpdate applies an update of another VM of the cell.
func (e *Process) receiveUpdate(source string, n mesh.StateUpdate, since boottime.Time) {
	e.limiter.ObserveReport(source, n.Usage)
	e.applyUpdate(source, n, since)
}

// receiveDigest applies the aggregated state of another cell, or of all other cells.
func (e *Process) receiveDigest(source string, n mesh.StateUpdate, since boottime.Time) {
	e.limiter.ObserveCellReport(source, n.Usage)
	e.applyUpdate(source, n, since)
}

// applyUpdate applies what updates of a VM and of a cell have in common. The ages in it are
// only usable if since is not 0.
func (e *Process) applyUpdate(source string, n mesh.StateUpdate, since boottime.Time) {
	e.recordLoad(source, n.Groups, since)
	e.adoptEvacuations(n.Evacuations)
	for name, state := range n.Groups {
		e.router.Group(name).ObserveAcknowledged(state.Acknowledged)
	}
	if since == 0 {
		return
	}
	e.view.ConfirmNewest(n.ConfigVersion, timeOfAge(since, n.ConfigAge))
	for name, state := range n.Groups {
		g := e.router.Group(name)
		if state.PositionAge >= 0 {
			g.History.Add(timeOfAge(since, state.PositionAge), state.Position)
		}
		if state.LedAge >= 0 {
			g.ObserveLeadership(state.Primary, timeOfAge(since, state.LedAge))
		}
		g.ObservePeerHealth(state.Primary, timeOfAge(since, state.AnsweredAge), timeOfAge(since, state.CommittedAge))
		if state.ExpectedIn > 0 {
			g.SetPrimaryExpectedAt(boottime.Now().Add(time.Duration(state.ExpectedIn) * time.Millisecond))
		}
	}
}
