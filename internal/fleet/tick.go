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
	// meshCallDivisor is the part of a mesh that each member calls in one interval,
	// as a divisor, and minCalls and maxCalls are the bounds. An exchange serves
	// both sides, so a fourth is enough for every pair in two intervals.
	meshCallDivisor = 4
	minMeshCalls    = 2
	maxMeshCalls    = 3
	// distantCallPeriod is the number of intervals of a large fleet of which one goes
	// to a distant member and the others to the view.
	distantCallPeriod = 3
	// baseIntervalFleetSize is the fleet for which the platform is called at the set
	// interval, and maxStretch bounds the factor for a larger one.
	baseIntervalFleetSize = 8
	maxIntervalFactor     = 240
	// unreachableProbeInterval is the time between two calls to a member held dead.
	unreachableProbeInterval = time.Second
	// viewRoundsToSuspect is the number of rounds over the view until a member of a
	// large fleet is suspect.
	viewRoundsToSuspect = 2
	// unlistedTimeout is the silence after which a member that is not watched
	// and not listed is given up, and forgetAfter the time that a dead and
	// unlisted member is remembered.
	unlistedTimeout = time.Minute
	forgetDeadAfter = 10 * time.Minute
)

// Plan is what a tick asks to be done.
type Plan struct {
	Calls []Call
	// Sync is the address to call for all records; empty for none.
	Sync string
}

// Tick ends one heartbeat interval.
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

// fireTimeouts fires what silence means for each member.
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

// isUnlisted reports whether a list read after the member's last progress lacks it.
func (t *Table) isUnlisted(m *member) bool { return t.listed && !m.listed && t.listedAt > m.progressAt }

func (t *Table) forget(m *member) {
	delete(t.members, m.VM.ID)
	delete(t.keys, memberKey(m.VM.ID, m.Incarnation))
	t.generation++
}

// suspectAfter is the silence until a watched member is suspect.
func (t *Table) suspectAfter() time.Duration {
	if t.isMesh() {
		return t.timing.Suspect
	}
	round := time.Duration(len(t.view)) * t.timing.Heartbeat * distantCallPeriod / (distantCallPeriod - 1)
	return max(t.timing.Suspect, viewRoundsToSuspect*round)
}

// refutationPeriod is the time that a suspect has; a larger fleet needs longer to
// carry the suspicion to it and the refutation back.
func (t *Table) refutationPeriod() time.Duration {
	levels := bits.Len(uint(t.size))
	grace := t.timing.Dead - t.timing.Suspect
	if t.isMesh() {
		return grace
	}
	return max(grace, 2*time.Duration(levels)*t.timing.Heartbeat)
}

func (t *Table) platformIntervalFactor() int { return PlatformIntervalFactor(t.size) }

// PlatformIntervalFactor is the factor by which a fleet of the size stretches the
// intervals of each member's calls to the platform, so that their sum stays
// bounded.
func PlatformIntervalFactor(size int) int {
	return max(1, min(maxIntervalFactor, size/baseIntervalFleetSize))
}

// calls returns the heartbeats of this interval: members of the view whose last
// exchange is the longest ago, in a large fleet at times a distant one, and now and
// then a member held dead or not heard yet.
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

// dueForExchange returns up to limit members of the view without an exchange in this interval.
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

// nextDistant returns the distant members in turn.
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

// pickRandom returns one member at random that fits and has no call under way.
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
