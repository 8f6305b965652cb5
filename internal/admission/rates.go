package admission

import (
	"math"
	"time"

	"chicoryline/internal/boottime"
)

// grantRates holds the rate of grants of each priority, averaged over grantMemory.
type grantRates map[int]decayingRate

type decayingRate struct {
	perSecond float64
	at        boottime.Time
}

// decayed returns the rate at the given time.
func (d decayingRate) decayed(now boottime.Time) float64 {
	return d.perSecond * math.Exp(-max(0, now.Sub(d.at).Seconds())/grantMemory.Seconds())
}

// add records a grant and returns the rates, which it creates if necessary.
func (g grantRates) add(priority int, now boottime.Time) grantRates {
	if g == nil {
		g = grantRates{}
	}
	g[priority] = decayingRate{g[priority].decayed(now) + 1/grantMemory.Seconds(), now}
	return g
}

// moreUrgent returns the rate of grants to requests that are more urgent than the priority.
func (g grantRates) moreUrgent(priority int, now boottime.Time) float64 {
	sum := 0.0
	for p, d := range g {
		if p < priority {
			sum += d.decayed(now)
		}
	}
	return sum
}

// Pace limits the number of requests of one kind in flight, averaged over time. The limit may be
// below one: then a pause follows each request.
//
// Load pattern: replicas lag, and the reads of 77 VMs go to a primary with 4 slots. The part of
// each VM is a twentieth of a slot, and one statement in flight at each VM fills the queue of
// the server.
type Pace struct {
	// Urgent is the most urgent priority of these requests. Less urgent ones leave half of the
	// unused time to it: at a VM with a small part, requests hardly ever wait together, and the
	// order among those that wait has no effect.
	Urgent   int
	limited  bool
	limit    float64
	inFlight int
	// lessUrgentAt is when a less urgent request last started.
	lessUrgentAt boottime.Time
	// credit is the time for which requests may be in flight before the average exceeds the
	// limit, at the time at.
	credit time.Duration
	at     boottime.Time
	// elapsed is the total time for which the requests in flight have been so. Which of them ends is
	// not known; each one that does takes the mean with it.
	elapsed time.Duration
}

const (
	// maxPaceCredit times the limit is the unused time that is carried over: two statements or
	// more where the limit is a twentieth.
	maxPaceCredit = time.Second
	// maxPacePause bounds the pause after requests that were in flight for very long: the
	// longest time limit of a statement.
	maxPacePause = 2 * time.Second
	// minPace is the least limit: one statement of 20 ms in maxPacePause.
	minPace = 0.01
	// The usual time in flight over overdueFraction is what a request is expected to need at least
	// from now on, also if it has needed more than usual.
	overdueFraction = 8
)

// SetLimit sets the limit, which is at least minPace.
func (p *Pace) SetLimit(now boottime.Time, limit float64) {
	p.advance(now)
	if !p.limited {
		p.credit = 0
	}
	p.limited, p.limit = true, max(limit, minPace)
}

// Unlimit removes the limit.
func (p *Pace) Unlimit() { p.limited = false }

// Limited reports whether a limit is set.
func (p *Pace) Limited() bool { return p.limited }

// Limit returns the limit, -1 for none.
func (p *Pace) Limit() float64 {
	if !p.limited {
		return -1
	}
	return p.limit
}

// InFlight returns the number of requests in flight.
func (p *Pace) InFlight() int { return p.inFlight }

// Rate returns the number of requests per second that may start if each is in flight for hold, 0
// for no limit.
func (p *Pace) Rate(hold time.Duration) float64 {
	if !p.limited {
		return 0
	}
	return p.limit / hold.Seconds()
}

// WaitBehind returns when a request may start behind others that wait. hold is the usual time
// for which a request is in flight.
func (p *Pace) WaitBehind(now boottime.Time, hold time.Duration, priority, waiting int) time.Duration {
	if !p.limited {
		return 0
	}
	return p.Wait(now, hold, priority) + time.Duration(float64(hold)*float64(waiting)/p.limit)
}

// advance updates the credit.
func (p *Pace) advance(now boottime.Time) {
	gain := (p.limit - float64(p.inFlight)) * float64(now.Sub(p.at))
	p.credit = max(p.minCredit(), min(p.maxCredit(), p.credit+time.Duration(gain)))
	p.elapsed += time.Duration(p.inFlight) * now.Sub(p.at)
	p.at = now
}

// Admits reports whether another request may start.
func (p *Pace) Admits(now boottime.Time, hold time.Duration, priority int) bool {
	return p.Wait(now, hold, priority) == 0
}

// Wait returns when another request may start, 0 for now. hold is the usual time for which a
// request is in flight; those in flight are expected to end after it.
func (p *Pace) Wait(now boottime.Time, hold time.Duration, priority int) time.Duration {
	if !p.limited {
		return 0
	}
	p.advance(now)
	free := p.limit - float64(p.inFlight)
	until := func(credit time.Duration) time.Duration {
		if free > 0 && p.credit >= credit {
			return 0
		}
		wait := time.Duration(math.MaxInt64)
		if free > 0 {
			wait = time.Duration(float64(credit-p.credit) / free)
		}
		if p.inFlight > 0 {
			wait = min(wait, p.waitForEnds(hold, credit))
		}
		return max(wait, time.Millisecond)
	}
	if priority <= p.Urgent {
		return until(0)
	}
	// One start in minShareEvery of those that the limit allows is guaranteed.
	guaranteed := p.lessUrgentAt.Add(time.Duration(minShareEvery * float64(hold) / p.limit)).Sub(now)
	return min(until(p.maxCredit()/2), max(until(0), guaranteed))
}

// waitForEnds returns when the credit is back after the requests in flight have ended: with a limit
// below one, most of the wait is the pause that follows each.
func (p *Pace) waitForEnds(hold, credit time.Duration) time.Duration {
	n := time.Duration(p.inFlight)
	end := max(hold-p.elapsed/n, hold/overdueFraction)
	left := max(p.minCredit(), p.credit-time.Duration((float64(n)-p.limit)*float64(end)))
	return end + max(0, time.Duration(float64(credit-left)/p.limit))
}

// minCredit is negative and bounds the pause.
func (p *Pace) minCredit() time.Duration { return -time.Duration(p.limit * float64(maxPacePause)) }

func (p *Pace) maxCredit() time.Duration { return time.Duration(p.limit * float64(maxPaceCredit)) }

// Start records that a request starts.
func (p *Pace) Start(now boottime.Time, priority int) {
	p.advance(now)
	p.inFlight++
	if priority > p.Urgent {
		p.lessUrgentAt = now
	}
}

// End records that a request has ended.
func (p *Pace) End(now boottime.Time) {
	p.advance(now)
	p.elapsed -= p.elapsed / time.Duration(max(p.inFlight, 1))
	p.inFlight--
}
