package dispatch

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"chicoryline/internal/boottime"
	"chicoryline/internal/connset"
	"chicoryline/internal/errkind"
	"chicoryline/internal/statement"
)

const (
	// leadershipCheckTimeout bounds a check of the lead: a status at a replica, and one at the
	// primary, each of which may wait for a slot.
	leadershipCheckTimeout = 300 * time.Millisecond
	// leadershipCheckBackoff is how long after a check that failed callers are refused without
	// another one: a server out of reach would cost each of them leadCheckWait.
	leadershipCheckBackoff = 250 * time.Millisecond
	// leaseRenewFraction is the part of the time of a proof after which it is renewed.
	leaseRenewFraction = 2.0 / 3
)

// StatusReader asks a server for its status over an idle connection.
type StatusReader interface {
	Status(c statement.Conn, wait time.Duration) (statement.ServerStatus, error)
}

// leadership is what proves that the present primary has not been replaced. Where a replaced
// primary goes on answering reads, a statement that needs the newest data is sent only
// within Config.LeadTime of a proof, and a steward lets that time pass between stopping
// all replicas and ordering a promotion.
//
// Two things prove it: an acknowledged commit, as a replica has received it, and the status
// of a replica that is neither paused nor of a later term.
type leadership struct {
	// confirmedAt is the last moment at which the primary surely led; refuted is when the last
	// check failed.
	confirmedAt, checkFailedAt boottime.Time
	// ownConfirmedAt is when this VM last proved it by itself.
	ownConfirmedAt boottime.Time
	check          *sharedCheck
}

// confirmLeadership records that the server led at the moment.
func (g *Group) confirmLeadership(s *Server, at boottime.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s == g.leader {
		g.leadership.confirmedAt = max(g.leadership.confirmedAt, at)
	}
}

// ObserveLeadership takes another VM's proof that the server led at the moment.
func (g *Group) ObserveLeadership(server string, at boottime.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leader != nil && g.leader.Info().ID == server {
		g.leadership.confirmedAt = max(g.leadership.confirmedAt, at)
	}
}

// hasLeaderLease reports whether it is proved that the server had not been replaced at the moment.
func (g *Group) hasLeaderLease(s *Server, at boottime.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cfg.LeaderLeaseTime == 0 || s == g.leader && at < g.leadership.confirmedAt.Add(g.cfg.LeaderLeaseTime)
}

// requireLeaderLease returns nil if the primary is proved to lead, after a check if need be. A
// proof whose time is nearly over is renewed beside the statement.
func (g *Group) requireLeaderLease(ctx context.Context, s *Server, call *Call) error {
	if g.cfg.LeaderLeaseTime == 0 {
		return nil
	}
	now := boottime.Now()
	g.mu.Lock()
	current, proved, age := s == g.leader, g.leadership.confirmedAt, g.leaderLeaseAge(now)
	var check *sharedCheck
	if current && age >= renewAge(g.cfg.LeaderLeaseTime) {
		check = g.startCheck(s, call.Customer, now)
	}
	g.mu.Unlock()
	switch {
	case !current:
		return errkind.New(errkind.NoPrimary, "%s has been replaced", s.Info().ID)
	case age < g.cfg.LeaderLeaseTime:
		return nil
	}
	// The age is -1 if nothing has proved it yet.
	err := errkind.New(errkind.NoPrimary, "%s is not proved to lead since %d ms; retry after %d ms", s.Info().ID, boottime.Age(proved), noPrimaryRetryAfter.Milliseconds())
	if check == nil {
		return err
	}
	select {
	case <-check.done:
		if check.err != nil {
			return err
		}
		return nil
	case <-ctx.Done():
		return err
	}
}

// requireCommitting returns nil unless a write is known to get no answer: the last ones got
// none, and nothing proves that the primary leads.
//
// Load pattern: a failure domain is cut off with a primary. Each write there would be sent,
// wait for its time limit, and end with an unknown outcome.
func (g *Group) requireCommitting(ctx context.Context, s *Server, call *Call) error {
	g.mu.Lock()
	stuck := g.health.stuckSince != 0
	g.mu.Unlock()
	if !stuck {
		return nil
	}
	return g.requireLeaderLease(ctx, s, call)
}

// LeaderLeaseNeedsRenewal reports whether the proof of the primary is over, or will be soon.
func (g *Group) LeaderLeaseNeedsRenewal() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cfg.LeaderLeaseTime > 0 && g.leader != nil && g.leaderLeaseAge(boottime.Now()) >= renewAge(g.cfg.LeaderLeaseTime)
}

// RenewLeaderLease proves the primary again, in the background, unless that is under way or failed
// a moment ago.
func (g *Group) RenewLeaderLease() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leader != nil {
		g.startCheck(g.leader, "", boottime.Now())
	}
}

// leaderLeaseAge is the age of the proof at hand. The mutex is held.
func (g *Group) leaderLeaseAge(now boottime.Time) time.Duration {
	return now.Sub(g.leadership.confirmedAt)
}

// renewAge is the age at which a proof is renewed.
func renewAge(leadTime time.Duration) time.Duration {
	return time.Duration(leaseRenewFraction * float64(leadTime))
}

// startCheck returns the check that is under way, a new one, or nil if one failed a moment
// ago. The mutex is held.
func (g *Group) startCheck(s *Server, customer string, now boottime.Time) *sharedCheck {
	if g.leadership.check == nil && now.Sub(g.leadership.checkFailedAt) >= leadershipCheckBackoff {
		g.leadership.check = &sharedCheck{done: make(chan struct{})}
		go g.checkLeadership(s, customer, g.leadership.check)
	}
	return g.leadership.check
}

// checkLeadership asks replicas whether they still follow the primary.
func (g *Group) checkLeadership(s *Server, customer string, check *sharedCheck) {
	ctx, cancel := context.WithTimeout(context.Background(), leadershipCheckTimeout)
	defer cancel()
	sent := boottime.Now()
	check.err = g.askReplicas(ctx, s, customer)
	g.mu.Lock()
	if g.leadership.check == check {
		g.leadership.check = nil
	}
	if check.err != nil {
		g.leadership.checkFailedAt = boottime.Now()
	} else if s == g.leader {
		g.leadership.confirmedAt, g.leadership.ownConfirmedAt = max(g.leadership.confirmedAt, sent), boottime.Now()
	}
	g.mu.Unlock()
	if check.err != nil {
		g.cfg.Log.WithError(check.err).WithFields(logrus.Fields{"event": "primary_health", "group": g.Name, "backend_server": s.Info().ID}).Warn("not proved to lead")
	}
	close(check.done)
}

// askReplicas returns nil if a replica follows the primary in its present term.
func (g *Group) askReplicas(ctx context.Context, primary *Server, customer string) error {
	term := primary.knownLeaderTerm()
	err := errkind.New(errkind.Unreachable, "no replica of %s can be asked", g.Name)
	for _, r := range g.replicasOf(primary, customer) {
		status, askErr := g.askStatus(ctx, r, customer)
		if askErr != nil {
			err = askErr
			continue
		}
		if term == 0 || status.Term > term {
			own, ownErr := g.askStatus(ctx, primary, customer)
			if ownErr != nil {
				return ownErr
			}
			if !own.Primary {
				g.MarkNotPrimary(primary)
				return errkind.New(errkind.NoPrimary, "%s says that it does not lead", primary.Info().ID)
			}
			term = own.Term
			primary.setLeaderTerm(term)
		}
		verdict := evaluateLeadership(term, status)
		if verdict == leadershipConfirmed {
			return nil
		}
		err = errkind.New(errkind.NoPrimary, "%s leads term %d, %s is in term %d and held at %d", primary.Info().ID, term, r.Info().ID, status.Term, status.PausedTerm)
		if verdict == leadershipLost {
			g.markReplacedByTerm(primary, status.Term)
			return err
		}
	}
	return err
}

// leadershipVerdict is what the status of a replica says of a primary.
type leadershipVerdict uint8

const (
	// leadOpen: a change of primary may be under way.
	leadershipUnknown leadershipVerdict = iota
	// leadProved: no promotion was ordered before the replica answered, as a steward
	// stops all replicas first.
	leadershipConfirmed
	// leadRefuted: another server leads a later term.
	leadershipLost
)

// evaluateLeadership tells what a replica's status says of the primary that leads the term.
func evaluateLeadership(term uint64, replica statement.ServerStatus) leadershipVerdict {
	switch {
	case replica.Term > term:
		return leadershipLost
	case replica.PausedTerm > term || replica.Term < term || replica.Primary:
		return leadershipUnknown
	}
	return leadershipConfirmed
}

// replicasOf returns the servers beside the primary that can be asked, those of the own
// failure domain with an open connection first.
func (g *Group) replicasOf(primary *Server, customer string) []*Server {
	now := boottime.Now()
	var near, far []*Server
	for _, s := range g.Servers() {
		switch info := s.Info(); {
		case s == primary || s.isAvoided(now) || s.isMissing() || s.hasLeft(now, g.cfg.LeaveTime):
		case info.Domain == g.cfg.Domain && s.Conns.Load(customer).Idle:
			near = append([]*Server{s}, near...)
		case info.Domain == g.cfg.Domain || s.Conns.Load(customer).Idle:
			near = append(near, s)
		default:
			far = append(far, s)
		}
	}
	return append(near, far...)
}

// askStatus asks a server for its status over a connection of the customer.
func (g *Group) askStatus(ctx context.Context, s *Server, customer string) (statement.ServerStatus, error) {
	c, err := s.Conns.Acquire(ctx, connset.Request{Customer: customer, MaxWait: leadershipCheckTimeout})
	if err != nil {
		return statement.ServerStatus{}, err
	}
	if err := c.Drain(beginTimeout); err != nil {
		c.Discard()
		return statement.ServerStatus{}, err
	}
	status, err := g.cfg.Statuses.Status(c.Conn, leadershipCheckTimeout)
	if errkind.Is(err, errkind.Unreachable) || errkind.Is(err, errkind.ProtocolViolation) {
		c.Discard()
		s.noteFailure()
		return status, err
	}
	c.Release()
	return status, err
}

// markReplacedByTerm notes that another server leads the term: the entry of the primary counts no
// longer, whatever its version, until it says replica.
func (g *Group) markReplacedByTerm(s *Server, term uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.markReplaced(s.Info(), "term", term)
	g.electPrimary()
}

// markReplaced keeps claims of the server from counting. The mutex is held.
func (g *Group) markReplaced(info ServerInfo, by string, value any) {
	if g.isReplaced(info) {
		return
	}
	g.replaced[info.ID] = info.Started
	g.cfg.Log.WithFields(logrus.Fields{"event": "primary", "group": g.Name, "backend_server": info.ID, "entry_version": info.Version, by: value}).Warn("replaced")
}

// isReplaced reports whether the server was replaced as the primary and has not said
// replica since. The mutex is held.
func (g *Group) isReplaced(info ServerInfo) bool {
	started, ok := g.replaced[info.ID]
	return ok && started == info.Started
}

// ReplacedPrimaries returns servers that claim to lead though another has replaced them.
func (g *Group) ReplacedPrimaries() []ServerInfo {
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []ServerInfo
	if len(g.replaced) == 0 {
		return nil
	}
	for _, s := range g.servers {
		if info := s.Info(); info.Primary && g.isReplaced(info) && !s.isMissing() {
			list = append(list, info)
		}
	}
	return list
}

// knownLeaderTerm returns the term that the server was last known to lead, 0 for none.
func (s *Server) knownLeaderTerm() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaderTerm
}

func (s *Server) setLeaderTerm(term uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaderTerm = term
}
