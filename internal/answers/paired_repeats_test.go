package answers

import (
	"testing"
	"time"

	"chicoryline/internal/errkind"
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
