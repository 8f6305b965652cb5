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

// configure takes a new configuration.
func (e *Process) configure(c *access.Config) {
	e.limiter.Configure(c.Customers)
	e.distributeLimits()
}

const (
	// cellReportRounds is the number of rounds of news until a count has reached a cell: the
	// others' last reports may not be in yet. fleetRounds is that for all cells: to the
	// leader of the cell, to the other leaders, to their cells.
	cellReportRounds, fleetReportRounds = 2, 4
)

// distributeLimits splits what counts over all VMs.
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
			e.homes.update(candidates)
			e.onlyHomes.update(e.mesh.CellLeaders())
			e.limiter.SetCells(ratelimit.CellLayout{
				Total: cells, Reachable: reachableCells, Members: len(candidates), IsHome: e.isRateHome,
				IsOnlyHome: func(customer string) bool { return e.onlyHomes.find(customer) == e.settings.VM },
			})
		}
	}
	e.limiter.SetFleet(reachable+1, all+1, rounds)
	c := e.view.Config()
	if c == nil {
		return
	}
	loads := e.sumLoads()
	for name, g := range c.Groups {
		limit := g.MaxConnections - stewardConnections
		e.router.SetLimits(name, dispatch.Budget(limit, all+1, 0, 0), func(s *dispatch.Server) int {
			own, others := loads.at(hashServer(s.Info().ID))
			s.NoteShare(dispatch.Share(limit, all+1, own, others))
			return dispatch.Budget(limit, all+1, own, others)
		})
	}
}

// serverLoads is the loads of this VM and of all others, by a hash of the backend server's
// id. The own one is that which the others know: with the same loads all VMs come to parts
// that add up to the limit.
type serverLoads struct {
	own    map[uint32]float32
	others map[uint32]float64
}

func (l serverLoads) at(server uint32) (own, others float64) {
	return float64(l.own[server]), l.others[server]
}

// sumLoads adds up what other VMs and cells have told, once for all servers.
func (e *Process) sumLoads() serverLoads {
	e.mu.Lock()
	defer e.mu.Unlock()
	sum := serverLoads{own: e.reported, others: map[uint32]float64{}}
	for _, loads := range e.loads {
		for server, load := range loads {
			sum.others[server] += float64(load)
		}
	}
	return sum
}

func hashServer(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// minReportedLoad is the load below which a server is left out of the news.
const minReportedLoad = 0.005

// recordLoad takes another VM's load.
func (e *Process) recordLoad(vm string, groups map[string]mesh.GroupState) {
	loads := map[uint32]float32{}
	for _, g := range groups {
		maps.Copy(loads, g.Loads)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loads[vm] = loads
}

// forgetSource drops what is known of a VM that is no longer in touch.
func (e *Process) forgetSource(vm string) {
	e.limiter.Forget(vm)
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.loads, vm)
}

const (
	// recentStatePeriod is how long what this VM has learned from a primary is told in each of its
	// news: twice at least.
	recentStatePeriod = 1200 * time.Millisecond
	// fullUpdateRounds is the number of rounds of news in which all is told once again.
	fullUpdateRounds = 4
)

// composeUpdate returns this VM's news. In a large fleet a VM that does not act for its cell
// tells only of groups of which it has something new, and of all in one of fullRounds.
//
// Load pattern: 20 groups, and the statements of six customers at each VM. Each VM told all
// others of the cell, twice a second, of each group what it had heard from them.
func (e *Process) composeUpdate() mesh.StateUpdate {
	full := !e.mesh.IsLarge() || e.mesh.IsLeader() || e.updatesComposed.Add(1)%fullUpdateRounds == 0
	version, proved := e.view.Proved()
	n := mesh.StateUpdate{
		Leaving: e.leaving.Load(), Settled: boottime.Since(e.started) > e.settings.RateWindow, ConfigVersion: version, ConfigAge: boottime.Age(proved),
		Usage: e.limiter.Report(), Groups: map[string]mesh.GroupState{},
	}
	reported := map[uint32]float32{}
	for _, g := range e.router.Groups() {
		news := groupState(g)
		if !full && !hasNewState(news, g.Health()) {
			continue
		}
		n.Groups[g.Name] = news
		maps.Copy(reported, news.Loads)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reported = reported
	return n
}

// hasNewState reports whether this VM has something to tell of the group that others may not
// know.
func hasNewState(n mesh.GroupState, h dispatch.Health) bool {
	latest := max(h.OwnAnswered, h.OwnCommitted, h.OwnLed, h.Failing, h.Stuck)
	return len(n.Loads) > 0 || n.ExpectedIn > 0 || latest != 0 && boottime.Since(latest) < recentStatePeriod
}

// urgentPeriod is how long after the first missing answer of a primary news are
// urgent; by then it is replaced, or answers others.
const urgentPeriod = 2 * time.Second

// isUrgent reports whether this VM has just started, or a primary has begun to fail to
// answer it.
func (e *Process) isUrgent() bool {
	if !e.hasJoined() {
		return true
	}
	for _, g := range e.router.Groups() {
		h := g.Health()
		if first := max(h.Failing, h.Stuck); first != 0 && boottime.Since(first) < urgentPeriod {
			return true
		}
	}
	return false
}

func groupState(g *dispatch.Group) mesh.GroupState {
	point, h := g.History.Newest(), g.Health()
	news := mesh.GroupState{
		Position: point.Position, PositionAge: boottime.Age(point.At), Primary: h.Primary,
		AnsweredAge: boottime.Age(h.OwnAnswered), CommittedAge: boottime.Age(h.OwnCommitted), Loads: map[uint32]float32{},
		Acknowledged: g.Acknowledged(), LedAge: boottime.Age(h.Led),
	}
	for _, s := range g.Servers() {
		if load := s.Load(); load >= minReportedLoad {
			news.Loads[hashServer(s.Info().ID)] = float32(load)
		}
	}
	if expected := g.Expected(); expected > boottime.Now() {
		news.ExpectedIn = expected.Sub(boottime.Now()).Milliseconds()
	}
	return news
}

// timeOfAge is the inverse of boottime.Age, counted back from since; 0 for never.
func timeOfAge(since boottime.Time, age int64) boottime.Time {
	if age < 0 {
		return 0
	}
	return since.Add(-time.Duration(age) * time.Millisecond)
}

// receiveUpdate takes the news of another VM of the cell.
func (e *Process) receiveUpdate(source string, n mesh.StateUpdate, since boottime.Time) {
	e.limiter.ObserveReport(source, n.Usage)
	e.applyUpdate(source, n, since)
}

// receiveDigest takes the summed news of another cell.
func (e *Process) receiveDigest(source string, n mesh.StateUpdate, since boottime.Time) {
	e.limiter.ObserveCellReport(source, n.Usage)
	e.applyUpdate(source, n, since)
}

// applyUpdate takes what news of a VM or a cell have in common.
func (e *Process) applyUpdate(source string, n mesh.StateUpdate, since boottime.Time) {
	e.recordLoad(source, n.Groups)
	for name, news := range n.Groups {
		e.router.Group(name).HearAcknowledged(news.Acknowledged)
	}
	if since == 0 {
		return
	}
	e.view.Prove(n.ConfigVersion, timeOfAge(since, n.ConfigAge))
	for name, news := range n.Groups {
		g := e.router.Group(name)
		if news.PositionAge >= 0 {
			g.History.Add(timeOfAge(since, news.PositionAge), news.Position)
		}
		if news.LedAge >= 0 {
			g.HearLead(news.Primary, timeOfAge(since, news.LedAge))
		}
		g.HearHealth(news.Primary, timeOfAge(since, news.AnsweredAge), timeOfAge(since, news.CommittedAge))
		if news.ExpectedIn > 0 {
			g.Expect(boottime.Now().Add(time.Duration(news.ExpectedIn) * time.Millisecond))
		}
	}
}
