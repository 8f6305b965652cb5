package blackbox

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
)

// mustExec runs a statement and fails the test on an error.
func mustExec(t *testing.T, conn *pgx.Conn, sql string, args ...any) {
	t.Helper()
	if _, err := conn.Exec(context.Background(), sql, args...); err != nil {
		t.Fatalf("%s: %v", sql, err)
	}
}

// sqlState returns the SQLSTATE of an error, or "" if it has none.
func sqlState(err error) string {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		return e.Code
	}
	return ""
}

// TestEndToEnd covers the path from caller to backend server: session tokens, transactions,
// prepared statements, rejected input and a failover.
func TestEndToEnd(t *testing.T) {
	ctx := context.Background()
	in := newInstallation(t, spec{proxies: 8, groups: 2, instances: 3, domains: 3, customers: []string{"kremstal", "other"}, rate: 5000, burst: 5000})
	a := in.connect("vm1", "kremstal", "group1", "")
	mustExec(t, a, "CREATE TABLE orders (id bigint PRIMARY KEY, what text)")

	t.Run("write, then read through every proxy", func(t *testing.T) {
		mustExec(t, a, "INSERT INTO orders (id, what) VALUES ($1, $2)", 1, "balloons")
		token := a.PgConn().ParameterStatus("chicoryline.session")
		for proxy := range in.callerAddresses {
			for _, route := range []string{"group1", "group1-aged"} {
				b := in.connect(proxy, "kremstal", route, token)
				var what string
				if err := b.QueryRow(ctx, "SELECT what FROM orders WHERE id = $1", 1).Scan(&what); err != nil || what != "balloons" {
					t.Errorf("%s %s: %q %v", proxy, route, what, err)
				}
			}
		}
	})
	t.Run("read through another proxy without a token", func(t *testing.T) {
		b := in.connect("vm2", "kremstal", "group1-aged", "")
		for i := 100; i < 130; i++ {
			mustExec(t, a, "INSERT INTO orders (id, what) VALUES ($1, 'x')", i)
			var n int64
			if err := b.QueryRow(ctx, "SELECT count(*) FROM orders WHERE id = $1", i).Scan(&n); err != nil || n != 1 {
				t.Fatalf("order %d: count %d, %v", i, n, err)
			}
		}
	})
	t.Run("transaction", func(t *testing.T) {
		tx, err := a.Begin(ctx)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := tx.Exec(ctx, "INSERT INTO orders (id, what) VALUES (2, 'a')"); err != nil {
			t.Fatal(err)
		}
		if _, err := tx.Exec(ctx, "INSERT INTO orders (id, what) VALUES (2, 'b')"); sqlState(err) != "23505" {
			t.Fatalf("double insert: %v", err)
		}
		if _, err := tx.Exec(ctx, "SELECT 1"); sqlState(err) != "25P02" {
			t.Fatalf("statement after an error: %v", err)
		}
		if err := tx.Rollback(ctx); err != nil {
			t.Fatal(err)
		}
		var n int64
		if err := a.QueryRow(ctx, "SELECT count(*) FROM orders WHERE id = 2").Scan(&n); err != nil || n != 0 {
			t.Fatalf("after rollback: %d, %v", n, err)
		}
	})
	t.Run("prepared statements", func(t *testing.T) {
		if _, err := a.Prepare(ctx, "by_id", "SELECT what FROM orders WHERE id = $1"); err != nil {
			t.Fatal(err)
		}
		for range 20 {
			var what string
			if err := a.QueryRow(ctx, "by_id", 1).Scan(&what); err != nil || what != "balloons" {
				t.Fatalf("%q %v", what, err)
			}
		}
	})
	t.Run("bad input", func(t *testing.T) { badInput(t, in) })
	t.Run("failover", func(t *testing.T) {
		in.instances["group1-db1"].kill()
		in.eventually("writes continue", func() error {
			_, err := a.Exec(ctx, "INSERT INTO orders (id, what) VALUES (1000, 'after') ON CONFLICT DO NOTHING")
			return err
		})
		for _, id := range []int{1, 100, 129, 1000} {
			var n int64
			if err := a.QueryRow(ctx, "SELECT count(*) FROM orders WHERE id = $1", id).Scan(&n); err != nil || n != 1 {
				t.Errorf("order %d after the failover: %d, %v", id, n, err)
			}
		}
	})
}

// badInput sends invalid or forbidden requests and checks the SQLSTATE of each error. The
// connection stays usable.
func badInput(t *testing.T, in *installation) {
	ctx := context.Background()
	if _, err := in.dial("vm1", "kremstal", "nowhere", ""); sqlState(err) != "3D000" {
		t.Errorf("unknown route: %v", err)
	}
	if _, err := in.dial("vm1", "kremstal", "group1", "AAAA"); sqlState(err) != "22023" {
		t.Errorf("forged token: %v", err)
	}
	a := in.connect("vm1", "kremstal", "group1", "")
	mustExec(t, a, "INSERT INTO orders (id, what) VALUES (500, 'x')")
	foreign := a.PgConn().ParameterStatus("chicoryline.session")
	if _, err := in.dial("vm1", "other", "group1", foreign); sqlState(err) != "22023" {
		t.Errorf("foreign token: %v", err)
	}
	for sql, code := range map[string]string{
		"COPY orders FROM stdin": "0A000", "LISTEN x": "0A000", "SET search_path = x": "0A000",
		"SELECT * FROM instance_fence(99)": "0A000", "SELEC": "42601",
		fmt.Sprintf("SELECT '%s'", in.keys["kremstal"]): "22000",
	} {
		if _, err := a.Exec(ctx, sql); sqlState(err) != code {
			t.Errorf("%.20s: %v, want %s", sql, err, code)
		}
	}
	mustExec(t, a, "SELECT 1")
}
