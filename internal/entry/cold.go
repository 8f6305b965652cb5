package entry

import (
	"maps"
	"slices"

	"chicoryline/internal/access"
	"chicoryline/internal/coldstart"
	"chicoryline/internal/dispatch"
)

// configureColdLimits sets the limits for cold backend servers. The rates of the configuration are
// divided among the VMs as they are: ColdOverage covers lists of VMs that differ for a moment. Only
// an overage below 1 lowers the rates.
func (e *Process) configureColdLimits(c *access.Config) {
	for _, g := range e.router.Groups() {
		if _, ok := c.Groups[g.Name]; !ok {
			e.router.SetColdLimit(g.Name, dispatch.ColdLimit{})
		}
	}
	for name, g := range c.Groups {
		e.router.SetColdLimit(name, dispatch.ColdLimit{Rate: g.ColdRate * min(e.settings.ColdOverage, 1), Duration: g.ColdTime})
	}
}

// updateFleet passes the list of VMs to the limits for cold backend servers. The mutex is held.
func (e *Process) updateFleet() {
	if e.settings.ColdOverage <= 0 {
		return
	}
	e.router.SetFleet(coldstart.NewFleet(slices.Collect(maps.Keys(e.members)), e.settings.VM))
}

// ownerIn returns the address of the customer's owner if it is another VM in one of the failure
// domains.
func (e *Process) ownerIn(customer string, domains map[string]struct{}) (address string, remote bool) {
	if !e.mesh.IsLarge() {
		return "", false
	}
	vm := e.homes.find(customer)
	e.mu.Lock()
	defer e.mu.Unlock()
	m, known := e.members[vm]
	_, allowed := domains[m.Domain]
	return m.Address, known && allowed && vm != e.settings.VM
}
