// Package quota splits limits that apply to all VMs together into leased shares:
// the rate and burst of a customer, and the connections of a backend server.
//
// A resource is one such limit. Each resource has a home: the VM that grants
// shares of the total to the holders, which are the VMs that use it. The lease of
// a share starts, for the holder, before it sends the renewal and, for the home,
// when it answers. The home therefore never reuses a share too early, and no clocks
// are compared between VMs.
//
// Homes are elected. A promise is a time-bounded vote by which a holder takes
// shares from one home only; an epoch numbers the elections. A home acts, that is,
// grants shares, only while it has promises from a majority of the registered
// holders. A new home renews at once the shares that holders report after its
// election. It reserves the rest until every lease granted by an earlier home must
// have expired.
//
// The shares of rate and burst never add up to more than the total, tokens are
// stored only within a share of the burst, and a share that moves either takes its
// tokens along or forfeits them. In any t seconds, all VMs together therefore admit
// at most rate*t + burst units.
//
// The types holder and home contain the protocol logic and get the current time as
// an argument; Node runs them with actors and calls between processes.
package quota
