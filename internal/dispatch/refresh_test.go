package dispatch

import (
	"os"
	"slices"
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"chicoryline/internal/answers"
	"chicoryline/internal/boottime"
	"chicoryline/internal/connset"
	"chicoryline/internal/errkind"
	"chicoryline/internal/position"
	"chicoryline/internal/statement"
)

// txConn answers each command in the transaction state that follows from it.
type txConn struct {
	answeringConn
	pending []statement.Status
}

func (c *txConn) Send(commands ...statement.Command) error {
	for _, m := range commands {
		if m.State != 0 {
			c.status = m.State
		}
		c.pending = append(c.pending, c.status)
	}
	return nil
}

func (c *txConn) Receive(time.Duration) (statement.Result, error) {
	if len(c.pending) == 0 {
		return statement.Result{}, os.ErrDeadlineExceeded
	}
	r := statement.Result{Position: c.at, Status: c.pending[0]}
	c.pending = c.pending[1:]
	return r, nil
}

// refreshGroup returns a group of one server, whose connections are all in use.
func refreshGroup(t *testing.T) (g *Group, release func()) {
	g = newGroup()
	g.cfg.Texts = scriptedTexts{}
	g.cfg.Dialer = dialFunc(func() (statement.Conn, error) {
		return &txConn{answeringConn: answeringConn{status: statement.Idle}}, nil
	})
	g.update(entryOf("a", true, 1))
	var held []*connset.Conn
	for range 4 {
		c, err := g.Leader().Conns.Acquire(t.Context(), connset.Request{MaxWait: time.Minute})
		if err != nil {
			t.Fatal(err)
		}
		held = append(held, c)
	}
	return g, func() {
		for _, c := range held {
			c.Release()
		}
	}
}

// Guards against an urgent read with 2 s left that fails with the time limit of an unimportant one,
// because both obtain the position of the primary together.
func TestSharedRefreshDoesNotShareItsTimeLimit(t *testing.T) {
	g, release := refreshGroup(t)
	time.AfterFunc(150*time.Millisecond, release)
	short := callFor(60 * time.Millisecond)
	short.Priority = 2
	failed := make(chan error, 1)
	go func() { failed <- g.RefreshPosition(t.Context(), short) }()
	for g.Leader().Conns.Stats().Waiting == 0 {
		time.Sleep(time.Millisecond)
	}
	if err := g.RefreshPosition(t.Context(), callFor(2*time.Second)); err != nil {
		t.Errorf("call with 2 s left: %v", err)
	}
	if err := <-failed; !errkind.Is(err, errkind.QueueTimeout) {
		t.Errorf("call with 60 ms: error %v, want queue_timeout", err)
	}
}

// Guards against a refused refresh that each of its callers repeats: they have no more time.
func TestEqualCallersShareAFailedRefresh(t *testing.T) {
	first := callFor(time.Second)
	for _, c := range []struct {
		priority int
		later    time.Duration
		want     bool
	}{{0, 0, false}, {0, 5 * time.Millisecond, false}, {1, 0, false}, {-1, 0, true}, {0, 100 * time.Millisecond, true}} {
		call := *first
		call.Priority, call.Deadline = c.priority, first.Deadline.Add(c.later)
		if got := call.mayOutlast(first); got != c.want {
			t.Errorf("priority %d, %v later: tries again %v", c.priority, c.later, got)
		}
	}
}

// Guards against a slow primary that stops reads at replicas: an empty transaction takes no slot. It
// must not use up the precedence of the read either.
func TestRefreshIsNoStatement(t *testing.T) {
	g, release := refreshGroup(t)
	s := g.Leader()
	s.noteSuccess(4*time.Second, position.Position{}) // expected response time: 500 ms
	call := callFor(300 * time.Millisecond)
	g.SetPrimaryExpectedAt(boottime.Now().Add(20 * time.Millisecond))
	returnIn := g.promisePrimary(call, 0)
	release()
	time.Sleep(returnIn)
	if err := g.RefreshPosition(t.Context(), call); err != nil {
		t.Errorf("time limit below the response time of the primary: %v", err)
	}
	if g.redeem(call); call.firstRefused != call.Arrived {
		t.Error("the promise to the caller was redeemed")
	}
}

// stutteringConn is a txConn whose third answers have those to the second commands between them.
type stutteringConn struct {
	txConn
	sends          int
	written, ready []statement.Result
}

func (c *stutteringConn) Send(commands ...statement.Command) error {
	c.at.Offset++
	c.sends++
	if err := c.txConn.Send(commands...); err != nil {
		return err
	}
	var answers []statement.Result
	for len(c.pending) > 0 {
		r, err := c.txConn.Receive(0)
		if err != nil {
			return err
		}
		answers = append(answers, r)
	}
	if c.sends == 3 {
		c.ready = slices.Insert(answers, 1, c.written...)
		return nil
	}
	c.ready, c.written = slices.Clone(answers), answers
	return nil
}

func (c *stutteringConn) Receive(time.Duration) (statement.Result, error) {
	if len(c.ready) == 0 {
		return statement.Result{}, os.ErrDeadlineExceeded
	}
	r := c.ready[0]
	c.ready = c.ready[1:]
	return r, nil
}

// Guards against a stale read: the answers to an earlier transaction came again, and the position in
// them was taken to cover commits that were acknowledged since.
func TestRepeatedBeginDoesNotRefreshThePosition(t *testing.T) {
	g := newGroup()
	g.cfg.Texts = scriptedTexts{}
	var conns []*stutteringConn
	g.cfg.Dialer = dialFunc(func() (statement.Conn, error) {
		c := &stutteringConn{txConn: txConn{answeringConn: answeringConn{status: statement.Idle, at: position.Position{Term: 1, Offset: uint64(10 * len(conns))}}}}
		conns = append(conns, c)
		return answers.New(c, scriptedTexts{}, answers.Report{Log: g.cfg.Log, Registry: gometrics.NewRegistry()}), nil
	})
	g.update(entryOf("a", true, 1))
	for i, want := range []uint64{1, 2, 11} {
		if err := g.RefreshPosition(t.Context(), callFor(time.Second)); err != nil {
			t.Fatal(err)
		}
		if got := g.History.Newest().Position.Offset; got != want {
			t.Errorf("refresh %d: position %d, want %d", i, got, want)
		}
	}
	if len(conns) != 2 {
		t.Errorf("%d connections opened, want 2: the one that repeats answers is closed", len(conns))
	}
}

// The answer to BEGIN may be an earlier one that came again; a signed answer is not.
func TestPositionOfAReadIsThatOfItsSignedAnswer(t *testing.T) {
	g := scriptedGroup(&scriptedServer{})
	if _, err := g.Begin(scriptedCall("")); err != nil {
		t.Fatal(err)
	}
	if got := g.History.Newest().Position; !got.IsZero() {
		t.Errorf("position %v after BEGIN", got)
	}
	g = scriptedGroup(&scriptedServer{})
	if _, err := g.ReadCurrent(scriptedCall("read")); err != nil {
		t.Fatal(err)
	}
	if got := g.History.Newest().Position.Offset; got != 2 {
		t.Errorf("position %d after BEGIN and a read, want 2", got)
	}
}
