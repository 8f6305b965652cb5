package backend_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/juju/errors"

	"chicoryline/internal/backend"
	"chicoryline/internal/errkind"
	"chicoryline/internal/position"
	"chicoryline/internal/standin/dbinstance"
)

const (
	// testDeadline bounds every wait of a test; no result depends on its value.
	testDeadline = 30 * time.Second
	// expiry is a deadline that is expected to pass, because the instance can't answer.
	expiry = 50 * time.Millisecond
)

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testDeadline)
	t.Cleanup(cancel)
	return ctx
}

// start returns a primary and a client for it.
func start(t *testing.T, cfg dbinstance.Config) (*dbinstance.Server, *backend.Client) {
	t.Helper()
	cfg.ID, cfg.InitialPrimary, cfg.User, cfg.Password = "a", true, "proxy", "secret"
	if cfg.Listen == "" {
		cfg.Listen = "127.0.0.1:0"
	}
	s, err := dbinstance.Start(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s, newClient(t, s, nil)
}

func newClient(t *testing.T, s *dbinstance.Server, dial backend.DialFunc) *backend.Client {
	t.Helper()
	c := backend.NewClient(backend.ClientConfig{
		ID: "a", Address: s.Addr(), User: "proxy", Password: "secret",
		ApplicationName: "chicoryline/vm1/east", Dial: dial,
	})
	t.Cleanup(c.Close)
	return c
}

func wantKind(t *testing.T, err error, kind errkind.Kind) {
	t.Helper()
	if !errkind.Is(err, kind) {
		t.Errorf("error %v, want kind %v", err, kind)
	}
}

func TestClientAnswers(t *testing.T) {
	_, c := start(t, dbinstance.Config{})
	ctx := testContext(t)
	if s, err := c.Fence(ctx, 5); err != nil || s.Fence != 5 || s.Role != backend.Replica {
		t.Fatalf("%+v, %v", s, err)
	}
	_, err := c.Fence(ctx, 4)
	wantKind(t, err, errkind.Fenced)
	_, err = c.Promote(ctx, 6)
	wantKind(t, err, errkind.Conflict)
	if s, err := c.Follow(ctx, 6, "it's"); err != nil || s.Source != "it's" {
		t.Fatalf("%+v, %v", s, err)
	}
}

func TestClientUnreachable(t *testing.T) {
	s, _ := start(t, dbinstance.Config{})
	unreachable := newClient(t, s, func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("unreachable") })
	_, err := unreachable.Fence(testContext(t), 2)
	wantKind(t, err, errkind.Unreachable)

	s.Freeze()
	ctx, cancel := context.WithTimeout(testContext(t), expiry)
	defer cancel()
	_, err = newClient(t, s, nil).Fence(ctx, 2)
	wantKind(t, err, errkind.Unreachable)
}

// Guards against an address of the platform's list that names another host behind its end.
func TestAddressIsAHostAndAPort(t *testing.T) {
	for _, address := range []string{"127.0.0.1:5432/?host=127.0.0.9&port=1", "127.0.0.1:5432,127.0.0.9:1", "u:p@127.0.0.9:1", "127.0.0.1", "127.0.0.1:65536", ""} {
		var dialed []string
		c := backend.NewClient(backend.ClientConfig{ID: "a", Address: address, Dial: func(_ context.Context, _, to string) (net.Conn, error) {
			dialed = append(dialed, to)
			return nil, errors.New("not dialed")
		}})
		_, err := c.Status(testContext(t))
		wantKind(t, err, errkind.Unreachable)
		if len(dialed) > 0 {
			t.Errorf("%q: dialed %q", address, dialed)
		}
		c.Close()
	}
}

func TestClientOutcomeUnknown(t *testing.T) {
	for _, d := range []dbinstance.Direction{dbinstance.CutInbound, dbinstance.CutOutbound} {
		s, c := start(t, dbinstance.Config{})
		if _, err := c.Status(testContext(t)); err != nil {
			t.Fatal(err)
		}
		s.Cut(d, "domain:east")
		ctx, cancel := context.WithTimeout(testContext(t), expiry)
		_, err := c.Fence(ctx, 2)
		cancel()
		wantKind(t, err, errkind.OutcomeUnknown)
		s.Heal()
		if got, err := c.Fence(testContext(t), 2); err != nil || got.Fence != 2 {
			t.Errorf("after heal: %+v, %v", got, err)
		}
	}
}

func TestClientReopens(t *testing.T) {
	s, c := start(t, dbinstance.Config{})
	if _, err := c.Status(testContext(t)); err != nil {
		t.Fatal(err)
	}
	s.Close()
	_, err := c.Status(testContext(t))
	wantKind(t, err, errkind.OutcomeUnknown)
	_, err = c.Status(testContext(t))
	wantKind(t, err, errkind.Unreachable)

	again, err := dbinstance.Start(dbinstance.Config{
		ID: "a", Listen: s.Addr(), User: "proxy", Password: "secret", Store: s.Store(),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(again.Close)
	if got, err := c.Status(testContext(t)); err != nil || got.Instance != "a" {
		t.Fatalf("%+v, %v", got, err)
	}
}

// TestWaitsShareConnection runs many waits at an instance that accepts only
// ControlConnections connections besides the one of the writer.
func TestWaitsShareConnection(t *testing.T) {
	var dials atomic.Int32
	s, _ := start(t, dbinstance.Config{Connections: backend.ControlConnections + 1})
	c := newClient(t, s, func(ctx context.Context, network, address string) (net.Conn, error) {
		dials.Add(1)
		return (&net.Dialer{}).DialContext(ctx, network, address)
	})
	const waits = 100
	done := make(chan error, waits)
	for i := range waits {
		p := position.Position{Term: 1, Offset: uint64(2 + i%5)}
		go func() {
			got, err := c.Wait(context.Background(), p, testDeadline)
			if err == nil && !got.Confirms(p) {
				err = errors.Errorf("%+v does not confirm %v", got, p)
			}
			done <- err
		}()
	}
	writer, err := pgconn.Connect(testContext(t), "postgres://proxy:secret@"+s.Addr()+"/app?sslmode=disable")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = writer.Close(context.Background()) }()
	for _, name := range []string{"t1", "t2", "t3", "t4", "t5"} {
		if _, err := writer.Exec(testContext(t), "CREATE TABLE "+name+" (k text PRIMARY KEY)").ReadAll(); err != nil {
			t.Fatal(err)
		}
	}
	for range waits {
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
	if n := dials.Load(); n > backend.ControlConnections {
		t.Errorf("%d connections, want at most %d", n, backend.ControlConnections)
	}
}

func TestWaitEnds(t *testing.T) {
	s, c := start(t, dbinstance.Config{})
	far := position.Position{Term: 1, Offset: 1000}
	if got, err := c.Wait(testContext(t), far, time.Millisecond); err != nil || got.Confirms(far) {
		t.Errorf("timeout: %+v, %v", got, err)
	}
	ended := make(chan backend.Status, 1)
	go func() {
		got, _ := c.Wait(context.Background(), far, testDeadline)
		ended <- got
	}()
	if _, err := c.Fence(testContext(t), 2); err != nil {
		t.Fatal(err)
	}
	if got := <-ended; got.Fence != 2 {
		t.Errorf("higher fence: %+v", got)
	}
	s.Freeze()
	ctx, cancel := context.WithTimeout(testContext(t), expiry)
	defer cancel()
	_, err := c.Wait(ctx, position.Position{Term: 9, Offset: 1}, testDeadline)
	wantKind(t, err, errkind.OutcomeUnknown)
}
