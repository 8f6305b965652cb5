// Package fairqueue shares the execution slots of one backend server among customers by
// weighted deficit round robin.
//
// Costs are measured in slot time. A customer's credit, the deficit counter of the
// algorithm, is charged with an estimate when a statement starts and corrected when its
// service time is known. A customer with long statements therefore gets no more than its
// share.
//
// Queue implements the scheduling and gets the current time as an argument. Gate limits
// the number of running statements with a Queue and is safe for concurrent use.
package fairqueue

import (
	"time"

	"chicoryline/internal/errkind"
)

// Quantum is the slot time that a customer of weight 1 is credited in each round.
const Quantum = time.Millisecond

// MinCost is the minimum slot time charged for one statement.
const MinCost = 50 * time.Microsecond

// Ticket identifies one waiting entry; the caller assigns it.
type Ticket uint64

// Limits limits the number of waiting entries.
type Limits struct {
	PerCustomer int // entries of one customer
	Total       int // entries of all customers
}

// Stats counts the entries of one customer since the queue was created.
type Stats struct {
	Served   uint64 // popped, or started without waiting
	Waited   uint64 // accepted into the queue
	Rejected uint64 // rejected on arrival, or expired
}

// entry is one waiting statement. It is an element of its customer's list in arrival
// order (next, prev) and of the queue's list in deadline order.
type entry struct {
	customer                   *customer
	ticket                     Ticket
	cost                       time.Duration
	deadline                   time.Time
	next, prev                 *entry
	prevDeadline, nextDeadline *entry
}

// customer is the state of one customer. credit is the slot time it may still use in the
// current round; a negative credit is a debt. roundsSeen is the value of Queue.rounds when
// the customer left the ring or its debt was last reduced.
type customer struct {
	name       string
	weight     int
	credit     time.Duration
	busyPeriod uint64
	roundsSeen float64
	head, tail *entry
	length     int
	next, prev *customer
	stats      Stats
}

// Queue orders waiting entries. It is not safe for concurrent use. Push, Pop and Remove
// take constant time while debts are below one round; Pop makes one pass over the waiting
// customers if all of them are in debt. Push walks the list of deadlines from its end,
// which is a single step if all entries have the same queue timeout.
type Queue struct {
	limits    Limits
	customers map[string]*customer
	entries   map[Ticket]*entry
	freeList  *entry

	current     *customer // position in the ring of customers with entries
	activeCount int
	size        int

	firstDeadline, lastDeadline *entry // ordered by deadline
	expired                     []Ticket

	busyPeriod uint64  // incremented when the queue becomes empty, which clears all debts
	rounds     float64 // rounds completed since the queue was created
}

// NewQueue returns an empty queue.
func NewQueue(limits Limits) *Queue {
	return &Queue{limits: limits, customers: map[string]*customer{}, entries: map[Ticket]*entry{}}
}

// Len returns the number of waiting entries.
func (q *Queue) Len() int { return q.size }

// Push adds an entry with the expected slot time of its statement and its admission
// deadline. A weight below 1 counts as 1. If a limit is reached, Push adds nothing and
// fails with errkind.QueueFull.
func (q *Queue) Push(name string, weight int, cost time.Duration, deadline time.Time, ticket Ticket) error {
	c := q.customer(name, weight)
	if c.length >= q.limits.PerCustomer || q.size >= q.limits.Total {
		c.stats.Rejected++
		return errkind.New(errkind.QueueFull, "customer %s has %d of %d entries", name, c.length, q.size)
	}
	e := q.newEntry()
	*e = entry{customer: c, ticket: ticket, cost: max(cost, MinCost), deadline: deadline, prev: c.tail}
	if c.tail != nil {
		c.tail.next = e
	} else {
		c.head = e
		q.activate(c)
	}
	c.tail = e
	c.length++
	c.stats.Waited++
	q.size++
	q.entries[ticket] = e
	q.linkDeadline(e)
	return nil
}

// Pop removes and returns the next entry to run. It never returns an entry whose deadline
// has passed; Expire returns those.
func (q *Queue) Pop(now time.Time) (Ticket, bool) {
	q.collectExpired(now)
	if q.size == 0 {
		return 0, false
	}
	q.advanceToCredit()
	c := q.current
	e := c.head
	c.credit -= e.cost
	c.stats.Served++
	ticket := e.ticket
	q.removeEntry(e)
	return ticket, true
}

// Expire removes and returns the entries whose deadline is not after now.
func (q *Queue) Expire(now time.Time) []Ticket {
	q.collectExpired(now)
	list := q.expired
	q.expired = nil
	return list
}

// Remove removes a waiting entry and reports whether it was still in the queue.
func (q *Queue) Remove(ticket Ticket) bool {
	e := q.entries[ticket]
	if e == nil {
		return false
	}
	q.removeEntry(e)
	return true
}

// Charge corrects a customer's credit when the actual slot time is known: used is the
// measured time, expected the cost passed to Push or Start.
func (q *Queue) Charge(name string, used, expected time.Duration) {
	c := q.customers[name]
	if c == nil || c.busyPeriod != q.busyPeriod {
		return
	}
	q.updateCredit(c)
	c.credit -= max(used, MinCost) - max(expected, MinCost)
}

// Start charges and counts a statement that runs without waiting.
func (q *Queue) Start(name string, weight int, cost time.Duration) {
	c := q.customer(name, weight)
	q.updateCredit(c)
	c.credit -= max(cost, MinCost)
	c.stats.Served++
}

// Reject counts an entry that the caller has rejected.
func (q *Queue) Reject(name string) {
	if c := q.customers[name]; c != nil {
		c.stats.Rejected++
	}
}

// Stats returns the counts of all known customers.
func (q *Queue) Stats() map[string]Stats {
	all := make(map[string]Stats, len(q.customers))
	for name, c := range q.customers {
		all[name] = c.stats
	}
	return all
}

// Forget removes the counts and the debt of a customer without waiting entries.
func (q *Queue) Forget(name string) {
	if c := q.customers[name]; c != nil && c.length == 0 {
		delete(q.customers, name)
	}
}

func (q *Queue) customer(name string, weight int) *customer {
	c := q.customers[name]
	if c == nil {
		c = &customer{name: name, busyPeriod: q.busyPeriod}
		q.customers[name] = c
	}
	c.weight = max(weight, 1)
	return c
}
