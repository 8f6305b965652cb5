package answers

import (
	"strings"
	"testing"
	"time"

	"chicoryline/internal/errkind"
	"chicoryline/internal/position"
	"chicoryline/internal/statement"
)

// letters decodes answers: I and T are successes in these states, L a refusal of a replica that
// lags, M one of a failed transaction, 1 and 2 rows of a status. A number after a letter is its
// position.
func letters(text string) results {
	var list results
	for i := 0; i < len(text); i++ {
		var r *statement.Result
		switch text[i] {
		case ' ':
			continue
		case 'I':
			r = plain(idle)
		case 'T':
			r = plain(inTx)
		case 'L':
			r = refused(errkind.NotEligible, idle)
		case 'M':
			r = refused(errkind.ProtocolViolation, broken)
		case 'R':
			r = refused(errkind.ReadOnly, broken)
		case 'S':
			r = plain(idle, "row")
		case 'x':
			r = signed("x", idle)
		}
		if i+1 < len(text) && text[i+1] >= '0' && text[i+1] <= '9' {
			i++
			r.Position = position.Position{Term: 1, Offset: uint64(text[i] - '0')}
		}
		list = append(list, r)
	}
	return list
}

// proofConn returns a connection that has run the command, n times with the answers.
func proofConn(t *testing.T, command statement.Command, answers ...string) (*Conn, *script) {
	t.Helper()
	raw := &script{}
	c, _, _ := newConn(raw)
	for _, text := range answers {
		raw.answers = append(raw.answers, letters(text)...)
		if err := c.Send(command, rollback); err != nil {
			t.Fatal(err)
		}
		for range 2 {
			if got := outcome(c.Receive(time.Second)); got != "-" {
				t.Fatalf("%s for %s", got, text)
			}
		}
	}
	raw.sent = nil
	return c, raw
}

// Guards against a transaction that was refused and seems open because the answer to an earlier
// BEGIN came again: its statements would run by themselves. The second BEGIN of a connection has
// one probe in front of it and two behind, the third two and one.
func TestRepeatedBeginDoesNotHideARefusal(t *testing.T) {
	for _, c := range []struct {
		what, answers, want string
		left                int
	}{
		{"opened", "I TTT", "-", 0},
		{"refused", "I L II", "not_eligible", 0},
		{"begin repeated, opened", "T I TTT", "-", 0},
		{"begin repeated, refused", "T I L II", "not_eligible", 0},
		{"begin repeated behind the first probe, refused", "I T L II", "not_eligible", 0},
		{"begin and its probes repeated, refused", "IITT I L II", "not_eligible", 0},
		{"begin and its probes repeated, opened", "IITT I TTT", "-", 2},
		{"all of the transaction repeated, refused", "II TT xI I L II", "unusable", 5},
		{"rollback repeated, refused", "I I L II", "not_eligible", 0},
		{"rollback repeated, opened", "I I TTT", "-", 0},
		{"rollback repeated behind begin, opened", "I T I TT", "-", 0},
		{"begin repeated behind begin, opened", "I TT TT", "-", 1},
		{"refusal repeated, opened", "L I TTT", "-", 0},
		{"refusal repeated behind begin, opened", "I T L TT", "-", 0},
		{"refusal repeated, refused", "L I L II", "not_eligible", 0},
		{"leader lost between", "I T R M", "protocol_violation", 0},
		{"no answer", "I", "timeout", 0},
		{"no answer to the probes", "I T", "timeout", 0},
	} {
		t.Run(c.what, func(t *testing.T) {
			conn, raw := proofConn(t, begin, "T I")
			raw.answers = letters(c.answers)
			if err := conn.Send(begin); err != nil {
				t.Fatal(err)
			}
			got := outcome(conn.Receive(time.Second))
			if got != c.want || len(raw.answers) != c.left || len(raw.sent) != 1+probes {
				t.Errorf("%s, %d answers left, %d commands; want %s, %d, %d", got, len(raw.answers), len(raw.sent), c.want, c.left, 1+probes)
			}
			if own := len(strings.ReplaceAll(c.answers, " ", ""))-c.left <= 1+probes; own == conn.Repeated() {
				t.Errorf("repeats noticed: %v", conn.Repeated())
			}
		})
	}
}

// The number of probes in front changes, so that a repeat of a whole proof does not pass.
func TestProofsOfAConnectionDiffer(t *testing.T) {
	raw := &script{}
	c, _, _ := newConn(raw)
	for i, want := range []string{"begin", "probe begin probe probe", "probe probe begin probe", "probe begin probe probe"} {
		raw.sent = nil
		if err := c.Send(begin); err != nil {
			t.Fatal(err)
		}
		var sent []string
		for _, m := range raw.sent {
			sent = append(sent, m.Text)
		}
		if got := strings.Join(sent, " "); got != want {
			t.Errorf("begin %d: sent %q, want %q", i, got, want)
		}
	}
}

// Guards against a stale read: the position of a repeated BEGIN was taken for the present one.
func TestRepeatedBeginDoesNotLowerThePosition(t *testing.T) {
	for _, answers := range []string{"I6 T7 T7 T7", "T3 I6 T7 T7 T7", "I6 T3 T7 T7 T7", "I6 T7 T3 T7 T7", "I6 T7 T7 T3 T7"} {
		conn, raw := proofConn(t, begin, "T3 I3")
		raw.answers = letters(answers)
		_ = conn.Send(begin)
		if r, err := conn.Receive(time.Second); err != nil || r.Position.Offset != 7 {
			t.Errorf("%s: position %v, %v", answers, r.Position, err)
		}
	}
}

// Guards against a late status that passes for the present one, and extends a leader lease.
func TestRepeatedStatusIsNotThePresentOne(t *testing.T) {
	for _, c := range []struct{ what, answers, want string }{
		{"own", "I S II", "-"},
		{"refused", "I L II", "not_eligible"},
		{"repeated before it", "S I S II", "unusable"},
		{"repeated between", "I S S II", "unusable"},
		{"repeated with its probes", "II S I", "unusable"},
		{"first one repeated", "S II", "unusable"},
		{"rollback repeated", "I I S II", "unusable"},
		{"of a statement repeated", "x I S II", "unusable"},
	} {
		t.Run(c.what, func(t *testing.T) {
			conn, raw := proofConn(t, status, "S I")
			raw.answers = letters(c.answers)
			_ = conn.Send(status)
			got := outcome(conn.Receive(time.Second))
			if got != c.want {
				t.Errorf("%s, want %s", got, c.want)
			}
			if c.want == "unusable" && (conn.Reusable() || conn.Alive()) {
				t.Error("still usable")
			}
		})
	}
}

// Guards against a transaction that seems open because the answers to a BEGIN and to its probe came
// again while the present one is refused.
func TestTwoRepeatsDoNotHideThatBeginIsRefused(t *testing.T) {
	conn, raw := proofConn(t, begin, "T1 I1", "I1 T1 T1 T1 I1")
	raw.answers = letters("I2 I2 T1 T1 L2 I2")
	_ = conn.Send(begin)
	if got := outcome(conn.Receive(time.Second)); got != "not_eligible" || !conn.Repeated() {
		t.Errorf("%s, repeats noticed: %v", got, conn.Repeated())
	}
}
