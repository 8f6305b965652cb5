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
	// callShare is the part of a mesh that each member calls in one interval,
	// as a divisor, and minCalls and maxCalls are the bounds. An exchange serves
	// both sides, so a fourth is enough for every pair in two intervals.
	callShare = 4
	minCalls  = 2
	maxCalls  = 3
	// distantEvery is the number of intervals of a large fleet of which one goes
	// to a distant member and the others to the view.
	distantEvery = 3
	// stretchSize is the fleet for which the platform is called at the set
	// interval, and maxStretch bounds the factor for a larger one.
	stretchSize = 8
	maxStretch  = 240
	// probeInterval is the time between two calls to a member held dead.
	probeInterval = time.Second
	// viewMargin is the number of rounds over the view until a member of a
	// large fleet is suspect.
	viewMargin = 2
	// unlistedAfter is the silence after which a member that is not watched
	// and not listed is given up, and forgetAfter the time that a dead and
	// unlisted member is remembered.
	unlistedAfter = time.Minute
	forgetAfter   = 10 * time.Minute
)

// Plan is what a tick asks to be done.
type Plan struct {
	Calls []Call
	// Sync is the address to call for all records; empty for none.
	Sync string
}

// Tick ends one heartbeat interval.
func (t *Table) Tick(now time.Time) Plan {
	t.attend(now)
	t.self.Sequence++
	t.expire()
	t.refreshView()
	plan := Plan{Calls: t.calls()}
	if t.syncFrom != "" {
		plan.Sync, t.syncFrom, t.lastSync = t.syncFrom, "", t.attended
	}
	return plan
}

func (t *Table) attend(now time.Time) {
	passed := now.Sub(t.lastTick)
	t.attended += max(0, min(passed, 2*t.timing.Heartbeat))
	t.lastTick = now
}

// expire fires what silence means for each member.
func (t *Table) expire() {
	for _, m := range t.ordered {
		inState, silence := t.attended-m.since, t.attended-max(m.heard, m.watched)
		switch {
		case m.State == Joining && inState > t.suspectAfter()+t.refuteWithin():
			t.fire(m, eventExpired)
		case m.State == Alive && m.watched >= 0 && silence > t.suspectAfter():
			t.fire(m, eventSilent)
		case m.State == Suspect && inState > t.refuteWithin():
			t.fire(m, eventExpired)
		case m.State == Leaving && m.watched >= 0 && silence > t.suspectAfter()+t.refuteWithin():
			t.fire(m, eventExpired)
		case m.State == Dead && inState > forgetAfter && t.unlisted(m):
			t.forget(m)
		case m.State != Dead && m.watched < 0 && t.unlisted(m) && silence > unlistedAfter:
			t.fire(m, eventDelisted)
		}
	}
}

// unlisted reports whether a list read after the member's last progress lacks it.
func (t *Table) unlisted(m *member) bool { return t.listed && !m.listed && t.listedAt > m.heard }

func (t *Table) forget(m *member) {
	delete(t.members, m.VM.ID)
	delete(t.keys, memberKey(m.VM.ID, m.Incarnation))
	t.generation++
}

// suspectAfter is the silence until a watched member is suspect.
func (t *Table) suspectAfter() time.Duration {
	if t.mesh() {
		return t.timing.Suspect
	}
	round := time.Duration(len(t.view)) * t.timing.Heartbeat * distantEvery / (distantEvery - 1)
	return max(t.timing.Suspect, viewMargin*round)
}

// refuteWithin is the time that a suspect has; a larger fleet needs longer to
// carry the suspicion to it and the refutation back.
func (t *Table) refuteWithin() time.Duration {
	levels := bits.Len(uint(t.size))
	grace := t.timing.Dead - t.timing.Suspect
	if t.mesh() {
		return grace
	}
	return max(grace, 2*time.Duration(levels)*t.timing.Heartbeat)
}

func (t *Table) scale() int { return PlatformStretch(t.size) }

// PlatformStretch is the factor by which a fleet of the size stretches the
// intervals of each member's calls to the platform, so that their sum stays
// bounded.
func PlatformStretch(size int) int { return max(1, min(maxStretch, size/stretchSize)) }

// calls returns the heartbeats of this interval: members of the view whose last
// exchange is the longest ago, in a large fleet at times a distant one, and now and
// then a member held dead or not heard yet.
func (t *Table) calls() []Call {
	var chosen []*member
	switch {
	case t.mesh():
		chosen = t.due(max(minCalls, min(maxCalls, (t.size+callShare-2)/callShare)))
	case t.self.Sequence%distantEvery == 0:
		chosen = t.nextDistant()
	default:
		chosen = t.due(1)
	}
	if t.attended-t.lastProbe >= probeInterval {
		t.lastProbe = t.attended
		chosen = append(chosen, t.pick(func(m *member) bool { return m.State == Dead || m.State == Joining })...)
	}
	calls := make([]Call, 0, len(chosen))
	for _, m := range chosen {
		m.calling = true
		calls = append(calls, t.call(m))
	}
	return calls
}

// due returns up to limit members of the view without an exchange in this interval.
func (t *Table) due(limit int) []*member {
	var due []*member
	for _, m := range t.view {
		if !m.calling && t.attended-m.direct >= t.timing.Heartbeat {
			due = append(due, m)
		}
	}
	sort.SliceStable(due, func(i, j int) bool { return due[i].direct < due[j].direct })
	return due[:min(limit, len(due))]
}

// nextDistant returns the distant members in turn.
func (t *Table) nextDistant() []*member {
	if len(t.distant) == 0 {
		return nil
	}
	m := t.distant[t.self.Sequence/distantEvery%uint64(len(t.distant))]
	if m.calling || m.State == Dead {
		return nil
	}
	return []*member{m}
}

// pick returns one member at random that fits and has no call under way.
func (t *Table) pick(fits func(*member) bool) []*member {
	if len(t.ordered) == 0 {
		return nil
	}
	start := t.random.Intn(len(t.ordered))
	for i := range t.ordered {
		if m := t.ordered[(start+i)%len(t.ordered)]; !m.calling && fits(m) {
			return []*member{m}
		}
	}
	return nil
}
