// Package admission decides which requests wait for a backend server, in which order they are
// served, which are refused and when those are to come back. It does no I/O; the clock is
// passed in.
//
// Load pattern: a burst of unimportant requests, a customer at five times its usual rate, and
// replicas that lag, so that all reads go to the primary. Without an order of urgency, the
// requests that arrive last are refused, and these are mostly the important ones.
package admission

import (
	"cmp"
	"math"
	"slices"
	"time"

	"chicoryline/internal/boottime"
)

const (
	// MaxWaiters bounds the memory of a queue; the time that requests can wait usually limits
	// it to far fewer.
	MaxWaiters = 64
	// maxReuseAdvance is how much later a request may have arrived and still be served before
	// another because its customer has an idle connection: twice the time of a handshake.
	maxReuseAdvance = 50 * time.Millisecond
	// minShareEvery is the number of grants of which one goes to a less urgent request if one
	// waits. With 4, the routes of the replay lose a tenth of their operations in time to
	// reports; with 8, none.
	minShareEvery = 8
	// grantMemory is the time constant of the measured rates of grants by priority: a hundred
	// statements of 20 ms at a server with 4 slots.
	grantMemory = 500 * time.Millisecond
)

// Request is a request for a place at a server.
type Request struct {
	Customer string
	// Priority is lower for more urgent requests.
	Priority int
	// Replaceable reports that a replica may serve the request, which asks the primary.
	Replaceable bool
	// Arrived is when the request arrived, or when it was first refused if it returned at the
	// time that it was told.
	Arrived boottime.Time
	// LatestStart is when the request has to be served to meet its latency objective. It is
	// refused on arrival if it would be served later.
	LatestStart boottime.Time
	// Deadline is when its time limit ends, 0 if it has none.
	Deadline boottime.Time
}

// Entry is a request that waits. Value belongs to the caller.
type Entry[V any] struct {
	Request
	Value V
}

// State is what the VM knows of the server when it decides.
type State struct {
	Now boottime.Time
	// HoldTime is the usual time for which a request occupies a place, Places the number of
	// places.
	HoldTime time.Duration
	Places   int
	// InUse returns the number of places that a customer occupies, HasIdle whether it has an
	// idle connection.
	InUse   func(customer string) int
	HasIdle func(customer string) bool
	// Pace limits replaceable requests.
	Pace *Pace
}

// admits reports whether the pace admits the request now.
func (s State) admits(r Request) bool {
	return !r.Replaceable || s.Pace.Admits(s.Now, s.HoldTime, r.Priority)
}

// Queue holds the requests that wait for a server. It is not safe for concurrent use.
type Queue[V any] struct {
	// Ranked is set if the routes of the server's group have different priorities. Otherwise
	// each request waits behind all others, and none is refused in favour of another.
	Ranked bool

	entries []*Entry[V]
	// bypassed counts the consecutive grants to requests that precede a less urgent one.
	bypassed int
	// grants holds the rates of all grants, replaceableGrants those to replaceable requests.
	grants, replaceableGrants grantRates
}

// Len returns the number of waiting requests.
func (q *Queue[V]) Len() int { return len(q.entries) }

// Requests returns the waiting requests.
func (q *Queue[V]) Requests() []Request {
	list := make([]Request, 0, len(q.entries))
	for _, e := range q.entries {
		list = append(list, e.Request)
	}
	return list
}

// Count returns the number of waiting requests that the function accepts.
func (q *Queue[V]) Count(accept func(Request) bool) int {
	n := 0
	for _, e := range q.entries {
		if accept(e.Request) {
			n++
		}
	}
	return n
}

// Clear removes all requests and returns them.
func (q *Queue[V]) Clear() []*Entry[V] {
	all := q.entries
	q.entries = nil
	return all
}

// Remove removes the request and reports whether it was waiting.
func (q *Queue[V]) Remove(e *Entry[V]) bool {
	i := slices.Index(q.entries, e)
	if i >= 0 {
		q.entries = slices.Delete(q.entries, i, i+1)
	}
	return i >= 0
}

// Wait estimates how long a request that arrives now waits: for the work ahead of it in its own
// order, at the rate that more urgent requests leave to it.
func (q *Queue[V]) Wait(r Request, s State) time.Duration {
	if !q.Ranked {
		return q.waitBehind(len(q.entries), r.Priority, s)
	}
	order := q.order(s)
	ahead, _ := slices.BinarySearchFunc(order, q.arrivalRank(r, s), rank[V].compare)
	replaceable := 0
	for _, x := range order[:ahead] {
		if x.entry.Replaceable {
			replaceable++
		}
	}
	return q.rankedWait(r, ahead, replaceable, s)
}

// rankedWait estimates the wait of a request behind others, some of which are replaceable.
func (q *Queue[V]) rankedWait(r Request, ahead, replaceable int, s State) time.Duration {
	wait := q.waitBehind(ahead, r.Priority, s)
	if !r.Replaceable || !s.Pace.Limited() {
		return wait
	}
	share := remaining(q.replaceableGrants.moreUrgent(r.Priority, s.Now) / s.Pace.Rate(s.HoldTime))
	paced := s.Pace.WaitBehind(s.Now, s.HoldTime, r.Priority, replaceable)
	return max(wait, time.Duration(float64(paced)/share))
}

// Step returns the time in which there is room for one more request.
func (q *Queue[V]) Step(r Request, s State) time.Duration {
	step := q.waitBehind(0, r.Priority, s)
	if r.Replaceable && s.Pace.Limited() {
		return max(step, time.Duration(float64(time.Second)/s.Pace.Rate(s.HoldTime)))
	}
	return step
}

// waitBehind estimates the wait of a request with the given number of requests ahead.
func (q *Queue[V]) waitBehind(ahead, priority int, s State) time.Duration {
	wait := s.HoldTime * time.Duration(ahead+1) / time.Duration(max(1, s.Places))
	if !q.Ranked {
		return wait
	}
	return time.Duration(float64(wait) / q.share(priority, s))
}

// share returns the part of the server's capacity that more urgent requests leave.
func (q *Queue[V]) share(priority int, s State) float64 {
	capacity := float64(max(1, s.Places)) / s.HoldTime.Seconds()
	return remaining(q.grants.moreUrgent(priority, s.Now) / capacity)
}

// remaining returns the part of a capacity that is left, at least the guaranteed one.
func remaining(used float64) float64 { return max(1.0/minShareEvery, 1-used) }

// Admit adds a request that arrives now. It returns nil if the request is refused, because its
// wait would be too long or because the queue is full of requests that precede it. displaced are
// the waiting requests that cannot be served in time any more; they have been removed.
func (q *Queue[V]) Admit(r Request, value V, s State) (admitted *Entry[V], displaced []*Entry[V]) {
	if s.Now.Add(q.Wait(r, s)) > r.LatestStart {
		return nil, nil
	}
	if len(q.entries) >= MaxWaiters {
		if !q.Ranked {
			return nil, nil
		}
		order := q.order(s)
		last := order[len(order)-1]
		if q.arrivalRank(r, s).compare(last) >= 0 {
			return nil, nil
		}
		q.Remove(last.entry)
		displaced = append(displaced, last.entry)
	}
	admitted = &Entry[V]{Request: r, Value: value}
	q.entries = append(q.entries, admitted)
	if q.Ranked {
		displaced = append(displaced, q.displace(r.Priority, s)...)
	}
	return admitted, displaced
}

// Displace removes and returns the requests whose time limits will end before they can be served,
// after the server has got less room.
func (q *Queue[V]) Displace(s State) []*Entry[V] {
	if !q.Ranked {
		return nil
	}
	return q.displace(math.MinInt, s)
}

// displace removes the requests that are less urgent than the priority and whose time limits will
// end before they can be served.
func (q *Queue[V]) displace(priority int, s State) (displaced []*Entry[V]) {
	ahead, replaceable := 0, 0
	for _, x := range q.order(s) {
		e := x.entry
		if e.Priority > priority && e.Deadline != 0 && s.Now.Add(q.rankedWait(e.Request, ahead, replaceable, s)) > e.Deadline {
			q.Remove(e)
			displaced = append(displaced, e)
			continue
		}
		ahead++
		if e.Replaceable {
			replaceable++
		}
	}
	return displaced
}

// Expire removes and returns the requests whose time limits have ended: after a VM was frozen,
// they must not be served.
func (q *Queue[V]) Expire(now boottime.Time) (expired []*Entry[V]) {
	q.entries = slices.DeleteFunc(q.entries, func(e *Entry[V]) bool {
		if e.Deadline == 0 || now < e.Deadline {
			return false
		}
		expired = append(expired, e)
		return true
	})
	return expired
}

// Next returns the request to serve next, or nil if none may be served now. Requests that can
// still meet their objective come first, then the more urgent ones. Then a request that can use
// an idle connection precedes one that cannot, unless their arrivals are maxReuseAdvance or more
// apart. The remaining ties go to the customer with the fewest places in use and then to the
// longest wait. One of minShareEvery grants goes to a less urgent request.
func (q *Queue[V]) Next(s State) *Entry[V] {
	var best, passed *Entry[V]
	for _, e := range q.entries {
		if !s.admits(e.Request) {
			continue
		}
		if best == nil || isServedBefore(e, best, s) {
			best = e
		}
	}
	if best == nil || !q.Ranked || q.bypassed < minShareEvery-1 {
		return best
	}
	for _, e := range q.entries {
		if q.isBypassedBy(e, best, s) && (passed == nil || e.Arrived < passed.Arrived) {
			passed = e
		}
	}
	if passed != nil {
		return passed
	}
	return best
}

// isBypassedBy reports whether serving best passes over the less urgent request.
func (q *Queue[V]) isBypassedBy(e, best *Entry[V], s State) bool {
	return e.Priority > best.Priority && s.Now <= e.LatestStart && s.admits(e.Request)
}

// Grant removes the request, which is served now.
func (q *Queue[V]) Grant(e *Entry[V], s State) {
	q.Remove(e)
	q.NoteGrant(e.Request, s.Now)
	if !q.Ranked {
		return
	}
	if slices.ContainsFunc(q.entries, func(x *Entry[V]) bool { return q.isBypassedBy(x, e, s) }) {
		q.bypassed++
		return
	}
	q.bypassed = 0
}

// NoteGrant records that a request was served, also one that did not have to wait.
func (q *Queue[V]) NoteGrant(r Request, now boottime.Time) {
	if !q.Ranked {
		return
	}
	q.grants = q.grants.add(r.Priority, now)
	if r.Replaceable {
		q.replaceableGrants = q.replaceableGrants.add(r.Priority, now)
	}
}

func isServedBefore[V any](e, f *Entry[V], s State) bool {
	if a, b := s.Now > e.LatestStart, s.Now > f.LatestStart; a != b {
		return b
	}
	if e.Priority != f.Priority {
		return e.Priority < f.Priority
	}
	if a, b := s.HasIdle(e.Customer), s.HasIdle(f.Customer); a != b && e.Arrived.Sub(f.Arrived).Abs() < maxReuseAdvance {
		return a
	}
	if a, b := s.InUse(e.Customer), s.InUse(f.Customer); a != b {
		return a < b
	}
	return e.Arrived < f.Arrived
}

// rank is the expected position of a request in the order of service.
type rank[V any] struct {
	late     bool
	priority int
	// turn is the number of places that the customer will have been given before: those in
	// use, and one for each of its requests that precede this one.
	turn    int
	arrived boottime.Time
	entry   *Entry[V]
}

func (a rank[V]) compare(b rank[V]) int {
	if a.late != b.late {
		if b.late {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.turn, b.turn), cmp.Compare(a.arrived, b.arrived))
}

// class identifies the requests of a customer that take turns with those of others.
type class struct {
	customer string
	priority int
}

// order returns the waiting requests in the expected order of service.
func (q *Queue[V]) order(s State) []rank[V] {
	byArrival := slices.Clone(q.entries)
	slices.SortStableFunc(byArrival, func(a, b *Entry[V]) int { return cmp.Compare(a.Arrived, b.Arrived) })
	list := make([]rank[V], 0, len(byArrival))
	turns := map[class]int{}
	for _, e := range byArrival {
		c := class{e.Customer, e.Priority}
		list = append(list, rank[V]{s.Now > e.LatestStart, e.Priority, s.InUse(e.Customer) + turns[c], e.Arrived, e})
		turns[c]++
	}
	slices.SortStableFunc(list, rank[V].compare)
	return list
}

// arrivalRank returns the rank of a request that is not in the queue.
func (q *Queue[V]) arrivalRank(r Request, s State) rank[V] {
	turn := s.InUse(r.Customer)
	for _, e := range q.entries {
		if e.Customer == r.Customer && e.Priority == r.Priority && e.Arrived <= r.Arrived {
			turn++
		}
	}
	return rank[V]{s.Now > r.LatestStart, r.Priority, turn, r.Arrived, nil}
}
