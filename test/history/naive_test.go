package history

import (
	"testing"

	"github.com/anishathalye/porcupine"
	"github.com/jackc/pgx/v5"

	"chicoryline/internal/load"
	"chicoryline/internal/site"
	"chicoryline/internal/standin/dbinstance"
)

// naiveSeed identifies the naive histories in reports. Their operations are fixed, no
// random numbers are drawn.
const naiveSeed = 20419

// naiveValue is the value that the naive paths write.
const naiveValue = 7

// direct connects to the backend server, bypassing the proxies.
func direct(t *testing.T, s *site.Site, id string) *pgx.Conn {
	t.Helper()
	conn, err := s.ConnectInstance(t.Context(), id)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeConn(conn) })
	return conn
}

// mustPerform performs and records the operation and returns its answer. It fails the
// test on an error.
func mustPerform(t *testing.T, r *recorder, caller int, conn *pgx.Conn, in input) output {
	t.Helper()
	sent := r.now()
	out, err := perform(t.Context(), conn, in)
	if err != nil {
		t.Fatalf("%s: %v", describe(in, out), err)
	}
	r.record(caller, in, out, sent, nil)
	return out
}

// finalRead reads the register as current data through the first proxy.
func finalRead(t *testing.T, s *site.Site, r *recorder, key string) {
	t.Helper()
	conn := connect(t, s, 0, group, nil)
	eventually(t, "read "+key, func() error {
		sent := r.now()
		out, err := perform(t.Context(), conn, input{key: key})
		r.record(1, input{key: key}, out, sent, err)
		return err
	})
}

// expectViolation fails the test unless the checker finds a violation in the history.
func expectViolation(t *testing.T, r *recorder) {
	t.Helper()
	v := checkHistory(r.all())
	if v.result != porcupine.Illegal || v.violation == "" {
		t.Fatalf("seed=%d no violation was detected on the naive path: result=%s", naiveSeed, v.result)
	}
	t.Logf("seed=%d violation=%q", naiveSeed, v.violation)
}

// expectLegal fails the test unless the history is linearizable.
func expectLegal(t *testing.T, r *recorder) {
	t.Helper()
	if v := checkHistory(r.all()); v.result != porcupine.Ok {
		t.Fatalf("seed=%d result=%s line=%q", naiveSeed, v.result, v.violation)
	}
}

// TestCheckerDetectsNaivePaths verifies the checker itself: it must detect a violation on
// each naive path, and under the same stale replica or lost answer none on the path
// through the proxies.
func TestCheckerDetectsNaivePaths(t *testing.T) {
	t.Parallel()
	s := startSite(t, 3)
	insertRows(t, s, "any", "product-any", "retry", "product-retry", "early")
	t.Run("read any replica", func(t *testing.T) { readStaleReplica(t, s) })
	t.Run("blind retry", func(t *testing.T) { blindRetry(t, s) })
	t.Run("acknowledge at once", func(t *testing.T) { acknowledgeUnreplicated(t, s) })
}

// readStaleReplica reads from a replica without checking its log position.
func readStaleReplica(t *testing.T, s *site.Site) {
	lagging := stopReplicaApply(t, s)
	defer s.Instances[lagging].SetReplicationLag(s.Spec.ReplicationLag)
	writer, replica := connect(t, s, 0, group, nil), direct(t, s, lagging)
	r := newRecorder()
	mustPerform(t, r, 0, writer, input{key: "any", op: write, value: naiveValue})
	mustPerform(t, r, 1, replica, input{key: "any"})
	expectViolation(t, r)

	r = newRecorder()
	mustPerform(t, r, 0, writer, input{key: "product-any", op: write, value: naiveValue})
	for proxy := range s.Proxies {
		mustPerform(t, r, 1, connect(t, s, proxy, group, nil), input{key: "product-any"})
	}
	expectLegal(t, r)
}

// blindRetry repeats an increment that was committed and whose answer was lost.
func blindRetry(t *testing.T, s *site.Site) {
	primary := s.Primary(group)
	in := input{key: "retry", op: add, value: 1}
	r := newRecorder()
	first := direct(t, s, primary)
	s.Instances[primary].BreakNextCommit(dbinstance.BreakAfterCommit)
	sent := r.now()
	if _, err := perform(t.Context(), first, in); outcomeClass(err) != load.Unknown {
		t.Fatalf("the outcome of the first attempt is not unknown: %v", err)
	}
	if _, err := perform(t.Context(), direct(t, s, primary), in); err != nil {
		t.Fatal(err)
	}
	r.record(0, in, output{}, sent, nil)
	finalRead(t, s, r, in.key)
	expectViolation(t, r)

	r = newRecorder()
	in.key = "product-retry"
	conn := connect(t, s, 0, group, nil)
	s.Instances[primary].BreakNextCommit(dbinstance.BreakAfterCommit)
	sent = r.now()
	_, err := perform(t.Context(), conn, in)
	r.record(0, in, output{}, sent, err)
	t.Logf("the proxy answered the lost commit with %s", errorName(err))
	finalRead(t, s, r, in.key)
	expectLegal(t, r)
}

// acknowledgeUnreplicated trusts the acknowledgement of a primary that is partitioned
// from its replicas and replaced afterwards.
func acknowledgeUnreplicated(t *testing.T, s *site.Site) {
	old := s.Primary(group)
	if err := s.PartitionInstance(old); err != nil {
		t.Fatal(err)
	}
	r := newRecorder()
	mustPerform(t, r, 0, direct(t, s, old), input{key: "early", op: write, value: naiveValue})
	awaitSuccessor(t, s, old)
	heal(t, s, old)
	finalRead(t, s, r, "early")
	expectViolation(t, r)
}
