package answers

import (
	"testing"
	"time"

	"chicoryline/internal/statement"
)

// Guards against reads that a full server refuses and whose caller hears of a broken connection,
// four round trips later, because the log does not move.
func TestRefusedReadsOfAFullServerAreRefused(t *testing.T) {
	read := func(id string) statement.Command {
		return statement.Command{ID: id, Text: "read " + id, Read: true}
	}
	full := step{answers: results{refused(busy, idle), plain(idle)}, want: "queue_full"}
	for _, c := range []struct {
		what     string
		last     statement.Command
		trailing []statement.Command
		state    statement.Status
		answers  results
		want     string
		probes   int
	}{
		{"read", read("3"), nil, idle, results{refused(busy, idle), plain(idle)}, "queue_full", 1},
		{"read before a rollback", read("3"), []statement.Command{rollback}, inTx, results{refused(busy, inTx), plain(idle)}, "queue_full", 0},
		{"read that runs", read("3"), nil, idle, results{refused(busy, idle), signed("a", idle)}, "a", 1},
		{"other refusal", read("3"), nil, idle, results{refused(readOnly, idle), plain(idle), plain(idle), plain(idle), plain(idle)}, "read_only", 1},
		{"write", of("3"), nil, idle, results{refused(busy, idle), plain(idle), plain(idle), plain(idle), plain(idle)}, "unusable", 4},
	} {
		t.Run(c.what, func(t *testing.T) {
			first, second := full, full
			first.command, first.answers, second.command = read("1"), full.answers[:1], read("2")
			steps := []step{first, second}
			if c.state == inTx {
				first.answers = results{refused(busy, inTx)}
				steps = []step{first, {rollback, results{plain(idle)}, "-"}, {begin, results{plain(inTx)}, "-"}}
			}
			conn, raw := play(t, steps)
			raw.answers, raw.sent = c.answers, nil
			if err := conn.Send(append([]statement.Command{c.last}, c.trailing...)...); err != nil {
				t.Fatal(err)
			}
			got, sent := outcome(conn.Receive(time.Second)), len(raw.sent)-1-len(c.trailing)
			if got != c.want || sent != c.probes {
				t.Errorf("%s after %d probes, want %s after %d", got, sent, c.want, c.probes)
			}
			if c.want != "queue_full" {
				return
			}
			raw.answers = results{signed("late", idle)}
			if err := conn.Send(of("4")); err == nil {
				if got := outcome(conn.Receive(time.Second)); got != "unusable" {
					t.Errorf("next statement: %s", got)
				}
			}
			if !conn.Repeated() || conn.Alive() {
				t.Error("the connection stays in use")
			}
		})
	}
}
