package history

import (
	"fmt"
	"sync"
	"testing"

	"github.com/anishathalye/porcupine"

	"chicoryline/internal/site"
)

const (
	// linearSeed is the random seed of the callers' operations.
	linearSeed = 20417
	// linearCallers is the number of concurrent callers.
	linearCallers = 6
	// failoverCount is the number of primaries that are partitioned one after the other.
	failoverCount = 2
	// changesBetweenFaults is the number of acknowledged changes between two faults.
	changesBetweenFaults = 30
	// unreplicatedEntries is the number of log entries that a primary holds alone when it
	// is replaced.
	unreplicatedEntries = 2
)

// startCallers starts the callers and returns a function that stops them and waits.
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

// awaitProgress waits until the callers have changesBetweenFaults more acknowledged
// changes.
func awaitProgress(t *testing.T, r *recorder) {
	t.Helper()
	target := r.acknowledged() + changesBetweenFaults
	eventually(t, "progress of the callers", func() error {
		if now := r.acknowledged(); now < target {
			return fmt.Errorf("%d acknowledged changes, want %d, refused %v", now, target, r.refusals())
		}
		return nil
	})
}

// writeUnreplicatedEntries writes log entries that only the isolated primary holds. It
// connects to the primary directly: the callers' reads wait until a majority holds the
// data that they would return, so the callers soon stop writing.
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

// awaitOffset waits until the backend server's log reaches the offset.
func awaitOffset(t *testing.T, s *site.Site, id string, minOffset uint64) {
	t.Helper()
	eventually(t, "log of "+id, func() error {
		if now := s.Instances[id].Store().Status().Log.Offset; now < minOffset {
			return fmt.Errorf("offset %d, want at least %d", now, minOffset)
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

// TestCurrentRouteIsLinearizable replaces two primaries in a row under load. Each is first
// partitioned only from its replicas, so that it holds entries that the failover discards,
// and then from the proxies as well. The history of the callers must be linearizable:
// acknowledged operations took effect, failed and not-run ones did not, and operations of
// unknown outcome may take effect at any time after they were sent, or never.
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
