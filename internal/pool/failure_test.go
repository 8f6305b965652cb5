package pool

import (
	"context"
	"strings"
	"testing"
	"time"

	"chicoryline/internal/errkind"
	"chicoryline/internal/standin/dbinstance"
)

func newTestScenario(t *testing.T) *scenario {
	t.Helper()
	w, err := newScenario()
	if err != nil {
		t.Fatal(err)
	}
	w.t = t
	t.Cleanup(w.close)
	return w
}

// TestCommitAnswerLost breaks the connection at a commit, before it takes effect
// and after. The proxy cannot tell which, so it must say so in both cases.
func TestCommitAnswerLost(t *testing.T) {
	for _, c := range []struct {
		when dbinstance.CommitBreak
		rows int
	}{{dbinstance.BreakBeforeCommit, 0}, {dbinstance.BreakAfterCommit, 1}} {
		for _, explicit := range []bool{false, true} {
			w := newTestScenario(t)
			w.server.BreakNextCommit(c.when)
			args := w.query(insertRow)
			if explicit {
				if err := w.beginWithWrite(); err != nil {
					t.Fatal(err)
				}
				args = w.nextRequest("COMMIT")
			}
			_, err := w.execute(args)
			n, rowsErr := w.rows()
			if !errkind.Is(err, errkind.OutcomeUnknown) || rowsErr != nil || n != c.rows {
				t.Errorf("break %s, BEGIN %t: %v, %d rows %v, want outcome unknown and %d rows", c.when, explicit, err, n, rowsErr, c.rows)
			}
			if err := w.checkCleanup(); err != nil {
				t.Error(err)
			}
		}
	}
}

// TestLostOwnerReleasesRowLock takes the owner away inside a transaction:
// in one case its sockets are closed, in the other the instance hears nothing
// more, and its own limit for idle transactions has to end the transaction.
func TestLostOwnerReleasesRowLock(t *testing.T) {
	const limit = 50 * time.Millisecond
	for _, c := range []struct {
		name   string
		idle   time.Duration
		vanish func(w *scenario)
		freed  bool
	}{
		{"sockets closed", 0, func(w *scenario) { _ = killOwner(w) }, true},
		{"silent, with the limit", limit, func(w *scenario) { w.server.Cut(dbinstance.CutBoth, "vm:vm") }, true},
		{"silent, naive without a limit", time.Hour, func(w *scenario) { w.server.Cut(dbinstance.CutBoth, "vm:vm") }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newTestScenario(t)
			w.manager.SetOwner("db1", w.newOwner(2, c.idle))
			// One request: the limit must not strike before the owner vanishes.
			w.mustExecute(w.query("BEGIN; UPDATE t SET v = 'lost' WHERE k = 0"))
			c.vanish(w)
			wait := scenarioTimeout
			if !c.freed {
				wait = 10 * limit // nothing ever frees this lock
			}
			ctx, cancel := context.WithTimeout(context.Background(), wait)
			defer cancel()
			_, _, err := w.server.Store().Run(ctx, "UPDATE t SET v = 'next' WHERE k = 0")
			if (err == nil) != c.freed {
				t.Fatalf("update of the locked row: %v, want freed %t", err, c.freed)
			}
			w.server.Heal()
		})
	}
}

// TestIdleTimeoutSurvivesReset shows the limit on a connection that was reset.
func TestIdleTimeoutSurvivesReset(t *testing.T) {
	f := newFixture(t, 1)
	args := f.query("SELECT 1")
	args.ResetAfter = true
	f.mustExecute(args)
	reply := f.mustExecute(f.query("SHOW idle_in_transaction_session_timeout"))
	if !strings.Contains(string(reply.Answer), "130000") {
		t.Fatalf("answer %q, want %s in milliseconds", reply.Answer, DefaultIdleTransactionTimeout)
	}
}

// TestAnswerInterrupted breaks a result off after some rows, in the first part
// and in a later one.
func TestAnswerInterrupted(t *testing.T) {
	for _, rows := range []int{0, 1, bulkRows - 1} {
		w := newTestScenario(t)
		if err := w.fill(); err != nil {
			t.Fatal(err)
		}
		w.server.CutNextAnswer(rows)
		args := w.query("SELECT v FROM big")
		args.ReadOnly = true
		reply, err := w.execute(args)
		if err == nil && reply.More {
			w.request, w.firstReply = args, reply
			err = w.fetchRest().err
		}
		if !errkind.Is(err, errkind.AnswerIncomplete) {
			t.Errorf("cut after %d rows: %v, want answer incomplete", rows, err)
		}
		if err := w.checkCleanup(); err != nil {
			t.Error(err)
		}
	}
}

// TestDrainDuringTransaction drains the owner between two statements of a
// transaction. The transaction goes on to its commit; a new one is not run.
func TestDrainDuringTransaction(t *testing.T) {
	w := newTestScenario(t)
	if err := w.beginWithWrite(); err != nil {
		t.Fatal(err)
	}
	w.manager.Drain()
	if _, err := w.execute(w.query(insertRow)); !errkind.Is(err, errkind.ShuttingDown) {
		t.Fatalf("new request: %v, want shutting down", err)
	}
	for range 20 {
		w.mustExecute(w.nextRequest("SELECT v FROM t"))
	}
	if w.manager.Busy() != 1 {
		t.Fatalf("%d busy, want the open transaction", w.manager.Busy())
	}
	if reply := w.mustExecute(w.nextRequest("COMMIT")); !reply.Committed || reply.Status != statusIdle {
		t.Fatalf("committed %t status %c", reply.Committed, reply.Status)
	}
	if n, err := w.rows(); n != 1 || err != nil || w.manager.Busy() != 0 {
		t.Fatalf("%d rows %v, %d busy", n, err, w.manager.Busy())
	}
}
