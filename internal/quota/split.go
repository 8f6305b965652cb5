package quota

// policy holds the parameters by which the home splits the total.
type policy struct {
	headroom       float64 // rate granted for each unit of demand
	evenPart       float64 // part of the rate that is split evenly among all holders
	poolRatePart   float64 // part of the rate that is never granted as a share
	burstPerRate   float64 // part of the burst that is granted in proportion to the rate
	extraTokenPart float64 // part of the pool's tokens that is granted along with a larger burst
	poolBurstPart  float64 // part of the burst that is never granted as a share
	// minTokensPerInterval is the number of tokens that a holder must use in one renewal
	// interval to get a share of the rate. Below that, it asks the home for each request.
	minTokensPerInterval float64
}

var defaultPolicy = policy{
	headroom: 1, evenPart: 0.04, poolRatePart: 0.05, burstPerRate: 0.5, extraTokenPart: 0.1, poolBurstPart: 0.2, minTokensPerInterval: 0.8,
}

// earlierPolicy is the first version of the policy, kept for comparison in Measure.
var earlierPolicy = policy{headroom: 1.3, evenPart: 0.08, poolRatePart: 0.05, burstPerRate: 0.5, extraTokenPart: 0.1}

// split returns the share to grant to the holder now.
func (m *home) split(id holderID, r *Renewal) Share {
	free := m.freeShare()
	available := Share{Rate: free.Rate + max(r.Held.Rate, r.Using), Burst: free.Burst + r.Held.Burst, Of: m.total.shareUnits()}
	if m.grantAllFree {
		r.Want = m.total.Burst
		return available
	}
	if m.total.isCount() {
		return Share{Rate: min(m.countTarget(id), available.Rate), Of: m.total.shareUnits()}
	}
	part := m.ratePart(r.Demand)
	available.Burst -= int64(m.policy.poolBurstPart * float64(m.grantable.Burst))
	want := Share{Rate: int64(part * float64(ShareUnits)), Of: ShareUnits}
	want.Burst = m.burstTarget(part, r)
	want.Rate = min(want.Rate, available.Rate)
	want.Burst = max(0, min(want.Burst, available.Burst))
	return want
}

// ratePart returns the part of the rate for a holder with the given demand.
func (m *home) ratePart(demand float64) float64 {
	sum := 0.0
	for _, a := range m.accountsByAge {
		sum += m.demandPart(a.demand)
	}
	part := m.demandPart(demand)
	if limit := (1 - m.policy.poolRatePart) * float64(m.grantable.Rate) / float64(ShareUnits); sum > limit {
		part *= limit / sum
	}
	return part
}

// demandPart returns the part of the rate that a demand in units per second requires,
// plus the holder's portion of evenPart. It is 0 for a sparse demand.
func (m *home) demandPart(demand float64) float64 {
	even := m.policy.evenPart / float64(len(m.accounts))
	if m.total.Rate <= 0 || m.isSparse(demand+even*m.total.Rate) {
		return 0
	}
	return m.policy.headroom*min(1, demand/m.total.Rate) + even
}

// isSparse reports whether a demand in units per second is too small for a share of the
// rate, which would leave a fraction of a token unused at every holder.
func (m *home) isSparse(demand float64) bool {
	return demand*m.timing.interval.Seconds() < m.policy.minTokensPerInterval
}

// burstTarget returns the share of the burst, in ShareUnits: proportional to the rate,
// at least one unit if the burst allows it, and enough for the tokens that the holder
// is missing.
func (m *home) burstTarget(part float64, r *Renewal) int64 {
	if m.total.Burst <= 0 {
		return 0
	}
	base := m.policy.burstPerRate * part
	lowest := 0.0
	if part > 0 {
		lowest = min(1/m.total.Burst, m.policy.burstPerRate/float64(len(m.accounts)))
	}
	target := max(base, lowest)*float64(ShareUnits) + 1
	if r.Want > 0 {
		target = max(target, float64(r.Held.Burst)+r.Want/m.total.Burst*float64(ShareUnits)+1)
	}
	return int64(min(target, float64(ShareUnits)))
}

// takeFromPool removes from the pool the tokens to grant along with a larger burst share.
// The holder's bucket may be full when the tokens arrive, so they need capacity of their
// own: their number is at most the increase of the holder's burst.
func (m *home) takeFromPool(r *Renewal, share Share) float64 {
	if m.total.isCount() {
		return 0
	}
	room := float64(share.Burst-r.Held.Burst) / float64(ShareUnits) * m.total.Burst
	n := max(0, min(room, m.pool.tokens, r.Want+m.policy.extraTokenPart*m.pool.tokens))
	m.pool.tokens -= n
	return n
}

// countTarget returns the holder's connections in a split by demand. The holder with the
// largest demand gets the remainder from rounding.
func (m *home) countTarget(id holderID) int64 {
	var sum float64
	for _, a := range m.accountsByAge {
		sum += a.demand
	}
	if sum <= 0 {
		return 0
	}
	left := m.total.shareUnits()
	var largest holderID
	for _, a := range m.accountsByAge {
		left -= m.countPart(a.demand, sum)
		if best := m.accounts[largest]; best == nil || a.demand > best.demand ||
			(a.demand == best.demand && a.id.vm < largest.vm) {
			largest = a.id
		}
	}
	part := m.countPart(m.accounts[id].demand, sum)
	if id == largest {
		part += left
	}
	return part
}

func (m *home) countPart(demand, sum float64) int64 {
	return int64(float64(m.total.Count) * demand / sum)
}
