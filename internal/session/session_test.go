package session

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"chicoryline/internal/access"
	"chicoryline/internal/boottime"
	"chicoryline/internal/connset"
	"chicoryline/internal/dispatch"
	"chicoryline/internal/errkind"
	"chicoryline/internal/statement"
)

// server accepts every statement and records its ID.
type server struct {
	connset.Texts
	ids []string
}

func (s *server) Dial(context.Context, string, string, string, string) (statement.Conn, error) {
	return s, nil
}

func (s *server) Send(commands ...statement.Command) error {
	for _, c := range commands {
		if c.ID != "" {
			s.ids = append(s.ids, c.ID)
		}
	}
	return nil
}

func (s *server) Receive(time.Duration) (statement.Result, error) {
	return statement.Result{Signature: "s", Status: statement.InTx}, nil
}

func (s *server) Alive() bool       { return true }
func (s *server) Close()            {}
func (s *server) Begin(bool) string { return "begin" }
func (s *server) Rollback() string  { return "rollback" }

func (s *server) Execute(name, args string) string          { return name + args }
func (s *server) Prepare(name, shape string, _ bool) string { return name + shape }

// unlimited admits every operation and ignores the results.
type unlimited struct{}

func (unlimited) Admit(access.Customer) (time.Duration, bool) { return 0, true }
func (unlimited) Statement(Event)                             {}

// newSession returns a session of customer c, whose key is k.
func newSession(t *testing.T) (*Session, *access.View, *server) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := &server{}
	router := dispatch.NewRouter(dispatch.Config{LeaveTime: time.Minute, Dialer: s, Texts: s, Log: logrus.NewEntry(log)})
	router.SetLimits("g", 4, func(*dispatch.Server) int { return 4 })
	router.Update(dispatch.ServerInfo{ID: "a", Group: "g", Slots: 5, Primary: true, Version: 1})
	view := access.NewView(time.Hour)
	configure(view, 1, map[string]string{"k": "c"})
	core := &Core{Access: view, Limiter: unlimited{}, Router: router, Observer: unlimited{}, Texts: s, Log: logrus.NewEntry(log)}
	session, err := core.Open(t.Context(), "db", "k")
	if err != nil {
		t.Fatal(err)
	}
	return session, view, s
}

func configure(v *access.View, version int64, keys map[string]string) {
	v.Apply(&access.Config{
		Version: version, Keys: keys, Customers: map[string]access.Customer{"c": {Name: "c"}},
		Routes: map[string]access.Route{"db": {Database: "db", Group: "g", Timeout: time.Minute, Target: time.Minute}},
	})
	v.ConfirmNewest(version, boottime.Now())
}

// Guards against checking the key only at the start of a transaction: its holder could
// continue the open transaction without limit after the key was withdrawn.
func TestWithdrawnKeyEndsTheOpenTransaction(t *testing.T) {
	for _, op := range []statement.Op{statement.Read, statement.Write, statement.Commit} {
		s, view, server := newSession(t)
		s.Handle(statement.Statement{ID: "1", Op: statement.Begin})
		if r := s.Handle(statement.Statement{ID: "2", Op: statement.Read}); r.Err != nil {
			t.Fatal(r.Err)
		}
		configure(view, 2, nil)
		r := s.Handle(statement.Statement{ID: "3", Op: op})
		if !errkind.Is(r.Err, errkind.Unauthorized) || len(server.ids) != 1 {
			t.Errorf("operation %d: error %v, statements sent %v", op, r.Err, server.ids)
		}
		if want := op != statement.Commit; s.tx != nil != want {
			t.Errorf("operation %d: transaction is open: %v, want %v", op, !want, want)
		}
		if r := s.Handle(statement.Statement{ID: "4", Op: statement.Rollback}); r.Status != statement.Idle || len(server.ids) != 1 {
			t.Errorf("operation %d: state %c, statements sent %v", op, r.Status, server.ids)
		}
	}
}

// A VM that does not know whether its configuration is the newest cannot know whether the key
// is still valid.
func TestStaleConfigurationEndsTheOpenTransaction(t *testing.T) {
	s, _, server := newSession(t)
	s.Handle(statement.Statement{ID: "1", Op: statement.Begin})
	if r := s.Handle(statement.Statement{ID: "2", Op: statement.Read}); r.Err != nil {
		t.Fatal(r.Err)
	}
	s.core.Access = access.NewView(time.Hour) // no configuration is known to be current
	r := s.Handle(statement.Statement{ID: "3", Op: statement.Read})
	if !errkind.Is(r.Err, errkind.ConfigStale) || len(server.ids) != 1 {
		t.Errorf("error %v, statements sent %v", r.Err, server.ids)
	}
}

// Guards against rejecting callers that connect while the process reads its first configuration.
func TestOpenWaitsForFirstConfiguration(t *testing.T) {
	_, _, s := newSession(t)
	view := access.NewView(time.Hour)
	core := &Core{Access: view, WaitForConfigUntil: boottime.Now().Add(time.Minute), Limiter: unlimited{}, Observer: unlimited{}, Texts: s}
	opened := make(chan error)
	go func() {
		_, err := core.Open(t.Context(), "db", "k")
		opened <- err
	}()
	view.Apply(&access.Config{Version: 1, Routes: map[string]access.Route{"db": {Database: "db", Public: true}}})
	view.ConfirmNewest(1, boottime.Now())
	if err := <-opened; err != nil {
		t.Errorf("session that came before the configuration: %v", err)
	}
	core.Access, core.WaitForConfigUntil = access.NewView(time.Hour), boottime.Now()
	if _, err := core.Open(t.Context(), "db", "k"); !errkind.Is(err, errkind.ConfigStale) {
		t.Errorf("session after the wait for the configuration has ended: %v", err)
	}
}
