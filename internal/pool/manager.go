package pool

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"chicoryline/internal/errkind"
)

const (
	// statementTimeout bounds one request, from sending it to the end of its answer.
	statementTimeout = 60 * time.Second
	// confirmTimeout bounds the wait until a majority confirms a commit or a read.
	confirmTimeout = 5 * time.Second
	// fetchTimeout is the time after which an answer that isn't fetched is aborted.
	fetchTimeout = 15 * time.Second
	// idleTransactionTimeout is the time after which a transaction without requests
	// is aborted.
	idleTransactionTimeout = 2 * time.Minute
	// sweepInterval is the interval of the check for abandoned sessions.
	sweepInterval = time.Second
	// stalledCheckInterval is the interval of the check for statements at instances
	// that were replaced as primary or have stopped answering probes.
	stalledCheckInterval = 50 * time.Millisecond
	// defaultQueueTimeout applies to a request without a QueueTimeout.
	defaultQueueTimeout = 2 * time.Second
)

// Observer receives events of the pool for the timeline and the metrics.
type Observer interface {
	// PoolEvent reports an event of a request.
	PoolEvent(kind string, session SessionID, group, instance string, detail string)
}

// Manager serves the requests of entries for the instances of which this VM is a
// pool owner. The mutex guards owners, sessions and draining.
type Manager struct {
	log      *logrus.Entry
	observer Observer
	stop     chan struct{}
	// trace, if set, is called with each state that a session enters. It must be set
	// before the manager is used.
	trace func(id SessionID, state string)

	mu       sync.Mutex
	owners   map[string]*Owner
	sessions map[SessionID]*session
	draining bool
}

// NewManager returns a manager without owners.
func NewManager(log *logrus.Entry, observer Observer) *Manager {
	m := &Manager{
		log: log, observer: observer, stop: make(chan struct{}),
		owners: map[string]*Owner{}, sessions: map[SessionID]*session{},
	}
	go m.sweep()
	return m
}

// SetOwner makes this VM a pool owner of the instance; nil ends the ownership.
func (m *Manager) SetOwner(instance string, owner *Owner) {
	m.mu.Lock()
	old := m.owners[instance]
	if owner == nil {
		delete(m.owners, instance)
	} else {
		m.owners[instance] = owner
	}
	m.mu.Unlock()
	if old != nil && old != owner {
		old.Close()
	}
}

// Owner returns this VM's owner of the instance.
func (m *Manager) Owner(instance string) (*Owner, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o, ok := m.owners[instance]
	return o, ok
}

// Drain rejects new transactions from now on; open ones continue.
func (m *Manager) Drain() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.draining = true
}

// Busy returns the number of sessions: requests that are queued or not yet
// answered, open transactions and partly fetched answers.
func (m *Manager) Busy() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.sessions)
}

// DropVM aborts the sessions of the VM's entry process up to the incarnation, after
// that process has ended. Open transactions are rolled back.
func (m *Manager) DropVM(vm string, incarnation int64) {
	for _, s := range m.matchingSessions(func(id SessionID) bool { return id.VM == vm && id.Incarnation <= incarnation }) {
		m.abort(s, "entry is gone")
	}
}

// Close aborts all sessions and closes all owners.
func (m *Manager) Close() {
	close(m.stop)
	for _, s := range m.matchingSessions(func(SessionID) bool { return true }) {
		m.abort(s, "process stops")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, o := range m.owners {
		o.Close()
	}
}

func (m *Manager) matchingSessions(match func(SessionID) bool) []*session {
	m.mu.Lock()
	defer m.mu.Unlock()
	var found []*session
	for id, s := range m.sessions {
		if match(id) {
			found = append(found, s)
		}
	}
	return found
}

func (m *Manager) sweep() {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	stalledTicker := time.NewTicker(stalledCheckInterval)
	defer stalledTicker.Stop()
	for {
		select {
		case <-m.stop:
			return
		case now := <-ticker.C:
			m.sweepOnce(now)
		case <-stalledTicker.C:
			m.abortStalledStatements()
		}
	}
}

// abortStalledStatements closes the connections of statements whose answer is no
// longer expected. The goroutine of the request then returns the matching error.
func (m *Manager) abortStalledStatements() {
	for _, s := range m.matchingSessions(func(SessionID) bool { return true }) {
		if !s.targetMu.TryLock() {
			continue // a cancel request is in flight
		}
		if t := s.target; t != nil && t.owner.isStalled(t.write) {
			_ = t.conn.net.Close()
		}
		s.targetMu.Unlock()
	}
}

func (m *Manager) sweepOnce(now time.Time) {
	for _, s := range m.matchingSessions(func(SessionID) bool { return true }) {
		if !s.mu.TryLock() {
			continue
		}
		limit := idleTransactionTimeout
		if s.exchange != nil {
			limit = fetchTimeout
		}
		stale := now.Sub(s.lastUse) > limit
		s.mu.Unlock()
		if stale {
			m.abort(s, "no request in time")
		}
	}
	m.mu.Lock()
	owners := make([]*Owner, 0, len(m.owners))
	for _, o := range m.owners {
		owners = append(owners, o)
	}
	m.mu.Unlock()
	for _, o := range owners {
		o.CloseIdle(now)
	}
}

func queueDeadline(args *ExecuteArgs) time.Time {
	timeout := args.QueueTimeout
	if timeout <= 0 {
		timeout = defaultQueueTimeout
	}
	return time.Now().Add(timeout)
}

// findSession returns the registered session: a queued or running request, an open
// transaction or an unfinished answer.
func (m *Manager) findSession(id SessionID) (*session, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s, ok := m.sessions[id]
	if !ok {
		return nil, errkind.New(errkind.TransactionLost, "no open transaction here")
	}
	return s, nil
}
