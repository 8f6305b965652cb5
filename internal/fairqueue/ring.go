package fairqueue

import (
	"math"
	"time"
)

// quantum returns the slot time that the customer is credited in each round.
func (c *customer) quantum() time.Duration { return time.Duration(c.weight) * Quantum }

// updateCredit clears a debt from an earlier busy period and reduces a debt by the rounds
// that were completed since the customer left the ring.
func (q *Queue) updateCredit(c *customer) {
	if c.busyPeriod != q.busyPeriod {
		c.busyPeriod = q.busyPeriod
		c.credit = 0
		c.roundsSeen = q.rounds
	}
	if c.length > 0 {
		return
	}
	earned := (q.rounds - c.roundsSeen) * float64(c.quantum())
	c.roundsSeen = q.rounds
	if earned >= float64(-c.credit) {
		c.credit = 0
		return
	}
	c.credit += time.Duration(earned)
}

// activate adds the customer at the end of the ring. A customer without a debt may run on
// its first visit.
func (q *Queue) activate(c *customer) {
	q.updateCredit(c)
	if c.credit >= 0 {
		c.credit = c.quantum()
	}
	q.activeCount++
	if q.current == nil {
		c.next, c.prev = c, c
		q.current = c
		return
	}
	c.next, c.prev = q.current, q.current.prev
	c.prev.next, c.next.prev = c, c
}

// deactivate removes a customer without entries from the ring. The customer keeps its
// debt and loses its credit.
func (q *Queue) deactivate(c *customer) {
	q.rounds += 1 / float64(q.activeCount)
	q.activeCount--
	if q.activeCount == 0 {
		q.current = nil
	} else {
		c.prev.next, c.next.prev = c.next, c.prev
		if q.current == c {
			q.current = c.next
		}
	}
	c.next, c.prev = nil, nil
	c.credit = min(c.credit, 0)
	c.roundsSeen = q.rounds
	if q.size == 0 {
		q.busyPeriod++
	}
}

// advanceToCredit advances the ring to the next customer with credit.
func (q *Queue) advanceToCredit() {
	for visited := 0; q.current.credit <= 0; visited++ {
		if visited == q.activeCount {
			q.skipRounds()
			visited = 0
		}
		q.current.credit += q.current.quantum()
		q.current = q.current.next
		q.rounds += 1 / float64(q.activeCount)
	}
}

// skipRounds credits all customers at once with the full rounds in which none could run.
func (q *Queue) skipRounds() {
	rounds := int64(math.MaxInt64)
	c := q.current
	for range q.activeCount {
		rounds = min(rounds, max(0, int64(-c.credit/c.quantum())))
		c = c.next
	}
	for range q.activeCount {
		c.credit += time.Duration(rounds) * c.quantum()
		c = c.next
	}
	q.rounds += float64(rounds)
}

// removeEntry removes the entry from all lists.
func (q *Queue) removeEntry(e *entry) {
	c := e.customer
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
	*e = entry{next: q.freeList}
	q.freeList = e
}

func (q *Queue) newEntry() *entry {
	if q.freeList == nil {
		return &entry{}
	}
	e := q.freeList
	q.freeList = e.next
	return e
}

func (q *Queue) linkDeadline(e *entry) {
	after := q.lastDeadline
	for after != nil && after.deadline.After(e.deadline) {
		after = after.prevDeadline
	}
	e.prevDeadline = after
	if after != nil {
		e.nextDeadline = after.nextDeadline
		after.nextDeadline = e
	} else {
		e.nextDeadline = q.firstDeadline
		q.firstDeadline = e
	}
	if e.nextDeadline != nil {
		e.nextDeadline.prevDeadline = e
	} else {
		q.lastDeadline = e
	}
}

func (q *Queue) unlinkDeadline(e *entry) {
	if e.prevDeadline != nil {
		e.prevDeadline.nextDeadline = e.nextDeadline
	} else {
		q.firstDeadline = e.nextDeadline
	}
	if e.nextDeadline != nil {
		e.nextDeadline.prevDeadline = e.prevDeadline
	} else {
		q.lastDeadline = e.prevDeadline
	}
}

// collectExpired moves the entries whose deadline is not after now to q.expired.
func (q *Queue) collectExpired(now time.Time) {
	for q.firstDeadline != nil && !q.firstDeadline.deadline.After(now) {
		e := q.firstDeadline
		e.customer.stats.Rejected++
		q.expired = append(q.expired, e.ticket)
		q.removeEntry(e)
	}
}
