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

// Defaults and sizes.
const (
	// DefaultGrantLength is how long a grant holds: a cut-off domain serves so
	// long, and a dead holder blocks a patch so long.
	DefaultGrantLength = 3 * time.Second
	// tickInterval is how often the decisions look at the clock.
	tickInterval = 25 * time.Millisecond
	// mailboxSize is in messages.
	mailboxSize = 256
	// peerTimeout bounds one call to another process.
	peerTimeout = 500 * time.Millisecond
)

// Config is what a Node is made of.
type Config struct {
	// VM names this process, its failure domain and where it is called.
	VM services.VM
	// Incarnation differs between two starts on one VM.
	Incarnation uint64
	Services    services.Services
	Caller      peer.Caller
	System      *frame.System
	// Now is time.Now when nil.
	Now func() time.Time
	// Rand orders the processes that are asked for leases and documents; nil
	// uses the runtime's source.
	Rand *rand.Rand
	Log  *logrus.Entry
	// GrantLength is DefaultGrantLength when 0.
	GrantLength time.Duration
	// RenewInterval is half the GrantLength when 0: at 3 s one write in 1.5 s
	// for each holder, 16 a second at 24 holders.
	RenewInterval time.Duration
	// Observer makes a node that holds no grant and serves under short leases
	// of the holders.
	Observer bool
	// Peers names processes to learn from while the platform is down; nil uses
	// the platform's list only.
	Peers func() []services.VM
	// OnEvent is told of changes for the time line; nil tells nobody.
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

// Node keeps the configuration of one process and the proof that it may be served.
type Node struct {
	cfg  Config
	ref  *frame.Ref
	core *core // owned by the actor

	published  atomic.Pointer[publishedState]
	documents  documentCache
	tickQueued atomic.Bool // a tick waits in the mailbox

	ctx           context.Context
	cancel        context.CancelFunc
	workers       sync.WaitGroup
	grantReturned chan struct{} // closed when the grant has been given back

	mu          sync.Mutex
	watchers    []func(catalog.View)
	peers       []services.VM // last list of the platform
	peersNext   time.Time     // when the list is read next at the earliest
	closed      bool
	lessor      string   // address that gave the last lease
	holderHints []string // addresses of holders that others named
}

// publishedState is what View reads.
type publishedState struct {
	view  catalog.View
	until time.Time
	row   services.Row
	state string // of the grant
	patch string // state of the patch's chart
}

// New returns a node that is not started.
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

// Start begins to register, renew and follow the configuration.
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

// tick makes the core look at the clock until the node is closed. At most one
// tick waits in the mailbox, because a sender to a full one spins.
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

// beginWork counts one piece of work that may send to the actor, which runs until
// all have called work.Done. It reports false after Close.
func (n *Node) beginWork() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	n.workers.Add(1)
	return true
}

// View returns what may be served now. It takes no lock and looks at the clock,
// so that a process that was paused sees its grant as expired at once.
func (n *Node) View() catalog.View { return n.viewAt(n.cfg.Now()) }

func (n *Node) viewAt(now time.Time) catalog.View {
	s := n.published.Load()
	v := s.view
	v.Expired = !isBeforeDeadline(now, s.until)
	return v
}

// Watch calls f with the view after each change of the configuration and each
// time that the view expires or becomes valid. f must not block.
func (n *Node) Watch(f func(catalog.View)) {
	n.mu.Lock()
	n.watchers = append(n.watchers, f)
	n.mu.Unlock()
	f(n.View())
}

// Leave gives the grant back so that no patch waits for this process. From its
// call on the view is expired, so statements have to be ended before. It waits
// until leases given to other VMs have ended; errkind.OutcomeUnknown means that
// the context ended first and the grant lapses by itself.
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

// Close ends all work of the node without giving the grant back.
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

// The messages of the actor besides the core's.
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

// receive takes one message; it never waits for the network.
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

// startAction carries an action out on its own goroutine and sends the result back.
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

// publish shows the core's state to View and tells of changes.
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

// Status is a short text of the node's state for operators.
func (n *Node) Status() string {
	s := n.published.Load()
	return fmt.Sprintf("grant=%s row=%d expired=%t", s.state, s.row.Version, n.View().Expired)
}
