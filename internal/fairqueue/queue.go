// Package fairqueue shares the execution slots of one backend server among
// customers by deficit round robin with weights.
//
// The unit of cost is slot time. A customer's credit is charged with an
// estimate when a statement starts and corrected when its service time is
// known, so a customer with long statements gets no more than its share.
//
// Queue is the plain decision: the caller passes the clock. Gate puts it in
// front of a number of slots and is safe for concurrent use.
package fairqueue

import (
	"time"

	"chicoryline/internal/errkind"
)

// Quantum is the slot time that a customer of weight 1 earns in each round.
const Quantum = time.Millisecond

// MinCost is the least slot time charged for one statement.
const MinCost = 50 * time.Microsecond

// Ticket names one waiting entry; the caller picks it.
type Ticket uint64

// Limits bound the number of waiting entries.
type Limits struct {
	PerCustomer int // entries of one customer
	Total       int // entries of all customers
}

// Stats counts the entries of one customer since the queue was made.
type Stats struct {
	Served   uint64 // popped, or started without waiting
	Waited   uint64 // accepted into the queue
	Rejected uint64 // refused on arrival, or expired
}

// entry is one waiting statement. It lies in its customer's list of arrivals
// and in the queue's list of deadlines.
type entry struct {
	customer                   *customer
	ticket                     Ticket
	cost                       time.Duration
	deadline                   time.Time
	next, prev                 *entry
	prevDeadline, nextDeadline *entry
}

// customer is the state of one customer. credit is what it may still use in
// the present round; a negative credit is a debt.
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

// Queue orders waiting entries. One goroutine owns it. Push, Pop and Remove
// take constant time while debts are below one round; Pop makes one pass over
// the waiting customers when all of them are in debt. Push walks the list of
// deadlines from its end, which is one step if all entries get the same allowance.
type Queue struct {
	limits    Limits
	customers map[string]*customer
	entries   map[Ticket]*entry
	freeList  *entry

	current     *customer // ring of the customers with entries
	activeCount int
	size        int

	firstDeadline, lastDeadline *entry // by deadline
	expired                     []Ticket

	busyPeriod uint64  // rises when the queue empties: debts end with it
	rounds     float64 // rounds made since the queue was made
}

// NewQueue returns an empty queue.
func NewQueue(limits Limits) *Queue {
	return &Queue{limits: limits, customers: map[string]*customer{}, entries: map[Ticket]*entry{}}
}

// Len returns the number of waiting entries.
func (q *Queue) Len() int { return q.size }

// Push adds an entry with the expected slot time of its statement and the
// admission deadline. A weight below 1 counts as 1. It fails with
// errkind.QueueFull, and then nothing was added.
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

// Pop takes the next entry to run at the time now. It never returns an entry
// whose deadline has passed; Expire reports those.
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

// Expire takes out the entries whose deadline is not after now.
func (q *Queue) Expire(now time.Time) []Ticket {
	q.collectExpired(now)
	list := q.expired
	q.expired = nil
	return list
}

// Remove takes out a waiting entry and reports whether it was still there.
func (q *Queue) Remove(ticket Ticket) bool {
	e := q.entries[ticket]
	if e == nil {
		return false
	}
	q.removeEntry(e)
	return true
}

// Charge corrects a customer's credit once the true slot time is known: used
// is the measured time, expected the cost that Push or Start was given.
func (q *Queue) Charge(name string, used, expected time.Duration) {
	c := q.customers[name]
	if c == nil || c.busyPeriod != q.busyPeriod {
		return
	}
	q.updateCredit(c)
	c.credit -= max(used, MinCost) - max(expected, MinCost)
}

// Start counts a statement that runs without waiting.
func (q *Queue) Start(name string, weight int, cost time.Duration) {
	c := q.customer(name, weight)
	q.updateCredit(c)
	c.credit -= max(cost, MinCost)
	c.stats.Served++
}

// Reject counts a refusal that the caller decided.
func (q *Queue) Reject(name string) {
	if c := q.customers[name]; c != nil {
		c.stats.Rejected++
	}
}

// Stats returns the counts of all customers seen.
func (q *Queue) Stats() map[string]Stats {
	all := make(map[string]Stats, len(q.customers))
	for name, c := range q.customers {
		all[name] = c.stats
	}
	return all
}

// Forget drops the counts and the debt of a customer with no waiting entries.
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
