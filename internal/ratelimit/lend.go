package ratelimit

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"chicoryline/internal/access"
	"chicoryline/internal/boottime"
	"chicoryline/internal/peer"
)

const (
	// loanLifetime is how long borrowed operations may be used. A window may hold those lent up
	// to this long before it began.
	loanLifetime = 300 * time.Millisecond
	// loanDemandTime is the time for whose demand a home borrows at once, and for whose demand
	// a lender keeps operations back.
	loanDemandTime = 200 * time.Millisecond
	// loanBackoff is how long a home does not borrow again after no cell had room: a customer
	// above its limit would cost a call for each operation.
	loanBackoff = 200 * time.Millisecond
	// loanTimeout bounds one call for a loan, maxLenders the number of calls: the operation waits,
	// and its latency objective is 150 ms or more.
	loanTimeout = 40 * time.Millisecond
	maxLenders  = 2
)

// LendArgs asks a customer's home in another cell for operations of its share.
type LendArgs struct {
	Customer string
	Count    int
}

// LendReply is the number of operations lent, taken from the tokens of the lender's cell.
type LendReply struct{ Count int }

// Lend implements the call of another cell's home.
func (s *Service) Lend(args *LendArgs, reply *LendReply) error {
	reply.Count = s.homes.local.lend(args.Customer, args.Count)
	return nil
}

// lend takes up to count operations of a customer out of this cell's share and returns how many.
// Operations that the cell's own callers are expected to need within loanDemandTime are kept.
func (l *Limiter) lend(customer string, count int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[customer]
	if b == nil || l.cells == nil || l.isSmall(b.customer) || !l.cells.IsHome(customer) {
		return 0
	}
	l.fill(b)
	l.cellAllowance(b)
	kept := b.home.cellDemand() * loanDemandTime.Seconds()
	count = min(count, int(b.home.tokens-kept))
	if count <= 0 {
		return 0
	}
	b.home.tokens -= float64(count)
	return count
}

// missingLoan returns how many operations the customer's home should borrow after it rejected
// one, or 0 if the customer's home is another VM.
func (l *Limiter) missingLoan(customer string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[customer]
	if b == nil || l.cells == nil || l.cells.Total < 2 || l.isSmall(b.customer) || !l.cells.IsHome(customer) {
		return 0
	}
	l.fill(b)
	return 1 + int(b.home.cellDemand()*loanDemandTime.Seconds())
}

// addLoan adds operations that were lent after the given time.
func (l *Limiter) addLoan(customer string, count int, since boottime.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[customer]
	if b == nil {
		return
	}
	if l.now() >= b.home.loanUntil {
		b.home.loan = 0
	}
	b.home.loan += count
	b.home.loanUntil = since.Add(loanLifetime)
}

// useLoan takes one borrowed operation. The mutex is held.
func (h *homeState) useLoan(now boottime.Time) bool {
	if h.loan <= 0 || now >= h.loanUntil {
		return false
	}
	h.loan--
	return true
}

// cellDemand returns the newest known demand of the cell in operations per second.
func (h *homeState) cellDemand() float64 {
	if n := len(h.demandHistory); n > 0 {
		return h.demandHistory[n-1]
	}
	return 0
}

// borrower borrows from customers' homes in other cells. Concurrent requests for one customer
// share a loan. The mutex guards the fields below it.
//
// Load pattern: the callers of a customer move between failure domains or come in waves. The
// cell that they use has used up its share, which follows the demand with a delay of some
// seconds, while the shares of other cells are unused.
type borrower struct {
	limiter *Limiter
	calls   peer.Caller
	// lenders returns the addresses of the customer's homes in other cells.
	lenders func(customer string) []string
	log     *logrus.Entry

	mu       sync.Mutex
	inFlight map[string]*loanCall
	// next is the cell to ask first by customer: the one that lent last, or the first one that
	// was not asked.
	next         map[string]int
	backoffUntil map[string]boottime.Time
}

// borrow borrows operations for the customer and reports whether it is worth trying again.
func (o *borrower) borrow(c access.Customer) bool {
	o.mu.Lock()
	if o.limiter.now() < o.backoffUntil[c.Name] {
		o.mu.Unlock()
		return false
	}
	if call := o.inFlight[c.Name]; call != nil {
		o.mu.Unlock()
		<-call.done
		return call.found
	}
	call := &loanCall{done: make(chan struct{})}
	o.inFlight[c.Name] = call
	first := o.next[c.Name]
	o.mu.Unlock()
	next, found := o.ask(c.Name, first)
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.inFlight, c.Name)
	call.found = found
	close(call.done)
	o.next[c.Name] = next
	if !found {
		o.backoffUntil[c.Name] = o.limiter.now().Add(loanBackoff)
	}
	return found
}

// loanCall is a loan in progress. found may be read once done is closed.
type loanCall struct {
	done  chan struct{}
	found bool
}

// ask asks up to maxLenders cells in turn, starting with the given one, and returns the cell to ask
// first next time.
func (o *borrower) ask(customer string, first int) (next int, found bool) {
	count := o.limiter.missingLoan(customer)
	if count == 0 {
		return first, false
	}
	addresses := o.lenders(customer)
	for i := range min(len(addresses), maxLenders) {
		lender := (first + i) % len(addresses)
		sent := o.limiter.now()
		ctx, cancel := context.WithTimeout(context.Background(), loanTimeout)
		var reply LendReply
		err := o.calls.Call(ctx, addresses[lender], "Rate.Lend", &LendArgs{customer, count}, &reply)
		cancel()
		if err != nil {
			o.log.WithError(err).WithFields(logrus.Fields{"event": "rate_home", "address": addresses[lender]}).Debug("no loan")
			continue
		}
		if reply.Count > 0 {
			o.limiter.addLoan(customer, reply.Count, sent)
			return lender, true
		}
	}
	return first + maxLenders, false
}
