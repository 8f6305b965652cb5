package configsync

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chicoryline/internal/catalog"
	"chicoryline/internal/services"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// explorer runs cores through random interleavings of actions, passing time, lost
// requests and answers, pauses, partitions and patches of operators.
type explorer struct {
	pick           func(n int) int // draws a number in [0, n)
	brokenRule     string          // name of a rule that is deliberately broken, or empty
	store          *fakePlatform
	time           time.Time
	nodes          []*exploredNode
	patches        int
	agreedByExpiry int             // patches that took effect with an expired holder
	removedRows    int             // rows of dead holders that were removed
	everInForce    map[string]bool // objects that were ever in force
	lastSnapshot   snapshot        // of the store
}

type exploredNode struct {
	core            *core
	clockRate       float64
	inFlight        []*runningAction
	servedVersion   uint64
	validAtLastStep bool // isValid at the last step, used by a broken rule
	paused          bool
	partitioned     bool // partitioned from the platform
}

// runningAction is an action in flight with its partial result.
type runningAction struct {
	action  any
	stage   int
	result  any
	granted []string
}

const exploredGrantLength = 3 * time.Second

func newExplorer(holders int, pick func(int) int, brokenRule string) *explorer {
	e := &explorer{
		pick: pick, brokenRule: brokenRule, store: newFakePlatform(),
		time: time.Unix(1000, 0), everInForce: map[string]bool{"": true},
	}
	for i := range holders + 1 {
		vm := fmt.Sprintf("vm%d", i)
		c := newCore(coreConfig{
			vm: vm, domain: "d", address: vm, incarnation: 1, observer: i == holders,
			grantLength: exploredGrantLength, renewInterval: exploredGrantLength / 2, cleanupDelay: 3 * exploredGrantLength / 2,
		})
		e.nodes = append(e.nodes, &exploredNode{core: c, clockRate: []float64{0.96, 1, 1.04}[i%3]})
	}
	return e
}

func (e *explorer) now(n *exploredNode) time.Time {
	return time.Unix(0, 0).Add(time.Duration(float64(e.time.UnixNano()) * n.clockRate))
}

// run makes a number of moves and returns the first broken invariant.
func (e *explorer) run(moves int) string {
	for range moves {
		e.move()
		if broken := e.brokenInvariant(); broken != "" {
			return broken
		}
	}
	return ""
}

// move makes one random step.
func (e *explorer) move() {
	n := e.nodes[e.pick(len(e.nodes))]
	switch k := e.pick(240); {
	case k == 0:
		n.paused = e.pick(4) == 0
	case k == 1:
		n.partitioned = e.pick(4) == 0
	case k <= 3:
		e.propose()
	case k < 60:
		e.time = e.time.Add(time.Duration(1+e.pick(80)) * time.Millisecond)
	case n.paused:
	case k < 110:
		e.step(n)
	case len(n.inFlight) > 0:
		e.advance(n, e.pick(len(n.inFlight)))
	}
}

// propose makes a new patch pending unless one is pending already.
func (e *explorer) propose() {
	row, record := e.snapshot().row, e.snapshot().record
	if record.Pending != nil {
		return
	}
	e.patches++
	next := record.withPending(fmt.Sprint(e.patches), fmt.Sprintf("object%d", e.patches), record.Version+1)
	_, _ = e.store.CompareAndSet(context.Background(), recordKey, row.Version, encode(next), fmt.Sprint("p", e.patches))
}

func (e *explorer) step(n *exploredNode) {
	if e.brokenRule == "acknowledge despite promises" {
		clear(n.core.promiseTable.active)
	}
	for _, a := range n.core.step(e.now(n)) {
		if _, ok := a.(notify); !ok {
			n.inFlight = append(n.inFlight, &runningAction{action: a})
		}
	}
	n.validAtLastStep = n.core.isValid(e.now(n))
}

// advance moves one action to its next stage. Its request or answer may be lost at
// random. The last stage passes the result to the core.
func (e *explorer) advance(n *exploredNode, i int) {
	r := n.inFlight[i]
	done := false
	switch a := r.action.(type) {
	case renew:
		done = e.advanceRenewal(n, r, a)
	case requestPromises:
		done = e.advancePromises(n, r, a)
	case requestLease:
		done = e.advanceLease(n, r, a)
	default:
		done = e.advanceSimple(n, r)
	}
	if done {
		n.inFlight = slices.Delete(n.inFlight, i, i+1)
		n.core.handle(e.now(n), r.result)
	}
}

// isLost reports whether a message is lost: one in 12 at random, and all messages to
// and from the platform while the node is partitioned from it.
func (e *explorer) isLost(partitioned bool) bool { return partitioned || e.pick(12) == 0 }

// advanceRenewal writes the holder row, then reads the configuration.
func (e *explorer) advanceRenewal(n *exploredNode, r *runningAction, a renew) bool {
	r.stage++
	switch r.stage {
	case 1:
		r.result = e.writeHolderRow(n, a)
		return false
	case 2:
		m := r.result.(renewed)
		if m.wrote && !e.isLost(n.partitioned) {
			m.read, m.snap = true, e.snapshot()
			if e.brokenRule == "renew without reading the configuration" {
				m.snap = n.core.snap
			}
		}
		r.result = m
		return false
	}
	if m := r.result.(renewed); e.brokenRule == "start the grant at the answer" {
		m.sent = e.now(n)
		r.result = m
	}
	return true
}

// writeHolderRow writes the holder row as Node.renew does.
func (e *explorer) writeHolderRow(n *exploredNode, a renew) renewed {
	ctx := context.Background()
	m := renewed{id: a.holder.ID, acked: a.holder.Acked, voters: a.holder.Voters, sent: e.now(n)}
	version := a.version
	if e.isLost(n.partitioned) {
		return m
	}
	if a.reread {
		row, err := e.store.Get(ctx, holderKey(a.holder.ID))
		if err != nil && version > 0 {
			m.removed = true
			return m
		}
		version = row.Version
	}
	row, err := e.store.CompareAndSet(ctx, holderKey(a.holder.ID), version, encode(a.holder), a.request)
	m.version = row.Version
	m.outcomeUnknown = err != nil || e.isLost(n.partitioned)
	m.wrote = !m.outcomeUnknown
	return m
}

func (e *explorer) snapshot() snapshot {
	row := e.store.rows[recordKey]
	if e.lastSnapshot.row.Version == row.Version && e.lastSnapshot.current != nil {
		return e.lastSnapshot
	}
	record, err := decodeRecord(row)
	if err != nil {
		panic(err)
	}
	s := snapshot{row: row, record: record, current: &catalog.Document{Version: record.Version}}
	if record.Pending != nil {
		s.pending = &catalog.Document{Version: record.Pending.Version}
	}
	e.lastSnapshot = s
	return s
}

// advancePromises asks one random holder at each stage and ends after a random number
// of them.
func (e *explorer) advancePromises(n *exploredNode, r *runningAction, a requestPromises) bool {
	if r.result == nil {
		r.result = promisesDone{sent: e.now(n), id: a.request.From}
		return false
	}
	if len(a.holders) == 0 || e.pick(4) == 0 {
		m := r.result.(promisesDone)
		m.granted = r.granted
		r.result = m
		return true
	}
	to := a.holders[e.pick(len(a.holders))]
	for _, other := range e.nodes {
		if other.core.own.id != to.ID || other.paused || e.isLost(false) {
			continue
		}
		request := a.request
		request.To = to.ID
		if e.brokenRule == "promise to holders with an older row" {
			request.Row = ^uint64(0)
		}
		reply := other.core.handlePromise(e.now(other), request)
		switch {
		case reply.Granted && !e.isLost(false):
			r.granted = append(r.granted, to.ID)
		case reply.Row.Version > n.core.snap.row.Version:
			n.core.handle(e.now(n), configRead{ok: true, snap: other.core.snap})
		}
	}
	return false
}

// advanceSimple executes the actions that have a single effect.
func (e *explorer) advanceSimple(n *exploredNode, r *runningAction) bool {
	r.stage++
	if r.stage > 1 {
		return true
	}
	ctx := context.Background()
	switch a := r.action.(type) {
	case readConfig:
		r.result = configRead{endsRead: true, ok: !e.isLost(n.partitioned), snap: e.snapshot()}
	case listHolders:
		rows, _ := e.store.List(ctx, holderPrefix)
		switch e.brokenRule {
		case "expired without a majority":
			rows = alterRows(rows, func(h *Holder, acked []string) { h.Voters = acked })
		case "expired at once":
			rows = alterRows(rows, func(h *Holder, _ []string) { h.Length = time.Millisecond })
		}
		r.result = holdersListed{ok: !e.isLost(n.partitioned), recordVersion: a.recordVersion, began: e.now(n), ended: e.now(n), rows: rows}
	case finish:
		if !e.isLost(n.partitioned) {
			e.finishPatch(a)
		}
		r.result = finishDone{}
	case propose:
		if !e.isLost(n.partitioned) {
			_, _ = e.store.CompareAndSet(ctx, recordKey, a.version, a.value, a.request)
		}
		r.result = proposed{}
	}
	return false
}

// advanceLease asks one random node for a lease.
func (e *explorer) advanceLease(n *exploredNode, r *runningAction, a requestLease) bool {
	r.stage++
	if r.stage == 1 {
		r.result = leaseDone{sent: e.now(n)}
		return false
	}
	other := e.nodes[e.pick(len(e.nodes))]
	if r.stage > 2 || other == n || other.paused || e.isLost(false) {
		return r.stage > 2
	}
	reply := other.core.handleLease(e.now(other), a.request)
	m := r.result.(leaseDone)
	m.ok, m.length = reply.Granted && !e.isLost(false), reply.Length
	if e.brokenRule == "lease outlasts the grant" {
		m.length += exploredGrantLength
	}
	r.result = m
	if reply.Row.Version > n.core.snap.row.Version {
		n.core.handle(e.now(n), configRead{ok: true, snap: other.core.snap})
	}
	return false
}

func (e *explorer) finishPatch(a finish) {
	ctx := context.Background()
	if _, err := e.store.CompareAndSet(ctx, recordKey, a.version, a.value, a.request); err != nil {
		return
	}
	for _, row := range a.removable {
		if e.store.Delete(ctx, row.Key, row.Version, "") == nil {
			e.removedRows++
		}
	}
}

// alterRows returns the rows with a change to each holder, which simulates a broken
// rule. acked are the ids of the holders that have acknowledged any attempt.
func alterRows(rows []services.Row, change func(h *Holder, acked []string)) []services.Row {
	holders, err := decodeHolders(rows)
	if err != nil {
		panic(err)
	}
	var acked []string
	for _, h := range holders {
		if h.Acked > 0 {
			acked = append(acked, h.ID)
		}
	}
	out := slices.Clone(rows)
	for i, h := range holders {
		change(&h, acked)
		out[i].Value = encode(h)
	}
	return out
}

// brokenInvariant returns a description of an invariant that a serving node breaks, or
// an empty string.
func (e *explorer) brokenInvariant() string {
	record := e.snapshot().record
	if !e.everInForce[record.Object] && len(record.Barred) > 0 {
		e.agreedByExpiry++
	}
	e.everInForce[record.Object] = true
	for _, n := range e.nodes {
		valid := n.core.isValid(e.now(n))
		switch e.brokenRule {
		case "serve the last version read":
			valid = n.core.snap.row.Version > 0
		case "trust a grant after a pause":
			valid = n.validAtLastStep
		}
		if broken := n.brokenInvariant(valid, record, e.everInForce); broken != "" {
			return broken
		}
	}
	return ""
}

// brokenInvariant checks that a node with a valid grant or lease serves what the
// version in force allows, nothing that was never in force, and no older version than
// before.
func (n *exploredNode) brokenInvariant(valid bool, record Record, everInForce map[string]bool) string {
	if !valid {
		return ""
	}
	known := n.core.snap.record
	joint := known.Pending != nil && known.Pending.Object == record.Object
	switch {
	case known.Object != record.Object && !joint:
		return fmt.Sprintf("%s serves version %d while %d is in force", n.core.own.id, known.Version, record.Version)
	case !everInForce[known.Object]:
		return fmt.Sprintf("%s serves a version that was never in force", n.core.own.id)
	case known.Version < n.servedVersion:
		return fmt.Sprintf("%s went back to version %d", n.core.own.id, known.Version)
	}
	n.servedVersion = known.Version
	return ""
}

// movesPerRun is the number of moves in one run.
const movesPerRun = 4000

func TestExploration(t *testing.T) {
	for holders := 3; holders <= 5; holders++ {
		t.Run(fmt.Sprintf("%d holders", holders), func(t *testing.T) {
			t.Parallel()
			patches, extended, expired, removed := 0, 0, 0, 0
			rapid.Check(t, func(rt *rapid.T) {
				pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "pick") }
				e := newExplorer(holders, pick, "")
				if broken := e.run(movesPerRun / 10); broken != "" {
					rt.Fatal(broken)
				}
			})
			for seed := range uint64(150) {
				e := newExplorer(holders, rand.New(rand.NewPCG(seed, 1)).IntN, "")
				if broken := e.run(movesPerRun); broken != "" {
					t.Fatalf("seed %d: %s", seed, broken)
				}
				patches += len(e.everInForce) - 1
				expired += e.agreedByExpiry
				removed += e.removedRows
				for _, n := range e.nodes {
					if n.core.grant.State() == "extended" {
						extended++
					}
				}
			}
			t.Logf("%d patches in force, %d with an expired holder, %d rows removed, %d grants extended by promises at the end", patches, expired, removed, extended)
			if patches == 0 || extended == 0 || expired == 0 || removed == 0 {
				t.Error("the exploration did not reach every kind of event")
			}
		})
	}
}

// TestExplorationDetectsBrokenRules checks that the exploration detects each of the
// deliberately broken rules.
func TestExplorationDetectsBrokenRules(t *testing.T) {
	for _, c := range []struct {
		brokenRule string
		seed       uint64 // first seed of the search
	}{
		{"serve the last version read", 0},
		{"trust a grant after a pause", 0},
		{"acknowledge despite promises", 0},
		{"promise to holders with an older row", 0},
		{"expired without a majority", 0},
		{"expired at once", 300},
		{"start the grant at the answer", 0},
		{"renew without reading the configuration", 0},
		{"lease outlasts the grant", 0},
	} {
		t.Run(c.brokenRule, func(t *testing.T) {
			t.Parallel()
			for seed := c.seed; seed < c.seed+1500; seed++ {
				e := newExplorer(3+int(seed%3), rand.New(rand.NewPCG(seed, 2)).IntN, c.brokenRule)
				if broken := e.run(movesPerRun); broken != "" {
					t.Logf("seed %d: %s", seed, broken)
					return
				}
			}
			t.Error("the exploration did not find the broken rule")
		})
	}
}
