package pool

import (
	"errors"
	"strings"
	"testing"
	"time"

	"chicoryline/internal/errkind"
	"chicoryline/internal/position"
)

// recordStates returns a channel with the states that sessions enter from now on.
func (f *fixture) recordStates() <-chan string {
	states := make(chan string, 64)
	f.manager.trace = func(_ SessionID, state string) { states <- state }
	return states
}

func (f *fixture) startRequest(args *ExecuteArgs) <-chan error {
	result := make(chan error, 1)
	go func() {
		reply, err := f.execute(args)
		if code := serverError(reply); err == nil && code != "" {
			err = errors.New("SQLSTATE " + code)
		}
		result <- err
	}()
	return result
}

func awaitState(t *testing.T, states <-chan string, want string) {
	t.Helper()
	for {
		select {
		case got := <-states:
			if got == want {
				return
			}
		case <-time.After(time.Minute):
			t.Fatalf("state %s was not entered", want)
		}
	}
}

// TestBusyCountsTakenRequests checks what a planned stop waits for: Busy must count a
// request that waits for a connection, and a commit that waits for a majority, until
// they are answered.
func TestBusyCountsTakenRequests(t *testing.T) {
	f := newFixture(t, 1)
	hold := f.query("BEGIN")
	f.mustExecute(hold)
	states := f.recordStates()
	f.watcher.blockConfirm = make(chan struct{})
	write := f.query("INSERT INTO t (k, v) VALUES (1, 'a')")
	write.QueueTimeout = time.Minute
	result := f.startRequest(write)
	awaitState(t, states, "waiting")
	f.manager.Drain()
	if got := f.manager.Busy(); got != 2 {
		t.Errorf("waiting for a connection: %d busy, want 2", got)
	}
	f.mustExecute(f.continued(hold, "ROLLBACK"))
	awaitState(t, states, "confirming")
	if got := f.manager.Busy(); got != 1 {
		t.Errorf("waiting for the majority: %d busy, want 1", got)
	}
	close(f.watcher.blockConfirm)
	if err := <-result; err != nil {
		t.Fatal(err)
	}
	if got := f.manager.Busy(); got != 0 {
		t.Errorf("answered: %d busy, want 0", got)
	}
}

// TestAbortedRequestIsNotSent aborts a request that waits for a connection, as an entry
// does whose caller has disconnected. The request must not run.
func TestAbortedRequestIsNotSent(t *testing.T) {
	f := newFixture(t, 1)
	hold := f.query("BEGIN")
	f.mustExecute(hold)
	states := f.recordStates()
	write := f.query("INSERT INTO t (k, v) VALUES (1, 'a')")
	write.QueueTimeout = time.Minute
	result := f.startRequest(write)
	awaitState(t, states, "waiting")
	if err := NewService(f.manager).Abort(&SessionArgs{Session: write.Session}, &Empty{}); err != nil {
		t.Fatal(err)
	}
	if err := <-result; !errkind.Is(err, errkind.Canceled) {
		t.Fatalf("%v, want canceled", err)
	}
	f.mustExecute(f.continued(hold, "ROLLBACK"))
	if reply := f.mustExecute(f.query("SELECT count(*) FROM t")); !strings.Contains(string(reply.Answer), "\x00\x00\x00\x010") {
		t.Fatalf("the aborted request ran: %q", reply.Answer)
	}
}

// TestRequestWithUnreadAnswerPart sends a request while a part of the previous answer
// has not been fetched. The transaction must be aborted and the request must not run.
func TestRequestWithUnreadAnswerPart(t *testing.T) {
	f := newFixture(t, 1)
	for _, k := range []string{"1", "2", "3"} {
		f.mustExecute(f.query("INSERT INTO t (k, v) VALUES (" + k + ", '" + strings.Repeat("x", 64<<10) + "')"))
	}
	begin := f.query("BEGIN")
	f.mustExecute(begin)
	if reply := f.mustExecute(f.continued(begin, "SELECT v FROM t")); !reply.More {
		t.Fatal("the answer was not split")
	}
	if reply, err := f.execute(f.continued(begin, "SELECT 'second'")); !errkind.Is(err, errkind.TransactionLost) {
		t.Fatalf("%v %d bytes, want transaction lost", err, len(reply.Answer))
	}
	if f.manager.Busy() != 0 {
		t.Fatalf("%d sessions left", f.manager.Busy())
	}
}

// TestLateAbortKeepsNewerTransaction delivers the abort of an earlier request after the
// session has begun its next transaction, which must stay open.
func TestLateAbortKeepsNewerTransaction(t *testing.T) {
	f := newFixture(t, 1)
	lost := f.query("SELECT 1")
	f.mustExecute(lost)
	begin := f.query("BEGIN")
	begin.Session, begin.Seq = lost.Session, lost.Seq+1
	f.mustExecute(begin)
	for _, c := range []struct {
		seq  uint64
		open int
	}{{lost.Seq, 1}, {begin.Seq, 0}} {
		if err := NewService(f.manager).Abort(&SessionArgs{Session: lost.Session, Seq: c.seq}, &Empty{}); err != nil {
			t.Fatal(err)
		}
		if got := f.manager.Busy(); got != c.open {
			t.Fatalf("abort of request %d: %d open, want %d", c.seq, got, c.open)
		}
	}
}

// TestRejectionKeepsErrorKind sends a read to a replica that is behind. The error must
// be NotEligible, so that the entry tries another instance.
func TestRejectionKeepsErrorKind(t *testing.T) {
	f := newFixture(t, 1)
	args := f.query("SELECT v FROM t")
	args.Write, args.ReadOnly, args.MaxAge = false, true, time.Minute
	args.Min = position.Position{Term: 99}
	if _, err := f.execute(args); !errkind.Is(err, errkind.NotEligible) {
		t.Fatalf("%v, want not eligible", err)
	}
}
