package pool

import (
	"testing"

	"chicoryline/internal/errkind"
	"chicoryline/internal/faultmatrix"
	"chicoryline/internal/standin/dbinstance"
)

// mustBeRed fails if the check of the matrix passes a naive variant.
func mustBeRed(t *testing.T, variant string, cell faultmatrix.Cell, err error) {
	t.Helper()
	if err == nil {
		t.Fatalf("%s: the check of %s stayed green", variant, cell)
	}
	t.Logf("naive=%s cell=%s seed=%d red: %v", variant, cell, cell.Seed(), err)
}

// TestNaiveRetryIsRed repeats a write whose answer was lost.
func TestNaiveRetryIsRed(t *testing.T) {
	w := newTestWorld(t)
	w.server.BreakNextCommit(dbinstance.BreakAfterCommit)
	if _, err := w.execute(w.query(write)); !errkind.Is(err, errkind.OutcomeUnknown) {
		t.Fatal(err)
	}
	reply, err := w.execute(w.query(write))
	cell := faultmatrix.Cell{Chart: "transaction", State: "executing", Faults: []string{"commit_lost"}}
	mustBeRed(t, "blind_retry", cell, w.judge(cell.State, outcome{reply, err}))
}

// TestNaiveCutAnswerIsRed takes what came before the break for the whole answer.
func TestNaiveCutAnswerIsRed(t *testing.T) {
	w := newTestWorld(t)
	if err := w.open(); err != nil {
		t.Fatal(err)
	}
	w.server.CutNextAnswer(bulkRows - 1)
	if err := w.firstPart(); err != nil {
		t.Fatal(err)
	}
	o := w.fetchRest()
	if o.err == nil {
		t.Fatal("the answer was not cut")
	}
	o.err, o.reply.Status = nil, 'T'
	cell := faultmatrix.Cell{Chart: "transaction", State: "answer_pending", Faults: []string{"answer_cut"}}
	mustBeRed(t, "cut_is_complete", cell, w.judge(cell.State, o))
}

// TestNaiveStopIsRed ends every session at once instead of draining.
func TestNaiveStopIsRed(t *testing.T) {
	w := newTestWorld(t)
	if err := w.open(); err != nil {
		t.Fatal(err)
	}
	for _, s := range w.manager.list(func(SessionID) bool { return true }) {
		w.manager.abort(s, "naive stop")
	}
	cell := faultmatrix.Cell{Chart: "transaction", State: "open", Faults: []string{"operator_stop"}}
	mustBeRed(t, "close_at_once", cell, w.judgeTaken(cell, w.finish(cell.State)))
}
