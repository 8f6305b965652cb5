package mesh

import (
	"strconv"
	"strings"

	"chicoryline/internal/boottime"
	"chicoryline/internal/ratelimit"
)

// usageCounter sums the rate usage that VMs or cells report as cumulative counters. A counter
// that decreases belongs to a restarted VM and counts from zero.
type usageCounter struct {
	last  map[string]map[string]uint64 // last counter, by source and customer
	taken map[string]uint64            // by customer
}

func newUsageCounter() usageCounter {
	return usageCounter{last: map[string]map[string]uint64{}, taken: map[string]uint64{}}
}

func (t *usageCounter) add(vm string, usage map[string]ratelimit.Usage) {
	last := t.last[vm]
	if last == nil {
		last = map[string]uint64{}
		t.last[vm] = last
	}
	for customer, u := range usage {
		if u.Taken < last[customer] {
			last[customer] = 0
		}
		t.taken[customer] += u.Taken - last[customer]
		last[customer] = u.Taken
	}
}

// addCell adds the summed counters of a cell. When another VM takes over summing for the cell,
// its counter covers operations already counted, so its first report only counts the estimate
// that its demand gives.
func (t *usageCounter) addCell(source string, usage map[string]ratelimit.Usage) {
	last := t.last[source]
	if last == nil {
		last = map[string]uint64{}
		t.last[source] = last
	}
	for customer, u := range usage {
		if _, known := last[customer]; !known {
			last[customer] = u.Taken - uint64(u.RecentEstimate())
		}
	}
	t.add(source, usage)
}

// forget drops the last counters of a source.
func (t *usageCounter) forget(source string) { delete(t.last, source) }

// buildDigest aggregates the state of the own cell. The mutex is held.
func (m *Mesh) buildDigest(own StateUpdate, now boottime.Time) Digest {
	d := Digest{
		Cell: m.cells[m.ownCell].name, Source: m.sourceID(), Members: 1,
		Listed: len(m.cells[m.ownCell].vms), ObservedAge: max(now.Sub(m.cellObservedFrom(now)).Milliseconds(), 0),
		News: StateUpdate{
			ConfigVersion: own.ConfigVersion, ConfigAge: own.ConfigAge, StoreLost: own.StoreLost, NoSource: own.NoSource,
			Usage: map[string]ratelimit.Usage{}, Groups: map[string]GroupState{},
		},
	}
	d.News.merge(own, 0)
	d.News.Evacuations.Confirmed = own.Evacuations.CellConfirmed
	for _, vm := range m.cells[m.ownCell].vms {
		if p := m.peers[vm]; p != nil && p.update != nil && m.isReachable(vm, now) {
			d.Members++
			if p.since != 0 {
				d.News.merge(*p.update, now.Sub(p.since).Milliseconds()+1)
			}
		}
	}
	for customer, u := range d.News.Usage {
		u.Taken = m.ownUsage.taken[customer]
		d.News.Usage[customer] = u
	}
	return d
}

// merge adds an update to an aggregate. held is the age of the update in milliseconds.
func (n *StateUpdate) merge(o StateUpdate, held int64) {
	if o.ConfigVersion == n.ConfigVersion && o.ConfigAge >= 0 {
		n.ConfigAge = minAge(n.ConfigAge, o.ConfigAge+held)
	}
	n.Evacuations.merge(o.Evacuations)
	for customer, u := range o.Usage {
		sum := n.Usage[customer]
		sum.Demand += u.Demand
		n.Usage[customer] = sum
	}
	for name, g := range o.Groups {
		sum, known := n.Groups[name]
		if !known {
			sum = newGroupState(g.Primary)
		}
		sum.merge(g, held)
		n.Groups[name] = sum
	}
}

func (g *GroupState) merge(o GroupState, held int64) {
	if o.PositionAge >= 0 && (g.PositionAge < 0 || o.PositionAge+held < g.PositionAge) {
		g.Position, g.PositionAge = o.Position, o.PositionAge+held
	}
	if o.Primary == g.Primary {
		if o.AnsweredAge >= 0 {
			g.AnsweredAge = minAge(g.AnsweredAge, o.AnsweredAge+held)
		}
		if o.CommittedAge >= 0 {
			g.CommittedAge = minAge(g.CommittedAge, o.CommittedAge+held)
		}
		if o.LedAge >= 0 {
			g.LedAge = minAge(g.LedAge, o.LedAge+held)
		}
	}
	for server, load := range o.Loads {
		g.Loads[server] += load
	}
	g.ExpectedIn = max(g.ExpectedIn, o.ExpectedIn-held)
	if o.Acknowledged.Compare(g.Acknowledged) > 0 {
		g.Acknowledged = o.Acknowledged
	}
}

// minAge returns the smaller of two ages; a negative age means never.
func minAge(a, b int64) int64 {
	if a < 0 {
		return b
	}
	return min(a, b)
}

// relayedState returns the reachable other cells without their state, and one aggregate of
// their state. With a single aggregate, the state in a datagram to the leader's own cell does
// not grow with the number of cells. The mutex is held.
func (m *Mesh) relayedState(own StateUpdate, now boottime.Time) ([]Digest, *Fleet) {
	var list []Digest
	fleet := &Fleet{
		Source: "fleet/" + m.sourceID(),
		News:   StateUpdate{ConfigVersion: own.ConfigVersion, ConfigAge: -1, Usage: map[string]ratelimit.Usage{}, Groups: map[string]GroupState{}},
	}
	for name, g := range own.Groups {
		fleet.News.Groups[name] = newGroupState(g.Primary)
	}
	for _, received := range m.digests {
		if received.since == 0 || !received.direct {
			continue
		}
		d := received.Digest
		d.Held = now.Sub(received.since).Milliseconds() + 1
		fleet.News.mergeCell(d.News, d.Held)
		d.News = StateUpdate{}
		list = append(list, d)
	}
	for customer, u := range fleet.News.Usage {
		u.Taken = m.remoteUsage.taken[customer]
		fleet.News.Usage[customer] = u
	}
	return list, fleet
}

// sourceID identifies this VM and its incarnation as the source of aggregates.
func (m *Mesh) sourceID() string { return m.cfg.VM + "/" + strconv.FormatUint(m.incarnation, 36) }

// vmOfSource returns the VM of an identification that sourceID made. The name of a VM may contain
// slashes, the incarnation does not.
func vmOfSource(source string) string {
	if i := strings.LastIndexByte(source, '/'); i >= 0 {
		return source[:i]
	}
	return source
}

// mergeCell adds the update of another cell to an aggregate over cells. held is the age of the
// update in milliseconds.
func (n *StateUpdate) mergeCell(o StateUpdate, held int64) {
	if o.ConfigVersion > n.ConfigVersion {
		// VMs with an older version then fetch the newer one.
		n.ConfigVersion, n.ConfigAge = o.ConfigVersion, -1
	}
	n.merge(o, held)
	for customer := range o.Usage {
		sum := n.Usage[customer]
		sum.Cells++
		n.Usage[customer] = sum
	}
}

// newGroupState returns an empty aggregate for a group with the given primary.
func newGroupState(primary string) GroupState {
	return GroupState{PositionAge: -1, AnsweredAge: -1, CommittedAge: -1, LedAge: -1, Primary: primary, Loads: map[uint32]float32{}}
}

// digestTargets returns the VMs of other cells to send this cell's digest to: for each cell
// the sender of the last digest or, without a recent one, its first VM and one other
// VM in turn. The mutex is held.
func (m *Mesh) digestTargets(now boottime.Time) []target {
	var targets []target
	for i, c := range m.cells {
		if i == m.ownCell || len(c.vms) == 0 {
			continue
		}
		candidates := []string{c.vms[m.round%len(c.vms)], c.vms[0]}
		if d, ok := m.digests[c.name]; ok && now.Sub(d.receivedAt) < PeerTimeout {
			candidates = []string{d.from}
		}
		for j, vm := range candidates {
			if p := m.peers[vm]; p != nil && (j == 0 || vm != candidates[0]) {
				targets = append(targets, p.target())
			}
		}
	}
	return targets
}
