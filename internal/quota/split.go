package quota

// policy holds the settings of the split.
type policy struct {
	headroom  float64 // rate granted for each unit of demand
	quietPart float64 // of the rate, split evenly among all holders
	poolPart  float64 // of the rate, never granted as a share
	burstPart float64 // of the burst, granted in proportion to the rate
	fillPart  float64 // of the pool's tokens, given along with a larger burst
	poolBurst float64 // part of the burst, never granted as a share
	// sparse is the number of tokens that a holder must use in one renewal
	// interval to get a standing share. Below it, each request asks the home.
	sparse float64
}

var defaultPolicy = policy{
	headroom: 1, quietPart: 0.04, poolPart: 0.05, burstPart: 0.5, fillPart: 0.1, poolBurst: 0.2, sparse: 0.8,
}

// firstPolicy is the first version, kept for the measurement.
var firstPolicy = policy{headroom: 1.3, quietPart: 0.08, poolPart: 0.05, burstPart: 0.5, fillPart: 0.1}

// split is the share that the holder gets now.
func (m *home) split(id holderID, r *Renewal) Share {
	free := m.free()
	available := Share{Rate: free.Rate + max(r.Held.Rate, r.Using), Burst: free.Burst + r.Held.Burst, Of: m.total.of()}
	if m.emptying {
		r.Want = m.total.Burst
		return available
	}
	if m.total.counted() {
		return Share{Rate: min(m.countTarget(id), available.Rate), Of: m.total.of()}
	}
	part := m.ratePart(r.Demand)
	available.Burst -= int64(m.policy.poolBurst * float64(m.ceiling.Burst))
	want := Share{Rate: int64(part * float64(Whole)), Of: Whole}
	want.Burst = m.burstTarget(part, r)
	want.Rate = min(want.Rate, available.Rate)
	want.Burst = max(0, min(want.Burst, available.Burst))
	return want
}

// ratePart is the part of the rate for a holder of the given demand.
func (m *home) ratePart(demand float64) float64 {
	sum := 0.0
	for _, a := range m.ordered {
		sum += m.need(a.demand)
	}
	part := m.need(demand)
	if most := (1 - m.policy.poolPart) * float64(m.ceiling.Rate) / float64(Whole); sum > most {
		part *= most / sum
	}
	return part
}

// need is the part of the rate that a demand in units per second calls for,
// with an even part for a holder that asks for little.
func (m *home) need(demand float64) float64 {
	quiet := m.policy.quietPart / float64(len(m.accounts))
	if m.total.Rate <= 0 || m.isSparse(demand+quiet*m.total.Rate) {
		return 0
	}
	return m.policy.headroom*min(1, demand/m.total.Rate) + quiet
}

// isSparse reports whether a demand in units per second is too small for a
// standing share, of which a part of a token would lie idle at every holder.
func (m *home) isSparse(demand float64) bool {
	return demand*m.timing.interval.Seconds() < m.policy.sparse
}

// burstTarget is the part of the burst, out of Whole: in proportion to the
// rate, no less than one unit where the burst allows it, and the tokens that
// the holder misses.
func (m *home) burstTarget(part float64, r *Renewal) int64 {
	if m.total.Burst <= 0 {
		return 0
	}
	base := m.policy.burstPart * part
	least := 0.0
	if part > 0 {
		least = min(1/m.total.Burst, m.policy.burstPart/float64(len(m.accounts)))
	}
	target := max(base, least)*float64(Whole) + 1
	if r.Want > 0 {
		target = max(target, float64(r.Held.Burst)+r.Want/m.total.Burst*float64(Whole)+1)
	}
	return int64(min(target, float64(Whole)))
}

// tokens takes from the pool what goes along with a larger burst part. Tokens
// on the way need room of their own, so there are never more than the part by
// which the burst grows.
func (m *home) tokens(r *Renewal, share Share) float64 {
	if m.total.counted() {
		return 0
	}
	room := float64(share.Burst-r.Held.Burst) / float64(Whole) * m.total.Burst
	n := max(0, min(room, m.pool.tokens, r.Want+m.policy.fillPart*m.pool.tokens))
	m.pool.tokens -= n
	return n
}

// countTarget splits a count by demand. The holder that wants most gets what
// rounding leaves.
func (m *home) countTarget(id holderID) int64 {
	var sum float64
	for _, a := range m.ordered {
		sum += a.demand
	}
	if sum <= 0 {
		return 0
	}
	left := m.total.of()
	var most holderID
	for _, a := range m.ordered {
		left -= m.countPart(a.demand, sum)
		if best := m.accounts[most]; best == nil || a.demand > best.demand ||
			(a.demand == best.demand && a.id.vm < most.vm) {
			most = a.id
		}
	}
	part := m.countPart(m.accounts[id].demand, sum)
	if id == most {
		part += left
	}
	return part
}

func (m *home) countPart(demand, sum float64) int64 {
	return int64(float64(m.total.Count) * demand / sum)
}
