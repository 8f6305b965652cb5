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

// watchInterval is the pause between two polls of the stewards' rows. A steward sends its
// promotion request within a few milliseconds after it wrote its row.
const watchInterval = 3 * time.Millisecond

// watcher records changes of primaries and violations that the stand-ins detect, and pauses
// VMs that act as stewards.
type watcher struct {
	run  *run
	rand *rand.Rand
	stop atomic.Bool
	wg   sync.WaitGroup
	// stewardRows, primaries and problems hold what the last poll found, by group: the steward
	// row, the ID of the primary and the number of violations.
	stewardRows map[string]string
	primaries   map[string]string
	problems    map[string]int
	pauses      sync.WaitGroup

	// mu guards the fields below it: whether a VM is paused, and whether no more VMs are
	// to be paused.
	mu                   sync.Mutex
	vmPaused, faultsOver bool
}

// watch starts a watcher.
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

// stopPausing prevents further pauses and waits until all VMs run again.
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

// poll records what has changed since the last poll.
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
		if list := g.Violations(); len(list) > w.problems[g.Name()] {
			w.run.recordEvent("VIOLATION %s (%d)", list[w.problems[g.Name()]], len(list)-w.problems[g.Name()])
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

// maybePauseSteward pauses, with a probability of one third, a VM that has just written its
// steward row. The random wait hits the time before its promotion request, while it waits for
// the answer, or after.
func (w *watcher) maybePauseSteward(name string) {
	wait := time.Duration(w.rand.IntN(4)*w.rand.IntN(150)) * time.Millisecond
	duration := time.Duration(500+w.rand.IntN(5000)) * time.Millisecond
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
		w.run.recordEvent("pause steward %s for %v", name, duration)
		w.run.vms[vm].signal(syscall.SIGSTOP)
		time.Sleep(duration)
		w.run.vms[vm].signal(syscall.SIGCONT)
		w.mu.Lock()
		w.vmPaused = false
		w.mu.Unlock()
	})
}
