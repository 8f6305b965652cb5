package dispatch

import (
	"slices"
	"sync/atomic"
	"time"

	"chicoryline/internal/boottime"
	"chicoryline/internal/errkind"
)

const (
	// evacuatedRetryAfter is the retry time given to callers if all servers of a group are in
	// evacuated failure domains: nothing changes before the operator withdraws an evacuation or a
	// server starts elsewhere, which takes seconds at least.
	evacuatedRetryAfter = 5 * time.Second
	// evacuationSettleTime is how long after the last moment at which new work may start a
	// statement of it may still be sent: the leadership check and the alignment of the session
	// take up to 700 ms.
	evacuationSettleTime = time.Second
)

// EvacuationTimes states when work in an evacuated failure domain ends that does not end at once.
type EvacuationTimes struct {
	// PrimaryUntil is when a primary in the domain gets no more new work, unless it is replaced
	// before.
	PrimaryUntil boottime.Time
	// TransactionsUntil is when no more statements of open transactions are sent.
	TransactionsUntil boottime.Time
}

// evacuations holds the evacuated failure domains of a VM. A nil *evacuations has none.
type evacuations struct {
	domains atomic.Pointer[map[string]evacuatedDomain]
}

type evacuatedDomain struct {
	EvacuationTimes
	// settledAt is when no statement may be sent any more, whichever connections are in use.
	settledAt boottime.Time
	// primaries holds the servers that were primaries at the demand. No other server of the domain
	// gets work until PrimaryUntil: a VM that knew no primary there may have confirmed already.
	primaries map[*Server]bool
}

// hasPrimaryTime reports whether the server may get new work whenever it is the primary.
func (d evacuatedDomain) hasPrimaryTime(s *Server, now boottime.Time) bool {
	return now < d.PrimaryUntil && d.primaries[s]
}

func (e *evacuations) find(domain string) (evacuatedDomain, bool) {
	if e == nil {
		return evacuatedDomain{}, false
	}
	domains := e.domains.Load()
	if domains == nil {
		return evacuatedDomain{}, false
	}
	d, ok := (*domains)[domain]
	return d, ok
}

// SetEvacuations sets the evacuated failure domains, with the times at which work in each ends. Their
// servers get no statements of callers and are not chosen as primaries.
func (r *Router) SetEvacuations(times map[string]EvacuationTimes) {
	now := boottime.Now()
	domains := make(map[string]evacuatedDomain, len(times))
	for domain, t := range times {
		d, known := r.cfg.evacuated.find(domain)
		if !known || d.EvacuationTimes != t {
			settled := max(t.TransactionsUntil, max(now, t.PrimaryUntil).Add(evacuationSettleTime))
			d = evacuatedDomain{t, settled, r.primariesIn(domain)}
		}
		domains[domain] = d
	}
	r.markReturningCold(domains, now)
	r.cfg.evacuated.domains.Store(&domains)
	for _, g := range r.Groups() {
		g.mu.Lock()
		g.electPrimary()
		g.mu.Unlock()
	}
	r.RetireEvacuated()
}

// primariesIn returns the primaries in the failure domain.
func (r *Router) primariesIn(domain string) map[*Server]bool {
	set := map[*Server]bool{}
	for _, g := range r.Groups() {
		if s := g.Leader(); s != nil && s.Info().Domain == domain {
			set[s] = true
		}
	}
	return set
}

// markReturningCold makes the servers of domains whose evacuation ends count as cold until newer
// entries tell whether they are: all VMs use them again at the same moment.
func (r *Router) markReturningCold(evacuated map[string]evacuatedDomain, now boottime.Time) {
	before := r.cfg.evacuated.domains.Load()
	if before == nil {
		return
	}
	for domain := range *before {
		if _, ok := evacuated[domain]; ok {
			continue
		}
		for _, g := range r.Groups() {
			g.MarkPossiblyCold(domain, now)
		}
	}
}

// RetireEvacuated closes the connections to servers that get no more work because their failure
// domains are evacuated. It has to be called periodically, as servers and primaries change.
func (r *Router) RetireEvacuated() {
	now := boottime.Now()
	for _, g := range r.Groups() {
		for _, s := range g.Servers() {
			s.Conns.SetRetired(!g.mayWork(s, now))
		}
	}
}

// HasEvacuated reports whether no more statements are sent to servers in the evacuated failure
// domains until an evacuation is withdrawn. A primary that lost its role may return to it, so it
// counts for as long as a primary may get work.
func (r *Router) HasEvacuated() bool {
	now := boottime.Now()
	for _, g := range r.Groups() {
		for _, s := range append(g.Servers(), g.expiredInUse()...) {
			d, ok := g.cfg.evacuated.find(s.Info().Domain)
			if ok && now < d.settledAt && (s.Conns.MaySend() || d.hasPrimaryTime(s, now)) {
				return false
			}
		}
	}
	return true
}

// expiredInUse returns servers that are not used any more and still have connections in use: an
// open transaction goes on without the server's entry.
func (g *Group) expiredInUse() []*Server {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pruneExpired()
	return slices.Clone(g.expired)
}

// pruneExpired drops expired servers without connections in use. The mutex is held.
func (g *Group) pruneExpired() {
	g.expired = slices.DeleteFunc(g.expired, func(s *Server) bool { return !s.Conns.MaySend() })
}

// IsEvacuated reports whether the failure domain is evacuated.
func (r *Router) IsEvacuated(domain string) bool {
	_, ok := r.cfg.evacuated.find(domain)
	return ok
}

func (g *Group) isEvacuated(domain string) bool {
	_, ok := g.cfg.evacuated.find(domain)
	return ok
}

// mayWork reports whether the server may get new work: its failure domain is not evacuated, or it
// was the primary at the demand and is being replaced.
func (g *Group) mayWork(s *Server, now boottime.Time) bool {
	d, ok := g.cfg.evacuated.find(s.Info().Domain)
	return !ok || d.hasPrimaryTime(s, now) && s == g.Leader()
}

// checkMayWork returns an error if the server may get no new work at this moment.
func (g *Group) checkMayWork(s *Server) error {
	if g.mayWork(s, boottime.Now()) {
		return nil
	}
	return errkind.New(errkind.ShuttingDown, "failure domain of %s is evacuated", s.Info().ID)
}

// checkSend returns an error if the statement of the call must not be sent to the server at this
// moment. It is called immediately before a statement is sent: the VM may have been suspended since
// the server was chosen. A connection on which a transaction was opened has to be closed after an
// error, as a rollback would also be a statement.
func (g *Group) checkSend(s *Server, call *Call) error {
	if call.remaining() <= 0 {
		return call.timeoutError(nil)
	}
	return g.checkMayWork(s)
}

// isLeaving reports whether the server should not stay the primary. Without a server elsewhere, an
// evacuation of its failure domain does not change that. The mutex is held.
func (g *Group) isLeaving(s *Server) bool {
	info := s.Info()
	return info.Leaving || g.isEvacuated(info.Domain) && g.hasServerElsewhere()
}

// hasServerElsewhere reports whether a server outside evacuated failure domains may be promoted.
// The mutex is held.
func (g *Group) hasServerElsewhere() bool {
	for _, s := range g.servers {
		if info := s.Info(); !info.Leaving && !s.isMissing() && !g.isEvacuated(info.Domain) {
			return true
		}
	}
	return false
}

// evacuatedError returns an error if all servers of the group are in evacuated failure domains, so
// that waiting does not help.
func (g *Group) evacuatedError() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.servers {
		if !g.isEvacuated(s.Info().Domain) {
			return nil
		}
	}
	if len(g.servers) == 0 {
		return nil
	}
	return errkind.NewRetryAfter(errkind.NoPrimary, evacuatedRetryAfter, "all servers of %s are in evacuated failure domains", g.Name)
}

// endIfEvacuated ends a transaction in a failure domain that is evacuated for as long as open
// transactions may go on there. Closing its connection rolls it back.
func (t *Tx) endIfEvacuated() error {
	domain := t.server.Info().Domain
	d, ok := t.group.cfg.evacuated.find(domain)
	if !ok || boottime.Now() < d.TransactionsUntil {
		return nil
	}
	t.conn.Discard()
	t.conn = nil
	return errkind.New(errkind.TransactionLost, "rolled back: failure domain %s is evacuated", domain)
}

// IsChangeHindered reports whether a change of the primary may be impossible for as long as an
// evacuation lasts: it has to leave because of the evacuation, or no server elsewhere is known.
func (g *Group) IsChangeHindered() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leader != nil {
		if info := g.leader.Info(); !info.Leaving && g.isEvacuated(info.Domain) {
			return true
		}
	}
	for _, s := range g.servers {
		if g.isEvacuated(s.Info().Domain) {
			return !g.hasServerElsewhere()
		}
	}
	return false
}
