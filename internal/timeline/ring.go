package timeline

import (
	"cmp"
	"slices"
	"sync"
)

// DefaultRingSize is the default capacity of a process's ring in events.
const DefaultRingSize = 8192

// Event is one recorded event of a process.
type Event struct {
	Stamp  Stamp
	VM     string
	Domain string
	// Kind is the type of the event, such as "failover_claimed".
	Kind     string
	Group    string
	Customer string
	// Request is the id of the request or patch that the event belongs to.
	Request string
	Detail  string
}

// Ring is a ring buffer of the newest events of one process. The mutex guards events,
// next and total.
type Ring struct {
	clock  *Clock
	vm     string
	domain string

	mu     sync.Mutex
	events []Event
	next   int
	total  uint64
}

// NewRing returns a ring of the VM with capacity for size events.
func NewRing(clock *Clock, vm, domain string, size int) *Ring {
	return &Ring{clock: clock, vm: vm, domain: domain, events: make([]Event, 0, size)}
}

// Add timestamps the event and stores it; a full ring overwrites its oldest event.
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

// Events returns the events that match the filter, oldest first, and the number of
// events that the ring has overwritten.
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

// Filter selects events by group, customer and request; an empty field matches all.
type Filter struct {
	Group    string
	Customer string
	Request  string
}

// Matches reports whether the event matches the filter.
func (f Filter) Matches(e Event) bool {
	return (f.Group == "" || f.Group == e.Group) &&
		(f.Customer == "" || f.Customer == e.Customer) &&
		(f.Request == "" || f.Request == e.Request)
}

// Merge orders the events of several processes by their stamps. In that order, causes
// precede their effects.
func Merge(lists ...[]Event) []Event {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.Stamp.Wall, b.Stamp.Wall), cmp.Compare(a.Stamp.Logical, b.Stamp.Logical), cmp.Compare(a.VM, b.VM))
	})
	return all
}

// EventsArgs are the arguments of the RPC Timeline.Events.
type EventsArgs struct{ Filter Filter }

// EventsReply is the reply of Timeline.Events. Lost is the number of events that the ring
// has overwritten.
type EventsReply struct {
	Events []Event
	Lost   uint64
}

// Service is the net/rpc service of a ring, registered as "Timeline".
type Service struct{ ring *Ring }

// NewService returns the service.
func NewService(r *Ring) *Service { return &Service{ring: r} }

// Events returns the process's events that match the filter.
func (s *Service) Events(args *EventsArgs, reply *EventsReply) error {
	reply.Events, reply.Lost = s.ring.Events(args.Filter)
	return nil
}
