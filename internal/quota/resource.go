package quota

import (
	"strconv"
	"sync"
	"time"
)

// resource is the state of one limit at this VM. Its mutex guards all fields, so that
// admission needs no message to the control actor.
type resource struct {
	name string

	mu       sync.Mutex
	members  *members
	holder   *holder
	home     *home
	waiting  waitList
	wakeAt   time.Time // of the pending timer that serves waiting requests
	onCount  func(int)
	count    int
	admitted uint64
	rejected uint64
	queued   uint64
	events   []change
}

// change is a state change, reported after the mutex is released. home is set for a
// share: the VM that renewals go to. epoch is set for a home: its election epoch.
type change struct{ kind, state, home, epoch string }

// ResourceStats describes one resource at this VM.
type ResourceStats struct {
	State     string  // of the share chart
	HomeState string  // of the sharehome chart
	Home      string  // VM that the renewals go to
	Epoch     uint64  // highest epoch known
	Fraction  float64 // fraction of the total's rate or count, 0 to 1
	Admitted  uint64  // requests
	Rejected  uint64  // requests
	Queued    uint64  // requests that had to wait for tokens
}

// Stats describes a Node.
type Stats struct{ Resources map[string]ResourceStats }

// fields returns the change's fields for the log and the timeline.
func (c change) fields(resource string) map[string]string {
	f := map[string]string{"resource": resource, "state": c.state}
	if c.home != "" {
		f["home"] = c.home
	}
	if c.epoch != "" {
		f["epoch"] = c.epoch
	}
	return f
}

// update runs f with the mutex held and records state changes.
func (r *resource) update(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	shareState, homeState := r.holder.machine.State(), r.home.machine.State()
	f()
	if s := r.holder.machine.State(); s != shareState {
		r.events = append(r.events, change{kind: "share", state: s, home: r.holder.target})
	}
	if s := r.home.machine.State(); s != homeState {
		r.events = append(r.events, change{kind: "sharehome", state: s, epoch: strconv.FormatUint(r.home.epoch, 10)})
	}
}

// takeEvents returns the recorded changes, and the callback and the new count if the
// count has changed.
func (r *resource) takeEvents(now time.Time, interval time.Duration) (events []change, onCount func(int), count int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	events, r.events = r.events, nil
	if !r.holder.total.isCount() {
		return events, nil, 0
	}
	// A share that is not renewed is given up early, so that its connections are
	// closed by the time the home considers them free.
	count = r.holder.allowedConnections(now)
	if !r.holder.hasLease(now.Add(callTimeoutIntervals * interval)) {
		count = 0
	}
	if count == r.count {
		return events, nil, 0
	}
	r.count = count
	return events, r.onCount, count
}

func (r *resource) stats() ResourceStats {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := ResourceStats{
		State: r.holder.machine.State(), HomeState: r.home.machine.State(),
		Home: r.holder.target, Epoch: r.holder.epoch,
		Admitted: r.admitted, Rejected: r.rejected, Queued: r.queued,
	}
	if r.holder.share.Of > 0 {
		s.Fraction = float64(r.holder.share.Rate) / float64(r.holder.share.Of)
	}
	return s
}
