package quota

import (
	"slices"
	"time"

	"chicoryline/internal/statechart"
)

var homeChart = statechart.MustLoad("sharehome")

// holderID names one process that holds shares.
type holderID struct {
	vm    string
	start uint64
}

// account is what a holder may hold, as the home counts it.
type account struct {
	id      holderID
	share   Share // no less than the holder holds
	seq     uint64
	expires time.Time
	demand  float64
}

// home is the decision on one resource at the VM that splits it.
type home struct {
	timing    timing
	start     uint64
	resource  string
	startedAt time.Time
	machine   *statechart.Machine
	total     Total
	policy    policy
	members   *members
	// grantAllFree makes the home hand all that is free to the holders that renew,
	// so that the next home finds the whole in their reports.
	grantAllFree bool
	// skipSettling makes a new home grant the whole at once. Only the naive
	// variant of the proofs sets it.
	skipSettling bool

	epoch         uint64
	highestEpoch  uint64 // highest epoch seen
	activated     time.Time
	promises      map[string]time.Time // VM to the end of its promise
	accounts      map[holderID]*account
	accountsByAge []*account // the same, oldest first, so that sums are reproducible
	grantable     Share      // what the home may grant in all
	pool          bucket
}

func newHome(t timing, start uint64, resource string, now time.Time, m *members) *home {
	return &home{
		timing: t, start: start, resource: resource, startedAt: now, members: m, policy: defaultPolicy,
		machine: homeChart.Start(), promises: map[string]time.Time{}, accounts: map[holderID]*account{},
	}
}

// renew answers one renewal at the time now.
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
	if r.Home != m.start || r.Mark < int64(m.activated.Sub(m.startedAt)) {
		// The report may be older than this home's reign.
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

// leave ends the duty of home for good.
func (m *home) leave(now time.Time) {
	if !m.machine.Done() {
		m.fire(now, "leave")
	}
}

// setTotal takes a new total.
func (m *home) setTotal(now time.Time, total Total) {
	m.total = total
	if m.machine.State() == "serving" {
		m.grantable = Share{Rate: total.shareUnits(), Burst: ShareUnits}
	}
	m.resizePool(now)
}

// recordPromise counts a promise from the mark that it echoes. A holder promises
// another home only for a higher epoch than it knows, so a home that hears of
// a higher one, or of its own from a holder that has promised it nothing, goes
// on under a higher epoch.
func (m *home) recordPromise(r Renewal) {
	if r.Promise && r.Home == m.start {
		m.promises[r.VM] = m.startedAt.Add(time.Duration(r.Mark)).Add(m.timing.homePromise())
	}
	_, promised := m.promises[r.VM]
	if r.Epoch > m.epoch || (r.Epoch == m.epoch && !promised && !m.isActing()) {
		m.epoch = m.highestEpoch + 1
	}
}

// updateState fires the events that time and promises bring.
func (m *home) updateState(now time.Time) {
	promised := func(vm string) bool { return now.Before(m.promises[vm]) }
	if m.members.hasMajority(now, promised) {
		m.fire(now, "majority")
	} else {
		m.fire(now, "minority")
	}
	m.removeAccounts(func(a *account) bool { return !now.Before(a.expires) })
	if m.isActing() && (m.skipSettling || !now.Before(m.activated.Add(m.timing.homeLease()))) {
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
		m.activated = now
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

// removeAccounts forgets the accounts that match.
func (m *home) removeAccounts(match func(*account) bool) {
	m.accountsByAge = slices.DeleteFunc(m.accountsByAge, func(a *account) bool {
		if !match(a) {
			return false
		}
		delete(m.accounts, a.id)
		return true
	})
}

// grant answers a holder whose report was sent in this home's reign. Until the
// holder reports again it may hold the larger of what it reported and what it
// is granted.
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

// freeShare is what no holder may hold.
func (m *home) freeShare() Share {
	f := Share{Rate: m.grantable.Rate, Burst: m.grantable.Burst}
	for _, a := range m.accountsByAge {
		f.Rate -= a.share.Rate
		f.Burst -= a.share.Burst
	}
	f.Rate, f.Burst = max(0, f.Rate), max(0, f.Burst)
	return f
}

// resizePool gives the home's own bucket the parts that are free.
func (m *home) resizePool(now time.Time) {
	f := m.freeShare()
	m.pool.resize(now, m.total.Rate*float64(f.Rate)/float64(ShareUnits), m.total.Burst*float64(f.Burst)/float64(ShareUnits))
}
