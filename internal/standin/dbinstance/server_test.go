package dbinstance

import (
	"context"
	"database/sql"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/juju/errors"
	_ "github.com/lib/pq"
)

// testDeadline limits every wait of a test; no test result depends on its value.
const testDeadline = 30 * time.Second

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testDeadline)
	t.Cleanup(cancel)
	return ctx
}

func startServer(t *testing.T, cfg Config) *Server {
	t.Helper()
	if cfg.ID == "" {
		cfg.ID, cfg.InitialPrimary = "a", true
	}
	cfg.Listen, cfg.User, cfg.Password = "127.0.0.1:0", "proxy", "secret"
	s, err := Start(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

func dsn(s *Server) string {
	return fmt.Sprintf("postgres://proxy:secret@%s/app?sslmode=disable", s.Addr())
}

func connect(t *testing.T, s *Server) *pgx.Conn {
	t.Helper()
	conn, err := pgx.Connect(testContext(t), dsn(s))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

func exec(t *testing.T, conn *pgx.Conn, sql string, args ...any) {
	t.Helper()
	if _, err := conn.Exec(testContext(t), sql, args...); err != nil {
		t.Fatalf("%s: %v", sql, err)
	}
}

func wantCode(t *testing.T, err error, code string) {
	t.Helper()
	var e *pgconn.PgError
	if !errors.As(err, &e) || e.Code != code {
		t.Fatalf("error %v, want SQLSTATE %s", err, code)
	}
}

func rowsOf(t *testing.T, conn *pgx.Conn, sql string, args ...any) [][]any {
	t.Helper()
	rows, err := conn.Query(testContext(t), sql, args...)
	if err != nil {
		t.Fatalf("%s: %v", sql, err)
	}
	list, err := pgx.CollectRows(rows, func(r pgx.CollectableRow) ([]any, error) { return r.Values() })
	if err != nil {
		t.Fatalf("%s: %v", sql, err)
	}
	return list
}

func TestStatements(t *testing.T) {
	conn := connect(t, startServer(t, Config{}))
	exec(t, conn, "CREATE TABLE kv (k text PRIMARY KEY, v bigint, n int, b boolean)")
	exec(t, conn, "INSERT INTO kv (k, v, n, b) VALUES ($1, $2, $3, $4), ('b', 2, -7, false)", "a", int64(1)<<40, 7, true)
	exec(t, conn, "INSERT INTO kv (k, v) VALUES ('a', 9) ON CONFLICT DO NOTHING")
	exec(t, conn, "UPDATE kv SET v = v + $1 WHERE k = $2", 5, "b")
	cases := []struct {
		query string
		args  []any
		want  [][]any
	}{
		{"SELECT * FROM kv WHERE k = $1", []any{"a"}, [][]any{{"a", int64(1) << 40, int32(7), true}}},
		{"SELECT v, n FROM kv WHERE v < $1 AND b = $2", []any{100, false}, [][]any{{int64(7), int32(-7)}}},
		{"SELECT k FROM kv ORDER BY k DESC LIMIT $1", []any{1}, [][]any{{"b"}}},
		{"SELECT count(*) FROM kv", nil, [][]any{{int64(2)}}},
		{"SELECT k FROM kv WHERE k IN ($1, 'c')", []any{"b"}, [][]any{{"b"}}},
		{"SELECT 1, 'x', $1::bigint", []any{3}, [][]any{{int32(1), "x", int64(3)}}},
		{"SELECT k FROM kv WHERE k = 'none'", nil, [][]any{}},
		{"UPDATE kv SET n = 1 WHERE k = 'a' RETURNING k, n", nil, [][]any{{"a", int32(1)}}},
		{"DELETE FROM kv WHERE k = 'a' RETURNING v", nil, [][]any{{int64(1) << 40}}},
		{"SHOW transaction_isolation", nil, [][]any{{"read committed"}}},
	}
	for _, c := range cases {
		if diff := cmp.Diff(c.want, rowsOf(t, conn, c.query, c.args...)); diff != "" {
			t.Errorf("%s: %s", c.query, diff)
		}
	}
}

func TestStatementErrors(t *testing.T) {
	conn := connect(t, startServer(t, Config{}))
	exec(t, conn, "CREATE TABLE kv (k text PRIMARY KEY, v bigint)")
	exec(t, conn, "INSERT INTO kv VALUES ('a', 1)")
	cases := []struct{ query, code string }{
		{"INSERT INTO kv VALUES ('a', 2)", codeUniqueViolation},
		{"INSERT INTO kv (v) VALUES (2)", codeNotNullViolation},
		{"SELECT * FROM none", codeUndefinedTable},
		{"SELECT x FROM kv", codeUndefinedColumn},
		{"SELEC 1", codeSyntax},
		{"INSERT INTO kv VALUES ('b', 'x')", codeInvalidTextFormat},
		{"COPY kv FROM STDIN", codeUnsupported},
		{"CREATE TABLE kv (k text)", codeDuplicateTable},
	}
	for _, c := range cases {
		for _, mode := range []pgx.QueryExecMode{pgx.QueryExecModeDescribeExec, pgx.QueryExecModeSimpleProtocol} {
			_, err := conn.Exec(testContext(t), c.query, mode)
			wantCode(t, err, c.code)
		}
	}
	if got := rowsOf(t, conn, "SELECT v FROM kv"); !cmp.Equal(got, [][]any{{int64(1)}}) {
		t.Fatalf("rows %v after errors", got)
	}
}

func TestTransactions(t *testing.T) {
	s := startServer(t, Config{})
	one, two := connect(t, s), connect(t, s)
	ctx := testContext(t)
	exec(t, one, "CREATE TABLE kv (k text PRIMARY KEY, v bigint)")
	exec(t, one, "BEGIN")
	exec(t, one, "INSERT INTO kv VALUES ('a', 1)")
	if got := rowsOf(t, two, "SELECT count(*) FROM kv"); got[0][0] != int64(0) {
		t.Fatalf("another session sees %v uncommitted rows", got[0][0])
	}
	if one.PgConn().TxStatus() != 'T' {
		t.Fatalf("status %c in a transaction", one.PgConn().TxStatus())
	}
	_, err := one.Exec(ctx, "INSERT INTO kv VALUES ('a', 2)")
	wantCode(t, err, codeUniqueViolation)
	_, err = one.Exec(ctx, "SELECT 1", pgx.QueryExecModeSimpleProtocol)
	wantCode(t, err, codeFailedTransaction)
	tag, err := one.Exec(ctx, "COMMIT")
	if err != nil || tag.String() != "ROLLBACK" {
		t.Fatalf("COMMIT after an error: %v, %v", tag, err)
	}
	exec(t, one, "BEGIN READ ONLY")
	_, err = one.Exec(ctx, "INSERT INTO kv VALUES ('a', 2)")
	wantCode(t, err, codeReadOnly)
	exec(t, one, "ROLLBACK")
	_, err = one.Exec(ctx, "INSERT INTO kv VALUES ('b', 2); SELECT * FROM none", pgx.QueryExecModeSimpleProtocol)
	wantCode(t, err, codeUndefinedTable)
	if got := rowsOf(t, two, "SELECT count(*) FROM kv"); got[0][0] != int64(0) {
		t.Fatalf("%v rows after rollbacks", got[0][0])
	}
}

func TestReadOnlyModes(t *testing.T) {
	conn := connect(t, startServer(t, Config{}))
	exec(t, conn, "CREATE TABLE kv (k text PRIMARY KEY, v bigint)")
	cases := []struct {
		setup []string
		code  string
	}{
		{[]string{"BEGIN READ ONLY"}, codeReadOnly},
		{[]string{"BEGIN", "SET TRANSACTION READ ONLY"}, codeReadOnly},
		{[]string{"SET default_transaction_read_only = on"}, codeReadOnly},
		{[]string{"SET default_transaction_read_only = on", "BEGIN"}, codeReadOnly},
		{[]string{"SET default_transaction_read_only = on", "BEGIN READ WRITE"}, ""},
		{[]string{"SET default_transaction_read_only = on", "RESET default_transaction_read_only"}, ""},
		{[]string{"SET default_transaction_read_only = on", "DISCARD ALL"}, ""},
		{[]string{"BEGIN ISOLATION LEVEL SERIALIZABLE, READ WRITE"}, ""},
	}
	for i, c := range cases {
		for _, s := range c.setup {
			exec(t, conn, s)
		}
		_, err := conn.Exec(testContext(t), fmt.Sprintf("INSERT INTO kv VALUES ('k%d', 1)", i), pgx.QueryExecModeSimpleProtocol)
		if c.code != "" {
			wantCode(t, err, c.code)
		} else if err != nil {
			t.Errorf("%v: %v", c.setup, err)
		}
		exec(t, conn, "ROLLBACK")
		exec(t, conn, "DISCARD ALL")
	}
}

func TestRowLocks(t *testing.T) {
	s := startServer(t, Config{Slots: 1})
	one, two := connect(t, s), connect(t, s)
	ctx := testContext(t)
	exec(t, one, "CREATE TABLE kv (k text PRIMARY KEY, v bigint)")
	exec(t, one, "INSERT INTO kv VALUES ('a', 1), ('b', 1)")
	exec(t, one, "BEGIN")
	exec(t, one, "UPDATE kv SET v = v + 1 WHERE k = 'a'")
	exec(t, two, "BEGIN")
	exec(t, two, "UPDATE kv SET v = v + 1 WHERE k = 'b'")
	blocked := make(chan error, 1)
	go func() {
		_, err := two.Exec(ctx, "UPDATE kv SET v = v + 1 WHERE k = 'a'")
		blocked <- err
	}()
	waitFor(t, "a waiting transaction", func() bool {
		s.store.mu.Lock()
		defer s.store.mu.Unlock()
		for tx := range s.store.writers {
			if tx.waitsFor != nil {
				return true
			}
		}
		return false
	})
	_, err := one.Exec(ctx, "UPDATE kv SET v = v + 1 WHERE k = 'b'")
	wantCode(t, err, codeDeadlock)
	if err := <-blocked; err != nil {
		t.Fatal(err)
	}
	exec(t, two, "COMMIT")
	exec(t, one, "ROLLBACK")
	if got := rowsOf(t, one, "SELECT v FROM kv"); !cmp.Equal(got, [][]any{{int64(2)}, {int64(2)}}) {
		t.Fatalf("rows %v", got)
	}
}

// waitFor polls until the condition holds.
func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(testDeadline); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("no %s before the deadline", what)
}

func TestCommitReportsPosition(t *testing.T) {
	conn := connect(t, startServer(t, Config{InitialTerm: 1}))
	exec(t, conn, "CREATE TABLE kv (k text PRIMARY KEY, v bigint)")
	if got := conn.PgConn().ParameterStatus("log_position"); got != "1/2" {
		t.Fatalf("position %q after CREATE TABLE", got)
	}
	exec(t, conn, "BEGIN")
	exec(t, conn, "INSERT INTO kv VALUES ('a', 1)")
	if got := conn.PgConn().ParameterStatus("log_position"); got != "1/2" {
		t.Fatalf("position %q before COMMIT", got)
	}
	exec(t, conn, "COMMIT")
	exec(t, conn, "SELECT * FROM kv")
	if got := conn.PgConn().ParameterStatus("log_position"); got != "1/3" {
		t.Fatalf("position %q after COMMIT", got)
	}
}

func TestLimits(t *testing.T) {
	s := startServer(t, Config{Connections: 1})
	conn := connect(t, s)
	_, err := pgx.Connect(testContext(t), dsn(s))
	wantCode(t, err, codeTooManyConnections)
	_, err = pgx.Connect(testContext(t), fmt.Sprintf("postgres://proxy:wrong@%s/app?sslmode=disable", s.Addr()))
	wantCode(t, err, codeInvalidPassword)
	if err := conn.Close(testContext(t)); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "free connection", func() bool {
		conn, err := pgx.Connect(testContext(t), dsn(s))
		if err != nil {
			return false
		}
		return conn.Close(testContext(t)) == nil
	})
}

func TestCancelRequest(t *testing.T) {
	s := startServer(t, Config{Slots: 1})
	conn, other := connect(t, s), connect(t, s)
	ended := make(chan error, 1)
	go func() {
		_, err := conn.Exec(context.Background(), "SELECT pg_sleep(3600)")
		ended <- err
	}()
	waitFor(t, "running statement", func() bool { return len(s.slots) == 1 })
	waiting := make(chan error, 1)
	go func() {
		_, err := other.Exec(context.Background(), "SELECT 1")
		waiting <- err
	}()
	for _, c := range []struct {
		conn  *pgx.Conn
		ended chan error
	}{{other, waiting}, {conn, ended}} {
		var err error
		waitFor(t, "canceled statement", func() bool {
			if e := c.conn.PgConn().CancelRequest(testContext(t)); e != nil {
				t.Fatal(e)
			}
			select {
			case err = <-c.ended:
				return true
			case <-time.After(time.Millisecond):
				return false
			}
		})
		wantCode(t, err, codeQueryCanceled)
	}
}

func TestLibPQ(t *testing.T) {
	s := startServer(t, Config{})
	db, err := sql.Open("postgres", dsn(s))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = db.Close() }()
	if _, err := db.Exec("CREATE TABLE kv (k text PRIMARY KEY, v bigint); INSERT INTO kv VALUES ('a', 1)"); err != nil {
		t.Fatal(err)
	}
	if _, err := db.Exec("INSERT INTO kv VALUES ($1, $2)", "b", 2); err != nil {
		t.Fatal(err)
	}
	var n int64
	if err := db.QueryRow("SELECT v FROM kv WHERE k = $1", "b").Scan(&n); err != nil || n != 2 {
		t.Fatalf("v = %d, %v", n, err)
	}
}
