package router

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"chicoryline/internal/errkind"
	"chicoryline/internal/peer"
	"chicoryline/internal/pool"
	"chicoryline/internal/position"
	"chicoryline/internal/services"
)

const (
	// DefaultRetryWindow is how long a request that is known not to have run is
	// retried before it fails. It covers an unplanned failover.
	DefaultRetryWindow = 3 * time.Second
	// retryDelay is the delay before a retry at the same target.
	retryDelay = 20 * time.Millisecond
	// callTimeout limits one request at a pool owner, including queueing and answer.
	callTimeout = 75 * time.Second
	// controlTimeout limits a cancel or abort call.
	controlTimeout = 2 * time.Second
)

// Config configures the Router of one VM.
type Config struct {
	Domain      string
	Topology    Topology
	Liveness    Liveness
	Peers       peer.Caller
	RetryWindow time.Duration
	Rand        *rand.Rand
}

// Liveness reports which proxy processes have ended.
type Liveness interface {
	// Alive returns a context that is canceled when the VM's process is considered dead.
	Alive(vm string) context.Context
}

// Router sends requests to pool owners. The mutex guards cfg.Rand.
type Router struct {
	cfg   Config
	views *groupViews

	mu sync.Mutex
}

// New returns a router.
func New(cfg Config) *Router {
	if cfg.RetryWindow == 0 {
		cfg.RetryWindow = DefaultRetryWindow
	}
	return &Router{cfg: cfg, views: newGroupViews(cfg.Topology, cfg.Peers, cfg.Domain)}
}

// Close stops the refreshing of group views.
func (r *Router) Close() { r.views.close() }

// attempt is the state of one request across its retries.
type attempt struct {
	request *Request
	group   services.Group
	view    *groupView
	// excluded lists the replicas that rejected this request.
	excluded []string
	// needsPrimary is set if the request must run at the primary.
	needsPrimary bool
	// sentToPrimary is set if the last try went to the primary.
	sentToPrimary bool
	deadline      time.Time
}

// Execute runs a request outside of a transaction. It retries only after an error which
// proves that the request did not run, or that it changed nothing at a replica.
func (r *Router) Execute(ctx context.Context, request *Request) (*Result, error) {
	group, ok := r.cfg.Topology.Group(request.Group)
	if !ok {
		return nil, errkind.New(errkind.Unreachable, "group %s is not known to the platform", request.Group)
	}
	a := &attempt{
		request: request, group: group, view: r.views.get(request.Group),
		needsPrimary: !request.Read || request.PrimaryOnly,
		deadline:     time.Now().Add(r.cfg.RetryWindow),
	}
	r.awaitView(ctx, a)
	for {
		result, err := r.tryOnce(ctx, a)
		if err == nil || !r.prepareRetry(ctx, a, err) {
			return result, err
		}
	}
}

// awaitView waits until the group's view has been read for the first time, and refreshes
// a view that is too old because it was not in use.
func (r *Router) awaitView(ctx context.Context, a *attempt) {
	select {
	case <-a.view.firstRead:
		if a.view.isTooOld() {
			r.views.read(a.group.Name, a.view)
		}
		return
	default:
	}
	timer := time.NewTimer(time.Until(a.deadline))
	defer timer.Stop()
	select {
	case <-a.view.firstRead:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// tryOnce sends the request to the owners of the chosen instance, one after the other,
// until one has accepted it.
func (r *Router) tryOnce(ctx context.Context, a *attempt) (*Result, error) {
	instance, atPrimary, err := r.target(a)
	if err != nil {
		return nil, err
	}
	a.sentToPrimary = atPrimary
	err = errkind.New(errkind.Unreachable, "no pool owner of %s", instance.ID)
	for _, vm := range r.cfg.Topology.Owners(instance) {
		pin := Pin{VM: vm.ID, Address: vm.Address, Instance: instance.ID, Primary: atPrimary}
		var result *Result
		result, err = r.sendAttempt(ctx, a, pin)
		if err == nil || !canTryNextOwner(err, atPrimary) {
			return result, err
		}
	}
	if !atPrimary {
		a.excluded = append(a.excluded, instance.ID)
	}
	return nil, err
}

// sendAttempt sends the request of an attempt and, if the group's view is stale,
// requests a new view with the answer.
func (r *Router) sendAttempt(ctx context.Context, a *attempt, pin Pin) (*Result, error) {
	a.view.beginRequest(pin.Instance)
	defer a.view.endRequest(pin.Instance)
	args := executeArgs(a.request, pin, false)
	args.WantView = a.view.needsRefresh()
	started := time.Now()
	result, err := r.send(ctx, a.request, pin, args)
	if err == nil && result.View != nil && result.View.Primary != "" {
		a.view.update(*result.View, started)
	}
	return result, err
}

// canTryNextOwner reports whether another owner of the same instance may succeed.
func canTryNextOwner(err error, atPrimary bool) bool {
	switch errkind.KindOf(err) {
	case errkind.Unreachable, errkind.NotEligible, errkind.ShuttingDown:
		return true
	case errkind.AnswerIncomplete:
		return !atPrimary
	}
	return false
}

// target selects the instance for the next try and reports whether it is the primary.
func (r *Router) target(a *attempt) (services.Instance, bool, error) {
	if !a.needsPrimary {
		required := Requirement{Current: a.request.Current, Min: a.request.Min, MaxAge: a.request.MaxAge}
		candidates := excluding(a.view.candidates(a.group, r.cfg.Domain, required.MaxAge), a.excluded)
		r.mu.Lock()
		chosen, ok := Choose(candidates, required, r.cfg.Rand)
		r.mu.Unlock()
		if instance, found := findInstance(a.group, chosen.Instance); ok && found {
			return instance, false, nil
		}
	}
	if instance, found := findInstance(a.group, a.view.primary()); found {
		return instance, true, nil
	}
	return services.Instance{}, false, errkind.New(errkind.NoPrimary, "group %s", a.group.Name)
}

func findInstance(group services.Group, id string) (services.Instance, bool) {
	for _, i := range group.Instances {
		if i.ID == id {
			return i, true
		}
	}
	return services.Instance{}, false
}

// prepareRetry reports whether the request may be retried and updates the attempt for the
// next try. It may sleep for retryDelay.
func (r *Router) prepareRetry(ctx context.Context, a *attempt, err error) bool {
	if ctx.Err() != nil || time.Now().After(a.deadline) {
		return false
	}
	switch errkind.KindOf(err) {
	case errkind.AnswerIncomplete:
		// A replica cannot change data, so the read may run again elsewhere.
		return !a.sentToPrimary
	case errkind.ReadOnly:
		if a.needsPrimary || !a.request.WriteAllowed || a.request.ReadOnly {
			return false
		}
		a.needsPrimary = true
		return true
	case errkind.NotEligible, errkind.Unreachable, errkind.ShuttingDown, errkind.NoPrimary:
		a.view.requestRefresh()
		if a.needsPrimary || len(a.excluded) == 0 {
			time.Sleep(retryDelay)
		}
		return true
	}
	return false
}

// Continue runs a request inside the session's open transaction.
func (r *Router) Continue(ctx context.Context, pin Pin, request *Request) (*Result, error) {
	result, err := r.send(ctx, request, pin, executeArgs(request, pin, true))
	if errkind.Is(err, errkind.Unreachable) {
		return nil, errkind.New(errkind.TransactionLost, "pool owner %s is gone", pin.VM)
	}
	return result, err
}

// send makes one call. An answer that belongs to another request is an error with
// unknown outcome.
func (r *Router) send(ctx context.Context, request *Request, pin Pin, args *pool.ExecuteArgs) (*Result, error) {
	if request.OnTarget != nil {
		request.OnTarget(pin)
	}
	ctx, cancel := r.callContext(ctx, pin)
	defer cancel()
	result := &Result{Pin: pin}
	if err := r.cfg.Peers.Call(ctx, pin.Address, "Pool.Execute", args, &result.ExecuteReply); err != nil {
		return nil, r.handleLostAnswer(pin, args, err)
	}
	if result.Session != request.Session || result.Seq != request.Seq {
		r.abort(pin, request.Session, request.Seq)
		return nil, errkind.New(errkind.OutcomeUnknown, "answer of another request")
	}
	return result, nil
}

// callContext returns a context that ends after callTimeout or when the owner's process
// ends.
func (r *Router) callContext(ctx context.Context, pin Pin) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	stopWatching := context.AfterFunc(r.cfg.Liveness.Alive(pin.VM), cancel)
	return ctx, func() {
		stopWatching()
		cancel()
	}
}

// handleLostAnswer returns the error for a call without an answer and makes the owner
// abort what may still be running. Other errors are returned unchanged.
func (r *Router) handleLostAnswer(pin Pin, args *pool.ExecuteArgs, err error) error {
	if !errkind.Is(err, errkind.OutcomeUnknown) {
		return err
	}
	r.abort(pin, args.Session, args.Seq)
	switch {
	case args.ReadOnly:
		return errkind.New(errkind.AnswerIncomplete, "pool owner %s did not answer", pin.VM)
	case args.Continue && !args.MayCommit:
		return errkind.New(errkind.TransactionLost, "pool owner %s did not answer", pin.VM)
	}
	return err
}

func executeArgs(request *Request, pin Pin, inTransaction bool) *pool.ExecuteArgs {
	args := &pool.ExecuteArgs{
		Session: request.Session, Seq: request.Seq, Group: request.Group, Instance: pin.Instance,
		Customer: request.Customer, Weight: request.Weight,
		Write:    pin.Primary,
		ReadOnly: request.ReadOnly || !pin.Primary,
		Current:  request.Read && (pin.Primary || request.Current),
		Min:      request.Min, MaxAge: request.MaxAge,
		QueueTimeout: request.QueueTimeout,
		Continue:     inTransaction, MayCommit: request.MayCommit, ResetAfter: request.ResetAfter,
		Messages: request.Messages, Statements: request.Statements,
	}
	if !pin.Primary && inTransaction {
		args.Min, args.Current = position.Position{}, false
	}
	return args
}

// Fetch returns the next part of an answer.
func (r *Router) Fetch(ctx context.Context, pin Pin, args pool.FetchArgs) (*pool.ExecuteReply, error) {
	ctx, cancel := r.callContext(ctx, pin)
	defer cancel()
	reply := &pool.ExecuteReply{}
	err := r.cfg.Peers.Call(ctx, pin.Address, "Pool.Fetch", &args, reply)
	if err != nil {
		r.abort(pin, args.Session, args.Seq)
		return nil, incompleteAnswerError(pin, err)
	}
	if reply.Session != args.Session || reply.Seq != args.Seq {
		r.abort(pin, args.Session, args.Seq)
		return nil, errkind.New(errkind.OutcomeUnknown, "answer of another request")
	}
	return reply, nil
}

// incompleteAnswerError returns the error for an answer that was interrupted between two
// parts. A replica cannot have changed data; at the primary, the transaction may still commit.
func incompleteAnswerError(pin Pin, err error) error {
	if !pin.Primary {
		return errkind.New(errkind.AnswerIncomplete, "%v", err)
	}
	return errkind.New(errkind.OutcomeUnknown, "%v", err)
}

// Abort aborts the session's transaction and unfinished answer at the owner.
func (r *Router) Abort(pin Pin, session pool.SessionID) { r.abort(pin, session, 0) }

// abort aborts what the session's request seq or an earlier request has left at the
// owner; 0 stands for any request.
func (r *Router) abort(pin Pin, session pool.SessionID, seq uint64) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
		defer cancel()
		_ = r.cfg.Peers.Call(ctx, pin.Address, "Pool.Abort", &pool.SessionArgs{Session: session, Seq: seq}, &pool.Empty{})
	}()
}

// Cancel cancels the session's running statement at the owner.
func (r *Router) Cancel(ctx context.Context, pin Pin, session pool.SessionID) error {
	return r.cfg.Peers.Call(ctx, pin.Address, "Pool.Cancel", &pool.SessionArgs{Session: session}, &pool.Empty{})
}
