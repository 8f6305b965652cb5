package dispatch

import (
	"context"
	"os"
	"testing"
	"time"

	"chicoryline/internal/boottime"
	"chicoryline/internal/errkind"
	"chicoryline/internal/position"
	"chicoryline/internal/statement"
)

// scriptedServer answers each command with the end of its log, which grows by one with every
// answer. It withholds the answer to the command whose text is late once.
type scriptedServer struct {
	end      uint64
	late     string
	pending  []string
	rollback chan struct{}
}

func (s *scriptedServer) Dial(context.Context, string, string, string, string) (statement.Conn, error) {
	return s, nil
}

func (s *scriptedServer) Send(commands ...statement.Command) error {
	for _, c := range commands {
		s.pending = append(s.pending, c.Text)
		if c.Text == "rollback" {
			close(s.rollback)
		}
	}
	return nil
}

func (s *scriptedServer) Receive(time.Duration) (statement.Result, error) {
	text := s.pending[0]
	if text == s.late {
		s.late = ""
		return statement.Result{}, os.ErrDeadlineExceeded
	}
	s.pending = s.pending[1:]
	s.end++
	r := statement.Result{Signature: "s", Status: statement.Idle, Position: position.Position{Term: 1, Offset: s.end}}
	if text == "refused" {
		r.Err = errkind.New(errkind.StatementFailed, "made to fail")
	}
	return r, nil
}

func (s *scriptedServer) Alive() bool { return true }
func (s *scriptedServer) Close()      {}

type scriptedTexts struct{}

func (scriptedTexts) Begin(bool) string                   { return "begin" }
func (scriptedTexts) Rollback() string                    { return "rollback" }
func (scriptedTexts) Reset() string                       { return "reset" }
func (scriptedTexts) Set(string, string) string           { return "set" }
func (scriptedTexts) Prepare(string, string, bool) string { return "prepare" }
func (scriptedTexts) Execute(string, string) string       { return "execute" }

// scriptedGroup returns a group whose primary is the server.
func scriptedGroup(s *scriptedServer) *Group {
	g := newGroup()
	g.cfg.Dialer, g.cfg.Texts = s, scriptedTexts{}
	s.rollback = make(chan struct{})
	g.update(entryOf("a", true, 1))
	return g
}

func scriptedCall(text string) *Call {
	now := boottime.Now()
	return &Call{Customer: "c", Command: statement.Command{ID: "1", Text: text}, Deadline: now.Add(time.Minute), LatencyDeadline: now.Add(time.Minute), Arrived: now}
}

func (g *Group) wantAcknowledged(t *testing.T, what string, offset uint64) {
	t.Helper()
	want := position.Position{Term: 1, Offset: offset}
	if offset == 0 {
		want = position.Position{}
	}
	if got := g.Acknowledged(); got != want {
		t.Errorf("after %s %v is acknowledged, want %v", what, got, want)
	}
}

// scriptedTx returns a transaction that has run one statement.
func scriptedTx(t *testing.T, g *Group, write bool) *Tx {
	t.Helper()
	tx, err := g.Begin(scriptedCall(""))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := tx.Run(scriptedCall("statement"), write); err != nil {
		t.Fatal(err)
	}
	return tx
}

// Guards against counting positions in other answers: a primary whose commits reach no replica
// returns them there, and then no replica could ever be promoted.
func TestOnlyAcknowledgedCommitsRaiseTheAcknowledgedPosition(t *testing.T) {
	s := &scriptedServer{}
	g := scriptedGroup(s)
	commit := func(tx *Tx) {
		if _, err := tx.Commit(scriptedCall("commit")); err != nil {
			t.Fatal(err)
		}
	}
	tx := scriptedTx(t, g, false)
	commit(tx)
	g.wantAcknowledged(t, "a transaction that wrote nothing", 0)
	tx = scriptedTx(t, g, true)
	g.wantAcknowledged(t, "a write that is not committed", 0)
	commit(tx)
	g.wantAcknowledged(t, "a commit", 6)
	if _, err := g.Read(scriptedCall("read"), 0, position.Position{}); err != nil {
		t.Fatal(err)
	}
	g.wantAcknowledged(t, "a read", 6)
	if _, err := g.Write(scriptedCall("refused")); err == nil {
		t.Fatal("the refused write succeeded")
	}
	g.wantAcknowledged(t, "a refused write", 6)
	if _, err := g.Write(scriptedCall("write")); err != nil {
		t.Fatal(err)
	}
	g.wantAcknowledged(t, "a write", 9)
}

func TestLateAnswersOfCommitsAreAcknowledged(t *testing.T) {
	s := &scriptedServer{late: "write"}
	g := scriptedGroup(s)
	if _, err := g.Write(scriptedCall("write")); !errkind.Is(err, errkind.OutcomeUnknown) {
		t.Fatalf("error %v, want an unknown outcome", err)
	}
	<-s.rollback
	g.wantAcknowledged(t, "the late answer of a write", 1)

	s = &scriptedServer{late: "commit"}
	g = scriptedGroup(s)
	tx := scriptedTx(t, g, true)
	if _, err := tx.Commit(scriptedCall("commit")); !errkind.Is(err, errkind.OutcomeUnknown) {
		t.Fatalf("error %v, want an unknown outcome", err)
	}
	<-s.rollback
	g.wantAcknowledged(t, "the late answer of a commit", 3)
}

func TestAcknowledgedPositionNeverFalls(t *testing.T) {
	g := newGroup("a", "b")
	for _, c := range []struct{ observed, want position.Position }{
		{position.Position{Term: 1, Offset: 9}, position.Position{Term: 1, Offset: 9}},
		{position.Position{Term: 1, Offset: 7}, position.Position{Term: 1, Offset: 9}},
		{position.Position{}, position.Position{Term: 1, Offset: 9}},
		{position.Position{Term: 2, Offset: 3}, position.Position{Term: 2, Offset: 3}},
		{position.Position{Term: 1, Offset: 12}, position.Position{Term: 2, Offset: 3}}, // of the old primary
	} {
		g.ObserveAcknowledged(c.observed)
		if got := g.Acknowledged(); got != c.want {
			t.Errorf("after %v %v, want %v", c.observed, got, c.want)
		}
	}
	g.ObservePromotionOrder("b", false)
	if got := g.Acknowledged(); got != (position.Position{Term: 2, Offset: 3}) {
		t.Errorf("%v after a primary change", got)
	}
}
