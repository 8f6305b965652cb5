package answers

import (
	"slices"
	"testing"
	"time"

	"chicoryline/internal/errkind"
	"chicoryline/internal/statement"
)

const (
	busy     = errkind.QueueFull
	failed   = errkind.StatementFailed
	readOnly = errkind.ReadOnly
)

// Guards against telling a caller that its statement did not run, because an earlier refusal came
// again, while it does.
func TestRepeatedRefusalIsNotTheAnswerOfALaterStatement(t *testing.T) {
	first := step{of("1"), results{refused(busy, idle)}, "queue_full"}
	open := step{begin, results{plain(inTx)}, "-"}
	for name, c := range map[string]struct {
		steps []step
		// probes is what was sent besides the steps, repeated whether a repeat was noticed.
		probes   []string
		repeated bool
	}{
		"first refusal needs no probe":     {steps: []step{first}},
		"success after it":                 {steps: []step{first, {of("2"), results{signed("b", idle)}, "b"}}},
		"refused too":                      {steps: []step{first, {of("2"), results{refused(readOnly, idle), plain(idle)}, "read_only"}}, probes: []string{"probe"}},
		"repeated before a success":        {steps: []step{first, {of("2"), results{refused(busy, idle), signed("b", idle)}, "b"}}, probes: []string{"probe"}, repeated: true},
		"repeated before a refusal":        {steps: []step{first, {of("2"), results{refused(busy, idle), refused(failed, idle), plain(idle)}, "statement_failed"}}, probes: []string{"probe"}, repeated: true},
		"and a success repeated":           {steps: []step{{of("0"), results{signed("a", idle)}, "a"}, first, {of("2"), results{refused(busy, idle), signed("a", idle), signed("b", idle)}, "b"}}, probes: []string{"probe"}, repeated: true},
		"of ten statements before":         {steps: append(append([]step{first}, ten()...), step{of("x"), results{refused(busy, idle), signed("x", idle)}, "x"}), probes: []string{"probe"}, repeated: true},
		"no answer to the probe":           {steps: []step{first, {of("2"), results{refused(busy, idle)}, "timeout"}}, probes: []string{"probe"}},
		"another state than the probe's":   {steps: []step{open, {of("1"), results{refused(busy, inTx)}, "queue_full"}, {of("2"), results{refused(busy, inTx), refused(busy, idle), plain(inTx)}, "timeout"}}, probes: []string{"probe"}, repeated: true},
		"success repeated before refusal":  {steps: []step{{of("1"), results{signed("a", idle)}, "a"}, {of("2"), results{signed("a", idle), refused(busy, idle), plain(idle)}, "queue_full"}}, probes: []string{"probe"}, repeated: true},
		"set-up repeated before a refusal": {steps: []step{{set, results{plain(idle)}, "-"}, {of("2"), results{plain(idle), refused(busy, idle), plain(idle)}, "queue_full"}}, probes: []string{"probe"}, repeated: true},

		"in a transaction, refused":      {steps: []step{first, open, {of("2"), results{refused(busy, inTx), plain(inTx)}, "queue_full"}}, probes: []string{"probe"}},
		"in a transaction, success":      {steps: []step{first, open, {of("2"), results{refused(busy, inTx), signed("b", inTx)}, "b"}, {of("3"), results{plain(inTx), signed("c", inTx)}, "c"}}, probes: []string{"probe"}, repeated: true},
		"failed transaction":             {steps: []step{first, open, {of("2"), results{refused(failed, broken), plain(idle)}, "statement_failed"}}, probes: []string{"rollback"}},
		"of a failed transaction":        {steps: []step{first, open, {of("2"), results{refused(failed, broken), signed("b", inTx)}, "unusable"}}, probes: []string{"rollback"}, repeated: true},
		"of a failed one, for a write":   {steps: []step{first, {of("2"), results{refused(failed, broken), signed("b", idle)}, "b"}}, probes: []string{"rollback"}, repeated: true},
		"before the transaction fails":   {steps: []step{first, open, {of("2"), results{refused(busy, idle), refused(failed, broken), refused(errkind.ProtocolViolation, broken), plain(idle)}, "protocol_violation"}}, probes: []string{"probe", "rollback"}, repeated: true},
		"begin, before a rollback's end": {steps: []step{first, {begin, results{refused(readOnly, idle)}, "read_only"}, {rollback, results{refused(readOnly, broken), plain(idle)}, "-"}}, repeated: true},
	} {
		t.Run(name, func(t *testing.T) {
			conn, raw := play(t, c.steps)
			var sent []string
			for _, m := range raw.sent {
				if !slices.ContainsFunc(c.steps, func(s step) bool { return s.command == m }) {
					sent = append(sent, m.Text)
				}
			}
			if !slices.Equal(sent, c.probes) || conn.Repeated() != c.repeated {
				t.Errorf("probes %q, repeats noticed: %v, want %q, %v", sent, conn.Repeated(), c.probes, c.repeated)
			}
		})
	}
}

// The command behind a statement settles a doubt as a probe does.
func TestTrailingCommandSettlesADoubt(t *testing.T) {
	for name, c := range map[string]struct {
		answers results
		want    string
	}{
		"refused":                {results{refused(failed, inTx), plain(idle)}, "statement_failed"},
		"success":                {results{refused(busy, idle), signed("b", inTx), plain(idle)}, "b"},
		"begin's answer between": {results{refused(failed, inTx), plain(inTx), plain(idle)}, "statement_failed"},
	} {
		t.Run(name, func(t *testing.T) {
			conn, raw := play(t, []step{{of("1"), results{refused(busy, idle)}, "queue_full"}, {begin, results{plain(inTx)}, "-"}})
			if err := conn.Send(of("2"), rollback); err != nil {
				t.Fatal(err)
			}
			raw.answers = c.answers
			for _, want := range []string{c.want, "-"} {
				if got := outcome(conn.Receive(time.Second)); got != want {
					t.Errorf("%s, want %s", got, want)
				}
			}
			if len(raw.sent) != 4 || conn.state != statement.Idle {
				t.Errorf("%d commands sent, want 4; state %c", len(raw.sent), conn.state)
			}
		})
	}
}

// A wait that ends while a doubt is open goes on where it ended.
func TestDoubtOutlastsATimeLimit(t *testing.T) {
	conn, raw := play(t, []step{{of("1"), results{refused(busy, idle)}, "queue_full"}, {of("2"), results{refused(busy, idle)}, "timeout"}})
	raw.answers = results{nil, signed("b", idle)}
	for _, want := range []string{"timeout", "b"} {
		if got := outcome(conn.Receive(time.Second)); got != want {
			t.Errorf("%s, want %s", got, want)
		}
	}
}
