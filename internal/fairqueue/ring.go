package fairqueue

import (
	"math"
	"time"
)

// quantum is what the customer earns in each round.
func (c *customer) quantum() time.Duration { return time.Duration(c.weight) * Quantum }

// refresh ends a debt of an earlier busy period and pays off a debt with the
// rounds that others have had since the customer left the ring.
func (q *Queue) refresh(c *customer) {
	if c.busyPeriod != q.busyPeriod {
		c.busyPeriod = q.busyPeriod
		c.credit = 0
		c.leftAt = q.rounds
	}
	if c.length > 0 {
		return
	}
	earned := (q.rounds - c.leftAt) * float64(c.quantum())
	c.leftAt = q.rounds
	if earned >= float64(-c.credit) {
		c.credit = 0
		return
	}
	c.credit += time.Duration(earned)
}

// activate puts the customer at the end of the ring. One without a debt may
// run in its first visit.
func (q *Queue) activate(c *customer) {
	q.refresh(c)
	if c.credit >= 0 {
		c.credit = c.quantum()
	}
	q.active++
	if q.current == nil {
		c.next, c.prev = c, c
		q.current = c
		return
	}
	c.next, c.prev = q.current, q.current.prev
	c.prev.next, c.next.prev = c, c
}

// deactivate takes a customer without entries out of the ring. It keeps a
// debt and loses a credit.
func (q *Queue) deactivate(c *customer) {
	q.rounds += 1 / float64(q.active)
	q.active--
	if q.active == 0 {
		q.current = nil
	} else {
		c.prev.next, c.next.prev = c.next, c.prev
		if q.current == c {
			q.current = c.next
		}
	}
	c.next, c.prev = nil, nil
	c.credit = min(c.credit, 0)
	c.leftAt = q.rounds
	if q.size == 0 {
		q.busyPeriod++
	}
}

// seekCredit moves the ring to the next customer with credit.
func (q *Queue) seekCredit() {
	for visited := 0; q.current.credit <= 0; visited++ {
		if visited == q.active {
			q.skipRounds()
			visited = 0
		}
		q.current.credit += q.current.quantum()
		q.current = q.current.next
		q.rounds += 1 / float64(q.active)
	}
}

// skipRounds grants at once the whole rounds in which nobody could run.
func (q *Queue) skipRounds() {
	least := int64(math.MaxInt64)
	c := q.current
	for range q.active {
		least = min(least, max(0, int64(-c.credit/c.quantum())))
		c = c.next
	}
	for range q.active {
		c.credit += time.Duration(least) * c.quantum()
		c = c.next
	}
	q.rounds += float64(least)
}

// drop unlinks the entry from all lists.
func (q *Queue) drop(e *entry) {
	c := e.owner
	if e.prev != nil {
		e.prev.next = e.next
	} else {
		c.head = e.next
	}
	if e.next != nil {
		e.next.prev = e.prev
	} else {
		c.tail = e.prev
	}
	c.length--
	q.size--
	delete(q.entries, e.ticket)
	q.unlinkDeadline(e)
	if c.length == 0 {
		q.deactivate(c)
	}
	*e = entry{next: q.free}
	q.free = e
}

func (q *Queue) newEntry() *entry {
	if q.free == nil {
		return &entry{}
	}
	e := q.free
	q.free = e.next
	return e
}

func (q *Queue) linkDeadline(e *entry) {
	after := q.last
	for after != nil && after.deadline.After(e.deadline) {
		after = after.earlier
	}
	e.earlier = after
	if after != nil {
		e.later = after.later
		after.later = e
	} else {
		e.later = q.first
		q.first = e
	}
	if e.later != nil {
		e.later.earlier = e
	} else {
		q.last = e
	}
}

func (q *Queue) unlinkDeadline(e *entry) {
	if e.earlier != nil {
		e.earlier.later = e.later
	} else {
		q.first = e.later
	}
	if e.later != nil {
		e.later.earlier = e.earlier
	} else {
		q.last = e.earlier
	}
}

// collect moves the entries whose deadline is not after now to q.expired.
func (q *Queue) collect(now time.Time) {
	for q.first != nil && !q.first.deadline.After(now) {
		e := q.first
		e.owner.stats.Rejected++
		q.expired = append(q.expired, e.ticket)
		q.drop(e)
	}
}
