package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestHolderAppliesNewTotal(t *testing.T) {
	cases := []struct {
		name        string
		share       Share
		from, to    Total
		rate, depth float64
		count       int
	}{
		{"lower rate", Share{Rate: ShareUnits / 2, Burst: ShareUnits / 4, Of: ShareUnits}, Total{Rate: 100, Burst: 80}, Total{Rate: 10, Burst: 8}, 5, 2, 0},
		{"higher rate", Share{Rate: ShareUnits / 2, Burst: ShareUnits / 4, Of: ShareUnits}, Total{Rate: 10, Burst: 8}, Total{Rate: 100, Burst: 80}, 50, 20, 0},
		{"lower count", Share{Rate: 10, Of: 35}, Total{Count: 35}, Total{Count: 20}, 0, 0, 5},
		{"higher count", Share{Rate: 10, Of: 20}, Total{Count: 20}, Total{Count: 35}, 0, 0, 10},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			now := virtualStart
			h := newHolder(defaultTiming, "vm1", 1, "r", now)
			h.setCandidates([]string{"vm1"})
			h.setTotal(now, c.from)
			r := h.newRenewal(now)
			h.handleGrant(now, Grant{Seq: r.Seq, Acting: true, Granted: true, Epoch: 1, Mark: 1, Home: 1, Share: c.share, Tokens: 1e9})
			h.setTotal(now, c.to)
			got := []float64{h.bucket.rate, h.bucket.depth, float64(h.allowedConnections(now))}
			if c.to.isCount() {
				got[0], got[1] = 0, 0
			}
			if diff := cmp.Diff([]float64{c.rate, c.depth, float64(c.count)}, got); diff != "" {
				t.Fatal(diff)
			}
			if h.bucket.tokens > h.bucket.depth {
				t.Fatalf("%v tokens in a bucket of depth %v", h.bucket.tokens, h.bucket.depth)
			}
		})
	}
}

func TestOpenConnectionsAreNotGrantedAgain(t *testing.T) {
	now := virtualStart
	m := &members{current: []string{"vm1"}}
	home := newHome(defaultTiming, 1, "r", now, m)
	home.setTotal(now, Total{Count: 10})
	home.skipSettling = true
	mark := home.renew(now, Renewal{VM: "vm1", Start: 1, Seq: 1}).Mark
	renew := func(vm string, seq uint64, held, using int64, demand float64) int64 {
		g := home.renew(now, Renewal{VM: vm, Start: 1, Seq: seq, Home: 1, Mark: mark, Promise: vm == "vm1", Held: Share{Rate: held}, Using: using, Demand: demand})
		return g.Share.Rate
	}
	got := []int64{renew("vm1", 2, 0, 0, 4), renew("vm2", 1, 0, 0, 4), renew("vm1", 3, 10, 10, 4),
		renew("vm2", 2, 0, 0, 4), renew("vm1", 4, 5, 5, 4), renew("vm2", 3, 0, 0, 4)}
	if diff := cmp.Diff([]int64{10, 0, 5, 0, 5, 5}, got); diff != "" {
		t.Fatal(diff)
	}
}

func BenchmarkAdmit(b *testing.B) {
	now := virtualStart
	h := newHolder(defaultTiming, "vm1", 1, "r", now)
	h.setTotal(now, Total{Rate: 1e9, Burst: 1e9})
	r := h.newRenewal(now)
	h.handleGrant(now, Grant{Seq: r.Seq, Acting: true, Granted: true, Epoch: 1, Mark: 1, Share: Share{Rate: ShareUnits, Burst: ShareUnits, Of: ShareUnits}})
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Nanosecond)
		h.admit(now, 1)
	}
}

func BenchmarkHomeRenew(b *testing.B) {
	for _, holders := range []int{8, 32, 128, 512} {
		b.Run(fmt.Sprintf("holders=%d", holders), func(b *testing.B) {
			now := virtualStart
			m := &members{current: []string{"vm0"}}
			home := newHome(defaultTiming, 1, "r", now, m)
			home.setTotal(now, Total{Rate: 1000, Burst: 2000})
			mark := home.renew(now, Renewal{VM: "vm0", Start: 1, Seq: 1}).Mark
			seq := uint64(1)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				seq++
				home.renew(now, Renewal{VM: fmt.Sprintf("vm%d", i%holders), Start: 1, Seq: seq, Home: 1, Mark: mark, Promise: i%holders == 0, Demand: 10})
			}
		})
	}
}
