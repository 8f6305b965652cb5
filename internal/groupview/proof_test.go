package groupview

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chicoryline/internal/backend"
	"chicoryline/internal/position"
)

var epoch = time.Unix(1000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// report returns the answer to a probe sent at ms, which is also its sequence.
func report(id string, role backend.Role, fence, logTerm, offset uint64, ms int) Report {
	return Report{
		Status: backend.Status{Instance: id, Role: role, Fence: fence, Log: position.Position{Term: logTerm, Offset: offset}},
		Sent:   at(ms), Sequence: uint64(ms),
	}
}

func TestProve(t *testing.T) {
	const p, r = backend.Primary, backend.Replica
	cases := []struct {
		name    string
		reports []Report
		want    LeaderProof
		ok      bool
	}{
		{"all answer", []Report{report("a", p, 1, 1, 9, 10), report("b", r, 1, 1, 9, 12), report("c", r, 1, 1, 2, 11)},
			LeaderProof{"a", 1, at(10), 10, position.Position{Term: 1, Offset: 9}}, true},
		{"a majority answers, dated by its oldest probe", []Report{report("a", p, 1, 1, 9, 50), report("b", r, 1, 1, 9, 20), report("c", r, 1, 1, 9, 40)},
			LeaderProof{"a", 1, at(40), 40, position.Position{Term: 1, Offset: 9}}, true},
		{"primary in a partitioned domain: reports of the others are old", []Report{report("a", p, 1, 1, 9, 500), report("b", r, 1, 1, 9, 20), report("c", r, 1, 1, 9, 30)},
			LeaderProof{"a", 1, at(30), 30, position.Position{Term: 1, Offset: 9}}, true},
		{"primary alone", []Report{report("a", p, 1, 1, 9, 500)}, LeaderProof{}, false},
		{"replaced primary partitioned with a minority of five", []Report{
			report("a", p, 1, 1, 9, 500), report("b", r, 1, 1, 9, 500), report("c", p, 2, 2, 8, 90), report("d", r, 2, 2, 8, 91), report("e", r, 2, 2, 8, 92)},
			LeaderProof{"c", 2, at(90), 90, position.Position{Term: 2, Offset: 8}}, true},
		{"higher fences rule out the lower term", []Report{report("a", p, 1, 1, 9, 500), report("b", r, 2, 1, 9, 500), report("c", r, 2, 1, 9, 500)},
			LeaderProof{}, false},
		{"fenced primary is not the leader", []Report{report("a", r, 2, 1, 9, 10), report("b", r, 1, 1, 9, 10), report("c", r, 1, 1, 9, 10)}, LeaderProof{}, false},
		{"primary with a fence above its log term is not the leader", []Report{report("a", p, 2, 1, 9, 10), report("b", r, 1, 1, 9, 10), report("c", r, 1, 1, 9, 10)}, LeaderProof{}, false},
		{"a late report from before the promotion dates the proof back", []Report{report("a", r, 1, 1, 9, 3), report("b", p, 2, 2, 9, 700)},
			LeaderProof{"b", 2, at(3), 3, position.Position{Term: 2, Offset: 9}}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			size := max(3, len(c.reports))
			got, ok := ProveLeader(c.reports, size)
			if diff := cmp.Diff(c.want, got); diff != "" || ok != c.ok {
				t.Fatalf("ok %v, want %v (-want +got):\n%s", ok, c.ok, diff)
			}
		})
	}
}

func TestAgeBound(t *testing.T) {
	pos := func(term, offset uint64) position.Position { return position.Position{Term: term, Offset: offset} }
	proof := func(ms int, p position.Position) LeaderProof { return LeaderProof{At: at(ms), Position: p} }
	cases := []struct {
		name string
		run  func(a *stalenessTracker)
		want time.Time
	}{
		{"nothing proved", func(a *stalenessTracker) { a.addReport("r", pos(1, 5)) }, time.Time{}},
		{"reached", func(a *stalenessTracker) { a.addProof(proof(10, pos(1, 5))); a.addReport("r", pos(1, 5)) }, at(10)},
		{"far behind keeps the older point", func(a *stalenessTracker) {
			a.addProof(proof(10, pos(1, 5)))
			a.addProof(proof(20, pos(1, 500)))
			a.addReport("r", pos(1, 499))
		}, at(10)},
		{"an idle primary advances the time of the point", func(a *stalenessTracker) {
			a.addProof(proof(10, pos(1, 5)))
			a.addProof(proof(90, pos(1, 5)))
			a.addReport("r", pos(1, 5))
		}, at(90)},
		{"partitioned: without reports the point does not advance", func(a *stalenessTracker) {
			a.addProof(proof(10, pos(1, 5)))
			a.addReport("r", pos(1, 5))
			a.addProof(proof(900, pos(1, 6)))
		}, at(10)},
		{"discarded tail falls back", func(a *stalenessTracker) {
			a.addProof(proof(10, pos(1, 5)))
			a.addProof(proof(20, pos(1, 9)))
			a.addReport("r", pos(1, 9))
			a.addReport("r", pos(1, 7))
		}, at(10)},
		{"an older proof is ignored", func(a *stalenessTracker) {
			a.addProof(proof(20, pos(1, 9)))
			a.addProof(proof(10, pos(1, 9)))
			a.addReport("r", pos(1, 9))
		}, at(20)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := newStalenessTracker()
			c.run(a)
			if got := a.reached["r"].at; !got.Equal(c.want) {
				t.Fatalf("reached %v, want %v", got, c.want)
			}
		})
	}
}

func TestAgePointsAreBounded(t *testing.T) {
	a := newStalenessTracker()
	for i := 1; i <= 50*maxStalenessPoints; i++ {
		a.addProof(LeaderProof{At: at(i), Position: position.Position{Term: 1, Offset: uint64(i)}})
	}
	if len(a.points) > maxStalenessPoints {
		t.Fatalf("%d points", len(a.points))
	}
	a.addReport("r", position.Position{Term: 1, Offset: 50 * maxStalenessPoints / 2})
	reached := a.reached["r"].at
	if reached.After(at(50*maxStalenessPoints/2)) || reached.IsZero() {
		t.Fatalf("reached %v", reached)
	}
}

func TestTally(t *testing.T) {
	p := position.Position{Term: 2, Offset: 7}
	status := func(fence, term, offset uint64) backend.Status {
		return backend.Status{Fence: fence, Log: position.Position{Term: term, Offset: offset}}
	}
	holds, behind, older, over := status(2, 2, 7), status(2, 2, 6), status(1, 1, 70), status(3, 2, 9)
	cases := []struct {
		name     string
		statuses []backend.Status
		want     Outcome
	}{
		{"majority holds it", []backend.Status{holds, holds, behind}, Acknowledged},
		{"primary alone", []backend.Status{holds, behind, older}, Pending},
		{"longer log of an older term is not counted", []backend.Status{holds, older, older}, Pending},
		{"one higher fence leaves a majority possible", []backend.Status{holds, over, behind}, Pending},
		{"two higher fences do not", []backend.Status{holds, over, over}, Impossible},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tally := NewTally(p, len(c.statuses))
			for i, s := range c.statuses {
				tally.Observe(i, s)
			}
			if got := tally.Outcome(); got != c.want {
				t.Fatalf("outcome %d, want %d", got, c.want)
			}
		})
	}
}
