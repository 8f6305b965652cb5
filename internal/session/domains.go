package session

import (
	"slices"

	"chicoryline/internal/access"
)

// allowedDomains returns the failure domains that statements of the route and customer may reach, or
// nil if neither has allowed regions. It uses the configuration in force, which may be newer than
// the route and customer of an open transaction. A domain without a known region is not allowed.
func (c *Core) allowedDomains(route access.Route, customer access.Customer) map[string]struct{} {
	if config := c.Access.Config(); config != nil {
		if r, ok := config.Routes[route.Database]; ok {
			route = r
		}
		if k, ok := config.Customers[customer.Name]; ok {
			customer = k
		}
	}
	if len(route.Regions) == 0 && len(customer.Regions) == 0 {
		return nil
	}
	domains := map[string]struct{}{}
	for domain, region := range c.Regions {
		if isAllowed(route.Regions, region) && isAllowed(customer.Regions, region) {
			domains[domain] = struct{}{}
		}
	}
	return domains
}

// isAllowed reports whether the allowed regions include the region; no regions mean no limit.
func isAllowed(regions []string, region string) bool {
	return len(regions) == 0 || slices.Contains(regions, region)
}
