package dispatch

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"chicoryline/internal/boottime"
	"chicoryline/internal/connset"
	"chicoryline/internal/errkind"
	"chicoryline/internal/leaderproof"
	"chicoryline/internal/statement"
)

const (
	// leadershipCheckTimeout bounds a leadership check: concurrent status requests to replicas
	// and one to the primary, each of which may wait for a slot.
	leadershipCheckTimeout = 300 * time.Millisecond
	// leadershipCheckBackoff is how long callers are rejected without a new check after a
	// check failed: an unreachable server would cost each of them leadershipCheckTimeout.
	leadershipCheckBackoff = 250 * time.Millisecond
	// leaseRenewFraction is the fraction of the leader lease after which it is renewed.
	leaseRenewFraction = 2.0 / 3
	// replicaAskDelay is the time after which another replica is asked to renew a valid lease:
	// several round trips, and short enough for a second answer before the lease expires.
	replicaAskDelay = 100 * time.Millisecond
)

// StatusReader requests the status of a server over an idle connection.
type StatusReader interface {
	Status(c statement.Conn, wait time.Duration) (statement.ServerStatus, error)
}

// leadership is the evidence that the present primary has not been replaced. Each confirmation
// starts a leader lease of Config.LeaderLeaseTime at this VM. Where a replaced primary keeps
// answering reads, a statement that needs the newest data is sent only during the lease, and a
// steward waits for that time between pausing all replicas and ordering a promotion.
//
// Leadership is confirmed by an acknowledged commit, which a replica must have received, and
// by statuses of replicas as package leaderproof decides. Nothing confirms it while an order may
// promote another server: a steward that repeats the order does not wait for leases again, and a
// server that has joined since the first order follows the present primary.
type leadership struct {
	// confirmedAt is the latest time at which the server is known to have been the primary,
	// checkFailedAt is when the last check failed.
	confirmedAt, checkFailedAt boottime.Time
	// ownConfirmedAt is when this VM last confirmed the leadership by a check of its own.
	ownConfirmedAt boottime.Time
	check          *sharedCheck
}

// ProofStats counts what proofs of leadership cost this VM.
type ProofStats struct {
	// Statuses counts status requests, Failed the checks that proved nothing.
	Statuses, Failed int64
}

// confirmLeadership records that the server was the primary at the given time, unless it is being
// replaced.
func (g *Group) confirmLeadership(s *Server, at boottime.Time) {
	if _, err := g.checkNotBeingReplaced(s); err != nil {
		return // callers of commits and checks see the same error
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if s == g.leader {
		g.leadership.confirmedAt = max(g.leadership.confirmedAt, at)
	}
}

// ObserveLeadership records another VM's confirmation that the server was the primary at the
// given time.
func (g *Group) ObserveLeadership(server string, at boottime.Time) {
	if s := g.Leader(); s != nil && s.Info().ID == server {
		g.confirmLeadership(s, at)
	}
}

// hasLeaderLease reports whether the server is known not to have been replaced at the given
// time.
func (g *Group) hasLeaderLease(s *Server, at boottime.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cfg.LeaderLeaseTime == 0 || s == g.leader && at < g.leadership.confirmedAt.Add(g.cfg.LeaderLeaseTime)
}

// requireLeaderLease returns nil if the primary holds a valid leader lease, after a leadership
// check if necessary. A lease that expires soon is renewed in the background.
func (g *Group) requireLeaderLease(ctx context.Context, s *Server, call *Call) error {
	if g.cfg.LeaderLeaseTime == 0 {
		return nil
	}
	now := boottime.Now()
	g.mu.Lock()
	isLeader, confirmedAt, age := s == g.leader, g.leadership.confirmedAt, g.leaderLeaseAge(now)
	var check *sharedCheck
	if isLeader && age >= renewAge(g.cfg.LeaderLeaseTime) {
		check = g.startCheck(s, call.controlCustomer(), now)
	}
	g.mu.Unlock()
	switch {
	case !isLeader:
		return errkind.New(errkind.NoPrimary, "%s has been replaced", s.Info().ID)
	case age < g.cfg.LeaderLeaseTime:
		return nil
	}
	// The age is -1 if leadership has not been confirmed yet.
	err := errkind.New(errkind.NoPrimary, "%s is not proved to lead since %d ms", s.Info().ID, boottime.AgeMillis(confirmedAt))
	if check == nil {
		return err
	}
	select {
	case <-check.done:
		// The check may have spanned a time in which the VM was suspended: its answers are then
		// older than a lease.
		if check.err != nil || !g.hasLeaderLease(s, boottime.Now()) {
			return err
		}
		return nil
	case <-ctx.Done():
		return err
	}
}

// requireCommitting returns an error if a write is known to have got no answer and the primary
// has no valid leader lease.
//
// Load pattern: a failure domain is partitioned from the rest together with the primary. Each
// write there would be sent, time out, and end with an unknown outcome.
func (g *Group) requireCommitting(ctx context.Context, s *Server, call *Call) error {
	g.mu.Lock()
	stuck := g.health.stuckSince != 0
	g.mu.Unlock()
	if !stuck {
		return nil
	}
	return g.requireLeaderLease(ctx, s, call)
}

// LeaderLeaseNeedsRenewal reports whether the leader lease of the primary has expired or will
// expire soon.
func (g *Group) LeaderLeaseNeedsRenewal() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cfg.LeaderLeaseTime > 0 && g.leader != nil && g.leaderLeaseAge(boottime.Now()) >= renewAge(g.cfg.LeaderLeaseTime)
}

// RenewLeaderLease checks the leadership of the primary in the background, unless a check is
// in flight or failed recently.
func (g *Group) RenewLeaderLease() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leader != nil {
		g.startCheck(g.leader, "", boottime.Now())
	}
}

// leaderLeaseAge returns the time since leadership was last confirmed. The mutex is held.
func (g *Group) leaderLeaseAge(now boottime.Time) time.Duration {
	return now.Sub(g.leadership.confirmedAt)
}

// renewAge returns the age at which a leader lease is renewed.
func renewAge(leaseTime time.Duration) time.Duration {
	return time.Duration(leaseRenewFraction * float64(leaseTime))
}

// startCheck returns the check in flight, a new one, or nil if one failed recently. The mutex
// is held.
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
	check.err = g.askReplicas(ctx, s, customer)
	g.mu.Lock()
	if g.leadership.check == check {
		g.leadership.check = nil
	}
	if check.err != nil {
		g.leadership.checkFailedAt = boottime.Now()
		g.proofs.Failed++
	} else if s == g.leader {
		g.leadership.ownConfirmedAt = boottime.Now()
	}
	g.mu.Unlock()
	if check.err != nil {
		g.cfg.Log.WithError(check.err).WithFields(logrus.Fields{"event": "primary_health", "group": g.Name, "backend_server": s.Info().ID}).Warn("not proved to lead")
	}
	close(check.done)
}

// replicaAnswer is the answer of a replica to a status request.
type replicaAnswer struct {
	from *Server
	leaderproof.Answer
	err error
}

// askReplicas requests the status of replicas and returns nil once they prove that the primary
// leads. A valid lease is renewed by the first answer, so a further replica is asked only if
// one does not answer soon. Without a valid lease all of them are asked at once.
func (g *Group) askReplicas(ctx context.Context, primary *Server, customer string) error {
	replicas, others := g.replicasOf(primary, customer)
	if len(replicas) == 0 {
		return errkind.New(errkind.Unreachable, "no replica of %s can be asked", g.Name)
	}
	delay := time.Duration(0)
	if g.hasLeaderLease(primary, boottime.Now()) {
		delay = replicaAskDelay
	}
	answers := make(chan replicaAnswer, len(replicas))
	proof := statusProof{group: g, primary: primary, customer: customer, others: others}
	asked := 0
	askNext := func() {
		r := replicas[asked]
		asked++
		go func() { answers <- g.askReplica(ctx, r, customer) }()
	}
	var err error
	for received := 0; received < len(replicas); {
		var next <-chan time.Time
		switch {
		case asked == len(replicas):
		case asked == received || delay == 0:
			askNext()
			continue
		default:
			next = time.After(delay)
		}
		select {
		case a := <-answers:
			received++
			var proved bool
			if proved, err = proof.add(ctx, a); proved || proof.isOver {
				return err
			}
		case <-next:
			askNext()
		}
	}
	return err
}

// askReplica requests the status of a replica.
func (g *Group) askReplica(ctx context.Context, r *Server, customer string) replicaAnswer {
	sent := boottime.Now()
	status, err := g.askStatus(ctx, r, customer)
	return replicaAnswer{from: r, Answer: leaderproof.Answer{Status: status, Sent: sent, Arrived: boottime.Now()}, err: err}
}

// statusProof collects the answers of one check. It is used by a single goroutine.
type statusProof struct {
	group    *Group
	primary  *Server
	customer string
	// others is the number of known servers besides the primary, whether they can be asked or
	// not.
	others  int
	answers []leaderproof.Answer
	// isOver reports that further answers cannot prove that the primary leads.
	isOver bool
}

// add adds an answer and reports whether the answers so far prove that the primary leads. If
// they do not, the error says why.
func (p *statusProof) add(ctx context.Context, a replicaAnswer) (bool, error) {
	if a.err != nil {
		return false, a.err
	}
	g, earlier := p.group, a.from.replaceStatus(a.Answer)
	acknowledged := g.Acknowledged().Term
	term, err := g.leaderTerm(ctx, p.primary, p.customer, max(a.Status.Term, acknowledged))
	if err != nil {
		p.isOver = true
		return false, err
	}
	id := p.primary.Info().ID
	switch finding := leaderproof.Evaluate(term, a.Status); {
	case finding == leaderproof.Lost:
		p.isOver = true
		g.markReplacedByTerm(p.primary, a.Status.Term)
	case acknowledged > term:
		p.isOver = true
		return false, errkind.New(errkind.NoPrimary, "%s leads term %d, and a commit of term %d is acknowledged", id, term, acknowledged)
	case finding == leaderproof.Follows:
		if _, err := g.checkNotBeingReplaced(p.primary); err != nil {
			p.isOver = true
			return false, err
		}
		p.answers = append(p.answers, a.Answer)
		if g.extendLease(p.primary, term, earlier, a.Answer) {
			return true, nil
		}
		if start, ok := leaderproof.Establish(term, p.others, p.answers); ok {
			g.confirmLeadership(p.primary, start)
			if !g.hasLeaderLease(p.primary, boottime.Now()) {
				return false, errkind.New(errkind.NoPrimary, "the answers about %s are %d ms old", id, boottime.AgeMillis(start))
			}
			return true, nil
		}
		return false, errkind.New(errkind.NoPrimary, "%s leads term %d, and %d of %d other servers follow it", id, term, len(p.answers), p.others)
	}
	return false, errkind.New(errkind.NoPrimary, "%s leads term %d, %s is in term %d and paused for term %d", id, term, a.from.Info().ID, a.Status.Term, a.Status.PausedTerm)
}

// extendLease applies the answer of a replica that follows the primary, and reports whether it
// extended the leader lease beyond the time of the answer.
func (g *Group) extendLease(s *Server, term uint64, earlier *leaderproof.Answer, answer leaderproof.Answer) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s != g.leader {
		return false
	}
	start := leaderproof.Extend(g.cfg.LeaderLeaseTime, term, g.leadership.confirmedAt, earlier, answer)
	g.leadership.confirmedAt = max(g.leadership.confirmedAt, start)
	return answer.Arrived < start.Add(g.cfg.LeaderLeaseTime)
}

// leaderTerm returns the term that the primary leads. It requests the primary's status if no
// term is known, or only one before the given term.
func (g *Group) leaderTerm(ctx context.Context, primary *Server, customer string, atLeast uint64) (uint64, error) {
	if term := primary.knownLeaderTerm(); term > 0 && term >= atLeast {
		return term, nil
	}
	own, err := g.askStatus(ctx, primary, customer)
	if err != nil {
		return 0, err
	}
	if !own.Primary {
		g.MarkNotPrimary(primary)
		return 0, errkind.New(errkind.NoPrimary, "%s reports that it is not the primary", primary.Info().ID)
	}
	primary.setLeaderTerm(own.Term)
	return own.Term, nil
}

// replicasOf returns the servers other than the primary that can be asked, and the number of
// all known ones. Those in the own failure domain with an idle connection come first, those
// without a discovery entry last.
func (g *Group) replicasOf(primary *Server, customer string) (replicas []*Server, others int) {
	now := boottime.Now()
	var near, far, missing []*Server
	for _, s := range g.Servers() {
		if s == primary {
			continue
		}
		others++
		switch info := s.Info(); {
		case s.isAvoided(now) || s.hasLeft(now, g.cfg.LeaveTime):
		case s.isMissing():
			missing = append(missing, s)
		case g.isEvacuated(info.Domain):
			far = append(far, s)
		case info.Domain == g.cfg.Domain && s.Conns.Load(customer).Idle:
			near = append([]*Server{s}, near...)
		case info.Domain == g.cfg.Domain || s.Conns.Load(customer).Idle:
			near = append(near, s)
		default:
			far = append(far, s)
		}
	}
	return append(append(near, far...), missing...), others
}

// askStatus requests the status of a server over a connection of the customer.
func (g *Group) askStatus(ctx context.Context, s *Server, customer string) (statement.ServerStatus, error) {
	g.mu.Lock()
	g.proofs.Statuses++
	g.mu.Unlock()
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

// markReplacedByTerm records that another server leads the term. The claims of the replaced
// primary are ignored, whatever their version, until its entry says that it is a replica.
func (g *Group) markReplacedByTerm(s *Server, term uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.markReplaced(s.Info(), "term", term)
	g.electPrimary()
}

// markReplaced makes elections ignore the claims of the server. The mutex is held.
func (g *Group) markReplaced(info ServerInfo, by string, value any) {
	if g.isReplaced(info) {
		return
	}
	g.replaced[info.ID] = info.Started
	g.cfg.Log.WithFields(logrus.Fields{"event": "primary", "group": g.Name, "backend_server": info.ID, "entry_version": info.Version, by: value}).Warn("replaced")
}

// isReplaced reports whether the server was replaced as the primary and has not been a replica
// since, according to its entries. The mutex is held.
func (g *Group) isReplaced(info ServerInfo) bool {
	started, ok := g.replaced[info.ID]
	return ok && started == info.Started
}

// ReplacedPrimaries returns servers that claim to be the primary although they have been
// replaced.
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

// knownLeaderTerm returns the last term that the server is known to have led, 0 for none.
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

// replaceStatus stores the last status of the server and returns the one before it, nil if
// there is none.
func (s *Server) replaceStatus(a leaderproof.Answer) *leaderproof.Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	earlier := s.lastStatus
	s.lastStatus = &a
	return earlier
}
