package lineclient

import (
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chicoryline/internal/standin/linewire"
)

// serve answers the n-th message of one connection with the n-th text and closes the connection
// behind the last one. The messages are returned once that has happened.
func serve(t *testing.T, answers ...string) (address string, received func() []string) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	done := make(chan []string, 1)
	go func() {
		var messages []string
		defer func() { done <- messages }()
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		r := linewire.NewReader(conn)
		for _, a := range answers {
			m, err := r.Next()
			if err != nil {
				return
			}
			messages = append(messages, m)
			if _, err := io.WriteString(conn, a); err != nil {
				return
			}
		}
	}()
	return l.Addr().String(), func() []string { return <-done }
}

// recorder is an Observer that keeps faults.
type recorder struct{ faults []error }

func (*recorder) Sent(*Client, string, string) {}
func (*recorder) Answered(string, Answer)      {}
func (r *recorder) Fault(_ *Client, err error) { r.faults = append(r.faults, err) }
func dial(t *testing.T, address string) *Client {
	t.Helper()
	c, err := Dial(address, "db", "key", 10*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

func TestTextsAndRowsHoldAnyBytes(t *testing.T) {
	texts := []string{"WRITE k \n", "WRITE k x\r", "WRITE k  a\nQUERY 7 WRITE k b ", "READ \r\r", "", "\x00\xff", "WRITE k " + strings.Repeat("\n", 800_000)}
	answers := []string{"READY I -\r\n"}
	for _, text := range texts {
		answers = append(answers, "DATAROW "+text+"\r\nDATAROW \r\nCOMPLETE s\n\r\nREADY I 1.2\r\n")
	}
	address, received := serve(t, answers...)
	c := dial(t, address)
	want := []string{"STARTUP db key"}
	for _, text := range texts {
		want = append(want, "QUERY i\nd "+text)
		a, err := c.Query("i\nd", text)
		if diff := cmp.Diff(Answer{Rows: []string{text, ""}, Signature: "s\n", State: "I", Position: "1.2"}, a); diff != "" || err != nil {
			t.Errorf("%.40q: %v %.400s", text, err, diff)
		}
	}
	if diff := cmp.Diff(want, received()); diff != "" {
		t.Errorf("%.400s", diff)
	}
}

func TestUnsendableRequestsAreNotSent(t *testing.T) {
	address, received := serve(t, "READY I -\r\n", "COMPLETE -\r\nREADY I -\r\n")
	if _, err := Dial(address, "two words", "key", time.Second); !errors.Is(err, linewire.ErrUnsendable) {
		t.Errorf("database of two words: %v", err)
	}
	c := dial(t, address)
	for _, q := range [][2]string{{"1", "READ x\r\nQUERY 2 WRITE k v"}, {"1 2", "READ x"}, {"", "READ x"}, {"1\r\n", "READ x"}} {
		if _, err := c.Query(q[0], q[1]); !errors.Is(err, linewire.ErrUnsendable) {
			t.Errorf("%q: %v", q, err)
		}
	}
	if _, err := c.Query("1", strings.Repeat("x", linewire.MaxMessage)); !errors.Is(err, linewire.ErrTooLong) {
		t.Errorf("too long: %v", err)
	}
	if a, err := c.Query("1", "BEGIN"); err != nil || a.Signature != "-" {
		t.Errorf("%+v, %v", a, err)
	}
	if diff := cmp.Diff([]string{"STARTUP db key", "QUERY 1 BEGIN"}, received()); diff != "" {
		t.Error(diff)
	}
}

func TestAnswersThatThePageDoesNotAllow(t *testing.T) {
	for _, answer := range []string{
		"READY I -\r\n", "COMPLETE -\r\nDATAROW x\r\nREADY I -\r\n", "COMPLETE -\r\nCOMPLETE -\r\nREADY I -\r\n",
		"COMPLETE -\r\nERROR BUSY x\r\n", "COMPLETE\r\nREADY I -\r\n", "ERROR BUSY\r\n", "ERROR  x\r\n", "DATAROW\r\n", "HELLO x\r\n", "\r\n",
		"COMPLETE -\r\nREADY I\r\n", "COMPLETE -\r\nREADY X -\r\n", "COMPLETE -\r\nREADY I 1\r\n", "COMPLETE -\r\nREADY I 1.2 x\r\n",
		"\nCOMPLETE -\r\nREADY I -\r\n", "COMPLETE -\nREADY I -\r\n\r\n", "DATAROW " + strings.Repeat("x", linewire.MaxMessage) + "\r\n",
	} {
		address, _ := serve(t, "READY I -\r\n", answer, "")
		c := dial(t, address)
		seen := &recorder{}
		c.Observer = seen
		var broken *AnswerError
		if _, err := c.Query("1", "BEGIN"); !errors.As(err, &broken) || len(seen.faults) != 1 {
			t.Errorf("%.40q: %v, faults %v", answer, err, seen.faults)
		}
		if _, err := c.Query("2", "BEGIN"); err != error(broken) {
			t.Errorf("%.40q: %v for the next query", answer, err)
		}
	}
}

func TestUnfinishedAnswers(t *testing.T) {
	for _, answer := range []string{"", "DATAROW x\r\n", "COMPLETE 1\r\n", "ERROR BUSY x\r\n", "COMPLETE 1\r\nREADY I -\n", "COMPLETE 1\r\nREADY I -\r"} {
		address, _ := serve(t, "READY I -\r\n", answer)
		var broken *AnswerError
		if a, err := dial(t, address).Query("1", "BEGIN"); err == nil || errors.As(err, &broken) {
			t.Errorf("%q: %+v, %v", answer, a, err)
		}
	}
}

// Input without a request is seen by the next request, Unsolicited and Close, also if it came
// together with an answer. A close of the connection is no such input.
func TestInputWithoutARequestIsReported(t *testing.T) {
	const good = "COMPLETE -\r\nREADY I -\r\n"
	for input, want := range map[string]UnsolicitedError{
		"READY I -\r\n":         {"READY I -"},
		"\n\r\n":                {"\n"},
		"COMPL":                 {"5 bytes without an end"},
		"ERROR ABORTED x y\r\n": {"ERROR ABORTED x y"},
	} {
		for name, ask := range map[string]func(c *Client) error{
			"query":       func(c *Client) error { _, err := c.Query("2", "BEGIN"); return err },
			"unsolicited": (*Client).Unsolicited,
			"close":       func(c *Client) error { c.Close(); return nil },
		} {
			address, received := serve(t, "READY I -\r\n", good+input)
			c := dial(t, address)
			seen := &recorder{}
			c.Observer = seen
			if _, err := c.Query("1", "BEGIN"); err != nil {
				t.Fatal(err)
			}
			received()
			err := ask(c)
			var unsolicited *UnsolicitedError
			if name != "close" && (!errors.As(err, &unsolicited) || *unsolicited != want) {
				t.Errorf("%s with %q: %v", name, input, err)
			}
			if faults := len(seen.faults); faults != 1 && !want.IsNotice() || faults != 0 && want.IsNotice() {
				t.Errorf("%s with %q: faults %v", name, input, seen.faults)
			}
		}
	}
	address, received := serve(t, "READY I -\r\n", good)
	c := dial(t, address)
	if err := c.Unsolicited(); err != nil {
		t.Error(err)
	}
	seen := &recorder{}
	c.Observer = seen
	if _, err := c.Query("1", "BEGIN"); err != nil {
		t.Fatal(err)
	}
	received()
	if err := c.Unsolicited(); err != io.EOF || len(seen.faults) != 0 {
		t.Errorf("closed session: %v, faults %v", err, seen.faults)
	}
}

func TestStartupIsAnsweredWithReadyOrErrorAndClose(t *testing.T) {
	for answer, code := range map[string]string{"ERROR NODB x\r\n": "NODB", "ERROR BUSY \r\n": "BUSY"} {
		address, _ := serve(t, answer)
		_, err := Dial(address, "db", "key", 10*time.Second)
		var refused *RefusedError
		if !errors.As(err, &refused) || refused.Code != code {
			t.Errorf("%q: %v", answer, err)
		}
	}
	for _, answer := range []string{"COMPLETE -\r\n", "ERROR NODB\r\n", "ERROR NODB x\r\nREADY I -\r\n", "READY I\r\n"} {
		address, _ := serve(t, answer)
		_, err := Dial(address, "db", "key", 10*time.Second)
		var broken *AnswerError
		if !errors.As(err, &broken) {
			t.Errorf("%q: %v", answer, err)
		}
	}
}
