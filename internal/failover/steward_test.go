package failover

import (
	"math/rand"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chicoryline/internal/backend"
	"chicoryline/internal/errkind"
	"chicoryline/internal/groupview"
	"chicoryline/internal/position"
	"chicoryline/internal/services"
)

// stewardHarness drives a single steward without a Runner.
type stewardHarness struct {
	t       *testing.T
	now     time.Time
	tracker *groupview.Tracker
	steward *Steward
}

// newClaimingHarness returns a steward that has deposed primary a, and its first read of
// the row.
func newClaimingHarness(t *testing.T) (*stewardHarness, ReadRow) {
	b := &stewardHarness{t: t, now: simStart, tracker: groupview.NewTracker(testGroup(), simProofLifetime)}
	b.steward = NewSteward(StewardConfig{
		Group: testGroup(), VM: services.VM{ID: "vm1", Domain: "d1"}, Incarnation: "i",
		Settings: DefaultSettings(), Now: func() time.Time { return b.now }, Rand: rand.New(rand.NewSource(1)),
	})
	for i, s := range []backend.Status{
		{Role: backend.Primary, Fence: 1, Log: position.Position{Term: 1, Offset: 9}},
		{Role: backend.Replica, Fence: 1, Log: position.Position{Term: 1, Offset: 9}, Source: "a"},
		{Role: backend.Replica, Fence: 1, Log: position.Position{Term: 1, Offset: 8}, Source: "a"},
	} {
		b.tracker.RecordReport(i, groupview.Report{Status: s, Sequence: uint64(i + 1), Sent: b.now, Received: b.now})
	}
	b.tick()
	b.tracker.RecordFailure(0)
	for b.state() != stateConfirming {
		b.tick()
	}
	effects := b.step(ViewReceived{Round: 1, View: DomainView{VM: "vm2", Domain: "d2", Silence: time.Second, MaxFence: 40}})
	return b, findEffect[ReadRow](t, effects)
}

func (b *stewardHarness) tick() []Effect {
	b.now = b.now.Add(TickInterval)
	return b.step(Tick{View: b.tracker.Snapshot(b.now), Domains: []string{"d1", "d2", "d3"}})
}

func (b *stewardHarness) step(e Event) []Effect { return b.steward.Step(e) }

func (b *stewardHarness) state() string {
	_, state := b.steward.State()
	return state
}

// commandedInstances returns the instances to which the effects send the command.
func commandedInstances(effects []Effect, op Op) []string {
	var ids []string
	for _, e := range effects {
		if c, ok := e.(Command); ok && c.Op == op {
			ids = append(ids, c.Instance)
		}
	}
	return ids
}

func findEffect[T Effect](t *testing.T, effects []Effect) T {
	t.Helper()
	for _, e := range effects {
		if found, ok := e.(T); ok {
			return found
		}
	}
	var none T
	t.Fatalf("no %T in %+v", none, effects)
	return none
}

// completeClaim answers the claim's read and write with success and returns the claimed
// term.
func (b *stewardHarness) completeClaim(read ReadRow) uint64 {
	b.t.Helper()
	write := findEffect[WriteRow](b.t, b.step(RowRead{Call: read.Call, Err: errkind.New(errkind.NotFound, "g")}))
	b.step(RowWritten{Call: write.Call})
	row, err := decodeRow(write.Value)
	if err != nil || b.state() != stateFencing {
		b.t.Fatalf("state %s: %v", b.state(), err)
	}
	return row.Term
}

func fencedAt(term, logTerm, offset uint64) backend.Status {
	return backend.Status{Role: backend.Replica, Fence: term, Log: position.Position{Term: logTerm, Offset: offset}}
}

func TestClaimIsAboveEveryFenceSeen(t *testing.T) {
	b, read := newClaimingHarness(t)
	if term := b.completeClaim(read); term != 41 {
		t.Fatalf("term %d, want one above fence 40 that another domain saw", term)
	}
}

func TestAnswersOfOtherTermsDoNotCount(t *testing.T) {
	b, read := newClaimingHarness(t)
	term := b.completeClaim(read)
	b.step(CommandAnswered{Op: OpFence, Instance: "b", Term: term - 1, Status: fencedAt(term-1, 1, 9)})
	b.step(CommandAnswered{Op: OpFence, Instance: "c", Term: term, Status: fencedAt(term, 1, 8)})
	if b.state() != stateFencing {
		t.Fatalf("state %s after one fence of the term", b.state())
	}
	effects := b.step(CommandAnswered{Op: OpFence, Instance: "b", Term: term, Status: fencedAt(term, 1, 9)})
	if diff := cmp.Diff([]string{"b"}, commandedInstances(effects, OpPromote)); diff != "" {
		t.Fatalf("promoted (-want +got):\n%s", diff)
	}
	b.step(CommandAnswered{Op: OpPromote, Instance: "b", Term: term - 1, Status: fencedAt(term-1, 1, 9)})
	if b.state() != statePromoting {
		t.Fatalf("state %s after a promotion of another term", b.state())
	}
}

func TestLostPromotionIsRepeatedAtTheSameInstanceOnly(t *testing.T) {
	b, read := newClaimingHarness(t)
	term := b.completeClaim(read)
	for id, offset := range map[string]uint64{"b": 9, "c": 8} {
		b.step(CommandAnswered{Op: OpFence, Instance: id, Term: term, Status: fencedAt(term, 1, offset)})
	}
	b.step(CommandAnswered{Op: OpPromote, Instance: "b", Term: term, Err: errkind.New(errkind.OutcomeUnknown, "lost")})
	repeated := 0
	for b.state() == statePromoting {
		for _, id := range commandedInstances(b.tick(), OpPromote) {
			repeated++
			if id != "b" {
				t.Fatalf("term %d promoted at %s too", term, id)
			}
		}
	}
	if repeated == 0 || b.state() != stateSuspect {
		t.Fatalf("%d repetitions, then %s", repeated, b.state())
	}
}

func TestLostClaimIsReadBack(t *testing.T) {
	lost := errkind.New(errkind.PlatformUnknown, "lost")
	b, read := newClaimingHarness(t)
	write := findEffect[WriteRow](t, b.step(RowRead{Call: read.Call, Row: services.Row{Version: 3, Value: []byte(`{}`), RequestID: "x"}}))
	back := findEffect[ReadRow](t, b.step(RowWritten{Call: write.Call, Err: lost}))
	if b.state() != stateReadingBack {
		t.Fatalf("state %s", b.state())
	}

	again := findEffect[WriteRow](t, b.step(RowRead{Call: back.Call, Row: services.Row{Version: 3, Value: []byte(`{}`), RequestID: "x"}}))
	if again.RequestID != write.RequestID || string(again.Value) != string(write.Value) || again.Version != 3 {
		t.Fatalf("repeated write %+v differs from the first %+v", again, write)
	}

	back = findEffect[ReadRow](t, b.step(RowWritten{Call: again.Call, Err: lost}))
	b.step(RowRead{Call: back.Call, Row: services.Row{Version: 4, Value: write.Value, RequestID: write.RequestID}})
	if b.state() != stateFencing {
		t.Fatalf("state %s after the row showed the steward's own request", b.state())
	}
}

func TestLostClaimThatAnotherOverwroteIsGivenUp(t *testing.T) {
	b, read := newClaimingHarness(t)
	write := findEffect[WriteRow](t, b.step(RowRead{Call: read.Call, Err: errkind.New(errkind.NotFound, "g")}))
	back := findEffect[ReadRow](t, b.step(RowWritten{Call: write.Call, Err: errkind.New(errkind.PlatformUnknown, "lost")}))
	rival, err := Row{Term: 60, ReservedUntil: 67, Incarnation: "rival"}.encode()
	if err != nil {
		t.Fatal(err)
	}
	b.step(RowRead{Call: back.Call, Row: services.Row{Version: 2, Value: rival, RequestID: "y"}})
	if b.state() != stateWatching {
		t.Fatalf("state %s, want watching while the rival acts", b.state())
	}
}

func TestTermBlock(t *testing.T) {
	b := termBlock{next: 5, until: 8}
	var got []uint64
	for _, floor := range []uint64{0, 0, 6, 6, 0} {
		if term, ok := b.take(floor); ok {
			got = append(got, term)
		}
	}
	if diff := cmp.Diff([]uint64{5, 6, 7, 8}, got); diff != "" {
		t.Fatalf("terms (-want +got):\n%s", diff)
	}
	if b.hasTerm(0) || (&termBlock{}).hasTerm(0) {
		t.Fatal("an empty block has a term")
	}
}

func TestDecide(t *testing.T) {
	const after = 250 * time.Millisecond
	view := func(domain string, proved bool, silence time.Duration) DomainView {
		return DomainView{VM: domain, Domain: domain, Proved: proved, Silence: silence}
	}
	cases := []struct {
		name  string
		views []DomainView
		want  decision
	}{
		{"own domain alone", []DomainView{view("d1", true, time.Second)}, decisionPending},
		{"two VMs of one domain", []DomainView{view("d1", true, time.Second), view("d1", true, time.Second)}, decisionPending},
		{"two domains of three", []DomainView{view("d1", true, time.Second), view("d2", true, time.Second)}, decisionDepose},
		{"one domain has a current proof", []DomainView{view("d1", true, time.Second), view("d2", true, time.Second), view("d3", true, 0)}, decisionRefuse},
		{"a newly started steward abstains", []DomainView{view("d1", true, time.Second), view("d2", false, 0)}, decisionPending},
		{"no primary at the start", []DomainView{view("d1", false, time.Second), view("d2", false, time.Second)}, decisionDepose},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := decide(c.views, 3, after); got != c.want {
				t.Fatalf("decision %d, want %d", got, c.want)
			}
		})
	}
}

func TestChoose(t *testing.T) {
	leaving := map[string]bool{"a": true}
	cases := []struct {
		name      string
		fenced    map[string]backend.Status
		preferred string
		want      string
	}{
		{"highest position", map[string]backend.Status{"a": fencedAt(5, 1, 8), "b": fencedAt(5, 1, 9)}, "", "b"},
		{"higher term before higher offset", map[string]backend.Status{"b": fencedAt(5, 1, 90), "c": fencedAt(5, 2, 3)}, "", "c"},
		{"of equals one that is not leaving", map[string]backend.Status{"a": fencedAt(5, 1, 9), "c": fencedAt(5, 1, 9)}, "", "c"},
		{"leaving instance with the highest position", map[string]backend.Status{"a": fencedAt(5, 1, 9), "c": fencedAt(5, 1, 8)}, "", "a"},
		{"target that covers a majority", map[string]backend.Status{"a": fencedAt(5, 1, 10), "b": fencedAt(5, 1, 9), "c": fencedAt(5, 1, 9)}, "b", "b"},
		{"target that does not cover a majority", map[string]backend.Status{"a": fencedAt(5, 1, 10), "b": fencedAt(5, 1, 9)}, "b", "a"},
		{"target that is not fenced", map[string]backend.Status{"a": fencedAt(5, 1, 9), "c": fencedAt(5, 1, 9)}, "b", "c"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := choose(testGroup().Instances, leaving, c.fenced, c.preferred); got != c.want {
				t.Fatalf("chose %s, want %s", got, c.want)
			}
		})
	}
}
