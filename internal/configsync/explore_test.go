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

// explorer drives cores through arbitrary interleavings of their actions, of
// time, of lost requests and answers, and of operators. A node that is never
// picked is paused; one whose calls are dropped is cut off.
type explorer struct {
	pick    func(n int) int // draws a number below n
	naive   string          // a rule that is broken on purpose
	store   *fakePlatform
	time    time.Time
	nodes   []*explored
	patch   int
	lapsed  int // patches in force that a holder agreed to by having lapsed
	removed int // rows of holders that were cleaned up
	force   map[string]bool
	last    snapshot // of the store
}

type explored struct {
	core   *core
	rate   float64
	open   []*running
	served uint64
	flag   bool // validity at the last step, for a naive variant
	paused bool
	cut    bool // from the platform
}

// running is an action on its way, with what has come of it so far.
type running struct {
	action  any
	stage   int
	result  any
	granted []string
}

const exploredLength = 3 * time.Second

func newExplorer(holders int, pick func(int) int, naive string) *explorer {
	e := &explorer{
		pick: pick, naive: naive, store: newFakePlatform(),
		time: time.Unix(1000, 0), force: map[string]bool{"": true},
	}
	for i := range holders + 1 {
		vm := fmt.Sprintf("vm%d", i)
		c := newCore(coreConfig{
			vm: vm, domain: "d", address: vm, incarnation: 1, observer: i == holders,
			length: exploredLength, interval: exploredLength / 2, cleanAfter: 3 * exploredLength / 2,
		})
		e.nodes = append(e.nodes, &explored{core: c, rate: []float64{0.96, 1, 1.04}[i%3]})
	}
	return e
}

func (e *explorer) now(n *explored) time.Time {
	return time.Unix(0, 0).Add(time.Duration(float64(e.time.UnixNano()) * n.rate))
}

// run takes a number of moves and returns the first broken promise.
func (e *explorer) run(moves int) string {
	for range moves {
		e.move()
		if broken := e.check(); broken != "" {
			return broken
		}
	}
	return ""
}

// move does one step of the world.
func (e *explorer) move() {
	n := e.nodes[e.pick(len(e.nodes))]
	switch k := e.pick(240); {
	case k == 0:
		n.paused = e.pick(4) == 0
	case k == 1:
		n.cut = e.pick(4) == 0
	case k <= 3:
		e.propose()
	case k < 60:
		e.time = e.time.Add(time.Duration(1+e.pick(80)) * time.Millisecond)
	case n.paused:
	case k < 110:
		e.step(n)
	case len(n.open) > 0:
		e.advance(n, e.pick(len(n.open)))
	}
}

// propose makes a patch pending if none is.
func (e *explorer) propose() {
	row, record := e.snapshot().row, e.snapshot().record
	if record.Pending != nil {
		return
	}
	e.patch++
	next := record.withPending(fmt.Sprint(e.patch), fmt.Sprintf("object%d", e.patch), record.Version+1)
	_, _ = e.store.CompareAndSet(context.Background(), recordKey, row.Version, encode(next), fmt.Sprint("p", e.patch))
}

func (e *explorer) step(n *explored) {
	if e.naive == "acknowledge in spite of promises" {
		clear(n.core.book.given)
	}
	for _, a := range n.core.step(e.now(n)) {
		if _, ok := a.(notify); !ok {
			n.open = append(n.open, &running{action: a})
		}
	}
	n.flag = n.core.valid(e.now(n))
}

// advance moves one action on by a stage; at random its request or its answer
// is lost. The last stage hands the result to the core.
func (e *explorer) advance(n *explored, i int) {
	r := n.open[i]
	done := false
	switch a := r.action.(type) {
	case renew:
		done = e.renew(n, r, a)
	case askPromises:
		done = e.promise(n, r, a)
	case askLease:
		done = e.lease(n, r, a)
	default:
		done = e.simple(n, r)
	}
	if done {
		n.open = slices.Delete(n.open, i, i+1)
		n.core.handle(e.now(n), r.result)
	}
}

// lost reports whether a message is lost: some are, and all of the platform's
// while the node is cut off from it.
func (e *explorer) lost(cut bool) bool { return cut || e.pick(12) == 0 }

func (e *explorer) renew(n *explored, r *running, a renew) bool {
	r.stage++
	switch r.stage {
	case 1:
		r.result = e.write(n, a)
		return false
	case 2:
		m := r.result.(renewed)
		if m.wrote && !e.lost(n.cut) {
			m.read, m.snap = true, e.snapshot()
			if e.naive == "renew without reading" {
				m.snap = n.core.snap
			}
		}
		r.result = m
		return false
	}
	if m := r.result.(renewed); e.naive == "count the grant from the answer" {
		m.sent = e.now(n)
		r.result = m
	}
	return true
}

// write writes the holder's row as Node.renew does.
func (e *explorer) write(n *explored, a renew) renewed {
	ctx := context.Background()
	m := renewed{id: a.holder.ID, acked: a.holder.Acked, voters: a.holder.Voters, sent: e.now(n)}
	version := a.version
	if e.lost(n.cut) {
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
	m.unsure = err != nil || e.lost(n.cut)
	m.wrote = !m.unsure
	return m
}

func (e *explorer) snapshot() snapshot {
	row := e.store.rows[recordKey]
	if e.last.row.Version == row.Version && e.last.current != nil {
		return e.last
	}
	record, err := decodeRecord(row)
	if err != nil {
		panic(err)
	}
	s := snapshot{row: row, record: record, current: &catalog.Document{Version: record.Version}}
	if record.Pending != nil {
		s.pending = &catalog.Document{Version: record.Pending.Version}
	}
	e.last = s
	return s
}

// promise asks one holder at each stage, in any order, and ends at random.
func (e *explorer) promise(n *explored, r *running, a askPromises) bool {
	if r.result == nil {
		r.result = promisesDone{sent: e.now(n), id: a.ask.From}
		return false
	}
	if len(a.to) == 0 || e.pick(4) == 0 {
		m := r.result.(promisesDone)
		m.granted = r.granted
		r.result = m
		return true
	}
	to := a.to[e.pick(len(a.to))]
	for _, other := range e.nodes {
		if other.core.own.id != to.ID || other.paused || e.lost(false) {
			continue
		}
		ask := a.ask
		ask.To = to.ID
		if e.naive == "promise to those who know less" {
			ask.Row = ^uint64(0)
		}
		reply := other.core.promise(e.now(other), ask)
		switch {
		case reply.Granted && !e.lost(false):
			r.granted = append(r.granted, to.ID)
		case reply.Row.Version > n.core.snap.row.Version:
			n.core.handle(e.now(n), configRead{ok: true, snap: other.core.snap})
		}
	}
	return false
}

// simple runs the actions that have one effect.
func (e *explorer) simple(n *explored, r *running) bool {
	r.stage++
	if r.stage > 1 {
		return true
	}
	ctx := context.Background()
	switch a := r.action.(type) {
	case readConfig:
		r.result = configRead{own: true, ok: !e.lost(n.cut), snap: e.snapshot()}
	case listHolders:
		rows, _ := e.store.List(ctx, holderPrefix)
		switch e.naive {
		case "lapsed without a majority":
			rows = changed(rows, func(h *Holder, acked []string) { h.Voters = acked })
		case "lapsed at once":
			rows = changed(rows, func(h *Holder, _ []string) { h.Length = time.Millisecond })
		}
		r.result = holdersListed{ok: !e.lost(n.cut), record: a.record, began: e.now(n), ended: e.now(n), rows: rows}
	case finish:
		if !e.lost(n.cut) {
			e.finish(a)
		}
		r.result = finishDone{}
	case propose:
		if !e.lost(n.cut) {
			_, _ = e.store.CompareAndSet(ctx, recordKey, a.version, a.value, a.request)
		}
		r.result = proposed{}
	}
	return false
}

// lease asks any one holder.
func (e *explorer) lease(n *explored, r *running, a askLease) bool {
	r.stage++
	if r.stage == 1 {
		r.result = leaseDone{sent: e.now(n)}
		return false
	}
	other := e.nodes[e.pick(len(e.nodes))]
	if r.stage > 2 || other == n || other.paused || e.lost(false) {
		return r.stage > 2
	}
	reply := other.core.lease(e.now(other), a.ask)
	m := r.result.(leaseDone)
	m.ok, m.length = reply.Granted && !e.lost(false), reply.Length
	if e.naive == "a lease outlives the grant" {
		m.length += exploredLength
	}
	r.result = m
	if reply.Row.Version > n.core.snap.row.Version {
		n.core.handle(e.now(n), configRead{ok: true, snap: other.core.snap})
	}
	return false
}

func (e *explorer) finish(a finish) {
	ctx := context.Background()
	if _, err := e.store.CompareAndSet(ctx, recordKey, a.version, a.value, a.request); err != nil {
		return
	}
	for _, row := range a.gone {
		if e.store.Delete(ctx, row.Key, row.Version, "") == nil {
			e.removed++
		}
	}
}

// changed returns the rows as a naive variant reads them. acked are the holders
// that have acknowledged anything.
func changed(rows []services.Row, change func(h *Holder, acked []string)) []services.Row {
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

// check returns a broken promise of a node that serves at this moment.
func (e *explorer) check() string {
	record := e.snapshot().record
	if !e.force[record.Object] && len(record.Barred) > 0 {
		e.lapsed++
	}
	e.force[record.Object] = true
	for _, n := range e.nodes {
		valid := n.core.valid(e.now(n))
		switch e.naive {
		case "trust the last version read":
			valid = n.core.snap.row.Version > 0
		case "trust a grant after a pause":
			valid = n.flag
		}
		if broken := n.check(valid, record, e.force); broken != "" {
			return broken
		}
	}
	return ""
}

func (n *explored) check(valid bool, record Record, force map[string]bool) string {
	if !valid {
		return ""
	}
	known := n.core.snap.record
	joint := known.Pending != nil && known.Pending.Object == record.Object
	switch {
	case known.Object != record.Object && !joint:
		return fmt.Sprintf("%s serves version %d while %d is in force", n.core.own.id, known.Version, record.Version)
	case !force[known.Object]:
		return fmt.Sprintf("%s serves what never was in force", n.core.own.id)
	case known.Version < n.served:
		return fmt.Sprintf("%s went back to version %d", n.core.own.id, known.Version)
	}
	n.served = known.Version
	return ""
}

// exploredMoves is the length of one history.
const exploredMoves = 4000

func TestExploration(t *testing.T) {
	for holders := 3; holders <= 5; holders++ {
		t.Run(fmt.Sprintf("%d holders", holders), func(t *testing.T) {
			t.Parallel()
			patches, extended, lapsed, removed := 0, 0, 0, 0
			rapid.Check(t, func(rt *rapid.T) {
				pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "pick") }
				e := newExplorer(holders, pick, "")
				if broken := e.run(exploredMoves / 10); broken != "" {
					rt.Fatal(broken)
				}
			})
			for seed := range uint64(150) {
				e := newExplorer(holders, rand.New(rand.NewPCG(seed, 1)).IntN, "")
				if broken := e.run(exploredMoves); broken != "" {
					t.Fatalf("seed %d: %s", seed, broken)
				}
				patches += len(e.force) - 1
				lapsed += e.lapsed
				removed += e.removed
				for _, n := range e.nodes {
					if n.core.grant.State() == "extended" {
						extended++
					}
				}
			}
			t.Logf("%d patches in force, %d with a lapsed holder, %d rows cleaned up, %d grants extended by promises at the end", patches, lapsed, removed, extended)
			if patches == 0 || extended == 0 || lapsed == 0 || removed == 0 {
				t.Error("the exploration does not reach what it has to check")
			}
		})
	}
}

// TestExplorationFindsNaiveVariants proves that the check can fail: each rule
// that is broken on purpose has to be found.
func TestExplorationFindsNaiveVariants(t *testing.T) {
	for _, c := range []struct {
		naive string
		seed  uint64 // where the search starts
	}{
		{"trust the last version read", 0},
		{"trust a grant after a pause", 0},
		{"acknowledge in spite of promises", 0},
		{"promise to those who know less", 0},
		{"lapsed without a majority", 0},
		{"lapsed at once", 300},
		{"count the grant from the answer", 0},
		{"renew without reading", 0},
		{"a lease outlives the grant", 0},
	} {
		t.Run(c.naive, func(t *testing.T) {
			t.Parallel()
			for seed := c.seed; seed < c.seed+1500; seed++ {
				e := newExplorer(3+int(seed%3), rand.New(rand.NewPCG(seed, 2)).IntN, c.naive)
				if broken := e.run(exploredMoves); broken != "" {
					t.Logf("seed %d: %s", seed, broken)
					return
				}
			}
			t.Error("the exploration did not find the broken rule")
		})
	}
}
