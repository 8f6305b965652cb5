package pool

import (
	"context"
	"errors"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"chicoryline/internal/errkind"
)

func TestCommitWaitsForMajority(t *testing.T) {
	f := newFixture(t, 2)
	reply := f.mustExecute(f.query("INSERT INTO t (k, v) VALUES (1, 'a')"))
	if !reply.Committed || reply.Position.IsZero() {
		t.Fatalf("position %s, committed %t", reply.Position, reply.Committed)
	}
	f.watcher.confirmErr = errors.New("no majority")
	if _, err := f.execute(f.query("INSERT INTO t (k, v) VALUES (2, 'b')")); !errkind.Is(err, errkind.OutcomeUnknown) {
		t.Fatalf("unconfirmed commit: %v, want outcome unknown", err)
	}
}

func TestReadFromReplacedPrimaryIsDiscarded(t *testing.T) {
	f := newFixture(t, 2)
	args := f.query("SELECT v FROM t")
	args.Current = true
	f.mustExecute(args)
	f.watcher.readIndexErr = errkind.New(errkind.NoPrimary, "")
	args = f.query("SELECT v FROM t")
	args.Current = true
	if reply, err := f.execute(args); !errkind.Is(err, errkind.AnswerIncomplete) {
		t.Fatalf("%v %q, want the answer to be discarded", err, reply.Answer)
	}
}

func TestWriteRequiresConfirmedPrimary(t *testing.T) {
	f := newFixture(t, 2)
	f.watcher.setPrimary("db2")
	if _, err := f.execute(f.query("INSERT INTO t (k, v) VALUES (1, 'a')")); !errkind.Is(err, errkind.NoPrimary) {
		t.Fatalf("%v, want no primary", err)
	}
}

func TestTransactionOwnsItsConnection(t *testing.T) {
	f := newFixture(t, 2)
	a, b := f.query("BEGIN"), f.query("BEGIN")
	f.mustExecute(a)
	f.mustExecute(b)
	f.mustExecute(f.continued(a, "INSERT INTO t (k, v) VALUES (1, 'a')"))
	if reply := f.mustExecute(f.continued(b, "SELECT v FROM t")); strings.Contains(string(reply.Answer), "\x00\x00\x00\x01a") {
		t.Fatal("a transaction saw the other's uncommitted row")
	}
	// Both connections are in use, so a third request waits until it times out.
	if _, err := f.execute(f.query("SELECT 1")); !errkind.Is(err, errkind.QueueTimeout) {
		t.Fatalf("%v, want queue timeout", err)
	}
	commit := f.continued(a, "COMMIT")
	if reply := f.mustExecute(commit); reply.Status != 'I' || !reply.Committed {
		t.Fatalf("status %c committed %t", reply.Status, reply.Committed)
	}
	f.mustExecute(f.continued(b, "ROLLBACK"))
	if f.manager.Busy() != 0 {
		t.Fatalf("%d sessions left", f.manager.Busy())
	}
}

func TestEntryFailureRollsBack(t *testing.T) {
	f := newFixture(t, 1)
	a := f.query("BEGIN")
	f.mustExecute(a)
	f.mustExecute(f.continued(a, "INSERT INTO t (k, v) VALUES (1, 'a')"))
	f.manager.DropVM("vm", 1)
	if _, err := f.execute(f.continued(a, "COMMIT")); !errkind.Is(err, errkind.TransactionLost) {
		t.Fatalf("%v, want transaction lost", err)
	}
	if reply := f.mustExecute(f.query("SELECT count(*) FROM t")); !strings.Contains(string(reply.Answer), "\x00\x00\x00\x010") {
		t.Fatalf("rows left: %q", reply.Answer)
	}
}

func TestPreparedStatementsAcrossConnections(t *testing.T) {
	f := newFixture(t, 2)
	f.mustExecute(f.query("INSERT INTO t (k, v) VALUES (7, 'seven')"))
	statement := Statement{Name: "cabc", Query: "SELECT v FROM t WHERE k = $1", Types: []uint32{20}}
	run := func(parse bool) string {
		var data []byte
		var err error
		if parse {
			data, err = (&pgproto3.Parse{Name: statement.Name, Query: statement.Query, ParameterOIDs: statement.Types}).Encode(data)
		}
		for _, m := range []pgproto3.FrontendMessage{
			&pgproto3.Bind{PreparedStatement: statement.Name, Parameters: [][]byte{[]byte("7")}}, &pgproto3.Execute{}, &pgproto3.Sync{},
		} {
			if err == nil {
				data, err = m.Encode(data)
			}
		}
		if err != nil {
			t.Fatal(err)
		}
		args := f.query("")
		args.Messages = data
		if !parse {
			args.Statements = []Statement{statement}
		}
		kinds := ""
		frames, err := splitFrames(f.mustExecute(args).Answer)
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range frames {
			kinds += string(m.kind())
		}
		return kinds
	}
	// A second Parse of a statement and a Bind without a Parse must be answered as on a
	// connection that only this caller uses, also on a new connection.
	for i, c := range []struct {
		parse bool
		want  string
	}{{true, "12DC"}, {true, "12DC"}, {false, "2DC"}} {
		if got := run(c.parse); got != c.want {
			t.Errorf("run %d: messages %s, want %s", i, got, c.want)
		}
	}
	hold := f.query("BEGIN")
	f.mustExecute(hold)
	if got := run(false); got != "2DC" {
		t.Errorf("on a new connection: messages %s, want 2DC", got)
	}
}

// TestConnectionWithUnreadAnswerIsNotReused first shows that reusing a connection with
// an unread answer returns the next request its own answer, and then that the pool
// doesn't reuse such a connection.
func TestConnectionWithUnreadAnswerIsNotReused(t *testing.T) {
	f := newFixture(t, 1)
	connWithUnreadAnswer := func() *conn {
		c, err := f.owner.acquireConn(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		x := &exchange{conn: c, deadline: time.Now().Add(time.Minute)}
		if err := x.start(f.query("SELECT 'first'")); err != nil {
			t.Fatal(err)
		}
		return c
	}
	nextAnswer := func(c *conn) string {
		x := &exchange{conn: c, deadline: time.Now().Add(time.Minute)}
		if err := x.start(f.query("SELECT 'second'")); err != nil {
			t.Fatal(err)
		}
		got, err := x.receive(nil)
		if err != nil {
			t.Fatal(err)
		}
		return string(got)
	}
	naive := connWithUnreadAnswer()
	if got := nextAnswer(naive); strings.Contains(got, "first") || !strings.Contains(got, "second") || naive.dropped != 1 {
		t.Fatalf("naive reuse returned %q, %d answers dropped", got, naive.dropped)
	}
	naive.close()
	f.owner.decrementOpen()

	c := connWithUnreadAnswer()
	for hasNoPendingInput(c.net.(syscall.Conn)) {
		time.Sleep(time.Millisecond)
	}
	f.owner.releaseConn(c)
	if reply := f.mustExecute(f.query("SELECT 'second'")); !strings.Contains(string(reply.Answer), "second") {
		t.Fatalf("answer %q", reply.Answer)
	}
	if !c.broken {
		t.Error("the connection with an unread answer was reused")
	}
}

// TestClosedConnectionIsNotReused closes the read side of an idle connection, as if the
// server had closed it. The next request must use a new connection.
func TestClosedConnectionIsNotReused(t *testing.T) {
	f := newFixture(t, 1)
	idle := f.owner.acquireIdleConn()
	if idle == nil {
		t.Fatal("no idle connection")
	}
	if err := idle.net.(*net.TCPConn).CloseRead(); err != nil {
		t.Fatal(err)
	}
	f.owner.releaseConn(idle)
	f.mustExecute(f.query("SELECT 1"))
}

func TestAnswerPartsMustBeInOrder(t *testing.T) {
	f := newFixture(t, 1)
	for i := range 40 {
		f.mustExecute(f.query("INSERT INTO t (k, v) VALUES (" + string(rune('0'+i/10)) + string(rune('0'+i%10)) + ", '" + strings.Repeat("x", 8<<10) + "')"))
	}
	args := f.query("SELECT v FROM t")
	reply := f.mustExecute(args)
	if !reply.More {
		t.Fatal("the answer was not split")
	}
	crossed := &ExecuteReply{}
	if err := f.manager.fetch(&FetchArgs{Session: args.Session, Seq: args.Seq + 1, Part: 1}, crossed); !errkind.Is(err, errkind.AnswerIncomplete) {
		t.Fatalf("part of another request: %v", err)
	}
	size := len(reply.Answer)
	for part := 1; reply.More; part++ {
		reply = &ExecuteReply{}
		if err := f.manager.fetch(&FetchArgs{Session: args.Session, Seq: args.Seq, Part: part}, reply); err != nil {
			t.Fatal(err)
		}
		size += len(reply.Answer)
	}
	if size < 40*8<<10 || f.manager.Busy() != 0 {
		t.Fatalf("%d bytes, %d sessions left", size, f.manager.Busy())
	}
}

func TestBrokenConnectionErrorKinds(t *testing.T) {
	cases := []struct {
		name string
		args func(f *fixture) *ExecuteArgs
		want errkind.Kind
	}{
		{"write", func(f *fixture) *ExecuteArgs { return f.query("SELECT pg_sleep(30)") }, errkind.OutcomeUnknown},
		{"read at a replica", func(f *fixture) *ExecuteArgs {
			a := f.query("SELECT pg_sleep(30)")
			a.ReadOnly = true
			return a
		}, errkind.AnswerIncomplete},
		{"inside a transaction", func(f *fixture) *ExecuteArgs {
			begin := f.query("BEGIN")
			f.mustExecute(begin)
			a := f.continued(begin, "SELECT pg_sleep(30)")
			a.MayCommit = false
			return a
		}, errkind.TransactionLost},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, 2)
			args := c.args(f)
			result := make(chan error, 1)
			go func() {
				_, err := f.execute(args)
				result <- err
			}()
			for !f.manager.running(args.Session) {
				time.Sleep(time.Millisecond)
			}

			f.server.Kill()
			if err := <-result; !errkind.Is(err, c.want) {
				t.Fatalf("%v, want %s", err, c.want)
			}
		})
	}
}

// TestStalledStatementIsAborted freezes the instance during a statement. A write must
// end when another instance has become primary, a read when the instance has not
// answered probes for maxTimeSinceAnswer.
func TestStalledStatementIsAborted(t *testing.T) {
	for _, c := range []struct {
		name  string
		write bool
		want  errkind.Kind
	}{{"write", true, errkind.OutcomeUnknown}, {"read", false, errkind.AnswerIncomplete}} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, 2)
			args := f.query("SELECT pg_sleep(30)")
			args.Write, args.ReadOnly = c.write, !c.write
			result := make(chan error, 1)
			go func() {
				_, err := f.execute(args)
				result <- err
			}()
			for !f.manager.running(args.Session) {
				time.Sleep(time.Millisecond)
			}
			f.server.Freeze()
			f.watcher.setPrimary("db2")
			f.watcher.timeSinceAnswer.Store(int64(time.Minute))
			if err := <-result; !errkind.Is(err, c.want) {
				t.Fatalf("%v, want %s", err, c.want)
			}
		})
	}
}

// running reports whether a statement of the session has been sent.
func (m *Manager) running(id SessionID) bool {
	s, err := m.findSession(id)
	if err != nil {
		return false
	}
	s.targetMu.Lock()
	defer s.targetMu.Unlock()
	return s.target != nil
}
