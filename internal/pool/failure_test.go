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
	sc, err := newScenario()
	if err != nil {
		t.Fatal(err)
	}
	sc.t = t
	t.Cleanup(sc.close)
	return sc
}

// TestCommitAnswerLost breaks the connection at a commit, before and after it takes
// effect. The proxy can't distinguish the cases, so both must return OutcomeUnknown.
func TestCommitAnswerLost(t *testing.T) {
	for _, c := range []struct {
		when dbinstance.CommitBreak
		rows int
	}{{dbinstance.BreakBeforeCommit, 0}, {dbinstance.BreakAfterCommit, 1}} {
		for _, explicit := range []bool{false, true} {
			sc := newTestScenario(t)
			sc.server.BreakNextCommit(c.when)
			args := sc.query(insertRow)
			if explicit {
				if err := sc.beginWithWrite(); err != nil {
					t.Fatal(err)
				}
				args = sc.nextRequest("COMMIT")
			}
			_, err := sc.execute(args)
			n, rowsErr := sc.rows()
			if !errkind.Is(err, errkind.OutcomeUnknown) || rowsErr != nil || n != c.rows {
				t.Errorf("break %s, BEGIN %t: %v, %d rows %v, want outcome unknown and %d rows", c.when, explicit, err, n, rowsErr, c.rows)
			}
			if err := sc.checkCleanup(); err != nil {
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
		loseOwner    func(sc *scenario)
		wantReleased bool
	}{
		{"sockets closed", 0, func(sc *scenario) { _ = killOwner(sc) }, true},
		{"partitioned, with idle timeout", limit, func(sc *scenario) { sc.server.Cut(dbinstance.CutBoth, "vm:vm") }, true},
		{"partitioned, naive without idle timeout", time.Hour, func(sc *scenario) { sc.server.Cut(dbinstance.CutBoth, "vm:vm") }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			sc := newTestScenario(t)
			sc.manager.SetOwner("db1", sc.newOwner(2, c.idle))
			// A single request, so that the timeout can't expire before the owner is lost.
			sc.mustExecute(sc.query("BEGIN; UPDATE t SET v = 'lost' WHERE k = 0"))
			c.loseOwner(sc)
			wait := scenarioTimeout
			if !c.wantReleased {
				wait = 10 * limit // nothing ever releases this lock
			}
			ctx, cancel := context.WithTimeout(context.Background(), wait)
			defer cancel()
			_, _, err := sc.server.Store().Run(ctx, "UPDATE t SET v = 'next' WHERE k = 0")
			if (err == nil) != c.wantReleased {
				t.Fatalf("update of the locked row: %v, want released %t", err, c.wantReleased)
			}
			sc.server.Heal()
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
		sc := newTestScenario(t)
		if err := sc.fill(); err != nil {
			t.Fatal(err)
		}
		sc.server.TruncateNextResponse(rows)
		args := sc.query("SELECT v FROM big")
		args.ReadOnly = true
		reply, err := sc.execute(args)
		if err == nil && reply.More {
			sc.request, sc.firstReply = args, reply
			err = sc.fetchRest().err
		}
		if !errkind.Is(err, errkind.AnswerIncomplete) {
			t.Errorf("interrupted after %d rows: %v, want answer incomplete", rows, err)
		}
		if err := sc.checkCleanup(); err != nil {
			t.Error(err)
		}
	}
}

// TestDrainDuringTransaction drains the manager between two statements of a
// transaction. The transaction must be able to commit; a new one is rejected.
func TestDrainDuringTransaction(t *testing.T) {
	sc := newTestScenario(t)
	if err := sc.beginWithWrite(); err != nil {
		t.Fatal(err)
	}
	sc.manager.Drain()
	if _, err := sc.execute(sc.query(insertRow)); !errkind.Is(err, errkind.ShuttingDown) {
		t.Fatalf("new request: %v, want shutting down", err)
	}
	for range 20 {
		sc.mustExecute(sc.nextRequest("SELECT v FROM t"))
	}
	if sc.manager.Busy() != 1 {
		t.Fatalf("%d busy, want the open transaction", sc.manager.Busy())
	}
	if reply := sc.mustExecute(sc.nextRequest("COMMIT")); !reply.Committed || reply.Status != statusIdle {
		t.Fatalf("committed %t status %c", reply.Committed, reply.Status)
	}
	if n, err := sc.rows(); n != 1 || err != nil || sc.manager.Busy() != 0 {
		t.Fatalf("%d rows %v, %d busy", n, err, sc.manager.Busy())
	}
}
