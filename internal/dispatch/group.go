// Package dispatch decides where a statement runs: which backend server of a database group is
// the primary, which replicas are fresh enough, which of them is expected to answer first, and
// which attempts may be retried.
package dispatch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"chicoryline/internal/admission"
	"chicoryline/internal/balance"
	"chicoryline/internal/boottime"
	"chicoryline/internal/coldstart"
	"chicoryline/internal/connset"
	"chicoryline/internal/errkind"
	"chicoryline/internal/evidence"
	"chicoryline/internal/position"
)

const (
	// scarceIdleTimeout is the idle timeout where connections are scarce: several times the pause
	// between the statements of a transaction.
	scarceIdleTimeout = 300 * time.Millisecond
	// primaryWait bounds the wait for a primary while no primary change is in progress: a
	// quarter of the shortest latency objective.
	primaryWait = 50 * time.Millisecond
	// primaryPollInterval is the time between two checks of a primary that failed.
	primaryPollInterval = 40 * time.Millisecond
	// noPrimaryRetryAfter is the retry time given to callers without a primary: the duration
	// of a failover, counted from the failure of the primary.
	noPrimaryRetryAfter = 1500 * time.Millisecond
	// claimTimeout is how long a promoted server may take to publish an entry that claims the
	// primary role. Servers publish changes at once, but the store may be slow.
	claimTimeout = 3 * time.Second
	// missingTimeout is how long a server stays in use after its entry has vanished. Entries
	// that expired while the store was unavailable return within 2 s. After the timeout the
	// server is kept as a former server only.
	missingTimeout = 2500 * time.Millisecond
)

// Group is a database group as seen by this VM. The mutex guards the fields below it.
type Group struct {
	Name    string
	History evidence.History

	cfg *Config

	mu      sync.Mutex
	servers map[string]*Server
	leader  *Server
	// notPrimary holds servers that reported that they are not the primary, with the version
	// of their entries at that time.
	notPrimary map[*Server]uint64
	changed    chan struct{}
	// successor is the server whose promotion was ordered at successorSince.
	successor       *Server
	successorSince  boottime.Time
	positionRefresh *sharedRefresh
	connLimit       int
	// health tracks the answers of the primary, commits those that are in flight.
	health  health
	commits commitWatch
	// primaryExpectedAt is when a new primary is expected to take over.
	primaryExpectedAt boottime.Time
	// primaryLostAt is when the group lost its primary or, if it has had none yet, when its first
	// server was known. primaryLeavingSince is when the present primary was first known to be
	// leaving.
	primaryLostAt, primaryLeavingSince boottime.Time
	// lastPrimary is the ID of the primary before the group lost it.
	lastPrimary  string
	acknowledged acknowledged
	former       formerServers
	leadership   leadership
	proofs       ProofStats
	// promotionTarget is the server named by the newest known promotion order. replaced holds
	// servers that were replaced as primaries, with their incarnations.
	promotionTarget string
	replaced        map[string]int64
	// expired holds servers that were dropped while connections to them were in use.
	expired          []*Server
	healthLogLimiter logLimiter
	balancer         *balance.Balancer
	// coldMarks holds when failure domains last returned to use.
	coldMarks map[string]boottime.Time

	// coldLimit is nil without a limit. outsideDomains counts the statements that no server of an
	// allowed failure domain could run.
	coldLimit      atomic.Pointer[ColdLimit]
	outsideDomains atomic.Int64
	// returns spreads the returns of callers that were refused without a primary.
	returns admission.Returns
	// ranked is set if the routes of the group have different priorities.
	ranked atomic.Bool
}

// Config is what all groups of a VM share.
type Config struct {
	Domain string
	// LeaveTime is how long a server may get work after it has announced that it is leaving.
	LeaveTime time.Duration
	Dialer    connset.Dialer
	Texts     connset.Texts
	Statuses  StatusReader
	// LeaderLeaseTime is how long confirmed leadership remains valid; 0 where a replaced
	// primary rejects reads by itself.
	LeaderLeaseTime time.Duration
	// OutstandingTargets returns the servers of a group whose promotion was ordered and may take
	// effect from now on, and whether the order was answered. A nil function stands for none.
	OutstandingTargets func(group string) (targets []string, answered bool)
	// RefreshOrders reads from the store what OutstandingTargets rests on. It limits the time of the
	// call of the store by itself.
	RefreshOrders func(ctx context.Context, group string) error
	// Contact is nil if nobody else has to know of acknowledged commits.
	Contact Contact
	// ReadSeed is random, so that the same customers prefer different servers at each VM.
	ReadSeed uint64
	Log      *logrus.Entry
	// fleet is the list of VMs, nil if unknown.
	fleet *atomic.Pointer[coldstart.Fleet]
	// evacuated holds the failure domains that get no work.
	evacuated *evacuations
}

// Router holds the groups. The mutex guards groups and limits.
type Router struct {
	cfg *Config

	mu     sync.Mutex
	groups map[string]*Group
	limits map[string]int
}

// NewRouter returns a router without groups.
func NewRouter(cfg Config) *Router {
	cfg.fleet = &atomic.Pointer[coldstart.Fleet]{}
	cfg.evacuated = &evacuations{}
	return &Router{cfg: &cfg, groups: map[string]*Group{}, limits: map[string]int{}}
}

// find returns the group, nil if it is not known.
func (r *Router) find(group string) *Group {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.groups[group]
}

// Group returns the group with the name and creates it if necessary.
func (r *Router) Group(name string) *Group {
	r.mu.Lock()
	defer r.mu.Unlock()
	g := r.groups[name]
	if g == nil {
		g = &Group{Name: name, cfg: r.cfg, servers: map[string]*Server{}, notPrimary: map[*Server]uint64{}, replaced: map[string]int64{}, balancer: balance.New(), changed: make(chan struct{}), connLimit: max(1, r.limits[name])}
		r.groups[name] = g
	}
	return g
}

// Groups returns all groups.
func (r *Router) Groups() []*Group {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]*Group, 0, len(r.groups))
	for _, g := range r.groups {
		list = append(list, g)
	}
	return list
}

// SetLimits sets the connection limit of this VM for each server of the group; newServerLimit
// is the limit for servers that are discovered later.
func (r *Router) SetLimits(group string, newServerLimit int, limit func(*Server) int) {
	r.mu.Lock()
	r.limits[group] = newServerLimit
	g := r.groups[group]
	r.mu.Unlock()
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.connLimit = newServerLimit
	for _, s := range g.servers {
		s.Conns.SetLimit(limit(s))
	}
}

// Update applies the entry of a server.
func (r *Router) Update(info ServerInfo) { r.Group(info.Group).update(info) }

// MarkMissing records that the entry of a server has vanished.
func (r *Router) MarkMissing(id string) {
	for _, g := range r.Groups() {
		g.markMissing(id)
	}
}

// ServerIDs returns the IDs of all servers.
func (r *Router) ServerIDs() []string {
	var ids []string
	for _, g := range r.Groups() {
		for _, s := range g.Servers() {
			ids = append(ids, s.Info().ID)
		}
	}
	return ids
}

// CloseIdle closes connections that have been idle for longer than d, or for longer than
// scarceIdleTimeout at servers where the share of this VM is less than one connection.
//
// Load pattern: 76 VMs share servers that accept 55 connections. A VM that keeps a connection
// open after a transaction blocks it for other VMs, and its own next caller usually belongs to
// another customer, who cannot use it.
func (r *Router) CloseIdle(d time.Duration) {
	for _, g := range r.Groups() {
		for _, s := range g.Servers() {
			s.Conns.CloseIdle(s.idleTimeout(d))
		}
	}
}

// ExpireServers drops servers whose entries have been missing for too long. Their groups keep
// them as former servers.
func (r *Router) ExpireServers() {
	for _, g := range r.Groups() {
		g.expire()
	}
}

func (g *Group) update(info ServerInfo) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if info.Restored && g.isKnownEntry(info) {
		return
	}
	for _, f := range g.former.replace(info) {
		g.formerServerLog(f).WithField("replaced_by", info.ID).Warn("replaced")
	}
	s := g.servers[info.ID]
	if s != nil {
		old := s.Info()
		if old.Address != info.Address || old.Started != info.Started {
			// The server has restarted: its connections are gone.
			g.serverLog(s).WithFields(logrus.Fields{"new_started": info.Started, "address": info.Address}).Warn("restarted")
			s.Conns.Close()
			delete(g.notPrimary, s)
			s = nil
		}
	}
	isNew := s == nil
	if isNew {
		s = &Server{Conns: connset.New(g.cfg.Dialer, info.Address, g.Name, info.ID, g.connLimit), knownSince: boottime.Now(), retry: newRetryState()}
		g.servers[info.ID] = s
	} else if s.isMissing() {
		g.serverLog(s).Warn("entry returned")
	}
	startsLeaving := s.update(info)
	g.observeWarmth(s, info)
	if !info.Primary {
		delete(g.replaced, info.ID)
	}
	switch {
	case isNew:
		g.serverLog(s).WithField("address", info.Address).Info("known")
	case startsLeaving:
		g.serverLog(s).Info("leaving")
	}
	g.electPrimary()
}

// isKnownEntry reports whether a restored entry is the known one of its server, or an older one.
// The last entry of a server that is missing may be there because it was written again. The mutex
// is held.
func (g *Group) isKnownEntry(info ServerInfo) bool {
	if s := g.servers[info.ID]; s != nil {
		known := s.Info()
		if known.isNewerThan(info) {
			g.serverLog(s).Info("older entry ignored")
			return true
		}
		return !info.isNewerThan(known) && !s.isMissing()
	}
	for _, f := range g.former {
		if f.ID == info.ID && f.isNewerThan(info) {
			g.formerServerLog(f).Info("older entry ignored")
			return true
		}
	}
	return false
}

func (g *Group) markMissing(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s := g.servers[id]; s != nil && !s.isMissing() {
		g.serverLog(s).Warn("entry vanished")
		s.mu.Lock()
		s.missingSince = boottime.Now()
		s.mu.Unlock()
	}
}

func (g *Group) expire() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pruneExpired()
	for id, s := range g.servers {
		s.mu.Lock()
		former := FormerServer{ServerInfo: s.info, Since: s.missingSince}
		s.mu.Unlock()
		if former.Since != 0 && boottime.Since(former.Since) > missingTimeout {
			s.Conns.Close()
			if s.Conns.MaySend() {
				g.expired = append(g.expired, s)
			}
			delete(g.servers, id)
			delete(g.notPrimary, s)
			g.serverLog(s).Warn("gone")
			g.addFormerServer(former)
			g.electPrimary()
		}
	}
}

// electPrimary selects the primary: the server named by the newest promotion order, if it
// claims to be the primary; otherwise the server with the newest claim; without any claim, the
// server whose promotion was ordered recently. A claim is ignored if its server denied it or
// has been replaced since: a server that was unreachable publishes its claim again, in a newer
// entry. The mutex is held.
func (g *Group) electPrimary() {
	var best *Server
	var bestVersion uint64
	for _, s := range g.servers {
		info := s.Info()
		if version, denied := g.notPrimary[s]; !info.Primary || denied && info.Version <= version || g.isReplaced(info) {
			continue
		}
		if best == nil || info.Version > bestVersion {
			best, bestVersion = s, info.Version
		}
		if info.ID == g.promotionTarget {
			best, bestVersion = s, info.Version
			break
		}
	}
	how := "claimed"
	if best == nil && g.isPromotionPending() && g.servers[g.successor.Info().ID] == g.successor {
		best, how = g.successor, "promoted"
	}
	if best != g.leader {
		g.setPrimary(best, how, bestVersion)
	}
	if best == nil && g.primaryLostAt == 0 && len(g.servers) > 0 {
		g.primaryLostAt = boottime.Now()
	}
	switch {
	case best == nil || !g.isLeaving(best):
		g.primaryLeavingSince = 0
	case g.primaryLeavingSince == 0:
		g.primaryLeavingSince = boottime.Now()
	}
}

// isPromotionPending reports whether a promotion was ordered within claimTimeout. The mutex is
// held.
func (g *Group) isPromotionPending() bool {
	return g.successor != nil && boottime.Since(g.successorSince) < claimTimeout
}

// setPrimary makes the server the primary, or none if it is nil. The mutex is held.
func (g *Group) setPrimary(s *Server, how string, version uint64) {
	previous := g.leader.name()
	g.leader = s
	g.health, g.leadership, g.primaryLostAt = health{}, leadership{}, 0
	if s == nil {
		g.lastPrimary, g.primaryLostAt = previous, boottime.Now()
	}
	g.cfg.Log.WithFields(logrus.Fields{
		"event": "primary", "group": g.Name, "backend_server": s.name(), "previous": previous, "entry_version": version, "how": how,
	}).WithFields(g.acknowledged.fields()).Info("changed")
	close(g.changed)
	g.changed = make(chan struct{})
}

// MarkNotPrimary records that the server reported that it is not the primary. A server that
// was promoted recently may not lead yet; it is asked again after a pause that doubles.
func (g *Group) MarkNotPrimary(s *Server) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s == g.successor && g.isPromotionPending() {
		s.pauseUntilPrimary()
		return
	}
	g.notPrimary[s] = s.Info().Version
	g.electPrimary()
}

// ObservePromotionOrder records that the promotion of the server was ordered. Until the server
// leads, the present primary stays in use if it still answers and rejects statements by itself
// once it is replaced; see markOthersReplaced.
func (g *Group) ObservePromotionOrder(id string, primaryAnswers bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.servers[id]
	if s == nil {
		return
	}
	if s != g.successor && s != g.leader {
		g.successor, g.successorSince = s, boottime.Now()
		s.promotionOrdered()
	}
	g.promotionTarget = id
	delete(g.replaced, id)
	if s == g.leader {
		return
	}
	g.markOthersReplaced(id, primaryAnswers)
	g.electPrimary()
}

// LoadPromotionOrder sets the server named by the newest promotion order, as read from the
// whole table. The order may be old, so it does not make a promotion pending.
func (g *Group) LoadPromotionOrder(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.promotionTarget == id {
		return
	}
	g.promotionTarget = id
	g.electPrimary()
}

// markOthersReplaced invalidates the claims of all servers except the successor. A primary
// that rejects statements by itself once it is replaced stays in use while it answers. The
// mutex is held.
func (g *Group) markOthersReplaced(successor string, primaryAnswers bool) {
	if g.cfg.LeaderLeaseTime == 0 && primaryAnswers {
		return
	}
	for _, s := range g.servers {
		if info := s.Info(); info.Primary && info.ID != successor {
			g.markReplaced(info, "successor", successor)
		}
	}
	for _, f := range g.former {
		if f.Primary && f.ID != successor {
			g.markReplaced(f.ServerInfo, "successor", successor)
		}
	}
	if g.leader != nil && g.leader.Info().ID != successor {
		g.notPrimary[g.leader] = g.leader.Info().Version
	}
}

// Leader returns the primary as known to this VM, or nil.
func (g *Group) Leader() *Server {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leader
}

// awaitPrimary waits for a primary that can be asked. It waits for longer than primaryWait
// only if a primary change is in progress and expected to finish before the deadline;
// otherwise it fails and tells the caller when to retry.
func (g *Group) awaitPrimary(ctx context.Context, deadline boottime.Time) (*Server, error) {
	start := boottime.Now()
	for {
		now := boottime.Now()
		g.mu.Lock()
		leader, changed, expected := g.leader, g.changed, g.primaryExpectedAt
		g.mu.Unlock()
		if leader != nil && !leader.isAvoided(now) && !leader.hasLeft(now, g.cfg.LeaveTime) && g.mayWork(leader, now) {
			return leader, nil
		}
		if err := g.evacuatedError(); err != nil {
			return nil, err
		}
		until := start.Add(primaryWait)
		if expected > now {
			until = expected.Add(primaryWait)
		}
		if now >= until || until > deadline {
			return nil, errkind.New(errkind.NoPrimary, "group %s", g.Name)
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(min(until.Sub(now), primaryPollInterval)):
		}
	}
}

// Servers returns all servers that may get statements.
func (g *Group) Servers() []*Server {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := make([]*Server, 0, len(g.servers))
	for _, s := range g.servers {
		list = append(list, s)
	}
	return list
}

// pickReader returns the server for the customer's read, or nil if none is left.
func (g *Group) pickReader(customer string, need position.Position, tried []*Server) *Server {
	now := boottime.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	var eligible []*Server
	for _, s := range g.servers {
		if contains(tried, s) || g.isEvacuated(s.Info().Domain) || !s.isEligible(need, now) {
			continue
		}
		eligible = append(eligible, s)
	}
	return g.balanceRead(eligible, tried, customer, now)
}

func contains(list []*Server, s *Server) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}
