package failover

import (
	"context"
	crand "crypto/rand"
	"math/rand"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"chicoryline/internal/backend"
	"chicoryline/internal/errkind"
	"chicoryline/internal/frame"
	"chicoryline/internal/groupview"
	"chicoryline/internal/services"
)

const (
	// mailboxSize is the maximum number of events queued for a steward.
	mailboxSize = 256
	// commandTimeout is the timeout of one command to an instance.
	commandTimeout = 150 * time.Millisecond
)

// Config configures a Runner.
type Config struct {
	Group services.Group
	// Controls holds a control connection to every instance, by instance ID. Only the
	// Runner uses them.
	Controls map[string]backend.Control
	Watcher  *groupview.Watcher
	Table    services.Table
	VM       services.VM
	Peers    Views
	// Rank returns the steward's current rank among the stewards of the group, starting at
	// 0.
	Rank func() int
	// Drain asks the pool owners to hold new writes and returns once no write is in flight.
	// In case the steward dies, the owners must end the hold by themselves after the sum of
	// DrainTimeout, CatchUpTimeout and ClaimMaxWait. If Drain is nil, writes are not held,
	// and those in flight during the switchover have an unknown outcome.
	Drain func(ctx context.Context) error
	// Release ends the hold. It is nil if Drain is nil.
	Release func()
	System  *frame.System
	// Settings defaults to DefaultSettings.
	Settings Settings
	// Now is the clock. It defaults to time.Now.
	Now func() time.Time
	// Rand is the source of randomness. Only the steward uses it.
	Rand *rand.Rand
	Log  *logrus.Entry
	// OnEvent receives the events for the timeline. If it is nil, they are dropped.
	OnEvent func(kind string, fields map[string]string)
}

// Runner is the actor that runs a Steward and carries out its effects.
type Runner struct {
	config  Config
	steward *Steward // used by the actor only
	actor   *frame.Ref
	view    atomic.Pointer[domainViewAt]
	queues  map[string]chan Command // by instance ID, capacity 1: the newest pending command
	ctx     context.Context
	cancel  context.CancelFunc
	tasks   sync.WaitGroup

	lastHandoverID atomic.Uint64
	mu             sync.Mutex
	waiting        map[uint64]chan HandoverDone // by request ID, capacity 1
}

// domainViewAt is a view and the time it was taken.
type domainViewAt struct {
	view DomainView
	at   time.Time
}

// NewRunner returns a Runner, which Start starts. It fails if an instance has no control
// connection.
func NewRunner(config Config) (*Runner, error) {
	config.setDefaults()
	r := &Runner{config: config, queues: map[string]chan Command{}, waiting: map[uint64]chan HandoverDone{}}
	for _, i := range config.Group.Instances {
		if config.Controls[i.ID] == nil {
			return nil, errors.NotValidf("group %s: controls without instance %s", config.Group.Name, i.ID)
		}
		r.queues[i.ID] = make(chan Command, 1)
	}
	r.steward = NewSteward(StewardConfig{
		Group:       config.Group,
		VM:          config.VM,
		Incarnation: crand.Text(),
		Settings:    config.Settings,
		Now:         config.Now,
		Rand:        config.Rand,
	})
	r.publish()
	r.ctx, r.cancel = context.WithCancel(context.Background())
	return r, nil
}

func (c *Config) setDefaults() {
	if c.Settings == (Settings{}) {
		c.Settings = DefaultSettings()
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Rand == nil {
		c.Rand = rand.New(rand.NewSource(c.Now().UnixNano()))
	}
	if c.Rank == nil {
		c.Rank = func() int { return 0 }
	}
	if c.Log == nil {
		c.Log = logrus.NewEntry(logrus.StandardLogger())
	}
}

// Start starts the Runner: from then on it watches the group and acts on it.
func (r *Runner) Start() error {
	ref, err := r.config.System.Spawn("steward-"+r.config.Group.Name, mailboxSize, r.handle)
	if err != nil {
		return errors.Annotatef(err, "steward of group %s", r.config.Group.Name)
	}
	r.actor = ref
	for id, queue := range r.queues {
		r.tasks.Go(func() { r.commandLoop(id, queue) })
	}
	r.tasks.Go(r.tickLoop)
	return nil
}

// Close stops the Runner. An attempt in progress is abandoned; another steward takes over
// with a higher term.
func (r *Runner) Close() {
	r.cancel()
	r.actor.Stop() // no new tasks are started after this
	r.tasks.Wait()
}

// Service returns a net/rpc service for this Runner only.
func (r *Runner) Service() *Service { return NewService(r) }

// DomainView returns the steward's current view of its group.
func (r *Runner) DomainView() DomainView {
	v := r.view.Load()
	return v.view.aged(r.config.Now().Sub(v.at), r.config.Settings.PauseThreshold)
}

// SetLeaving sets the instances of the group that are leaving. If the primary is leaving,
// the steward starts a planned switchover.
func (r *Runner) SetLeaving(instances []string) { r.actor.Send(LeavingChanged{instances}) }

// Handover moves the primary role to the target, or to the best replica if the target is
// empty. It fails with errkind.NotFound, NotEligible or NoPrimary if nothing was changed,
// with Conflict if another instance was promoted, and with OutcomeUnknown if the switchover
// was aborted after instances may have been fenced, the context ended or the Runner was
// closed.
func (r *Runner) Handover(ctx context.Context, target string) error {
	_, err := r.handover(ctx, target)
	return err
}

func (r *Runner) handover(ctx context.Context, target string) (string, error) {
	id := r.lastHandoverID.Add(1)
	done := make(chan HandoverDone, 1)
	r.mu.Lock()
	r.waiting[id] = done
	r.mu.Unlock()
	defer r.forget(id)
	r.actor.Send(HandoverRequested{ID: id, Target: target})
	select {
	case d := <-done:
		return d.Primary, d.Err
	case <-ctx.Done():
		return "", errkind.New(errkind.OutcomeUnknown, "hand-over of group %s: %v", r.config.Group.Name, ctx.Err())
	case <-r.ctx.Done():
		return "", errkind.New(errkind.OutcomeUnknown, "hand-over of group %s: steward closed", r.config.Group.Name)
	}
}

func (r *Runner) forget(id uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.waiting, id)
}

// handle processes one message of the actor. It never blocks on the network.
func (r *Runner) handle(message any) {
	event, ok := message.(Event)
	if !ok || r.ctx.Err() != nil {
		return
	}
	for _, effect := range r.steward.Step(event) {
		r.execute(effect)
	}
	r.publish()
}

func (r *Runner) publish() {
	r.view.Store(&domainViewAt{r.steward.DomainView(), r.config.Now()})
}

func (r *Runner) tickLoop() {
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-ticker.C:
			r.actor.Send(Tick{View: r.config.Watcher.View(), Domains: r.domains(), Rank: r.config.Rank()})
		}
	}
}

// domains returns the failure domains of all known stewards of the group, this VM's own
// first.
func (r *Runner) domains() []string {
	list := []string{r.config.VM.Domain}
	seen := map[string]bool{r.config.VM.Domain: true}
	for _, vm := range r.config.Peers.Peers(r.config.Group.Name) {
		if !seen[vm.Domain] {
			seen[vm.Domain] = true
			list = append(list, vm.Domain)
		}
	}
	return list
}
