package pool

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// TestCancelDoesNotAffectOtherSession holds a cancel request back until its statement
// has ended. The connection must not serve another session before the instance
// has dealt with the cancel request.
func TestCancelDoesNotAffectOtherSession(t *testing.T) {
	for name, cancel := range map[string]func(w *scenario, id SessionID) error{
		"cancel": func(w *scenario, id SessionID) error { return w.manager.cancel(id) },
		"abort": func(w *scenario, id SessionID) error {
			return NewService(w.manager).Abort(&SessionArgs{Session: id}, &Empty{})
		},
	} {
		t.Run(name, func(t *testing.T) { runLateCancelTest(t, cancel) })
	}
}

func runLateCancelTest(t *testing.T, cancel func(w *scenario, id SessionID) error) {
	w := newTestScenario(t)
	owner := w.newOwner(1, 0)
	owner.Warm(context.Background(), 1)
	var late atomic.Bool
	reached, gate := make(chan struct{}), make(chan struct{})
	dial := owner.cfg.Dial
	owner.cfg.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		if late.CompareAndSwap(true, false) {
			close(reached)
			<-gate
		}
		return dial(ctx, network, address)
	}
	holder := w.lockRow(t)
	w.manager.SetOwner("db1", owner)
	first := w.query("UPDATE t SET v = 'first' WHERE k = 0")
	w.recordStates(first.Session)
	answered := w.startRequest(first)
	if err := w.awaitState("executing"); err != nil {
		t.Fatal(err)
	}
	late.Store(true)
	canceled := make(chan error, 1)
	go func() { canceled <- cancel(w, first.Session) }()
	<-reached
	other := w.query("SELECT pg_sleep(0.2)")
	other.QueueTimeout = scenarioTimeout
	result := w.startRequest(other)
	holder.close()
	// Long enough for a wrong reuse of the connection to begin.
	time.Sleep(50 * time.Millisecond)
	close(gate)
	if err := <-canceled; err != nil {
		t.Fatal(err)
	}
	<-answered
	if err := <-result; err != nil {
		t.Fatalf("another session: %v", err)
	}
}

// lockRow locks the row 0 of t from outside of the pool.
func (w *scenario) lockRow(t *testing.T) *conn {
	t.Helper()
	holder, err := openConn(context.Background(), &w.owner.cfg)
	if err != nil {
		t.Fatal(err)
	}
	for _, sql := range []string{"BEGIN", "UPDATE t SET v = 'held' WHERE k = 0"} {
		if _, err := holder.query(sql, scenarioTimeout); err != nil {
			t.Fatal(err)
		}
	}
	return holder
}
