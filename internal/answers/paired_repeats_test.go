package answers

import (
	"testing"
	"time"

	"chicoryline/internal/errkind"
	"chicoryline/internal/statement"
)

// Guards against telling a caller that its statement did not run while it does, because a refusal
// came again together with the answer to the command of the proxy that followed it.
func TestRefusalRepeatedWithItsSuccessorIsNotTheAnswerOfALaterStatement(t *testing.T) {
	first := step{of("1"), results{refused(busy, idle)}, "queue_full"}
	open := step{begin, results{plain(inTx)}, "-"}
	reopen := step{begin, results{plain(idle), plain(inTx), plain(inTx), plain(inTx)}, "-"}
	end := step{rollback, results{plain(idle)}, "-"}
	lost := step{of("1"), results{refused(readOnly, broken)}, "read_only"}
	for name, c := range map[string]struct {
		steps   []step
		repeats results
	}{
		"refusal and set-up, before a write":                     {[]step{first, {set, results{plain(idle)}, "-"}}, results{refused(busy, idle), plain(idle)}},
		"failed transaction and its rollback, before a write":    {[]step{open, lost, end}, results{refused(readOnly, broken), plain(idle)}},
		"refusal and the probe of begin, before a commit":        {[]step{open, end, first, reopen}, results{refused(busy, idle), plain(idle)}},
		"failed transaction and its rollback, before a commit":   {[]step{open, lost, end, reopen}, results{refused(readOnly, broken), plain(idle)}},
		"failed transaction, rollback and probe, before a write": {[]step{open, lost, end}, results{refused(readOnly, broken), plain(idle), plain(idle)}},
	} {
		t.Run(name, func(t *testing.T) {
			conn, raw := play(t, c.steps)
			if err := conn.Send(of("2")); err != nil {
				t.Fatal(err)
			}
			raw.answers = append(c.repeats, signed("b", idle))
			if r, err := conn.Receive(time.Second); errkind.Is(r.Err, busy) || errkind.Is(r.Err, readOnly) {
				t.Errorf("a statement that runs is refused: %s", outcome(r, err))
			}
		})
	}
}

// A second refusal on a connection is told as one only if it, or the answer to a probe behind it,
// cannot be a repeat. Each probe is sent behind the answer to the one before.
func TestSecondRefusalHasToBeProved(t *testing.T) {
	for name, c := range map[string]struct {
		before, answers, want string
		probes                int
	}{
		"the log has moved":                  {"L1", "L2 I2", "not_eligible", 1},
		"another state":                      {"L1", "M1 I1", "protocol_violation", 1},
		"the log moves behind the refusal":   {"L1 I1", "L1 I2", "not_eligible", 1},
		"the log moves while it is probed":   {"L1 I1", "L1 I1 I1 I2", "not_eligible", 3},
		"the log does not move":              {"L1 I1", "L1 I1 I1 I1 I1", "unusable", 4},
		"it runs":                            {"L1 I1", "L1 I1 x2", "x", 2},
		"set-up at the position":             {"L1 I1", "L1 I1", "timeout", 2},
		"set-up whose answer may be missing": {"L1 I1 I1", "L1 I2 I3 x4", "x", 3},
		"no positions":                       {"LI", "LIIII", "unusable", 4},
		"a repeat behind the refusal":        {"L1", "M2 L1 I2", "protocol_violation", 1},
	} {
		t.Run(name, func(t *testing.T) {
			raw := &script{answers: letters(c.before)}
			conn, _, _ := newConn(raw)
			for i := range raw.answers {
				if err := conn.Send([]statement.Command{of("1"), set, set}[i]); err != nil {
					t.Fatal(err)
				}
				if _, err := conn.Receive(time.Second); err != nil {
					t.Fatal(err)
				}
			}
			raw.sent, raw.answers = nil, letters(c.answers)
			_ = conn.Send(of("2"))
			if got := outcome(conn.Receive(time.Second)); got != c.want || len(raw.sent) != 1+c.probes {
				t.Errorf("%s after %d probes, want %s after %d", got, len(raw.sent)-1, c.want, c.probes)
			}
		})
	}
}
