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
	// customer is the caller's customer; its rate is no limit here.
	customer = "recorder"
	// group is the database group under test, and its route for current data.
	group = "group1"
	// requestTimeout bounds one request.
	requestTimeout = 20 * time.Second
	// settleTimeout bounds every wait for a condition.
	settleTimeout = 90 * time.Second
	// pollInterval is the pause between two looks at a condition.
	pollInterval = 20 * time.Millisecond
	// customerRate is the customer's rate, in statements a second.
	customerRate = 100_000
)

// startSite starts a small installation: one group of three backend servers in
// three failure domains.
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

// slowReplicaLag is the replication lag of the slow replica: long enough that a read
// there right after a write misses it.
const slowReplicaLag = 150 * time.Millisecond

// slowLastReplica makes the group's last backend server a slow replica, so that a read
// which does not ask how far its replica has come is found out.
func slowLastReplica(s *site.Site) {
	ids := s.InstanceIDs(group)
	s.Instances[ids[len(ids)-1]].SetReplicationLag(slowReplicaLag)
}

// dial connects through the i-th proxy; a nil token is none.
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

// connect is dial for a test that cannot go on without the connection.
func connect(t *testing.T, s *site.Site, proxy int, route string, token *string) *pgx.Conn {
	t.Helper()
	conn, err := dial(s, proxy, route, token)
	if err != nil {
		t.Fatalf("connect through proxy %d to %s: %v", proxy, route, err)
	}
	t.Cleanup(func() { closeConn(conn) })
	return conn
}

func closeConn(conn *pgx.Conn) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = conn.Close(ctx)
}

// outcomeClass tells what the caller knows of the effect of a request. A connection
// that broke says nothing.
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

// errorName names the error for a summary.
func errorName(err error) string {
	var pg *pgconn.PgError
	if !errors.As(err, &pg) {
		return "connection"
	}
	kind, _, _ := strings.Cut(strings.TrimPrefix(pg.Detail, "kind="), " ")
	return pg.Code + ":" + kind
}

// insertRows makes the registers through the product.
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

// eventually waits until the condition holds.
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

// replacePrimary cuts the primary off and waits until another one serves
// writes. It returns the backend server that is cut off.
func replacePrimary(t *testing.T, s *site.Site) string {
	t.Helper()
	old := s.Primary(group)
	if err := s.CutInstance(old); err != nil {
		t.Fatal(err)
	}
	awaitSuccessor(t, s, old)
	return old
}

// awaitSuccessor waits until a primary other than the old one takes a write.
func awaitSuccessor(t *testing.T, s *site.Site, old string) {
	t.Helper()
	eventually(t, "a successor of "+old, func() error {
		if now := s.Primary(group); now == old {
			return errors.New("the group has the old primary")
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

// heal joins the backend server again and waits until it is a replica.
func heal(t *testing.T, s *site.Site, id string) {
	t.Helper()
	if err := s.HealInstance(id); err != nil {
		t.Fatal(err)
	}
	eventually(t, id+" follows", func() error {
		if s.Instances[id].Store().Status().IsActivePrimary() {
			return errors.New(id + " believes that it leads")
		}
		return nil
	})
}

// recorder collects the operations of all callers. The mutex guards history
// and refused.
type recorder struct {
	start   time.Time
	mu      sync.Mutex
	history []porcupine.Operation
	// refused counts what left no trace, by the answer.
	refused map[string]int
}

func newRecorder() *recorder { return &recorder{start: time.Now(), refused: map[string]int{}} }

// now returns the time since the beginning, in nanoseconds.
func (r *recorder) now() int64 { return int64(time.Since(r.start)) }

// record adds an operation with its end. What had no effect and answered
// nothing leaves no trace.
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

// acknowledged counts the acknowledged changes so far.
func (r *recorder) acknowledged() int {
	count := 0
	for _, o := range r.all() {
		if o.Input.(input).op != read && o.Return != neverReturned {
			count++
		}
	}
	return count
}

// refusals lists how many requests left no trace, by the answer.
func (r *recorder) refusals() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return fmt.Sprint(r.refused)
}

// all returns the history so far.
func (r *recorder) all() []porcupine.Operation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]porcupine.Operation(nil), r.history...)
}
