package dispatch

import (
	"cmp"
	"slices"

	"chicoryline/internal/boottime"
	"chicoryline/internal/position"
)

// maxFormerServers bounds the former servers that a group keeps: more than twice the servers
// of any present group.
const maxFormerServers = 8

// FormerServer is a server that gets no statements because its entry has been missing for too
// long. It may still be running, receiving commits and counting towards their acknowledgement:
// an entry also expires while its server cannot reach the store.
type FormerServer struct {
	ServerInfo
	// Since is when the entry vanished.
	Since boottime.Time
	// Gone reports that the server was found not to be running, and that the primary then stated
	// the end of its log, or all VMs could report the acknowledged positions they had observed.
	// Position is the end of the group's log at that time: the server took part in acknowledging
	// nothing beyond it.
	Gone     bool
	Position position.Position
}

// replacedBy reports whether the entry shows that the former server no longer runs as before:
// its own entry has returned, or a server that started later uses its address.
func (f FormerServer) replacedBy(info ServerInfo) bool {
	return info.ID == f.ID || info.Address == f.Address && info.Started >= f.Started
}

// formerServers holds former servers, the one missing for longest first.
type formerServers []FormerServer

// add adds a server and returns those dropped to stay within maxFormerServers.
func (f *formerServers) add(server FormerServer) []FormerServer {
	*f = append(*f, server)
	slices.SortStableFunc(*f, func(a, b FormerServer) int { return cmp.Compare(a.Since, b.Since) })
	over := max(len(*f)-maxFormerServers, 0)
	dropped := slices.Clone((*f)[:over])
	*f = slices.Delete(*f, 0, over)
	return dropped
}

// replace removes the servers that the entry replaces and returns them.
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

// FormerServers returns the former servers of the group, the one missing for longest first.
func (g *Group) FormerServers() []FormerServer {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.former)
}

// MergeFormerServer adds a former server reported by another VM, unless this VM has newer
// information about it.
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

// MarkFormerServerGone records that the former server is not running.
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
			g.formerServerLog(g.former[i]).WithFields(g.acknowledged.fields()).Warn("not running")
		}
	}
}

// addFormerServer adds a former server unless a later server uses its address. The mutex is
// held.
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
