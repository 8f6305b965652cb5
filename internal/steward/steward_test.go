package steward

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"

	"chicoryline/internal/boottime"
	"chicoryline/internal/coord"
	"chicoryline/internal/errkind"
	"chicoryline/internal/position"
	"chicoryline/internal/statement"
)

// fakeStore is one table of rows in memory. lostAnswers is how many of the next writes are
// executed without an answer.
type fakeStore struct {
	mu          sync.Mutex
	rows        map[string]coord.Row
	version     coord.Version
	lostAnswers int
}

func newFakeStore() *fakeStore { return &fakeStore{rows: map[string]coord.Row{}} }

func (s *fakeStore) Rows(context.Context, string) ([]coord.Row, coord.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []coord.Row
	for _, r := range s.rows {
		rows = append(rows, r)
	}
	return rows, s.version, nil
}

func (s *fakeStore) Watch(context.Context, string, coord.Version, time.Duration) ([]coord.Row, coord.Version, error) {
	return nil, 0, nil
}

func (s *fakeStore) Apply(_ context.Context, c coord.Change) (coord.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range c.If {
		if s.rows[x.Key].Version != x.Version {
			return 0, errkind.New(errkind.Conflict, "fake")
		}
	}
	s.version++
	for _, r := range c.Put {
		r.Version = s.version
		s.rows[r.Key] = r
	}
	if s.lostAnswers > 0 {
		s.lostAnswers--
		return 0, errkind.New(errkind.PlatformUnknown, "fake")
	}
	return s.version, nil
}

// put writes the row of the group g.
func (s *fakeStore) put(t *testing.T, r record) {
	t.Helper()
	value, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	s.version++
	s.rows["g"] = coord.Row{Table: Table, Key: "g", Version: s.version, Value: value}
}

// fakeGroup simulates the servers of a group and the platform that promotes them. It records
// events in order.
type fakeGroup struct {
	mu       sync.Mutex
	events   []string
	received map[string]uint64
	primary  string
	delay    time.Duration // between an order and its effect
	answers  []error       // to the next orders; nil after that
	tokens   []uint64
	down     map[string]bool
	// catchUp makes a resumed replica receive the whole log of the primary.
	catchUp bool
	// reused holds addresses at which a server of another group answers.
	reused map[string]bool
	// held holds the terms of the pauses.
	held map[string]uint64
	// beforePause is called with the server before each pause takes effect.
	beforePause func(server string)
	// countsTerms makes each promotion begin a new term, as on the platform; term is the present one.
	countsTerms bool
	term        uint64
}

// fakeConn is a connection to a server of the group.
type fakeConn struct {
	statement.Conn
	server string
}

func (fakeConn) Close() {}

func (fakeConn) Alive() bool { return true }

func (g *fakeGroup) recordEvent(format string, args ...any) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.events = append(g.events, fmt.Sprintf(format, args...))
}

// history returns the recorded events.
func (g *fakeGroup) history() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.events)
}

// currentPrimary returns the ID of the primary, or "".
func (g *fakeGroup) currentPrimary() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primary
}

// losePrimary leaves the group without a primary.
func (g *fakeGroup) losePrimary() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.primary = ""
}

func (g *fakeGroup) Dial(_ context.Context, address, _, server, _ string) (statement.Conn, error) {
	if g.reused[address] {
		return nil, errkind.New(errkind.WrongServer, "fake")
	}
	if g.down[server] {
		return nil, errkind.New(errkind.Unreachable, "fake")
	}
	return fakeConn{server: server}, nil
}

func (g *fakeGroup) status(c statement.Conn) statement.ServerStatus {
	g.mu.Lock()
	defer g.mu.Unlock()
	id := c.(fakeConn).server
	return statement.ServerStatus{Primary: g.primary == id, Term: max(g.term, 1), PausedTerm: g.held[id], Received: position.Position{Term: 1, Offset: g.received[id]}}
}

func (g *fakeGroup) Status(c statement.Conn, _ time.Duration) (statement.ServerStatus, error) {
	return g.status(c), nil
}

func (g *fakeGroup) Pause(c statement.Conn, term uint64, _ time.Duration) (statement.ServerStatus, error) {
	id := c.(fakeConn).server
	g.recordEvent("pause %s at %d", id, term)
	if g.beforePause != nil {
		g.beforePause(id)
	}
	g.hold(id, term)
	return g.status(c), nil
}

// hold sets the term of the server's pause.
func (g *fakeGroup) hold(id string, term uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.held == nil {
		g.held = map[string]uint64{}
	}
	g.held[id] = term
}

func (g *fakeGroup) Resume(c statement.Conn, _ time.Duration) (statement.ServerStatus, error) {
	id := c.(fakeConn).server
	g.recordEvent("resume %s", id)
	g.hold(id, 0)
	if g.catchUp {
		g.mu.Lock()
		g.received[id] = max(g.received[id], g.received[g.primary])
		g.mu.Unlock()
	}
	return g.status(c), nil
}

func (g *fakeGroup) StepDown(c statement.Conn, term uint64, _ time.Duration) (statement.ServerStatus, error) {
	id := c.(fakeConn).server
	g.recordEvent("step down %s at %d", id, term)
	g.losePrimary()
	return g.status(c), nil
}

func (g *fakeGroup) Promote(_ context.Context, _, server, _ string, token uint64) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tokens = append(g.tokens, token)
	if len(g.answers) > 0 {
		err := g.answers[0]
		g.answers = g.answers[1:]
		return err
	}
	g.events = append(g.events, "promote "+server)
	if server == g.primary {
		return nil
	}
	time.AfterFunc(g.delay, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.primary = server
		delete(g.held, server)
		if g.countsTerms {
			g.term = max(g.term, 1) + 1
		}
		g.events = append(g.events, server+" leads")
	})
	return nil
}

func newSteward(vm string, s *fakeStore, g *fakeGroup) *Steward {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return New(Config{VM: vm, Store: s, Dialer: g, Control: g, Promoter: g, Log: logrus.NewEntry(log)})
}

// runChange runs one primary change of a group of a, b and c whose known primary is a.
func runChange(s *Steward) (string, error) { return runChangeFor(s, Missing) }

// runChangeFor is runChange for the given reason.
func runChangeFor(s *Steward, reason Reason) (string, error) {
	done := ""
	ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
	defer cancel()
	err := s.runTask(ctx, Task{
		Group: "g", Primary: "a", Servers: []Server{{ID: "a"}, {ID: "b"}, {ID: "c"}}, Reason: reason,
		OnPrimaryAnswered: func() {},
		OnPromoted:        func(server string) { done = server },
	}, s.cfg.Log)
	return done, err
}

// The old primary continues for a while after the order. A replica resumed during that time
// let it acknowledge a commit that the target lacked (hunt kremstal-ballon, trouble-1
// --seed 486565410010: LOST).
func TestReplicasStayPausedUntilTheTargetLeads(t *testing.T) {
	g := &fakeGroup{received: map[string]uint64{"b": 7, "c": 5}, down: map[string]bool{"a": true}, delay: 100 * time.Millisecond}
	if done, err := runChangeFor(newSteward("vm1", newFakeStore(), g), Silent); err != nil || done != "b" {
		t.Fatalf("%q, %v", done, err)
	}
	if diff := cmp.Diff([]string{"pause c at 2", "promote b", "b leads", "resume c"}, g.history()); diff != "" {
		t.Error(diff)
	}
}

func TestOrderWithoutAnswerIsRepeatedWithAHigherToken(t *testing.T) {
	unknown := errkind.New(errkind.PlatformUnknown, "fake")
	g := &fakeGroup{received: map[string]uint64{"b": 7, "c": 7}, answers: []error{unknown, unknown}}
	if _, err := runChange(newSteward("vm1", newFakeStore(), g)); err != nil {
		t.Fatal(err)
	}
	for i := 1; i < len(g.tokens); i++ {
		if g.tokens[i] <= g.tokens[i-1] {
			t.Errorf("tokens %v do not increase", g.tokens)
		}
	}
	if len(g.tokens) != 3 {
		t.Errorf("%d orders", len(g.tokens))
	}
}

func TestRefusedTokenEndsTheChange(t *testing.T) {
	g := &fakeGroup{received: map[string]uint64{"b": 7, "c": 7}, answers: []error{errkind.New(errkind.Fenced, "fake")}}
	if done, err := runChange(newSteward("vm1", newFakeStore(), g)); !errkind.Is(err, errkind.Fenced) || done != "" || len(g.tokens) != 1 {
		t.Errorf("%q, %v, tokens %v", done, err, g.tokens)
	}
}

func TestNothingIsOrderedWithoutAllReplicas(t *testing.T) {
	g := &fakeGroup{received: map[string]uint64{"b": 7, "c": 7}, down: map[string]bool{"c": true}}
	if _, err := runChange(newSteward("vm1", newFakeStore(), g)); err == nil || len(g.tokens) != 0 {
		t.Errorf("%v, tokens %v", err, g.tokens)
	}
}

// VMs that were partitioned have missed the answers of a primary that serves the other VMs
// (incident inc-b86f: healthy primaries were replaced).
func TestPrimaryThatAnswersIsNotReplaced(t *testing.T) {
	g := &fakeGroup{received: map[string]uint64{"b": 7, "c": 7}, primary: "a"}
	s := newSteward("vm1", newFakeStore(), g)
	if done, err := runChangeFor(s, Silent); !errkind.Is(err, errkind.Conflict) || done != "" || len(g.tokens) != 0 {
		t.Errorf("%q, %v, tokens %v", done, err, g.tokens)
	}
	g.down = map[string]bool{"a": true}
	if done, err := runChangeFor(s, Silent); err != nil || done != "b" && done != "c" {
		t.Errorf("a silent primary was not replaced: %q, %v", done, err)
	}
}

// While the store does not answer, the backoff between attempts grows for all groups
// together. An answer ends it.
func TestStoreOutageDelaysAttempts(t *testing.T) {
	o := newStoreBackoff()
	now, attempts := boottime.Time(time.Hour), 0
	failed := errkind.New(errkind.PlatformUnavailable, "fake")
	for end := now.Add(6 * time.Second); now < end; now = now.Add(100 * time.Millisecond) {
		for range 8 { // groups
			if !o.Active(now) {
				attempts++
				o.record(now, failed)
			}
		}
	}
	if attempts > 5 {
		t.Errorf("%d calls in an outage of 6 s", attempts)
	}
	if o.record(now, failed); !o.Active(now) {
		t.Error("no backoff after a failed call")
	}
	if o.record(now, errkind.New(errkind.Conflict, "fake")); o.Active(now) {
		t.Error("an answer does not end the backoff")
	}
}

func TestSecondStewardWaitsForTheLeaseToExpire(t *testing.T) {
	store := newFakeStore()
	g := &fakeGroup{received: map[string]uint64{"b": 7, "c": 7}}
	if _, err := runChange(newSteward("vm1", store, g)); err != nil {
		t.Fatal(err)
	}
	if _, err := runChange(newSteward("vm2", store, g)); !errkind.Is(err, errkind.Conflict) {
		t.Errorf("a second steward does not wait for the lease to expire: %v", err)
	}
}

func TestLostAnswerOfTheRowIsReadBack(t *testing.T) {
	store := newFakeStore()
	store.lostAnswers = 1
	g := &fakeGroup{received: map[string]uint64{"b": 7, "c": 7}}
	if done, err := runChange(newSteward("vm1", store, g)); err != nil || done == "" {
		t.Errorf("%q, %v", done, err)
	}
}

func TestTokensAreNeverUsedTwice(t *testing.T) {
	store := newFakeStore()
	g := &fakeGroup{received: map[string]uint64{"b": 7, "c": 7}}
	for range 3 {
		g.losePrimary()
		if _, err := runChange(newSteward("vm1", store, g)); err != nil {
			t.Fatal(err)
		}
	}
	used := map[uint64]bool{}
	for _, token := range g.tokens {
		if used[token] {
			t.Errorf("token %d is used twice", token)
		}
		used[token] = true
	}
}

// While an earlier steward's order may still be executed, only its target is resumed.
func TestUnfinishedOrderKeepsTheOthersPaused(t *testing.T) {
	store := newFakeStore()
	value := `{"holder":"vm1","token":4,"active":true,"target":"b"}`
	store.rows["g"] = coord.Row{Table: Table, Key: "g", Value: []byte(value), Version: 1}
	store.version = 1
	g := &fakeGroup{received: map[string]uint64{"b": 7, "c": 9}, down: map[string]bool{"c": true}}
	s := newSteward("vm1", store, g)
	if _, err := runChange(s); err == nil {
		t.Fatal("no error although a replica is unreachable")
	}
	r, _, _, err := s.readRow(context.Background(), "g")
	if err != nil || !r.Active || !slices.Equal(r.Earlier, []string{"b"}) || r.Token != 5 {
		t.Errorf("row %+v, %v", r, err)
	}
	for _, e := range g.history() {
		if e != "resume b" {
			t.Errorf("event %q", e)
		}
	}
}
