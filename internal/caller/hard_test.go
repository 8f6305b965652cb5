package caller

import (
	"testing"

	"chicoryline/internal/errkind"
	"chicoryline/internal/faultmatrix"
)

func newTestWorld(t *testing.T, state string) *world {
	t.Helper()
	w, err := newWorld()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.close)
	if err := w.enter(state); err != nil {
		t.Fatal(err)
	}
	return w
}

// mustBeRed fails if the check of the matrix passes a naive variant.
func mustBeRed(t *testing.T, variant string, cell faultmatrix.Cell, err error) {
	t.Helper()
	if err == nil {
		t.Fatalf("%s: the check of %s stayed green", variant, cell)
	}
	t.Logf("naive=%s cell=%s seed=%d red: %v", variant, cell, cell.Seed(), err)
}

// TestStopInsideLongTransaction stops the front in the middle of a transaction:
// it goes on to its commit, and then the caller is told.
func TestStopInsideLongTransaction(t *testing.T) {
	w := newTestWorld(t, "in_transaction")
	w.server.Drain()
	for range 20 {
		if a := w.client.query("SELECT 1"); a.code != "" || a.status != 'T' {
			t.Fatalf("inside the transaction: %+v", a)
		}
	}
	if a := w.client.query("COMMIT"); a.tags != 1 || a.status != 'I' {
		t.Fatalf("commit: %+v", a)
	}
	if a := w.client.receive(); a.code != errkind.ShuttingDown.Answer().SQLState || a.broken == nil {
		t.Fatalf("after the commit: %+v, want shutting down", a)
	}
	if rows, open, _ := w.router.counts(); rows != 1 || open != 0 {
		t.Fatalf("%d rows, %d open transactions", rows, open)
	}
	if err := w.judgeAfter(); err != nil {
		t.Fatal(err)
	}
}

// TestWithdrawnKeyEndsOpenTransaction shows that a withdrawn key's transaction
// is given up before the caller has read why.
func TestWithdrawnKeyEndsOpenTransaction(t *testing.T) {
	w := newTestWorld(t, "in_transaction")
	if err := withdrawKey(w); err != nil {
		t.Fatal(err)
	}
	if err := w.await("closed"); err != nil {
		t.Fatal(err)
	}
	if a := w.client.receive(); a.code != errkind.Unauthorized.Answer().SQLState {
		t.Fatalf("%+v, want unauthorized", a)
	}
	if _, open, _ := w.router.counts(); open != 0 {
		t.Fatal("the transaction is open while the caller has not left")
	}
}

// TestNaiveKeyCheckIsRed checks the key only at connect.
func TestNaiveKeyCheckIsRed(t *testing.T) {
	for _, state := range []string{"idle", "in_transaction", "failed_transaction"} {
		w := newTestWorld(t, state)
		w.access.mu.Lock()
		w.access.atConnect = true
		w.access.mu.Unlock()
		if err := withdrawKey(w); err != nil {
			t.Fatal(err)
		}
		cell := faultmatrix.Cell{Chart: "session", State: state, Faults: []string{"key_withdrawn"}}
		mustBeRed(t, "key_at_connect_only", cell, w.judge(cell, w.client.query(plans[state].after)))
	}
}

// TestNaiveStopIsRed closes all connections at once.
func TestNaiveStopIsRed(t *testing.T) {
	for _, state := range []string{"running", "continuing", "relaying"} {
		w := newTestWorld(t, state)
		w.stopped = true
		w.server.Close()
		w.proceed()
		cell := faultmatrix.Cell{Chart: "session", State: state, Faults: []string{"operator_stop"}}
		mustBeRed(t, "close_at_once", cell, w.judge(cell, w.client.receive()))
	}
}

// TestNaiveShortAnswerIsRed ends a broken answer as if it were complete.
func TestNaiveShortAnswerIsRed(t *testing.T) {
	w := newTestWorld(t, "relaying")
	if err := callerFaults["answer_cut"](w); err != nil {
		t.Fatal(err)
	}
	w.proceed()
	a := w.client.receive()
	if a.code == "" {
		t.Fatal("the answer was not cut")
	}
	a.code, a.class, a.tags = "", "", 1
	cell := faultmatrix.Cell{Chart: "session", State: "relaying", Faults: []string{"answer_cut"}}
	mustBeRed(t, "cut_is_complete", cell, w.judge(cell, a))
}
