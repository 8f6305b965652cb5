package history

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"chicoryline/internal/load"
	"chicoryline/internal/site"
	"chicoryline/internal/standin/dbinstance"
)

const (
	// agedRoute is the route that accepts reads up to the site's MaxAge old.
	agedRoute = "group1-aged"
	// sessionSeed is the random seed of the roaming callers.
	sessionSeed = 20418
	// roamingCallers is the number of callers that use a random proxy for every request.
	roamingCallers = 4
	// readsPerStep is the number of reads that every caller completes in each step of a
	// test, such as between two faults.
	readsPerStep = 5
	// discardedValue is written to an isolated primary and discarded by the failover.
	discardedValue = 99
)

// roamingCaller writes increasing values to its own register and reads them back, each
// time through a random proxy. Except for the fields that mu guards, it is used by a
// single goroutine.
type roamingCaller struct {
	site   *site.Site
	key    string
	random *rand.Rand
	token  string
	// acked is the last acknowledged value, attempted the last value sent; reads must
	// return a value from acked to attempted.
	acked, attempted int64

	mu         sync.Mutex
	reads      int
	violations []string
}

// run sends requests until stop is closed.
func (r *roamingCaller) run(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(r.random.Int64N(int64(maxPause)))):
			r.runOnce()
		}
	}
}

// runOnce connects to a random proxy with the session token and writes or reads once.
func (r *roamingCaller) runOnce() {
	proxy := r.random.IntN(len(r.site.Proxies))
	conn, err := dial(r.site, proxy, agedRoute, &r.token)
	if err != nil {
		return
	}
	defer closeConn(conn)
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	if r.random.Float64() >= readShare {
		r.write(ctx, conn)
		return
	}
	r.read(ctx, conn, proxy)
}

// write increases the register. The condition v < $1 prevents a write of unknown outcome
// that takes effect late from overwriting a later one.
func (r *roamingCaller) write(ctx context.Context, conn *pgx.Conn) {
	r.attempted++
	_, err := conn.Exec(ctx, "UPDATE sessions SET v = $1 WHERE k = $2 AND v < $1", r.attempted, r.key)
	if token := conn.PgConn().ParameterStatus("chicoryline.session"); token != "" {
		r.token = token
	}
	if outcomeClass(err) == load.Succeeded {
		r.acked = r.attempted
	}
}

func (r *roamingCaller) read(ctx context.Context, conn *pgx.Conn, proxy int) {
	out, err := perform(ctx, conn, input{key: r.key})
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reads++
	if out.value < r.acked || out.value > r.attempted {
		r.violations = append(r.violations, fmt.Sprintf("caller %s read %d at proxy %d after %d was acknowledged and %d attempted", r.key, out.value, proxy, r.acked, r.attempted))
	}
}

func (r *roamingCaller) readCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reads
}

// awaitReads waits until every caller has completed readsBetweenFaults more reads.
func awaitReads(t *testing.T, list []*roamingCaller) {
	t.Helper()
	for _, r := range list {
		target := r.readCount() + readsPerStep
		eventually(t, "reads of "+r.key, func() error {
			if now := r.readCount(); now < target {
				return fmt.Errorf("%d reads, want %d", now, target)
			}
			return nil
		})
	}
}

// TestSessionsReadTheirWrites checks the read-your-writes guarantee of session tokens.
// Callers switch proxies for every request while two primaries in a row are replaced: no
// read is older than the caller's last acknowledged write or returns a value that the
// caller never wrote.
func TestSessionsReadTheirWrites(t *testing.T) {
	t.Parallel()
	s := startSite(t, 4)
	slowLastReplica(s)
	list, end := startRoamingCallers(t, s)
	for range failoverCount {
		awaitReads(t, list)
		old := replacePrimary(t, s)
		awaitReads(t, list)
		heal(t, s, old)
	}
	awaitReads(t, list)
	end()
	for _, r := range list {
		t.Logf("seed=%d caller=%s reads=%d acknowledged=%d tried=%d", sessionSeed, r.key, r.reads, r.acked, r.attempted)
		for _, line := range r.violations {
			t.Errorf("seed=%d line=%q", sessionSeed, line)
		}
	}
}

// startRoamingCallers starts the callers and returns them with a function that stops them.
func startRoamingCallers(t *testing.T, s *site.Site) ([]*roamingCaller, func()) {
	t.Helper()
	var list []*roamingCaller
	var running sync.WaitGroup
	stop := make(chan struct{})
	for n := range roamingCallers {
		key := fmt.Sprintf("s%d", n+1)
		insertRows(t, s, key)
		list = append(list, &roamingCaller{site: s, key: key, random: rand.New(rand.NewPCG(sessionSeed, uint64(n)))})
	}
	for _, r := range list {
		running.Go(func() { r.run(stop) })
	}
	end := sync.OnceFunc(func() {
		close(stop)
		running.Wait()
	})
	t.Cleanup(end)
	return list, end
}

// isolateFromGroup partitions the backend server from the others of its group. It stays
// reachable for the proxies.
func isolateFromGroup(s *site.Site, id string) {
	for _, other := range s.InstanceIDs(group) {
		if other != id {
			s.Instances[id].Cut(dbinstance.CutBoth, "instance:"+other)
			s.Instances[other].Cut(dbinstance.CutBoth, "instance:"+id)
		}
	}
}

// endIsolation undoes isolateFromGroup.
func endIsolation(s *site.Site, id string) {
	for _, other := range s.InstanceIDs(group) {
		s.Instances[id].Heal("instance:" + other)
		s.Instances[other].Heal("instance:" + id)
	}
}

// TestTokenRemainsValidAfterDiscardedWrite writes to a primary that is isolated from its
// replicas, so that the write is not acknowledged and the failover discards it. The
// session's token must still be accepted by every proxy, and reads with it or without a
// token must return the last acknowledged write.
func TestTokenRemainsValidAfterDiscardedWrite(t *testing.T) {
	t.Parallel()
	s := startSite(t, 3)
	insertRows(t, s, "tail")
	conn := connect(t, s, 0, agedRoute, new(string))
	if _, err := perform(t.Context(), conn, input{key: "tail", op: write, value: 1}); err != nil {
		t.Fatal(err)
	}
	old := s.Primary(group)
	isolateFromGroup(s, old)
	_, err := perform(t.Context(), conn, input{key: "tail", op: write, value: discardedValue})
	if outcomeClass(err) == load.Succeeded {
		t.Fatal("a write that only one backend server holds was acknowledged")
	}
	token := conn.PgConn().ParameterStatus("chicoryline.session")
	t.Logf("the write on the isolated primary was answered %v", err)
	replacePrimary(t, s)
	endIsolation(s, old)
	heal(t, s, old)
	awaitDiscard(t, s, old)
	for proxy := range s.Proxies {
		for name, given := range map[string]*string{"with token": &token, "without token": nil} {
			expectValue(t, connect(t, s, proxy, agedRoute, given), fmt.Sprintf("proxy %d %s", proxy, name), 1)
		}
	}
}

// awaitDiscard waits until the backend server has discarded its unreplicated write.
func awaitDiscard(t *testing.T, s *site.Site, id string) {
	t.Helper()
	conn := direct(t, s, id)
	eventually(t, id+" discards its unreplicated write", func() error {
		out, err := perform(t.Context(), conn, input{key: "tail"})
		if err == nil && out.value == discardedValue {
			return errors.New("the unacknowledged write is still there")
		}
		return err
	})
}

// expectValue reads the register until a read succeeds. Every answer must be the wanted
// value.
func expectValue(t *testing.T, conn *pgx.Conn, who string, want int64) {
	t.Helper()
	eventually(t, who, func() error {
		out, err := perform(t.Context(), conn, input{key: "tail"})
		if err == nil && out.value != want {
			t.Errorf("%s read %d, want %d", who, out.value, want)
		}
		return err
	})
}

// TestReadWithoutTokenSeesAcknowledgedWrites writes through one proxy and reads through
// another one without a token while a replica lags behind: every read returns the last
// acknowledged write.
func TestReadWithoutTokenSeesAcknowledgedWrites(t *testing.T) {
	t.Parallel()
	s := startSite(t, 3)
	insertRows(t, s, "tail")
	lagging := stopReplicaApply(t, s)
	writer := connect(t, s, 0, agedRoute, nil)
	reader := connect(t, s, 1, agedRoute, nil)
	for value := int64(1); value <= readsPerStep; value++ {
		if _, err := perform(t.Context(), writer, input{key: "tail", op: write, value: value}); err != nil {
			t.Fatal(err)
		}
		expectValue(t, reader, "second proxy with "+lagging+" behind", value)
	}
}

// stuckReplicaLag is the replication lag of a replica that must not catch up during a
// test.
const stuckReplicaLag = 10 * time.Minute

// stopReplicaApply waits until a replica has caught up with the primary, delays its
// replication from then on by stuckReplicaLag, and returns its ID.
func stopReplicaApply(t *testing.T, s *site.Site) string {
	t.Helper()
	primary := s.Primary(group)
	for _, id := range s.InstanceIDs(group) {
		if id == primary {
			continue
		}
		eventually(t, id+" catches up", func() error {
			if s.Instances[id].Store().Status().Log != s.Instances[primary].Store().Status().Log {
				return errors.New("behind")
			}
			return nil
		})
		s.Instances[id].SetReplicationLag(stuckReplicaLag)
		return id
	}
	t.Fatal("the group has no replica")
	return ""
}
