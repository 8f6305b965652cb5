// Package linegroup is a test double for a database group of the users' platform: servers
// that speak its line protocol over TCP on loopback, replicate one log and support fault
// injection. It records what tests check the guarantees against: which writes were
// committed, which commits were acknowledged, and stale reads at a former primary. The
// signature in each answer shows the session values that the statement ran with.
package linegroup

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// Options configures a group.
type Options struct {
	Name    string
	Servers int
	Domains []string // failure domains, assigned to the servers round-robin
	// MaxConnections limits the connections to one server.
	MaxConnections int
	Slots          int
	// StatementTime is how long a statement occupies a slot.
	StatementTime time.Duration
	// Lag is the delay between a replica receiving a commit and applying it.
	Lag time.Duration
	// PromotionDelay is the time from the promotion request to the primary change.
	PromotionDelay time.Duration
	// FormerPrimaryServes lets a replaced primary keep acting as primary, without replicas,
	// until it receives STEPDOWN or formerDemotionDelay after it can reach its successor.
	FormerPrimaryServes bool
	// Outstanding, if set, is what the statements that servers run are compared with.
	Outstanding *Outstanding
}

// entry is one commit in the log.
type entry struct {
	term, number uint64
	writes       []Write
	at           time.Time
}

// Write is one write of a commit.
type Write struct{ ID, Customer, Item, Data string }

// ackedWrite is a write whose commit was acknowledged, with the replicas that had received
// it at that time.
type ackedWrite struct {
	Write
	receivers []string
	at        time.Time
}

// violation is a violated guarantee; write is the acknowledged write that is lost, if it is one.
type violation struct{ write, text string }

// Group is a database group. The mutex guards the group and all its servers.
type Group struct {
	options Options

	mu      sync.Mutex
	servers []*Server
	term    uint64
	primary *Server // nil after STEPDOWN
	acked   []ackedWrite
	// promoted holds the ids of promoted servers in order of promotion.
	promoted []string
	// violations holds the guarantee violations that the servers detected.
	violations   []violation
	onRoleChange func(*Server)
}

// New starts a group whose first server is the primary.
func New(o Options) (*Group, error) {
	g := &Group{options: o, term: 1}
	for i := range o.Servers {
		s, err := g.Add(o.Domains[i%len(o.Domains)])
		if err != nil {
			g.Close()
			return nil, err
		}
		if i == 0 {
			g.withLock(func() { g.primary = s })
		}
	}
	return g, nil
}

// Add starts another replica with a copy of the primary's log.
func (g *Group) Add(domain string) (*Server, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	s := &Server{
		group: g, ID: fmt.Sprintf("%s-s%d", g.options.Name, len(g.servers)), Domain: domain,
		Address: l.Addr().String(), Started: time.Now().UnixMilli(), term: g.term,
		listener: l, slots: make(chan struct{}, g.options.Slots), conns: map[*conn]struct{}{},
	}
	g.servers = append(g.servers, s)
	g.replicateTo(s)
	go s.accept(l)
	return s, nil
}

// withLock runs the function under the mutex.
func (g *Group) withLock(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f()
}

// Name returns the group's name.
func (g *Group) Name() string { return g.options.Name }

// Servers returns all servers.
func (g *Group) Servers() []*Server {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]*Server(nil), g.servers...)
}

// OnRoleChange sets a function that is called with each server whose role changed.
func (g *Group) OnRoleChange(f func(*Server)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.onRoleChange = f
}

// Primary returns the current primary, or nil if there is none.
func (g *Group) Primary() *Server {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primary
}

// Promote makes the server the primary of the next term, after the promotion delay, with
// the log it has received by then. It returns false if the server is not running.
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
	time.AfterFunc(g.options.PromotionDelay, func() { g.makePrimary(target) })
	return true
}

// makePrimary makes the target the primary of the next term. It does nothing if the target
// has crashed since the promotion was requested or is already the primary. Acknowledged
// writes that the target lacks are recorded as violations.
func (g *Group) makePrimary(target *Server) {
	g.mu.Lock()
	old := g.primary
	if target.down || target == old {
		g.mu.Unlock()
		return
	}
	if old != nil {
		old.applied = len(old.log)
		old.actingFormerPrimary = g.options.FormerPrimaryServes && !old.down
		g.scheduleDemotion(old)
	}
	target.actingFormerPrimary = false
	g.term++
	g.primary = target
	g.promoted = append(g.promoted, target.ID)
	target.paused, target.pauseTerm, target.term = false, 0, g.term
	for _, w := range g.acked {
		if !target.hasWrite(w.Write) {
			g.violations = append(g.violations, violation{w.ID, fmt.Sprintf("acknowledged write %s, received by %s, is not in the log of %s, promoted in term %d",
				w.ID, strings.Join(w.receivers, " and "), target.ID, g.term)})
		}
	}
	for _, s := range g.servers {
		if s.pauseTerm <= g.term {
			s.paused, s.pauseTerm = false, 0
		}
		g.replicateTo(s)
	}
	changed := g.onRoleChange
	g.mu.Unlock()
	if changed != nil {
		if old != nil {
			changed(old)
		}
		changed(target)
	}
}

// stepDown demotes a primary or acting former primary of a lower term to a replica. A
// demoted primary leaves the group without one.
func (g *Group) stepDown(s *Server, term uint64) {
	g.mu.Lock()
	if g.primary != s && !s.actingFormerPrimary || term <= s.term {
		g.mu.Unlock()
		return
	}
	s.applied = len(s.log)
	if s.actingFormerPrimary {
		s.actingFormerPrimary = false
		g.replicateTo(s)
	} else {
		g.primary = nil
	}
	changed := g.onRoleChange
	g.mu.Unlock()
	if changed != nil {
		changed(s)
	}
}

// formerDemotionDelay is how long a replaced primary keeps acting as one after it can reach
// its successor.
const formerDemotionDelay = time.Second

// scheduleDemotion demotes an acting former primary that can reach its successor, after
// formerDemotionDelay. The caller holds the mutex.
func (g *Group) scheduleDemotion(s *Server) {
	if !s.actingFormerPrimary || s.sendBlocked {
		return
	}
	time.AfterFunc(formerDemotionDelay, func() {
		g.mu.Lock()
		demote := s.actingFormerPrimary && !s.sendBlocked
		if demote {
			s.actingFormerPrimary = false
			g.replicateTo(s)
		}
		changed := g.onRoleChange
		g.mu.Unlock()
		if demote && changed != nil {
			changed(s)
		}
	})
}

// actsAsPrimary reports whether the server considers itself the primary; the caller holds
// the mutex.
func (s *Server) actsAsPrimary() bool {
	return !s.down && (s.group.primary == s || s.actingFormerPrimary)
}

// recordStaleRead records a violation if the server is an acting former primary and lacks a
// write that was acknowledged before the given time. The caller holds the mutex.
func (g *Group) recordStaleRead(s *Server, since time.Time) {
	if !s.actingFormerPrimary {
		return
	}
	for _, w := range g.acked {
		if w.at.Before(since) && !s.hasWrite(w.Write) {
			g.violations = append(g.violations, violation{text: fmt.Sprintf("a current read ran at %s, a former primary that lacks write %s", s.ID, w.ID)})
			return
		}
	}
}

// checkRun records a violation if no caller has asked for the statement that runs on the
// connection.
func (g *Group) checkRun(c *conn, id, text, shape string, inTx, committing bool) {
	if g.options.Outstanding == nil {
		return
	}
	if problem := g.options.Outstanding.checkRun(c, id, text, shape, inTx, committing); problem != "" {
		g.withLock(func() { g.violations = append(g.violations, violation{text: problem}) })
	}
}

// recordRow records the row that a server is about to send as the answer to a read.
func (g *Group) recordRow(id, row string) {
	if g.options.Outstanding != nil {
		g.options.Outstanding.recordRow(id, row)
	}
}

// replicateTo copies the primary's log to the server and reports whether it did; a fault,
// a PAUSE or a crash prevents it. Entries that the primary lacks are rolled back. The caller
// holds the mutex.
func (g *Group) replicateTo(s *Server) bool {
	p := g.primary
	if p == nil || p == s || p.down || p.sendBlocked || s.down || s.paused || s.receiveBlocked || s.actingFormerPrimary || s.sendBlocked && g.options.FormerPrimaryServes {
		return false
	}
	s.log = append([]entry(nil), p.log...)
	s.applied = min(s.applied, len(s.log))
	s.term = g.term
	return true
}

// Promoted returns the ids of the promoted servers in order of promotion.
func (g *Group) Promoted() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]string(nil), g.promoted...)
}

// Acknowledged returns the writes whose commits were acknowledged, in commit order.
func (g *Group) Acknowledged() []Write {
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []Write
	for _, w := range g.acked {
		list = append(list, w.Write)
	}
	return list
}

// Committed returns the writes in the primary's log or, without a primary, in the most
// advanced log.
func (g *Group) Committed() []Write {
	g.mu.Lock()
	defer g.mu.Unlock()
	from := g.primary
	if from == nil {
		from = g.servers[0]
		for _, s := range g.servers {
			if s.lastEntry().after(from.lastEntry()) {
				from = s
			}
		}
	}
	var list []Write
	for _, e := range from.log {
		list = append(list, e.writes...)
	}
	return list
}

// Violations returns the guarantee violations that the servers detected.
func (g *Group) Violations() []string {
	return g.ReportedViolations(func(string) bool { return true })
}

// ReportedViolations returns the violations without those of writes that a server acknowledged
// and that were not reported as successful to a caller.
func (g *Group) ReportedViolations(isReported func(write string) bool) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []string
	for _, v := range g.violations {
		if v.write == "" || isReported(v.write) {
			list = append(list, v.text)
		}
	}
	return list
}

// Close stops all servers.
func (g *Group) Close() {
	for _, s := range g.Servers() {
		s.Crash()
	}
}

// Commit commits a write directly at the primary, even when VMs cannot reach it. It reports
// whether the commit was acknowledged.
func (g *Group) Commit(w Write) bool {
	p := g.Primary()
	if p == nil {
		return false
	}
	_, _, acked := g.commit(p, []Write{w})
	return acked
}

// commit appends the writes to the server's log and replicates them. primary is false if the
// server does not act as primary, acked is false if no replica received the writes.
func (g *Group) commit(s *Server, writes []Write) (position string, primary, acked bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !s.actsAsPrimary() {
		return "", false, false
	}
	number := uint64(1)
	if n := len(s.log); n > 0 {
		number = s.log[n-1].number + 1
	}
	e := entry{term: s.term, number: number, writes: writes, at: time.Now()}
	s.log = append(s.log, e)
	var receivers []string
	for _, r := range g.servers {
		if g.primary == s && g.replicateTo(r) {
			receivers = append(receivers, r.ID)
		}
	}
	if len(receivers) == 0 {
		return "", true, false
	}
	for _, w := range writes {
		g.acked = append(g.acked, ackedWrite{w, receivers, time.Now()})
	}
	return s.position(), true, true
}

// readItem returns an item's value according to the entries that the server has applied.
func (s *Server) readItem(item string) string {
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
