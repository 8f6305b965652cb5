package dispatch

import (
	"slices"
	"sync/atomic"
	"time"

	"chicoryline/internal/boottime"
	"chicoryline/internal/coldstart"
	"chicoryline/internal/errkind"
	"chicoryline/internal/position"
)

// ColdLimit is the limit on the statements to the cold servers of a group.
type ColdLimit struct {
	// Rate is the number of statements a second that all VMs together may send to a cold server.
	Rate float64
	// Duration is how long a server is cold after its start.
	Duration time.Duration
}

// warmth is how much work a server can take.
type warmth uint8

const (
	// warm servers have no limit.
	warm warmth = iota
	// recovering servers have become warm recently, or may have restarted since their last entry.
	// They get reads beyond their limit only if no other server can run them.
	recovering
	// cold servers get no statement beyond their limit.
	cold
)

// coldState is what a VM knows of the warmth of a server. Times are 0 for never. The server's mutex
// guards it.
type coldState struct {
	group *atomic.Pointer[ColdLimit]
	// until is when the server becomes or became warm, according to its entry of the version.
	until   boottime.Time
	version uint64
	// possibleSince is when the server returned to use, and failedAt when it last failed; 0 if an
	// entry written after that is known.
	possibleSince, failedAt boottime.Time
	limit                   *coldstart.Limit
	// inTx counts the statements of transactions that wait for the limit.
	inTx int
	// refused counts the statements that the limit refused.
	refused int64
}

// SetColdLimit sets the limit for cold servers of the group; a rate of 0 means none.
func (r *Router) SetColdLimit(group string, l ColdLimit) {
	if l.Rate > 0 && l.Duration > 0 {
		r.Group(group).coldLimit.Store(&l)
		return
	}
	if g := r.find(group); g != nil {
		g.coldLimit.Store(nil)
	}
}

// SetFleet sets the list of VMs from which the part of this VM follows; without it, nothing is sent
// to cold servers.
func (r *Router) SetFleet(f *coldstart.Fleet) {
	if !f.Equal(r.cfg.fleet.Load()) {
		r.cfg.fleet.Store(f)
	}
}

// MarkPossiblyCold records that the servers of the failure domain return to use at the given time,
// as at the end of an evacuation. They count as cold until an entry that was written later is
// known, at most for the time for which a server is cold.
func (g *Group) MarkPossiblyCold(domain string, at boottime.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.coldMarks == nil {
		g.coldMarks = map[string]boottime.Time{}
	}
	g.coldMarks[domain] = max(at, g.coldMarks[domain])
	for _, s := range g.servers {
		s.mu.Lock()
		if s.info.Domain == domain && s.info.ChangedAfter < at {
			s.cold.possibleSince = max(at, s.cold.possibleSince)
		}
		s.mu.Unlock()
	}
}

// observeWarmth applies the entry, which the server has just taken over, and logs whether it makes
// the server cold or warm. The group's mutex is held.
func (g *Group) observeWarmth(s *Server, info ServerInfo) {
	now := boottime.Now()
	s.mu.Lock()
	c := &s.cold
	wasCold := c.group != nil && now < c.end()
	if c.group == nil {
		c.group, c.limit, c.version = &g.coldLimit, coldstart.NewLimit(info.ID), info.Version
		c.until = coldUntil(now, info, 0)
		if mark := g.coldMarks[info.Domain]; info.ChangedAfter < mark {
			c.possibleSince = mark
		}
	}
	if info.ChangedAfter >= c.possibleSince {
		c.possibleSince = 0
	}
	if info.ChangedAfter >= c.failedAt {
		c.failedAt = 0
	}
	if c.version != info.Version {
		c.version, c.until = info.Version, coldUntil(now, info, c.until)
	}
	end := c.end()
	isCold := now < end
	if wasCold && !isCold {
		c.until = now
	}
	limited := c.group.Load() != nil
	s.mu.Unlock()
	switch {
	case limited && wasCold && !isCold:
		g.serverLog(s).Info("warm")
	case limited && isCold && !wasCold:
		g.serverLog(s).WithField("cold_ms", end.Sub(now).Milliseconds()).Info("cold")
	}
}

// coldUntil returns until when a server with the entry may be cold. The entry was written before
// now, so ColdFor after now is late enough. previous is the time known before.
func coldUntil(now boottime.Time, info ServerInfo, previous boottime.Time) boottime.Time {
	if info.ColdFor > 0 {
		return now.Add(info.ColdFor)
	}
	return min(previous, now)
}

// end returns when the server becomes or became warm, 0 if it was never cold.
func (c *coldState) end() boottime.Time {
	if l := c.group.Load(); l != nil && c.possibleSince != 0 {
		return max(c.until, c.possibleSince.Add(l.Duration))
	}
	return c.until
}

// warmth returns the warmth of the server and the rate that it implies.
func (c *coldState) warmth(now boottime.Time) (warmth, float64) {
	if c.group == nil {
		return warm, 0
	}
	l := c.group.Load()
	if l == nil {
		return warm, 0
	}
	end := c.end()
	if now < end {
		return cold, l.Rate
	}
	if end != 0 {
		if rate, ok := coldstart.RampRate(l.Rate, now.Sub(end)); ok {
			return recovering, rate
		}
	}
	if c.failedAt != 0 && now.Sub(c.failedAt) < l.Duration {
		return recovering, l.Rate
	}
	return warm, 0
}

// IsCold reports whether the server counts as cold.
func (s *Server) IsCold() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	w, _ := s.cold.warmth(boottime.Now())
	return w == cold
}

// isLimited reports whether the server gets less than its part of the reads because it is cold or
// recovering.
func (s *Server) isLimited(now boottime.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	w, _ := s.cold.warmth(now)
	return w != warm
}

// limitWait returns the warmth of the server and, if its limit allows no statement now, how long it
// does not. That is the time until the server is warm if this VM has no part of its rate.
func (s *Server) limitWait(f *coldstart.Fleet, inTx bool) (warmth, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := boottime.Now()
	w, rate := s.cold.warmth(now)
	if w == warm {
		return warm, 0
	}
	wait, ok := s.cold.limit.Wait(now, f, rate)
	switch {
	case !ok:
		return w, max(s.cold.end().Sub(now), time.Millisecond)
	case wait == 0 && s.cold.inTx > 0 && !inTx:
		return w, time.Millisecond
	}
	return w, wait
}

// takeColdSlot counts a statement that is about to be sent to the server. It returns an error if
// the server is cold and its limit does not allow the statement.
//
// Reads, writes and commits of writes count: they occupy a slot of the server, while opening a
// transaction, ending one that wrote nothing and setting up a session do not.
func (g *Group) takeColdSlot(s *Server, inTx bool) error {
	if g.coldLimit.Load() == nil {
		return nil
	}
	s.mu.Lock()
	now := boottime.Now()
	w, rate := s.cold.warmth(now)
	taken := w == warm
	switch {
	case w == recovering:
		s.cold.limit.Note(now)
		taken = true
	case w == cold && (inTx || s.cold.inTx == 0):
		taken = s.cold.limit.Take(now, g.cfg.fleet.Load(), rate)
	}
	s.mu.Unlock()
	if taken {
		return nil
	}
	return g.refuseCold(s)
}

// refuseCold returns the error for a statement that the limit of the cold server does not allow.
func (g *Group) refuseCold(s *Server) error {
	_, wait := s.limitWait(g.cfg.fleet.Load(), false)
	s.mu.Lock()
	s.cold.refused++
	s.mu.Unlock()
	return errkind.NewRetryAfter(errkind.QueueFull, wait, "%s is cold", s.Info().ID)
}

// takeColdSlot counts a statement of the transaction that is about to be sent. It waits for the
// limit until the deadline of the statement, and takes precedence over statements outside
// transactions: the transaction holds locks and a connection until it ends. After an error the
// transaction is rolled back, and the statement was not sent.
func (t *Tx) takeColdSlot(call *Call) error {
	g, s := t.group, t.server
	if g.coldLimit.Load() == nil {
		return nil
	}
	addWaiting := func(n int) {
		s.mu.Lock()
		s.cold.inTx += n
		s.mu.Unlock()
	}
	addWaiting(1)
	defer addWaiting(-1)
	for {
		w, wait := s.limitWait(g.cfg.fleet.Load(), true)
		if w == cold && wait > call.remaining() {
			t.Rollback()
			return errkind.New(errkind.TransactionLost, "%v", g.refuseCold(s))
		}
		if w == cold && wait > 0 {
			time.Sleep(wait)
			continue
		}
		if g.takeColdSlot(s, true) == nil {
			return nil
		}
	}
}

// selectReader returns the server for a read of the call, or nil if none is left. Allowed failure
// domains and cold limits precede the choice by expected response time.
func (g *Group) selectReader(call *Call, need position.Position, tried []*Server) *Server {
	barred, limited := g.restrictedServers(call)
	if len(limited) > 0 {
		if s := g.pickReader(call.Customer, need, slices.Concat(tried, barred, limited)); s != nil {
			return s
		}
	}
	if len(barred) > 0 {
		tried = slices.Concat(tried, barred)
	}
	return g.pickReader(call.Customer, need, tried)
}

// restrictedServers returns the servers that must not get a read of the call now, and those that
// get it only if no other server can run it.
func (g *Group) restrictedServers(call *Call) (barred, limited []*Server) {
	if call.Domains == nil && g.coldLimit.Load() == nil {
		return nil, nil
	}
	fleet := g.cfg.fleet.Load()
	for _, s := range g.Servers() {
		if !call.allows(s) {
			barred = append(barred, s)
			continue
		}
		switch w, wait := s.limitWait(fleet, false); {
		case wait == 0:
		case w == cold:
			barred = append(barred, s)
		case w == recovering:
			limited = append(limited, s)
		}
	}
	return barred, limited
}

// refuseRead returns the error of a read for which no server was selected, if waiting for one is
// useless: the group has no allowed server, or those that can be asked are cold and at their limit.
// Servers in evacuated failure domains cannot be asked.
func (g *Group) refuseRead(call *Call) error {
	if err := g.checkDomains(call); err != nil || g.coldLimit.Load() == nil {
		return err
	}
	now, fleet := boottime.Now(), g.cfg.fleet.Load()
	var full *Server
	var shortest time.Duration
	for _, s := range g.Servers() {
		if info := s.Info(); !call.allows(s) || s.isAvoided(now) || info.Leaving || g.isEvacuated(info.Domain) {
			continue
		}
		w, wait := s.limitWait(fleet, false)
		if w != cold || wait == 0 {
			return nil
		}
		if full == nil || wait < shortest {
			full, shortest = s, wait
		}
	}
	if full == nil {
		return nil
	}
	return g.refuseCold(full)
}

// isAtColdLimit reports whether the server is cold and its limit allows this VM no statement now.
func (g *Group) isAtColdLimit(s *Server) bool {
	w, wait := s.limitWait(g.cfg.fleet.Load(), false)
	return w == cold && wait > 0
}
