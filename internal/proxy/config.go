package proxy

import (
	"chicoryline/internal/caller"
	"chicoryline/internal/catalog"
	"chicoryline/internal/position"
	"chicoryline/internal/quota"
)

// access adapts a configuration view to caller.Access.
type access struct{ catalog.View }

// Sealer implements caller.Access.
func (a access) Sealer() *position.Sealer { return position.NewSealer(a.TokenSecrets()) }

// access returns the current configuration.
func (p *Proxy) access() caller.Access { return access{p.config.View()} }

// applyConfig sets the customers' limits as the totals of which the VMs lease shares.
func (p *Proxy) applyConfig(view catalog.View) {
	for _, name := range view.Customers() {
		rate, burst, _ := view.Limits(name)
		p.quota.SetTotal(customerResource(name), quota.Total{Rate: rate, Burst: burst})
	}
}

// customerResource returns the quota resource of a customer's rate limit.
func customerResource(name string) string { return "customer/" + name }
