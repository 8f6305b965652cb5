package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"chicoryline/internal/steward"
)

// watchInterval is the pause between two looks at the stewards' rows; an order follows
// its row within a few milliseconds.
const watchInterval = 3 * time.Millisecond

// watcher notes changes of primaries and broken rules with their time, and pauses VMs
// that act as stewards.
type watcher struct {
	run  *run
	rand *rand.Rand
	stop atomic.Bool
	wg   sync.WaitGroup
	// stewardRows are the stewards' rows as last seen, leads the primaries by group.
	stewardRows map[string]string
	primaries   map[string]string
	problems    map[string]int
	pauses      sync.WaitGroup

	// mu guards the fields below it: whether a VM is paused, and whether the faults
	// are over.
	mu                   sync.Mutex
	vmPaused, faultsOver bool
}

func (r *run) watch() *watcher {
	w := &watcher{
		run: r, rand: rand.New(rand.NewPCG(r.seed, watcherStream)),
		stewardRows: map[string]string{}, primaries: map[string]string{}, problems: map[string]int{},
	}
	w.wg.Go(func() {
		for !w.stop.Load() {
			w.poll()
			time.Sleep(watchInterval)
		}
	})
	return w
}

// stopPausing pauses no more VMs and waits until all run.
func (w *watcher) stopPausing() {
	w.mu.Lock()
	w.faultsOver = true
	w.mu.Unlock()
	w.pauses.Wait()
}

func (w *watcher) end() {
	w.stop.Store(true)
	w.wg.Wait()
}

func (w *watcher) poll() {
	for _, g := range w.run.world.Groups {
		id := "none"
		if p := g.Primary(); p != nil {
			id = p.ID
		}
		if old := w.primaries[g.Name()]; old != "" && old != id {
			w.run.recordEvent("PRIMARY of %s: %s after %s", g.Name(), id, old)
		}
		w.primaries[g.Name()] = id
		if list := g.Problems(); len(list) > w.problems[g.Name()] {
			w.run.recordEvent("BROKEN %s (%d)", list[w.problems[g.Name()]], len(list)-w.problems[g.Name()])
			w.problems[g.Name()] = len(list)
		}
	}
	for group, value := range w.run.world.Store.Rows(steward.Table) {
		if w.stewardRows[group] == string(value) {
			continue
		}
		w.stewardRows[group] = string(value)
		var row struct {
			Holder, Target string
			Token          uint64
			Active         bool
		}
		if err := json.Unmarshal(value, &row); err != nil {
			w.run.ledger.addProblem("row of %s: %v", group, err)
			continue
		}
		w.run.recordEvent("steward of %s: %s token %d active %t target %q", group, row.Holder, row.Token, row.Active, row.Target)
		if w.run.options.Series && row.Active {
			w.maybePauseSteward(row.Holder)
		}
	}
}

// maybePauseSteward stops a VM that has just written its row, now and then: before its order is
// sent, while it waits for the answer, or after.
func (w *watcher) maybePauseSteward(name string) {
	wait := time.Duration(w.rand.IntN(4)*w.rand.IntN(150)) * time.Millisecond
	length := time.Duration(500+w.rand.IntN(5000)) * time.Millisecond
	var vm int
	if w.rand.IntN(3) > 0 {
		return
	}
	if _, err := fmt.Sscanf(strings.TrimPrefix(name, "vm"), "%d", &vm); err != nil || vm >= len(w.run.vms) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.vmPaused || w.faultsOver {
		return
	}
	w.vmPaused = true
	w.pauses.Go(func() {
		time.Sleep(wait)
		w.run.recordEvent("pause steward %s for %v", name, length)
		w.run.vms[vm].signal(syscall.SIGSTOP)
		time.Sleep(length)
		w.run.vms[vm].signal(syscall.SIGCONT)
		w.mu.Lock()
		w.vmPaused = false
		w.mu.Unlock()
	})
}
