package pool

import (
	"testing"

	"chicoryline/internal/errkind"
	"chicoryline/internal/faultmatrix"
	"chicoryline/internal/standin/dbinstance"
)

// requireCheckFails fails the test if err is nil, that is if the check of the fault
// matrix accepted the result of a deliberately wrong (naive) implementation.
func requireCheckFails(t *testing.T, variant string, cell faultmatrix.Cell, err error) {
	t.Helper()
	if err == nil {
		t.Fatalf("%s: the check of %s did not fail", variant, cell)
	}
	t.Logf("naive=%s cell=%s seed=%d red: %v", variant, cell, cell.Seed(), err)
}

// TestNaiveRetryIsDetected retries a write with unknown outcome, so that it runs twice.
func TestNaiveRetryIsDetected(t *testing.T) {
	sc := newTestScenario(t)
	sc.server.BreakNextCommit(dbinstance.BreakAfterCommit)
	if _, err := sc.execute(sc.query(insertRow)); !errkind.Is(err, errkind.OutcomeUnknown) {
		t.Fatal(err)
	}
	reply, err := sc.execute(sc.query(insertRow))
	cell := faultmatrix.Cell{Chart: "transaction", State: "executing", Faults: []string{"commit_lost"}}
	requireCheckFails(t, "blind_retry", cell, sc.checkOutcome(cell.State, outcome{reply, err}))
}

// TestNaiveCutAnswerIsDetected returns the rows received before the connection broke as
// the complete answer.
func TestNaiveCutAnswerIsDetected(t *testing.T) {
	sc := newTestScenario(t)
	if err := sc.beginWithWrite(); err != nil {
		t.Fatal(err)
	}
	sc.server.TruncateNextResponse(bulkRows - 1)
	if err := sc.firstPart(); err != nil {
		t.Fatal(err)
	}
	o := sc.fetchRest()
	if o.err == nil {
		t.Fatal("the answer was not interrupted")
	}
	o.err, o.reply.Status = nil, 'T'
	cell := faultmatrix.Cell{Chart: "transaction", State: "answer_pending", Faults: []string{"answer_cut"}}
	requireCheckFails(t, "cut_is_complete", cell, sc.checkOutcome(cell.State, o))
}

// TestNaiveStopIsDetected aborts every session at once instead of draining.
func TestNaiveStopIsDetected(t *testing.T) {
	sc := newTestScenario(t)
	if err := sc.beginWithWrite(); err != nil {
		t.Fatal(err)
	}
	for _, s := range sc.manager.matchingSessions(func(SessionID) bool { return true }) {
		sc.manager.abort(s, "naive stop")
	}
	cell := faultmatrix.Cell{Chart: "transaction", State: "open", Faults: []string{"operator_stop"}}
	requireCheckFails(t, "close_at_once", cell, sc.checkAccepted(cell, sc.finishRequest(cell.State)))
}
