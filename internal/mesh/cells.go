package mesh

import (
	"slices"
	"sort"
	"strconv"
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
	domain string   // empty if the cell is the whole fleet
	vms    []string // sorted
}

func (c cell) has(vm string) bool {
	_, found := slices.BinarySearch(c.vms, vm)
	return found
}

// splitIntoCells assigns VMs to cells that do not cross failure domains, or to a single cell
// in a small fleet. The result depends only on the list, so all VMs with the same list compute
// the same cells.
func splitIntoCells(list []Peer) []cell {
	if len(list) <= maxSingleCellVMs {
		c := cell{name: "all"}
		for _, p := range list {
			c.vms = append(c.vms, p.VM)
		}
		sort.Strings(c.vms)
		return []cell{c}
	}
	domains := map[string][]string{}
	for _, p := range list {
		domains[p.Domain] = append(domains[p.Domain], p.VM)
	}
	var cells []cell
	for domain, vms := range domains {
		sort.Strings(vms)
		parts := (len(vms) + maxCellVMs - 1) / maxCellVMs
		for i := range parts {
			from, to := i*len(vms)/parts, (i+1)*len(vms)/parts
			cells = append(cells, cell{name: domain + "/" + strconv.Itoa(i), domain: domain, vms: vms[from:to]})
		}
	}
	sort.Slice(cells, func(i, j int) bool { return cells[i].name < cells[j].name })
	return cells
}
