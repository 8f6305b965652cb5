package dispatch

import (
	"cmp"
	"slices"

	"chicoryline/internal/boottime"
	"chicoryline/internal/position"
)

// maxFormerServers bounds the former servers that a group remembers: more than twice the
// servers of any group today.
const maxFormerServers = 8

// FormerServer is a server that gets no statements since its entry has been missing for too
// long. It may still run, receive commits and count for their acknowledgement: an
// entry also lapses while its server does not reach the store.
type FormerServer struct {
	ServerInfo
	// Since is when the entry vanished.
	Since boottime.Time
	// Gone tells that the server was found not to run, while all VMs could tell what they
	// had seen acknowledged; Position is the end of the group's log then: the server has
	// let nothing beyond be acknowledged.
	Gone     bool
	Position position.Position
}

// replacedBy reports whether the entry shows that the former server no longer runs as
// it was: its own has returned, or a server that started later has its address.
func (f FormerServer) replacedBy(info ServerInfo) bool {
	return info.ID == f.ID || info.Address == f.Address && info.Started >= f.Started
}

// formerServers are former servers, the one that has been missing for longest first.
type formerServers []FormerServer

// add takes a server and returns the ones that are forgotten for it.
func (f *formerServers) add(server FormerServer) []FormerServer {
	*f = append(*f, server)
	slices.SortStableFunc(*f, func(a, b FormerServer) int { return cmp.Compare(a.Since, b.Since) })
	over := max(len(*f)-maxFormerServers, 0)
	forgotten := slices.Clone((*f)[:over])
	*f = slices.Delete(*f, 0, over)
	return forgotten
}

// replace drops the servers that the entry replaces and returns them.
func (f *formerServers) replace(info ServerInfo) []FormerServer {
	var replaced []FormerServer
	*f = slices.DeleteFunc(*f, func(server FormerServer) bool {
		if !server.replacedBy(info) {
			return false
		}
		replaced = append(replaced, server)
		return true
	})
	return replaced
}

// FormerServers returns the group's former servers, the one that has been missing for longest
// first.
func (g *Group) FormerServers() []FormerServer {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.former)
}

// MergeFormerServer takes a former server from another VM, unless this one knows better.
func (g *Group) MergeFormerServer(server FormerServer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, ok := g.servers[server.ID]; ok {
		return
	}
	for i, f := range g.former {
		switch {
		case f.ID == server.ID:
			if server.Gone && !f.Gone {
				g.former[i].Gone, g.former[i].Position = true, server.Position
			}
			return
		case f.Address == server.Address && f.Started >= server.Started:
			return
		}
	}
	g.addFormerServer(server)
}

// MarkFormerServerGone notes that the former server does not run.
func (g *Group) MarkFormerServerGone(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	end := g.acknowledged.position
	if newest := g.History.Newest().Position; newest.Compare(end) > 0 {
		end = newest
	}
	for i, f := range g.former {
		if f.ID == id && !f.Gone {
			g.former[i].Gone, g.former[i].Position = true, end
			g.formerServerLog(g.former[i]).WithFields(g.acknowledged.fields()).Warn("does not run")
		}
	}
}

// addFormerServer adds a former server unless a later one has its address. The mutex is held.
func (g *Group) addFormerServer(server FormerServer) {
	for _, s := range g.servers {
		if server.replacedBy(s.Info()) {
			return
		}
	}
	for _, f := range g.former.add(server) {
		g.formerServerLog(f).Warn("forgotten")
	}
}
