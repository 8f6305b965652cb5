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
	reachLimit    = 20 * time.Second
)

var matrixTotal = Total{Rate: 40, Burst: 30}

// fault is one row of the matrix: begin acts on the subject VM, end undoes it.
type fault struct {
	name  string
	begin func(w *world, subject int)
	end   func(w *world, subject int)
}

func heal(w *world, _ int) { w.cut = map[[2]int]bool{} }

func thawAll(w *world, _ int) {
	for _, n := range w.nodes {
		if n.frozen {
			n.thaw()
		}
	}
}

func bootDead(w *world, _ int) {
	for _, n := range w.nodes {
		if n.dead {
			n.boot()
		}
	}
}

func cutOneWay(w *world, subject int, outward bool) {
	for i := range w.nodes {
		if i == subject {
			continue
		}
		link := [2]int{i, subject}
		if outward {
			link = [2]int{subject, i}
		}
		w.cut[link] = true
	}
}

// killInRegrant kills the acting home while an answer of it is on the way.
func killInRegrant(w *world, _ int) {
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
	{"kill", func(w *world, s int) { w.nodes[s].kill() }, bootDead},
	{"freeze and thaw", func(w *world, s int) { w.nodes[s].freeze() }, thawAll},
	{"cut of what it sends", func(w *world, s int) { cutOneWay(w, s, true) }, heal},
	{"cut of what it receives", func(w *world, s int) { cutOneWay(w, s, false) }, heal},
	{"cut both ways", func(w *world, s int) { w.cutOff(s) }, heal},
	{"domain cut", func(w *world, s int) { w.cutOff(s, (s+1)%matrixVMs) }, heal},
	{"platform outage", func(w *world, _ int) {
		for _, n := range w.nodes {
			n.list = []int{0, 1, 2, 3, 4}
		}
	}, func(w *world, _ int) {}},
	{"late answer", func(w *world, s int) {
		w.delay = func(from, to int) time.Duration {
			if to == s {
				return 700 * time.Millisecond
			}
			return 0
		}
	}, func(w *world, _ int) { w.delay = nil }},
	{"crossed answer", func(w *world, _ int) { w.replay = true }, func(w *world, _ int) { w.replay = false }},
	{"list lag", func(w *world, s int) { w.nodes[s].list = w.without((s + 1) % matrixVMs) },
		func(w *world, s int) { w.nodes[s].list = nil }},
	{"home killed in a regrant", killInRegrant, bootDead},
	{"home paused past its lease", func(w *world, _ int) { w.nodes[w.actingHome()].freeze() }, thawAll},
}

// reach brings a state of a chart about at a subject VM.
type reach struct {
	prepare func(w *world, subject int)
	state   func(w *world, subject int) string
}

func shareState(w *world, s int) string { return w.nodes[s].holder.machine.State() }
func homeState(w *world, s int) string  { return w.nodes[s].home.machine.State() }
func noPreparation(*world, int)         {}
func warm(w *world, _ int)              { w.run(matrixWarmUp) }

func loseHome(w *world, _ int) {
	w.run(matrixWarmUp)
	w.nodes[w.actingHome()].kill()
}

func leaveWarm(w *world, s int) {
	w.run(matrixWarmUp)
	w.nodes[s].leave()
}

// reaches has an entry for each state of each chart.
var reaches = map[string]map[string]reach{
	"share": {
		"seeking":  {noPreparation, shareState},
		"electing": {noPreparation, shareState},
		"holding":  {warm, shareState},
		"bridging": {loseHome, shareState},
		"left":     {leaveWarm, shareState},
	},
	"sharehome": {
		"idle":       {noPreparation, homeState},
		"collecting": {noPreparation, homeState},
		"settling":   {noPreparation, homeState},
		"serving":    {warm, homeState},
		"retired":    {leaveWarm, homeState},
	},
}

// cell is one run: one or two faults at one state.
type cell struct {
	chart, state string
	faults       []fault
	variant      func(*world)
}

func (c cell) String() string {
	s := c.chart + "/" + c.state
	for _, f := range c.faults {
		s += " + " + f.name
	}
	return s
}

// cells are generated from the charts.
func cells(t *testing.T, pairs bool) []cell {
	var list []cell
	for _, chart := range []string{"share", "sharehome"} {
		for _, state := range statechart.MustLoad(chart).States() {
			if _, ok := reaches[chart][state]; !ok {
				t.Fatalf("chart %s: state %s has no cell", chart, state)
			}
			for i, f := range matrixFaults {
				list = append(list, cell{chart: chart, state: state, faults: []fault{f}})
				for _, second := range matrixFaults[i+1:] {
					if pairs && chart == "share" {
						list = append(list, cell{chart: chart, state: state, faults: []fault{f, second}})
					}
				}
			}
		}
	}
	return list
}

// run returns what went wrong in the cell.
func (c cell) run() (problem string) {
	random := rand.New(rand.NewSource(11))
	w := newWorld(matrixVMs, matrixTotal, random)
	if c.variant != nil {
		c.variant(w)
	}
	w.boot()
	a := newAuditor(w)
	got := make([]time.Time, matrixVMs)
	c.demand(w, a, got, random)
	subject := 1
	if c.chart == "sharehome" {
		subject = w.subjectOf(w.nodes[0].holder.order[0])
	}
	r := reaches[c.chart][c.state]
	r.prepare(w, subject)
	for limit := w.now.Add(reachLimit); r.state(w, subject) != c.state; w.step() {
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
	bootDead(w, subject)
	w.run(matrixRecover)
	return c.judge(w, a, got)
}

// demand keeps requests coming at all VMs; got takes the last admissions.
func (c cell) demand(w *world, a *auditor, got []time.Time, random *rand.Rand) {
	var next func()
	next = func() {
		vm := random.Intn(matrixVMs)
		if n := w.nodes[vm]; !n.dead && !n.frozen {
			n.request(1, func(ok bool) {
				if ok {
					a.admitted(1)
					got[vm] = w.now
				}
			})
		}
		w.at(time.Second/matrixLoad, next)
	}
	w.at(0, next)
}

func (c cell) judge(w *world, a *auditor, got []time.Time) string {
	if len(a.Faults) > 0 {
		return a.Faults[0]
	}
	for i, n := range w.nodes {
		if !n.holder.machine.Done() && got[i].Before(w.now.Add(-matrixProbe)) {
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

// runCells runs the cells and returns the problems of those that are red.
func runCells(list []cell) map[string]string {
	red := map[string]string{}
	work := make(chan cell)
	var mu sync.Mutex
	var group sync.WaitGroup
	for range matrixWorkers {
		group.Add(1)
		go func() {
			defer group.Done()
			for c := range work {
				if problem := c.run(); problem != "" {
					mu.Lock()
					red[c.String()] = problem
					mu.Unlock()
				}
			}
		}()
	}
	for _, c := range list {
		work <- c
	}
	close(work)
	group.Wait()
	return red
}

func TestFaultMatrix(t *testing.T) {
	list := cells(t, true)
	red := runCells(list)
	for name, problem := range red {
		t.Errorf("%s: %s", name, problem)
	}
	t.Logf("cells=%d passed=%d red=%d", len(list), len(list)-len(red), len(red))
}

// TestFaultMatrixFindsNaiveVariants runs the single faults with each naive
// variant, which must turn cells red.
func TestFaultMatrixFindsNaiveVariants(t *testing.T) {
	for _, v := range naiveVariants {
		t.Run(v.name, func(t *testing.T) {
			list := cells(t, false)
			for i := range list {
				list[i].variant = v.apply
			}
			red := runCells(list)
			t.Logf("cells=%d passed=%d red=%d", len(list), len(list)-len(red), len(red))
			over := 0
			for _, problem := range red {
				if strings.Contains(problem, "shares add up") || strings.Contains(problem, "over rate") {
					over++
				}
			}
			if over == 0 {
				t.Fatal("no cell found more than the total")
			}
		})
	}
}
