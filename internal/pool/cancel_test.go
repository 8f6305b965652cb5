package pool

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// TestCancelDoesNotAffectOtherSession delays a cancel request until its statement has
// ended. The connection must not be reused before the instance has processed the
// cancel request: it would cancel the statement of the next session.
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
	var delayDial atomic.Bool
	dialStarted, allowDial := make(chan struct{}), make(chan struct{})
	dial := owner.cfg.Dial
	owner.cfg.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		if delayDial.CompareAndSwap(true, false) {
			close(dialStarted)
			<-allowDial
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
	delayDial.Store(true)
	canceled := make(chan error, 1)
	go func() { canceled <- cancel(w, first.Session) }()
	<-dialStarted
	other := w.query("SELECT pg_sleep(0.2)")
	other.QueueTimeout = scenarioTimeout
	result := w.startRequest(other)
	holder.close()
	// Long enough for the other session to get the connection, if it is reused too early.
	time.Sleep(50 * time.Millisecond)
	close(allowDial)
	if err := <-canceled; err != nil {
		t.Fatal(err)
	}
	<-answered
	if err := <-result; err != nil {
		t.Fatalf("another session: %v", err)
	}
}

// lockRow locks row 0 of table t with a connection outside of the pool.
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
