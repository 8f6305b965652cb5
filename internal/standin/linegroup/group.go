// Package linegroup is the stand-in for a database group of the users' platform:
// servers that speak its line protocol over TCP on loopback, replicate one log and
// can be made to fail. It records what a promise is judged by: which statements
// ran, under which session values, and which commits were acknowledged.
package linegroup

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// Options describe a group.
type Options struct {
	Name    string
	Servers int
	Domains []string // of the servers, in turn
	// MaxConnections bounds the connections to one server.
	MaxConnections int
	Slots          int
	// Work is how long a statement holds a slot.
	Work time.Duration
	// Lag is how much later than received a replica applies a commit.
	Lag time.Duration
	// PromoteTime is from the order to the change of primary.
	PromoteTime time.Duration
}

// entry is one commit of the log.
type entry struct {
	term, number uint64
	writes       []Write
	at           time.Time
}

// Write is one write that a server committed.
type Write struct{ ID, Customer, Item, Data string }

// Group is a database group. The mutex guards it with all its servers.
type Group struct {
	options Options

	mu      sync.Mutex
	servers []*Server
	term    uint64
	primary *Server
	acked   []Write
	// problems are broken rules that a server saw by itself.
	problems []string
	changed  func(*Server)
}

// New starts a group whose first server leads.
func New(o Options) (*Group, error) {
	g := &Group{options: o, term: 1}
	for i := range o.Servers {
		s, err := g.add(fmt.Sprintf("%s-s%d", o.Name, i), o.Domains[i%len(o.Domains)])
		if err != nil {
			g.Close()
			return nil, err
		}
		g.servers = append(g.servers, s)
	}
	g.primary = g.servers[0]
	return g, nil
}

func (g *Group) add(id, domain string) (*Server, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{
		group: g, ID: id, Domain: domain, Address: l.Addr().String(), Started: time.Now().UnixMilli(),
		listener: l, slots: make(chan struct{}, g.options.Slots), conns: map[*conn]struct{}{},
	}
	go s.accept(l)
	return s, nil
}

// Name returns the group's name.
func (g *Group) Name() string { return g.options.Name }

// Servers returns all servers.
func (g *Group) Servers() []*Server { return g.servers }

// OnChange sets a function that is told of each server whose role changed.
func (g *Group) OnChange(f func(*Server)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.changed = f
}

// Primary returns the server that leads.
func (g *Group) Primary() *Server {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primary
}

// Promote makes the server lead the next term with what it has received. It is
// false if the server does not run.
func (g *Group) Promote(id string) bool {
	g.mu.Lock()
	var target *Server
	for _, s := range g.servers {
		if s.ID == id && !s.down {
			target = s
		}
	}
	same := target == g.primary
	g.mu.Unlock()
	if target == nil || same {
		return target != nil
	}
	time.AfterFunc(g.options.PromoteTime, func() { g.lead(target) })
	return true
}

func (g *Group) lead(target *Server) {
	g.mu.Lock()
	old := g.primary
	g.term++
	g.primary = target
	for _, w := range g.acked {
		if !target.holds(w) {
			g.problems = append(g.problems, fmt.Sprintf("acknowledged write %s is not in the log of %s", w.ID, target.ID))
		}
	}
	for _, s := range g.servers {
		s.paused = false
		if s != target && !s.down {
			s.replace(target.log)
		}
	}
	changed := g.changed
	g.mu.Unlock()
	if changed != nil {
		changed(old)
		changed(target)
	}
}

// Acknowledged returns the writes whose commits were acknowledged, in the order of
// the log.
func (g *Group) Acknowledged() []Write {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]Write(nil), g.acked...)
}

// Committed returns the writes in the primary's log.
func (g *Group) Committed() []Write {
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []Write
	for _, e := range g.primary.log {
		list = append(list, e.writes...)
	}
	return list
}

// Problems returns the broken rules that the servers saw.
func (g *Group) Problems() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]string(nil), g.problems...)
}

// Close ends all servers.
func (g *Group) Close() {
	for _, s := range g.servers {
		s.Crash()
	}
}

// commit appends the writes at the primary and passes them to the replicas. It is
// false if the server does not lead, or no replica has received them.
func (g *Group) commit(s *Server, writes []Write) (position string, led, acked bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.primary != s || s.down {
		return "", false, false
	}
	number := uint64(1)
	if n := len(s.log); n > 0 {
		number = s.log[n-1].number + 1
	}
	e := entry{term: g.term, number: number, writes: writes, at: time.Now()}
	s.log = append(s.log, e)
	received := 0
	for _, r := range g.servers {
		if r == s || r.down || r.paused || r.deaf || s.cut {
			continue
		}
		r.catchUp(s)
		received++
	}
	if received == 0 {
		return "", true, false
	}
	g.acked = append(g.acked, writes...)
	return s.position(), true, true
}

// item returns what the server shows of an item after its lag.
func (s *Server) item(item string) string {
	data := ""
	for _, e := range s.visible() {
		for _, w := range e.writes {
			if w.Item == item {
				data = w.Data
			}
		}
	}
	return data
}

// tokens splits a text into its first word and the rest.
func tokens(text string) (string, string) {
	word, rest, _ := strings.Cut(text, " ")
	return word, rest
}
