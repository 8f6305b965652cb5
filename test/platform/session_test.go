package platform_test

import (
	"net"
	"strings"
	"testing"
	"time"

	"chicoryline/internal/standin/lineclient"
	"chicoryline/internal/standin/world"
)

func TestSessionKeepsValuesAndPreparedStatements(t *testing.T) {
	f := start(t)
	a, b := f.dial(0, "own-0", "key-large"), f.dial(0, "own-0", "key-large")
	a.must("SET color red")
	b.must("SET color blue")
	b.must("SET size xl")
	a.must("PARSE s1 WRITE shape-a")
	b.must("PARSE s1 READ shape-b") // same name, different statement
	for range 3 {
		if sign := a.must("EXECUTE s1 item1 one").Signature; !strings.HasSuffix(sign, "/color=red") {
			t.Fatalf("signature %q: session values of another caller", sign)
		}
		got := b.must("EXECUTE s1 item1")
		if !strings.HasSuffix(got.Signature, "/color=blue,size=xl") {
			t.Fatalf("signature %q: session values of another caller", got.Signature)
		}
	}
	a.must("CLOSE s1")
	a.expect("EXECUTE s1 item1 two", "NOSTMT", "I")
}

// A value that was set within a transaction did not reach the server before the COMMIT, which ran
// with the value before (a run of the reviewer).
func TestStatementsOfATransactionRunWithTheSessionsValues(t *testing.T) {
	f := start(t)
	c := f.dial(0, "own-0", "key-large")
	expect := func(text, values string) {
		t.Helper()
		if sign := c.must(text).Signature; !strings.HasSuffix(sign, values) {
			t.Errorf("%s ran with %q, want values %s", text, sign, values)
		}
	}
	c.must("SET color red")
	c.must("PARSE s1 WRITE shape-a")
	c.must("BEGIN")
	expect("WRITE item1 1", "/color=red")
	c.must("SET color blue")
	expect("COMMIT", "/color=blue")
	expect("READ item1", "/color=blue")
	c.must("BEGIN")
	expect("EXECUTE s1 item1 2", "/color=blue")
	c.must("SET color green")
	c.must("SET size xl")
	expect("EXECUTE s1 item1 3", "/color=green,size=xl")
	c.must("SET size s")
	c.must("ROLLBACK")
	expect("READ item1", "/color=green,size=s")
	c.must("BEGIN")
	c.must("SET color black")
	expect("COMMIT", "/color=black,size=s")
}

func TestTransactions(t *testing.T) {
	f := start(t)
	c := f.dial(1, "current-0", "key-large")
	c.expect("BEGIN", "", "T")
	c.expect("WRITE a 1", "", "T")
	if got := c.must("READ a").Rows[0]; got != "1" {
		t.Errorf("own write reads %q", got)
	}
	c.expect("COMMIT", "", "I")
	c.expect("BEGIN", "", "T")
	c.expect("WRITE a 2", "", "T")
	c.expect("ROLLBACK", "", "I")
	if got := c.must("READ a").Rows[0]; got != "1" {
		t.Errorf("after a rollback reads %q", got)
	}
	c.expect("BEGIN READ", "", "T")
	c.expect("WRITE a 3", "READONLY", "E")
	c.expect("READ a", "MALFORMED", "E")
	c.expect("ROLLBACK", "", "I")
	c.expect("COMMIT", "MALFORMED", "I")
}

func TestDisconnectRollsBackTransaction(t *testing.T) {
	f := start(t)
	c := f.dial(0, "own-0", "key-small")
	c.must("BEGIN")
	c.must("WRITE gone 1")
	c.Close()
	d := f.dial(0, "current-0", "key-small")
	for range 3 {
		if got := d.must("READ gone").Rows[0]; got != "" {
			t.Fatalf("a write of an abandoned transaction was kept: %q", got)
		}
	}
}

func TestIdleTransactionIsAborted(t *testing.T) {
	f := start(t)
	f.ChangeConfig(func(*[]world.Route, *[]world.Customer) {})
	c := f.dial(0, "current-0", "key-large")
	c.must("BEGIN")
	c.must("WRITE idle 1")
	time.Sleep(3500 * time.Millisecond) // the configured limit is 3 s
	c.expect("WRITE idle 2", "ABORTED", "E")
	c.expect("ROLLBACK", "", "I")
	if got := c.must("READ idle").Rows[0]; got != "" {
		t.Errorf("a write of the aborted transaction was kept: %q", got)
	}
}

func TestReadsSeeOwnWritesAndCurrentState(t *testing.T) {
	f := start(t, func(o *world.Options) { o.Lag = 300 * time.Millisecond })
	own, current := f.dial(0, "own-0", "key-large"), f.dial(1, "current-0", "key-small")
	for _, data := range []string{"1", "2", "3", "4"} {
		own.must("WRITE x " + data)
		if got := own.must("READ x").Rows[0]; got != data {
			t.Fatalf("own write %s reads %q", data, got)
		}
		if got := current.must("READ x").Rows[0]; got != data {
			t.Fatalf("current read after %s gives %q", data, got)
		}
		own.must("BEGIN READ")
		if got := own.must("READ x").Rows[0]; got != data {
			t.Fatalf("own write %s reads %q in a transaction", data, got)
		}
		own.must("COMMIT")
	}
}

func TestRejectedRequests(t *testing.T) {
	f := start(t)
	for _, c := range []struct{ database, key, code string }{
		{"nowhere", "key-large", "NODB"},
		{"own-0", "no-key", "UNAUTH"},
	} {
		_, err := lineclient.Dial(f.FrontAddress(0), c.database, c.key, requestTimeout)
		if refused, ok := err.(*lineclient.RefusedError); !ok || refused.Code != c.code {
			t.Errorf("%s with %s: %v, want %s", c.database, c.key, err, c.code)
		}
	}
	c := f.dial(0, "own-0", "key-large")
	for _, text := range []string{"DROP x", "READ", "PARSE p OTHER s", "SET x", "BEGIN now", "COMMIT x", "STATUS", "AFTER 1.1 READ x", "PAUSE 9"} {
		c.expect(text, "MALFORMED", "I")
	}
	if a, err := c.Raw("QUERY - READ x"); err != nil || a.Code != "MALFORMED" {
		t.Errorf("statement with the reserved id -: %+v, %v", a, err)
	}
	c.must("READ x")
}

func TestOversizedMessageEndsOnlyItsConnection(t *testing.T) {
	f := start(t)
	c := f.dial(0, "own-0", "key-large")
	conn, err := net.Dial("tcp4", f.FrontAddress(0))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := conn.Write([]byte("STARTUP own-0 " + strings.Repeat("k", 2<<20))); err != nil {
		t.Logf("connection closed during the write: %v", err)
	}
	answer := make([]byte, 64)
	if err := conn.SetReadDeadline(time.Now().Add(requestTimeout)); err != nil {
		t.Fatal(err)
	}
	n, err := conn.Read(answer)
	if err == nil && !strings.HasPrefix(string(answer[:n]), "ERROR TOOBIG") {
		t.Errorf("answer %q", answer[:n])
	}
	c.must("READ x")
}

func TestInvalidServerEntriesAreIgnored(t *testing.T) {
	f := start(t)
	for i, value := range []string{"", "{", "[]", `{"service":"group0"}`, "\xff\x00", `{"service":"group0","address":"x","zone":"z","state":"ready","slots":1,"db_role":"primary"}`,
		`{"service":"group0","address":"127.0.0.1:1","zone":"z","state":"odd","slots":1,"db_role":"primary"}`} {
		f.Store.Put("servers", "foreign"+string(rune('a'+i)), []byte(value))
	}
	c := f.dial(0, "current-0", "key-large")
	for range 5 {
		c.must("READ x")
	}
}
