package answers

import (
	"slices"
	"testing"
	"time"

	"chicoryline/internal/errkind"
	"chicoryline/internal/statement"
)

const (
	inTx   = statement.InTx
	idle   = statement.Idle
	broken = statement.Failed
)

// step is one command, what the server writes after it, and what Receive returns.
type step struct {
	command statement.Command
	answers []*statement.Result
	// want is the signature of the answer, "-" for one without, the name of an error kind,
	// "timeout" or "unusable".
	want string
}

// outcome describes what Receive returned.
func outcome(r statement.Result, err error) string {
	switch {
	case statement.IsTimeout(err):
		return "timeout"
	case err != nil:
		return "unusable"
	case r.Err != nil:
		return errkind.KindOf(r.Err).String()
	case r.Signature != "":
		return r.Signature
	}
	return "-"
}

// play runs the steps, with an answer given at once, and returns the connection.
func play(t *testing.T, steps []step) (*Conn, *script) {
	t.Helper()
	raw := &script{}
	c, _, _ := newConn(raw)
	for i, s := range steps {
		if err := c.Send(s.command); err != nil {
			t.Fatal(err)
		}
		raw.answers = append(raw.answers, s.answers...)
		r, err := c.Receive(time.Second)
		if got := outcome(r, err); got != s.want {
			t.Fatalf("step %d, %q: %s, want %s", i, s.command.Text, got, s.want)
		}
	}
	return c, raw
}

type results = []*statement.Result

// ten returns steps of ten statements, of which the first has the ID and the signature "0".
func ten() []step {
	var steps []step
	for i := range 10 {
		n := string(rune('0' + i))
		steps = append(steps, step{of(n), results{signed(n, idle)}, n})
	}
	return steps
}

// Guards against a caller that gets the success of an earlier statement, and against all later
// answers on the connection belonging to the statement before.
func TestRepeatedSuccessIsNotTheAnswerOfALaterStatement(t *testing.T) {
	for name, steps := range map[string][]step{
		"of the statement before":    {{of("1"), results{signed("a", idle)}, "a"}, {of("2"), results{signed("a", idle), signed("b", idle)}, "b"}, {of("3"), results{signed("c", idle)}, "c"}},
		"of ten statements before":   append(ten(), step{of("x"), results{signed("0", idle), signed("x", idle)}, "x"}),
		"several in a row":           append(ten(), step{of("x"), results{signed("9", idle), signed("3", idle), signed("9", idle), signed("x", idle)}, "x"}),
		"of a set-up":                {{set, results{plain(idle)}, "-"}, {of("1"), results{plain(idle), signed("a", idle)}, "a"}},
		"of a statement, for set-up": {{of("1"), results{signed("a", idle)}, "a"}, {set, results{signed("a", idle), plain(idle)}, "-"}},
		"of begin, for a rollback":   {{begin, results{plain(inTx)}, "-"}, {rollback, results{plain(inTx), plain(idle)}, "-"}},
		"of begin, for a statement":  {{begin, results{plain(inTx)}, "-"}, {of("1"), results{plain(inTx), signed("a", inTx)}, "a"}},
		"of rollback, for begin":     {{rollback, results{plain(idle)}, "-"}, {begin, results{plain(idle), plain(inTx)}, "-"}},
		"of rollback, for set-up":    {{begin, results{plain(inTx)}, "-"}, {rollback, results{plain(idle)}, "-"}, {set, results{plain(idle), plain(idle)}, "-"}, {of("1"), results{signed("a", idle)}, "a"}},
		"of a status, for set-up":    {{status, results{plain(idle, "row")}, "-"}, {set, results{plain(idle, "row"), plain(idle)}, "-"}},
		"in a transaction":           {{begin, results{plain(inTx)}, "-"}, {of("1"), results{signed("a", inTx)}, "a"}, {of("2"), results{signed("a", inTx), signed("b", inTx)}, "b"}},
		"after a time limit":         {{of("1"), results{signed("a", idle)}, "a"}, {of("2"), results{signed("a", idle), nil}, "timeout"}},
	} {
		t.Run(name, func(t *testing.T) {
			play(t, steps)
		})
	}
}

// A late answer belongs to the statement whose time limit passed, not to one that is sent later.
func TestLateAnswerBelongsToItsOwnStatement(t *testing.T) {
	raw := &script{answers: results{signed("a", idle), nil}}
	c, _, _ := newConn(raw)
	for _, id := range []string{"1", "2"} {
		if err := c.Send(of(id)); err != nil {
			t.Fatal(err)
		}
		_, _ = c.Receive(time.Second)
	}
	if err := c.Send(rollback); err != nil {
		t.Fatal(err)
	}
	raw.answers = results{signed("a", idle), signed("b", idle), plain(idle)}
	for _, want := range []string{"b", "-"} {
		if got := outcome(c.Receive(time.Second)); got != want {
			t.Errorf("%s, want %s", got, want)
		}
	}
}

// Guards against another statement's success that is taken for that of a command.
func TestAnswerOfAnUnknownStatementMakesTheConnectionUnusable(t *testing.T) {
	c, raw := play(t, []step{{begin, results{plain(inTx)}, "-"}, {rollback, results{signed("x", idle)}, "unusable"}})
	raw.answers = results{plain(idle)}
	if got := outcome(c.Receive(time.Second)); got != "unusable" || !c.Repeated() || c.Reusable() {
		t.Errorf("%s, to be closed: %v, reusable: %v", got, c.Repeated(), c.Reusable())
	}
}

// withInput is a connection on which input waits.
type withInput struct {
	*script
	waits bool
}

func (c *withInput) HasInput() bool { return c.waits }

// Guards against a repeated answer that comes while the connection is idle and is taken for that of
// the next statement.
func TestConnectionWithUnsolicitedInputIsNotReusable(t *testing.T) {
	raw := &withInput{script: &script{answers: results{signed("a", idle)}}}
	c, _, registry := newConn(raw)
	_ = c.Send(of("1"), rollback)
	if _, err := c.Receive(time.Second); err != nil {
		t.Fatal(err)
	}
	raw.waits = true
	if !c.Reusable() {
		t.Error("not reusable although the answer of the rollback is due")
	}
	raw.answers = results{plain(idle)}
	if _, err := c.Receive(time.Second); err != nil {
		t.Fatal(err)
	}
	if c.Reusable() || count(registry, Unsolicited) != 1 {
		t.Errorf("reusable, %d times reported", count(registry, Unsolicited))
	}
}

// Repeated answers must not prolong the wait of a caller.
func TestRepeatedAnswersDoNotProlongTheWait(t *testing.T) {
	repeats := slices.Repeat(results{signed("a", idle)}, 1000)
	raw := &script{answers: append(results{signed("a", idle)}, repeats...)}
	c, _, _ := newConn(raw)
	_ = c.Send(of("1"), of("2"))
	if _, err := c.Receive(time.Second); err != nil {
		t.Fatal(err)
	}
	if got := outcome(c.Receive(-time.Second)); got != "timeout" || len(raw.answers) != 999 {
		t.Errorf("%s, %d answers left", got, len(raw.answers))
	}
}

// A repeat within the last statements of a connection is recognized.
func TestRingOfSignatures(t *testing.T) {
	var s signatures
	for i := range 3 * maxSignatures / 2 {
		s.add(string(rune(i)), "id")
	}
	newest := 3*maxSignatures/2 - 1
	for i, want := range map[int]int{newest: 0, newest - 1: 1, newest - maxSignatures + 1: maxSignatures - 1, newest - maxSignatures: -1, newest + 1: -1} {
		if ago, _ := s.find(string(rune(i)), "id"); ago != want {
			t.Errorf("signature %d was added %d ago, want %d", i, ago, want)
		}
	}
	if len(s.hashes) != maxSignatures {
		t.Errorf("%d signatures kept", len(s.hashes))
	}
}
