package entry

import (
	"net"
	"slices"
	"sync"

	"github.com/sirupsen/logrus"

	"chicoryline/internal/access"
	"chicoryline/internal/balance"
	"chicoryline/internal/connlimit"
	"chicoryline/internal/coord"
	"chicoryline/internal/owner"
	"chicoryline/internal/peer"
	"chicoryline/internal/ratelimit"
)

// servePeers serves other VMs' calls at the peer port.
func (e *Process) servePeers(l net.Listener) (*peer.Server, error) {
	server := peer.NewServer(e.clock, connlimit.New(l, e.settings.Callers.PeerConnections), nil)
	owners := owner.NewService(e.rates, e.router)
	owners.Evacuations = e.evacuationVersion
	if e.platform.Callers != nil {
		server.Limit(e.platform.Callers.NewPart("peers"))
		owners.Limit(e.platform.Callers.NewPart("owner"))
	}
	if err := server.Register("Rate", ratelimit.NewService(e.rates)); err != nil {
		return nil, err
	}
	if err := server.Register("Owner", owners); err != nil {
		return nil, err
	}
	if err := server.Register("Tables", coord.NewCopyService(e.copies)); err != nil {
		return nil, err
	}
	go server.Serve()
	return server, nil
}

// homes maps each customer to its home, the VM of the own cell that admits the customer's
// operations and owns its connections, in proportion to the capacities of the VMs that may lead
// the cell (balance.Owner). For the single homes of small customers the candidates are the cell
// leaders instead. The mutex guards the fields.
type homes struct {
	mu         sync.Mutex
	candidates []balance.Candidate
	byCustomer map[string]string
}

// update sets the VMs that may be homes.
func (h *homes) update(candidates []balance.Candidate) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !slices.Equal(candidates, h.candidates) {
		h.candidates, h.byCustomer = candidates, map[string]string{}
	}
}

// find returns the customer's home, or an empty string if there is none.
func (h *homes) find(customer string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	vm, known := h.byCustomer[customer]
	if !known && len(h.candidates) > 0 {
		vm = balance.Owner(customer, h.candidates)
		h.byCustomer[customer] = vm
	}
	return vm
}

// count returns the number of customers whose home is the VM.
func (h *homes) count(customers map[string]access.Customer, vm string) (n int) {
	for name := range customers {
		if h.find(name) == vm {
			n++
		}
	}
	return n
}

// withCapacities returns the VMs with the capacities that their rows state.
func (e *Process) withCapacities(vms []string) []balance.Candidate {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := make([]balance.Candidate, 0, len(vms))
	for _, vm := range vms {
		capacity := e.members[vm].Capacity
		if vm == e.settings.VM {
			capacity = e.settings.Capacity
		}
		list = append(list, balance.Candidate{Name: vm, Capacity: capacity})
	}
	return list
}

// ownerOf returns the address of the VM that admits the customer's operations and runs its
// single statements. In a small fleet every VM does so itself.
func (e *Process) ownerOf(customer string) (address string, remote bool) {
	if !e.mesh.IsLarge() {
		return "", false
	}
	return e.remote(e.homes.find(customer))
}

// remote returns the address of another VM; it is false for this VM and for unknown ones.
func (e *Process) remote(vm string) (address string, ok bool) {
	if vm == e.settings.VM || vm == "" {
		return "", false
	}
	e.mu.Lock()
	m, known := e.members[vm]
	e.mu.Unlock()
	if !known {
		e.log.WithFields(logrus.Fields{"event": "rate_home", "member": vm}).Debug("rate home is not in the list of VMs")
	}
	return m.Address, known
}

// rateHomeOf returns the address of the VM that admits the customer's operations: the owner
// or, for a small customer, its single home, which is the leader of one of the cells.
func (e *Process) rateHomeOf(customer string) (address string, remote bool) {
	if !e.mesh.IsLarge() || !e.limiter.HasOneHome(customer) {
		return e.ownerOf(customer)
	}
	return e.remote(e.onlyHomes.find(customer))
}

// isRateHome reports whether this VM admits the customer's operations for its cell.
func (e *Process) isRateHome(customer string) bool {
	return e.homes.find(customer) == e.settings.VM
}

// otherCellCandidates returns the VMs of each other cell with their capacities.
func (e *Process) otherCellCandidates() [][]balance.Candidate {
	var list [][]balance.Candidate
	for _, vms := range e.mesh.OtherCells() {
		list = append(list, e.withCapacities(vms))
	}
	return list
}

// lendersTo returns the addresses of the customer's homes in the other reachable cells. They are
// computed from the list of VMs; a VM of another cell that is not the home lends nothing.
func (e *Process) lendersTo(customer string) []string {
	var addresses []string
	for _, vm := range e.otherHomes.find(customer) {
		if address, ok := e.remote(vm); ok {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// cellHomes maps customers to their homes in several cells. The mutex guards cells.
type cellHomes struct {
	mu    sync.Mutex
	cells []*homes
}

// update sets the VMs of each cell.
func (c *cellHomes) update(cells [][]balance.Candidate) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.cells) < len(cells) {
		c.cells = append(c.cells, &homes{})
	}
	c.cells = c.cells[:len(cells)]
	for i, vms := range cells {
		c.cells[i].update(vms)
	}
}

// find returns the customer's home in each cell.
func (c *cellHomes) find(customer string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]string, 0, len(c.cells))
	for _, cell := range c.cells {
		list = append(list, cell.find(customer))
	}
	return list
}
