// Package quota splits limits that count over all VMs into leased shares: the
// rate and burst of a customer, and the connections of a backend server.
//
// Each resource has a home VM. It grants parts of the total to holders; each
// part has a lease that the holder counts from before it sent its renewal and
// the home from when it answered, so the home never counts it as free too
// early and no clocks are compared. A home acts only while a majority of the
// registered holders has promised to take shares from it alone. A new home
// renews at once what holders report after it became home, and keeps back the
// rest until every lease that an earlier home can have granted has ended.
//
// The parts of rate and burst always add up to at most the whole, tokens are
// kept only inside a burst part, and a part that moves takes its tokens along
// or forfeits them. So in any t seconds at most rate*t + burst units are
// admitted over all VMs.
//
// holder and home are plain decisions with the clock passed in; Node drives
// them with actors and calls between processes.
package quota
