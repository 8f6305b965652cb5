package configsync

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chicoryline/internal/services"
)

func TestDecide(t *testing.T) {
	all := []string{"a", "b", "c"}
	holder := func(id string, acked uint64, former ...string) Holder {
		return Holder{ID: id, Acked: acked, Voters: all, Former: former}
	}
	cases := []struct {
		name    string
		holders []Holder
		expired string
		want    bool
	}{
		{"no holders", nil, "", true},
		{"all acknowledged", []Holder{holder("a", 2), holder("b", 2), holder("c", 3)}, "", true},
		{"an older attempt", []Holder{holder("a", 2), holder("b", 2), holder("c", 1)}, "", false},
		{"one expired", []Holder{holder("a", 2), holder("b", 2), holder("c", 0)}, "c", true},
		{"expired without a majority", []Holder{holder("a", 2), holder("c", 0)}, "c", false},
		{"expired without voters", []Holder{holder("a", 2), {ID: "c"}}, "c", true},
		{"acknowledged under a new id", []Holder{holder("a", 2), holder("b2", 2, "b"), holder("c", 0)}, "c", true},
		{"old id of a live process", []Holder{holder("a", 2), holder("b", 0), holder("b2", 2, "b")}, "", true},
		{"replaced without a former id", []Holder{holder("a", 2), holder("b2", 2), holder("c", 0)}, "c", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			v := evaluatePatch(2, c.holders, func(h Holder) bool { return h.ID == c.expired })
			if v.agreed != c.want || v.agreed != (v.reason() == "") {
				t.Errorf("agreed %t (%s), want %t", v.agreed, v.reason(), c.want)
			}
		})
	}
}

func TestConcludeBarsAndRemoves(t *testing.T) {
	record := Record{Version: 1, Barred: []string{"old"}, Attempt: 2, Pending: &Pending{Attempt: 2, Version: 2, Object: "o", Patch: "p"}}
	voters := []string{"a", "b", "old"}
	holders := []Holder{
		{ID: "a", Acked: 2}, {ID: "b", Acked: 2, Former: []string{"b0"}},
		{ID: "old", Voters: voters}, {ID: "new", Voters: voters},
	}
	e := conclude(record, holders, func(h Holder) bool { return h.Acked == 0 }, false)
	if diff := cmp.Diff([]string{"old", "new"}, e.next.Barred); diff != "" {
		t.Errorf("barred: %s", diff)
	}
	if diff := cmp.Diff([]string{"old", "b0"}, e.removable); diff != "" {
		t.Errorf("rows to remove: %s", diff)
	}
}

func TestExpiryDetector(t *testing.T) {
	const length = 3 * time.Second
	h := Holder{ID: "a", Length: length}
	start := time.Unix(1000, 0)
	expiry := expiryDetector{}
	at := start
	list := func(pause time.Duration, version uint64) bool {
		at = at.Add(pause)
		expiry.observe([]services.Row{{Key: holderKey("a"), Version: version}}, at, at)
		return expiry.isExpired(h)
	}
	steps := []struct {
		name    string
		pause   time.Duration
		version uint64
		want    bool
	}{
		{"first list", 0, 1, false},
		{"half of the grant", 1500 * time.Millisecond, 1, false},
		{"the grant without a margin", 1500 * time.Millisecond, 1, false},
		{"renewed", 400 * time.Millisecond, 2, false},
		{"again", 1800 * time.Millisecond, 2, false},
		{"grant and margin", 1800 * time.Millisecond, 2, true},
		{"after a gap between lists", maxListGap + time.Millisecond, 2, false},
	}
	for _, s := range steps {
		if got := list(s.pause, s.version); got != s.want {
			t.Errorf("%s: expired %t, want %t", s.name, got, s.want)
		}
	}
}

// TestNewVotersNeedConfigRead renews a grant with a new list of voters, and the read
// of the configuration that follows fails. The new voters alone must not extend the
// grant then, because a patch may have taken effect with the acknowledgements of the
// old voters. One case applies the new list at once to show that this breaks the rule.
func TestNewVotersNeedConfigRead(t *testing.T) {
	const length = 3 * time.Second
	now := time.Unix(1000, 0)
	cases := []struct {
		name          string
		replaceAtOnce bool
		granted       []string
		want          bool
	}{
		{"new voters only", false, []string{"e", "f"}, false},
		{"old voters only", false, []string{"a", "b"}, false},
		{"both lists", false, []string{"a", "b", "e"}, true},
		{"new voters applied at once", true, []string{"e", "f"}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n := newCore(coreConfig{vm: "h", grantLength: length, renewInterval: length / 2})
			old, next := []string{n.own.id, "a", "b", "c"}, []string{n.own.id, "e", "f"}
			n.handle(now, renewed{sent: now, id: n.own.id, version: 1, voters: old, wrote: true, read: true})
			n.own.attemptedVoters = next
			n.handle(now, renewed{sent: now, id: n.own.id, version: 2, voters: next, wrote: true})
			later := now.Add(2 * length)
			n.step(later)
			if c.replaceAtOnce {
				n.own.voters, n.own.attemptedVoters = next, nil
			}
			n.handle(later, promisesDone{sent: later, id: n.own.id, granted: c.granted})
			if n.isValid(later) != c.want {
				t.Errorf("extended %t, want %t", n.isValid(later), c.want)
			}
		})
	}
}
