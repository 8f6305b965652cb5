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

// faultTime is how long a fault of the matrix lasts. It is longer than a grant.
const faultTime = 5 * time.Second

// matrixFault is one fault of the matrix. inject must not block.
type matrixFault struct {
	name   string
	inject func(c *cluster, target *member)
}

var matrixFaults = []matrixFault{
	{"kill", func(_ *cluster, m *member) { m.kill() }},
	{"freeze and thaw", func(_ *cluster, m *member) { m.freeze() }},
	{"replaced while frozen, address reused", func(c *cluster, m *member) {
		m.freeze()
		c.background(func() { c.add(m.id, m.domain, m.node.cfg.Observer) })
	}},
	{"one-way partition from the target", func(c *cluster, m *member) { c.partition(m.id, "*") }},
	{"one-way partition to the target", func(c *cluster, m *member) { c.partition("*", m.id) }},
	{"two-way partition", func(c *cluster, m *member) { c.partition(m.id, "*"); c.partition("*", m.id) }},
	{"domain partitioned", func(c *cluster, m *member) { c.partition(m.domain, "*"); c.partition("*", m.domain) }},
	{"platform partitioned", func(c *cluster, m *member) { c.partition(m.id, platformName); c.partition(platformName, m.id) }},
	{"platform outage", func(c *cluster, _ *member) { c.store.set(func() { c.store.down = true }) }},
	{"slow platform", func(c *cluster, _ *member) { c.setSlow(700 * time.Millisecond) }},
	{"answers lost after effect", func(c *cluster, _ *member) { c.store.set(func() { c.store.answersToLose = 8 }) }},
	{"operator race", raceOperators},
	{"key withdrawal", withdrawKey},
	{"late answers", func(c *cluster, m *member) { c.setLate(m.id, 1200*time.Millisecond) }},
	{"misdirected messages", misdirectMessages},
	{"VM list lag", func(c *cluster, _ *member) { c.store.set(func() { c.store.vms = nil }) }},
}

// notApplicableFault is the fault in the design's list of faults that does not apply to
// the configuration.
const notApplicableFault = "replica far behind"

// background runs f on a goroutine that the scenario waits for at its end.
func (c *cluster) background(f func()) {
	c.operators.Add(1)
	go func() {
		defer c.operators.Done()
		f()
	}()
}

func (c *cluster) setSlow(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.slow = d
}

func (c *cluster) setLate(name string, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.late[name] = d
}

// raceOperators submits two patches on one version concurrently. At most one of them
// may take effect.
func raceOperators(c *cluster, _ *member) {
	c.background(func() {
		base := c.currentRecord().Version
		results := make([]Result, 2)
		var both sync.WaitGroup
		for i := range results {
			both.Add(1)
			go func() {
				defer both.Done()
				results[i] = c.submit(base, ratePatch(20+i), fmt.Sprintf("racer %d", i), 4*faultTime)
			}()
		}
		both.Wait()
		if results[0].State == StateInForce && results[1].State == StateInForce {
			c.fail("two patches on version %d are both in force", base)
		}
	})
}

// withdrawKey withdraws the customer's key. After that is reported in force, the
// monitor requires that no member accepts the key.
func withdrawKey(c *cluster, _ *member) {
	c.background(func() {
		base := c.currentRecord().Version
		r := c.submit(base, "[customer depot]\nkey.main = withdrawn\n", "withdrawal", 4*faultTime)
		if r.State == StateInForce {
			c.mu.Lock()
			c.withdrawn = true
			c.mu.Unlock()
		}
	})
}

// misdirectMessages sends the target old rows and promise requests for other holders.
func misdirectMessages(c *cluster, m *member) {
	old := m.node.published.Load().row
	c.background(func() {
		for range int(faultTime / (100 * time.Millisecond)) {
			s := m.node.Service()
			_ = s.Notify(NotifyRequest{Row: old}, &NotifyReply{})
			var reply PromiseReply
			_ = s.Promise(PromiseRequest{To: "another", From: "x", Row: old.Version, Length: time.Minute}, &reply)
			if reply.Granted {
				c.fail("%s granted a promise request for another holder", m.id)
			}
			time.Sleep(100 * time.Millisecond)
		}
	})
}

// currentRecord returns the record on the platform, regardless of faults.
func (c *cluster) currentRecord() Record {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	r, err := decodeRecord(c.store.rows[recordKey])
	if err != nil {
		panic(err)
	}
	return r
}

// setup brings a member into a state of a chart. As soon as a member is in the state,
// it calls inject, which injects the faults.
type setup func(c *cluster, inject func(*member))

// injectNow injects the faults at a holder that is already in the state.
func injectNow(c *cluster, inject func(*member)) { inject(c.members[0]) }

// onPatch injects the faults at the first holder that reaches the state of the patch.
func onPatch(state string) setup {
	return func(c *cluster, inject func(*member)) {
		for _, m := range c.members[:4] {
			m.setOnState(func(_, patch string) {
				if patch == state {
					inject(m)
				}
			})
		}
	}
}

// onJoint keeps a holder in the joint state with a lease that is not renewed, because
// its lessee is partitioned.
func onJoint(c *cluster, inject func(*member)) {
	onPatch("joint")(c, inject)
	c.partition("lessee", "*")
}

// onGrant injects the faults at the first holder when its grant is in the state.
func onGrant(c *cluster, state string, inject func(*member)) *member {
	m := c.members[0]
	m.setOnState(func(grant, _ string) {
		if grant == state {
			inject(m)
		}
	})
	return m
}

func onExtended(c *cluster, inject func(*member)) {
	onGrant(c, "extended", inject)
	c.store.set(func() { c.store.down = true })
}

// onLeave makes a holder leave and injects the faults when it is in the state.
func onLeave(state string) setup {
	return func(c *cluster, inject func(*member)) {
		m := onGrant(c, state, inject)
		c.background(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 4*faultTime)
			defer cancel()
			_ = m.node.Leave(ctx)
		})
	}
}

// setups maps each chart and state to its setup. It must contain every state.
var setups = map[string]map[string]setup{
	"grant": {
		"none":     func(c *cluster, inject func(*member)) { inject(c.add("new", "d1", false)) },
		"held":     injectNow,
		"extended": onExtended,
		"leased":   func(c *cluster, inject func(*member)) { inject(c.members[4]) },
		"leaving":  onLeave("leaving"),
		"returned": onLeave("returned"),
	},
	"patch": {
		"idle":          injectNow,
		"joint":         onJoint,
		"acknowledging": onPatch("acknowledging"),
		"acknowledged":  onPatch("acknowledged"),
		"finishing":     onPatch("finishing"),
	},
}

// runCell runs one cell of the matrix. It brings a member into the state, injects the
// faults while a patch is submitted, and checks that the cluster recovers after the
// faults have ended.
func runCell(t *testing.T, prepare setup, faults []matrixFault) []string {
	return runCluster(t, 7, 4, func(c *cluster) {
		c.add("lessee", "d1", true)
		c.waitReady()
		c.installKey()
		reached := make(chan struct{})
		var once sync.Once
		prepare(c, func(m *member) {
			once.Do(func() {
				for _, f := range faults {
					f.inject(c, m)
				}
				close(reached)
			})
		})
		base := c.currentRecord().Version
		c.background(func() { c.submit(base, ratePatch(30), "meanwhile", 4*faultTime) })
		select {
		case <-reached:
		case <-time.After(4 * faultTime):
			c.fail("the state was not reached")
		}
		time.Sleep(faultTime)
		c.verifyRecovery()
	})
}

// installKey adds the customer's key with a patch and waits until a member knows it.
func (c *cluster) installKey() {
	key := catalog.HashKey("depot's key", make([]byte, 16))
	if r := c.submit(1, "[customer depot]\nkey.main = "+key.String(), "key", 20*time.Second); r.State != StateInForce {
		c.fail("key: %+v", r)
	}
	c.ref, _ = catalog.View{Current: c.members[0].node.View().Current}.MatchKey("depot", "depot's key")
	c.waitUntil(20*time.Second, func() bool {
		ref, ok := c.members[0].node.View().MatchKey("depot", "depot's key")
		c.ref = ref
		return ok
	})
}

// TestFaultMatrix injects every fault in every state of both charts, and every pair of
// faults in every state of the patch chart. The states are read from the charts.
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
				expectNoFailures(t, failures)
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
	t.Logf("not applicable: %s", notApplicableFault)
	fmt.Printf("cells=%d passed=%d red=%d\n", cells, cells-red, red)
}

func eachState(t *testing.T, run func(chart, state string)) {
	for _, chart := range []string{"grant", "patch"} {
		for _, state := range statechart.MustLoad(chart).States() {
			if setups[chart][state] == nil {
				t.Errorf("no setup for state %s of chart %s", state, chart)
				continue
			}
			run(chart, state)
		}
	}
}

var _ services.Services = (*endpoint)(nil)
