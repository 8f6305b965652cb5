package connset

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chicoryline/internal/admission"
	"chicoryline/internal/boottime"
	"chicoryline/internal/errkind"
	"chicoryline/internal/statement"
)

// fakeConn answers every command with success and records the commands.
type fakeConn struct {
	mu      sync.Mutex
	sent    []string
	fail    string // text whose answer is an error
	pending []string
	closed  bool
}

func (c *fakeConn) Send(commands ...statement.Command) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range commands {
		c.sent = append(c.sent, m.Text)
		c.pending = append(c.pending, m.Text)
	}
	return nil
}

func (c *fakeConn) Receive(time.Duration) (statement.Result, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) == 0 {
		return statement.Result{}, errors.New("no command is waiting for an answer")
	}
	text := c.pending[0]
	c.pending = c.pending[1:]
	r := statement.Result{Status: statement.Idle, Signature: text}
	if text == c.fail {
		r.Err, r.Status = errkind.New(errkind.StatementFailed, "made to fail"), statement.Failed
	}
	return r, nil
}

func (c *fakeConn) Alive() bool { return !c.closed }
func (c *fakeConn) Close()      { c.closed = true }

// fakeDialer opens fake connections up to a limit.
type fakeDialer struct {
	mu    sync.Mutex
	conns []*fakeConn
	limit int
}

func (d *fakeDialer) Dial(_ context.Context, _, _, _, _ string) (statement.Conn, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	open := 0
	for _, c := range d.conns {
		if !c.closed {
			open++
		}
	}
	if d.limit > 0 && open >= d.limit {
		return nil, errkind.New(errkind.ConnectionLimit, "fake")
	}
	c := &fakeConn{}
	d.conns = append(d.conns, c)
	return c, nil
}

type fakeTexts struct{}

func (fakeTexts) Begin(bool) string                  { return "begin" }
func (fakeTexts) Rollback() string                   { return "rollback" }
func (fakeTexts) Reset() string                      { return "reset" }
func (fakeTexts) Set(n, v string) string             { return "set " + n + "=" + v }
func (fakeTexts) Prepare(n, s string, _ bool) string { return "prepare " + s }
func (fakeTexts) Execute(n, a string) string         { return "execute " + a }

var patientRequest = Request{Customer: "a", MaxWait: time.Hour}

func acquire(t *testing.T, s *Set, r Request) *Conn {
	t.Helper()
	c, err := s.Acquire(context.Background(), r)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func TestConnectionsBelongToCustomers(t *testing.T) {
	d := &fakeDialer{}
	s := New(d, "", "g", "s", 2)
	a := acquire(t, s, Request{Customer: "a", MaxWait: time.Hour})
	a.Release()
	if again := acquire(t, s, Request{Customer: "a", MaxWait: time.Hour}); again != a {
		t.Error("the customer's idle connection is not reused")
	}
	a.Release()
	b := acquire(t, s, Request{Customer: "b", MaxWait: time.Hour})
	if b.Customer != "b" || len(d.conns) != 2 {
		t.Errorf("connection of %s, %d opened", b.Customer, len(d.conns))
	}
	c := acquire(t, s, Request{Customer: "c", MaxWait: time.Hour})
	if c.Customer != "c" || !d.conns[0].closed || s.Stats().Evictions != 1 {
		t.Error("the idle connection of another customer was not replaced at the limit")
	}
}

func TestRequestBeyondMaxWaitIsRejectedAtOnce(t *testing.T) {
	s := New(&fakeDialer{}, "", "g", "s", 1)
	held := acquire(t, s, patientRequest)
	_, err := s.Acquire(context.Background(), Request{Customer: "a", MaxWait: time.Millisecond})
	if !errkind.Is(err, errkind.QueueFull) {
		t.Errorf("error %v, want queue_full", err)
	}
	held.Release()
	acquire(t, s, Request{Customer: "a", MaxWait: time.Millisecond})
}

// queue adds requests to the queue of a set whose only connection is in use, and returns the
// order in which they are served.
func queue(t *testing.T, customerOfHeld string, requests []Request) []string {
	t.Helper()
	s := New(&fakeDialer{}, "", "g", "s", 1)
	held := acquire(t, s, Request{Customer: customerOfHeld, MaxWait: time.Hour})
	order := make(chan string, len(requests))
	var wg sync.WaitGroup
	for i, r := range requests {
		wg.Go(func() {
			c, err := s.Acquire(context.Background(), r)
			if err != nil {
				t.Error(err)
				return
			}
			order <- fmt.Sprint(r.Customer, r.Priority)
			c.Release()
		})
		for s.Stats().Waiting != i+1 {
			time.Sleep(time.Millisecond)
		}
	}
	held.Release()
	wg.Wait()
	close(order)
	var list []string
	for o := range order {
		list = append(list, o)
	}
	return list
}

func TestQueueOrder(t *testing.T) {
	for _, c := range []struct {
		name     string
		held     string
		requests []Request
		want     []string
	}{
		{"priority first", "x", []Request{{Customer: "a", Priority: 2, MaxWait: time.Hour}, {Customer: "b", Priority: 1, MaxWait: time.Hour}}, []string{"b1", "a2"}},
		{"idle connection is used before another is opened", "b", []Request{{Customer: "a", Priority: 1, MaxWait: time.Hour}, {Customer: "b", Priority: 1, MaxWait: time.Hour}}, []string{"b1", "a1"}},
		{"in the order of arrival", "x", []Request{{Customer: "a", Priority: 1, MaxWait: time.Hour}, {Customer: "b", Priority: 1, MaxWait: time.Hour}, {Customer: "c", Priority: 1, MaxWait: time.Hour}}, []string{"a1", "b1", "c1"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if diff := cmp.Diff(c.want, queue(t, c.held, c.requests)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestLateRequestsAreServedAfterThoseInTime(t *testing.T) {
	s := New(&fakeDialer{}, "", "g", "s", 1)
	now := boottime.Now()
	before := s.state(now.Add(-time.Second))
	late, _ := s.queue.Admit(admission.Request{Customer: "a", Arrived: now - 100, LatestStart: now - 1}, nil, before)
	fresh, _ := s.queue.Admit(admission.Request{Customer: "b", Arrived: now - 10, LatestStart: now.Add(time.Hour)}, nil, before)
	if late == nil || s.queue.Next(s.state(now)) != fresh {
		t.Error("a request that has missed its objective goes before one that can meet it")
	}
}

// Guards against running statements after their time limit when a frozen VM resumes: the end of
// the limit was noticed only after the connection had been granted.
func TestResumedVMRefusesOldRequests(t *testing.T) {
	s := New(&fakeDialer{}, "", "g", "s", 1)
	held := acquire(t, s, patientRequest)
	failed := make(chan error)
	go func() {
		_, err := s.Acquire(context.Background(), Request{Customer: "a", MaxWait: time.Hour, Deadline: boottime.Now().Add(20 * time.Millisecond)})
		failed <- err
	}()
	for s.Stats().Waiting == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(30 * time.Millisecond)
	held.Release()
	if err := <-failed; !errkind.Is(err, errkind.QueueTimeout) {
		t.Errorf("error %v, want queue_timeout", err)
	}
}

// Guards against reads that a replica may serve in the places of work that only the primary can
// run.
func TestReplaceableReadsArePaced(t *testing.T) {
	s := New(&fakeDialer{}, "", "g", "s", 4)
	s.SetRanked(true, 1)
	s.LimitReplaceable(0.5)
	read := Request{Customer: "a", Priority: 1, MaxWait: time.Hour, Replaceable: true}
	acquire(t, s, read)
	time.Sleep(10 * time.Millisecond)
	if _, err := s.Acquire(context.Background(), Request{Customer: "a", Replaceable: true}); !errkind.Is(err, errkind.QueueFull) {
		t.Errorf("error %v, want queue_full for a read beyond the limit", err)
	}
	acquire(t, s, Request{Customer: "a"}) // a write
	s.UnlimitReplaceable()
	acquire(t, s, read)
}

func TestConnectionLimitPausesGrowth(t *testing.T) {
	d := &fakeDialer{limit: 1}
	s := New(d, "", "g", "s", 4)
	acquire(t, s, patientRequest)
	if _, err := s.Acquire(context.Background(), patientRequest); !errkind.Is(err, errkind.ConnectionLimit) {
		t.Fatalf("error %v, want connection_limit", err)
	}
	if _, err := s.Acquire(context.Background(), Request{Customer: "a"}); !errkind.Is(err, errkind.QueueFull) {
		t.Errorf("error %v, want queue_full: the server must not be asked again at once", err)
	}
}

// The window shrinks at once when a server rejects work or is slow, so that its queue stays
// short, and grows back after fast answers.
func TestWindowFollowsTheServer(t *testing.T) {
	w := newWindow(8)
	w.noteOverload()
	if got := w.size(); got != 6 {
		t.Errorf("window %d after a refusal, want 6", got)
	}
	w.noteOverload() // a second sign within shrinkInterval
	if got := w.size(); got != 6 {
		t.Errorf("window %d, want 6: a burst of refusals counts once", got)
	}
	for range 100 {
		w.shrunkAt = 0
		w.noteResponse(slowResponse + 1)
	}
	if got := w.size(); got != 1 {
		t.Errorf("window %d after slow answers, want 1", got)
	}
	for range 100 {
		w.noteResponse(time.Millisecond)
	}
	if got := w.size(); got != 8 {
		t.Errorf("window %d after fast answers, want the limit 8", got)
	}
	w.setLimit(3)
	if got := w.size(); got != 3 {
		t.Errorf("window %d, want the limit 3", got)
	}
}

func TestAlignSendsOnlyMissingState(t *testing.T) {
	p := NewPrepared("shape", true)
	for _, c := range []struct {
		name  string
		have  []SessionState
		need  SessionState
		wants []string
	}{
		{"nothing", nil, SessionState{}, nil},
		{"a value", nil, SessionState{Values: map[string]string{"a": "1"}}, []string{"set a=1"}},
		{"the same value again", []SessionState{{Values: map[string]string{"a": "1"}}}, SessionState{Values: map[string]string{"a": "1"}}, nil},
		{"another value", []SessionState{{Values: map[string]string{"a": "1"}}}, SessionState{Values: map[string]string{"a": "2"}}, []string{"set a=2"}},
		{"an extra value", []SessionState{{Values: map[string]string{"a": "1"}}}, SessionState{}, []string{"reset"}},
		{"prepared", nil, SessionState{Prepared: p}, []string{"prepare shape"}},
		{"prepared before", []SessionState{{Prepared: p}}, SessionState{Prepared: p}, nil},
		{"prepared before a reset", []SessionState{{Prepared: p}, {Values: map[string]string{"a": "1"}}}, SessionState{Prepared: p}, []string{"reset", "prepare shape"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := &fakeDialer{}
			conn := acquire(t, New(d, "", "g", "s", 1), patientRequest)
			for _, n := range c.have {
				if _, err := conn.Align(n, fakeTexts{}, nil, time.Second); err != nil {
					t.Fatal(err)
				}
			}
			d.conns[0].sent = nil
			if _, err := conn.Align(c.need, fakeTexts{}, nil, time.Second); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(c.wants, d.conns[0].sent); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestFailedSetUpStopsTheStatement(t *testing.T) {
	d := &fakeDialer{}
	conn := acquire(t, New(d, "", "g", "s", 1), patientRequest)
	d.conns[0].fail = "set a=1"
	if _, err := conn.Align(SessionState{Values: map[string]string{"a": "1"}}, fakeTexts{}, nil, time.Second); err == nil {
		t.Fatal("a failed setup returns no error")
	}
}

func TestUnreadAnswersAreDrainedByNextUser(t *testing.T) {
	d := &fakeDialer{}
	s := New(d, "", "g", "s", 1)
	c := acquire(t, s, patientRequest)
	if err := c.Start(statement.Command{Text: "read"}, statement.Command{Text: "rollback"}); err != nil {
		t.Fatal(err)
	}
	if r, err := c.Receive(time.Second); err != nil || r.Signature != "read" {
		t.Fatalf("answer %+v, %v", r, err)
	}
	c.Release()
	c = acquire(t, s, patientRequest)
	if err := c.Start(statement.Command{Text: "second"}); err != nil {
		t.Fatal(err)
	}
	if r, err := c.Receive(time.Second); err != nil || r.Signature != "second" {
		t.Errorf("answer %+v, %v: want the answer to the second command", r, err)
	}
}

// Guards against ignoring the answer to a rollback: the next customer's statement then ran in
// the transaction that was still open.
func TestFailedRollbackMakesConnectionUnusable(t *testing.T) {
	d := &fakeDialer{}
	s := New(d, "", "g", "s", 1)
	c := acquire(t, s, patientRequest)
	d.conns[0].fail = "rollback"
	c.RollbackAndRelease(fakeTexts{})
	c = acquire(t, s, patientRequest)
	if err := c.Start(statement.Command{Text: "second"}); !errkind.Is(err, errkind.Unreachable) {
		t.Errorf("error %v, want unreachable", err)
	}
	if d := cmp.Diff([]string{"rollback"}, d.conns[0].sent); d != "" {
		t.Errorf("sent: %s", d)
	}
}

func TestClosedSetRefuses(t *testing.T) {
	s := New(&fakeDialer{}, "", "g", "s", 1)
	held := acquire(t, s, patientRequest)
	failed := make(chan error)
	go func() {
		_, err := s.Acquire(context.Background(), patientRequest)
		failed <- err
	}()
	for s.Stats().Waiting == 0 {
		time.Sleep(time.Millisecond)
	}
	s.Close()
	if err := <-failed; err == nil {
		t.Error("a queued request of a closed set gets a connection")
	}
	held.Release()
	if n := s.Stats().Open; n != 0 {
		t.Errorf("%d connections are open", n)
	}
}

// VMs move parts of the limit of a server between each other. Guards against using a higher
// limit while another VM still uses the connections that it has to close: 11 connections were
// open where 9 are allowed (TestConnectionsStayWithinTheLimit, once of 4 runs).
func TestHigherLimitWaits(t *testing.T) {
	var r LimitRaise
	limit, now := 1, boottime.Time(time.Hour)
	for _, step := range []struct {
		after     time.Duration
		requested int
		want      int
		because   string
	}{
		{0, 5, 1, "it has just been requested"},
		{raiseDelay / 2, 4, 1, "the delay is not over"},
		{raiseDelay, 6, 4, "4 was the lowest during the delay"},
		{raiseDelay, 6, 4, "a new delay begins"},
		{0, 2, 2, "a lower limit applies at once"},
		{0, 9, 2, "it has just been requested"},
		{0, 1, 1, "a lower limit applies at once"},
		{2 * raiseDelay, 9, 1, "the earlier raise was cancelled"},
		{raiseDelay, 9, 9, "it was requested for the whole delay"},
	} {
		now = now.Add(step.after)
		if limit = r.Next(now, limit, step.requested); limit != step.want {
			t.Fatalf("requested %d: limit %d, want %d: %s", step.requested, limit, step.want, step.because)
		}
	}
}

// Guards against a timer for a less urgent read that delays a more urgent one, which may start
// earlier.
func TestUrgentReadDoesNotWaitForThePaceOfOthers(t *testing.T) {
	s := New(&fakeDialer{}, "", "g", "s", 4)
	s.SetRanked(true, 1)
	s.LimitReplaceable(0.05)
	read := Request{Customer: "a", Priority: 1, MaxWait: 5 * time.Second, Replaceable: true}
	other := read
	other.Priority = 2
	c := acquire(t, s, other)
	time.Sleep(10 * time.Millisecond)
	c.Release() // a pause of 200 ms for urgent reads, of 700 ms for others
	go s.Acquire(t.Context(), other)
	for s.Stats().Waiting == 0 {
		time.Sleep(time.Millisecond)
	}
	start, wait := boottime.Now(), s.ExpectedWait(read)
	acquire(t, s, read)
	if took := boottime.Since(start); took > wait+100*time.Millisecond {
		t.Errorf("served after %v, expected after %v", took, wait)
	}
}

// Guards against a request on behalf of a caller that uses up the precedence of its statement.
func TestPromiseIsKeptForTheStatement(t *testing.T) {
	s := New(&fakeDialer{}, "", "g", "s", 4)
	r := Request{Customer: "a", MaxWait: time.Second}
	first := boottime.Now()
	time.Sleep(s.PromiseReturn(r, first, 0))
	r.KeepsPromise = true
	acquire(t, s, r).Release()
	if got := s.returns.Redeem(boottime.Now(), "a", 0); got != first {
		t.Errorf("promise redeemed: arrived at %v, want %v", got, first)
	}
}

// Guards against a read that waits, for its whole time limit, for connections of a set that has none
// and may not open any: it arrived behind the pace, or the set lost its connections meanwhile.
func TestPacedReadIsRefusedWithoutConnections(t *testing.T) {
	for _, noGrowthAtArrival := range []bool{true, false} {
		s := New(&fakeDialer{}, "", "g", "s", 4)
		s.SetRanked(true, 1)
		s.LimitReplaceable(2)
		forbid := func() { s.noGrowthUntil = boottime.Now().Add(time.Minute) }
		s.mu.Lock()
		now := boottime.Now()
		for range 3 {
			s.pace.Start(now, 1)
		}
		if noGrowthAtArrival {
			forbid()
		}
		s.mu.Unlock()
		time.AfterFunc(20*time.Millisecond, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			forbid()
			for range 3 {
				s.pace.End(boottime.Now())
			}
		})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := s.Acquire(ctx, Request{Customer: "a", Priority: 1, Replaceable: true, MaxWait: time.Second}); !errkind.Is(err, errkind.ConnectionLimit) {
			t.Errorf("growth forbidden at arrival %v: error %v, want connection_limit", noGrowthAtArrival, err)
		}
	}
}

// Guards against idle connections that keep the large values and prepared statements of sessions
// that have ended.
func TestIdleConnectionsForgetLargeState(t *testing.T) {
	large := strings.Repeat("x", 1<<20)
	p := NewPrepared(large, true)
	if n := len(p.Name); n > 100 || p.Name == NewPrepared(large+"y", true).Name {
		t.Errorf("name of %d bytes", n)
	}
	s := New(&fakeDialer{}, "", "", "", 1)
	c := acquire(t, s, patientRequest)
	if _, err := c.Align(SessionState{Values: map[string]string{"v": large}, Prepared: p}, fakeTexts{}, nil, time.Second); err != nil {
		t.Fatal(err)
	}
	c.Release()
	if len(c.values) > 0 || !c.dirty {
		t.Error("values are kept")
	}
	if c = acquire(t, s, patientRequest); c.setupCommands(SessionState{}, fakeTexts{})[0].Text != "reset" {
		t.Error("connection is not reset")
	}
}
