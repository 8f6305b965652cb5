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

// watchPause is the pause between two looks at the stewards' rows; an order follows
// its row within a few milliseconds.
const watchPause = 3 * time.Millisecond

// watcher notes changes of primaries and broken rules with their time, and pauses VMs
// that act as stewards.
type watcher struct {
	run  *run
	rand *rand.Rand
	stop atomic.Bool
	wg   sync.WaitGroup
	// rows are the stewards' rows as last seen, leads the primaries by group.
	rows     map[string]string
	leads    map[string]string
	problems map[string]int
	pauses   sync.WaitGroup

	// mu guards the fields below it: whether a VM is paused, and whether the faults
	// are over.
	mu           sync.Mutex
	paused, calm bool
}

func (r *run) watch() *watcher {
	w := &watcher{
		run: r, rand: rand.New(rand.NewPCG(r.seed, watcherStream)),
		rows: map[string]string{}, leads: map[string]string{}, problems: map[string]int{},
	}
	w.wg.Go(func() {
		for !w.stop.Load() {
			w.look()
			time.Sleep(watchPause)
		}
	})
	return w
}

// calmDown pauses no more VMs and waits until all run.
func (w *watcher) calmDown() {
	w.mu.Lock()
	w.calm = true
	w.mu.Unlock()
	w.pauses.Wait()
}

func (w *watcher) end() {
	w.stop.Store(true)
	w.wg.Wait()
}

func (w *watcher) look() {
	for _, g := range w.run.world.Groups {
		id := "none"
		if p := g.Primary(); p != nil {
			id = p.ID
		}
		if old := w.leads[g.Name()]; old != "" && old != id {
			w.run.note("PRIMARY of %s: %s after %s", g.Name(), id, old)
		}
		w.leads[g.Name()] = id
		if list := g.Problems(); len(list) > w.problems[g.Name()] {
			w.run.note("BROKEN %s (%d)", list[w.problems[g.Name()]], len(list)-w.problems[g.Name()])
			w.problems[g.Name()] = len(list)
		}
	}
	for group, value := range w.run.world.Store.Rows(steward.Table) {
		if w.rows[group] == string(value) {
			continue
		}
		w.rows[group] = string(value)
		var row struct {
			Holder, Target string
			Token          uint64
			Active         bool
		}
		if err := json.Unmarshal(value, &row); err != nil {
			w.run.ledger.problem("row of %s: %v", group, err)
			continue
		}
		w.run.note("steward of %s: %s token %d active %t target %q", group, row.Holder, row.Token, row.Active, row.Target)
		if w.run.options.Series && row.Active {
			w.pause(row.Holder)
		}
	}
}

// pause stops a VM that has just written its row, now and then: before its order is
// sent, while it waits for the answer, or after.
func (w *watcher) pause(name string) {
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
	if w.paused || w.calm {
		return
	}
	w.paused = true
	w.pauses.Go(func() {
		time.Sleep(wait)
		w.run.note("pause steward %s for %v", name, length)
		w.run.vms[vm].signal(syscall.SIGSTOP)
		time.Sleep(length)
		w.run.vms[vm].signal(syscall.SIGCONT)
		w.mu.Lock()
		w.paused = false
		w.mu.Unlock()
	})
}
