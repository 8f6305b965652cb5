package steward

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"chicoryline/internal/boottime"
	"chicoryline/internal/errkind"
	"chicoryline/internal/position"
	"chicoryline/internal/statement"
)

// modelServer is a server of a model group. Its log is a count of commits: logs of one
// history differ in length only.
type modelServer struct {
	id       string
	received uint64
	// history is the term in which the last commit of the log was made.
	history uint64
	held    uint64
	up      bool
	// paused and deaf servers receive nothing; cut ones are out of the stewards' reach and
	// go on replicating.
	paused, deaf, cut bool
	// listed tells that the server's entry is there; vanished that it was once.
	listed, vanished bool
	starts           int
	// serves tells that the server was replaced and goes on as the primary of its term;
	// proved is when a commit last proved that it leads.
	serves bool
	term   uint64
	proved boottime.Time
}

// model is a database group with its platform. Something may happen at each call: commits,
// servers that go deaf, out of reach, down and up again, entries that vanish, servers that
// start without one, orders that are carried out late. While a server is out of the
// stewards' reach, each has had an entry and none starts: nothing outside could know of it.
type model struct {
	mu      sync.Mutex
	rand    *rand.Rand
	servers []*modelServer
	primary *modelServer
	term    uint64
	number  uint64 // of the newest commit
	acked   uint64
	seen    uint64 // acknowledged, as far as VMs in touch know
	token   uint64
	late    []order
	calls   int
	// replacedServe makes a primary that was replaced go on; lead is how long VMs read
	// from a server after a proof that it leads. ackedTerm is that of the newest
	// acknowledged commit.
	replacedServe bool
	lead          time.Duration
	ackedTerm     uint64
	problems      []string
	trace         []string
}

// note keeps what happened, for the report of a failure. The mutex is held.
func (m *model) note(format string, args ...any) {
	m.trace = append(m.trace, fmt.Sprintf("%d: ", m.calls)+fmt.Sprintf(format, args...))
}

type order struct {
	target string
	token  uint64
	at     int // call at which it is carried out
}

func newModel(seed uint64) *model {
	m := &model{rand: rand.New(rand.NewPCG(seed, seed)), term: 1}
	for i := range 3 {
		m.servers = append(m.servers, &modelServer{id: string(rune('a' + i)), up: true, listed: true})
	}
	m.primary = m.servers[0]
	return m
}

// next lets something happen. The mutex is held.
func (m *model) next() {
	m.calls++
	for i := 0; i < len(m.late); i++ {
		if o := m.late[i]; m.calls >= o.at {
			m.late = append(m.late[:i], m.late[i+1:]...)
			m.take(o)
			i--
		}
	}
	m.read()
	m.commit()
	s := m.servers[m.rand.IntN(len(m.servers))]
	starts := !m.anyCut()
	switch m.rand.IntN(40) {
	case 0, 1:
		s.deaf = !s.deaf
		m.note("%s deaf %t", s.id, s.deaf)
	case 2:
		s.cut = !s.cut && m.allKnown()
		m.note("%s cut %t", s.id, s.cut)
	case 3:
		if starts && s != m.primary {
			s.up, s.paused, s.held = !s.up, false, 0
			s.starts++
			m.note("%s up %t", s.id, s.up)
		}
	case 4:
		if s == m.primary && m.rand.IntN(3) == 0 {
			s.up = false
			m.note("primary %s down", s.id)
		} else if starts && !s.up {
			s.up, s.paused, s.held = true, false, 0
			s.starts++
			m.note("%s up again", s.id)
		}
	case 5:
		s.vanished = s.vanished || s.listed
		s.listed = !s.listed
	case 6:
		if starts && len(m.servers) < 5 {
			fresh := &modelServer{id: string(rune('a' + len(m.servers))), up: true}
			if m.primary != nil {
				fresh.received, fresh.history = m.primary.received, m.primary.history
			}
			m.servers = append(m.servers, fresh)
			m.note("%s starts without an entry", fresh.id)
		}
	}
}

// commit makes one at the primary and passes its log on.
func (m *model) commit() {
	p := m.primary
	if p == nil || !p.up {
		return
	}
	m.number++
	p.received, p.history, p.term = m.number, m.term, m.term
	sent := boottime.Now()
	for _, r := range m.servers {
		if r != p && r.up && !r.paused && !r.deaf && !r.serves {
			r.received, r.history = p.received, p.history
			m.acked, m.ackedTerm, p.proved = p.received, m.term, sent
		}
	}
	if !p.cut {
		m.seen = m.acked
	}
}

// read lets the VMs read from each server that takes itself for the primary, as long as
// they may rest on a proof of it.
func (m *model) read() {
	for _, s := range m.servers {
		if s.serves && s.up && boottime.Since(s.proved) < m.lead && m.ackedTerm > s.term {
			m.problems = append(m.problems, fmt.Sprintf("call %d: a current read ran at %s, of term %d, while a commit of term %d is acknowledged", m.calls, s.id, s.term, m.ackedTerm))
		}
		if s.serves && !s.cut && m.rand.IntN(5) == 0 {
			s.serves = false // it has heard of its successor
		}
	}
}

func (m *model) anyCut() bool {
	for _, s := range m.servers {
		if s.cut {
			return true
		}
	}
	return false
}

// allKnown tells that each server has had an entry.
func (m *model) allKnown() bool {
	for _, s := range m.servers {
		if !s.listed && !s.vanished {
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

// take carries an order out.
func (m *model) take(o order) error {
	if o.token < m.token {
		return errkind.New(errkind.Fenced, "model")
	}
	m.token = o.token
	m.note("order %+v", o)
	s := m.server(o.target)
	switch {
	case !s.up:
		return errkind.New(errkind.Fenced, "model")
	case s == m.primary:
		return nil
	}
	m.commit()
	if s.received < m.acked {
		m.problems = append(m.problems, fmt.Sprintf("call %d: %s leads with %d, %d is acknowledged", m.calls, s.id, s.received, m.acked))
	}
	m.term++
	if old := m.primary; old != nil {
		old.serves = m.replacedServe && old.up
	}
	s.serves = false
	m.primary, m.number = s, s.received
	for _, r := range m.servers {
		if m.term >= r.held {
			r.paused, r.held = false, 0
		}
		if r != s && r.up && !r.serves {
			r.received = min(r.received, s.received)
		}
	}
	s.history = m.term
	return nil
}

// modelConn is a connection to one start of a server.
type modelConn struct {
	statement.Conn
	server *modelServer
	start  int
}

func (modelConn) Close() {}

func (m *model) Dial(_ context.Context, _, _, id, _ string) (statement.Conn, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.next()
	s := m.server(id)
	if !s.up || s.cut {
		return nil, errkind.New(errkind.Unreachable, "model")
	}
	return modelConn{server: s, start: s.starts}, nil
}

// control runs a control statement unless the server is out of reach or has restarted.
// Its answer may be lost after it has run.
func (m *model) control(c statement.Conn, run func(*modelServer) error) (statement.ServerStatus, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.next()
	conn := c.(modelConn)
	s := conn.server
	if !s.up || s.cut || s.starts != conn.start {
		return statement.ServerStatus{}, errkind.New(errkind.Unreachable, "model")
	}
	before := *s
	if err := run(s); err != nil {
		m.note("%s refuses", s.id)
		return statement.ServerStatus{}, err
	}
	m.note("%s answers at %d, paused %t, was %t, primary %t", s.id, s.received, s.paused, before.paused, s == m.primary)
	if m.rand.IntN(30) == 0 {
		return statement.ServerStatus{}, errkind.New(errkind.Unreachable, "model: answer lost")
	}
	term := m.term
	if s.serves {
		term = s.term
	}
	return statement.ServerStatus{Primary: s == m.primary || s.serves, Term: term, PausedTerm: s.held, Received: position.Position{Term: 1, Offset: s.received}}, nil
}

func (m *model) Status(c statement.Conn, _ time.Duration) (statement.ServerStatus, error) {
	return m.control(c, func(*modelServer) error { return nil })
}

func (m *model) Pause(c statement.Conn, term uint64, _ time.Duration) (statement.ServerStatus, error) {
	return m.control(c, func(s *modelServer) error {
		if term > m.term && s != m.primary && !s.serves {
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
		if s.serves && term > s.term {
			s.serves = false
		}
		return nil
	})
}

// Promote carries an order out at once, after its answer, or never; one that is not
// answered may be carried out much later.
func (m *model) Promote(_ context.Context, _, server, _ string, token uint64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.next()
	o := order{target: server, token: token}
	switch m.rand.IntN(4) {
	case 0:
		o.at = m.calls + m.rand.IntN(60)
		m.late = append(m.late, o)
		return errkind.New(errkind.PlatformUnknown, "model")
	case 1:
		return errkind.New(errkind.PlatformUnavailable, "model")
	}
	m.next()
	return m.take(o)
}

// task describes the group as a VM sees it.
func (m *model) task() Task {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.next()
	t := Task{
		Group: "g", Reason: Missing, Answered: func() {}, Done: func(string) {},
		Acknowledged: func() position.Position {
			m.mu.Lock()
			defer m.mu.Unlock()
			return position.Position{Term: 1, Offset: m.seen}
		},
	}
	t.Witnessed = func() bool {
		m.mu.Lock()
		defer m.mu.Unlock()
		return m.seen == m.acked
	}
	t.DomainHeard = func(s Server, _ boottime.Time) bool {
		m.mu.Lock()
		defer m.mu.Unlock()
		return !m.server(s.ID).cut
	}
	for _, s := range m.servers {
		switch {
		case s.listed:
			t.Servers = append(t.Servers, Server{ID: s.id})
		case s.vanished:
			t.Servers = append(t.Servers, Server{ID: s.id, Missing: time.Minute})
		}
	}
	if m.primary != nil {
		t.Primary = m.primary.id
		t.Reason = []Reason{Leaving, CommitStuck, Unfinished}[m.rand.IntN(3)]
		if !m.primary.up || m.primary.cut {
			t.Reason = Silent
		}
	}
	return t
}

// Whatever happens around them, attempts of several stewards promote no server that
// lacks an acknowledged commit.
func TestNoSeriesOfAttemptsLosesACommit(t *testing.T) { playModel(t, func(*model) {}, 0) }

// A replaced primary goes on answering reads, and VMs beside it behind a partition send them
// as long as they may rest on a proof that it leads (akwaaba-letters trouble-1).
func TestNoSeriesOfAttemptsLetsAReplacedPrimaryServeReads(t *testing.T) {
	const lead = 30 * time.Millisecond
	playModel(t, func(m *model) { m.replacedServe, m.lead = true, lead }, lead)
}

// playModel runs series of attempts, one for each seed. Stewards wait for leadTime before
// they replace a primary out of reach.
func playModel(t *testing.T, prepare func(*model), leadTime time.Duration) {
	const seeds, attempts = 150, 8
	log := logrus.New()
	log.SetOutput(io.Discard)
	var all sync.WaitGroup
	for seed := range uint64(seeds) {
		all.Go(func() {
			m, store := newModel(seed), newFakeStore()
			prepare(m)
			for i := range attempts {
				ctx, cancel := context.WithTimeout(context.Background(), time.Duration(1+i%3)*time.Second)
				s := New(Config{VM: fmt.Sprint("vm", i%2), Store: store, Dialer: m, Control: m, Promoter: m, LeadTime: leadTime, Log: logrus.NewEntry(log)})
				s.seen["g"] = sighting{version: store.version} // long ago
				task := m.task()
				err := s.run(ctx, task, s.cfg.Log)
				cancel()
				for _, p := range m.problems {
					t.Errorf("seed %d, attempt %d (%s, %v): %s", seed, i, task.Reason, err, p)
				}
				m.note("attempt %d ended: %s: %v", i, task.Reason, err)
				if len(m.problems) > 0 {
					t.Log(strings.Join(m.trace, "\n"))
					return
				}
			}
		})
	}
	all.Wait()
}
