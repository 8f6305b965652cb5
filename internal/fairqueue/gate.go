package fairqueue

import (
	"context"
	"sync"
	"time"

	"chicoryline/internal/errkind"
)

// averageShift sets the weight of a new service time in a customer's moving average:
// 1/2^averageShift.
const averageShift = 3

// Gate limits the number of concurrently running statements and admits them in the order
// of its Queue. Its mutex guards the fields below it.
type Gate struct {
	now func() time.Time

	mu           sync.Mutex
	queue        *Queue
	slots        int
	running      int
	lastTicket   Ticket
	waiters      map[Ticket]*waiter
	serviceTimes map[string]time.Duration
}

// waiter is one blocked Acquire. done is closed when the entry has got a slot, in which
// case granted is set, or has expired.
type waiter struct {
	done    chan struct{}
	granted bool
}

// NewGate returns a gate with the given number of slots.
func NewGate(slots int, limits Limits, now func() time.Time) *Gate {
	return &Gate{
		now:          now,
		queue:        NewQueue(limits),
		slots:        slots,
		waiters:      map[Ticket]*waiter{},
		serviceTimes: map[string]time.Duration{},
	}
}

// Acquire waits for a slot until the deadline. The caller must call release as soon as
// the statement has ended; further calls have no effect. Acquire fails with
// errkind.QueueFull, errkind.QueueTimeout (deadline passed) or errkind.Canceled (context
// ended); in each case nothing ran.
func (g *Gate) Acquire(ctx context.Context, customer string, weight int, deadline time.Time) (release func(), err error) {
	if ctx.Err() != nil {
		return nil, errkind.New(errkind.Canceled, "customer %s", customer)
	}
	g.mu.Lock()
	cost := g.expectedCost(customer)
	if !deadline.After(g.now()) {
		g.mu.Unlock()
		return nil, errkind.New(errkind.QueueTimeout, "customer %s arrived after its deadline", customer)
	}
	if g.running < g.slots && g.queue.Len() == 0 {
		g.running++
		g.queue.Start(customer, weight, cost)
		g.mu.Unlock()
		return g.releaseFunc(customer, cost), nil
	}
	g.lastTicket++
	ticket := g.lastTicket
	if err := g.queue.Push(customer, weight, cost, deadline, ticket); err != nil {
		g.mu.Unlock()
		return nil, err
	}
	w := &waiter{done: make(chan struct{})}
	g.waiters[ticket] = w
	g.mu.Unlock()
	return g.wait(ctx, customer, cost, deadline, ticket, w)
}

// SetSlots changes the number of slots. Running statements keep their slots.
func (g *Gate) SetSlots(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.slots = max(n, 0)
	g.dispatch()
}

// Stats returns the counts of each customer.
func (g *Gate) Stats() map[string]Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Stats()
}

// Load returns the number of running and of waiting statements.
func (g *Gate) Load() (running, waiting int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running, g.queue.Len()
}

func (g *Gate) wait(ctx context.Context, customer string, cost time.Duration, deadline time.Time, ticket Ticket, w *waiter) (func(), error) {
	timer := time.NewTimer(deadline.Sub(g.now()))
	defer timer.Stop()
	kind := errkind.QueueTimeout
	select {
	case <-w.done:
		if w.granted {
			return g.releaseFunc(customer, cost), nil
		}
	case <-timer.C:
	case <-ctx.Done():
		kind = errkind.Canceled
	}
	if g.cancelWait(customer, ticket, w) {
		return g.releaseFunc(customer, cost), nil
	}
	return nil, errkind.New(kind, "customer %s waited in the queue", customer)
}

// cancelWait ends a wait and reports whether the entry had already got a slot.
func (g *Gate) cancelWait(customer string, ticket Ticket, w *waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if w.granted {
		return true
	}
	delete(g.waiters, ticket)
	if g.queue.Remove(ticket) {
		g.queue.Reject(customer)
	}
	return false
}

func (g *Gate) releaseFunc(customer string, cost time.Duration) func() {
	start := g.now()
	var once sync.Once
	return func() {
		once.Do(func() { g.release(customer, g.now().Sub(start), cost) })
	}
}

func (g *Gate) release(customer string, used, cost time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	g.queue.Charge(customer, used, cost)
	g.updateEstimate(customer, used)
	g.dispatch()
}

// dispatch expires overdue entries and starts waiting entries while slots are free.
func (g *Gate) dispatch() {
	now := g.now()
	for _, ticket := range g.queue.Expire(now) {
		g.notify(ticket, false)
	}
	for g.running < g.slots {
		ticket, ok := g.queue.Pop(now)
		if !ok {
			return
		}
		g.running++
		g.notify(ticket, true)
	}
}

func (g *Gate) notify(ticket Ticket, granted bool) {
	w := g.waiters[ticket]
	delete(g.waiters, ticket)
	w.granted = granted
	close(w.done)
}

// expectedCost returns the expected service time of the customer's next statement.
func (g *Gate) expectedCost(customer string) time.Duration {
	return max(g.serviceTimes[customer], MinCost)
}

func (g *Gate) updateEstimate(customer string, used time.Duration) {
	old, known := g.serviceTimes[customer]
	if !known {
		g.serviceTimes[customer] = used
		return
	}
	g.serviceTimes[customer] = old + (used-old)>>averageShift
}
