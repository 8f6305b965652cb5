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
	e.share()
}

const (
	// cellRounds is the number of rounds of news until a count has reached a cell: the
	// others' last reports may not be in yet. fleetRounds is that for all cells: to the
	// leader of the cell, to the other leaders, to their cells.
	cellRounds, fleetRounds = 2, 4
)

// share splits what counts over all VMs.
func (e *Process) share() {
	heard, all := 0, 0
	rounds := cellRounds
	if e.mesh != nil {
		heard, all = e.mesh.Heard()
		cells, inTouch := e.mesh.Cells()
		if cells > 1 {
			rounds = fleetRounds
		}
		if e.mesh.Large() {
			candidates := e.mesh.Candidates()
			e.homes.update(candidates)
			e.onlyHomes.update(e.mesh.CellLeaders())
			e.limiter.SetCells(ratelimit.Cells{
				All: cells, InTouch: inTouch, Members: len(candidates), IsHome: e.isRateHome,
				IsOnlyHome: func(customer string) bool { return e.onlyHomes.find(customer) == e.settings.VM },
			})
		}
	}
	e.limiter.SetFleet(heard+1, all+1, rounds)
	c := e.view.Config()
	if c == nil {
		return
	}
	loads := e.sumLoads()
	for name, g := range c.Groups {
		limit := g.MaxConnections - controlConnections
		e.router.SetLimits(name, dispatch.ConnectionBudget(limit, all+1, 0, 0), func(s *dispatch.Server) int {
			own, others := loads.at(hashServer(s.Info().ID))
			s.SetConnectionShare(dispatch.ConnectionShare(limit, all+1, own, others))
			return dispatch.ConnectionBudget(limit, all+1, own, others)
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

// leastLoad is the load below which a server is left out of the news.
const leastLoad = 0.005

// noteLoad takes another VM's load.
func (e *Process) noteLoad(vm string, groups map[string]mesh.GroupNews) {
	loads := map[uint32]float32{}
	for _, g := range groups {
		maps.Copy(loads, g.Loads)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loads[vm] = loads
}

// forget drops what is known of a VM that is no longer in touch.
func (e *Process) forget(vm string) {
	e.limiter.Forget(vm)
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.loads, vm)
}

const (
	// recentTime is how long what this VM has learned from a primary is told in each of its
	// news: twice at least.
	recentTime = 1200 * time.Millisecond
	// fullRounds is the number of rounds of news in which all is told once again.
	fullRounds = 4
)

// compose returns this VM's news. In a large fleet a VM that does not act for its cell
// tells only of groups of which it has something new, and of all in one of fullRounds.
//
// Load pattern: 20 groups, and the statements of six customers at each VM. Each VM told all
// others of the cell, twice a second, of each group what it had heard from them.
func (e *Process) compose() mesh.News {
	full := !e.mesh.Large() || e.mesh.Leads() || e.composed.Add(1)%fullRounds == 0
	version, proved := e.view.Proved()
	n := mesh.News{
		Leaving: e.leaving.Load(), Settled: boottime.Since(e.started) > e.settings.RateWindow, ConfigVersion: version, ConfigAge: boottime.AgeMillis(proved),
		Usage: e.limiter.Report(), Groups: map[string]mesh.GroupNews{},
	}
	reported := map[uint32]float32{}
	for _, g := range e.router.Groups() {
		news := groupNews(g)
		if !full && !isNews(news, g.Health()) {
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

// isNews reports whether this VM has something to tell of the group that others may not
// know.
func isNews(n mesh.GroupNews, h dispatch.Health) bool {
	latest := max(h.OwnLastAnswer, h.OwnLastCommit, h.OwnLeadershipConfirmedAt, h.FailingSince, h.StuckSince)
	return len(n.Loads) > 0 || n.ExpectedIn > 0 || latest != 0 && boottime.Since(latest) < recentTime
}

// urgentTime is how long after the first missing answer of a primary news are
// urgent; by then it is replaced, or answers others.
const urgentTime = 2 * time.Second

// urgent reports whether this VM has just started, or a primary has begun to fail to
// answer it.
func (e *Process) urgent() bool {
	if !e.hasJoined() {
		return true
	}
	for _, g := range e.router.Groups() {
		h := g.Health()
		if first := max(h.FailingSince, h.StuckSince); first != 0 && boottime.Since(first) < urgentTime {
			return true
		}
	}
	return false
}

func groupNews(g *dispatch.Group) mesh.GroupNews {
	point, h := g.History.Newest(), g.Health()
	news := mesh.GroupNews{
		Position: point.Position, PositionAge: boottime.AgeMillis(point.At), Primary: h.Primary,
		AnsweredAge: boottime.AgeMillis(h.OwnLastAnswer), CommittedAge: boottime.AgeMillis(h.OwnLastCommit), Loads: map[uint32]float32{},
		Acknowledged: g.Acknowledged(), LedAge: boottime.AgeMillis(h.LeadershipConfirmedAt),
	}
	for _, s := range g.Servers() {
		if load := s.Load(); load >= leastLoad {
			news.Loads[hashServer(s.Info().ID)] = float32(load)
		}
	}
	if expected := g.PrimaryExpectedAt(); expected > boottime.Now() {
		news.ExpectedIn = expected.Sub(boottime.Now()).Milliseconds()
	}
	return news
}

// moment is the inverse of boottime.Age, counted back from since; 0 for never.
func moment(since boottime.Time, age int64) boottime.Time {
	if age < 0 {
		return 0
	}
	return since.Add(-time.Duration(age) * time.Millisecond)
}

// hear takes the news of another VM of the cell.
func (e *Process) hear(source string, n mesh.News, since boottime.Time) {
	e.limiter.Hear(source, n.Usage)
	e.learn(source, n, since)
}

// hearDigest takes the summed news of another cell.
func (e *Process) hearDigest(source string, n mesh.News, since boottime.Time) {
	e.limiter.HearCell(source, n.Usage)
	e.learn(source, n, since)
}

// learn takes what news of a VM or a cell have in common.
func (e *Process) learn(source string, n mesh.News, since boottime.Time) {
	e.noteLoad(source, n.Groups)
	for name, news := range n.Groups {
		e.router.Group(name).ObserveAcknowledged(news.Acknowledged)
	}
	if since == 0 {
		return
	}
	e.view.Prove(n.ConfigVersion, moment(since, n.ConfigAge))
	for name, news := range n.Groups {
		g := e.router.Group(name)
		if news.PositionAge >= 0 {
			g.History.Add(moment(since, news.PositionAge), news.Position)
		}
		if news.LedAge >= 0 {
			g.ObserveLeadership(news.Primary, moment(since, news.LedAge))
		}
		g.ObservePeerHealth(news.Primary, moment(since, news.AnsweredAge), moment(since, news.CommittedAge))
		if news.ExpectedIn > 0 {
			g.SetPrimaryExpectedAt(boottime.Now().Add(time.Duration(news.ExpectedIn) * time.Millisecond))
		}
	}
}
