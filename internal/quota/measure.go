package quota

import (
	"fmt"
	"io"
	"math/rand"
	"sort"
	"time"
)

// Settings of Measure. Rates and loads apply to each customer.
const (
	measureWarmUp       = 30 * time.Second
	measureRun          = 60 * time.Second
	measureVMs          = 8
	measureLoad         = 0.7 // load within the rate, as a fraction of the rate
	measureExcess       = 5   // load of excessiveCustomer, as a multiple of its rate
	excessiveCustomer   = 1   // index of the customer that exceeds its rate
	burstSeconds        = 2   // burst, in seconds of the rate
	minBurst            = 10  // lower bound of the burst, in units
	faultStart          = 20 * time.Second
	vmReturnTime        = 40 * time.Second
	plannedStopDuration = 2 * time.Second
	partitionEnd        = 35 * time.Second
	maxListLag          = 3 * time.Second // until a VM observes a change of the VM list
	roamInterval        = 5 * time.Second
	localLatency        = 250 * time.Microsecond // one way, within a failure domain
)

// measureRates are the customers' rates in requests per second.
var measureRates = []float64{200, 150, 100, 40, 30, 20, 10, 5}

// deployment is the size of one user's deployment.
type deployment struct {
	name          string
	domains       int
	remoteLatency time.Duration // one way, between failure domains
}

var deployments = []deployment{
	{"kremstal", 3, 1500 * time.Microsecond},
	{"fogas", 4, time.Millisecond},
}

// scenarios of the measurement.
var scenarios = []string{"even", "skew", "roaming", "bursts", "vm loss", "home loss", "home stop", "cut"}

// customerResult counts the requests of one customer.
type customerResult struct {
	offered       int
	idealAdmitted int // admitted by the ideal bucket: one token bucket for all VMs
	admitted      int
	wrongful      int // rejected, but admitted by the ideal bucket
	over          int
	waits         []time.Duration
	calls         int
}

// Measure runs the protocol in virtual time and prints wrongful rejections and
// admissions beyond the rate for each policy, scenario and deployment. A rejection is
// wrongful if a single ideal token bucket for all VMs, fed with the same requests, admits
// the request; wrongful rejections are counted for the customers that stay within their
// rate. The column "worst %" is the smallest ratio, over all customers, of admitted
// requests to those that the ideal bucket admits; it includes the customer that exceeds
// its rate. The column "p99 ms" is the 99th percentile of the time until admission for
// the customers within their rate.
func Measure(w io.Writer, seed int64) {
	fmt.Fprintf(w, "shares of rates: %v virtual after %v, %d VMs, %d customers, load %.0f %%, customer %d at %d times its rate, seed %d\n",
		measureRun, measureWarmUp, measureVMs, len(measureRates), 100*measureLoad, excessiveCustomer+1, measureExcess, seed)
	fmt.Fprintf(w, "%-9s %-9s %-8s %9s %9s %10s %6s %8s %9s %8s\n",
		"site", "scenario", "policy", "in rate", "wrongful", "wrongful %", "over", "worst %", "p99 ms", "calls/s")
	for _, s := range deployments {
		for _, scenario := range scenarios {
			for _, p := range measuredPolicies {
				printRow(w, s, scenario, p.name, measureAll(s, scenario, p, seed))
			}
		}
	}
}

func measureAll(s deployment, scenario string, p measuredPolicy, seed int64) []*customerResult {
	var all []*customerResult
	for i := range measureRates {
		all = append(all, measureCustomer(s, scenario, p, i, seed))
	}
	return all
}

func printRow(w io.Writer, s deployment, scenario, policy string, all []*customerResult) {
	offered, wrongful, over, calls := 0, 0, 0, 0
	worst := 1.0
	var waits []time.Duration
	for i, t := range all {
		if i != excessiveCustomer {
			offered += t.offered
			wrongful += t.wrongful
			waits = append(waits, t.waits...)
		}
		over += t.over
		calls += t.calls
		worst = min(worst, float64(t.admitted)/float64(t.idealAdmitted))
	}
	sort.Slice(waits, func(i, j int) bool { return waits[i] < waits[j] })
	p99 := float64(waits[len(waits)*99/100]) / float64(time.Millisecond)
	fmt.Fprintf(w, "%-9s %-9s %-8s %9d %9d %10.3f %6d %8.2f %9.2f %8.0f\n", s.name, scenario, policy,
		offered, wrongful, 100*float64(wrongful)/float64(offered), over, 100*worst, p99, float64(calls)/measureRun.Seconds())
}

// customerRun is the simulation of one customer.
type customerRun struct {
	world    *world
	auditor  *auditor
	policy   measuredPolicy
	scenario string
	customer int
	random   *rand.Rand
	start    time.Time
	ideal    bucket
	result   *customerResult
	domains  int
	stopped  *simNode // VM in a planned stop
	central  centralCounter
}

func measureCustomer(s deployment, scenario string, p measuredPolicy, customer int, seed int64) *customerResult {
	rate := measureRates[customer]
	total := Total{Rate: rate, Burst: max(minBurst, burstSeconds*rate)}
	random := rand.New(rand.NewSource(seed*100 + int64(customer)))
	w := newWorld(measureVMs, total, rand.New(rand.NewSource(seed)))
	w.resource = fmt.Sprintf("customer/c%d", customer+1)
	w.latency = func(from, to int) time.Duration {
		if from%s.domains == to%s.domains {
			return localLatency
		}
		return s.remoteLatency
	}
	p.prepare(w)
	w.skipOnEvent = true
	w.boot()
	w.run(measureWarmUp)
	r := &customerRun{
		world: w, auditor: newAuditor(w), policy: p, domains: s.domains, scenario: scenario, customer: customer,
		random: random, start: w.now, result: &customerResult{},
		ideal: bucket{rate: total.Rate, depth: total.Burst, tokens: total.Burst, at: w.now},
	}
	r.central = centralCounter{bucket: r.ideal, vm: w.actingHome()}
	w.calls = 0
	r.schedule()
	w.run(measureRun)
	r.result.calls = w.calls
	w.run(time.Second)
	r.result.over = r.auditor.Over
	return r.result
}

// schedule schedules the requests and the faults.
func (r *customerRun) schedule() {
	load := measureRates[r.customer] * measureLoad
	if r.customer == excessiveCustomer {
		load = measureRates[r.customer] * measureExcess
	}
	for at := 0.0; ; {
		at += r.random.ExpFloat64() / load
		if at > measureRun.Seconds() {
			break
		}
		r.scheduleRequest(time.Duration(at * float64(time.Second)))
	}
	if r.scenario == "bursts" && r.customer != excessiveCustomer {
		r.scheduleBursts()
	}
	switch r.scenario {
	case "vm loss":
		r.scheduleVMLoss(0)
	case "home loss":
		r.scheduleVMLoss(r.world.actingHome())
	case "home stop":
		r.schedulePlannedStop(r.world.actingHome())
	case "cut":
		r.schedulePartition()
	}
}

// scheduleBursts adds bursty load: every 15 s, requests for half of the burst arrive at
// one VM within half a second.
func (r *customerRun) scheduleBursts() {
	for at := 5 * time.Second; at < measureRun; at += 15 * time.Second {
		vm := r.random.Intn(measureVMs)
		n := int(r.world.total.Burst / 2)
		for i := range n {
			r.world.at(at+time.Duration(i)*time.Second/2/time.Duration(n), func() { r.sendRequest(vm) })
		}
	}
}

// scheduleVMLoss kills a VM and restarts it later.
func (r *customerRun) scheduleVMLoss(vm int) {
	lost := r.world.nodes[vm]
	r.world.at(faultStart, func() { lost.kill(); r.updateVMLists(r.world.without(vm)) })
	r.world.at(vmReturnTime, func() { lost.boot(); r.updateVMLists(nil) })
}

// schedulePlannedStop shuts a VM down as planned; its clients use other VMs from then on.
func (r *customerRun) schedulePlannedStop(vm int) {
	leaving := r.world.nodes[vm]
	r.world.at(faultStart, func() { r.stopped = leaving; leaving.leave() })
	r.world.at(faultStart+plannedStopDuration, func() { leaving.kill(); r.updateVMLists(r.world.without(vm)) })
	r.world.at(vmReturnTime, func() { r.stopped = nil; leaving.boot(); r.updateVMLists(nil) })
}

// schedulePartition partitions one failure domain from the others for some time.
func (r *customerRun) schedulePartition() {
	var inside []int
	for i := range measureVMs {
		if i%r.domains == r.domains-1 {
			inside = append(inside, i)
		}
	}
	r.world.at(faultStart, func() { r.world.partition(inside...) })
	r.world.at(partitionEnd, func() { r.world.partition() })
}

// updateVMLists gives the VMs a new VM list, each after its own random lag.
func (r *customerRun) updateVMLists(list []int) {
	for _, n := range r.world.nodes {
		lag := time.Duration(r.random.Int63n(int64(maxListLag)))
		r.world.at(lag, func() { n.knownVMs = list })
	}
}

func (r *customerRun) scheduleRequest(at time.Duration) {
	vm := r.pickVM(at)
	r.world.at(at, func() { r.sendRequest(vm) })
}

// pickVM returns the VM that receives a request.
func (r *customerRun) pickVM(at time.Duration) int {
	random := r.random.Intn(measureVMs)
	busy := r.random.Intn(10) < 6
	switch {
	case r.scenario == "skew" && busy:
		return r.customer % measureVMs
	case r.scenario == "roaming" && busy:
		return (r.customer + int(at/roamInterval)*3) % measureVMs
	}
	return random
}

func (r *customerRun) sendRequest(vm int) {
	for r.world.nodes[vm].dead || r.world.nodes[vm] == r.stopped {
		vm = r.random.Intn(measureVMs)
	}
	start := r.world.now
	ideal := r.ideal.take(start, 1)
	r.result.offered++
	if ideal {
		r.result.idealAdmitted++
	}
	r.policy.request(r, r.world.nodes[vm], func(ok bool) {
		if !ok {
			if ideal {
				r.result.wrongful++
			}
			return
		}
		r.result.admitted++
		r.result.waits = append(r.result.waits, r.world.now.Sub(start))
	})
}
