package fleet

import (
	"math/bits"
	"sort"
	"time"
)

const (
	// MeshSize is the largest fleet in which every member exchanges heartbeats
	// with all others.
	MeshSize = 16
	// In a mesh, each member calls 1/meshCallDivisor of the others per interval, bounded
	// by minMeshCalls and maxMeshCalls. An exchange informs both sides, so with a fourth
	// every pair has an exchange within two intervals.
	meshCallDivisor = 4
	minMeshCalls    = 2
	maxMeshCalls    = 3
	// distantCallPeriod: in a large fleet, one of every distantCallPeriod intervals is
	// used to call a distant member, the others to call the view.
	distantCallPeriod = 3
	// baseIntervalFleetSize is the fleet size up to which the platform is called at the
	// configured interval; maxIntervalFactor bounds the factor for larger fleets.
	baseIntervalFleetSize = 8
	maxIntervalFactor     = 240
	// unreachableProbeInterval is the time between two calls to members that are dead or
	// joining.
	unreachableProbeInterval = time.Second
	// viewRoundsToSuspect is the number of rounds of calls to the whole view after which a
	// silent member of a large fleet is suspect.
	viewRoundsToSuspect = 2
	// unlistedTimeout is the silence after which a member that is neither watched nor
	// listed is declared dead. forgetDeadAfter is the time after which a dead and
	// unlisted member is removed from the table.
	unlistedTimeout = time.Minute
	forgetDeadAfter = 10 * time.Minute
)

// Plan holds the calls to make after a tick.
type Plan struct {
	Calls []Call
	// Sync is the address to request all records from; empty for none.
	Sync string
}

// Tick processes the end of one heartbeat interval.
func (t *Table) Tick(now time.Time) Plan {
	t.advanceActiveTime(now)
	t.self.Sequence++
	t.fireTimeouts()
	t.refreshView()
	plan := Plan{Calls: t.calls()}
	if t.syncFrom != "" {
		plan.Sync, t.syncFrom, t.lastSync = t.syncFrom, "", t.activeTime
	}
	return plan
}

func (t *Table) advanceActiveTime(now time.Time) {
	passed := now.Sub(t.lastTick)
	t.activeTime += max(0, min(passed, 2*t.timing.Heartbeat))
	t.lastTick = now
}

// fireTimeouts fires the events of all timeouts that have expired.
func (t *Table) fireTimeouts() {
	for _, m := range t.ordered {
		inState, silence := t.activeTime-m.stateSince, t.activeTime-max(m.progressAt, m.watchedSince)
		switch {
		case m.State == Joining && inState > t.suspectAfter()+t.refutationPeriod():
			t.fire(m, eventExpired)
		case m.State == Alive && m.watchedSince >= 0 && silence > t.suspectAfter():
			t.fire(m, eventSilent)
		case m.State == Suspect && inState > t.refutationPeriod():
			t.fire(m, eventExpired)
		case m.State == Leaving && m.watchedSince >= 0 && silence > t.suspectAfter()+t.refutationPeriod():
			t.fire(m, eventExpired)
		case m.State == Dead && inState > forgetDeadAfter && t.isUnlisted(m):
			t.forget(m)
		case m.State != Dead && m.watchedSince < 0 && t.isUnlisted(m) && silence > unlistedTimeout:
			t.fire(m, eventDelisted)
		}
	}
}

// isUnlisted reports whether a list read after the member's last progress omits it.
func (t *Table) isUnlisted(m *member) bool { return t.listed && !m.listed && t.listedAt > m.progressAt }

func (t *Table) forget(m *member) {
	delete(t.members, m.VM.ID)
	delete(t.keys, memberKey(m.VM.ID, m.Incarnation))
	t.generation++
}

// suspectAfter returns the silence after which a watched member is suspect.
func (t *Table) suspectAfter() time.Duration {
	if t.isMesh() {
		return t.timing.Suspect
	}
	round := time.Duration(len(t.view)) * t.timing.Heartbeat * distantCallPeriod / (distantCallPeriod - 1)
	return max(t.timing.Suspect, viewRoundsToSuspect*round)
}

// refutationPeriod returns the time that a suspect has to refute the suspicion. In a
// larger fleet the suspicion and the refutation take longer to spread.
func (t *Table) refutationPeriod() time.Duration {
	levels := bits.Len(uint(t.size))
	grace := t.timing.Dead - t.timing.Suspect
	if t.isMesh() {
		return grace
	}
	return max(grace, 2*time.Duration(levels)*t.timing.Heartbeat)
}

func (t *Table) platformIntervalFactor() int { return PlatformIntervalFactor(t.size) }

// PlatformIntervalFactor returns the factor for the interval between a member's calls to
// the platform. It grows with the fleet, so that the total rate of calls stays bounded.
func PlatformIntervalFactor(size int) int {
	return max(1, min(maxIntervalFactor, size/baseIntervalFleetSize))
}

// calls returns the heartbeats of this interval: to the members of the view whose last
// exchange is the oldest, or in a large fleet sometimes to a distant member. Once per
// unreachableProbeInterval it adds a member that is dead or joining.
func (t *Table) calls() []Call {
	var chosen []*member
	switch {
	case t.isMesh():
		chosen = t.dueForExchange(max(minMeshCalls, min(maxMeshCalls, (t.size+meshCallDivisor-2)/meshCallDivisor)))
	case t.self.Sequence%distantCallPeriod == 0:
		chosen = t.nextDistant()
	default:
		chosen = t.dueForExchange(1)
	}
	if t.activeTime-t.lastProbe >= unreachableProbeInterval {
		t.lastProbe = t.activeTime
		chosen = append(chosen, t.pickRandom(func(m *member) bool { return m.State == Dead || m.State == Joining })...)
	}
	calls := make([]Call, 0, len(chosen))
	for _, m := range chosen {
		m.callInFlight = true
		calls = append(calls, t.newCall(m))
	}
	return calls
}

// dueForExchange returns up to limit members of the view that had no exchange in this
// interval, oldest exchange first.
func (t *Table) dueForExchange(limit int) []*member {
	var due []*member
	for _, m := range t.view {
		if !m.callInFlight && t.activeTime-m.lastExchange >= t.timing.Heartbeat {
			due = append(due, m)
		}
	}
	sort.SliceStable(due, func(i, j int) bool { return due[i].lastExchange < due[j].lastExchange })
	return due[:min(limit, len(due))]
}

// nextDistant returns the next distant member in round-robin order.
func (t *Table) nextDistant() []*member {
	if len(t.distant) == 0 {
		return nil
	}
	m := t.distant[t.self.Sequence/distantCallPeriod%uint64(len(t.distant))]
	if m.callInFlight || m.State == Dead {
		return nil
	}
	return []*member{m}
}

// pickRandom returns one random member that matches and has no call in flight.
func (t *Table) pickRandom(matches func(*member) bool) []*member {
	if len(t.ordered) == 0 {
		return nil
	}
	start := t.random.Intn(len(t.ordered))
	for i := range t.ordered {
		if m := t.ordered[(start+i)%len(t.ordered)]; !m.callInFlight && matches(m) {
			return []*member{m}
		}
	}
	return nil
}
