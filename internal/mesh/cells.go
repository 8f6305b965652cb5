package mesh

import (
	"cmp"
	"slices"
	"sort"
	"strconv"
	"strings"
)

const (
	// maxSingleCellVMs is the largest fleet in which every VM exchanges datagrams with every
	// other one: at this size each VM handles 30 datagrams per second.
	maxSingleCellVMs = 16
	// maxCellVMs is the largest cell of a larger fleet. A VM of such a cell handles 64
	// datagrams per second in each direction, all within its failure domain, where traffic is
	// not billed. Traffic between failure domains is billed, and its datagram count grows with
	// the square of the number of cells.
	maxCellVMs = 32
)

// cell is a group of VMs that exchange state updates directly.
type cell struct {
	name   string
	domain string // empty if the cell is the whole fleet
	// vms are sorted by capacity, the largest first, then by name. The first ones are preferred
	// as leaders.
	vms []string
}

func (c cell) has(vm string) bool { return slices.Contains(c.vms, vm) }

// sortByCapacity sorts VMs by capacity, the largest first, then by name.
//
// Load pattern: the leader of a cell relays tables, builds digests and admits operations of small
// customers. On a VM with an eighth of a core it stalls while it decodes a configuration, and its
// link of 10 Mbit/s is full while it sends a round.
func sortByCapacity(list []Peer) {
	slices.SortFunc(list, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), strings.Compare(a.VM, b.VM))
	})
}

// splitIntoCells assigns VMs to cells that do not cross failure domains, or to a single cell
// in a small fleet. The result depends only on the list, so all VMs with the same list compute
// the same cells.
func splitIntoCells(list []Peer) []cell {
	list = slices.Clone(list)
	sortByCapacity(list)
	if len(list) <= maxSingleCellVMs {
		c := cell{name: "all"}
		for _, p := range list {
			c.vms = append(c.vms, p.VM)
		}
		return []cell{c}
	}
	domains := map[string][]Peer{}
	for _, p := range list {
		domains[p.Domain] = append(domains[p.Domain], p)
	}
	var cells []cell
	for domain, peers := range domains {
		parts := (len(peers) + maxCellVMs - 1) / maxCellVMs
		for i := range parts {
			cells = append(cells, cell{name: domain + "/" + strconv.Itoa(i), domain: domain, vms: part(peers, i, parts)})
		}
	}
	sort.Slice(cells, func(i, j int) bool { return cells[i].name < cells[j].name })
	return cells
}

// part returns the VMs of one of several parts of a sorted list. The largest VM of each part is
// the one at its index; the others are split by name, so that a VM that joins moves few of them.
func part(sorted []Peer, index, parts int) []string {
	vms := []string{sorted[index].VM}
	var names []string
	for _, p := range sorted[parts:] {
		names = append(names, p.VM)
	}
	sort.Strings(names)
	mine := names[index*len(names)/parts : (index+1)*len(names)/parts]
	for _, p := range sorted[parts:] {
		if slices.Contains(mine, p.VM) {
			vms = append(vms, p.VM)
		}
	}
	return vms
}
