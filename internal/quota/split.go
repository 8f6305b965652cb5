package quota

// policy holds the settings of the split.
type policy struct {
	headroom       float64 // rate granted for each unit of demand
	evenPart       float64 // of the rate, split evenly among all holders
	poolRatePart   float64 // of the rate, never granted as a share
	burstPerRate   float64 // of the burst, granted in proportion to the rate
	extraTokenPart float64 // of the pool's tokens, given along with a larger burst
	poolBurstPart  float64 // part of the burst, never granted as a share
	// minTokensPerInterval is the number of tokens that a holder must use in one renewal
	// interval to get a standing share. Below it, each request asks the home.
	minTokensPerInterval float64
}

var defaultPolicy = policy{
	headroom: 1, evenPart: 0.04, poolRatePart: 0.05, burstPerRate: 0.5, extraTokenPart: 0.1, poolBurstPart: 0.2, minTokensPerInterval: 0.8,
}

// firstPolicy is the first version, kept for the measurement.
var firstPolicy = policy{headroom: 1.3, evenPart: 0.08, poolRatePart: 0.05, burstPerRate: 0.5, extraTokenPart: 0.1}

// split is the share that the holder gets now.
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

// ratePart is the part of the rate for a holder of the given demand.
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

// demandPart is the part of the rate that a demand in units per second calls for,
// with an even part for a holder that asks for little.
func (m *home) demandPart(demand float64) float64 {
	even := m.policy.evenPart / float64(len(m.accounts))
	if m.total.Rate <= 0 || m.isSparse(demand+even*m.total.Rate) {
		return 0
	}
	return m.policy.headroom*min(1, demand/m.total.Rate) + even
}

// isSparse reports whether a demand in units per second is too small for a
// standing share, of which a part of a token would lie idle at every holder.
func (m *home) isSparse(demand float64) bool {
	return demand*m.timing.interval.Seconds() < m.policy.minTokensPerInterval
}

// burstTarget is the part of the burst, out of Whole: in proportion to the
// rate, no less than one unit where the burst allows it, and the tokens that
// the holder misses.
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

// takeFromPool takes from the pool what goes along with a larger burst part. Tokens
// on the way need room of their own, so there are never more than the part by
// which the burst grows.
func (m *home) takeFromPool(r *Renewal, share Share) float64 {
	if m.total.isCount() {
		return 0
	}
	room := float64(share.Burst-r.Held.Burst) / float64(ShareUnits) * m.total.Burst
	n := max(0, min(room, m.pool.tokens, r.Want+m.policy.extraTokenPart*m.pool.tokens))
	m.pool.tokens -= n
	return n
}

// countTarget splits a count by demand. The holder that wants most gets what
// rounding leaves.
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
