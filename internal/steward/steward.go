package steward

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"chicoryline/internal/boottime"
	"chicoryline/internal/coord"
	"chicoryline/internal/errkind"
	"chicoryline/internal/position"
	"chicoryline/internal/statement"
)

const (
	// Table holds one row for each group that ever got a new primary.
	Table = "stewards"
	// leaseDuration is how long a steward's row keeps others away after they first saw
	// it. A change of primary takes about 1 s, and the platform wants 3 s between two
	// holders.
	leaseDuration = 3500 * time.Millisecond
	// leaseRenewAge is how old the last write of the row may be when a server is commanded:
	// a command takes up to two controlWait, and has to be over before leaseTime.
	leaseRenewAge = 2 * time.Second
	// attemptTimeout bounds one change of primary up to its order.
	attemptTimeout = 6 * time.Second
	// settleTimeout bounds the time from the order, or from giving up, until all servers
	// may go on: orders are carried out up to 12 s late.
	settleTimeout = 15 * time.Second
	// controlTimeout bounds one control statement, which waits for a slot.
	controlTimeout = 500 * time.Millisecond
	// surveyAttempts is how often a server that has an entry is tried.
	surveyAttempts = 3
	// missingDialTimeout bounds the opening of a connection to a server without an entry, which
	// may be gone: several handshakes and a busy slot.
	missingDialTimeout = 300 * time.Millisecond
	// gossipDelay is how long VMs take to tell what they saw acknowledged: news leave twice a
	// second, and one may be lost.
	gossipDelay = 1200 * time.Millisecond
	// domainObservationTimeout is how long to wait for VMs of a server's failure domain: two rounds of news,
	// and one that the leader of a cell relays.
	domainObservationTimeout = 1500 * time.Millisecond
	// orderTimeout bounds the wait for the answer to an order, which does not wait for the
	// promotion: 25 ms as a rule, 60 times an answer of 4 ms when the platform is slow.
	orderTimeout = 500 * time.Millisecond
	// storeTimeout bounds one call of the store.
	storeTimeout = 800 * time.Millisecond
	// catchUpTimeout is how long a replica may take to receive what another server has.
	catchUpTimeout = 300 * time.Millisecond
	// minAttemptInterval is the least time between two attempts of this VM for a group.
	minAttemptInterval = 300 * time.Millisecond
	// conflictAttemptInterval is that after a primary turned out to be well, or another steward acts.
	conflictAttemptInterval = time.Second
	// minStoreBackoff and lastStorePause bound the time in which this VM attempts
	// nothing, for any group, after the store failed it.
	minStoreBackoff = 300 * time.Millisecond
	maxStoreBackoff = 2400 * time.Millisecond
	// silentDialTimeout bounds the opening of a connection to a primary that was silent: several
	// handshakes.
	silentDialTimeout = 150 * time.Millisecond
	// pollInterval is the pause between two looks at a server.
	pollInterval = 30 * time.Millisecond
)

// Server is a backend server of the group.
type Server struct {
	ID, Address, Domain string
	Leaving             bool
	// Missing is how long the server's discovery entry has been missing, 0 if it is
	// there. A server may run, and receive commits, without an entry.
	Missing time.Duration
	// ConfirmedGone tells that the server was found not to run, and Position the end of the
	// group's log then: the server has let nothing beyond be acknowledged.
	ConfirmedGone bool
	Position      position.Position
}

// Control runs control statements at backend servers.
type Control interface {
	Status(c statement.Conn, wait time.Duration) (statement.ServerStatus, error)
	Pause(c statement.Conn, term uint64, wait time.Duration) (statement.ServerStatus, error)
	Resume(c statement.Conn, wait time.Duration) (statement.ServerStatus, error)
	StepDown(c statement.Conn, term uint64, wait time.Duration) (statement.ServerStatus, error)
}

// Dialer opens connections to backend servers.
type Dialer interface {
	Dial(ctx context.Context, address, group, server, customer string) (statement.Conn, error)
}

// Promoter orders promotions. See the errors of its implementations: only
// errkind.PlatformUnknown leaves open whether the order is carried out.
type Promoter interface {
	Promote(ctx context.Context, group, server, holder string, token uint64) error
}

// Config describes the steward of one VM.
type Config struct {
	VM       string
	Store    coord.Store
	Dialer   Dialer
	Control  Control
	Promoter Promoter
	// LeaderLease is how long VMs may rest on a proof that the old primary leads, 0 if it
	// refuses by itself once it is replaced.
	LeaderLease time.Duration
	Log         *logrus.Entry
}

// Steward changes primaries. The mutex guards the maps.
type Steward struct {
	cfg Config

	mu sync.Mutex
	// inProgress holds the groups that this VM is changing.
	inProgress map[string]bool
	// observations is when each version of a group's row was first seen.
	observations map[string]rowObservation
	// lastAttempt is when this VM last began a change of the group's primary.
	lastAttempt map[string]boottime.Time
	// storeBackoff keeps this VM from attempts while the store does not answer it.
	storeBackoff storeBackoff
}

// storeBackoff is how long the store is left alone after it failed.
//
// Load pattern: a failure domain is cut off. Each of its VMs misses the primaries of
// most groups and would ask the store, which it cannot reach, for each of them again
// and again.
type storeBackoff struct {
	until boottime.Time
	pause time.Duration
}

// record takes the outcome of a claim.
func (o *storeBackoff) record(now boottime.Time, err error) {
	switch {
	case errkind.Is(err, errkind.PlatformUnavailable), errkind.Is(err, errkind.PlatformUnknown):
		if now < o.until {
			return
		}
		o.pause = min(max(2*o.pause, minStoreBackoff), maxStoreBackoff)
		o.until = now.Add(o.pause)
	default:
		*o = storeBackoff{}
	}
}

type rowObservation struct {
	version uint64
	holder  string
	at      boottime.Time
	// active tells that the change is not finished.
	active bool
}

// New returns a steward.
func New(cfg Config) *Steward {
	return &Steward{cfg: cfg, inProgress: map[string]bool{}, observations: map[string]rowObservation{}, lastAttempt: map[string]boottime.Time{}}
}

// record is the row of a group.
type record struct {
	Holder string `json:"holder"`
	Token  uint64 `json:"token"`
	// Active tells that the change is not finished.
	Active bool `json:"active"`
	// Target is the server that the order with the token names.
	Target string `json:"target"`
	// Ordered tells that the order was answered: it is in force, and older ones are not.
	Ordered bool `json:"ordered,omitempty"`
	// Earlier are servers that earlier orders without an answer name.
	Earlier []string `json:"earlier,omitempty"`
}

// unansweredTargets returns the servers that orders name which may still be carried out.
func (r record) unansweredTargets() []string {
	switch {
	case !r.Active || r.Ordered:
		return nil
	case r.Target == "" || slices.Contains(r.Earlier, r.Target):
		return r.Earlier
	}
	return append(slices.Clone(r.Earlier), r.Target)
}

func (r record) equal(o record) bool {
	return r.Holder == o.Holder && r.Token == o.Token && r.Active == o.Active && r.Target == o.Target &&
		r.Ordered == o.Ordered && slices.Equal(r.Earlier, o.Earlier)
}

// Task is one change of primary.
type Task struct {
	Group string
	// Primary is the server to be replaced: the last one that was known to lead, empty if
	// there was none.
	Primary string
	Servers []Server
	Reason  Reason
	// Acknowledged returns the highest position that a VM in touch knows to be
	// acknowledged.
	Acknowledged func() position.Position
	// IsAcknowledgedComplete reports whether Acknowledged covers all that was acknowledged: each VM is
	// in touch, or fell silent before the position was learned.
	IsAcknowledgedComplete func() bool
	// IsDomainReachable reports whether the server's failure domain has been in touch for long
	// enough for entries to be back, and a VM of it has been heard of after the moment.
	IsDomainReachable func(s Server, since boottime.Time) bool
	// RefreshServers reads the servers from the store, and returns those known now.
	RefreshServers func(ctx context.Context) ([]Server, error)
	// OnPromotionExpected is told when the new primary is expected to lead.
	OnPromotionExpected func(in time.Duration)
	// OnPrimaryAnswered is told that the primary answers after all.
	OnPrimaryAnswered func()
	// OnPromoted is told the server that was ordered to lead.
	OnPromoted func(server string)
}

// Start runs the task unless this VM is at one for the group already.
func (s *Steward) Start(ctx context.Context, t Task) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.observations[t.Group]
	held := last.holder != "" && last.holder != s.cfg.VM && boottime.Since(last.at) < leaseDuration
	if s.inProgress[t.Group] || held || boottime.Since(s.lastAttempt[t.Group]) < minAttemptInterval || boottime.Now() < s.storeBackoff.until {
		return
	}
	s.lastAttempt[t.Group] = boottime.Now()
	s.inProgress[t.Group] = true
	go func() {
		log := s.cfg.Log.WithFields(logrus.Fields{"event": "failover", "group": t.Group, "primary": t.Primary, "reason": string(t.Reason)})
		err := s.run(ctx, t, log)
		if err != nil {
			log.WithError(err).Warn("primary was not replaced")
		}
		s.mu.Lock()
		delete(s.inProgress, t.Group)
		if errkind.Is(err, errkind.Conflict) {
			s.lastAttempt[t.Group] = boottime.Now().Add(conflictAttemptInterval - minAttemptInterval)
		}
		s.mu.Unlock()
	}()
}

func (s *Steward) run(process context.Context, t Task, log *logrus.Entry) error {
	ctx, cancel := context.WithTimeout(process, attemptTimeout)
	defer cancel()
	lease, err := s.acquireLease(ctx, t.Group)
	s.mu.Lock()
	s.storeBackoff.record(boottime.Now(), err)
	s.mu.Unlock()
	if err != nil {
		return err
	}
	log.WithFields(logrus.Fields{"token": lease.record.Token, "previous_holder": lease.previousHolder, "pending": strings.Join(lease.pendingTargets, ",")}).Info("lease taken")
	a := &attempt{
		s: s, t: t, lease: lease, log: log.WithField("token", lease.record.Token),
		settleContext: func() (context.Context, context.CancelFunc) { return context.WithTimeout(process, settleTimeout) },
	}
	defer a.close()
	if err := a.surveyServers(ctx); err != nil {
		return a.abort(err)
	}
	return a.execute(ctx)
}

// ExpectedPromotionTime is how long a promotion takes; the platform states 300 to 600 ms.
const ExpectedPromotionTime = 700 * time.Millisecond

// lease is this VM's hold on a group's row.
type lease struct {
	group          string
	record         record
	version        uint64
	previousHolder string
	// writtenAt is when the last write of the row that succeeded was sent.
	writtenAt boottime.Time
	// unfinished tells that the change before this one was not brought to an end: it may
	// have left replicas paused.
	unfinished bool
	// pendingTargets are the servers that earlier orders name which may still be carried out.
	pendingTargets []string
}

// acquireLease takes the group's row with the next token.
func (s *Steward) acquireLease(ctx context.Context, group string) (*lease, error) {
	old, version, err := s.readRow(ctx, group)
	if err != nil {
		return nil, err
	}
	if age := s.observeRow(group, old, version); old.Holder != s.cfg.VM && old.Holder != "" && age < leaseDuration {
		return nil, errkind.New(errkind.Conflict, "%s held the lease %d ms ago", old.Holder, age.Milliseconds())
	}
	l := &lease{group: group, version: version, previousHolder: old.Holder, unfinished: old.Active}
	l.pendingTargets = old.unansweredTargets()
	l.record = record{Holder: s.cfg.VM, Token: old.Token, Active: true, Earlier: l.pendingTargets}
	return l, s.writeNextToken(ctx, l, "")
}

// observeRow returns how long ago the version of a group's row was first seen.
func (s *Steward) observeRow(group string, r record, version uint64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.observations[group].version != version {
		s.observations[group] = rowObservation{version, r.Holder, boottime.Now(), r.Active}
	}
	return boottime.Since(s.observations[group].at)
}

// Change is what a group's row says.
type Change struct {
	Group string
	// Primary is the server that was promoted, or is being promoted.
	Primary string
	// InProgress tells that the change is under way.
	InProgress bool
}

// Observe takes a row of Table from the store's feed.
func (s *Steward) Observe(row coord.Row) (Change, error) {
	var r record
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return Change{}, err
	}
	s.observeRow(row.Key, r, row.Version)
	return Change{Group: row.Key, Primary: r.Target, InProgress: r.Active && !r.Ordered}, nil
}

// UnfinishedSince returns when the group's row was first seen to tell of a change that is
// not finished, 0 if it does not.
func (s *Steward) UnfinishedSince(group string) boottime.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if last := s.observations[group]; last.active && !s.inProgress[group] {
		return last.at
	}
	return 0
}

func (s *Steward) readRow(ctx context.Context, group string) (record, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	var r record
	rows, _, err := s.cfg.Store.Rows(ctx, Table)
	if err != nil {
		return r, 0, err
	}
	for _, row := range rows {
		if row.Key == group {
			return r, row.Version, json.Unmarshal(row.Value, &r)
		}
	}
	return r, 0, nil
}

// writeNextToken writes the row with the next token and the server that it will name. A
// token is used for one order only, after its row is known to be written.
func (s *Steward) writeNextToken(ctx context.Context, l *lease, target string) error {
	next := l.record
	next.Token++
	next.Earlier = l.record.unansweredTargets()
	next.Target, next.Ordered = target, false
	return s.writeRow(ctx, l, next)
}

// renewLease makes sure that no other steward can take the row while a command to a server is
// under way.
func (s *Steward) renewLease(ctx context.Context, l *lease) error {
	if boottime.Since(l.writtenAt) < leaseRenewAge {
		return nil
	}
	return s.writeRow(ctx, l, l.record)
}

func (s *Steward) writeRow(ctx context.Context, l *lease, next record) error {
	value, err := json.Marshal(next)
	if err != nil {
		return errkind.New(errkind.Internal, "%v", err)
	}
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	sent := boottime.Now()
	version, err := s.cfg.Store.Apply(call, coord.Change{
		If:  []coord.Condition{{Table: Table, Key: l.group, Version: l.version}},
		Put: []coord.Row{{Table: Table, Key: l.group, Value: value}},
	})
	if errkind.Is(err, errkind.PlatformUnknown) {
		// The write may have been done, or may be done later under its condition.
		// Reading the row back tells only the first; the lease is given up then.
		found, at, readErr := s.readRow(ctx, l.group)
		if readErr == nil && at != l.version && found.equal(next) {
			version, err = at, nil
		}
	}
	if err != nil {
		return err
	}
	l.record, l.version, l.writtenAt = next, version, sent
	return nil
}

// markOrdered notes that the order was answered.
func (s *Steward) markOrdered(ctx context.Context, l *lease) error {
	next := l.record
	next.Ordered, next.Earlier = true, nil
	return s.writeRow(ctx, l, next)
}

func (s *Steward) markFinished(ctx context.Context, l *lease) error {
	next := l.record
	next.Active, next.Earlier = false, nil
	return s.writeRow(ctx, l, next)
}
