package dbinstance

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/juju/errors"
)

// startWithTable returns a server with the table kv, a connection of the proxy VM vm1
// in the failure domain east, and a connection without an application_name.
func startWithTable(t *testing.T) (s *Server, named, other *pgx.Conn) {
	t.Helper()
	s = startServer(t, Config{})
	other = connect(t, s)
	exec(t, other, "CREATE TABLE kv (k text PRIMARY KEY, v bigint)")
	named, err := pgx.Connect(testContext(t), dsn(s)+"&application_name=chicoryline/vm1/east")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = named.Close(context.Background()) })
	return s, named, other
}

// insertInBackground runs an INSERT in the background.
func insertInBackground(conn *pgx.Conn) <-chan error {
	done := make(chan error, 1)
	go func() {
		_, err := conn.Exec(context.Background(), "INSERT INTO kv VALUES ('x', 1)", pgx.QueryExecModeSimpleProtocol)
		done <- err
	}()
	return done
}

func countRows(t *testing.T, conn *pgx.Conn) int64 {
	t.Helper()
	return rowsOf(t, conn, "SELECT count(*) FROM kv")[0][0].(int64)
}

func TestCutHoldsRequests(t *testing.T) {
	for _, party := range []string{"vm:vm1", "domain:east"} {
		for _, d := range []Direction{CutBoth, CutInbound} {
			s, named, other := startWithTable(t)
			s.Cut(d, party)
			done := insertInBackground(named)
			exec(t, other, "UPDATE kv SET v = 0")
			if n := countRows(t, other); n != 0 {
				t.Errorf("cut %s %s: the request was executed", d, party)
			}
			s.Heal(party)
			if err := <-done; err != nil {
				t.Errorf("cut %s %s: after heal: %v", d, party, err)
			}
		}
	}
}

func TestCutHoldsAnswers(t *testing.T) {
	s, named, other := startWithTable(t)
	s.Cut(CutOutbound, "vm:vm1")
	done := insertInBackground(named)
	waitFor(t, "execution of the request", func() bool { return countRows(t, other) == 1 })
	select {
	case err := <-done:
		t.Fatalf("the response arrived during the cut: %v", err)
	default:
	}
	s.Heal()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

func TestCutHoldsCancelRequest(t *testing.T) {
	s, named, _ := startWithTable(t)
	done := make(chan error, 1)
	go func() {
		_, err := named.Exec(context.Background(), "SELECT pg_sleep(3600)", pgx.QueryExecModeSimpleProtocol)
		done <- err
	}()
	pid, secret := named.PgConn().PID(), named.PgConn().SecretKey()
	waitFor(t, "running statement", func() bool {
		s.mu.Lock()
		ss := s.sessions[pid]
		s.mu.Unlock()
		ss.mu.Lock()
		defer ss.mu.Unlock()
		return ss.cancel != nil
	})
	s.Cut(CutInbound, "vm:vm1")
	if s.cancelSession(pid, secret) {
		t.Error("the cancel request took effect during the cut")
	}
	s.Heal()
	if s.cancelSession(pid, []byte("none")) {
		t.Error("a cancel request with a wrong secret took effect")
	}
	if !s.cancelSession(pid, secret) {
		t.Error("the cancel request had no effect after heal")
	}
	wantCode(t, <-done, codeQueryCanceled)
}

func TestFreeze(t *testing.T) {
	s, named, other := startWithTable(t)
	s.Freeze()
	done := insertInBackground(named)
	connected := make(chan error, 1)
	go func() {
		conn, err := pgx.Connect(context.Background(), dsn(s))
		if err == nil {
			err = conn.Close(context.Background())
		}
		connected <- err
	}()
	select {
	case <-done:
		t.Fatal("response from a frozen instance")
	case <-connected:
		t.Fatal("connection to a frozen instance")
	default:
	}
	s.Thaw()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	if err := <-connected; err != nil {
		t.Fatal(err)
	}
	if n := countRows(t, other); n != 1 {
		t.Fatalf("%d rows after thaw", n)
	}
}

func TestCutReplication(t *testing.T) {
	g := startGroup(t, Config{})
	conn := connect(t, g.servers["a"])
	exec(t, conn, "CREATE TABLE kv (k text PRIMARY KEY, v bigint)")
	before := lastPosition(t, g.servers["a"])
	g.waitForPosition(t, "b", before)
	g.servers["a"].Cut(CutBoth, "instance:b")
	exec(t, conn, "INSERT INTO kv VALUES ('a', 1)")
	after := lastPosition(t, g.servers["a"])
	g.waitForPosition(t, "c", after)
	if got := lastPosition(t, g.servers["b"]); got != before {
		t.Errorf("instance b at %v during the cut, want %v", got, before)
	}
	g.servers["a"].Heal("instance:b")
	g.waitForPosition(t, "b", after)
}

func TestCutNextAnswer(t *testing.T) {
	for _, mode := range []pgx.QueryExecMode{pgx.QueryExecModeSimpleProtocol, pgx.QueryExecModeCacheStatement} {
		s, named, other := startWithTable(t)
		exec(t, other, "INSERT INTO kv VALUES ('a', 1), ('b', 2), ('c', 3)")
		s.TruncateNextResponse(2)
		rows, err := named.Query(testContext(t), "SELECT * FROM kv", mode)
		if err != nil {
			t.Fatal(err)
		}
		n := 0
		for rows.Next() {
			n++
		}
		if n != 2 || rows.Err() == nil {
			t.Errorf("%v: %d rows and error %v, want 2 rows and a broken connection", mode, n, rows.Err())
		}
		if n := countRows(t, other); n != 3 {
			t.Errorf("%v: the fault stayed active after one response", mode)
		}
	}
}

func TestBreakNextCommit(t *testing.T) {
	cases := []struct {
		at      CommitBreak
		command string
		want    int64
	}{
		{BreakBeforeCommit, "BEGIN; INSERT INTO kv VALUES ('x', 1); COMMIT", 0},
		{BreakAfterCommit, "BEGIN; INSERT INTO kv VALUES ('x', 1); COMMIT", 1},
		{BreakBeforeCommit, "INSERT INTO kv VALUES ('x', 1)", 0},
		{BreakAfterCommit, "INSERT INTO kv VALUES ('x', 1)", 1},
	}
	for _, c := range cases {
		for _, mode := range []pgx.QueryExecMode{pgx.QueryExecModeSimpleProtocol, pgx.QueryExecModeExec} {
			if mode == pgx.QueryExecModeExec && strings.Contains(c.command, ";") {
				continue
			}
			s, named, other := startWithTable(t)
			s.BreakNextCommit(c.at)
			_, err := named.Exec(testContext(t), c.command, mode)
			var pgErr *pgconn.PgError
			if err == nil || errors.As(err, &pgErr) {
				t.Errorf("%s %q: error %v, want a broken connection", c.at, c.command, err)
			}
			if n := countRows(t, other); n != c.want {
				t.Errorf("%s %q: %d rows, want %d", c.at, c.command, n, c.want)
			}
		}
	}
}

func TestDelayNextAnswer(t *testing.T) {
	s, named, other := startWithTable(t)
	s.DelayNextResponse(time.Hour)
	ctx, cancel := context.WithCancel(testContext(t))
	done := make(chan error, 1)
	go func() {
		_, err := named.Exec(ctx, "INSERT INTO kv VALUES ('x', 1)", pgx.QueryExecModeSimpleProtocol)
		done <- err
	}()
	waitFor(t, "effect before the response", func() bool {
		s.faults.mu.Lock()
		taken := s.faults.responseDelay == 0
		s.faults.mu.Unlock()
		return taken && countRows(t, other) == 1
	})
	cancel()
	if err := <-done; err == nil {
		t.Fatal("the response was not delayed")
	}
}

func TestKillAndRestart(t *testing.T) {
	s, named, _ := startWithTable(t)
	exec(t, named, "INSERT INTO kv VALUES ('x', 1)")
	s.Kill()
	<-s.Done()
	if _, err := named.Exec(testContext(t), "SELECT 1"); err == nil {
		t.Fatal("a killed instance executed a statement")
	}
	s.Close()
	again := startServer(t, Config{ID: "a", Store: s.Store()})
	if n := countRows(t, connect(t, again)); n != 1 {
		t.Fatalf("%d rows after the restart", n)
	}
}

func TestAdminCalls(t *testing.T) {
	s := startServer(t, Config{AdminListen: "127.0.0.1:0"})
	cases := []struct {
		query string
		code  int
		want  FaultReport
	}{
		{"name=cut&direction=out&parties=vm:x,domain:y", 200, FaultReport{Cuts: []string{"domain:y out", "vm:x out"}}},
		{"name=heal&parties=vm:x", 200, FaultReport{Cuts: []string{"domain:y out"}}},
		{"name=heal", 200, FaultReport{}},
		{"name=freeze", 200, FaultReport{Frozen: true}},
		{"name=thaw", 200, FaultReport{}},
		{"name=replication_lag&value=20ms", 200, FaultReport{ReplicationLag: "20ms"}},
		{"name=statement_delay&value=3ms", 200, FaultReport{ReplicationLag: "20ms", StatementDelay: "3ms"}},
		{"name=cut&direction=sideways&parties=vm:x", 400, FaultReport{}},
		{"name=cut&direction=both", 400, FaultReport{}},
		{"name=cut_answer&rows=-1", 400, FaultReport{}},
		{"name=break_commit&when=never", 400, FaultReport{}},
		{"name=replication_lag&value=soon", 400, FaultReport{}},
		{"name=none", 404, FaultReport{}},
	}
	for _, c := range cases {
		resp, err := http.Post("http://"+s.AdminAddr()+"/fault?"+c.query, "", nil)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode != c.code {
			t.Errorf("%s: status %d, want %d", c.query, resp.StatusCode, c.code)
		}
		if c.code == http.StatusOK {
			if diff := cmp.Diff(withDefaults(c.want), s.Faults()); diff != "" {
				t.Errorf("%s: %s", c.query, diff)
			}
		}
	}
	resp, err := http.Get("http://" + s.AdminAddr() + "/status")
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil || !strings.Contains(string(body), `"Instance":"a"`) {
		t.Errorf("status %s, %v", body, err)
	}
}

func withDefaults(r FaultReport) FaultReport {
	for _, d := range []*string{&r.ReplicationLag, &r.StatementDelay, &r.ConnectDelay, &r.LateAnswer} {
		if *d == "" {
			*d = "0s"
		}
	}
	if r.Cuts == nil {
		r.Cuts = []string{}
	}
	r.CutAfterRows = noRowLimit
	return r
}

func TestAdminKill(t *testing.T) {
	s := startServer(t, Config{AdminListen: "127.0.0.1:0"})
	resp, err := http.Post("http://"+s.AdminAddr()+"/fault?name=kill", "", nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	<-s.Done()
}

// TestIdleTransactionTimeout checks that the instance's idle-in-transaction timeout
// ends the transaction of a partitioned proxy and releases its locks.
func TestIdleTransactionTimeout(t *testing.T) {
	s, named, other := startWithTable(t)
	exec(t, other, "INSERT INTO kv VALUES ('a', 1)")
	exec(t, named, "SET idle_in_transaction_session_timeout = 20")
	s.Cut(CutOutbound, "vm:vm1")
	done := make(chan error, 1)
	go func() {
		_, err := named.Exec(context.Background(), "BEGIN; UPDATE kv SET v = 2 WHERE k = 'a'", pgx.QueryExecModeSimpleProtocol)
		done <- err
	}()
	waitFor(t, "lock held by the transaction", func() bool {
		s.store.mu.Lock()
		defer s.store.mu.Unlock()
		return len(s.store.locks) > 0
	})
	s.Cut(CutBoth, "vm:vm1")
	exec(t, other, "UPDATE kv SET v = 3")
	if got := rowsOf(t, other, "SELECT v FROM kv"); !cmp.Equal(got, [][]any{{int64(3)}}) {
		t.Errorf("rows %v", got)
	}
	s.Heal()
	<-done
	if _, err := named.Exec(testContext(t), "COMMIT"); err == nil {
		t.Error("the transaction outlived its timeout")
	}
}
