package configsync

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"chicoryline/internal/catalog"
	"chicoryline/internal/services"
	"chicoryline/internal/statechart"
)

// faultTime is how long a fault of the matrix lasts: longer than a grant.
const faultTime = 5 * time.Second

// matrixFault is one column of the matrix. inject must not block.
type matrixFault struct {
	name   string
	inject func(w *world, target *member)
}

var matrixFaults = []matrixFault{
	{"kill", func(_ *world, m *member) { m.kill() }},
	{"freeze and thaw", func(_ *world, m *member) { m.freeze() }},
	{"replaced while frozen, address used again", func(w *world, m *member) {
		m.freeze()
		w.background(func() { w.add(m.id, m.domain, m.node.cfg.Observer) })
	}},
	{"one-way cut from the target", func(w *world, m *member) { w.cut(m.id, "*") }},
	{"one-way cut to the target", func(w *world, m *member) { w.cut("*", m.id) }},
	{"two-way cut", func(w *world, m *member) { w.cut(m.id, "*"); w.cut("*", m.id) }},
	{"domain cut", func(w *world, m *member) { w.cut(m.domain, "*"); w.cut("*", m.domain) }},
	{"platform cut", func(w *world, m *member) { w.cut(m.id, platformName); w.cut(platformName, m.id) }},
	{"platform outage", func(w *world, _ *member) { w.store.set(func() { w.store.down = true }) }},
	{"slow platform", func(w *world, _ *member) { w.setSlow(700 * time.Millisecond) }},
	{"answers lost after effect", func(w *world, _ *member) { w.store.set(func() { w.store.lose = 8 }) }},
	{"operator race", raceOperators},
	{"key withdrawal", withdrawKey},
	{"late answers", func(w *world, m *member) { w.setLate(m.id, 1200*time.Millisecond) }},
	{"crossed answers", crossAnswers},
	{"VM list lag", func(w *world, _ *member) { w.store.set(func() { w.store.vms = nil }) }},
}

// notApplicable is the fault of the design's list that has no meaning here.
const notApplicable = "replica far behind"

func (w *world) background(f func()) {
	w.operators.Add(1)
	go func() {
		defer w.operators.Done()
		f()
	}()
}

func (w *world) setSlow(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slow = d
}

func (w *world) setLate(name string, d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.late[name] = d
}

// raceOperators lets two operators patch one version; one of them at most wins.
func raceOperators(w *world, _ *member) {
	w.background(func() {
		base := w.recordNow().Version
		results := make([]Result, 2)
		var both sync.WaitGroup
		for i := range results {
			both.Add(1)
			go func() {
				defer both.Done()
				results[i] = w.submit(base, ratePatch(20+i), fmt.Sprintf("racer %d", i), 4*faultTime)
			}()
		}
		both.Wait()
		if results[0].State == StateInForce && results[1].State == StateInForce {
			w.fail("two patches on version %d are both in force", base)
		}
	})
}

// withdrawKey withdraws the key of the customer. Once that is reported in force
// the monitor demands that nobody accepts the key.
func withdrawKey(w *world, _ *member) {
	w.background(func() {
		base := w.recordNow().Version
		r := w.submit(base, "[customer depot]\nkey.main = withdrawn\n", "withdrawal", 4*faultTime)
		if r.State == StateInForce {
			w.mu.Lock()
			w.withdrawn = true
			w.mu.Unlock()
		}
	})
}

// crossAnswers shows the target old rows and questions meant for others.
func crossAnswers(w *world, m *member) {
	old := m.node.shown.Load().row
	w.background(func() {
		for range int(faultTime / (100 * time.Millisecond)) {
			s := m.node.Service()
			_ = s.Notify(NotifyAsk{Row: old}, &NotifyReply{})
			var reply PromiseReply
			_ = s.Promise(PromiseAsk{To: "another", From: "x", Row: old.Version, Length: time.Minute}, &reply)
			if reply.Granted {
				w.fail("%s answered a question that was not for it", m.id)
			}
			time.Sleep(100 * time.Millisecond)
		}
	})
}

func (w *world) recordNow() Record {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	r, err := decodeRecord(w.store.rows[recordKey])
	if err != nil {
		panic(err)
	}
	return r
}

// setup brings a member into a state of a chart. It calls hit, which injects
// the faults, as soon as a member is there.
type setup func(w *world, hit func(*member))

// steady hits a holder that stands in the state without further ado.
func steady(w *world, hit func(*member)) { hit(w.members[0]) }

// onPatch starts a patch and hits the first holder that reaches the state.
func onPatch(state string) setup {
	return func(w *world, hit func(*member)) {
		for _, m := range w.members[:4] {
			m.tell(func(_, patch string) {
				if patch == state {
					hit(m)
				}
			})
		}
	}
}

// onJoint holds a holder in the joint state by a lease that nobody renews.
func onJoint(w *world, hit func(*member)) {
	onPatch("joint")(w, hit)
	w.cut("lessee", "*")
}

// onGrant hits the first holder when its grant is in the state.
func onGrant(w *world, state string, hit func(*member)) *member {
	m := w.members[0]
	m.tell(func(grant, _ string) {
		if grant == state {
			hit(m)
		}
	})
	return m
}

func onExtended(w *world, hit func(*member)) {
	onGrant(w, "extended", hit)
	w.store.set(func() { w.store.down = true })
}

// onLeave lets a holder leave and hits it in the state.
func onLeave(state string) setup {
	return func(w *world, hit func(*member)) {
		m := onGrant(w, state, hit)
		w.background(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 4*faultTime)
			defer cancel()
			_ = m.node.Leave(ctx)
		})
	}
}

// setups has to hold every state of the charts.
var setups = map[string]map[string]setup{
	"grant": {
		"none":     func(w *world, hit func(*member)) { hit(w.add("new", "d1", false)) },
		"held":     steady,
		"extended": onExtended,
		"leased":   func(w *world, hit func(*member)) { hit(w.members[4]) },
		"leaving":  onLeave("leaving"),
		"returned": onLeave("returned"),
	},
	"patch": {
		"idle":          steady,
		"joint":         onJoint,
		"acknowledging": onPatch("acknowledging"),
		"acknowledged":  onPatch("acknowledged"),
		"finishing":     onPatch("finishing"),
	},
}

// runCell brings a member into the state, injects the faults, runs a patch
// meanwhile, and demands that all is well once the faults have ended.
func runCell(t *testing.T, prepare setup, faults []matrixFault) []string {
	return runWorld(t, 7, 4, func(w *world) {
		w.add("lessee", "d1", true)
		w.ready()
		w.giveKey()
		reached := make(chan struct{})
		var once sync.Once
		prepare(w, func(m *member) {
			once.Do(func() {
				for _, f := range faults {
					f.inject(w, m)
				}
				close(reached)
			})
		})
		base := w.recordNow().Version
		w.background(func() { w.submit(base, ratePatch(30), "meanwhile", 4*faultTime) })
		select {
		case <-reached:
		case <-time.After(4 * faultTime):
			w.fail("the state was not reached")
		}
		time.Sleep(faultTime)
		w.settled()
	})
}

// giveKey puts the key of the customer in force.
func (w *world) giveKey() {
	key := catalog.HashKey("depot's key", make([]byte, 16))
	if r := w.submit(1, "[customer depot]\nkey.main = "+key.String(), "key", 20*time.Second); r.State != StateInForce {
		w.fail("key: %+v", r)
	}
	w.ref, _ = catalog.View{Current: w.members[0].node.View().Current}.MatchKey("depot", "depot's key")
	w.until(20*time.Second, func() bool {
		ref, ok := w.members[0].node.View().MatchKey("depot", "depot's key")
		w.ref = ref
		return ok
	})
}

// TestFaultMatrix runs every fault at every state of both charts, and every
// pair of faults at the states of the patch. The states come from the charts.
func TestFaultMatrix(t *testing.T) {
	var mu sync.Mutex
	cells, red := 0, 0
	t.Run("cells", func(t *testing.T) {
		cell := func(chart, state string, faults ...matrixFault) {
			name := chart + "/" + state
			for _, f := range faults {
				name += "/" + f.name
			}
			cells++
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				failures := runCell(t, setups[chart][state], faults)
				expectGreen(t, failures)
				mu.Lock()
				defer mu.Unlock()
				if len(failures) > 0 {
					red++
				}
			})
		}
		eachState(t, func(chart, state string) {
			for i, f := range matrixFaults {
				cell(chart, state, f)
				for _, g := range matrixFaults[i+1:] {
					if chart == "patch" {
						cell(chart, state, f, g)
					}
				}
			}
		})
	})
	t.Logf("not applicable: %s", notApplicable)
	fmt.Printf("cells=%d passed=%d red=%d\n", cells, cells-red, red)
}

func eachState(t *testing.T, run func(chart, state string)) {
	for _, chart := range []string{"grant", "patch"} {
		for _, state := range statechart.MustLoad(chart).States() {
			if setups[chart][state] == nil {
				t.Errorf("state %s of chart %s has no cell", state, chart)
				continue
			}
			run(chart, state)
		}
	}
}

var _ services.Services = (*port)(nil)
