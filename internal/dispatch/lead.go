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
	// leadCheckWait bounds a check of the lead: a status at a replica, and one at the
	// primary, each of which may wait for a slot.
	leadCheckWait = 300 * time.Millisecond
	// leadCheckPause is how long after a check that failed callers are refused without
	// another one: a server out of reach would cost each of them leadCheckWait.
	leadCheckPause = 250 * time.Millisecond
	// renewPart is the part of the time of a proof after which it is renewed.
	renewPart = 2.0 / 3
)

// StatusReader asks a server for its status over an idle connection.
type StatusReader interface {
	Status(c statement.Conn, wait time.Duration) (statement.ServerStatus, error)
}

// lead is what proves that the present primary has not been replaced. Where a replaced
// primary goes on answering reads, a statement that needs the newest data is sent only
// within Config.LeadTime of a proof, and a steward lets that time pass between stopping
// all replicas and ordering a promotion.
//
// Two things prove it: an acknowledged commit, as a replica has received it, and the status
// of a replica that is neither paused nor of a later term.
type lead struct {
	// proved is the last moment at which the primary surely led; refuted is when the last
	// check failed.
	proved, refuted boottime.Time
	// found is when this VM last proved it by itself.
	found    boottime.Time
	checking *proof
}

// noteLead records that the server led at the moment.
func (g *Group) noteLead(s *Server, at boottime.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s == g.leader {
		g.lead.proved = max(g.lead.proved, at)
	}
}

// ObserveLeadership takes another VM's proof that the server led at the moment.
func (g *Group) ObserveLeadership(server string, at boottime.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leader != nil && g.leader.Info().ID == server {
		g.lead.proved = max(g.lead.proved, at)
	}
}

// leads reports whether it is proved that the server had not been replaced at the moment.
func (g *Group) leads(s *Server, at boottime.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cfg.LeaderLeaseTime == 0 || s == g.leader && at < g.lead.proved.Add(g.cfg.LeaderLeaseTime)
}

// requireLead returns nil if the primary is proved to lead, after a check if need be. A
// proof whose time is nearly over is renewed beside the statement.
func (g *Group) requireLead(ctx context.Context, s *Server, call *Call) error {
	if g.cfg.LeaderLeaseTime == 0 {
		return nil
	}
	now := boottime.Now()
	g.mu.Lock()
	current, proved, age := s == g.leader, g.lead.proved, g.leadAge(now)
	var check *proof
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
	err := errkind.New(errkind.NoPrimary, "%s is not proved to lead since %d ms; retry after %d ms", s.Info().ID, boottime.Age(proved), comeBack.Milliseconds())
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

// requireCommits returns nil unless a write is known to get no answer: the last ones got
// none, and nothing proves that the primary leads.
//
// Load pattern: a failure domain is cut off with a primary. Each write there would be sent,
// wait for its time limit, and end with an unknown outcome.
func (g *Group) requireCommits(ctx context.Context, s *Server, call *Call) error {
	g.mu.Lock()
	stuck := g.health.stuck != 0
	g.mu.Unlock()
	if !stuck {
		return nil
	}
	return g.requireLead(ctx, s, call)
}

// LeaderLeaseNeedsRenewal reports whether the proof of the primary is over, or will be soon.
func (g *Group) LeaderLeaseNeedsRenewal() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cfg.LeaderLeaseTime > 0 && g.leader != nil && g.leadAge(boottime.Now()) >= renewAge(g.cfg.LeaderLeaseTime)
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

// leadAge is the age of the proof at hand. The mutex is held.
func (g *Group) leadAge(now boottime.Time) time.Duration { return now.Sub(g.lead.proved) }

// renewAge is the age at which a proof is renewed.
func renewAge(leadTime time.Duration) time.Duration {
	return time.Duration(renewPart * float64(leadTime))
}

// startCheck returns the check that is under way, a new one, or nil if one failed a moment
// ago. The mutex is held.
func (g *Group) startCheck(s *Server, customer string, now boottime.Time) *proof {
	if g.lead.checking == nil && now.Sub(g.lead.refuted) >= leadCheckPause {
		g.lead.checking = &proof{done: make(chan struct{})}
		go g.checkLead(s, customer, g.lead.checking)
	}
	return g.lead.checking
}

// checkLead asks replicas whether they still follow the primary.
func (g *Group) checkLead(s *Server, customer string, check *proof) {
	ctx, cancel := context.WithTimeout(context.Background(), leadCheckWait)
	defer cancel()
	sent := boottime.Now()
	check.err = g.askReplicas(ctx, s, customer)
	g.mu.Lock()
	if g.lead.checking == check {
		g.lead.checking = nil
	}
	if check.err != nil {
		g.lead.refuted = boottime.Now()
	} else if s == g.leader {
		g.lead.proved, g.lead.found = max(g.lead.proved, sent), boottime.Now()
	}
	g.mu.Unlock()
	if check.err != nil {
		g.cfg.Log.WithError(check.err).WithFields(logrus.Fields{"event": "primary_health", "group": g.Name, "backend_server": s.Info().ID}).Warn("not proved to lead")
	}
	close(check.done)
}

// askReplicas returns nil if a replica follows the primary in its present term.
func (g *Group) askReplicas(ctx context.Context, primary *Server, customer string) error {
	term := primary.leadTerm()
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
			primary.noteLeadTerm(term)
		}
		verdict := judgeLead(term, status)
		if verdict == leadProved {
			return nil
		}
		err = errkind.New(errkind.NoPrimary, "%s leads term %d, %s is in term %d and held at %d", primary.Info().ID, term, r.Info().ID, status.Term, status.PausedTerm)
		if verdict == leadRefuted {
			g.replace(primary, status.Term)
			return err
		}
	}
	return err
}

// leadVerdict is what the status of a replica says of a primary.
type leadVerdict uint8

const (
	// leadOpen: a change of primary may be under way.
	leadOpen leadVerdict = iota
	// leadProved: no promotion was ordered before the replica answered, as a steward
	// stops all replicas first.
	leadProved
	// leadRefuted: another server leads a later term.
	leadRefuted
)

// judgeLead tells what a replica's status says of the primary that leads the term.
func judgeLead(term uint64, replica statement.ServerStatus) leadVerdict {
	switch {
	case replica.Term > term:
		return leadRefuted
	case replica.PausedTerm > term || replica.Term < term || replica.Primary:
		return leadOpen
	}
	return leadProved
}

// replicasOf returns the servers beside the primary that can be asked, those of the own
// failure domain with an open connection first.
func (g *Group) replicasOf(primary *Server, customer string) []*Server {
	now := boottime.Now()
	var near, far []*Server
	for _, s := range g.Servers() {
		switch info := s.Info(); {
		case s == primary || s.avoided(now) || s.isMissing() || s.hasLeft(now, g.cfg.LeaveTime):
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
	c, err := s.Conns.Acquire(ctx, connset.Request{Customer: customer, MaxWait: leadCheckWait})
	if err != nil {
		return statement.ServerStatus{}, err
	}
	if err := c.Drain(beginWait); err != nil {
		c.Discard()
		return statement.ServerStatus{}, err
	}
	status, err := g.cfg.Statuses.Status(c.Conn, leadCheckWait)
	if errkind.Is(err, errkind.Unreachable) || errkind.Is(err, errkind.ProtocolViolation) {
		c.Discard()
		s.noteFailure()
		return status, err
	}
	c.Release()
	return status, err
}

// replace notes that another server leads the term: the entry of the primary counts no
// longer, whatever its version, until it says replica.
func (g *Group) replace(s *Server, term uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.noteReplaced(s.Info(), "term", term)
	g.elect()
}

// noteReplaced keeps claims of the server from counting. The mutex is held.
func (g *Group) noteReplaced(info ServerInfo, by string, value any) {
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

// leadTerm returns the term that the server was last known to lead, 0 for none.
func (s *Server) leadTerm() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledTerm
}

func (s *Server) noteLeadTerm(term uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledTerm = term
}
