package caller

import (
	"testing"

	"chicoryline/internal/errkind"
	"chicoryline/internal/faultmatrix"
)

func newFixtureInState(t *testing.T, state string) *fixture {
	t.Helper()
	fx, err := newFixture()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fx.close)
	if err := fx.enterState(state); err != nil {
		t.Fatal(err)
	}
	return fx
}

// requireCheckFails fails the test if the matrix check did not detect a naive variant.
func requireCheckFails(t *testing.T, variant string, cell faultmatrix.Cell, err error) {
	t.Helper()
	if err == nil {
		t.Fatalf("%s: the check of %s did not detect the variant", variant, cell)
	}
	t.Logf("naive=%s cell=%s seed=%d red: %v", variant, cell, cell.Seed(), err)
}

// TestStopInsideLongTransaction begins a planned stop during a transaction. The transaction
// continues to its commit; only then is the caller told that the process is shutting down.
func TestStopInsideLongTransaction(t *testing.T) {
	fx := newFixtureInState(t, "in_transaction")
	fx.server.Drain()
	for range 20 {
		if a := fx.client.query("SELECT 1"); a.code != "" || a.status != 'T' {
			t.Fatalf("statement in the transaction: %+v", a)
		}
	}
	if a := fx.client.query("COMMIT"); a.commandTags != 1 || a.status != 'I' {
		t.Fatalf("commit: %+v", a)
	}
	if a := fx.client.receive(); a.code != errkind.ShuttingDown.Answer().SQLState || a.broken == nil {
		t.Fatalf("after the commit: %+v, want shutting down", a)
	}
	if rows, open, _ := fx.router.counts(); rows != 1 || open != 0 {
		t.Fatalf("%d rows, %d open transactions", rows, open)
	}
	if err := fx.checkCleanup(); err != nil {
		t.Fatal(err)
	}
}

// TestWithdrawnKeyEndsOpenTransaction checks that the transaction of a withdrawn key is
// aborted at once, even if the caller has not yet read the error.
func TestWithdrawnKeyEndsOpenTransaction(t *testing.T) {
	fx := newFixtureInState(t, "in_transaction")
	if err := withdrawKey(fx); err != nil {
		t.Fatal(err)
	}
	if err := fx.awaitState("closed"); err != nil {
		t.Fatal(err)
	}
	if a := fx.client.receive(); a.code != errkind.Unauthorized.Answer().SQLState {
		t.Fatalf("%+v, want unauthorized", a)
	}
	if _, open, _ := fx.router.counts(); open != 0 {
		t.Fatal("the transaction is still open before the caller disconnects")
	}
}

// TestNaiveKeyCheckIsDetected uses a variant that checks the key only at login.
func TestNaiveKeyCheckIsDetected(t *testing.T) {
	for _, state := range []string{"idle", "in_transaction", "failed_transaction"} {
		fx := newFixtureInState(t, state)
		fx.access.mu.Lock()
		fx.access.checkAtConnectOnly = true
		fx.access.mu.Unlock()
		if err := withdrawKey(fx); err != nil {
			t.Fatal(err)
		}
		cell := faultmatrix.Cell{Chart: "session", State: state, Faults: []string{"key_withdrawn"}}
		requireCheckFails(t, "key_at_connect_only", cell, fx.checkAnswer(cell, fx.client.query(statePlans[state].after)))
	}
}

// TestNaiveStopIsDetected uses a variant that closes all connections immediately.
func TestNaiveStopIsDetected(t *testing.T) {
	for _, state := range []string{"running", "continuing", "relaying"} {
		fx := newFixtureInState(t, state)
		fx.serverClosed = true
		fx.server.Close()
		fx.release()
		cell := faultmatrix.Cell{Chart: "session", State: state, Faults: []string{"operator_stop"}}
		requireCheckFails(t, "close_at_once", cell, fx.checkAnswer(cell, fx.client.receive()))
	}
}

// TestNaiveShortAnswerIsDetected uses a variant that ends an incomplete answer as if it were
// complete.
func TestNaiveShortAnswerIsDetected(t *testing.T) {
	fx := newFixtureInState(t, "relaying")
	if err := callerFaults["answer_cut"](fx); err != nil {
		t.Fatal(err)
	}
	fx.release()
	a := fx.client.receive()
	if a.code == "" {
		t.Fatal("the answer was not cut off")
	}
	a.code, a.class, a.commandTags = "", "", 1
	cell := faultmatrix.Cell{Chart: "session", State: "relaying", Faults: []string{"answer_cut"}}
	requireCheckFails(t, "cut_is_complete", cell, fx.checkAnswer(cell, a))
}
