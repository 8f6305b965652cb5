package mesh

import (
	"slices"
	"sort"
	"strconv"
)

const (
	// maxSingleCellVMs is the number of VMs up to which all talk to each other: each then
	// handles 30 datagrams a second.
	maxSingleCellVMs = 16
	// maxCellVMs bounds a cell of a larger fleet: a VM of a cell handles 64 datagrams a
	// second each way, within its failure domain, where bytes are not billed. Between
	// domains they are, and the datagrams there grow with the square of the cells.
	maxCellVMs = 32
)

// cell is a group of VMs that exchange news directly.
type cell struct {
	name   string
	domain string   // empty if the cell is the whole fleet
	vms    []string // sorted
}

func (c cell) has(vm string) bool {
	_, found := slices.BinarySearch(c.vms, vm)
	return found
}

// splitIntoCells puts VMs into cells that do not cross failure domains, unless they are
// few. All VMs with the same list come to the same cells.
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
