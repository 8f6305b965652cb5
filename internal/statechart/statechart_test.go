package statechart

import (
	"strings"
	"testing"
)

func TestEmbeddedChartsAreValid(t *testing.T) {
	for _, name := range Names() {
		if _, err := Load(name); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestParseRefuses(t *testing.T) {
	const head = "[chart]\nname = x\ninitial = a\nevents = e f\n"
	cases := []struct{ name, body, want string }{
		{"unreachable state", "[state a]\ne = a\nignore = f\n[state b]\nignore = e f\n", "cannot be reached"},
		{"unknown event", "[state a]\ne = a\nf = a\ng = a\n", "unknown event g"},
		{"missing transition", "[state a]\ne = a\n", "no transition for event f"},
		{"unknown target", "[state a]\ne = z\nignore = f\n", "unknown state z"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse([]byte(head + c.body))
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Fatalf("Parse: %v, want %q", err, c.want)
			}
		})
	}
}

func TestMachineFollowsChart(t *testing.T) {
	m := MustLoad("stop").Start()
	for _, event := range []string{"stop_requested", "handed_over", "announced", "transactions_ended", "handed_over"} {
		if _, err := m.Fire(event); err != nil {
			t.Fatal(err)
		}
	}
	if !m.Done() {
		t.Fatalf("state %s, want stopped", m.State())
	}
}
