package fleet

import (
	"flag"
	"math/rand"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chicoryline/internal/services"
)

// TestMain fixes the seed of the property tests; flags on the command line override it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func TestFleetConverges(t *testing.T) {
	for _, n := range []int{2, 8, 16, 17, 64} {
		w := newSimulation(n, 4)
		w.run(8 * time.Second)
		w.wantAgreement(t)
		w.wantNoChange(t, 30*time.Second)
	}
}

func TestCrashAndRestart(t *testing.T) {
	for _, n := range []int{8, 40} {
		w := newSimulation(n, 4)
		w.run(8 * time.Second)
		vm := w.tables["vm-03"].Self().VM
		delete(w.tables, "vm-03")
		w.run(20 * time.Second)
		w.wantAgreement(t)
		w.start(vm)
		w.run(20 * time.Second)
		w.wantAgreement(t)
	}
}

func TestRestartWithEarlierClock(t *testing.T) {
	w := newSimulation(5, 1)
	w.run(4 * time.Second)
	old := w.tables["vm-01"].Self()
	w.tables["vm-01"] = NewTable(old.VM, old.Incarnation-int64(time.Hour), testTiming, rand.New(rand.NewSource(1)), w.now)
	w.run(4 * time.Second)
	w.wantAgreement(t)
	if got := w.tables["vm-01"].Self().Incarnation; got <= old.Incarnation {
		t.Errorf("incarnation %d, want above %d", got, old.Incarnation)
	}
}

func TestOneWayPartitionCausesNoSuspicion(t *testing.T) {
	w := newSimulation(5, 1)
	w.run(4 * time.Second)
	w.isLost = func(from, to string) bool { return from == "vm-00" && to == "vm-01" }
	w.wantNoChange(t, 10*time.Second)
}

func TestPartitionedDomainRejoins(t *testing.T) {
	for _, n := range []int{8, 40} {
		w := newSimulation(n, 4)
		w.run(8 * time.Second)
		inside := func(id string) bool { return w.tables[id].Self().VM.Domain == "d1" }
		w.isLost = func(from, to string) bool { return inside(from) != inside(to) }
		w.run(5 * time.Minute)
		for other, state := range w.states("vm-00") {
			if want := map[bool]string{true: "dead", false: "alive"}[inside(other)]; state != want {
				t.Errorf("n=%d: %s is %s, want %s", n, other, state, want)
			}
		}
		w.isLost = func(string, string) bool { return false }
		w.run(time.Minute)
		w.wantAgreement(t)
	}
}

func TestPausedProcessSuspectsNobody(t *testing.T) {
	w := newSimulation(6, 1)
	w.run(4 * time.Second)
	paused := w.tables["vm-02"]
	delete(w.tables, "vm-02")
	w.run(10 * time.Second)
	w.tables["vm-02"] = paused
	paused.Tick(w.now)
	for other, state := range w.states("vm-02") {
		if state != "alive" {
			t.Errorf("%s is %s right after the pause", other, state)
		}
	}
	w.run(4 * time.Second)
	w.wantAgreement(t)
}

func TestAddressReuse(t *testing.T) {
	w := newSimulation(4, 1)
	w.run(4 * time.Second)
	vm := w.tables["vm-01"].Self().VM
	delete(w.tables, "vm-01")
	vm.ID = "vm-new"
	w.order = append(w.order, vm.ID)
	w.start(vm)
	w.run(2 * testTiming.Heartbeat)
	for _, id := range []string{"vm-00", "vm-02", "vm-03"} {
		if states := w.states(id); states["vm-01"] != "dead" || states["vm-new"] != "alive" {
			t.Errorf("%s: %v", id, states)
		}
	}
	w.run(time.Minute)
	w.wantAgreement(t)
}

func TestListLag(t *testing.T) {
	w := newSimulation(4, 1)
	w.run(4 * time.Second)
	newcomer := services.VM{ID: "vm-x", Address: "x:1"}
	w.order = append(w.order, newcomer.ID)
	w.platformList = append(w.platformList, services.VM{ID: "vm-gone", Address: "gone:1"})
	w.start(newcomer) // reads the list but is not on it
	w.run(4 * time.Second)
	w.wantAgreement(t)
	if state, ok := w.states("vm-00")["vm-gone"]; ok {
		t.Errorf("a listed VM that never sent a heartbeat is %s", state)
	}
}

func TestListedLeavingFollowsTheList(t *testing.T) {
	w := newSimulation(3, 1)
	w.run(4 * time.Second)
	w.platformList[1].Leaving = true
	w.run(time.Second)
	if s := w.states("vm-00")["vm-01"]; s != "leaving" || w.tables["vm-01"].SelfMember(w.now).State != Leaving {
		t.Errorf("vm-01 is %s", s)
	}
	w.platformList[1].Leaving = false
	w.run(time.Second)
	w.wantAgreement(t)
}

func TestLeaveReachesAllMembers(t *testing.T) {
	w := newSimulation(64, 4)
	w.run(8 * time.Second)
	leaver := w.tables["vm-05"]
	leaver.Leave()
	for _, call := range leaver.LeaveCalls(maxLeaveCalls) {
		_, other := w.tableAt(call.Address)
		other.Receive(call.Args, w.now)
	}
	w.run(2 * time.Second)
	delete(w.tables, "vm-05")
	for id := range w.tables {
		if s := w.states(id)["vm-05"]; s != "leaving" {
			t.Errorf("%s sees vm-05 as %s, want leaving", id, s)
		}
	}
	w.run(20 * time.Second)
	w.wantAgreement(t)
}

// newTestTable returns a table of the VM "self" without other members.
func newTestTable() *Table {
	return NewTable(services.VM{ID: "self", Address: "self:1"}, 1, testTiming, rand.New(rand.NewSource(1)), time.Unix(0, 0))
}

func record(id, address string, incarnation int64, sequence uint64, state State) Record {
	return Record{
		VM:          services.VM{ID: id, Address: address, Leaving: state == Leaving},
		Incarnation: incarnation, Sequence: sequence, State: state,
	}
}

func TestObserve(t *testing.T) {
	known := record("a", "a:1", 2, 5, Alive)
	cases := []struct {
		name    string
		records []Record
		want    State
		spread  bool // the member's current record is gossiped
	}{
		{"suspicion with an outdated sequence", []Record{record("a", "a:1", 2, 4, Suspect)}, Alive, true},
		{"death with an outdated sequence", []Record{record("a", "a:1", 2, 4, Dead)}, Alive, true},
		{"suspicion", []Record{record("a", "a:1", 2, 5, Suspect)}, Suspect, true},
		{"refuted suspicion", []Record{record("a", "a:1", 2, 5, Suspect), record("a", "a:1", 2, 6, Alive)}, Alive, true},
		{"leave with an outdated sequence", []Record{record("a", "a:1", 2, 3, Leaving)}, Leaving, true},
		{"suspicion of a leaving member", []Record{record("a", "a:1", 2, 6, Leaving), record("a", "a:1", 2, 6, Suspect)}, Leaving, true},
		{"leave of a dead member", []Record{record("a", "a:1", 2, 5, Dead), record("a", "a:1", 2, 3, Leaving)}, Dead, true},
		{"progress after death", []Record{record("a", "a:1", 2, 5, Dead), record("a", "a:1", 2, 6, Alive)}, Alive, true},
		{"restart after leave", []Record{record("a", "a:1", 2, 6, Leaving), record("a", "a:2", 3, 1, Alive)}, Alive, true},
		{"old incarnation", []Record{record("a", "a:1", 1, 9, Alive)}, Alive, true},
		{"old incarnation dead", []Record{record("a", "a:1", 1, 9, Dead)}, Alive, true},
		{"old incarnation leaving", []Record{record("a", "a:1", 1, 9, Leaving)}, Alive, true},
		{"another VM at the address", []Record{record("b", "a:1", 3, 1, Alive)}, Dead, true},
		{"repeated record", []Record{known}, Alive, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table, now := newTestTable(), time.Unix(1, 0)
			table.Observe(known, now)
			for range 100 {
				table.newHeartbeat("") // until the update queue is empty
			}
			for _, r := range c.records {
				table.Observe(r, now)
			}
			m := table.members["a"]
			if m.State != c.want || m.Incarnation < known.Incarnation {
				t.Errorf("incarnation %d is %v, want %v", m.Incarnation, m.State, c.want)
			}
			spread := false
			for _, r := range table.newHeartbeat("").Updates {
				spread = spread || r.VM.ID == "a"
			}
			if spread != c.spread {
				t.Errorf("spread %v, want %v", spread, c.spread)
			}
		})
	}
}

// TestReplyFromAnotherVM: a reply from another VM at the address marks the old VM dead
// even if the new VM has a lower incarnation because its clock is behind.
func TestReplyFromAnotherVM(t *testing.T) {
	table, now := newTestTable(), time.Unix(1, 0)
	table.Observe(record("a", "a:1", 9, 1, Alive), now)
	table.HandleReply("a", Heartbeat{From: record("b", "a:1", 3, 1, Alive)}, now)
	if a, b := table.members["a"].State, table.members["b"].State; a != Dead || b != Alive {
		t.Errorf("old %v, new %v", a, b)
	}
}

func TestSyncOnlyOnDigestMismatch(t *testing.T) {
	now := time.Unix(1, 0)
	for _, same := range []bool{true, false} {
		table := newTestTable()
		h := Heartbeat{From: record("a", "a:1", 9, 1, Alive)}
		table.Receive(h, now)
		if h.Digest = 1; same {
			h.Digest = table.currentDigest()
		}
		table.syncFrom = ""
		table.Receive(h, now)
		if got := table.Tick(now).Sync; (got == "") != same {
			t.Errorf("same digest %v: sync from %q", same, got)
		}
	}
}

func TestSettled(t *testing.T) {
	other := services.VM{ID: "a", Address: "a:1"}
	cases := []struct {
		name  string
		list  func(*Table) []services.VM
		after time.Duration
		want  bool
	}{
		{"own VM not listed yet", func(*Table) []services.VM { return nil }, time.Second, false},
		{"own VM not listed until the timeout", func(*Table) []services.VM { return nil }, settleTimeout, true},
		{"alone", func(s *Table) []services.VM { return []services.VM{s.self.VM} }, 0, true},
		{"another VM not observed yet", func(s *Table) []services.VM { return []services.VM{s.self.VM, other} }, time.Second, false},
		{"another VM declared dead", func(s *Table) []services.VM { return []services.VM{s.self.VM, other} }, 4 * time.Second, true},
	}
	for _, c := range cases {
		table, now := newTestTable(), time.Unix(0, 0)
		for passed := time.Duration(0); passed <= c.after; passed += testTiming.Heartbeat {
			table.ApplyVMList(c.list(table))
			now = now.Add(testTiming.Heartbeat)
			table.Tick(now)
		}
		if got := table.IsSettled(); got != c.want {
			t.Errorf("%s: settled %v", c.name, got)
		}
	}
}

// Records in any order, of any age and origin, never return a member to an earlier
// incarnation, and never make a member an owner after it announced its leave.
func TestRecordsNeverRevertIncarnation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		table := NewTable(services.VM{ID: "self", Domain: "a"}, 1, testTiming, rand.New(rand.NewSource(1)), now)
		newest, left := map[string]int64{}, map[string]int64{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "tick") {
				now = now.Add(rapid.SampledFrom([]time.Duration{testTiming.Heartbeat, time.Minute}).Draw(t, "passed"))
				table.Tick(now)
				continue
			}
			r := drawRecord(t)
			table.Observe(r, now)
			if r.VM.Leaving {
				left[r.VM.ID] = max(left[r.VM.ID], r.Incarnation)
			}
			for _, m := range table.Members() {
				if m.Incarnation < newest[m.VM.ID] {
					t.Fatalf("%s went back from incarnation %d to %d", m.VM.ID, newest[m.VM.ID], m.Incarnation)
				}
				newest[m.VM.ID] = m.Incarnation
			}
			checkOwners(t, table, now, left)
		}
	})
}

func drawRecord(t *rapid.T) Record {
	r := Record{
		VM:          services.VM{ID: rapid.SampledFrom([]string{"a", "b", "self"}).Draw(t, "id"), Domain: "a"},
		Incarnation: rapid.Int64Range(1, 3).Draw(t, "incarnation"),
		Sequence:    rapid.Uint64Range(1, 5).Draw(t, "sequence"),
		State:       rapid.SampledFrom([]State{Alive, Suspect, Leaving, Dead}).Draw(t, "state"),
	}
	r.VM.Address = r.VM.ID + ":1"
	r.VM.Leaving = r.State == Leaving
	return r
}

func checkOwners(t *rapid.T, table *Table, now time.Time, left map[string]int64) {
	directory := &Directory{}
	directory.publish(newSnapshot(table.SelfMember(now), table.Members(), true))
	for _, owner := range directory.Owners(services.Instance{ID: "i", Domain: "a"}, 3) {
		if owner.State != Alive || owner.VM.ID != "self" && left[owner.VM.ID] == owner.Incarnation {
			t.Fatalf("%+v is an owner after its leave", owner)
		}
	}
}

// After any sequence of crashes, restarts and lost messages, all members converge to the
// same view once the faults end.
func TestFleetConvergesAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{4, 4, 4, 17}).Draw(t, "n")
		w := newSimulation(n, 2)
		stopped := map[string]services.VM{}
		for range rapid.IntRange(1, 6).Draw(t, "faults") {
			id := rapid.SampledFrom(w.order[1:]).Draw(t, "vm")
			other := rapid.SampledFrom(w.order).Draw(t, "other")
			switch rapid.IntRange(0, 3).Draw(t, "fault") {
			case 0:
				if table := w.tables[id]; table != nil {
					stopped[id] = table.Self().VM
					delete(w.tables, id)
				}
			case 1:
				if vm, ok := stopped[id]; ok {
					w.start(vm)
					delete(stopped, id)
				}
			case 2:
				w.isLost = func(from, to string) bool { return from == id && to == other }
			case 3:
				w.isLost = func(from, to string) bool { return from == id || to == id }
			}
			w.run(rapid.SampledFrom([]time.Duration{testTiming.Heartbeat, 3 * time.Second}).Draw(t, "passed"))
		}
		w.isLost = func(string, string) bool { return false }
		w.run(40 * time.Second)
		if bad := w.disagreements(); bad != nil {
			t.Fatal(bad)
		}
	})
}
