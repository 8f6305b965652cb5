package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chicoryline/internal/access"
	"chicoryline/internal/boottime"
)

// unevenFleet is a fleet whose VMs report at different times and start at different times.
type unevenFleet struct {
	*fleet
	customer access.Customer
	// upAt is when each VM starts, reportsAt when it reports next.
	upAt, reportsAt []boottime.Time
}

// advance advances the clock by 10 ms, starts VMs that are due, and exchanges due reports.
func (f *unevenFleet) advance() {
	f.now = f.now.Add(10 * time.Millisecond)
	up := 0
	for i, at := range f.upAt {
		if f.now < at {
			continue
		}
		up++
		if f.vms[i] == nil {
			f.vms[i] = New(func() boottime.Time { return f.now }, window)
			f.vms[i].Configure(map[string]access.Customer{f.customer.Name: f.customer})
			f.vms[i].SetFleet(1, len(f.vms), 2)
			f.reportsAt[i] = f.now.Add(reportInterval / 2)
		}
	}
	for i, l := range f.vms {
		if l == nil || f.now < f.reportsAt[i] {
			continue
		}
		f.reportsAt[i] = f.now.Add(reportInterval)
		l.SetFleet(up, len(f.vms), 2)
		report := l.Report()
		for j, m := range f.vms {
			if i != j && m != nil {
				m.ObserveReport(fmt.Sprint("vm", i), report)
			}
		}
	}
}

// request sends operations at the given mean rate per second, with irregular arrivals.
func (f *unevenFleet) request(random *rand.Rand, d time.Duration, perSecond float64) {
	p := perSecond * 0.01 / (1 + perSecond*0.01)
	for range d / (10 * time.Millisecond) {
		f.advance()
		for random.Float64() < p {
			if vm := random.IntN(len(f.vms)); f.vms[vm] != nil {
				f.admit(vm, f.customer)
			}
		}
	}
}

// All VMs are killed at any time during a flood, and it goes on at those that start (in 109 of
// 1,620 floods the limit was exceeded, by up to 15 %).
func TestFloodsBeforeAndAfterARestartOfAllStayWithinTheWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "vms")
		random := rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "seed")))
		c := access.Customer{Name: "c", Rate: rapid.Float64Range(10, 300).Draw(t, "rate")}
		c.Burst = c.Rate
		f := &unevenFleet{fleet: newFleet(n, c), customer: c, upAt: make([]boottime.Time, n), reportsAt: make([]boottime.Time, n)}
		for i := range n {
			f.reportsAt[i] = f.now.Add(time.Duration(random.IntN(50)) * 10 * time.Millisecond)
		}
		usual := 0.625 * c.Rate
		flood := usual * rapid.Float64Range(2, 8).Draw(t, "flood")
		f.request(random, 8*time.Second, usual)
		f.request(random, time.Duration(rapid.IntRange(0, 300).Draw(t, "before"))*10*time.Millisecond, flood)
		for i := range f.vms {
			f.vms[i], f.upAt[i] = nil, f.now.Add(500*time.Millisecond+time.Duration(random.IntN(20))*10*time.Millisecond)
		}
		f.request(random, 8*time.Second, flood)
		if got := f.maxInWindow(); float64(got) > allowedInWindow(c) {
			t.Errorf("%d operations in a window, want at most %.0f", got, allowedInWindow(c))
		}
	})
}

// Callers within the rate must not pay much for a restart of all VMs: with 0.4 of the rate for a
// window, 16 % of a day's operations were rejected.
func TestCustomerWithinItsRateIsServedAfterARestartOfAll(t *testing.T) {
	for rate, most := range map[float64]float64{13: 0.1, 50: 0.15, 259: 0.2} {
		asked, rejected := [2]int{}, [2]int{}
		for seed := range uint64(40) {
			random := rand.New(rand.NewPCG(1, seed))
			c := access.Customer{Name: "c", Rate: rate, Burst: rate}
			f := newFleet(8, c)
			for range 50 {
				f.advance(200 * time.Millisecond)
			}
			f.restart(c)
			for range 10 {
				f.advance(100 * time.Millisecond) // until callers are connected
			}
			p := 0.625 * rate * 0.01 / (1 + 0.625*rate*0.01)
			for step := range 500 {
				f.advance(10 * time.Millisecond)
				part := min(step/200, 1)
				for random.Float64() < p {
					asked[part]++
					if !f.admit(random.IntN(8), c) {
						rejected[part]++
					}
				}
			}
		}
		if first := float64(rejected[0]) / float64(asked[0]); first > most {
			t.Errorf("rate %.0f: a fraction of %.3f was rejected in the first 2 s, want at most %.2f", rate, first, most)
		}
		if later := float64(rejected[1]) / float64(asked[1]); later > 0.05 {
			t.Errorf("rate %.0f: a fraction of %.3f was rejected in the next 3 s, want at most 0.05", rate, later)
		}
	}
}

// A VM that starts beside others must not slow its callers down.
func TestVMThatStartsBesideOthersIsNotSlowed(t *testing.T) {
	c := access.Customer{Name: "c", Rate: 50, Burst: 50}
	admitted := func(settled bool) (n int) {
		f := newFleet(1, c)
		if settled {
			f.vms[0].ObserveSettled()
		}
		for range 50 {
			f.advance(20 * time.Millisecond)
			if f.admit(0, c) {
				n++
			}
		}
		return n
	}
	if alone, beside := admitted(false), admitted(true); beside < 45 || alone > 30 {
		t.Errorf("%d operations of 50 were admitted in the first second beside others and %d after a restart of all, want 45 or more and 30 or fewer", beside, alone)
	}
}
