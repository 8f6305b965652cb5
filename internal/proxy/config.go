package proxy

import (
	"chicoryline/internal/caller"
	"chicoryline/internal/catalog"
	"chicoryline/internal/position"
	"chicoryline/internal/quota"
)

// access is the configuration view as a caller's connection needs it.
type access struct{ catalog.View }

// Sealer implements caller.Access.
func (a access) Sealer() *position.Sealer { return position.NewSealer(a.TokenSecrets()) }

// access returns the present configuration.
func (p *Proxy) access() caller.Access { return access{p.config.View()} }

// applyConfig passes the customers' limits on to the shares.
func (p *Proxy) applyConfig(view catalog.View) {
	for _, name := range view.Customers() {
		rate, burst, _ := view.Limits(name)
		p.quota.SetTotal(customerResource(name), quota.Total{Rate: rate, Burst: burst})
	}
}

// customerResource names the limit of a customer.
func customerResource(name string) string { return "customer/" + name }
