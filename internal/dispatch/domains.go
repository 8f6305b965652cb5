package dispatch

import (
	"slices"

	"chicoryline/internal/connset"
	"chicoryline/internal/errkind"
)

// allows reports whether the call's allowed failure domains include that of the server.
func (c *Call) allows(s *Server) bool {
	if c.Domains == nil {
		return true
	}
	_, ok := c.Domains[s.Info().Domain]
	return ok
}

// controlCustomer returns the customer in whose name servers are asked for their status on behalf
// of the call. A call with allowed failure domains names none: the servers may be in any domain.
func (c *Call) controlCustomer() string {
	if c.Domains != nil {
		return ""
	}
	return c.Customer
}

// refuseDomain counts and returns an error for a call whose allowed failure domains have no server
// that can run it. A retry may succeed once the group's servers or primary have changed.
func (g *Group) refuseDomain(format string, kind errkind.Kind) error {
	g.outsideDomains.Add(1)
	return errkind.NewRetryAfter(kind, noPrimaryRetryAfter, format, g.Name)
}

// checkDomains returns an error if no server of the group is in an allowed failure domain of the
// call that is not evacuated.
func (g *Group) checkDomains(call *Call) error {
	if call.Domains == nil {
		return nil
	}
	servers := g.Servers()
	if slices.ContainsFunc(servers, func(s *Server) bool { return call.allows(s) && !g.isEvacuated(s.Info().Domain) }) {
		return nil
	}
	if slices.ContainsFunc(servers, call.allows) {
		return errkind.NewRetryAfter(errkind.Unreachable, evacuatedRetryAfter, "the allowed servers of %s are in evacuated failure domains", g.Name)
	}
	return g.refuseDomain("no backend server of %s is in an allowed region", errkind.Unreachable)
}

// checkPrimary returns an error if the primary must not get the call's statement: it is outside the
// allowed failure domains, or cold and at its limit. s may be nil.
func (g *Group) checkPrimary(s *Server, call *Call) error {
	if s == nil {
		return nil
	}
	if !call.allows(s) {
		return g.refuseDomain("the primary of %s is outside the allowed regions", errkind.NoPrimary)
	}
	if call.positionOnly || g.coldLimit.Load() == nil {
		return nil
	}
	if g.isAtColdLimit(s) {
		return g.refuseCold(s)
	}
	return nil
}

// positionCall returns the call that obtains a position on behalf of the given one. It carries
// nothing of its statement or session. Where the primary is outside the allowed failure domains, it
// does not name the customer either, so that the other servers can run the read.
func (g *Group) positionCall(call *Call) *Call {
	own := *call
	own.SessionState, own.attempts, own.positionOnly = connset.SessionState{}, attempts{firstRefused: call.firstRefused}, true
	if s := g.Leader(); own.Domains != nil && (s == nil || !call.allows(s)) {
		own.Customer, own.Domains = "", nil
	}
	return &own
}
