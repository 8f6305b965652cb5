// Package owner forwards single statements to the customer's owner: the VM of the cell that
// holds the customer's backend connections and admits its operations.
//
// Load pattern: a backend connection serves one customer, and a VM of a large fleet may have
// about one connection to each server. Callers of all customers connect to all VMs, so nearly
// every statement would open a connection, which occupies a slot of the server for as long
// as a statement does. At the owner the customer's connection is already open.
package owner

import (
	"context"
	"maps"
	"slices"
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
	// silenceThreshold is how long an owner may leave all calls of this VM unanswered before
	// statements run locally. It exceeds the duration of nearly all statements.
	silenceThreshold = 500 * time.Millisecond
	// avoidDuration is how long no statement is sent to an owner after a failed call.
	avoidDuration = time.Second
	// answerGrace is the additional wait for the owner's refusal after the deadline of a
	// statement: a round trip within the failure domain.
	answerGrace = 20 * time.Millisecond
)

// RunArgs is a statement to run. Times are durations, so that clock skew has no effect.
type RunArgs struct {
	Customer, Group string
	Mode            dispatch.Mode
	// MaxAge bounds the age of the data that a stale read returns. Own is the position of the
	// session's own commits, which the read has to include.
	MaxAge   time.Duration
	Own      position.Position
	Priority int
	Values   map[string]string
	Prepared *connset.Prepared
	ID, Text string
	// Deadline is the time left until the statement times out, Useful the time left of the
	// latency objective.
	Deadline, Useful time.Duration
	// Domains holds the allowed failure domains; empty allows all.
	Domains []string
	// Evacuations is the version of the evacuations that the sender knows.
	Evacuations uint64
}

// RunReply is the result, or the error if Failed is set. Known is false if the VM does not
// know the customer, or not the evacuations that the sender knows; the statement did not run then.
type RunReply struct {
	Known     bool
	Rows      []string
	Signature string
	Position  position.Position
	Failed    bool
	Kind      errkind.Kind
	Detail    string
}

// Limiter admits operations by the name of the customer.
type Limiter interface {
	AdmitName(customer string) (retryAfter time.Duration, admitted, known bool)
}

// Service is the net/rpc service of an owner, registered as "Owner".
type Service struct {
	limiter Limiter
	router  *dispatch.Router
	memory  Memory

	// Evacuations, if set, returns the version of the evacuations that this VM knows.
	Evacuations func() uint64
}

// NewService returns the service.
func NewService(l Limiter, r *dispatch.Router) *Service { return &Service{limiter: l, router: r} }

// Run admits and runs one statement that another VM received from a caller.
func (s *Service) Run(args *RunArgs, reply *RunReply) error {
	now := boottime.Now()
	if s.Evacuations != nil && args.Evacuations > s.Evacuations() {
		// This VM may have lost the store, or be about to learn of the evacuations.
		return nil
	}
	size := args.size()
	if err := s.reserve(size); err != nil {
		reply.Known = true
		reply.setError(err)
		return nil
	}
	defer s.release(size)
	wait, admitted, known := s.limiter.AdmitName(args.Customer)
	if reply.Known = known; !known {
		return nil
	}
	if !admitted {
		reply.setError(errkind.New(errkind.OverRate, "retry after %d ms", wait.Milliseconds()))
		return nil
	}
	call := &dispatch.Call{
		Customer: args.Customer, Priority: args.Priority, Arrived: now,
		Deadline: now.Add(args.Deadline), LatencyDeadline: now.Add(args.Useful),
		SessionState: connset.SessionState{Values: args.Values, Prepared: args.Prepared},
		Command:      statement.Command{ID: args.ID, Text: args.Text},
	}
	for _, d := range args.Domains {
		if call.Domains == nil {
			call.Domains = map[string]struct{}{}
		}
		call.Domains[d] = struct{}{}
	}
	r, err := s.router.Group(args.Group).RunSingle(args.Mode, call, now.Add(-args.MaxAge), args.Own)
	if err != nil {
		reply.setError(err)
		return nil
	}
	reply.Rows, reply.Signature, reply.Position = r.Rows, r.Signature, r.Position
	return nil
}

// setError sets the reply to the error's kind and detail.
func (r *RunReply) setError(err error) {
	r.Failed, r.Kind, r.Detail = true, errkind.KindOf(err), err.Error()
	if e, ok := errkind.As(err); ok {
		r.Detail = e.Detail
	}
}

// Forwarder forwards statements to the owners of customers. The mutex guards links.
type Forwarder struct {
	calls peer.Caller
	// findOwner returns the owner's address. remote is false if this VM is the owner, or if
	// the statement has to run locally for another reason.
	findOwner func(customer string) (address string, remote bool)
	log       *logrus.Entry
	// FindIn is findOwner for owners in the given failure domains only. Statements with allowed
	// failure domains run locally without it.
	FindIn func(customer string, domains map[string]struct{}) (address string, remote bool)

	mu    sync.Mutex
	links map[string]*ownerLink

	// Evacuations, if set, returns the version of the evacuations that this VM knows.
	Evacuations func() uint64
}

// ownerLink is the state of the calls to one owner.
type ownerLink struct {
	outstanding int
	// unansweredSince is when the owner last answered or, if later, when a call was sent
	// while none was outstanding.
	unansweredSince boottime.Time
	// avoidedUntil is when statements may be sent to the owner again after a failed call.
	avoidedUntil boottime.Time
}

// NewForwarder returns a forwarder to the owners that find returns.
func NewForwarder(calls peer.Caller, find func(string) (string, bool), log *logrus.Entry) *Forwarder {
	return &Forwarder{calls: calls, findOwner: find, log: log, links: map[string]*ownerLink{}}
}

// Run runs the statement at the customer's owner. If handled is false, the statement did not
// run there or is a read, and this VM has to admit and run it.
func (o *Forwarder) Run(c access.Customer, group string, mode dispatch.Mode, call *dispatch.Call, maxAge time.Duration, own position.Position) (r statement.Result, err error, handled bool) {
	address, remote := o.find(c.Name, call.Domains)
	if !remote || isTooLarge(call) || !o.beginCall(address) {
		return r, nil, false
	}
	now := boottime.Now()
	args := &RunArgs{
		Customer: c.Name, Group: group, Mode: mode, MaxAge: maxAge, Own: own, Priority: call.Priority,
		Values: call.SessionState.Values, Prepared: call.SessionState.Prepared, ID: call.Command.ID, Text: call.Command.Text,
		Deadline: call.Deadline.Sub(now), Useful: call.LatencyDeadline.Sub(now),
		Domains: slices.Sorted(maps.Keys(call.Domains)),
	}
	if o.Evacuations != nil {
		args.Evacuations = o.Evacuations()
	}
	ctx, cancel := context.WithTimeout(context.Background(), args.Deadline+answerGrace)
	defer cancel()
	var reply RunReply
	err = o.calls.Call(ctx, address, "Owner.Run", args, &reply)
	o.endCall(address, err)
	switch {
	case errkind.Is(err, errkind.Unreachable):
		return r, nil, false
	case err != nil && mode == dispatch.ModeWrite:
		return r, errkind.New(errkind.OutcomeUnknown, "owner %s: %v", address, err), true
	case err != nil || !reply.Known:
		return r, nil, false
	case reply.Failed:
		return r, errkind.New(errkind.Received(int(reply.Kind)), "%s, at owner %s", reply.Detail, address), true
	}
	return statement.Result{Rows: reply.Rows, Signature: reply.Signature, Position: reply.Position, Status: statement.Idle}, nil, true
}

// find returns the address of the customer's owner. A statement must not pass through a VM outside
// its allowed failure domains, so such an owner is skipped.
func (o *Forwarder) find(customer string, domains map[string]struct{}) (address string, remote bool) {
	if domains == nil {
		return o.findOwner(customer)
	}
	if o.FindIn == nil || len(domains) == 0 {
		return "", false
	}
	return o.FindIn(customer, domains)
}

// beginCall registers a call to the owner. It returns false if the owner does not answer.
func (o *Forwarder) beginCall(address string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	l := o.links[address]
	if l == nil {
		l = &ownerLink{}
		o.links[address] = l
	}
	now := boottime.Now()
	if now < l.avoidedUntil || l.outstanding > 0 && now.Sub(l.unansweredSince) > silenceThreshold {
		return false
	}
	if l.outstanding == 0 {
		l.unansweredSince = now
	}
	l.outstanding++
	return true
}

// endCall registers the end of a call and its outcome.
func (o *Forwarder) endCall(address string, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	l, now := o.links[address], boottime.Now()
	l.outstanding--
	if err == nil {
		l.unansweredSince = now
		return
	}
	if now >= l.avoidedUntil {
		o.log.WithError(err).WithFields(logrus.Fields{"event": "owner", "address": address}).Warn("no answer")
	}
	l.avoidedUntil = now.Add(avoidDuration)
}
