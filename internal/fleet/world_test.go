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

// world passes heartbeats between tables in virtual time.
type world struct {
	now    time.Time
	tables map[string]*Table // running VMs by id
	order  []string
	lost   func(from, to string) bool // packets lost on the way
	list   []services.VM
}

func newWorld(n, domains int) *world {
	w := &world{now: time.Unix(1000, 0), tables: map[string]*Table{}, lost: func(string, string) bool { return false }}
	for i := range n {
		vm := services.VM{ID: fmt.Sprintf("vm-%02d", i), Domain: fmt.Sprintf("d%d", i%domains), Address: fmt.Sprintf("h%02d:1", i)}
		w.order = append(w.order, vm.ID)
		w.list = append(w.list, vm)
		w.start(vm)
	}
	return w
}

func (w *world) start(vm services.VM) *Table {
	t := NewTable(vm, w.now.UnixNano(), testTiming, rand.New(rand.NewSource(int64(len(vm.ID)))), w.now)
	w.tables[vm.ID] = t
	return t
}

func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(testTiming.Heartbeat)
		for _, id := range w.order {
			if t := w.tables[id]; t != nil {
				w.tick(id, t)
			}
		}
	}
}

func (w *world) tick(id string, t *Table) {
	if w.now.UnixMilli()%time.Second.Milliseconds() == 0 {
		t.List(w.list)
	}
	plan := t.Tick(w.now)
	for _, call := range plan.Calls {
		to, other := w.at(call.Address)
		if other == nil || w.lost(id, to) {
			t.Failed(call.VM)
			continue
		}
		reply := other.Receive(call.Args, w.now)
		if w.lost(to, id) {
			t.Failed(call.VM)
			continue
		}
		t.Answered(call.VM, reply, w.now)
	}
	if to, other := w.at(plan.Sync); other != nil && !w.lost(id, to) && !w.lost(to, id) {
		t.Pulled(other.Records(), w.now)
	}
}

func (w *world) at(address string) (string, *Table) {
	for _, id := range w.order {
		if t := w.tables[id]; t != nil && t.Self().VM.Address == address {
			return id, t
		}
	}
	return "", nil
}

// states returns what the VM holds of the others that it has heard.
func (w *world) states(id string) map[string]string {
	states := map[string]string{}
	for _, m := range w.tables[id].Members() {
		states[m.VM.ID] = m.State.String()
	}
	return states
}

// disagreements returns the VMs whose alive members are not the running ones.
func (w *world) disagreements() []string {
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

func (w *world) wantAgreement(t *testing.T) {
	t.Helper()
	for _, line := range w.disagreements() {
		t.Error(line)
	}
}

// wantNoChange runs the world and wants no member to change its state.
func (w *world) wantNoChange(t *testing.T, d time.Duration) {
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
