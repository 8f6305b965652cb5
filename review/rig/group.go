// Package rig holds the stand-ins of the second review: database groups, the platform's promotion
// endpoint, entry processes and callers. Each does what the users' pages say and nothing else.
package rig

import (
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"chicoryline/internal/standin/linewire"
)

// Position is a position in a log, TERM.NUMBER on the wire. The zero value is that of an empty log.
type Position struct{ Term, Number uint64 }

// Before reports whether p is before q.
func (p Position) Before(q Position) bool {
	return p.Term < q.Term || p.Term == q.Term && p.Number < q.Number
}

// String returns the position as it is sent.
func (p Position) String() string {
	if p == (Position{}) {
		return "-"
	}
	return strconv.FormatUint(p.Term, 10) + "." + strconv.FormatUint(p.Number, 10)
}

func parsePosition(text string) Position {
	term, number, _ := strings.Cut(text, ".")
	t, _ := strconv.ParseUint(term, 10, 64) // "-" is the empty log
	n, _ := strconv.ParseUint(number, 10, 64)
	return Position{t, n}
}

// Write is one write of a commit.
type Write struct{ ID, Item, Data string }

type entry struct {
	at     Position
	writes []Write
	// received is when this copy of the log received the entry.
	received time.Time
}

// Options configures a group.
type Options struct {
	Name  string
	Zones []string
	// Slots, Connections and Work are those of the instances; a connection occupies a slot for
	// Handshake when it is opened.
	Slots, Connections int
	Work, Handshake    time.Duration
	// Lag is how long a replica takes to apply what it has received, PromotionTime how long a
	// promotion takes.
	Lag, PromotionTime time.Duration
	// Heard is called with each statement that an instance runs.
	Heard func(instance, tenant, id, text string)
	Log   func(format string, args ...any)
	// Changed is called, without locks, after the entry of an instance has changed.
	Changed func(*Instance)
}

// Group is one database with its instances. The mutex guards it and all its instances.
type Group struct {
	Options

	mu        sync.Mutex
	instances []*Instance
	primary   *Instance
	term      uint64
	acked     []Write
	lost      []string
	promoted  []string
}

// Instance is one copy of the database.
type Instance struct {
	group                *Group
	ID, Zone, Address    string
	Born                 int64
	listener             net.Listener
	slots                chan struct{}
	conns                map[*session]struct{}
	log                  []entry
	term, pauseTerm      uint64
	down, draining, deaf bool
	busyUntil            time.Time
}

// NewGroup starts a group with one instance in each zone; the first is the primary.
func NewGroup(o Options) (*Group, error) {
	g := &Group{Options: o, term: 1}
	for _, zone := range o.Zones {
		if _, err := g.Start(zone); err != nil {
			return nil, err
		}
	}
	g.mu.Lock()
	g.primary = g.instances[0]
	for _, i := range g.instances {
		i.term = g.term
	}
	g.mu.Unlock()
	return g, nil
}

// Start adds a replica with a copy of the primary's log.
func (g *Group) Start(zone string) (*Instance, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	g.mu.Lock()
	i := &Instance{
		group: g, ID: fmt.Sprintf("i-%s-%d", g.Name, len(g.instances)), Zone: zone, Address: l.Addr().String(), Born: time.Now().UnixMilli(),
		listener: l, slots: make(chan struct{}, g.Slots), conns: map[*session]struct{}{},
	}
	g.instances = append(g.instances, i)
	g.replicate(i)
	g.mu.Unlock()
	go i.accept(l)
	return i, nil
}

// Instances returns all instances that were ever started.
func (g *Group) Instances() []*Instance {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.instances)
}

// Primary returns the present primary, nil if there is none.
func (g *Group) Primary() *Instance {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primary
}

// Find returns the instance with the id, nil if there is none.
func (g *Group) Find(id string) *Instance {
	for _, i := range g.Instances() {
		if i.ID == id {
			return i
		}
	}
	return nil
}

// Acked returns the writes whose commits an instance has acknowledged.
func (g *Group) Acked() []Write {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.acked)
}

// LostAtPromotion returns one line for each acknowledged write that was not in the log of an instance
// when it was promoted.
func (g *Group) LostAtPromotion() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.lost)
}

// Promoted returns the instances that were promoted, in order.
func (g *Group) Promoted() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.promoted)
}

// Holds returns how often each write is in the log of the present primary or, without one, in the
// longest log.
func (g *Group) Holds() map[string]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	from := g.primary
	if from == nil {
		for _, i := range g.instances {
			if !i.down && (from == nil || from.end().Before(i.end())) {
				from = i
			}
		}
	}
	count := map[string]int{}
	if from != nil {
		for _, e := range from.log {
			for _, w := range e.writes {
				count[w.ID]++
			}
		}
	}
	return count
}

// Close stops all instances.
func (g *Group) Close() {
	for _, i := range g.Instances() {
		i.Crash()
	}
}

func (g *Group) changed(list ...*Instance) {
	for _, i := range list {
		if i != nil && g.Changed != nil {
			g.Changed(i)
		}
	}
}

// replicate brings a replica to the primary's log, unless it receives nothing. The mutex is held.
func (g *Group) replicate(i *Instance) bool {
	p := g.primary
	if p == nil || p == i || p.down || i.down || i.deaf || i.pauseTerm != 0 {
		return false
	}
	common := 0
	for common < len(i.log) && common < len(p.log) && i.log[common].at == p.log[common].at {
		common++
	}
	if common < len(i.log) {
		i.busyUntil = time.Now().Add(100 * time.Millisecond) // rolled back
	}
	i.log = slices.Clone(i.log[:common])
	for _, e := range p.log[common:] {
		e.received = time.Now()
		i.log = append(i.log, e)
	}
	i.term = g.term
	return true
}

// Promote starts a promotion and reports whether the instance runs. "Some hundred ms after that call,
// the named instance leads the next term with what it had received, and nothing more."
func (g *Group) Promote(id string) bool {
	i := g.Find(id)
	if i == nil || !i.Running() {
		return false
	}
	if g.Primary() == i {
		return true
	}
	time.AfterFunc(g.PromotionTime, func() { g.lead(i) })
	return true
}

func (g *Group) lead(i *Instance) {
	g.mu.Lock()
	old := g.primary
	if i.down || old == i {
		g.mu.Unlock()
		return
	}
	g.term++
	g.primary, i.term, i.pauseTerm = i, g.term, 0
	g.promoted = append(g.promoted, i.ID)
	have := map[Write]bool{}
	for _, e := range i.log {
		for _, w := range e.writes {
			have[w] = true
		}
	}
	n := 0
	for _, w := range g.acked {
		if !have[w] {
			g.lost = append(g.lost, fmt.Sprintf("acknowledged write %s is not in the log of %s, which leads term %d", w.ID, i.ID, g.term))
			n++
		}
	}
	end := i.end()
	for _, r := range g.instances {
		r.pauseTerm = 0
		g.replicate(r)
	}
	g.mu.Unlock()
	g.Log("%s leads term %d of %s with its log up to %s; it lacks %d of the writes that were acknowledged", i.ID, g.term, g.Name, end, n)
	g.changed(old, i)
}

// end returns the position of the last entry of the log. The mutex is held.
func (i *Instance) end() Position {
	if len(i.log) == 0 {
		return Position{}
	}
	return i.log[len(i.log)-1].at
}

// applied returns the applied part of the log. The mutex is held.
func (i *Instance) applied() []entry {
	n := len(i.log)
	if i.group.primary != i {
		for n > 0 && time.Since(i.log[n-1].received) < i.group.Lag {
			n--
		}
	}
	return i.log[:n]
}

func (i *Instance) position() Position {
	if log := i.applied(); len(log) > 0 {
		return log[len(log)-1].at
	}
	return Position{}
}

// State returns what the entry of the instance says.
func (i *Instance) State() (running, primary, draining bool, born int64) {
	i.group.mu.Lock()
	defer i.group.mu.Unlock()
	return !i.down, i.group.primary == i, i.draining, i.Born
}

// Running reports whether the instance runs.
func (i *Instance) Running() bool {
	running, _, _, _ := i.State()
	return running
}

// Received returns the position that the instance has received.
func (i *Instance) Received() Position {
	i.group.mu.Lock()
	defer i.group.mu.Unlock()
	return i.end()
}

// Drain makes the instance report that it will stop.
func (i *Instance) Drain() {
	i.group.mu.Lock()
	i.draining = true
	i.group.mu.Unlock()
	i.group.changed(i)
}

// SetDeaf makes a replica receive nothing, or again.
func (i *Instance) SetDeaf(on bool) {
	i.group.mu.Lock()
	defer i.group.mu.Unlock()
	i.deaf = on
	i.group.replicate(i)
}

// Crash ends the instance. Its entry is left as it is.
func (i *Instance) Crash() {
	i.group.mu.Lock()
	i.down = true
	conns := make([]*session, 0, len(i.conns))
	for c := range i.conns {
		conns = append(conns, c)
	}
	i.group.mu.Unlock()
	i.listener.Close()
	for _, c := range conns {
		c.conn.Close()
	}
}

// Restart starts a crashed instance again under its id and at its address. With its log it is as
// before; without, it holds and knows nothing of before.
func (i *Instance) Restart(withLog bool) error {
	l, err := net.Listen("tcp4", i.Address)
	if err != nil {
		return err
	}
	g := i.group
	g.mu.Lock()
	i.listener, i.down, i.draining, i.pauseTerm, i.Born = l, false, false, 0, time.Now().UnixMilli()
	if !withLog {
		i.log, i.term = nil, 0
	}
	g.replicate(i)
	g.mu.Unlock()
	go i.accept(l)
	g.changed(i)
	return nil
}

func (i *Instance) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		c := &session{instance: i, conn: conn, values: map[string]string{}, prepared: map[string]string{}, state: "I"}
		i.group.mu.Lock()
		over := len(i.conns) >= i.group.Connections
		if i.down {
			i.group.mu.Unlock()
			conn.Close()
			continue
		}
		i.conns[c] = struct{}{}
		i.group.mu.Unlock()
		go c.serve(linewire.NewReader(conn), over)
	}
}
