// Package groupview monitors a database group: which instance a majority confirms as
// primary, an upper bound of each replica's staleness, and which commits a majority
// holds.
//
// Each instance is probed by its own goroutine, so that a hung instance does not delay
// the others. Leadership is derived from the newest reports of a majority and dated by
// the oldest probe among them, see ProveLeader.
//
// The instances of a group are fixed for the lifetime of a Watcher. All of them count
// towards a majority, including leaving ones.
package groupview

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"chicoryline/internal/backend"
	"chicoryline/internal/errkind"
	"chicoryline/internal/position"
	"chicoryline/internal/services"
)

// Defaults of Config.
const (
	DefaultInterval      = 50 * time.Millisecond
	DefaultProbeTimeout  = 250 * time.Millisecond
	DefaultProofLifetime = 500 * time.Millisecond
)

const (
	// waitTimeout bounds a Wait command at an instance.
	waitTimeout = 100 * time.Millisecond
	// waitRetryPause is the pause after a Wait command that failed or returned
	// nothing new.
	waitRetryPause = 5 * time.Millisecond
)

// Config sets up a Watcher.
type Config struct {
	Group services.Group
	// Controls and WaitControls hold a Control for each instance id: Controls is used
	// for probes, WaitControls for waiting on commits.
	Controls     map[string]backend.Control
	WaitControls map[string]backend.Control
	// Interval is the time between the starts of two probes of an instance. If a
	// probe takes longer, the next one follows at once.
	Interval time.Duration
	// ProbeTimeout bounds one probe.
	ProbeTimeout time.Duration
	// ProofLifetime is the maximum age of the proof that View.Primary uses.
	ProofLifetime time.Duration
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	Log *logrus.Entry
}

// Watcher monitors one group. It is safe for concurrent use.
type Watcher struct {
	config         Config
	commits        *commitSet
	probeNow       []chan struct{} // per instance, capacity 1: triggers a probe at once
	commitsPending []chan struct{} // per instance, capacity 1: signals waiting commits
	view           atomic.Pointer[View]
	ctx            context.Context
	cancel         context.CancelFunc
	loops          sync.WaitGroup

	sequence atomic.Uint64
	interval atomic.Int64 // time.Duration: Config.Interval, or as set by SetInterval

	mu      sync.Mutex
	tracker *Tracker
	readers map[*reader]bool
}

// reader is a ReadIndex call that waits for a proof newer than its sequence.
type reader struct {
	sequence uint64
	done     chan View // capacity 1
}

// New returns a Watcher, which sends no probes before Start. It fails if an instance
// has no Control.
func New(config Config) (*Watcher, error) {
	config.setDefaults()
	w := &Watcher{
		config:  config,
		commits: newCommitSet(len(config.Group.Instances)),
		tracker: NewTracker(config.Group, config.ProofLifetime),
		readers: map[*reader]bool{},
	}
	for _, i := range config.Group.Instances {
		if config.Controls[i.ID] == nil || config.WaitControls[i.ID] == nil {
			return nil, errors.NotValidf("group %s without a control for instance %s", config.Group.Name, i.ID)
		}
		w.probeNow = append(w.probeNow, make(chan struct{}, 1))
		w.commitsPending = append(w.commitsPending, make(chan struct{}, 1))
	}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	w.interval.Store(int64(config.Interval))
	w.publish()
	return w, nil
}

// SetInterval changes the probe interval, starting after the next probe. Standby VMs
// use a longer interval.
func (w *Watcher) SetInterval(interval time.Duration) { w.interval.Store(int64(interval)) }

func (c *Config) setDefaults() {
	if c.Interval == 0 {
		c.Interval = DefaultInterval
	}
	if c.ProbeTimeout == 0 {
		c.ProbeTimeout = DefaultProbeTimeout
	}
	if c.ProofLifetime == 0 {
		c.ProofLifetime = DefaultProofLifetime
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Log == nil {
		c.Log = logrus.NewEntry(logrus.StandardLogger())
	}
}

// Start starts the probes.
func (w *Watcher) Start() {
	w.mu.Lock()
	w.tracker.started = w.config.Now()
	w.mu.Unlock()
	for i := range w.config.Group.Instances {
		w.loops.Go(func() { w.probeLoop(i) })
		w.loops.Go(func() { w.waitLoop(i) })
	}
}

// Close stops all probes and waits. Pending calls fail.
func (w *Watcher) Close() {
	w.cancel()
	w.loops.Wait()
}

// View returns the current snapshot without locking.
func (w *Watcher) View() View {
	v := *w.view.Load()
	v.TakenAt = w.config.Now()
	return v
}

// ReadIndex returns a view whose proof is based only on probes sent after the call.
// Concurrent calls share the same probes. It fails with errkind.NoPrimary if the
// context or the Watcher ends first.
func (w *Watcher) ReadIndex(ctx context.Context) (View, error) {
	r := &reader{sequence: w.sequence.Load(), done: make(chan View, 1)}
	w.mu.Lock()
	w.readers[r] = true
	w.mu.Unlock()
	defer w.removeReader(r)
	w.Refresh()
	select {
	case v := <-r.done:
		return v, nil
	case <-ctx.Done():
		return View{}, errkind.New(errkind.NoPrimary, "group %s: %v", w.config.Group.Name, ctx.Err())
	case <-w.ctx.Done():
		return View{}, errkind.New(errkind.NoPrimary, "group %s: watcher closed", w.config.Group.Name)
	}
}

// Refresh triggers a probe of every instance at once, except of instances whose last
// probe failed: those are probed after the usual interval.
func (w *Watcher) Refresh() {
	for _, probeNow := range w.probeNow {
		signal(probeNow)
	}
}

func (w *Watcher) removeReader(r *reader) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.readers, r)
}

// Confirm returns nil once a majority of the instances holds the write at p in p's term
// and has no higher fence. It fails with errkind.OutcomeUnknown if the context or the
// Watcher ends first, or if higher fences make a majority impossible.
func (w *Watcher) Confirm(ctx context.Context, p position.Position) error {
	c := w.commits.add(p)
	defer w.commits.remove(c)
	for _, pending := range w.commitsPending {
		signal(pending)
	}
	select {
	case err := <-c.done:
		return err
	case <-ctx.Done():
		return errkind.New(errkind.OutcomeUnknown, "write at %s: %v", p, ctx.Err())
	case <-w.ctx.Done():
		return errkind.New(errkind.OutcomeUnknown, "write at %s: watcher closed", p)
	}
}

// probeLoop probes one instance until Close.
func (w *Watcher) probeLoop(i int) {
	control := w.config.Controls[w.config.Group.Instances[i].ID]
	for w.ctx.Err() == nil {
		report := Report{Sequence: w.sequence.Add(1), Sent: w.config.Now()}
		ctx, cancel := context.WithTimeout(w.ctx, w.config.ProbeTimeout)
		status, err := control.Status(ctx)
		cancel()
		report.Status, report.Received = status, w.config.Now()
		probeNow := w.probeNow[i]
		if err != nil {
			w.recordFailure(i, err)
			probeNow = nil // prevents a tight loop if the instance fails immediately
		} else {
			w.record(i, report)
		}
		w.pause(time.Duration(w.interval.Load())-w.config.Now().Sub(report.Sent), probeNow)
	}
}

// waitLoop asks one instance to wait for the lowest commit that it has neither
// confirmed nor rejected. Each answer is applied to all waiting commits.
func (w *Watcher) waitLoop(i int) {
	control := w.config.WaitControls[w.config.Group.Instances[i].ID]
	for w.ctx.Err() == nil {
		p, ok := w.commits.lowestPending(i)
		if !ok {
			select {
			case <-w.commitsPending[i]:
			case <-w.ctx.Done():
			}
			continue
		}
		ctx, cancel := context.WithTimeout(w.ctx, waitTimeout+w.config.ProbeTimeout)
		status, err := control.Wait(ctx, p, waitTimeout)
		cancel()
		if err != nil || !w.commits.observe(i, status) {
			w.pause(waitRetryPause, nil)
		}
	}
}

// record applies a new report of one instance. Probes of an instance run one after the
// other, so its reports arrive in order.
func (w *Watcher) record(i int, report Report) {
	w.commits.observe(i, report.Status)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tracker.RecordReport(i, report)
	w.publish()
	w.completeReaders()
}

func (w *Watcher) recordFailure(i int, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.tracker.RecordFailure(i) && w.ctx.Err() == nil {
		w.config.Log.WithFields(logrus.Fields{
			"event":    "instance_unreachable",
			"group":    w.config.Group.Name,
			"instance": w.config.Group.Instances[i].ID,
			"error":    err,
		}).Warn("instance unreachable")
	}
	w.publish()
}

// publish stores a new snapshot. The caller holds w.mu, unless w is not shared yet.
func (w *Watcher) publish() {
	v := w.tracker.Snapshot(w.config.Now())
	w.view.Store(&v)
}

// completeReaders completes the ReadIndex calls for which the proof is new enough. The
// caller holds w.mu.
func (w *Watcher) completeReaders() {
	proof, ok := w.tracker.Proof()
	if !ok {
		return
	}
	for r := range w.readers {
		if proof.Sequence > r.sequence {
			r.done <- w.View()
			delete(w.readers, r)
		}
	}
}

// pause waits for the duration, a signal on interrupt (which may be nil) or Close.
func (w *Watcher) pause(d time.Duration, interrupt <-chan struct{}) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-interrupt:
	case <-w.ctx.Done():
	}
}

// signal puts a token into a channel of capacity 1 if it is empty.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
