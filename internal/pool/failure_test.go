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

// TestCommitAnswerLost breaks the connection at a commit, before and after it takes
// effect. The proxy can't distinguish the cases, so both must return OutcomeUnknown.
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

// TestLostOwnerReleasesRowLock loses the owner inside a transaction. Either its
// sockets are closed, or a network partition leaves them open; then the instance's
// idle transaction timeout has to end the transaction and release the row lock.
func TestLostOwnerReleasesRowLock(t *testing.T) {
	const limit = 50 * time.Millisecond
	for _, c := range []struct {
		name         string
		idle         time.Duration
		loseOwner    func(w *scenario)
		wantReleased bool
	}{
		{"sockets closed", 0, func(w *scenario) { _ = killOwner(w) }, true},
		{"partitioned, with idle timeout", limit, func(w *scenario) { w.server.Cut(dbinstance.CutBoth, "vm:vm") }, true},
		{"partitioned, naive without idle timeout", time.Hour, func(w *scenario) { w.server.Cut(dbinstance.CutBoth, "vm:vm") }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newTestScenario(t)
			w.manager.SetOwner("db1", w.newOwner(2, c.idle))
			// A single request, so that the timeout can't expire before the owner is lost.
			w.mustExecute(w.query("BEGIN; UPDATE t SET v = 'lost' WHERE k = 0"))
			c.loseOwner(w)
			wait := scenarioTimeout
			if !c.wantReleased {
				wait = 10 * limit // nothing ever releases this lock
			}
			ctx, cancel := context.WithTimeout(context.Background(), wait)
			defer cancel()
			_, _, err := w.server.Store().Run(ctx, "UPDATE t SET v = 'next' WHERE k = 0")
			if (err == nil) != c.wantReleased {
				t.Fatalf("update of the locked row: %v, want released %t", err, c.wantReleased)
			}
			w.server.Heal()
		})
	}
}

// TestIdleTimeoutSurvivesReset checks that a connection has the idle transaction
// timeout after DISCARD ALL, which resets it.
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

// TestAnswerInterrupted breaks the connection after some rows of a result, in the
// first part or in a later one. The incomplete answer must be reported as an error.
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

// TestDrainDuringTransaction drains the manager between two statements of a
// transaction. The transaction must be able to commit; a new one is rejected.
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
