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
	// agedRoute accepts reads of the stated age.
	agedRoute = "group1-aged"
	// sessionSeed draws the ways of the roaming callers.
	sessionSeed = 20418
	// roamingCallers is the number of roaming callers.
	roamingCallers = 4
	// readsBetweenFaults is the number of own reads of every caller between two faults.
	readsBetweenFaults = 5
	// discardedValue is written to a primary that cannot keep it.
	discardedValue = 99
)

// roamingCaller writes rising values to its own register and reads them back through
// a random proxy for every request. Its goroutine owns it but for what mu guards.
type roamingCaller struct {
	site   *site.Site
	key    string
	random *rand.Rand
	token  string
	// acked and tried bound what the register may hold.
	acked, attempted int64

	mu         sync.Mutex
	reads      int
	violations []string
}

// run works until stop is closed.
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

// runOnce joins a random proxy with the token, writes and reads.
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

// write raises the register. The condition keeps a write of unknown outcome
// that takes effect late from undoing a later one.
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
		r.violations = append(r.violations, fmt.Sprintf("caller %s read %d at proxy %d after %d was acknowledged and %d tried", r.key, out.value, proxy, r.acked, r.attempted))
	}
}

func (r *roamingCaller) readCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reads
}

// awaitReads waits until every caller has read more of its own writes.
func awaitReads(t *testing.T, list []*roamingCaller) {
	t.Helper()
	for _, r := range list {
		target := r.readCount() + readsBetweenFaults
		eventually(t, "reads of "+r.key, func() error {
			if now := r.readCount(); now < target {
				return fmt.Errorf("%d reads of %d", now, target)
			}
			return nil
		})
	}
}

// TestSessionsReadTheirWrites lets callers roam with their tokens while two
// primaries in a row are replaced: no read is older than the caller's last
// acknowledged write, none shows what it never wrote.
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

// isolateFromGroup separates the backend server from the others of its group; the
// proxies still reach it.
func isolateFromGroup(s *site.Site, id string) {
	for _, other := range s.InstanceIDs(group) {
		if other != id {
			s.Instances[id].Cut(dbinstance.CutBoth, "instance:"+other)
			s.Instances[other].Cut(dbinstance.CutBoth, "instance:"+id)
		}
	}
}

func endIsolation(s *site.Site, id string) {
	for _, other := range s.InstanceIDs(group) {
		s.Instances[id].Heal("instance:" + other)
		s.Instances[other].Heal("instance:" + id)
	}
}

// TestTokenRemainsValidAfterDiscardedWrite writes to a primary that no replica can
// follow, so that the write stays unacknowledged and is discarded by the
// failover. The session's token from before still works at every proxy and
// shows the acknowledged write, and so does a caller without a token.
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
		t.Fatal("a write that one backend server holds was acknowledged")
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

// awaitDiscard waits until the backend server has dropped what only it held.
func awaitDiscard(t *testing.T, s *site.Site, id string) {
	t.Helper()
	conn := direct(t, s, id)
	eventually(t, id+" discards its tail", func() error {
		out, err := perform(t.Context(), conn, input{key: "tail"})
		if err == nil && out.value == discardedValue {
			return errors.New("the unacknowledged write is still there")
		}
		return err
	})
}

// expectValue reads the register until an answer comes, which must be the value.
func expectValue(t *testing.T, conn *pgx.Conn, who string, want int64) {
	t.Helper()
	eventually(t, who, func() error {
		out, err := perform(t.Context(), conn, input{key: "tail"})
		if err == nil && out.value != want {
			t.Errorf("%s read %d, not %d", who, out.value, want)
		}
		return err
	})
}

// TestReadWithoutTokenSeesAcknowledgedWrites writes through one proxy and reads through
// another one without a token, with a replica that lags behind.
func TestReadWithoutTokenSeesAcknowledgedWrites(t *testing.T) {
	t.Parallel()
	s := startSite(t, 3)
	insertRows(t, s, "tail")
	lagging := stopReplicaApply(t, s)
	writer := connect(t, s, 0, agedRoute, nil)
	reader := connect(t, s, 1, agedRoute, nil)
	for value := int64(1); value <= readsBetweenFaults; value++ {
		if _, err := perform(t.Context(), writer, input{key: "tail", op: write, value: value}); err != nil {
			t.Fatal(err)
		}
		expectValue(t, reader, "second proxy with "+lagging+" behind", value)
	}
}

// stuckReplicaLag is the replication lag of a replica that must not catch up.
const stuckReplicaLag = 10 * time.Minute

// stopReplicaApply waits until a replica holds the register's row and lets it
// lag from then on.
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
