package connset

import (
	"time"

	"chicoryline/internal/admission"
	"chicoryline/internal/boottime"
	"chicoryline/internal/errkind"
)

// overloadMemory is how long a sign of overload counts: two rounds of state updates, after which
// the loads that VMs report show the overload.
const overloadMemory = time.Second

// SetRanked sets whether requests have different priorities, and the most urgent one of
// replaceable requests.
func (s *Set) SetRanked(ranked bool, urgentReplaceable int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.Ranked, s.pace.Urgent = ranked, urgentReplaceable
}

// LimitReplaceable limits the replaceable requests in flight, on average over time; the limit
// may be below one.
func (s *Set) LimitReplaceable(limit float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := boottime.Now()
	s.countBusy(now)
	s.pace.SetLimit(now, limit)
	s.displace(s.queue.Displace(s.state(now)))
	s.serveWaiters()
}

// UnlimitReplaceable removes the limit of replaceable requests.
func (s *Set) UnlimitReplaceable() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.countBusy(boottime.Now())
	s.pace.Unlimit()
	s.serveWaiters()
}

// IsOverloaded reports whether the server rejected work or was slow recently.
func (s *Set) IsOverloaded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.window.shrunkAt != 0 && boottime.Since(s.window.shrunkAt) < overloadMemory
}

// PromiseReturn returns when the caller of a refused request is to come back: when the server is
// expected to have room for it, but not before least, and after the more urgent ones that were
// refused. arrived is when the request arrived.
func (s *Set) PromiseReturn(r Request, arrived boottime.Time, least time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := boottime.Now()
	state, request := s.state(now), s.entryRequest(now, now, r)
	wait := s.queue.Wait(request, state)
	return s.returns.Promise(now, arrived, r.Customer, r.Priority, max(wait, least), s.queue.Step(request, state))
}

// ExpectedWait returns the wait of a request that arrives now.
func (s *Set) ExpectedWait(r Request) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := boottime.Now()
	return s.queue.Wait(s.entryRequest(now, now, r), s.state(now))
}

func isReplaceable(r admission.Request) bool { return r.Replaceable }

// state returns what decisions about the queue rest on. The mutex is held.
func (s *Set) state(now boottime.Time) admission.State {
	return admission.State{
		Now: now, HoldTime: s.holdTime, Places: s.places(),
		InUse: func(customer string) int { return s.inUse[customer] }, HasIdle: s.hasIdle,
		Pace: &s.pace,
	}
}

func (s *Set) entryRequest(now, arrived boottime.Time, r Request) admission.Request {
	return admission.Request{
		Customer: r.Customer, Priority: r.Priority, Replaceable: r.Replaceable, Arrived: arrived,
		LatestStart: now.Add(r.MaxWait), Deadline: r.Deadline,
	}
}

// isPaced reports whether the request has to wait although a connection is free. The mutex is
// held.
func (s *Set) isPaced(now boottime.Time, r Request) bool {
	return r.Replaceable && s.pace.Limited() && (s.queue.Len() > 0 || !s.pace.Admits(now, s.holdTime, r.Priority))
}

// enqueue adds the request to the queue, or refuses it. The mutex is held.
func (s *Set) enqueue(now, arrived boottime.Time, r Request) (*waiter, error) {
	w, displaced := s.queue.Admit(s.entryRequest(now, arrived, r), make(chan outcome, 1), s.state(now))
	s.displace(displaced)
	if w == nil {
		s.refused++
		return nil, errkind.New(errkind.QueueFull, "%d requests wait for %s", s.queue.Len(), s.server)
	}
	if r.Replaceable {
		s.serveWaiters()
	}
	return w, nil
}

// displace refuses requests that were waiting. The mutex is held.
func (s *Set) displace(waiters []*waiter) {
	for _, w := range waiters {
		s.displaced++
		w.Value <- outcome{err: errkind.New(errkind.QueueFull, "more urgent requests come first at %s", s.server)}
	}
}

// serveWaiters grants connections to queued requests. Those whose time limits have ended are
// refused: the VM may have been frozen. The mutex is held.
func (s *Set) serveWaiters() {
	now := boottime.Now()
	for _, w := range s.queue.Expire(now) {
		w.Value <- outcome{err: s.timeoutError()}
	}
	for s.queue.Len() > 0 && s.window.admits(s.open-len(s.idle)) {
		state := s.state(now)
		w := s.queue.Next(state)
		if w == nil {
			s.awaitPace(now)
			return
		}
		c, ok := s.grant(w.Request)
		if !ok {
			if s.open == 0 {
				// No connection will be released that could serve them.
				for _, w := range s.queue.Clear() {
					w.Value <- outcome{err: s.limitError()}
				}
			}
			return
		}
		s.queue.Grant(w, state)
		w.Value <- outcome{conn: c}
	}
}

// awaitPace serves the queue again when the pace admits the next replaceable request, which no
// other event may announce. The mutex is held.
func (s *Set) awaitPace(now boottime.Time) {
	wait := time.Duration(0)
	for _, r := range s.queue.Requests() {
		if w := s.pace.Wait(now, s.holdTime, r.Priority); r.Replaceable && (wait == 0 || w < wait) {
			wait = w
		}
	}
	at := now.Add(wait)
	if wait == 0 || s.paceTimerAt != 0 && s.paceTimerAt <= at {
		return
	}
	if s.paceTimer != nil {
		s.paceTimer.Stop()
	}
	s.paceTimerAt = at
	s.paceTimer = time.AfterFunc(wait, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.paceTimerAt == at {
			s.paceTimerAt = 0
		}
		s.countBusy(boottime.Now())
		s.serveWaiters()
	})
}
