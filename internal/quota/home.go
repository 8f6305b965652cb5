package quota

import (
	"slices"
	"time"

	"chicoryline/internal/statechart"
)

var homeChart = statechart.MustLoad("sharehome")

// holderID identifies one process that holds shares.
type holderID struct {
	vm    string
	start uint64
}

// account is the home's record of one holder.
type account struct {
	id      holderID
	share   Share // upper bound of what the holder holds
	seq     uint64
	expires time.Time
	demand  float64
}

// home is the protocol state of one resource at the VM that splits its total, or that
// is a candidate for this.
type home struct {
	timing    timing
	start     uint64
	resource  string
	startedAt time.Time
	machine   *statechart.Machine
	total     Total
	policy    policy
	members   *members
	// grantAllFree makes the home grant its whole free share to the holders that renew,
	// so that their reports to the next home cover the whole total.
	grantAllFree bool
	// skipSettling makes a new home grant the whole total at once. Only faulty variants
	// in tests set it.
	skipSettling bool

	epoch         uint64               // of this home's election
	highestEpoch  uint64               // highest epoch received
	activatedAt   time.Time            // when it won its election
	promises      map[string]time.Time // VM to expiry of its promise
	accounts      map[holderID]*account
	accountsByAge []*account // same accounts, oldest first, so that sums are reproducible
	grantable     Share      // sum of the shares that the home may grant
	pool          bucket     // tokens of the free share
}

func newHome(t timing, start uint64, resource string, now time.Time, m *members) *home {
	return &home{
		timing: t, start: start, resource: resource, startedAt: now, members: m, policy: defaultPolicy,
		machine: homeChart.Start(), promises: map[string]time.Time{}, accounts: map[holderID]*account{},
	}
}

// renew answers one renewal.
func (m *home) renew(now time.Time, r Renewal) Grant {
	if !m.machine.Done() {
		m.highestEpoch = max(m.highestEpoch, r.Epoch)
		m.fire(now, "asked")
		m.recordPromise(r)
		m.updateState(now)
	}
	g := Grant{Resource: r.Resource, Seq: r.Seq, Home: m.start, Epoch: m.epoch, Leaving: m.machine.Done()}
	g.Mark = int64(now.Sub(m.startedAt)) + 1
	g.Acting = m.isActing()
	if !g.Acting {
		return g
	}
	if r.Home != m.start || r.Mark < int64(m.activatedAt.Sub(m.startedAt)) {
		// The holder may have sent this report before the home was elected.
		g.Again = true
		return g
	}
	m.grant(now, r, &g)
	return g
}

// isActing reports whether the home may grant.
func (m *home) isActing() bool {
	state := m.machine.State()
	return state == "settling" || state == "serving"
}

// leave stops acting as home permanently.
func (m *home) leave(now time.Time) {
	if !m.machine.Done() {
		m.fire(now, "leave")
	}
}

// setTotal sets a new total.
func (m *home) setTotal(now time.Time, total Total) {
	m.total = total
	if m.machine.State() == "serving" {
		m.grantable = Share{Rate: total.shareUnits(), Burst: ShareUnits}
	}
	m.resizePool(now)
}

// recordPromise records a promise, whose lifetime starts at the mark that it echoes. A
// holder promises a different home only for an epoch higher than the ones it knows. The
// home therefore moves to a higher epoch if it receives a higher one, or if it receives
// its own from a holder that has not promised it anything.
func (m *home) recordPromise(r Renewal) {
	if r.Promise && r.Home == m.start {
		m.promises[r.VM] = m.startedAt.Add(time.Duration(r.Mark)).Add(m.timing.homePromise())
	}
	_, promised := m.promises[r.VM]
	if r.Epoch > m.epoch || (r.Epoch == m.epoch && !promised && !m.isActing()) {
		m.epoch = m.highestEpoch + 1
	}
}

// updateState fires the events due to elapsed time and to received promises.
func (m *home) updateState(now time.Time) {
	promised := func(vm string) bool { return now.Before(m.promises[vm]) }
	if m.members.hasMajority(now, promised) {
		m.fire(now, "majority")
	} else {
		m.fire(now, "minority")
	}
	m.removeAccounts(func(a *account) bool { return !now.Before(a.expires) })
	if m.isActing() && (m.skipSettling || !now.Before(m.activatedAt.Add(m.timing.homeLease()))) {
		m.fire(now, "settled")
	}
}

func (m *home) fire(now time.Time, event string) {
	actions, err := m.machine.Fire(event)
	if err != nil {
		panic(err)
	}
	for _, action := range actions {
		m.perform(now, action)
	}
}

func (m *home) perform(now time.Time, action string) {
	switch action {
	case "propose":
		m.epoch = max(m.epoch, m.highestEpoch) + 1
	case "activate":
		m.activatedAt = now
		m.removeAccounts(func(*account) bool { return true })
		m.grantable = Share{}
		m.pool = bucket{at: now}
	case "free_reserve":
		m.grantable = Share{Rate: m.total.shareUnits(), Burst: ShareUnits}
	case "step_down":
		m.removeAccounts(func(*account) bool { return true })
		m.grantable = Share{}
		m.pool = bucket{at: now}
	default:
		panic("quota: unknown action " + action)
	}
}

// removeAccounts removes the matching accounts.
func (m *home) removeAccounts(match func(*account) bool) {
	m.accountsByAge = slices.DeleteFunc(m.accountsByAge, func(a *account) bool {
		if !match(a) {
			return false
		}
		delete(m.accounts, a.id)
		return true
	})
}

// grant answers a holder whose report was sent after this home's election. Until its
// next report, the holder may hold the larger of the reported and the granted share.
func (m *home) grant(now time.Time, r Renewal, g *Grant) {
	id := holderID{r.VM, r.Start}
	a := m.accounts[id]
	if a == nil {
		a = &account{id: id}
		m.accounts[id] = a
		m.accountsByAge = append(m.accountsByAge, a)
		if m.machine.State() == "settling" {
			m.grantable.Rate += r.Held.Rate
			m.grantable.Burst += r.Held.Burst
		}
	} else if r.Seq <= a.seq {
		return
	}
	a.seq, a.demand, a.share = r.Seq, r.Demand, r.Held
	a.share.Rate = max(a.share.Rate, r.Using)
	a.expires = now.Add(m.timing.homeLease())
	m.resizePool(now)
	m.pool.add(r.Returned)
	if r.Leaving {
		m.removeAccounts(func(other *account) bool { return other == a })
		m.resizePool(now)
		return
	}
	g.Granted = true
	g.Share = m.split(id, &r)
	g.Tokens = m.takeFromPool(&r, g.Share)
	a.share = Share{Rate: max(r.Held.Rate, r.Using, g.Share.Rate), Burst: max(r.Held.Burst, g.Share.Burst), Of: g.Share.Of}
	g.Again = g.Share.Rate < r.Held.Rate/2 || g.Share.Burst < r.Held.Burst/2
	m.resizePool(now)
	if m.grantAllFree && m.freeShare() == (Share{}) {
		m.leave(now)
	}
}

// freeShare returns the part of the grantable share that no holder may hold.
func (m *home) freeShare() Share {
	f := Share{Rate: m.grantable.Rate, Burst: m.grantable.Burst}
	for _, a := range m.accountsByAge {
		f.Rate -= a.share.Rate
		f.Burst -= a.share.Burst
	}
	f.Rate, f.Burst = max(0, f.Rate), max(0, f.Burst)
	return f
}

// resizePool sets the rate and depth of the home's own bucket to the free share.
func (m *home) resizePool(now time.Time) {
	f := m.freeShare()
	m.pool.resize(now, m.total.Rate*float64(f.Rate)/float64(ShareUnits), m.total.Burst*float64(f.Burst)/float64(ShareUnits))
}
