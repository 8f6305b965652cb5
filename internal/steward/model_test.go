package steward

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"chicoryline/internal/boottime"
	"chicoryline/internal/errkind"
	"chicoryline/internal/leaderproof"
	"chicoryline/internal/position"
	"chicoryline/internal/statement"
)

// modelServer is a server of the simulated group. Its log is represented by the number of
// commits: logs with a common history differ in length only.
type modelServer struct {
	id       string
	received uint64
	// lastLogTerm is the term in which the last commit of the log was made.
	lastLogTerm uint64
	// held is the term of the pause: the promotion to this term or a later one ends it.
	held uint64
	up   bool
	// paused and notReceiving servers receive nothing. unreachable ones do not answer
	// stewards, but continue to replicate.
	paused, notReceiving, unreachable bool
	// listed reports that the server has a discovery entry, wasListed that it had one once.
	listed, wasListed bool
	startCount        int
	// departing servers have announced their end, ended ones never start again. goneAt is the end of
	// the group's log when an ended one was found gone, 0 before.
	departing, ended bool
	goneAt           uint64
	// servesAsFormer reports that the server was replaced and continues as the primary of its
	// term. term is the newest term that it has observed. provedAt is the start of its leader
	// lease at VMs, and lastStatus what they know of it as a replica.
	servesAsFormer bool
	term           uint64
	provedAt       boottime.Time
	lastStatus     *leaderproof.Answer
}

// model simulates a database group and its platform. Each call may cause an event: commits,
// servers that stop receiving, become unreachable, stop and restart, entries that expire,
// servers that start without an entry, orders that are executed late. A server becomes
// unreachable only if all servers have had an entry, and none starts during that time unless
// joins is set: nobody could know about a server without an entry.
type model struct {
	mu            sync.Mutex
	rand          *rand.Rand
	servers       []*modelServer
	primary       *modelServer
	term          uint64
	number        uint64 // of the newest commit
	acked         uint64
	observedAcked uint64 // highest acknowledged commit known to reachable VMs
	token         uint64
	pendingOrders []order
	calls         int
	// formerServes makes a replaced primary continue to serve. leaderLease is how long VMs
	// read from a server after a proof of its leadership. ackedTerm is the term of the newest
	// acknowledged commit.
	formerServes bool
	leaderLease  time.Duration
	ackedTerm    uint64
	// joins makes servers join and restart at any time, instead of only while all are reachable.
	joins bool
	// departs makes replicas announce their end and end. calm stops all events but commits.
	departs, calm bool
	// vm observes the row of the group. As long as a promotion may take effect, VMs withhold
	// acknowledgements of other servers than its target, and take nothing for a proof that those
	// lead: a call to promote that got no answer may be executed seconds later, and until then the
	// old primary acknowledges commits with any replica.
	vm       *Steward
	store    *fakeStore
	problems []string
	trace    []string
	// turns is the number of calls, by server; "" stands for the platform and the store.
	turns map[string]int
}

// await delays a call so that no two calls run at the same time of the bubble's clock, nor at the
// time of a timeout: the order of concurrent calls depends on the seed alone.
func (m *model) await(server string) {
	const period, maxServers = time.Millisecond, 16
	m.mu.Lock()
	m.turns[server]++
	offset := time.Duration(m.turns[server] * maxServers)
	m.mu.Unlock()
	if server != "" {
		offset += time.Duration(server[0] - 'a' + 1)
	}
	now := modelNow()
	time.Sleep(period - time.Duration(now)%period + offset)
}

// modelNow is the clock of the bubble.
func modelNow() boottime.Time { return boottime.Time(time.Now().UnixNano()) }

// tracef adds an event to the trace that is printed on failure. The mutex is held.
func (m *model) tracef(format string, args ...any) {
	m.trace = append(m.trace, fmt.Sprintf("%d: ", m.calls)+fmt.Sprintf(format, args...))
}

type order struct {
	target string
	token  uint64
	at     int // call at which it is executed
}

func newModel(seed uint64, store *fakeStore) *model {
	m := &model{rand: rand.New(rand.NewPCG(seed, seed)), term: 1, turns: map[string]int{}, store: store}
	m.vm = newSteward("vm9", store, &fakeGroup{})
	m.vm.cfg.Now = modelNow
	for i := range 3 {
		m.servers = append(m.servers, &modelServer{id: string(rune('a' + i)), up: true, listed: true, term: 1})
	}
	m.primary = m.servers[0]
	return m
}

// step executes due orders, makes a commit and may cause a random event. The mutex is held.
func (m *model) step() {
	m.calls++
	for i := 0; i < len(m.pendingOrders); i++ {
		if o := m.pendingOrders[i]; m.calls >= o.at {
			m.pendingOrders = append(m.pendingOrders[:i], m.pendingOrders[i+1:]...)
			m.executeOrder(o)
			i--
		}
	}
	m.prove()
	m.read()
	m.commit()
	if m.calm {
		return
	}
	if m.departs {
		m.depart()
	}
	s := m.servers[m.rand.IntN(len(m.servers))]
	if s.ended {
		return
	}
	starts := !m.hasUnreachable() || m.joins
	if m.joins && m.rand.IntN(4) == 0 {
		m.disturbReplicas()
	}
	switch m.rand.IntN(40) {
	case 0, 1:
		s.notReceiving = !s.notReceiving
		m.tracef("%s not receiving %t", s.id, s.notReceiving)
	case 2:
		s.unreachable = !s.unreachable && m.wereAllListed()
		m.tracef("%s unreachable %t", s.id, s.unreachable)
	case 3:
		if starts && s != m.primary {
			s.up, s.paused, s.held, s.lastStatus = !s.up, false, 0, nil
			s.startCount++
			m.tracef("%s up %t", s.id, s.up)
		}
	case 4:
		if s == m.primary && m.rand.IntN(3) == 0 {
			s.up = false
			m.tracef("primary %s down", s.id)
		} else if starts && !s.up {
			s.up, s.paused, s.held, s.lastStatus = true, false, 0, nil
			s.startCount++
			m.tracef("%s up again", s.id)
		}
	case 5:
		s.wasListed = s.wasListed || s.listed
		s.listed = !s.listed
	case 6:
		if starts && len(m.servers) < 5 {
			fresh := &modelServer{id: string(rune('a' + len(m.servers))), up: true, term: m.term}
			if m.primary != nil {
				fresh.received, fresh.lastLogTerm = m.primary.received, m.primary.lastLogTerm
			}
			fresh.listed = m.joins
			m.servers = append(m.servers, fresh)
			m.tracef("%s starts without an entry", fresh.id)
		}
	}
}

// disturbReplicas starts a server, restarts a replica, or changes whether one receives.
func (m *model) disturbReplicas() {
	s := m.servers[m.rand.IntN(len(m.servers))]
	switch m.rand.IntN(3) {
	case 0:
		if len(m.servers) < 8 && m.primary != nil {
			fresh := &modelServer{id: string(rune('a' + len(m.servers))), up: true, listed: true, term: m.term, received: m.primary.received, lastLogTerm: m.primary.lastLogTerm}
			m.servers = append(m.servers, fresh)
			m.tracef("%s joins", fresh.id)
		}
	case 1:
		if s != m.primary && s.up {
			s.paused, s.held, s.lastStatus = false, 0, nil
			s.startCount++
			m.tracef("%s restarts", s.id)
		}
	case 2:
		s.notReceiving = !s.notReceiving
		m.tracef("%s not receiving %t", s.id, s.notReceiving)
	}
}

// commit makes a commit at the primary and replicates its log.
func (m *model) commit() {
	p := m.primary
	if p == nil || !p.up {
		return
	}
	m.number++
	p.received, p.lastLogTerm, p.term = m.number, m.term, m.term
	sent := modelNow()
	withheld := m.isWithheld(p)
	for _, r := range m.servers {
		if r != p && r.up && !r.paused && !r.notReceiving && !r.servesAsFormer {
			r.received, r.lastLogTerm, r.term = p.received, p.lastLogTerm, m.term
			if withheld {
				continue
			}
			m.acked, m.ackedTerm, p.provedAt = p.received, m.term, sent
		}
	}
	if !p.unreachable {
		m.observedAcked = m.acked
	}
}

// isWithheld reports whether VMs withhold acknowledgements of the server.
func (m *model) isWithheld(s *modelServer) bool {
	rows, _, err := m.store.Rows(context.Background(), Table)
	if err != nil {
		panic(err) // the fake store does not fail
	}
	for _, r := range rows {
		if _, err := m.vm.Observe(r); err != nil {
			panic(err) // stewards write valid rows
		}
	}
	targets, _ := m.vm.OutstandingTargets("g")
	return slices.ContainsFunc(targets, func(target string) bool { return target != s.id })
}

// read lets the VMs read from each replaced server that still acts as primary, as long as
// their leader lease holds.
func (m *model) read() {
	for _, s := range m.servers {
		if s.servesAsFormer && s.up && modelNow().Sub(s.provedAt) < m.leaderLease && m.ackedTerm > s.term {
			m.problems = append(m.problems, fmt.Sprintf("call %d: a current read ran at %s, of term %d, while a commit of term %d is acknowledged", m.calls, s.id, s.term, m.ackedTerm))
		}
		if s.servesAsFormer && !s.unreachable && m.rand.IntN(5) == 0 {
			s.servesAsFormer = false // it has observed its successor
		}
	}
}

func (m *model) hasUnreachable() bool {
	for _, s := range m.servers {
		if s.unreachable {
			return true
		}
	}
	return false
}

// wereAllListed reports whether each server has had a discovery entry.
func (m *model) wereAllListed() bool {
	for _, s := range m.servers {
		if !s.listed && !s.wasListed {
			return false
		}
	}
	return true
}

func (m *model) server(id string) *modelServer {
	for _, s := range m.servers {
		if s.id == id {
			return s
		}
	}
	return nil
}

// executeOrder executes an order.
func (m *model) executeOrder(o order) error {
	if o.token < m.token {
		return errkind.New(errkind.Fenced, "model")
	}
	m.token = o.token
	m.tracef("order %+v", o)
	s := m.server(o.target)
	switch {
	case !s.up:
		return errkind.New(errkind.Fenced, "model")
	case s == m.primary:
		return nil
	}
	m.commit()
	if s.received < m.acked {
		m.problems = append(m.problems, fmt.Sprintf("call %d: %s was promoted with %d commits, %d are acknowledged", m.calls, s.id, s.received, m.acked))
	}
	m.term++
	if old := m.primary; old != nil {
		old.servesAsFormer = m.formerServes && old.up
	}
	s.servesAsFormer = false
	m.primary, m.number = s, s.received
	for _, r := range m.servers {
		if m.term >= r.held {
			r.paused, r.held = false, 0
		}
		if r != s && r.up && !r.servesAsFormer {
			r.received = min(r.received, s.received)
		}
	}
	s.lastLogTerm, s.term, s.provedAt = m.term, m.term, 0
	return nil
}

// modelConn is a connection to a server that a restart of the server breaks.
type modelConn struct {
	statement.Conn
	model  *model
	server *modelServer
	start  int
}

func (modelConn) Close() {}

func (c modelConn) Alive() bool {
	c.model.mu.Lock()
	defer c.model.mu.Unlock()
	return c.server.up && c.server.startCount == c.start
}

func (m *model) Dial(_ context.Context, _, _, id, _ string) (statement.Conn, error) {
	m.await(id)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.step()
	s := m.server(id)
	if !s.up || s.unreachable {
		return nil, errkind.New(errkind.Unreachable, "model")
	}
	return modelConn{model: m, server: s, start: s.startCount}, nil
}

// control runs a control statement unless the server is unreachable or has restarted since
// the connection was opened. The answer may be lost after the statement has run.
func (m *model) control(c statement.Conn, run func(*modelServer) error) (statement.ServerStatus, error) {
	conn := c.(modelConn)
	m.await(conn.server.id)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.step()
	s := conn.server
	if !s.up || s.unreachable || s.startCount != conn.start {
		return statement.ServerStatus{}, errkind.New(errkind.Unreachable, "model")
	}
	before := *s
	if err := run(s); err != nil {
		m.tracef("%s refuses", s.id)
		return statement.ServerStatus{}, err
	}
	m.tracef("%s answers at %d, paused %t, was %t, primary %t", s.id, s.received, s.paused, before.paused, s == m.primary)
	if m.rand.IntN(30) == 0 && !m.calm {
		return statement.ServerStatus{}, errkind.New(errkind.Unreachable, "model: answer lost")
	}
	return m.statusOf(s), nil
}

func (m *model) statusOf(s *modelServer) statement.ServerStatus {
	return statement.ServerStatus{Primary: s == m.primary || s.servesAsFormer, Term: s.term, PausedTerm: s.held, Received: position.Position{Term: 1, Offset: s.received}}
}

// prove lets VMs on the primary's side of a network partition, which reach every server that is
// up, ask replicas whether they follow each server that acts as the primary.
func (m *model) prove() {
	for _, p := range m.servers {
		if m.leaderLease == 0 || !p.up || p != m.primary && !p.servesAsFormer {
			continue
		}
		others, now, withheld := 0, modelNow(), m.isWithheld(p)
		var answers []leaderproof.Answer
		for _, r := range m.servers {
			if r == p || !r.listed && !r.wasListed {
				continue
			}
			if others++; !r.up {
				continue
			}
			a, earlier := leaderproof.Answer{Status: m.statusOf(r), Sent: now, Arrived: now}, r.lastStatus
			r.lastStatus, answers = &a, append(answers, a)
			if !withheld {
				p.provedAt = leaderproof.Extend(m.leaderLease, p.term, p.provedAt, earlier, a)
			}
		}
		if start, ok := leaderproof.Establish(p.term, others, answers); ok && !withheld {
			p.provedAt = max(p.provedAt, start)
		}
	}
}

func (m *model) Status(c statement.Conn, _ time.Duration) (statement.ServerStatus, error) {
	return m.control(c, func(*modelServer) error { return nil })
}

func (m *model) Pause(c statement.Conn, term uint64, _ time.Duration) (statement.ServerStatus, error) {
	return m.control(c, func(s *modelServer) error {
		if term > s.term && s != m.primary && !s.servesAsFormer {
			s.paused, s.held = true, term
		}
		return nil
	})
}

func (m *model) Resume(c statement.Conn, _ time.Duration) (statement.ServerStatus, error) {
	return m.control(c, func(s *modelServer) error { s.paused, s.held = false, 0; return nil })
}

func (m *model) StepDown(c statement.Conn, term uint64, _ time.Duration) (statement.ServerStatus, error) {
	return m.control(c, func(s *modelServer) error {
		if s == m.primary && term > m.term {
			m.primary = nil
		}
		if s.servesAsFormer && term > s.term {
			s.servesAsFormer = false
		}
		return nil
	})
}

// Promote executes an order at once, after its answer, or never. An order that is not
// answered may be executed much later.
func (m *model) Promote(_ context.Context, _, server, _ string, token uint64) error {
	m.await("")
	m.mu.Lock()
	defer m.mu.Unlock()
	m.step()
	o := order{target: server, token: token}
	outcome := m.rand.IntN(4)
	if m.joins && m.rand.IntN(2) == 0 {
		outcome = 0
	}
	if m.calm {
		outcome = 2
	}
	switch outcome {
	case 0:
		o.at = m.calls + m.rand.IntN(60)
		m.pendingOrders = append(m.pendingOrders, o)
		return errkind.New(errkind.PlatformUnknown, "model")
	case 1:
		return errkind.New(errkind.PlatformUnavailable, "model")
	}
	m.step()
	return m.executeOrder(o)
}

// task returns a task with the state of the group that a VM observes.
func (m *model) task() Task {
	m.await("")
	m.mu.Lock()
	defer m.mu.Unlock()
	m.step()
	t := Task{
		Group: "g", Reason: Missing, OnPrimaryAnswered: func() {}, OnPromoted: func(string) {},
		Acknowledged: func() position.Position {
			m.mu.Lock()
			defer m.mu.Unlock()
			return position.Position{Term: 1, Offset: m.observedAcked}
		},
	}
	t.IsAcknowledgedComplete = func() bool {
		m.mu.Lock()
		defer m.mu.Unlock()
		return m.observedAcked == m.acked
	}
	t.IsDomainReachable = func(s Server, _ boottime.Time) bool {
		m.mu.Lock()
		defer m.mu.Unlock()
		return !m.server(s.ID).unreachable
	}
	t.Servers = m.knownServers()
	t.RefreshServers = func(context.Context) ([]Server, error) {
		m.await("")
		m.mu.Lock()
		defer m.mu.Unlock()
		m.step()
		return m.knownServers(), nil
	}
	if m.calm {
		if m.primary != nil && m.primary.up {
			t.Primary, t.Reason = m.primary.id, Departing
		}
		return t
	}
	if m.wereAllListed() && m.rand.IntN(5) == 0 {
		// All VMs have restarted: they know the roster, but no primary and no acknowledged commit.
		m.observedAcked = 0
		m.tracef("all VMs restart")
		return t
	}
	if m.primary != nil {
		t.Primary = m.primary.id
		t.Reason = []Reason{Leaving, CommitStuck, Unfinished}[m.rand.IntN(3)]
		if m.departs && m.rand.IntN(2) == 0 {
			t.Reason = Departing
		}
		if !m.primary.up || m.primary.unreachable {
			t.Reason = Silent
		}
	}
	return t
}

// knownServers returns the servers that have, or had, an entry. The mutex is held.
func (m *model) knownServers() (list []Server) {
	for _, s := range m.servers {
		known := Server{ID: s.id, Started: int64(s.startCount), Leaving: s.departing, Departing: s.departing}
		if s.goneAt > 0 {
			known.ConfirmedGone, known.Position = true, position.Position{Term: 1, Offset: s.goneAt}
		}
		switch {
		case s.listed:
			list = append(list, known)
		case s.wasListed:
			known.Missing = time.Minute
			list = append(list, known)
		}
	}
	return list
}

// Servers join and restart while orders have no answer, and the old primary goes on. What it
// acknowledges then is lost, unless VMs withhold it.
func TestNoSeriesOfAttemptsWithServersThatJoinLosesACommit(t *testing.T) {
	runModel(t, func(m *model) { m.joins = true }, 0)
}

// Attempts of several stewards under random faults promote no server that lacks an
// acknowledged commit.
func TestNoSeriesOfAttemptsLosesACommit(t *testing.T) { runModel(t, func(*model) {}, 0) }

// modelLeaderLease is how long VMs read from a server after a proof of its leadership.
const modelLeaderLease = 30 * time.Millisecond

// A replaced primary continues to answer reads, and VMs on its side of a network partition
// send them as long as their leader lease holds (akwaaba-letters trouble-1).
func TestNoSeriesOfAttemptsLetsAReplacedPrimaryServeReads(t *testing.T) {
	runModel(t, func(m *model) { m.formerServes, m.leaderLease = true, modelLeaderLease }, modelLeaderLease)
}

// Servers that join while orders have no answer confirm the old primary to VMs.
func TestNoSeriesOfAttemptsWithServersThatJoinLetsAReplacedPrimaryServeReads(t *testing.T) {
	runModel(t, func(m *model) { m.formerServes, m.leaderLease, m.joins = true, modelLeaderLease, true }, modelLeaderLease)
}

// observedLongAgo returns the row of the group as a VM knows it that has followed the table.
func observedLongAgo(t *testing.T, s *fakeStore) rowObservation {
	o := rowObservation{version: s.version}
	if row, ok := s.rows["g"]; ok {
		if err := json.Unmarshal(row.Value, &o.record); err != nil {
			t.Error(err)
		}
	}
	return o
}

// runModel runs a series of attempts for each seed. Stewards wait for the leader lease before
// they replace an unreachable primary.
func runModel(t *testing.T, prepare func(*model), leaderLease time.Duration) {
	const seeds = 1500
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runSeries(t, seed, prepare, leaderLease) })
		})
	}
}

// runSeries runs the series of attempts of a seed, in a bubble.
func runSeries(t *testing.T, seed uint64, prepare func(*model), leaderLease time.Duration) {
	const attempts = 8
	log := logrus.New()
	log.SetOutput(io.Discard)
	m := newModel(seed, newFakeStore())
	prepare(m)
	for i := range attempts {
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(1+i%3)*time.Second)
		s := m.newSteward(t, i%2, leaderLease, log)
		task := m.task()
		err := s.runTask(ctx, task, s.cfg.Log)
		cancel()
		for _, p := range m.problems {
			t.Errorf("attempt %d (%s, %v): %s", i, task.Reason, err, p)
		}
		m.tracef("attempt %d ended: %s: %v", i, task.Reason, err)
		if len(m.problems) > 0 {
			t.Log(strings.Join(m.trace, "\n"))
			return
		}
	}
	if m.departs {
		m.checkRecovery(t, log)
	}
}

// newSteward returns the steward of a VM that has followed the table and has just started.
func (m *model) newSteward(t *testing.T, vm int, leaderLease time.Duration, log *logrus.Logger) *Steward {
	s := New(Config{
		VM: fmt.Sprint("vm", vm), Store: m.store, Dialer: m, Control: m, Promoter: m, LeaderLease: leaderLease, Now: modelNow, Log: logrus.NewEntry(log),
	})
	s.observations["g"] = observedLongAgo(t, m.store)
	return s
}
