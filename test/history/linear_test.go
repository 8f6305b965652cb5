package history

import (
	"fmt"
	"sync"
	"testing"

	"github.com/anishathalye/porcupine"

	"chicoryline/internal/site"
)

const (
	// linearSeed draws the operations of the recorded histories.
	linearSeed = 20417
	// linearCallers is the number of concurrent callers.
	linearCallers = 6
	// failoverCount is the number of primaries that are cut off in a row.
	failoverCount = 2
	// changesBetweenFaults is the number of acknowledged changes between two faults.
	changesBetweenFaults = 30
	// unreplicatedEntries is the number of log entries that a primary writes before it is
	// replaced and that only it holds.
	unreplicatedEntries = 2
)

// startCallers lets the callers work; the returned function ends them.
func startCallers(s *site.Site, r *recorder, keys []string) func() {
	stop := make(chan struct{})
	var running sync.WaitGroup
	for n := range linearCallers {
		c := newCaller(s, r, linearSeed, n, keys)
		running.Go(func() { c.run(stop) })
	}
	return func() {
		close(stop)
		running.Wait()
	}
}

// awaitProgress waits until the callers have more acknowledged changes.
func awaitProgress(t *testing.T, r *recorder) {
	t.Helper()
	target := r.acknowledged() + changesBetweenFaults
	eventually(t, "progress of the callers", func() error {
		if now := r.acknowledged(); now < target {
			return fmt.Errorf("%d acknowledged changes of %d, refused %v", now, target, r.refusals())
		}
		return nil
	})
}

// writeUnreplicatedEntries brings about that the isolated primary holds entries that no other
// backend server has. It writes them itself: the callers' reads wait until a
// majority has what they would show, so soon no caller writes any more.
func writeUnreplicatedEntries(t *testing.T, s *site.Site, old string) {
	t.Helper()
	target := s.Instances[old].Store().Status().Log.Offset + unreplicatedEntries
	conn, err := s.ConnectInstance(t.Context(), old)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close(t.Context()) }()
	for i := range unreplicatedEntries {
		if _, err := conn.Exec(t.Context(), "INSERT INTO bookings (id, customer, session, n) VALUES ($1, 'tail', 'tail', $2)", fmt.Sprintf("tail-%s-%d", old, i), int64(i)); err != nil {
			t.Fatal(err)
		}
	}
	awaitOffset(t, s, old, target)
}

// awaitOffset waits until the backend server's log has reached the offset.
func awaitOffset(t *testing.T, s *site.Site, id string, minOffset uint64) {
	t.Helper()
	eventually(t, "log of "+id, func() error {
		if now := s.Instances[id].Store().Status().Log.Offset; now < minOffset {
			return fmt.Errorf("offset %d, not %d", now, minOffset)
		}
		return nil
	})
}

// readAll reads every register once through every proxy.
func readAll(t *testing.T, s *site.Site, r *recorder, keys []string) {
	t.Helper()
	for proxy := range s.Proxies {
		conn := connect(t, s, proxy, group, nil)
		for _, key := range keys {
			eventually(t, "last read of "+key, func() error {
				sent := r.now()
				out, err := perform(t.Context(), conn, input{key: key})
				r.record(linearCallers+proxy, input{key: key}, out, sent, err)
				return err
			})
		}
	}
}

// TestCurrentRouteIsLinearizable replaces two primaries in a row under load.
// Each is first separated from its replicas alone, so that it holds entries
// that the failover discards, and then cut off from the proxies as well.
// Whatever the callers were told must fit one order of the operations:
// acknowledged ones in it, failed and not-run ones out of it, unknown ones
// anywhere after they were sent.
func TestCurrentRouteIsLinearizable(t *testing.T) {
	t.Parallel()
	s := startSite(t, 4)
	slowLastReplica(s)
	keys := []string{"r1", "r2", "r3"}
	insertRows(t, s, keys...)
	r := newRecorder()
	end := sync.OnceFunc(startCallers(s, r, keys))
	t.Cleanup(end)
	for range failoverCount {
		awaitProgress(t, r)
		old := s.Primary(group)
		isolateFromGroup(s, old)
		writeUnreplicatedEntries(t, s, old)
		replacePrimary(t, s)
		endIsolation(s, old)
		awaitProgress(t, r)
		heal(t, s, old)
	}
	awaitProgress(t, r)
	end()
	readAll(t, s, r, keys)
	history := r.all()
	t.Logf("seed=%d %s refused=%v", linearSeed, summarize(history), r.refusals())
	if v := checkHistory(history); v.result != porcupine.Ok {
		t.Errorf("seed=%d result=%s line=%q", linearSeed, v.result, v.violation)
		logOperations(t, v, history)
	}
}
