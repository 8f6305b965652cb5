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
	// askTimeout bounds a call to a home. A VM with an eighth of a core that decodes a new
	// configuration does not answer for up to 150 ms.
	askTimeout = 200 * time.Millisecond
	// homeBackoff is how long a home that did not answer is not asked again. Meanwhile a VM
	// rejects most operations of its customers.
	homeBackoff = 500 * time.Millisecond
)

// AskArgs holds the customer of one operation.
type AskArgs struct{ Customer string }

// AskReply reports whether the operation is admitted or when to retry. Known is false if the
// home has no limits for the customer.
type AskReply struct {
	Known, Admitted bool
	RetryAfter      time.Duration
}

// Service is the net/rpc service of a limiter, registered as "Rate".
type Service struct{ homes *Homes }

// NewService returns the RPC service of the VM's limiter.
func NewService(h *Homes) *Service { return &Service{h} }

// Ask admits one operation of a customer whose home is this VM.
func (s *Service) Ask(args *AskArgs, reply *AskReply) error {
	var c access.Customer
	if c, reply.Known = s.homes.local.customer(args.Customer); reply.Known {
		reply.RetryAfter, reply.Admitted = s.homes.admitLocally(c)
	}
	return nil
}

// customer returns the configured limits of the named customer.
func (l *Limiter) customer(name string) (access.Customer, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[name]
	if b == nil {
		return access.Customer{}, false
	}
	return b.customer, true
}

// Homes admits operations at the customer's home VM.
//
// Load pattern: in a large fleet the operations of a small customer are spread over dozens of
// VMs, and the share of each VM is less than a whole token. At a single VM they arrive as
// evenly as the customer sends them. If the home does not answer, the VM decides within its
// own share. The mutex guards backoffUntil.
type Homes struct {
	local *Limiter
	calls peer.Caller
	// find returns the address of the customer's home; it is false if this VM decides itself.
	find func(customer string) (address string, remote bool)
	log  *logrus.Entry
	// borrower is nil if no loans are made.
	borrower *borrower

	mu           sync.Mutex
	backoffUntil map[string]boottime.Time
}

// NewHomes returns a Homes that asks the home returned by find.
func NewHomes(local *Limiter, calls peer.Caller, find func(string) (string, bool), log *logrus.Entry) *Homes {
	return &Homes{local: local, calls: calls, find: find, log: log, backoffUntil: map[string]boottime.Time{}}
}

// BorrowFrom makes homes borrow operations from the customer's homes in other cells, whose
// addresses lenders returns. It must be called before the first operation.
func (h *Homes) BorrowFrom(lenders func(customer string) []string) {
	h.borrower = &borrower{limiter: h.local, calls: h.calls, lenders: lenders, log: h.log, inFlight: map[string]*loanCall{}, next: map[string]int{}, backoffUntil: map[string]boottime.Time{}}
}

// admitLocally admits one operation at this VM, if necessary with a loan of another cell.
func (h *Homes) admitLocally(c access.Customer) (time.Duration, bool) {
	if h.local.tryAdmit(c, false) || h.borrower != nil && h.borrower.borrow(c) && h.local.tryAdmit(c, true) {
		return 0, true
	}
	return h.local.rejected(c), false
}

// AdmitName admits one operation of a customer whose connections this VM owns. It asks the
// single home of a small customer, and decides for others itself.
func (h *Homes) AdmitName(name string) (retryAfter time.Duration, admitted, known bool) {
	c, known := h.local.customer(name)
	if !known {
		return 0, false, false
	}
	if h.local.HasOneHome(name) {
		retryAfter, admitted = h.Admit(c)
	} else {
		retryAfter, admitted = h.admitLocally(c)
	}
	return retryAfter, admitted, true
}

// Admit admits one operation, or returns when to retry.
func (h *Homes) Admit(c access.Customer) (time.Duration, bool) {
	address, remote := h.find(c.Name)
	if !remote || h.isBackedOff(address) {
		return h.admitLocally(c)
	}
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	var reply AskReply
	err := h.calls.Call(ctx, address, "Rate.Ask", &AskArgs{c.Name}, &reply)
	if err != nil {
		h.backOff(address, err)
	}
	if err != nil || !reply.Known {
		return h.local.Admit(c)
	}
	return reply.RetryAfter, reply.Admitted
}

func (h *Homes) isBackedOff(address string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return boottime.Now() < h.backoffUntil[address]
}

func (h *Homes) backOff(address string, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := boottime.Now()
	if now >= h.backoffUntil[address] {
		h.log.WithError(err).WithFields(logrus.Fields{"event": "rate_home", "address": address}).Warn("rate home did not answer")
	}
	h.backoffUntil[address] = now.Add(homeBackoff)
}
