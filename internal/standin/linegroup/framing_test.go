package linegroup

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chicoryline/internal/standin/lineclient"
	"chicoryline/internal/standin/linewire"
)

// oddTexts are values of a last field.
var oddTexts = []string{
	"", " ", "  x ", "\n", "x\n", "\nx", "x\ny", "x\r", "\rx", "\r\r", "\n\r", "x\nCOMPLETE forged\nREADY I -", "x\nQUERY 7 WRITE k v", "\x00\xff",
	strings.Repeat("\n", 800_000),
}

// An item, a datum, a value or a shape may hold any bytes but CR LF; all of them count.
func TestServerKeepsAnyBytes(t *testing.T) {
	outstanding := NewOutstanding()
	g, err := New(Options{Name: "g", Servers: 2, Domains: []string{"d"}, MaxConnections: 20, Slots: 2, Outstanding: outstanding})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Close)
	c, err := lineclient.Dial(g.Primary().Address, "g", "x", exchangeTimeout)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.Observer = outstanding
	n := 0
	query := func(text string) lineclient.Answer {
		t.Helper()
		n++
		a, err := c.Query(fmt.Sprint("q", n), text)
		if err != nil || a.Code != "" {
			t.Fatalf("%.60q: %s, %v", text, a.Code, err)
		}
		return a
	}
	for i, text := range oddTexts {
		item := fmt.Sprint("item\n", i)
		if !g.Commit(Write{ID: "direct", Item: item, Data: text}) {
			t.Fatal("not committed")
		}
		for _, step := range []struct{ write, read string }{
			{"", "READ " + item},
			{"WRITE " + item + " " + text, "READ " + item},
			{"EXECUTE w " + item + " " + text, "EXECUTE r " + item},
		} {
			if step.write != "" {
				query("SET v " + text)
				query("PARSE w WRITE " + text)
				query("PARSE r READ " + text)
				query(step.write)
			}
			if a := query(step.read); len(a.Rows) != 1 || a.Rows[0] != text {
				t.Errorf("%q returned %.60q, want %.60q", step.read, a.Rows, text)
			}
		}
	}
	if v := append(g.Violations(), outstanding.Violations()...); len(v) != 0 {
		t.Errorf("violations %q", v)
	}
}

// Each of the differences between two texts that differ in one byte is seen.
func TestOutstandingComparesAllBytes(t *testing.T) {
	o := NewOutstanding()
	g, err := New(Options{Name: "g", Servers: 2, Domains: []string{"d"}, MaxConnections: 20, Slots: 2, Outstanding: o})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Close)
	s := g.Primary()
	for _, c := range []struct{ sent, run, want string }{
		{"WRITE k x\ny", "WRITE k x\ny", ""},
		{"WRITE k x\ny", "WRITE k x", "changed-text"},
		{"WRITE k x ", "WRITE k x", "changed-text"},
		{"WRITE k x\r", "WRITE k x", "changed-text"},
		{"WRITE k ", "WRITE k", "changed-text"},
		{"EXECUTE s k ", "EXECUTE t k ", ""},
		{"EXECUTE s k x\n", "EXECUTE t k x", "changed-text"},
		{"EXECUTE s k ", "EXECUTE t k", "changed-text"},
	} {
		session := &lineclient.Client{}
		o.Sent(session, "a", c.sent)
		got, _, _ := strings.Cut(o.checkRun(&conn{server: s}, "a", c.run, "", false, false), ":")
		if got != c.want {
			t.Errorf("%q ran as %q: %q, want %q", c.sent, c.run, got, c.want)
		}
	}
	for _, c := range []struct{ sent, got, want string }{{"x\ny", "x\ny", ""}, {"x\ny", "x", "wrong-row"}, {"x ", "x", "wrong-row"}, {"", " ", "wrong-row"}} {
		o := NewOutstanding()
		o.Sent(&lineclient.Client{}, "a", "READ k")
		o.recordRow("a", c.sent)
		o.Answered("a", lineclient.Answer{Rows: []string{c.got}, Signature: "a/", State: "I"})
		kind, _, _ := strings.Cut(strings.Join(o.Violations(), " "), ":")
		if kind != c.want {
			t.Errorf("row %q for %q: %q, want %q", c.got, c.sent, kind, c.want)
		}
	}
	session := &lineclient.Client{}
	o.Sent(session, "p", "PARSE s READ a")
	o.Answered("p", lineclient.Answer{Signature: "-", State: "I"})
	o.Sent(session, "e", "EXECUTE s k")
	if got := o.checkRun(&conn{server: s}, "e", "EXECUTE t k", "READ a ", false, false); !strings.HasPrefix(got, "other-shape:") {
		t.Errorf("other shape: %q", got)
	}
}

func TestStatementsOfThePage(t *testing.T) {
	g := start(t, 2)
	c, err := lineclient.Dial(g.Primary().Address, "g", "x", exchangeTimeout)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	const malformed = "MALFORMED"
	for _, q := range []struct{ text, code string }{
		{"", malformed}, {" READ k", malformed}, {"read k", malformed}, {"READ", malformed}, {"READ k l", ""}, {"\nREAD k", malformed},
		{"WRITE k", malformed}, {"WRITE  x", malformed}, {"WRITE k ", ""}, {"SET v", malformed}, {"SET v ", ""},
		{"BEGIN ", malformed}, {"BEGIN\n", malformed}, {"BEGIN read", malformed}, {"BEGIN READ ", malformed}, {"COMMIT ", malformed}, {"ROLLBACK x", malformed},
		{"PARSE s READ", malformed}, {"PARSE s OTHER x", malformed}, {"PARSE s READ ", ""}, {"EXECUTE s", malformed}, {"EXECUTE s k", ""},
		{"EXECUTE s k d", malformed}, {"EXECUTE t k", "NOSTMT"}, {"CLOSE s", ""}, {"CLOSE s", "NOSTMT"}, {"EXECUTE s k", "NOSTMT"},
		{"AFTER 1.0 READ k", ""}, {"AFTER 9.0 READ k", "LAGGING"}, {"AFTER 1.0 WRITE k x", malformed}, {"AFTER 1.0 COMMIT", malformed},
		{"AFTER 1 READ k", malformed}, {"AFTER 1.x READ k", malformed}, {"AFTER 1.0", malformed}, {"AFTER 1.0  READ k", malformed},
		{"AFTER 1.0 AFTER 1.0 READ k", malformed}, {"DISCARD x", malformed}, {"STATUS ", malformed}, {"PAUSE", malformed}, {"PAUSE 2\n", malformed},
		{"AFTER 1.0 BEGIN READ", ""}, {"WRITE k x", "READONLY"}, {"SET v x", malformed}, {"READ k", malformed}, {"ROLLBACK", ""},
	} {
		a, err := c.Query("1", q.text)
		if err != nil || a.Code != q.code {
			t.Fatalf("%q: %q, %v, want %q", q.text, a.Code, err, q.code)
		}
	}
}

// A message that is not of the protocol, or is too long, gets no answer but the end of the
// connection, and counts as a violation.
func TestBrokenMessagesEndTheConnection(t *testing.T) {
	const startup = "STARTUP g x\r\n"
	ready := "READY I 1.0;"
	for _, c := range []struct{ sent, answers, violation string }{
		{startup + "TERMINATE\r\n", ready, ""},
		{startup + "TERMINATE x\r\n", ready, "broken-message"},
		{startup + "HELLO\r\n", ready, "broken-message"},
		{startup + "QUERY 1\r\n", ready, "broken-message"},
		{startup + "QUERY  1 READ k\r\n", ready, "broken-message"},
		{startup + "\nQUERY 1 READ k\r\n", ready, "broken-message"},
		{startup + "\r\n", ready, "broken-message"},
		{startup + "QUERY 1 READ k\n", ready, ""},
		{startup + "QUERY 1 " + strings.Repeat("\n", linewire.MaxMessage), ready, "too-long"},
		{"STARTUP g x\nQUERY 1 WRITE k v\r\nQUERY 2 READ\r\n", "ERROR MOVED g-s0;", ""},
		{"STARTUP g x g-s0 \r\n", "ERROR MOVED g-s0;", ""},
		{"STARTUP g two words\r\n", "ERROR MOVED g-s0;", ""},
		{"STARTUP g  g-s0\r\n", "ERROR MALFORMED g-s0;", "broken-startup"},
		{"STARTUP g\r\n", "ERROR MALFORMED g-s0;", "broken-startup"},
		{"QUERY 1 READ k\r\n", "ERROR MALFORMED g-s0;", "broken-startup"},
	} {
		g := start(t, 1)
		conn, err := net.Dial("tcp4", g.Primary().Address)
		if err != nil {
			t.Fatal(err)
		}
		if err := conn.SetDeadline(time.Now().Add(exchangeTimeout)); err != nil {
			t.Fatal(err)
		}
		r, got := linewire.NewReader(conn), ""
		next := func() bool {
			m, err := r.Next()
			if err == nil {
				got += m + ";"
			}
			return err == nil
		}
		rest := c.sent
		if strings.HasPrefix(c.sent, startup) {
			rest = c.sent[len(startup):]
			if _, err := io.WriteString(conn, startup); err != nil || !next() {
				t.Fatalf("no session: %v", err)
			}
		}
		// The server may end the connection before it has read all.
		_, _ = io.WriteString(conn, rest)
		_ = conn.(*net.TCPConn).CloseWrite()
		for next() {
		}
		conn.Close()
		kind, _, _ := strings.Cut(strings.Join(g.Violations(), " "), ":")
		if got != c.answers || kind != c.violation {
			t.Errorf("%.60q: answers %q, want %q; violation %q, want %q", c.sent, got, c.answers, kind, c.violation)
		}
	}
}

// A row that no message can carry is a fault of the test.
func TestUnsendableRow(t *testing.T) {
	g := start(t, 2)
	g.Commit(Write{ID: "direct", Item: "k", Data: "x\r\nREADY I -"})
	c, err := lineclient.Dial(g.Primary().Address, "g", "x", exchangeTimeout)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if a, err := c.Query("1", "READ k"); err == nil {
		t.Errorf("answer %+v", a)
	}
	if v := g.Violations(); len(v) != 1 || !strings.HasPrefix(v[0], "unsendable-answer: ") {
		t.Errorf("violations %q", v)
	}
}

// Two sets of values never give the same signature.
func TestSignaturesOfOddValues(t *testing.T) {
	seen := map[string]map[string]string{}
	for _, values := range []map[string]string{
		{"a": "1", "b": "2"}, {"a": "1,b=2"}, {"a": `"1,b=2"`}, {"a": `"1`, "b": `2"`}, {"a": "1\n"}, {"a": `1\n`}, {"a": ""}, {"a=": ""}, {"a\n": ""}, {},
	} {
		sig := signature("id", values)
		if other, ok := seen[sig]; ok {
			t.Errorf("%q of %q and %q", sig, values, other)
		}
		seen[sig] = values
	}
	if diff := cmp.Diff("id/color=blue,size=xl", signature("id", map[string]string{"size": "xl", "color": "blue"})); diff != "" {
		t.Error(diff)
	}
}
