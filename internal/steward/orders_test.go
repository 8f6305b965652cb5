package steward

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chicoryline/internal/boottime"
	"chicoryline/internal/coord"
)

// VMs know from the rows which promotions may still take effect, also if the store has lost the
// row (soak seed 9004).
func TestOutstandingOrdersAreKnownFromTheRows(t *testing.T) {
	ordered := record{Holder: "vm1", Token: 5, Active: true, Target: "b"}
	tests := map[string]struct {
		rows []record
		eras []uint64
		want []string
	}{
		"order sent":                 {[]record{ordered}, []uint64{1}, []string{"b"}},
		"lease taken over":           {[]record{ordered, {Holder: "vm2", Token: 6, Active: true, Earlier: []string{"b"}}}, []uint64{1, 1}, []string{"b"}},
		"answered, not yet executed": {[]record{ordered, {Holder: "vm1", Token: 5, Target: "b"}}, []uint64{1, 1}, []string{"b"}},
		"fenced by the primary": {[]record{ordered, {Holder: "vm1", Token: 6, Active: true, Target: "a", Earlier: []string{"b"}},
			{Holder: "vm1", Token: 6, Active: true, Target: "a", Ordered: true}}, []uint64{1, 1, 1}, []string{"a"}},
		"another order without an answer": {[]record{ordered, {Holder: "vm1", Token: 6, Active: true, Target: "c", Earlier: []string{"b"}}}, []uint64{1, 1}, []string{"b", "c"}},
		"ended without an order":          {[]record{{Holder: "vm1", Token: 5, Active: true}, {Holder: "vm1", Token: 5}}, []uint64{1, 1}, nil},
		"restored without the order":      {[]record{ordered, {Holder: "vm2", Token: 2<<tokenEraBits + 1, Active: true}, {Holder: "vm2", Token: 2<<tokenEraBits + 1}}, []uint64{1, 2, 2}, []string{"b"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSteward("vm3", newFakeStore(), &fakeGroup{})
			for i, r := range test.rows {
				value, err := json.Marshal(r)
				if err != nil {
					t.Fatal(err)
				}
				if _, err := s.Observe(coord.Row{Key: "g", Value: value, Version: coord.NewVersion(test.eras[i], uint64(i+1))}); err != nil {
					t.Fatal(err)
				}
			}
			targets, answered := s.OutstandingTargets("g")
			if diff := cmp.Diff(test.want, targets); diff != "" {
				t.Error(diff)
			}
			last := test.rows[len(test.rows)-1]
			if want := last.Ordered || last.Target != "" && !last.Active; answered != want {
				t.Errorf("answered %t, want %t", answered, want)
			}
		})
	}
}

// An order takes effect within a bounded time. Renewals of the lease do not extend it.
func TestOutstandingOrdersExpire(t *testing.T) {
	ordered, now := record{Holder: "vm1", Token: 5, Active: true, Target: "b"}, boottime.Time(time.Hour)
	o := outstandingOrders{}.next(ordered, coord.NewVersion(1, 1), now)
	later := now.Add(time.Second)
	for _, r := range []record{ordered, {Holder: "vm2", Token: 6, Active: true, Earlier: []string{"b"}}} {
		if o = o.next(r, coord.NewVersion(1, 2), later); o.until != now.Add(maxOrderDelay) {
			t.Errorf("until %v, want %v", o.until, now.Add(maxOrderDelay))
		}
	}
	if o = o.next(record{Holder: "vm2", Token: 7, Active: true, Target: "b", Ordered: true}, coord.NewVersion(1, 3), later); o.until != later.Add(maxEffectDelay) {
		t.Errorf("until %v after the answer", o.until)
	}
}
