package configsync

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"chicoryline/internal/catalog"
	"chicoryline/internal/errkind"
	"chicoryline/internal/frame"
	"chicoryline/internal/peer"
	"chicoryline/internal/services"
)

// Defaults and limits.
const (
	// DefaultGrantLength is the default length of a grant. A partitioned domain
	// keeps serving for up to this time, and a dead holder blocks a patch for this
	// time plus the expiry margin.
	DefaultGrantLength = 3 * time.Second
	// tickInterval is how often the core is run with the current time.
	tickInterval = 25 * time.Millisecond
	// mailboxSize is the capacity of the actor's mailbox in messages.
	mailboxSize = 256
	// peerTimeout is the timeout of one call to another process.
	peerTimeout = 500 * time.Millisecond
)

// Config holds the settings and dependencies of a Node.
type Config struct {
	// VM is the id, failure domain and address of this process.
	VM services.VM
	// Incarnation is different for each start of the process on a VM.
	Incarnation uint64
	Services    services.Services
	Caller      peer.Caller
	System      *frame.System
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
	// Rand randomizes the order in which processes are asked for leases and
	// documents; nil means the global source.
	Rand *rand.Rand
	Log  *logrus.Entry
	// GrantLength is the length of a grant; 0 means DefaultGrantLength.
	GrantLength time.Duration
	// RenewInterval is the time between renewals; 0 means half the GrantLength.
	// With a grant of 3 s that is one write per holder every 1.5 s, or 16 writes/s
	// with 24 holders.
	RenewInterval time.Duration
	// Observer is set for a node that holds no grant and serves under short
	// leases given by the holders.
	Observer bool
	// Peers lists processes to ask while the platform is unreachable; nil means
	// the platform's list of VMs only.
	Peers func() []services.VM
	// OnEvent is called with each change, for the event timeline; may be nil.
	OnEvent func(kind string, fields map[string]string)
}

func (c *Config) setDefaults() {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.GrantLength <= 0 {
		c.GrantLength = DefaultGrantLength
	}
	if c.RenewInterval <= 0 {
		c.RenewInterval = c.GrantLength / 2
	}
	if c.OnEvent == nil {
		c.OnEvent = func(string, map[string]string) {}
	}
	if c.Log == nil {
		quiet := logrus.New()
		quiet.SetOutput(io.Discard)
		c.Log = logrus.NewEntry(quiet)
	}
}

// Node maintains the configuration of one process and the grant or lease under which
// the process may serve it.
type Node struct {
	cfg  Config
	ref  *frame.Ref
	core *core // used by the actor's goroutine only

	published  atomic.Pointer[publishedState]
	documents  documentCache
	tickQueued atomic.Bool // a tick is in the mailbox

	ctx           context.Context
	cancel        context.CancelFunc
	workers       sync.WaitGroup
	grantReturned chan struct{} // closed when the grant has been given back

	mu          sync.Mutex
	watchers    []func(catalog.View)
	peers       []services.VM // last list read from the platform
	peersNext   time.Time     // earliest time of the next read of the list
	closed      bool
	lessor      string   // address of the process that gave the last lease
	holderHints []string // addresses of holders named in the last reply
}

// publishedState is the part of the core's state that other goroutines read.
type publishedState struct {
	view  catalog.View
	until time.Time // end of the grant or lease
	row   services.Row
	state string // state of the grant's chart
	patch string // state of the patch's chart
}

// New returns a node. Call Start to run it.
func New(cfg Config) *Node {
	cfg.setDefaults()
	n := &Node{cfg: cfg, grantReturned: make(chan struct{})}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.core = newCore(coreConfig{
		vm: cfg.VM.ID, domain: cfg.VM.Domain, address: cfg.VM.Address, incarnation: cfg.Incarnation,
		grantLength: cfg.GrantLength, renewInterval: cfg.RenewInterval, observer: cfg.Observer,
		cleanupDelay: cleanupDelay,
	})
	n.published.Store(&publishedState{view: catalog.View{Expired: true}, state: n.core.grant.State(), patch: n.core.patch.State()})
	return n
}

// Start starts the registration, the renewals and the reads of the configuration.
func (n *Node) Start() error {
	ref, err := n.cfg.System.Spawn("config-"+n.core.own.id, mailboxSize, n.receive)
	if err != nil {
		return errkind.New(errkind.Internal, "configuration actor: %v", err)
	}
	n.ref = ref
	if n.beginWork() {
		go n.tick()
	}
	return nil
}

// tick runs the core periodically until the node is closed. At most one tick is in
// the mailbox at a time, because sending to a full mailbox busy-waits.
func (n *Node) tick() {
	defer n.workers.Done()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for n.ctx.Err() == nil {
		if n.tickQueued.CompareAndSwap(false, true) {
			n.ref.Send(tick{})
		}
		select {
		case <-n.ctx.Done():
		case <-ticker.C:
		}
	}
}

// beginWork registers a task that may send to the actor. The caller must call
// workers.Done at its end; the actor is not stopped before. It returns false after
// Close.
func (n *Node) beginWork() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	n.workers.Add(1)
	return true
}

// View returns what may be served now. It takes no lock. It compares the grant with
// the current time, so that a process that was paused observes an expired grant at
// once.
func (n *Node) View() catalog.View { return n.viewAt(n.cfg.Now()) }

func (n *Node) viewAt(now time.Time) catalog.View {
	s := n.published.Load()
	v := s.view
	v.Expired = !isBeforeDeadline(now, s.until)
	return v
}

// Watch calls f with the view now, after each change of the configuration, and each
// time that the view expires or becomes valid. f must not block.
func (n *Node) Watch(f func(catalog.View)) {
	n.mu.Lock()
	n.watchers = append(n.watchers, f)
	n.mu.Unlock()
	f(n.View())
}

// Leave returns the grant, so that no patch waits for this process. The view is
// expired from the call on, so all statements must have ended before. Leave waits
// until all leases given to other VMs have ended. errkind.OutcomeUnknown means that
// the context ended first; the grant then expires by itself.
func (n *Node) Leave(ctx context.Context) error {
	if !n.beginWork() {
		return errkind.New(errkind.ShuttingDown, "configuration")
	}
	defer n.workers.Done()
	n.ref.Send(leaveRequested{})
	select {
	case <-n.grantReturned:
		return nil
	case <-n.ctx.Done():
		return errkind.New(errkind.ShuttingDown, "configuration")
	case <-ctx.Done():
		return errkind.New(errkind.OutcomeUnknown, "grant of %s not given back: %v", n.cfg.VM.ID, ctx.Err())
	}
}

// Close stops the node without returning its grant, and waits for its goroutines.
func (n *Node) Close() {
	n.mu.Lock()
	isFirst := !n.closed
	n.closed = true
	n.mu.Unlock()
	n.cancel()
	n.workers.Wait()
	if isFirst && n.ref != nil {
		n.ref.Stop()
	}
}

// Messages that the actor handles in addition to those of the core.
type (
	tick        struct{}
	promiseCall struct {
		request PromiseRequest
		reply   chan PromiseReply
	}
	leaseCall struct {
		request LeaseRequest
		reply   chan PromiseReply
	}
)

// receive handles one message of the actor. It does no I/O.
func (n *Node) receive(message any) {
	now := n.cfg.Now()
	switch m := message.(type) {
	case tick:
		n.tickQueued.Store(false)
	case promiseCall:
		m.reply <- n.core.handlePromise(now, m.request)
	case leaseCall:
		m.reply <- n.core.handleLease(now, m.request)
	default:
		n.core.handle(now, m)
	}
	actions := n.core.step(now)
	n.publish(now)
	for _, a := range actions {
		n.startAction(a)
	}
}

// startAction executes an action on its own goroutine and sends the result to the
// actor.
func (n *Node) startAction(action any) {
	if !n.beginWork() {
		return
	}
	go func() {
		defer n.workers.Done()
		if result := n.execute(action); result != nil {
			n.ref.Send(result)
		}
	}()
}

// publish stores the core's state for other goroutines, and reports changes to the
// log, OnEvent and the watchers.
func (n *Node) publish(now time.Time) {
	old := n.published.Load()
	next := &publishedState{until: n.core.validUntil, row: n.core.snap.row, state: n.core.grant.State(), patch: n.core.patch.State()}
	next.view = catalog.View{Current: n.core.snap.current, Pending: n.core.snap.pending, Expired: !n.core.isValid(now)}
	n.published.Store(next)
	if n.core.grant.Done() && old.state != next.state {
		close(n.grantReturned)
	}
	if old.row.Version == next.row.Version && old.state == next.state && old.patch == next.patch && old.view.Expired == next.view.Expired {
		return
	}
	n.reportChange(next)
	n.mu.Lock()
	watchers := n.watchers
	n.mu.Unlock()
	for _, f := range watchers {
		f(next.view)
	}
}

// reportChange writes a change to the log and passes it to OnEvent.
func (n *Node) reportChange(s *publishedState) {
	fields := map[string]string{
		"vm": n.cfg.VM.ID, "domain": n.cfg.VM.Domain, "grant": s.state,
		"version": strconv.FormatUint(n.core.snap.record.Version, 10),
		"expired": strconv.FormatBool(s.view.Expired), "patch_state": s.patch,
	}
	if p := n.core.snap.record.Pending; p != nil {
		fields["pending"] = strconv.FormatUint(p.Version, 10)
		fields["patch"] = p.Patch
	}
	entry := n.cfg.Log
	for k, v := range fields {
		entry = entry.WithField(k, v)
	}
	entry.Info("config_changed")
	n.cfg.OnEvent("config", fields)
}

// Status describes the node's state in a short text for operators.
func (n *Node) Status() string {
	s := n.published.Load()
	return fmt.Sprintf("grant=%s row=%d expired=%t", s.state, s.row.Version, n.View().Expired)
}
