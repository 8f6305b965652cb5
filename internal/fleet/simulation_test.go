package fleet

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chicoryline/internal/services"
)

var testTiming = Timing{
	Heartbeat: DefaultHeartbeatInterval, Suspect: DefaultSuspectAfter,
	Dead: DefaultDeadAfter, List: DefaultListInterval,
}

// simulation delivers heartbeats between tables in virtual time.
type simulation struct {
	now          time.Time
	tables       map[string]*Table // running VMs by id
	order        []string
	isLost       func(from, to string) bool // whether a message is dropped
	platformList []services.VM
}

func newSimulation(n, domains int) *simulation {
	w := &simulation{now: time.Unix(1000, 0), tables: map[string]*Table{}, isLost: func(string, string) bool { return false }}
	for i := range n {
		vm := services.VM{ID: fmt.Sprintf("vm-%02d", i), Domain: fmt.Sprintf("d%d", i%domains), Address: fmt.Sprintf("h%02d:1", i)}
		w.order = append(w.order, vm.ID)
		w.platformList = append(w.platformList, vm)
		w.start(vm)
	}
	return w
}

func (w *simulation) start(vm services.VM) *Table {
	t := NewTable(vm, w.now.UnixNano(), testTiming, rand.New(rand.NewSource(int64(len(vm.ID)))), w.now)
	w.tables[vm.ID] = t
	return t
}

func (w *simulation) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(testTiming.Heartbeat)
		for _, id := range w.order {
			if t := w.tables[id]; t != nil {
				w.tick(id, t)
			}
		}
	}
}

func (w *simulation) tick(id string, t *Table) {
	if w.now.UnixMilli()%time.Second.Milliseconds() == 0 {
		t.ApplyVMList(w.platformList)
	}
	plan := t.Tick(w.now)
	for _, call := range plan.Calls {
		to, other := w.tableAt(call.Address)
		if other == nil || w.isLost(id, to) {
			t.HandleCallFailure(call.VM)
			continue
		}
		reply := other.Receive(call.Args, w.now)
		if w.isLost(to, id) {
			t.HandleCallFailure(call.VM)
			continue
		}
		t.HandleReply(call.VM, reply, w.now)
	}
	if to, other := w.tableAt(plan.Sync); other != nil && !w.isLost(id, to) && !w.isLost(to, id) {
		t.ApplyRecords(other.Records(), w.now)
	}
}

func (w *simulation) tableAt(address string) (string, *Table) {
	for _, id := range w.order {
		if t := w.tables[id]; t != nil && t.Self().VM.Address == address {
			return id, t
		}
	}
	return "", nil
}

// states returns the states of the other members as the VM sees them.
func (w *simulation) states(id string) map[string]string {
	states := map[string]string{}
	for _, m := range w.tables[id].Members() {
		states[m.VM.ID] = m.State.String()
	}
	return states
}

// disagreements returns the VMs whose set of alive members differs from the running VMs.
func (w *simulation) disagreements() []string {
	var bad []string
	for id, t := range w.tables {
		alive := map[string]int64{}
		for _, m := range t.Members() {
			if m.State == Alive {
				alive[m.VM.ID] = m.Incarnation
			}
		}
		want := map[string]int64{}
		for other, o := range w.tables {
			if other != id {
				want[other] = o.Self().Incarnation
			}
		}
		if !cmp.Equal(alive, want) {
			bad = append(bad, fmt.Sprintf("%s: %v", id, cmp.Diff(want, alive)))
		}
	}
	return bad
}

func (w *simulation) wantAgreement(t *testing.T) {
	t.Helper()
	for _, line := range w.disagreements() {
		t.Error(line)
	}
}

// wantNoChange runs the simulation and fails if any member changes its state.
func (w *simulation) wantNoChange(t *testing.T, d time.Duration) {
	t.Helper()
	for _, table := range w.tables {
		table.Changes()
	}
	w.run(d)
	for id, table := range w.tables {
		for _, c := range table.Changes() {
			t.Errorf("%s: %s became %v", id, c.VM.ID, c.State)
		}
	}
}
