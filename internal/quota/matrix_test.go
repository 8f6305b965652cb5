package quota

import (
	"fmt"
	"math/rand"
	"strings"
	"sync"
	"testing"
	"time"

	"chicoryline/internal/statechart"
)

// Settings of the fault matrix.
const (
	matrixVMs     = 5
	matrixWarmUp  = 8 * time.Second
	matrixFault   = 5 * time.Second // longer than the share's lease
	matrixRecover = 12 * time.Second
	matrixProbe   = 3 * time.Second
	matrixLoad    = 60 // requests per second at all VMs
	matrixWorkers = 4
	stateTimeout  = 20 * time.Second
)

var matrixTotal = Total{Rate: 40, Burst: 30}

// fault is one row of the matrix: begin injects the fault at the subject VM, end
// reverts it.
type fault struct {
	name  string
	begin func(w *world, subject int)
	end   func(w *world, subject int)
}

func healLinks(w *world, _ int) { w.blockedLinks = map[[2]int]bool{} }

func thawNodes(w *world, _ int) {
	for _, n := range w.nodes {
		if n.frozen {
			n.thaw()
		}
	}
}

func bootDeadNodes(w *world, _ int) {
	for _, n := range w.nodes {
		if n.dead {
			n.boot()
		}
	}
}

func blockOneWay(w *world, subject int, outward bool) {
	for i := range w.nodes {
		if i == subject {
			continue
		}
		link := [2]int{i, subject}
		if outward {
			link = [2]int{subject, i}
		}
		w.blockedLinks[link] = true
	}
}

// killHomeDuringGrant kills the acting home while one of its answers is in flight.
func killHomeDuringGrant(w *world, _ int) {
	home := w.actingHome()
	calls := w.calls
	for range 10000 {
		if w.calls > calls || len(w.events) == 0 {
			break
		}
		w.step()
	}
	w.run(1500 * time.Microsecond)
	w.nodes[home].kill()
}

var matrixFaults = []fault{
	{"kill", func(w *world, s int) { w.nodes[s].kill() }, bootDeadNodes},
	{"freeze and thaw", func(w *world, s int) { w.nodes[s].freeze() }, thawNodes},
	{"outbound links blocked", func(w *world, s int) { blockOneWay(w, s, true) }, healLinks},
	{"inbound links blocked", func(w *world, s int) { blockOneWay(w, s, false) }, healLinks},
	{"VM partitioned", func(w *world, s int) { w.partition(s) }, healLinks},
	{"failure domain partitioned", func(w *world, s int) { w.partition(s, (s+1)%matrixVMs) }, healLinks},
	{"platform outage", func(w *world, _ int) {
		for _, n := range w.nodes {
			n.knownVMs = []int{0, 1, 2, 3, 4}
		}
	}, func(w *world, _ int) {}},
	{"late answer", func(w *world, s int) {
		w.extraDelay = func(from, to int) time.Duration {
			if to == s {
				return 700 * time.Millisecond
			}
			return 0
		}
	}, func(w *world, _ int) { w.extraDelay = nil }},
	{"replayed answer", func(w *world, _ int) { w.replayAnswers = true }, func(w *world, _ int) { w.replayAnswers = false }},
	{"list lag", func(w *world, s int) { w.nodes[s].knownVMs = w.without((s + 1) % matrixVMs) },
		func(w *world, s int) { w.nodes[s].knownVMs = nil }},
	{"home killed during a grant", killHomeDuringGrant, bootDeadNodes},
	{"home paused past its lease", func(w *world, _ int) { w.nodes[w.actingHome()].freeze() }, thawNodes},
}

// stateSetup brings the subject VM into a state of a chart.
type stateSetup struct {
	prepare func(w *world, subject int)
	state   func(w *world, subject int) string
}

func shareState(w *world, s int) string { return w.nodes[s].holder.machine.State() }
func homeState(w *world, s int) string  { return w.nodes[s].home.machine.State() }
func noSetup(*world, int)               {}
func warmUp(w *world, _ int)            { w.run(matrixWarmUp) }

func warmUpAndKillHome(w *world, _ int) {
	w.run(matrixWarmUp)
	w.nodes[w.actingHome()].kill()
}

func warmUpAndLeave(w *world, s int) {
	w.run(matrixWarmUp)
	w.nodes[s].leave()
}

// stateSetups has an entry for each state of each chart.
var stateSetups = map[string]map[string]stateSetup{
	"share": {
		"seeking":  {noSetup, shareState},
		"electing": {noSetup, shareState},
		"holding":  {warmUp, shareState},
		"bridging": {warmUpAndKillHome, shareState},
		"left":     {warmUpAndLeave, shareState},
	},
	"sharehome": {
		"idle":       {noSetup, homeState},
		"collecting": {noSetup, homeState},
		"settling":   {noSetup, homeState},
		"serving":    {warmUp, homeState},
		"retired":    {warmUpAndLeave, homeState},
	},
}

// matrixCell is one run of the matrix: one or two faults in one state.
type matrixCell struct {
	chart, state string
	faults       []fault
	variant      func(*world)
}

func (c matrixCell) String() string {
	s := c.chart + "/" + c.state
	for _, f := range c.faults {
		s += " + " + f.name
	}
	return s
}

// matrixCells generates the cells from the states of the charts.
func matrixCells(t *testing.T, pairs bool) []matrixCell {
	var list []matrixCell
	for _, chart := range []string{"share", "sharehome"} {
		for _, state := range statechart.MustLoad(chart).States() {
			if _, ok := stateSetups[chart][state]; !ok {
				t.Fatalf("chart %s: state %s has no cell", chart, state)
			}
			for i, f := range matrixFaults {
				list = append(list, matrixCell{chart: chart, state: state, faults: []fault{f}})
				for _, second := range matrixFaults[i+1:] {
					if pairs && chart == "share" {
						list = append(list, matrixCell{chart: chart, state: state, faults: []fault{f, second}})
					}
				}
			}
		}
	}
	return list
}

// run runs the cell and returns the problem found, or "".
func (c matrixCell) run() (problem string) {
	random := rand.New(rand.NewSource(11))
	w := newWorld(matrixVMs, matrixTotal, random)
	if c.variant != nil {
		c.variant(w)
	}
	w.boot()
	a := newAuditor(w)
	lastAdmitted := make([]time.Time, matrixVMs)
	c.scheduleDemand(w, a, lastAdmitted, random)
	subject := 1
	if c.chart == "sharehome" {
		subject = w.subjectOf(w.nodes[0].holder.candidates[0])
	}
	r := stateSetups[c.chart][c.state]
	r.prepare(w, subject)
	for limit := w.now.Add(stateTimeout); r.state(w, subject) != c.state; w.step() {
		if w.now.After(limit) || len(w.events) == 0 {
			return "state was not reached"
		}
	}
	for _, f := range c.faults {
		f.begin(w, subject)
		w.run(300 * time.Millisecond)
	}
	w.run(matrixFault)
	for _, f := range c.faults {
		f.end(w, subject)
	}
	bootDeadNodes(w, subject)
	w.run(matrixRecover)
	return c.check(w, a, lastAdmitted)
}

// scheduleDemand sends requests to all VMs and records each VM's last admission in
// lastAdmitted.
func (c matrixCell) scheduleDemand(w *world, a *auditor, lastAdmitted []time.Time, random *rand.Rand) {
	var next func()
	next = func() {
		vm := random.Intn(matrixVMs)
		if n := w.nodes[vm]; !n.dead && !n.frozen {
			n.request(1, func(ok bool) {
				if ok {
					a.admitted(1)
					lastAdmitted[vm] = w.now
				}
			})
		}
		w.at(time.Second/matrixLoad, next)
	}
	w.at(0, next)
}

func (c matrixCell) check(w *world, a *auditor, lastAdmitted []time.Time) string {
	if len(a.Faults) > 0 {
		return a.Faults[0]
	}
	for i, n := range w.nodes {
		if !n.holder.machine.Done() && lastAdmitted[i].Before(w.now.Add(-matrixProbe)) {
			return fmt.Sprintf("%s admits nothing after the faults: share %s, target %s", n.vm, n.holder.machine.State(), n.holder.target)
		}
	}
	return ""
}

func (w *world) subjectOf(vm string) int {
	for i, n := range w.nodes {
		if n.vm == vm {
			return i
		}
	}
	return 0
}

// runCells runs the cells and returns the problems of those that failed, by cell name.
func runCells(list []matrixCell) map[string]string {
	failed := map[string]string{}
	work := make(chan matrixCell)
	var mu sync.Mutex
	var workers sync.WaitGroup
	for range matrixWorkers {
		workers.Add(1)
		go func() {
			defer workers.Done()
			for c := range work {
				if problem := c.run(); problem != "" {
					mu.Lock()
					failed[c.String()] = problem
					mu.Unlock()
				}
			}
		}()
	}
	for _, c := range list {
		work <- c
	}
	close(work)
	workers.Wait()
	return failed
}

func TestFaultMatrix(t *testing.T) {
	list := matrixCells(t, true)
	failed := runCells(list)
	for name, problem := range failed {
		t.Errorf("%s: %s", name, problem)
	}
	t.Logf("cells=%d passed=%d red=%d", len(list), len(list)-len(failed), len(failed))
}

// TestFaultMatrixDetectsNaiveVariants runs the cells with a single fault on each
// faulty variant. The matrix must find admissions or shares beyond the total.
func TestFaultMatrixDetectsNaiveVariants(t *testing.T) {
	for _, v := range naiveVariants {
		t.Run(v.name, func(t *testing.T) {
			list := matrixCells(t, false)
			for i := range list {
				list[i].variant = v.apply
			}
			failed := runCells(list)
			t.Logf("cells=%d passed=%d red=%d", len(list), len(list)-len(failed), len(failed))
			over := 0
			for _, problem := range failed {
				if strings.Contains(problem, "shares add up") || strings.Contains(problem, "over rate") {
					over++
				}
			}
			if over == 0 {
				t.Fatal("no cell exceeded the total")
			}
		})
	}
}
