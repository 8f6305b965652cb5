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
	// mailboxSize is the number of events that wait for a steward.
	mailboxSize = 256
	// commandTimeout bounds one command to an instance.
	commandTimeout = 150 * time.Millisecond
)

// Config sets up a Runner.
type Config struct {
	Group services.Group
	// Controls holds one connection to every instance, by id, that nothing else uses.
	Controls map[string]backend.Control
	Watcher  *groupview.Watcher
	Table    services.Table
	VM       services.VM
	Peers    Views
	// Rank returns the steward's present place among those of the group, from 0.
	Rank func() int
	// Drain asks the pool owners to hold new writes and returns when no write is
	// on its way. The owners have to end the hold by themselves after the sum of
	// DrainTimeout, CatchUpTimeout and ClaimPatience, for a steward that dies.
	// Nil means that writes go on; those cut off have an unknown outcome.
	Drain func(ctx context.Context) error
	// Release ends the hold; nil if Drain is nil.
	Release func()
	System  *frame.System
	// Settings are DefaultSettings when zero.
	Settings Settings
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Rand is used by the steward only.
	Rand *rand.Rand
	Log  *logrus.Entry
	// OnEvent takes the events for the time line; nil drops them.
	OnEvent func(kind string, fields map[string]string)
}

// Runner is the actor that carries a Steward's effects out.
type Runner struct {
	config  Config
	steward *Steward // owned by the actor
	actor   *frame.Ref
	view    atomic.Pointer[domainViewAt]
	queues  map[string]chan Command // capacity 1: the newest that waits
	ctx     context.Context
	cancel  context.CancelFunc
	tasks   sync.WaitGroup

	lastHandoverID atomic.Uint64
	mu             sync.Mutex
	waiting        map[uint64]chan HandoverDone // capacity 1
}

// domainViewAt is a view and the time at which its silence was measured.
type domainViewAt struct {
	view DomainView
	at   time.Time
}

// NewRunner returns a Runner; Start begins its work. It fails if an instance
// has no Control.
func NewRunner(config Config) (*Runner, error) {
	config.setDefaults()
	r := &Runner{config: config, queues: map[string]chan Command{}, waiting: map[uint64]chan HandoverDone{}}
	for _, i := range config.Group.Instances {
		if config.Controls[i.ID] == nil {
			return nil, errors.NotValidf("group %s: instance %s without control", config.Group.Name, i.ID)
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

// Start begins to watch the group and to act on it.
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

// Close ends the Runner. An attempt in progress is left to other stewards.
func (r *Runner) Close() {
	r.cancel()
	r.actor.Stop() // nothing starts new work after this
	r.tasks.Wait()
}

// Service returns a net/rpc service that answers for this Runner alone.
func (r *Runner) Service() *Service { return NewService(r) }

// DomainView returns what this steward sees of its group.
func (r *Runner) DomainView() DomainView {
	v := r.view.Load()
	return v.view.aged(r.config.Now().Sub(v.at), r.config.Settings.PauseThreshold)
}

// SetLeaving names the instances of the group that are leaving. A leaving
// primary is handed over.
func (r *Runner) SetLeaving(instances []string) { r.actor.Send(LeavingChanged{instances}) }

// Handover moves the primary role to the target, or to the best replica if the
// target is empty. It fails with errkind.NotFound, NotEligible or NoPrimary
// when nothing was changed, with Conflict when another instance was promoted,
// and with OutcomeUnknown when the hand-over broke off after its first fence or
// the context ended.
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

// handle is the actor's handler. It never blocks on the network.
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

// domains returns the failure domains of all stewards, the own one first.
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
