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
	for name, cancel := range map[string]func(sc *scenario, id SessionID) error{
		"cancel": func(sc *scenario, id SessionID) error { return sc.manager.cancel(id) },
		"abort": func(sc *scenario, id SessionID) error {
			return NewService(sc.manager).Abort(&SessionArgs{Session: id}, &Empty{})
		},
	} {
		t.Run(name, func(t *testing.T) { runLateCancelTest(t, cancel) })
	}
}

func runLateCancelTest(t *testing.T, cancel func(sc *scenario, id SessionID) error) {
	sc := newTestScenario(t)
	owner := sc.newOwner(1, 0)
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
	holder := sc.lockRow(t)
	sc.manager.SetOwner("db1", owner)
	first := sc.query("UPDATE t SET v = 'first' WHERE k = 0")
	sc.recordStates(first.Session)
	answered := sc.startRequest(first)
	if err := sc.awaitState("executing"); err != nil {
		t.Fatal(err)
	}
	delayDial.Store(true)
	canceled := make(chan error, 1)
	go func() { canceled <- cancel(sc, first.Session) }()
	<-dialStarted
	other := sc.query("SELECT pg_sleep(0.2)")
	other.QueueTimeout = scenarioTimeout
	result := sc.startRequest(other)
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
func (sc *scenario) lockRow(t *testing.T) *conn {
	t.Helper()
	holder, err := openConn(context.Background(), &sc.owner.cfg)
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
