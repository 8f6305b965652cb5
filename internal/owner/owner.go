// Package owner runs single statements of a customer at the VM of the cell that owns
// the customer's backend connections and admits its operations.
//
// Load pattern: a backend connection serves one customer, and a VM of a large fleet may
// have about one to each server. Callers of all customers come to all VMs, so that
// nearly every statement would open a connection, which takes a slot of the server for
// as long as a statement does. At its owner a customer finds its connection open.
package owner

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"chicoryline/internal/access"
	"chicoryline/internal/boottime"
	"chicoryline/internal/connset"
	"chicoryline/internal/dispatch"
	"chicoryline/internal/errkind"
	"chicoryline/internal/peer"
	"chicoryline/internal/position"
	"chicoryline/internal/statement"
)

const (
	// silentTime is how long an owner may leave all calls of this VM unanswered before
	// statements run here: above the time of nearly all statements.
	silentTime = 500 * time.Millisecond
	// avoidTime is how long an owner that could not be reached is not asked.
	avoidTime = time.Second
	// answerGrace is how long after the time limit of a statement the owner's refusal
	// is awaited: a round trip within the failure domain.
	answerGrace = 20 * time.Millisecond
)

// RunArgs is a statement to run. Times are from now on: clocks are not compared.
type RunArgs struct {
	Customer, Group string
	Mode            dispatch.Mode
	// MaxAge is how old the data may be that a stale read sees, Own what it has to see.
	MaxAge   time.Duration
	Own      position.Position
	Priority int
	Values   map[string]string
	Prepared *connset.Prepared
	ID, Text string
	// Deadline is the rest of the time limit, Useful that of the latency objective.
	Deadline, Useful time.Duration
}

// RunReply is the answer, or the refusal if Failed is set. Known is false if the VM
// does not know the customer; nothing ran then.
type RunReply struct {
	Known     bool
	Rows      []string
	Signature string
	Position  position.Position
	Failed    bool
	Kind      errkind.Kind
	Detail    string
}

// Limiter admits operations of customers by name.
type Limiter interface {
	AdmitName(customer string) (retryAfter time.Duration, admitted, known bool)
}

// Service is the net/rpc face of an owner, registered as "Owner".
type Service struct {
	limiter Limiter
	router  *dispatch.Router
}

// NewService returns the service.
func NewService(l Limiter, r *dispatch.Router) *Service { return &Service{l, r} }

// Run admits and runs one statement of another VM's caller.
func (s *Service) Run(args *RunArgs, reply *RunReply) error {
	now := boottime.Now()
	wait, admitted, known := s.limiter.AdmitName(args.Customer)
	if reply.Known = known; !known {
		return nil
	}
	if !admitted {
		reply.refuse(errkind.New(errkind.OverRate, "retry after %d ms", wait.Milliseconds()))
		return nil
	}
	call := &dispatch.Call{
		Customer: args.Customer, Priority: args.Priority, Arrived: now,
		Deadline: now.Add(args.Deadline), LatencyDeadline: now.Add(args.Useful),
		SessionState: connset.SessionState{Values: args.Values, Prepared: args.Prepared},
		Command:      statement.Command{ID: args.ID, Text: args.Text},
	}
	r, err := s.router.Group(args.Group).RunSingle(args.Mode, call, now.Add(-args.MaxAge), args.Own)
	if err != nil {
		reply.refuse(err)
		return nil
	}
	reply.Rows, reply.Signature, reply.Position = r.Rows, r.Signature, r.Position
	return nil
}

func (r *RunReply) refuse(err error) {
	r.Failed, r.Kind, r.Detail = true, errkind.KindOf(err), err.Error()
	if e, ok := errkind.As(err); ok {
		r.Detail = e.Detail
	}
}

// Owners sends statements to the owners of customers. The mutex guards links.
type Owners struct {
	calls peer.Caller
	// find returns the owner's address; it is false if this VM is the owner, or runs
	// statements itself.
	find func(customer string) (address string, remote bool)
	log  *logrus.Entry

	mu    sync.Mutex
	links map[string]*link
}

// link is what is known of the calls to one owner.
type link struct {
	outstanding int
	// waiting is when the oldest call was sent that nothing has been answered since.
	waiting boottime.Time
	avoided boottime.Time
}

// New returns a sender to the owners that find names.
func New(calls peer.Caller, find func(string) (string, bool), log *logrus.Entry) *Owners {
	return &Owners{calls: calls, find: find, log: log, links: map[string]*link{}}
}

// Run runs the statement at the customer's owner. taken is false if none did: nothing
// of the statement ran, or it only reads, and this VM has to admit and run it.
func (o *Owners) Run(c access.Customer, group string, mode dispatch.Mode, call *dispatch.Call, maxAge time.Duration, own position.Position) (r statement.Result, err error, taken bool) {
	address, remote := o.find(c.Name)
	if !remote || !o.begin(address) {
		return r, nil, false
	}
	now := boottime.Now()
	args := &RunArgs{
		Customer: c.Name, Group: group, Mode: mode, MaxAge: maxAge, Own: own, Priority: call.Priority,
		Values: call.SessionState.Values, Prepared: call.SessionState.Prepared, ID: call.Command.ID, Text: call.Command.Text,
		Deadline: call.Deadline.Sub(now), Useful: call.LatencyDeadline.Sub(now),
	}
	ctx, cancel := context.WithTimeout(context.Background(), args.Deadline+answerGrace)
	defer cancel()
	var reply RunReply
	err = o.calls.Call(ctx, address, "Owner.Run", args, &reply)
	o.end(address, err)
	switch {
	case errkind.Is(err, errkind.Unreachable):
		return r, nil, false
	case err != nil && mode == dispatch.ModeWrite:
		return r, errkind.New(errkind.OutcomeUnknown, "owner %s: %v", address, err), true
	case err != nil || !reply.Known:
		return r, nil, false
	case reply.Failed:
		return r, errkind.New(reply.Kind, "%s, at owner %s", reply.Detail, address), true
	}
	return statement.Result{Rows: reply.Rows, Signature: reply.Signature, Position: reply.Position, Status: statement.Idle}, nil, true
}

// begin notes a call to the owner. It is false for one that is silent.
func (o *Owners) begin(address string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	l := o.links[address]
	if l == nil {
		l = &link{}
		o.links[address] = l
	}
	now := boottime.Now()
	if now < l.avoided || l.outstanding > 0 && now.Sub(l.waiting) > silentTime {
		return false
	}
	if l.outstanding == 0 {
		l.waiting = now
	}
	l.outstanding++
	return true
}

// end notes the end of a call.
func (o *Owners) end(address string, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	l, now := o.links[address], boottime.Now()
	l.outstanding--
	if err == nil {
		l.waiting = now
		return
	}
	if now >= l.avoided {
		o.log.WithError(err).WithFields(logrus.Fields{"event": "owner", "address": address}).Warn("no answer")
	}
	l.avoided = now.Add(avoidTime)
}
