package history

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/sirupsen/logrus"

	"chicoryline/internal/load"
	"chicoryline/internal/site"
)

const (
	// customer is the customer of all callers; its rate limit is too high to matter.
	customer = "recorder"
	// group is the database group under test, and its route for current data.
	group = "group1"
	// requestTimeout bounds a single request.
	requestTimeout = 20 * time.Second
	// settleTimeout bounds every wait for a condition.
	settleTimeout = 90 * time.Second
	// pollInterval is the interval between two checks of a condition.
	pollInterval = 20 * time.Millisecond
	// customerRate is the customer's rate limit and burst, in statements per second.
	customerRate = 100_000
)

// startSite starts an installation with one group of three backend servers, each in its
// own failure domain.
func startSite(t *testing.T, proxies int) *site.Site {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	s, err := site.Start(ctx, site.Spec{
		Name: "history", Domains: 3, Proxies: proxies, Groups: 1, Instances: 3, Slots: 5, Connections: 35,
		ReplicationLag: time.Millisecond, MaxAge: time.Second,
		Customers: []site.Customer{{Name: customer, Rate: customerRate, Burst: customerRate}},
	}, logrus.NewEntry(log))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// slowReplicaLag is the replication lag of the slow replica, long enough that a read from
// it right after a write misses the write.
const slowReplicaLag = 150 * time.Millisecond

// slowLastReplica slows down replication to the group's last backend server, so that a
// read that ignores the log position of its replica returns stale data.
func slowLastReplica(s *site.Site) {
	ids := s.InstanceIDs(group)
	s.Instances[ids[len(ids)-1]].SetReplicationLag(slowReplicaLag)
}

// dial connects to the route through the proxy with the given index. A nil token sends
// no session token.
func dial(s *site.Site, proxy int, route string, token *string) (*pgx.Conn, error) {
	config, err := pgx.ParseConfig("postgres://" + s.Proxies[proxy].CallerAddress() + "/?sslmode=disable")
	if err != nil {
		return nil, err
	}
	config.User, config.Password, config.Database = customer, s.Keys[customer], route
	config.DialFunc = s.DialClient()
	if token != nil {
		config.RuntimeParams["chicoryline.session"] = *token
	}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	return pgx.ConnectConfig(ctx, config)
}

// connect is dial, but fails the test on an error and closes the connection at its end.
func connect(t *testing.T, s *site.Site, proxy int, route string, token *string) *pgx.Conn {
	t.Helper()
	conn, err := dial(s, proxy, route, token)
	if err != nil {
		t.Fatalf("connect through proxy %d to %s: %v", proxy, route, err)
	}
	t.Cleanup(func() { closeConn(conn) })
	return conn
}

// closeConn closes the connection within one second and ignores errors.
func closeConn(conn *pgx.Conn) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = conn.Close(ctx)
}

// outcomeClass returns what the caller can conclude from the error about the effect of
// its request. After a broken connection the outcome is unknown.
func outcomeClass(err error) load.Class {
	var pg *pgconn.PgError
	switch {
	case err == nil:
		return load.Succeeded
	case !errors.As(err, &pg):
		return load.Unknown
	case strings.HasSuffix(pg.Detail, "class=not run"):
		return load.NotRun
	case !strings.HasPrefix(pg.Detail, "kind="), strings.HasSuffix(pg.Detail, "class=failed"):
		return load.Failed
	}
	return load.Unknown
}

// errorName returns a short name of the error for a summary.
func errorName(err error) string {
	var pg *pgconn.PgError
	if !errors.As(err, &pg) {
		return "connection"
	}
	kind, _, _ := strings.Cut(strings.TrimPrefix(pg.Detail, "kind="), " ")
	return pg.Code + ":" + kind
}

// insertRows inserts the registers through the first proxy, with value 0.
func insertRows(t *testing.T, s *site.Site, keys ...string) {
	t.Helper()
	conn := connect(t, s, 0, group, nil)
	for _, key := range keys {
		eventually(t, "insert "+key, func() error {
			_, err := conn.Exec(context.Background(), "INSERT INTO sessions (k, v) VALUES ($1, 0)", key)
			return err
		})
	}
}

// eventually waits until check returns nil. After settleTimeout it fails the test with
// the last error.
func eventually(t *testing.T, what string, check func() error) {
	t.Helper()
	deadline := time.Now().Add(settleTimeout)
	for {
		err := check()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%s: %v", what, err)
		}
		time.Sleep(pollInterval)
	}
}

// replacePrimary partitions the primary from the proxies and from its group, and waits
// until a new primary accepts writes. It returns the partitioned backend server.
func replacePrimary(t *testing.T, s *site.Site) string {
	t.Helper()
	old := s.Primary(group)
	if err := s.PartitionInstance(old); err != nil {
		t.Fatal(err)
	}
	awaitSuccessor(t, s, old)
	return old
}

// awaitSuccessor waits until a primary other than old accepts a write.
func awaitSuccessor(t *testing.T, s *site.Site, old string) {
	t.Helper()
	eventually(t, "new primary instead of "+old, func() error {
		if now := s.Primary(group); now == old {
			return errors.New("the old primary is still primary")
		}
		conn, err := dial(s, 0, group, nil)
		if err != nil {
			return err
		}
		defer closeConn(conn)
		_, err = conn.Exec(context.Background(), "UPDATE clock SET at = at + 1 WHERE k = 'now'")
		return err
	})
}

// heal ends the partition of the backend server and waits until it is a replica.
func heal(t *testing.T, s *site.Site, id string) {
	t.Helper()
	if err := s.HealInstance(id); err != nil {
		t.Fatal(err)
	}
	eventually(t, id+" becomes a replica", func() error {
		if s.Instances[id].Store().Status().IsActivePrimary() {
			return errors.New(id + " still acts as primary")
		}
		return nil
	})
}

// recorder collects the operations of all callers. mu guards history and refused.
type recorder struct {
	start   time.Time
	mu      sync.Mutex
	history []porcupine.Operation
	// refused counts the requests that are not part of the history, by error.
	refused map[string]int
}

func newRecorder() *recorder { return &recorder{start: time.Now(), refused: map[string]int{}} }

// now returns the time since the recorder's start, in nanoseconds.
func (r *recorder) now() int64 { return int64(time.Since(r.start)) }

// record adds an operation that ended now. Operations that had no effect, and reads
// without an answer, are only counted in refused.
func (r *recorder) record(caller int, in input, out output, sent int64, err error) {
	o := porcupine.Operation{ClientId: caller, Input: in, Output: out, Call: sent, Return: r.now()}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch class := outcomeClass(err); {
	case class == load.Succeeded:
	case class == load.Unknown && in.op != read:
		o.Output, o.Return = output{unknown: true}, neverReturned
	default:
		r.refused[errorName(err)]++
		return
	}
	r.history = append(r.history, o)
}

// acknowledged returns the number of acknowledged changes so far.
func (r *recorder) acknowledged() int {
	count := 0
	for _, o := range r.all() {
		if o.Input.(input).op != read && o.Return != neverReturned {
			count++
		}
	}
	return count
}

// refusals formats the counts of requests that are not part of the history, by error.
func (r *recorder) refusals() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return fmt.Sprint(r.refused)
}

// all returns a copy of the history so far.
func (r *recorder) all() []porcupine.Operation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]porcupine.Operation(nil), r.history...)
}
