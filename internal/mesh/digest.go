package mesh

import (
	"strconv"

	"chicoryline/internal/boottime"
	"chicoryline/internal/ratelimit"
)

// usageCounter adds up what the VMs of a cell have taken of the customers' rates. Counts
// of a VM that began anew are added from zero.
type usageCounter struct {
	last  map[string]map[string]uint64 // by VM and customer
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

// addCell does so for the sum of a cell. Another VM that begins to sum up for the cell
// counts with what its demand accounts for: its count began long before.
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

// forget drops the last counts of a source.
func (t *usageCounter) forget(source string) { delete(t.last, source) }

// buildDigest sums up the news of the own cell. The mutex is held.
func (m *Mesh) buildDigest(own StateUpdate, now boottime.Time) Digest {
	d := Digest{
		Cell: m.cells[m.ownCell].name, Source: m.sourceID(), Members: 1,
		News: StateUpdate{
			ConfigVersion: own.ConfigVersion, ConfigAge: own.ConfigAge,
			Usage: map[string]ratelimit.Usage{}, Groups: map[string]GroupState{},
		},
	}
	d.News.merge(own, 0)
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

// merge takes news into a sum; they are held milliseconds old.
func (n *StateUpdate) merge(o StateUpdate, held int64) {
	if o.ConfigVersion == n.ConfigVersion && o.ConfigAge >= 0 {
		n.ConfigAge = minAge(n.ConfigAge, o.ConfigAge+held)
	}
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

// minAge returns the smaller of two ages; a negative one means never.
func minAge(a, b int64) int64 {
	if a < 0 {
		return b
	}
	return min(a, b)
}

// relayedState returns the other cells in touch, without their news, and the sum of these. The
// sum keeps a datagram to the cell at the size of one digest, however many cells there
// are. The mutex is held.
func (m *Mesh) relayedState(own StateUpdate, now boottime.Time) ([]Digest, *Fleet) {
	var list []Digest
	fleet := &Fleet{
		Source: "fleet/" + m.sourceID(),
		News:   StateUpdate{ConfigVersion: own.ConfigVersion, ConfigAge: -1, Usage: map[string]ratelimit.Usage{}, Groups: map[string]GroupState{}},
	}
	for name, g := range own.Groups {
		fleet.News.Groups[name] = newGroupState(g.Primary)
	}
	for _, h := range m.digests {
		if h.since == 0 || !h.direct {
			continue
		}
		d := h.Digest
		d.Held = now.Sub(h.since).Milliseconds() + 1
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

// sourceID names the VM as the source of sums.
func (m *Mesh) sourceID() string { return m.cfg.VM + "/" + strconv.FormatUint(m.incarnation, 36) }

// mergeCell takes another cell's news into a sum over cells; they are held milliseconds old.
func (n *StateUpdate) mergeCell(o StateUpdate, held int64) {
	if o.ConfigVersion > n.ConfigVersion {
		// Who has not got it asks for it.
		n.ConfigVersion, n.ConfigAge = o.ConfigVersion, -1
	}
	n.merge(o, held)
	for customer := range o.Usage {
		sum := n.Usage[customer]
		sum.Cells++
		n.Usage[customer] = sum
	}
}

// newGroupState returns a sum about a group whose primary is the server.
func newGroupState(primary string) GroupState {
	return GroupState{PositionAge: -1, AnsweredAge: -1, CommittedAge: -1, LedAge: -1, Primary: primary, Loads: map[uint32]float32{}}
}

// digestTargets returns the VMs of other cells that take this cell's digest: the
// one whose digest came last or, while none comes, two at a time in turn. The
// mutex is held.
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
