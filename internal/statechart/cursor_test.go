package statechart

import (
	"slices"
	"testing"
)

// TestCursorFollowsMachine compares Cursor and Machine for every event in every state of
// every chart.
func TestCursorFollowsMachine(t *testing.T) {
	for _, name := range Names() {
		chart := MustLoad(name)
		for _, state := range chart.States() {
			for _, event := range append(slices.Clone(chart.Events), "no_such_event") {
				m, c := chart.StartAt(state), Cursor{chart: chart, state: state}
				want, wantErr := m.Fire(event)
				got, err := c.Fire(event)
				if (err == nil) != (wantErr == nil) || !slices.Equal(got, want) || c.State() != m.State() {
					t.Errorf("%s/%s/%s: cursor %s %v %v, machine %s %v %v", name, state, event, c.State(), got, err, m.State(), want, wantErr)
				}
			}
		}
	}
}

func BenchmarkMachine(b *testing.B) {
	b.ReportAllocs()
	chart := MustLoad("transaction")
	for range b.N {
		m := chart.Start()
		for _, event := range []string{"granted", "sent", "answered_idle"} {
			if _, err := m.Fire(event); err != nil {
				b.Fatal(err)
			}
		}
	}
}

func BenchmarkCursor(b *testing.B) {
	b.ReportAllocs()
	chart := MustLoad("transaction")
	for range b.N {
		c := chart.Cursor()
		for _, event := range []string{"granted", "sent", "answered_idle"} {
			if _, err := c.Fire(event); err != nil {
				b.Fatal(err)
			}
		}
	}
}
