package load

import (
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func bookingRecord(id string, class Class) Record {
	return Record{Customer: "c", Group: "g", Booking: id, Statements: 1, Sent: at(0), Done: at(1), Outcome: Outcome{Class: class}}
}

// Each check must report a violation of the guarantee that it covers, and none otherwise.
func TestEvaluateDetectsEachViolation(t *testing.T) {
	cfg := Config{Customers: []Customer{{Name: "c", Rate: 10, Burst: 10, Offered: 5}}}
	burst := make([]Record, 30)
	for i := range burst {
		burst[i] = Record{Customer: "c", Statements: 1, Sent: at(i), Done: at(i + 1)}
	}
	cases := []struct {
		name     string
		records  []Record
		findings []Violation
		events   []Event
		held     BookingCounts
		broken   int
	}{
		{"no violation", []Record{bookingRecord("a", Succeeded)}, nil, nil, BookingCounts{"a": 1}, 0},
		{"lost", []Record{bookingRecord("a", Succeeded)}, nil, nil, BookingCounts{}, 1},
		{"doubled", []Record{bookingRecord("a", Succeeded)}, nil, nil, BookingCounts{"a": 2}, 1},
		{"false not run", []Record{bookingRecord("a", NotRun)}, nil, nil, BookingCounts{"a": 1}, 1},
		{"unknown either way", []Record{bookingRecord("a", Unknown), bookingRecord("b", Unknown)}, nil, nil, BookingCounts{"a": 1}, 0},
		{"stale", nil, []Violation{{Name: "stale"}}, nil, BookingCounts{}, 1},
		{"mixed", nil, []Violation{{Name: "mixed"}}, nil, BookingCounts{}, 1},
		{"after withdrawal", []Record{{Customer: "c", Statements: 1, Sent: at(5000), Done: at(5001)}}, nil, []Event{{At: at(0), Name: "key_withdrawn", Customer: "c"}}, BookingCounts{}, 1},
		{"over rate", burst, nil, nil, BookingCounts{}, 20},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := Evaluate(cfg, c.records, c.findings, c.events, c.held).ViolationCount(); got != c.broken {
				t.Fatalf("broken=%d, want %d", got, c.broken)
			}
		})
	}
}

func TestWrongfulRefusals(t *testing.T) {
	c := Customer{Name: "c", Rate: 10, Burst: 2}
	refusal := Outcome{Class: NotRun, Kind: "over_rate"}
	admitted := []Record{{Statements: 1, Sent: at(0)}, {Statements: 1, Sent: at(1)}}
	refused := []Record{{Cost: 1, Sent: at(2), Outcome: refusal}, {Cost: 1, Sent: at(100), Outcome: refusal}, {Cost: 1, Sent: at(120), Outcome: refusal}}
	wrongful, inside := wrongfulRefusals(c, admitted, refused)
	if wrongful != 1 || inside != 3 {
		t.Fatalf("wrongful=%d inside=%d, want 1 and 3", wrongful, inside)
	}
}

func TestWriteGapSpansThePartition(t *testing.T) {
	write := func(ms int) Record { return Record{Group: "g", Statements: 1, Sent: at(ms), Done: at(ms)} }
	f := Evaluate(Config{}, []Record{write(0), write(900), write(1000), write(1700), write(1800)}, nil, []Event{{At: at(1100), Name: "primary_cut", Group: "g"}}, BookingCounts{})
	if f.WriteGap != 700*time.Millisecond {
		t.Fatalf("gap %s, want 700ms", f.WriteGap)
	}
}
