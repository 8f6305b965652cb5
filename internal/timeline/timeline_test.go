package timeline

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestMergeOrdersCausesBeforeEffects(t *testing.T) {
	start := time.Unix(1000, 0)
	fast := NewClock(func() time.Time { return start.Add(time.Hour) })
	slow := NewClock(func() time.Time { return start })
	a, b := NewRing(fast, "a", "d1", 8), NewRing(slow, "b", "d2", 8)

	a.Add(Event{Kind: "cause"})
	slow.Observe(fast.Now())
	b.Add(Event{Kind: "effect"})

	first, _ := a.Events(Filter{})
	second, _ := b.Events(Filter{})
	var kinds []string
	for _, e := range Merge(second, first) {
		kinds = append(kinds, e.Kind)
	}
	if diff := cmp.Diff([]string{"cause", "effect"}, kinds); diff != "" {
		t.Fatal(diff)
	}
}

func TestRingKeepsNewestAndFilters(t *testing.T) {
	r := NewRing(NewClock(time.Now), "a", "d", 2)
	for _, kind := range []string{"one", "two", "three"} {
		r.Add(Event{Kind: kind, Group: "g"})
	}
	events, lost := r.Events(Filter{Group: "g"})
	if len(events) != 2 || events[0].Kind != "two" || lost != 1 {
		t.Fatalf("events %v, lost %d", events, lost)
	}
	if none, _ := r.Events(Filter{Group: "other"}); len(none) != 0 {
		t.Fatalf("events %v match the filter, want none", none)
	}
}

func TestHTMLEscapesDetails(t *testing.T) {
	var b strings.Builder
	if err := WriteHTML(&b, []Event{{VM: "a", Kind: "k", Detail: "<script>alert(1)</script>"}}); err != nil {
		t.Fatal(err)
	}
	if strings.Contains(b.String(), "<script>alert") {
		t.Fatal("detail was not escaped")
	}
}
