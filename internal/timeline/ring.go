package timeline

import (
	"cmp"
	"slices"
	"sync"
)

// DefaultRingSize is the number of events that a process keeps.
const DefaultRingSize = 8192

// Event is one thing that happened in a process.
type Event struct {
	Stamp  Stamp
	VM     string
	Domain string
	// Kind names the event, such as "failover_claimed".
	Kind     string
	Group    string
	Customer string
	// Request identifies the request or the patch that the event belongs to.
	Request string
	Detail  string
}

// Ring keeps the newest events of one process. The mutex guards events and next.
type Ring struct {
	clock  *Clock
	vm     string
	domain string

	mu     sync.Mutex
	events []Event
	next   int
	total  uint64
}

// NewRing returns a ring for size events of the VM.
func NewRing(clock *Clock, vm, domain string, size int) *Ring {
	return &Ring{clock: clock, vm: vm, domain: domain, events: make([]Event, 0, size)}
}

// Add stamps the event and keeps it; the oldest one makes room.
func (r *Ring) Add(e Event) {
	e.Stamp, e.VM, e.Domain = r.clock.Now(), r.vm, r.domain
	r.mu.Lock()
	defer r.mu.Unlock()
	r.total++
	if len(r.events) < cap(r.events) {
		r.events = append(r.events, e)
		return
	}
	r.events[r.next] = e
	r.next = (r.next + 1) % len(r.events)
}

// Events returns the events that the filter takes, oldest first, and the
// number of events that the ring has lost.
func (r *Ring) Events(f Filter) ([]Event, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []Event
	for i := range r.events {
		e := r.events[(r.next+i)%len(r.events)]
		if f.Matches(e) {
			list = append(list, e)
		}
	}
	return list, r.total - uint64(len(r.events))
}

// Filter takes events by group, customer and request; an empty field takes all.
type Filter struct {
	Group    string
	Customer string
	Request  string
}

// Matches reports whether the filter lets the event through.
func (f Filter) Matches(e Event) bool {
	return (f.Group == "" || f.Group == e.Group) &&
		(f.Customer == "" || f.Customer == e.Customer) &&
		(f.Request == "" || f.Request == e.Request)
}

// Merge orders the events of several processes by their stamps, which is an
// order that causes come before effects in.
func Merge(lists ...[]Event) []Event {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.Stamp.Wall, b.Stamp.Wall), cmp.Compare(a.Stamp.Logical, b.Stamp.Logical), cmp.Compare(a.VM, b.VM))
	})
	return all
}

// EventsArgs asks a process for its events.
type EventsArgs struct{ Filter Filter }

// EventsReply holds the events and the number that the ring has lost.
type EventsReply struct {
	Events []Event
	Lost   uint64
}

// Service is the net/rpc face of a ring, registered as "Timeline".
type Service struct{ ring *Ring }

// NewService returns the service.
func NewService(r *Ring) *Service { return &Service{ring: r} }

// Events returns the process's events.
func (s *Service) Events(args *EventsArgs, reply *EventsReply) error {
	reply.Events, reply.Lost = s.ring.Events(args.Filter)
	return nil
}
