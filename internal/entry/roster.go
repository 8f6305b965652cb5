package entry

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"chicoryline/internal/boottime"
	"chicoryline/internal/coord"
	"chicoryline/internal/dispatch"
	"chicoryline/internal/errkind"
	"chicoryline/internal/position"
	"chicoryline/internal/tcp"
)

// tableRosters holds one row for each database group, its roster: the servers that may hold
// its commits, whether listed in discovery or not. From it, VMs that all restart learn of
// servers without an entry, and of those that were found to be gone.
const tableRosters = "rosters"

// rosterInterval is the time between two checks whether a roster has to be written: servers
// come and go every few seconds at most.
const rosterInterval = time.Second

// rosterServer is one server of a roster.
type rosterServer struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Domain  string `json:"domain"`
	Started int64  `json:"started"`
	// Former, Gone and Position are those of dispatch.FormerServer.
	Former   bool              `json:"former,omitempty"`
	Gone     bool              `json:"gone,omitempty"`
	Position position.Position `json:"position"`
}

// rosterRow is the last known content of a group's row.
type rosterRow struct {
	version coord.Version
	servers []rosterServer
}

// sameServers reports whether two rosters, sorted by ID, name the same servers. Positions are
// ignored: VMs drop a server at slightly different times, and during a partition between cells
// several VMs may write.
func sameServers(a, b []rosterServer) bool {
	return slices.EqualFunc(a, b, func(x, y rosterServer) bool { return x.ID == y.ID && x.Former == y.Former && x.Gone == y.Gone })
}

// roster returns the group's servers as known to this VM, sorted by ID.
func roster(g *dispatch.Group) []rosterServer {
	var list []rosterServer
	for _, s := range g.Servers() {
		info := s.Info()
		list = append(list, rosterServer{ID: info.ID, Address: info.Address, Domain: info.Domain, Started: info.Started})
	}
	for _, f := range g.FormerServers() {
		list = append(list, rosterServer{ID: f.ID, Address: f.Address, Domain: f.Domain, Started: f.Started, Former: true, Gone: f.Gone, Position: f.Position})
	}
	slices.SortFunc(list, func(a, b rosterServer) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// readRosters reads the rosters from the store and applies them.
func (e *Process) readRosters(ctx context.Context) error {
	rows, _, err := e.access.Rows(ctx, tableRosters)
	if err == nil {
		e.resetRosters(rows)
	}
	return err
}

// resetRosters applies the whole table. Rows that it lacks do not exist: the store was restored
// from a backup without them.
func (e *Process) resetRosters(rows []coord.Row) {
	present := map[string]bool{}
	for _, r := range rows {
		present[r.Key] = true
	}
	e.mu.Lock()
	maps.DeleteFunc(e.rosters, func(group string, _ rosterRow) bool { return !present[group] })
	e.mu.Unlock()
	e.applyRosters(rows)
}

// applyRosters adds the servers of the rosters to their groups, and records the rows unless
// newer ones are known.
func (e *Process) applyRosters(rows []coord.Row) {
	for _, r := range rows {
		if r.Deleted {
			continue
		}
		var list []rosterServer
		if err := json.Unmarshal(r.Value, &list); err != nil {
			// It counts as empty, so that it is written again.
			e.log.WithError(err).WithFields(logrus.Fields{"event": "roster", "group": r.Key}).Warn("roster could not be decoded")
			list = nil
		}
		g := e.router.Group(r.Key)
		for _, s := range list {
			if err := tcp.CheckAddress(s.Address); err != nil {
				e.log.WithError(err).WithFields(logrus.Fields{"event": "roster", "group": r.Key, "backend_server": s.ID}).Warn("server of a roster is not used")
				continue
			}
			g.MergeFormerServer(dispatch.FormerServer{
				ServerInfo: dispatch.ServerInfo{ID: s.ID, Group: r.Key, Address: s.Address, Domain: s.Domain, Started: s.Started, Slots: 1},
				Since:      boottime.Now(), Gone: s.Gone, Position: s.Position,
			})
		}
		e.mu.Lock()
		if r.Version > e.rosters[r.Key].version {
			e.rosters[r.Key] = rosterRow{r.Version, list}
		}
		e.mu.Unlock()
	}
}

// keepRosters follows the rosters, and writes those of the groups for which this VM is the
// first in the fleet.
func (e *Process) keepRosters(ctx context.Context) {
	for ctx.Err() == nil && !e.serversLoaded() {
		time.Sleep(maintenanceInterval)
	}
	f := e.follower(tableRosters, e.resetRosters, e.applyRosters)
	go f.Run(ctx)
	for ctx.Err() == nil && !f.Loaded() {
		time.Sleep(maintenanceInterval)
	}
	every(ctx, rosterInterval, func() {
		for _, g := range e.router.Groups() {
			if !e.isConfigured(g.Name) || len(g.Servers()) == 0 || !e.mesh.IsInFirstCell() || e.rank(g.Name) > 0 {
				continue
			}
			if err := e.writeRoster(ctx, g); err != nil && !errkind.Is(err, errkind.Conflict) {
				e.log.WithError(err).WithFields(logrus.Fields{"event": "roster", "group": g.Name}).Warn("roster could not be written")
				return // retried after the interval
			}
		}
	})
}

// writeRoster writes the group's roster if it has changed. If another VM has written it
// meanwhile, the rosters are read, and the next check writes.
func (e *Process) writeRoster(ctx context.Context, g *dispatch.Group) error {
	servers := roster(g)
	e.mu.Lock()
	row := e.rosters[g.Name]
	e.mu.Unlock()
	if sameServers(row.servers, servers) {
		return nil
	}
	value, err := json.Marshal(servers)
	if err != nil {
		return errkind.New(errkind.Internal, "%v", err)
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	version, err := e.access.Apply(ctx, coord.Change{
		If:  []coord.Condition{{Table: tableRosters, Key: g.Name, Version: row.version}},
		Put: []coord.Row{{Table: tableRosters, Key: g.Name, Value: value}},
	})
	if errkind.Is(err, errkind.Conflict) || errkind.Is(err, errkind.PlatformUnknown) {
		if readErr := e.readRosters(ctx); readErr != nil {
			return readErr
		}
	}
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.rosters[g.Name] = rosterRow{version, servers}
	e.mu.Unlock()
	return nil
}
