package pool

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"chicoryline/internal/errkind"
	"chicoryline/internal/fairqueue"
	"chicoryline/internal/position"
	"chicoryline/internal/services"
)

// GroupWatcher provides the state of the database group of an owner's instance.
// internal/proxy implements it with groupview.Watcher.
type GroupWatcher interface {
	// Primary returns the id and term of the confirmed primary: the one whose
	// leadership a majority of the group confirmed recently.
	Primary() (id string, term uint64, ok bool)
	// ReadIndex returns the primary's log position from a round of probes that began
	// after the call, or errkind.NoPrimary.
	ReadIndex(ctx context.Context) (position.Position, error)
	// Confirm returns when a majority has confirmed the position.
	Confirm(ctx context.Context, p position.Position) error
	// Log returns the last known log position of the instance.
	Log(instance string) position.Position
	// Age returns an upper bound of the instance's staleness, and false if it is
	// unknown.
	Age(instance string) (time.Duration, bool)
	// TimeSinceAnswer returns the time since the instance last answered a probe.
	TimeSinceAnswer(instance string) time.Duration
}

const (
	// positionWaitTimeout bounds the wait for a replica to reach a position.
	positionWaitTimeout = 40 * time.Millisecond
	// positionPollInterval is the interval at which that position is polled.
	positionPollInterval = 2 * time.Millisecond
	// maxTimeSinceAnswer is the time without an answered probe after which reads at
	// the instance are aborted and new ones rejected.
	maxTimeSinceAnswer = time.Second
	// DefaultIdleTransactionTimeout is the time after which the backend server ends
	// a transaction without requests. It exceeds idleTransactionTimeout, so the pool
	// aborts such a transaction first.
	DefaultIdleTransactionTimeout = idleTransactionTimeout + 10*sweepInterval
	// maxIdleTime is the time after which an unused connection is closed.
	maxIdleTime = 5 * time.Minute
)

// queueLimits bounds the requests that are queued for one instance.
var queueLimits = fairqueue.Limits{PerCustomer: 1000, Total: 4000}

// OwnerConfig describes the pool of one instance.
type OwnerConfig struct {
	Instance    services.Instance
	Group       services.Group
	Watcher     GroupWatcher
	Credentials Credentials
	Dial        func(ctx context.Context, network, address string) (net.Conn, error)
	// IdleTransactionTimeout is the time after which the backend server ends a
	// transaction without requests; zero means DefaultIdleTransactionTimeout.
	IdleTransactionTimeout time.Duration
	Log                    *logrus.Entry
}

// Owner holds this VM's connections to one instance. Requests pass two fair queues:
// one for connections, which a transaction holds until it ends, and one for
// execution slots, which a request holds until its answer is read. The mutex guards
// idle, open, limit and closed.
type Owner struct {
	cfg      OwnerConfig
	connGate *fairqueue.Gate
	slotGate *fairqueue.Gate
	// heldUntil is the time until which new writes are rejected, in Unix nanoseconds.
	heldUntil atomic.Int64

	mu     sync.Mutex
	idle   []*conn
	open   int
	limit  int
	closed bool
}

// NewOwner returns an owner that may open up to budget connections.
func NewOwner(cfg OwnerConfig, budget int) *Owner {
	if cfg.IdleTransactionTimeout == 0 {
		cfg.IdleTransactionTimeout = DefaultIdleTransactionTimeout
	}
	return &Owner{
		cfg:      cfg,
		connGate: fairqueue.NewGate(budget, queueLimits, time.Now),
		slotGate: fairqueue.NewGate(cfg.Group.Slots, queueLimits, time.Now),
		limit:    budget,
	}
}

// SetBudget changes the number of connections that the owner may open. Surplus
// idle connections are closed at once, busy ones when their transaction ends.
func (o *Owner) SetBudget(budget int) {
	o.mu.Lock()
	o.limit = budget
	surplus := o.removeSurplus()
	o.mu.Unlock()
	o.connGate.SetSlots(budget)
	closeAll(surplus)
}

func (o *Owner) removeSurplus() []*conn {
	var surplus []*conn
	for o.open > o.limit && len(o.idle) > 0 {
		surplus = append(surplus, o.idle[0])
		o.idle = o.idle[1:]
		o.open--
	}
	return surplus
}

// Warm opens connections in advance until n are open or an attempt fails.
func (o *Owner) Warm(ctx context.Context, n int) {
	for {
		o.mu.Lock()
		enough := o.closed || o.open >= min(n, o.limit)
		if !enough {
			o.open++
		}
		o.mu.Unlock()
		if enough {
			return
		}
		c, err := openConn(ctx, &o.cfg)
		if err != nil {
			o.decrementOpen()
			return
		}
		o.releaseConn(c)
	}
}

// Open returns the number of open connections.
func (o *Owner) Open() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.open
}

// acquireConn returns an idle connection or opens a new one. The caller must have
// acquired connGate.
func (o *Owner) acquireConn(ctx context.Context) (*conn, error) {
	if c := o.acquireIdleConn(); c != nil {
		return c, nil
	}
	c, err := openConn(ctx, &o.cfg)
	if err != nil {
		return nil, err
	}
	o.mu.Lock()
	o.open++
	o.mu.Unlock()
	return c, nil
}

func (o *Owner) acquireIdleConn() *conn {
	o.mu.Lock()
	defer o.mu.Unlock()
	for len(o.idle) > 0 {
		c := o.idle[len(o.idle)-1]
		o.idle = o.idle[:len(o.idle)-1]
		if isHealthy(c) {
			return c
		}
		c.close()
		o.open--
	}
	return nil
}

// releaseConn returns a connection to the pool after its transaction, or closes it
// if it can't be reused.
func (o *Owner) releaseConn(c *conn) {
	if c.isReusable() && len(c.prepared) > maxPreparedStatements {
		c.reset()
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if !c.isReusable() || o.closed || o.open > o.limit {
		c.close()
		o.open--
		return
	}
	c.lastUse = time.Now()
	o.idle = append(o.idle, c)
}

func (o *Owner) decrementOpen() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.open--
}

// CloseIdle closes connections that were not used for maxIdleTime.
func (o *Owner) CloseIdle(now time.Time) {
	o.mu.Lock()
	var expired []*conn
	for len(o.idle) > 0 && now.Sub(o.idle[0].lastUse) > maxIdleTime {
		expired = append(expired, o.idle[0])
		o.idle = o.idle[1:]
		o.open--
	}
	o.mu.Unlock()
	closeAll(expired)
}

// Close closes the idle connections; busy ones are closed when they are released.
func (o *Owner) Close() {
	o.mu.Lock()
	idle := o.idle
	o.idle = nil
	o.open -= len(idle)
	o.closed = true
	o.mu.Unlock()
	closeAll(idle)
}

func closeAll(list []*conn) {
	for _, c := range list {
		c.close()
	}
}

// admit checks whether the instance may currently serve the request.
func (o *Owner) admit(args *ExecuteArgs) error {
	id := o.cfg.Instance.ID
	primary, _, ok := o.cfg.Watcher.Primary()
	if args.Write {
		if !ok || primary != id {
			return errkind.New(errkind.NoPrimary, "%s is not the proved primary", id)
		}
		if o.isHoldingWrites() {
			return errkind.New(errkind.NoPrimary, "%s is handing over", id)
		}
		return nil
	}
	if o.cfg.Watcher.TimeSinceAnswer(id) > maxTimeSinceAnswer {
		return errkind.New(errkind.NotEligible, "%s does not answer", id)
	}
	if args.Current || primary == id {
		return nil
	}
	if age, known := o.cfg.Watcher.Age(id); !known || age > args.MaxAge {
		return errkind.New(errkind.NotEligible, "%s is older than %s", id, args.MaxAge)
	}
	return nil
}

// isStalled reports whether a running statement should be aborted: a write if
// another instance has become the primary, a read if the instance has stopped
// answering probes.
func (o *Owner) isStalled(write bool) bool {
	id := o.cfg.Instance.ID
	if write {
		primary, _, ok := o.cfg.Watcher.Primary()
		return ok && primary != id
	}
	return o.cfg.Watcher.TimeSinceAnswer(id) > maxTimeSinceAnswer
}

// waitForPosition waits until the log of the instance has reached the position.
func (o *Owner) waitForPosition(ctx context.Context, c *conn, p position.Position) error {
	id := o.cfg.Instance.ID
	if p.IsZero() || o.cfg.Watcher.Log(id).AtLeast(p) {
		return nil
	}
	deadline := time.Now().Add(positionWaitTimeout)
	for {
		at, err := c.logPosition()
		if err != nil {
			return err
		}
		if at.AtLeast(p) {
			return nil
		}
		if time.Now().After(deadline) || ctx.Err() != nil {
			return errkind.New(errkind.NotEligible, "%s is at %s, before %s", id, at, p)
		}
		time.Sleep(positionPollInterval)
	}
}

// logPosition queries the position of the server's last log entry.
func (c *conn) logPosition() (position.Position, error) {
	row, err := c.query("SELECT * FROM instance_status()", connectTimeout)
	if err != nil {
		return position.Position{}, err
	}
	if len(row) < statusColumns {
		return position.Position{}, errkind.New(errkind.Unreachable, "status row of %d columns", len(row))
	}
	return position.Parse(row[statusTerm] + "/" + row[statusOffset])
}

// Column indexes and minimum number of columns of a row of instance_status.
const (
	statusTerm    = 3
	statusOffset  = 4
	statusColumns = 5
)

// queueWeight converts a customer's weight to that of the fair queues, which is an
// integer of at least 1.
func queueWeight(weight float64) int { return max(1, int(weight+0.5)) }
