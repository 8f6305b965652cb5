package mesh

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"chicoryline/internal/boottime"
	"chicoryline/internal/position"
	"chicoryline/internal/ratelimit"
)

// testUpdate returns an update that covers the given numbers of customers and groups.
func testUpdate(customers, groups int) StateUpdate {
	n := StateUpdate{ConfigVersion: 1234, ConfigAge: 900, Usage: map[string]ratelimit.Usage{}, Groups: map[string]GroupState{}}
	for i := range customers {
		n.Usage[fmt.Sprintf("customer%04d", i)] = ratelimit.Usage{Taken: 12345, Demand: 12.5}
	}
	for i := range groups {
		g := newGroupState("i-d7b7a6673d")
		g.Position, g.PositionAge, g.AnsweredAge, g.CommittedAge, g.LedAge = position.Position{Term: 2, Offset: 1400}, 120, 300, 800, 100
		g.Loads = map[uint32]float32{1: 0.1, 2: 0.2, 3: 0.3}
		n.Groups[fmt.Sprintf("group-%02d", i)] = g
	}
	return n
}

// leaderWithDigests returns the mesh of a cell leader that has received digests of all other
// cells.
func leaderWithDigests(cells int, update StateUpdate) *Mesh {
	m := New(Config{VM: "vm0000"})
	now := boottime.Now()
	m.cells = []cell{{name: "d0/0", vms: []string{"vm0000"}}}
	for i := 1; i < cells; i++ {
		name := fmt.Sprintf("d%d/0", i)
		m.cells = append(m.cells, cell{name: name})
		d := Digest{Cell: name, Source: "vm/" + name, Members: 32, News: update}
		m.digests[name] = receivedDigest{Digest: d, receivedAt: now, since: now, direct: true}
		m.remoteUsage.addCell(d.Source, d.News.Usage)
	}
	return m
}

// Guards against a leader that relays every other cell's digest to each VM of its own cell
// twice a second: that took 51 KB in a fleet of ten cells, and exceeded a datagram in one of
// 47.
func TestRelayedSizeIsIndependentOfCellCount(t *testing.T) {
	const customers, groups, fleetCells = 190, 20, 47
	own := testUpdate(6, groups)
	size := func(cells int) int {
		m := leaderWithDigests(cells, testUpdate(customers, groups))
		headers, fleet := m.relayedState(own, boottime.Now())
		if len(headers) != cells-1 {
			t.Fatalf("%d of %d cells are listed", len(headers), cells-1)
		}
		data, err := encode(payload{News: &own, Digests: headers, Fleet: fleet})
		if err != nil {
			t.Fatal(err)
		}
		return len(data)
	}
	small, large := size(2), size(fleetCells)
	if large > 2*small || large > maxDatagramBytes {
		t.Errorf("%d bytes with 2 cells, %d with %d", small, large, fleetCells)
	}
}

// The aggregate over the fleet matches the digests of its cells.
func TestFleetAggregatesCells(t *testing.T) {
	m := leaderWithDigests(4, testUpdate(2, 1))
	own := testUpdate(0, 1)
	_, fleet := m.relayedState(own, boottime.Now())
	u := fleet.News.Usage["customer0000"]
	if u.Demand != 3*12.5 || u.Cells != 3 {
		t.Errorf("usage %+v, want the demand of 3 cells", u)
	}
	g := fleet.News.Groups["group-00"]
	if g.Loads[2] < 0.59 || g.Loads[2] > 0.61 || g.PositionAge < 120 || g.LedAge < 100 {
		t.Errorf("group %+v", g)
	}
	if fleet.News.ConfigAge < 900 {
		t.Errorf("configuration validated %d ms ago, want 900 or more", fleet.News.ConfigAge)
	}
	before := u.Taken
	d := m.digests["d1/0"]
	d.News = testUpdate(2, 1)
	d.News.Usage["customer0000"] = ratelimit.Usage{Taken: 12345 + 7, Demand: 12.5}
	m.remoteUsage.addCell(d.Source, d.News.Usage)
	// Another VM takes over summing for the second cell; its counter covers operations counted
	// before.
	m.remoteUsage.addCell("vm/other", map[string]ratelimit.Usage{"customer0000": {Taken: 90000, Demand: 2}})
	_, fleet = m.relayedState(own, boottime.Now())
	if got := fleet.News.Usage["customer0000"].Taken - before; got != 7+4 {
		t.Errorf("%d operations counted, want 7 plus the estimate for a demand of 2", got)
	}
}

// The aggregate carries the newest configuration version of any cell, so that VMs with an
// older one request it.
func TestFleetReportsNewerConfiguration(t *testing.T) {
	update := testUpdate(0, 0)
	update.ConfigVersion = 1300
	_, fleet := leaderWithDigests(3, update).relayedState(testUpdate(0, 0), boottime.Now())
	if fleet.News.ConfigVersion != 1300 {
		t.Errorf("version %d, want 1300", fleet.News.ConfigVersion)
	}
}

// A VM that gets the leader's aggregate counts no cell twice, and counts the digests directly
// once it leads.
func TestFleetSumReplacesDigests(t *testing.T) {
	m := leaderWithDigests(3, testUpdate(1, 1))
	now := boottime.Now()
	if lost := m.applyFleetSource("fleet/vm0001/a", now); len(lost) != 2 {
		t.Errorf("invalidated sources %v, want those of 2 cells", lost)
	}
	for name, d := range m.digests {
		if d.direct || d.News.Usage != nil {
			t.Errorf("cell %s is still counted separately", name)
		}
	}
	if lost := m.applyFleetSource("fleet/vm0002/b", now); len(lost) != 1 || lost[0] != "fleet/vm0001/a" {
		t.Errorf("invalidated sources %v, want that of the former leader", lost)
	}
	digests := []Digest{{Cell: "d1/0", Source: "vm/d1", News: testUpdate(1, 1)}}
	taken, lost := m.applyDigests("vm0099", digests, true, now, now)
	if len(taken) != 1 || len(lost) != 1 || lost[0] != "fleet/vm0002/b" {
		t.Errorf("%d digests applied, invalidated sources %v", len(taken), lost)
	}
}

// Load pattern: 295 VMs in 10 cells. If the leader of each cell asks the store for every
// validation and change, the store gets ten times the calls that the fleet needs.
func TestOneVMOfAFleetReadsTheStore(t *testing.T) {
	const cells = 4
	now := boottime.Now()
	readers := 0
	for own := range cells {
		m := New(Config{VM: fmt.Sprintf("vm%d", own)})
		m.ownCell = own
		for i := range cells {
			name := fmt.Sprintf("d%d/0", i)
			m.cells = append(m.cells[:i:i], cell{name: name, vms: []string{fmt.Sprintf("vm%d", i)}})
			if i != own {
				m.digests[name] = receivedDigest{Digest: Digest{Cell: name}, from: fmt.Sprintf("vm%d", i), receivedAt: now, since: now, direct: true}
			}
		}
		vm, self := m.TableSource()
		if self {
			readers++
		}
		if vm != "vm0" || self != (own == 0) || m.IsInFirstCell() != (own == 0) {
			t.Errorf("VM of cell %d reads from %s", own, vm)
		}
		// The first cell is unreachable: the next one takes over, from the view of every cell.
		delete(m.digests, "d0/0")
		if vm, self := m.TableSource(); own > 0 && (vm != "vm1" || self != (own == 1) || m.IsInFirstCell() != (own == 1)) {
			t.Errorf("without the first cell, the VM of cell %d reads from %s", own, vm)
		}
	}
	if readers != 1 {
		t.Errorf("%d VMs read the store, want 1", readers)
	}
}

// A VM that does not lead its cell reads from the leader.
func TestMembersReadFromTheirLeader(t *testing.T) {
	now := boottime.Now()
	m := New(Config{VM: "vm0002"})
	m.cells = []cell{{name: "d0/0"}, {name: "d1/0", vms: []string{"vm0001", "vm0002"}}}
	m.ownCell = 1
	m.peers["vm0001"] = &peerState{receivedAt: now, update: &StateUpdate{}}
	m.digests["d0/0"] = receivedDigest{Digest: Digest{Cell: "d0/0"}, from: "vm0000", receivedAt: now, since: now, direct: true}
	if vm, self := m.TableSource(); vm != "vm0001" || self {
		t.Errorf("reads from %s, want the leader of the cell", vm)
	}
}

// Guards against a leader that is taken for another VM because its name contains a slash.
func TestLeadersOfCellsHaveTheirWholeNames(t *testing.T) {
	m := leaderWithDigests(3, testUpdate(1, 1))
	for cell, vm := range map[string]string{"d1/0": "rack-1/vm/7", "d2/0": "vm8"} {
		d := m.digests[cell]
		d.Source = New(Config{VM: vm}).sourceID()
		m.digests[cell] = d
	}
	if d := cmp.Diff([]string{"vm0000", "rack-1/vm/7", "vm8"}, m.CellLeaders()); d != "" {
		t.Error(d)
	}
}
