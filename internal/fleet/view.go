package fleet

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

const (
	// domainNeighbours and fleetNeighbours are the numbers of members that a VM watches
	// on each side, on the hash ring of its failure domain and of the whole fleet.
	domainNeighbours = 2
	fleetNeighbours  = 1
	// distantMembers is the number of members outside the view that a VM of a large
	// fleet also calls. They reduce the number of hops that a change needs to reach the
	// whole fleet. The set is stable, so that the number of connections is bounded.
	distantMembers = 4
)

// isMesh reports whether the fleet is small enough for all-to-all heartbeats.
func (t *Table) isMesh() bool { return t.size <= MeshSize }

// refreshView chooses the members that this VM watches. Watching is symmetric between
// two VMs whose tables hold the same members.
func (t *Table) refreshView() {
	if t.viewGeneration == t.generation {
		return
	}
	t.viewGeneration = t.generation
	t.sortMembers()
	chosen := t.chooseView()
	for _, m := range t.members {
		switch {
		case !chosen[m]:
			m.watchedSince = unwatched
		case m.watchedSince < 0:
			m.watchedSince = t.activeTime
		}
	}
	t.view = t.view[:0]
	for m := range chosen {
		t.view = append(t.view, m)
	}
	sort.Slice(t.view, func(i, j int) bool { return t.view[i].VM.ID < t.view[j].VM.ID })
	t.distant = t.chooseDistant(chosen)
}

// chooseDistant returns the first distantMembers members outside the view by rendezvous
// hashing on this VM's id.
func (t *Table) chooseDistant(view map[*member]bool) []*member {
	if t.isMesh() {
		return nil
	}
	var list []*member
	score := map[*member]uint64{}
	for _, m := range t.ordered {
		if m.State != Dead && !view[m] {
			list = append(list, m)
			score[m] = xxhash.Sum64String(t.self.VM.ID + "\x00" + m.VM.ID)
		}
	}
	sort.Slice(list, func(i, j int) bool { return score[list[i]] > score[list[j]] })
	return list[:min(distantMembers, len(list))]
}

// sortMembers updates ordered and size.
func (t *Table) sortMembers() {
	t.size = 1
	t.ordered = t.ordered[:0]
	for _, m := range t.members {
		t.ordered = append(t.ordered, m)
		if m.State != Dead {
			t.size++
		}
	}
	sort.Slice(t.ordered, func(i, j int) bool { return t.ordered[i].VM.ID < t.ordered[j].VM.ID })
}

func (t *Table) chooseView() map[*member]bool {
	chosen := map[*member]bool{}
	var fleet, domain []*member
	for _, m := range t.members {
		if m.State == Dead {
			continue
		}
		if t.isMesh() {
			chosen[m] = true
			continue
		}
		fleet = append(fleet, m)
		if m.VM.Domain == t.self.VM.Domain {
			domain = append(domain, m)
		}
	}
	t.addNeighbours(chosen, fleet, fleetNeighbours)
	t.addNeighbours(chosen, domain, domainNeighbours)
	return chosen
}

// addNeighbours adds the members next to this VM on the ring of hashed ids, perSide in
// each direction.
func (t *Table) addNeighbours(chosen map[*member]bool, ring []*member, perSide int) {
	ringPosition := func(m *member) uint64 { return xxhash.Sum64String(m.VM.ID) }
	sort.Slice(ring, func(i, j int) bool { return ringPosition(ring[i]) < ringPosition(ring[j]) })
	own := xxhash.Sum64String(t.self.VM.ID)
	at := sort.Search(len(ring), func(i int) bool { return ringPosition(ring[i]) > own })
	for i := range min(perSide, len(ring)) {
		chosen[ring[(at+i)%len(ring)]] = true
		chosen[ring[(at-1-i+2*len(ring))%len(ring)]] = true
	}
}
