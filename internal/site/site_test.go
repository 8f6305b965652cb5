package site

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/sirupsen/logrus"
)

func quietLog() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

// connect opens a caller connection through the i-th proxy.
func connect(t *testing.T, s *Site, i int, customer, route, token string) *pgx.Conn {
	t.Helper()
	config, err := pgx.ParseConfig("sslmode=disable")
	if err != nil {
		t.Fatal(err)
	}
	host, port := splitHostPort(s.Proxies[i].CallerAddress())
	config.Host, config.Port, config.User, config.Password, config.Database = host, port, customer, s.Keys[customer], route
	config.DialFunc = s.DialClient()
	if token != "" {
		config.RuntimeParams["chicoryline.session"] = token
	}
	conn, err := pgx.ConnectConfig(context.Background(), config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

func TestSessionReadsOwnWriteThroughEveryProxy(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	s, err := Start(ctx, Demo(), quietLog())
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	a := connect(t, s, 0, "large1", "group1", "")
	if _, err := a.Exec(ctx, "INSERT INTO sessions (k, v) VALUES ($1, $2)", "s1", 7); err != nil {
		t.Fatal(err)
	}
	token := a.PgConn().ParameterStatus("chicoryline.session")
	if token == "" {
		t.Fatal("no session token after a write")
	}
	for i := range s.Proxies {
		b := connect(t, s, i, "large1", "group1-aged", token)
		var v int64
		if err := b.QueryRow(ctx, "SELECT v FROM sessions WHERE k = $1", "s1").Scan(&v); err != nil || v != 7 {
			t.Fatalf("proxy %d: v=%d err=%v", i, v, err)
		}
	}
}
