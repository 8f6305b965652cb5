package dbinstance

import (
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chicoryline/internal/backend"
	"chicoryline/internal/position"
)

// group is a database group of the servers a, b and c; a is the initial primary.
type group struct {
	servers map[string]*Server
	clients map[string]*backend.Client
}

func startGroup(t *testing.T, cfg Config) *group {
	t.Helper()
	g := &group{servers: map[string]*Server{}, clients: map[string]*backend.Client{}}
	var mu sync.Mutex
	addresses := map[string]string{}
	cfg.Peers = func(id string) string {
		mu.Lock()
		defer mu.Unlock()
		return addresses[id]
	}
	for i, id := range []string{"a", "b", "c"} {
		c := cfg
		c.ID, c.InitialPrimary = id, i == 0
		if i > 0 {
			c.InitialSource = "a"
		}
		s := startServer(t, c)
		mu.Lock()
		addresses[id] = s.Addr()
		mu.Unlock()
		g.servers[id] = s
		g.clients[id] = backend.NewClient(backend.ClientConfig{
			ID: id, Address: s.Addr(), User: "proxy", Password: "secret", ApplicationName: "chicoryline/vm1/east",
		})
		t.Cleanup(g.clients[id].Close)
	}
	return g
}

// waitForPosition waits over the control connection until the instance confirms p.
func (g *group) waitForPosition(t *testing.T, id string, p position.Position) backend.Status {
	t.Helper()
	s, err := g.clients[id].Wait(testContext(t), p, testDeadline)
	if err != nil {
		t.Fatal(err)
	}
	if !s.Confirms(p) {
		t.Fatalf("instance %s at %+v, want %v", id, s, p)
	}
	return s
}

func lastPosition(t *testing.T, s *Server) position.Position {
	t.Helper()
	return s.Store().Status().Log
}

func TestReplication(t *testing.T) {
	for _, lag := range []time.Duration{0, 5 * time.Millisecond} {
		g := startGroup(t, Config{ReplicationLag: lag})
		conn := connect(t, g.servers["a"])
		exec(t, conn, "CREATE TABLE kv (k text PRIMARY KEY, v bigint)")
		for i := range 20 {
			exec(t, conn, "INSERT INTO kv VALUES ($1, $2)", string(rune('a'+i)), i)
		}
		p := position.Position{Term: 1, Offset: 22}
		for _, id := range []string{"b", "c"} {
			g.waitForPosition(t, id, p)
			reader := connect(t, g.servers[id])
			if diff := cmp.Diff(rowsOf(t, conn, "SELECT * FROM kv"), rowsOf(t, reader, "SELECT * FROM kv")); diff != "" {
				t.Errorf("replica %s: %s", id, diff)
			}
			_, err := reader.Exec(testContext(t), "INSERT INTO kv VALUES ('z', 1)")
			wantCode(t, err, codeReadOnly)
		}
	}
}

func TestFailover(t *testing.T) {
	g := startGroup(t, Config{})
	ctx := testContext(t)
	conn := connect(t, g.servers["a"])
	exec(t, conn, "CREATE TABLE kv (k text PRIMARY KEY, v bigint)")
	shared := lastPosition(t, g.servers["a"])
	g.waitForPosition(t, "b", shared)
	g.waitForPosition(t, "c", shared)
	for _, id := range []string{"b", "c"} {
		if _, err := g.clients[id].Fence(ctx, 2); err != nil {
			t.Fatal(err)
		}
	}
	exec(t, conn, "INSERT INTO kv VALUES ('lost', 1)")
	exec(t, conn, "BEGIN")
	exec(t, conn, "INSERT INTO kv VALUES ('open', 1)")
	if _, err := g.clients["b"].Promote(ctx, 2); err != nil {
		t.Fatal(err)
	}
	writer := connect(t, g.servers["b"])
	exec(t, writer, "INSERT INTO kv VALUES ('kept', 2)")
	for _, id := range []string{"a", "c"} {
		if _, err := g.clients[id].Follow(ctx, 2, "b"); err != nil {
			t.Fatal(err)
		}
		g.waitForPosition(t, id, lastPosition(t, g.servers["b"]))
	}
	_, err := conn.Exec(ctx, "COMMIT")
	wantCode(t, err, codeAdminShutdown)
	if diff := cmp.Diff([][]any{{"kept", int64(2)}}, rowsOf(t, conn, "SELECT * FROM kv")); diff != "" {
		t.Error(diff)
	}
	want := backend.Status{Instance: "a", Role: backend.Replica, Fence: 2, Log: lastPosition(t, g.servers["b"]), Source: "b"}
	got, err := g.clients["a"].Status(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}
