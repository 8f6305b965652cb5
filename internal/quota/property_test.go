package quota

import (
	"math/rand"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// runRandomFaults runs a world with random faults and random demand.
func runRandomFaults(t *rapid.T, variant func(*holder, *home), total Total) *auditor {
	n := rapid.IntRange(3, 5).Draw(t, "vms")
	random := rand.New(rand.NewSource(int64(rapid.IntRange(0, 1<<30).Draw(t, "seed"))))
	w := newWorld(n, total, random)
	w.variant = variant
	w.replayAnswers = rapid.Bool().Draw(t, "replay")
	w.extraDelay = func(int, int) time.Duration {
		if random.Intn(20) == 0 {
			return time.Duration(random.Int63n(int64(2 * time.Second)))
		}
		return time.Duration(random.Int63n(int64(5 * time.Millisecond)))
	}
	w.boot()
	a := newAuditor(w)
	w.run(6 * time.Second)
	steps := rapid.IntRange(5, 25).Draw(t, "steps")
	for range steps {
		injectRandomFault(t, w, n)
		busy := rapid.IntRange(0, n-1).Draw(t, "busy vm")
		burst := rapid.IntRange(0, 60).Draw(t, "requests")
		spread := time.Duration(rapid.IntRange(1, 3000).Draw(t, "over ms")) * time.Millisecond
		for i := range burst {
			w.at(spread*time.Duration(i)/time.Duration(burst), func() { sendLoad(w, a, busy, random) })
		}
		w.run(spread)
	}
	return a
}

func sendLoad(w *world, a *auditor, vm int, random *rand.Rand) {
	if random.Intn(4) == 0 {
		vm = random.Intn(len(w.nodes))
	}
	node := w.nodes[vm]
	if node.dead || node.frozen {
		return
	}
	if w.total.isCount() {
		node.holder.demand = float64(random.Intn(20))
		return
	}
	node.request(1, func(ok bool) {
		if ok {
			a.admitted(1)
		}
	})
}

func injectRandomFault(t *rapid.T, w *world, n int) {
	node := w.nodes[rapid.IntRange(0, n-1).Draw(t, "vm")]
	other := rapid.IntRange(0, n-1).Draw(t, "other")
	switch rapid.SampledFrom([]string{"kill", "boot", "freeze", "thaw", "cut", "island", "heal", "leave", "lag", "none"}).Draw(t, "fault") {
	case "kill":
		node.kill()
	case "boot":
		if node.dead {
			node.boot()
		}
	case "freeze":
		if !node.dead {
			node.freeze()
		}
	case "thaw":
		if node.frozen {
			node.thaw()
		}
	case "cut":
		w.blockedLinks[[2]int{node.index, other}] = true
	case "island":
		for i := range n {
			w.blockedLinks[[2]int{node.index, i}] = i != node.index
			w.blockedLinks[[2]int{i, node.index}] = i != node.index
		}
	case "heal":
		w.blockedLinks = map[[2]int]bool{}
	case "leave":
		if !node.dead && !node.frozen {
			node.leave()
		}
	case "lag":
		node.knownVMs = w.without(other)
	}
}

func TestTotalIsNeverExceeded(t *testing.T) {
	totals := map[string]Total{"rate": {Rate: 40, Burst: 30}, "count": {Count: 35}}
	for name, total := range totals {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				if a := runRandomFaults(t, nil, total); len(a.Faults) > 0 {
					t.Fatalf("%v", a.Faults)
				}
			})
		})
	}
}

// naiveVariants are faulty variants that violate the package's guarantees.
var naiveVariants = []struct {
	name  string
	apply func(*world)
}{
	{"no lease check after a pause", func(w *world) {
		w.variant = func(h *holder, _ *home) { h.skipLeaseCheck = true }
	}},
	{"new home grants at once", func(w *world) {
		w.variant = func(_ *holder, m *home) { m.skipSettling = true }
	}},
	{"equal split from local VM lists", func(w *world) { w.equalSplit = true }},
	{"home ignores expiry of promises", func(w *world) {
		w.variant = func(_ *holder, m *home) { m.timing.promise = time.Hour }
	}},
}

// TestSimulationDetectsNaiveVariants checks that the auditor detects each faulty
// variant.
func TestSimulationDetectsNaiveVariants(t *testing.T) {
	total := Total{Rate: 40, Burst: 30}
	for _, v := range naiveVariants {
		t.Run(v.name, func(t *testing.T) {
			a := runPausesAndPartition(total, v.apply)
			t.Logf("admitted=%d over=%d faults=%v", a.Admitted, a.Over, a.Faults)
			if len(a.Faults) == 0 {
				t.Fatal("the auditor reported no fault")
			}
		})
	}
	a := runPausesAndPartition(total, func(*world) {})
	if len(a.Faults) > 0 || a.Admitted == 0 {
		t.Fatalf("correct protocol: admitted=%d faults=%v", a.Admitted, a.Faults)
	}
}

// runPausesAndPartition freezes holders and the home, partitions the home together with
// one other VM from the rest, and makes the VM lists stale, under demand beyond the rate.
func runPausesAndPartition(total Total, apply func(*world)) *auditor {
	random := rand.New(rand.NewSource(7))
	w := newWorld(5, total, random)
	apply(w)
	w.boot()
	a := newAuditor(w)
	for range 6000 {
		at := time.Duration(random.Int63n(int64(60 * time.Second)))
		w.at(at, func() { sendLoad(w, a, random.Intn(5), random) })
	}
	w.run(10 * time.Second)
	for _, i := range []int{0, 1, 2} {
		node := w.nodes[(w.actingHome()+1+i)%5]
		node.freeze()
		w.run(5 * time.Second)
		node.thaw()
		w.run(2 * time.Second)
	}
	first := w.nodes[w.actingHome()]
	first.freeze()
	w.run(5 * time.Second)
	first.thaw()
	w.run(8 * time.Second)
	w.partition(w.actingHome(), (w.actingHome()+1)%5)
	for i := range 5 {
		w.nodes[(i+1)%5].knownVMs = w.without(i)
	}
	w.run(15 * time.Second)
	return a
}

// TestHomeIsReplaced kills the home at many different times and checks that another VM
// takes over before any share expires, so that no holder loses its share.
func TestHomeIsReplaced(t *testing.T) {
	longest := time.Duration(0)
	for seed := range int64(100) {
		w := newWorld(8, Total{Rate: 40, Burst: 30}, rand.New(rand.NewSource(seed)))
		w.boot()
		w.run(8*time.Second + time.Duration(seed)*7*time.Millisecond)
		lost := w.nodes[w.actingHome()]
		lost.kill()
		start := w.now
		for w.nodes[w.actingHome()].dead || !w.nodes[w.actingHome()].home.isActing() {
			w.step()
		}
		longest = max(longest, w.now.Sub(start))
		for _, n := range w.nodes {
			if n != lost && !n.holder.hasLease(w.now) {
				t.Fatalf("seed %d: %s has no share", seed, n.vm)
			}
		}
	}
	t.Logf("longest time without a home %v", longest)
}
