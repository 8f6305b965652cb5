package pool

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"chicoryline/internal/errkind"
)

const (
	// statementTimeout bounds one statement, from sending to the end of its answer.
	statementTimeout = 60 * time.Second
	// confirmTimeout bounds the wait of a commit for a majority.
	confirmTimeout = 5 * time.Second
	// fetchTimeout is how long a part of an answer waits to be fetched.
	fetchTimeout = 15 * time.Second
	// idleTransactionTimeout ends a transaction without requests.
	idleTransactionTimeout = 2 * time.Minute
	// sweepInterval is the pause between two looks for abandoned sessions.
	sweepInterval = time.Second
	// stalledCheckInterval is the pause between two looks for statements at instances
	// that were replaced or have fallen silent.
	stalledCheckInterval = 50 * time.Millisecond
	// defaultQueueTimeout is the admission deadline of a request without one.
	defaultQueueTimeout = 2 * time.Second
)

// Observer takes what the pool does for the time line and the metrics.
type Observer interface {
	// PoolEvent reports an event of a request.
	PoolEvent(kind string, session SessionID, group, instance string, detail string)
}

// Manager serves the requests of entries at the instances that this VM owns.
// The mutex guards owners and sessions.
type Manager struct {
	log      *logrus.Entry
	observer Observer
	stop     chan struct{}
	// trace, if set before use, is told each state that a session enters.
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

// SetOwner makes this VM an owner of the instance; nil ends the ownership.
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

// Drain refuses new transactions from now on; open ones go on.
func (m *Manager) Drain() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.draining = true
}

// Busy returns the number of requests that were taken and not yet answered,
// waiting ones included, and of open transactions and unfinished answers.
func (m *Manager) Busy() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.sessions)
}

// DropVM ends the sessions of the VM up to the incarnation: their entry process
// is gone. Open transactions roll back.
func (m *Manager) DropVM(vm string, incarnation int64) {
	for _, s := range m.matchingSessions(func(id SessionID) bool { return id.VM == vm && id.Incarnation <= incarnation }) {
		m.abort(s, "entry is gone")
	}
}

// Close ends everything.
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
	quick := time.NewTicker(stalledCheckInterval)
	defer quick.Stop()
	for {
		select {
		case <-m.stop:
			return
		case now := <-ticker.C:
			m.sweepOnce(now)
		case <-quick.C:
			m.abortStalledStatements()
		}
	}
}

// abortStalledStatements breaks the connections of statements that wait for an answer in vain.
// The statement's own goroutine then answers with the kind that fits.
func (m *Manager) abortStalledStatements() {
	for _, s := range m.matchingSessions(func(SessionID) bool { return true }) {
		if !s.targetMu.TryLock() {
			continue // a cancel request is under way
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

// findSession returns the session of an open transaction.
func (m *Manager) findSession(id SessionID) (*session, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s, ok := m.sessions[id]
	if !ok {
		return nil, errkind.New(errkind.TransactionLost, "no open transaction here")
	}
	return s, nil
}
