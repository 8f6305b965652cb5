package steward

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"chicoryline/internal/backoff"
	"chicoryline/internal/boottime"
	"chicoryline/internal/coord"
	"chicoryline/internal/errkind"
	"chicoryline/internal/position"
	"chicoryline/internal/statement"
)

const (
	// Table holds one row for each group for which a steward ever acquired the lease.
	Table = "stewards"
	// leaseDuration is how long other stewards leave a group alone after they first
	// observed a version of its row. A primary change takes about 1 s, and the platform
	// requires 3 s between two holders.
	leaseDuration = 3500 * time.Millisecond
	// leaseRenewAge is the maximum age of the last write of the row when a command is sent
	// to a server: a command takes up to twice controlTimeout and has to end before
	// leaseDuration has passed.
	leaseRenewAge = 2 * time.Second
	// attemptTimeout bounds a primary change up to the promotion order.
	attemptTimeout = 6 * time.Second
	// settleTimeout bounds the time from the order, or from aborting, until all replicas
	// may receive again: orders are executed up to 12 s late.
	settleTimeout = 15 * time.Second
	// controlTimeout bounds one control statement, including its wait for a connection slot.
	controlTimeout = 500 * time.Millisecond
	// surveyAttempts is the number of attempts to reach a server that has a discovery entry.
	surveyAttempts = 3
	// missingDialTimeout bounds the dial to a server that may be gone, as it has no discovery entry
	// or is retired. It covers several handshakes and the wait for a busy slot.
	missingDialTimeout = 300 * time.Millisecond
	// gossipDelay is how long VMs take to report the positions that they saw acknowledged:
	// state updates are sent twice a second, and one may be lost.
	gossipDelay = 1200 * time.Millisecond
	// domainObservationTimeout is how long to wait for a state update from a VM of a
	// server's failure domain: two rounds of updates, and one relayed by a cell's leader.
	domainObservationTimeout = 1500 * time.Millisecond
	// orderTimeout bounds the wait for the answer to an order, which does not wait for the
	// promotion itself. An answer usually takes 25 ms; a slow platform takes 60 times its
	// normal 4 ms.
	orderTimeout = 500 * time.Millisecond
	// storeTimeout bounds one call of the store.
	storeTimeout = 800 * time.Millisecond
	// catchUpTimeout bounds the wait for a replica to receive the log of another server.
	catchUpTimeout = 300 * time.Millisecond
	// warmReplicaTimeout is the part of it for which a replica that is not cold is awaited: several
	// round trips of replication.
	warmReplicaTimeout = 120 * time.Millisecond
	// minAttemptInterval is the minimum time between two attempts of this VM for a group.
	minAttemptInterval = 300 * time.Millisecond
	// conflictAttemptInterval replaces minAttemptInterval after the primary proved healthy or
	// another steward was found to hold the lease.
	conflictAttemptInterval = time.Second
	// minStoreBackoff and maxStoreBackoff bound the time for which this VM makes no attempt
	// for any group after the store failed while a lease was acquired.
	minStoreBackoff = 300 * time.Millisecond
	maxStoreBackoff = 2400 * time.Millisecond
	// silentDialTimeout bounds the dial to a primary that did not answer. It covers several
	// handshakes.
	silentDialTimeout = 150 * time.Millisecond
	// pollInterval is the pause between two status requests to a server.
	pollInterval = 30 * time.Millisecond
)

// Server is a backend server of the group.
type Server struct {
	ID, Address, Domain string
	Leaving             bool
	// Departing reports that the server is leaving and may end within a few seconds.
	Departing bool
	// Started is the start time that the server states, in Unix milliseconds, 0 if it states none.
	Started int64
	// Cold reports that the server is slow because it has started or come back recently.
	Cold bool
	// Missing is how long the server's discovery entry has been missing, 0 if it exists.
	// A server may run and receive commits without an entry.
	Missing time.Duration
	// ConfirmedGone reports that the server was found not to run. Position is the end of the
	// group's log at that time: the server took part in no acknowledgement beyond it.
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

// Promoter orders promotions. Of the errors of its implementations only
// errkind.PlatformUnknown leaves open whether the order will be executed.
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
	// LeaderLease is how long VMs may read from a primary after its leadership was last
	// confirmed; 0 if a replaced primary refuses statements by itself.
	LeaderLease time.Duration
	// Eras tracks the era of the store.
	Eras *coord.Eras
	// Now is the clock, boottime.Now if it is nil.
	Now func() boottime.Time
	Log *logrus.Entry
}

// Steward is a VM's failover coordinator for the database groups. For each group, one VM
// at a time acts as coordinator under a lease. The mutex guards the fields below it.
type Steward struct {
	cfg Config

	mu sync.Mutex
	// inProgress holds the groups whose primary this VM is changing.
	inProgress map[string]bool
	// observations holds, by group, the newest row version and when it was first observed.
	observations map[string]rowObservation
	// lastAttempt is when this VM last began an attempt, by group.
	lastAttempt map[string]boottime.Time
	// storeBackoff suppresses attempts while this VM gets no answer from the store.
	storeBackoff storeBackoff
}

// storeBackoff is an exponential backoff after failed calls of the store.
//
// Load pattern: a network partition isolates a failure domain. Each of its VMs gets no
// answer from the primaries of most groups and would call the unreachable store for each
// of them again and again.
type storeBackoff struct{ backoff.Backoff }

func newStoreBackoff() storeBackoff {
	return storeBackoff{backoff.Backoff{First: minStoreBackoff, Max: maxStoreBackoff}}
}

// record updates the backoff with the outcome of acquiring a lease.
func (o *storeBackoff) record(now boottime.Time, err error) {
	switch {
	case errkind.Is(err, errkind.PlatformUnavailable), errkind.Is(err, errkind.PlatformUnknown):
		o.Fail(now)
	default:
		o.Reset()
	}
}

// rowObservation is the newest version of a group's row and when it was first observed.
type rowObservation struct {
	version coord.Version
	at      boottime.Time
	// record has the highest token observed. The row may lack it after the store was restored.
	record record
	orders outstandingOrders
}

// New returns a steward.
func New(cfg Config) *Steward {
	if cfg.Now == nil {
		cfg.Now = boottime.Now
	}
	return &Steward{cfg: cfg, inProgress: map[string]bool{}, observations: map[string]rowObservation{}, lastAttempt: map[string]boottime.Time{}, storeBackoff: newStoreBackoff()}
}

func (s *Steward) now() boottime.Time { return s.cfg.Now() }

// record is the stored row of a group.
type record struct {
	Holder string `json:"holder"`
	Token  uint64 `json:"token"`
	// Active reports that the primary change is not finished.
	Active bool `json:"active"`
	// Target is the server named by the order that carries the token.
	Target string `json:"target"`
	// Ordered reports that the order was answered: it is in force, and it fences older ones.
	Ordered bool `json:"ordered,omitempty"`
	// Earlier lists the servers named by earlier orders that were not answered.
	Earlier []string `json:"earlier,omitempty"`
	// Retired lists the leaving replicas that stay paused until they end.
	Retired []retiredServer `json:"retired,omitempty"`
}

// unansweredTargets returns the servers named by orders that may still be executed.
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
		r.Ordered == o.Ordered && slices.Equal(r.Earlier, o.Earlier) && slices.Equal(r.Retired, o.Retired)
}

// Task describes one primary change.
type Task struct {
	Group string
	// Primary is the server to be replaced: the last known primary, empty if there was none.
	Primary string
	Servers []Server
	Reason  Reason
	// Acknowledged returns the highest position that a reachable VM knows to be
	// acknowledged.
	Acknowledged func() position.Position
	// IsAcknowledgedComplete reports whether Acknowledged covers every acknowledged commit:
	// each VM is reachable, or became unreachable before the position was learned.
	IsAcknowledgedComplete func() bool
	// IsDomainReachable reports whether the server's failure domain has been reachable long
	// enough for expired entries to have been restored, and one of its VMs sent a state
	// update after the given moment.
	IsDomainReachable func(s Server, since boottime.Time) bool
	// IsEvacuated reports whether the failure domain is evacuated: none of its servers may be
	// promoted. IsLeaving reports whether the primary still leaves. Nil functions stand for no
	// evacuation.
	IsEvacuated func(domain string) bool
	IsLeaving   func() bool
	// RefreshServers reads the servers from the store and returns all known servers.
	RefreshServers func(ctx context.Context) ([]Server, error)
	// OnPromotionExpected receives the expected time until the new primary leads.
	OnPromotionExpected func(in time.Duration)
	// OnPrimaryAnswered is called if the suspected primary answers.
	OnPrimaryAnswered func()
	// OnPromoted receives the server whose promotion was ordered and answered, or that was
	// found to lead already.
	OnPromoted func(server string)
}

// Start runs the task in the background and reports whether it does. It does nothing while this VM
// already runs one for the group, another VM holds the lease, or an attempt would come too early.
func (s *Steward) Start(ctx context.Context, t Task) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.observations[t.Group]
	held := last.record.Holder != "" && last.record.Holder != s.cfg.VM && s.now().Sub(last.at) < leaseDuration
	if s.inProgress[t.Group] || held || s.now().Sub(s.lastAttempt[t.Group]) < minAttemptInterval || s.storeBackoff.Active(s.now()) {
		return false
	}
	s.lastAttempt[t.Group] = s.now()
	s.inProgress[t.Group] = true
	go func() {
		log := s.cfg.Log.WithFields(logrus.Fields{"event": "failover", "group": t.Group, "primary": t.Primary, "reason": string(t.Reason)})
		err := s.runRecovered(ctx, t, log)
		if err != nil {
			log.WithError(err).Warn("primary was not replaced")
		}
		s.mu.Lock()
		delete(s.inProgress, t.Group)
		if errkind.Is(err, errkind.Conflict) {
			s.lastAttempt[t.Group] = s.now().Add(conflictAttemptInterval - minAttemptInterval)
		}
		s.mu.Unlock()
	}()
	return true
}

func (s *Steward) runTask(process context.Context, t Task, log *logrus.Entry) error {
	ctx, cancel := context.WithTimeout(process, attemptTimeout)
	defer cancel()
	lease, err := s.acquireLease(ctx, t.Group)
	s.mu.Lock()
	s.storeBackoff.record(s.now(), err)
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

// ExpectedPromotionTime bounds the usual duration of a promotion, which the platform states
// as 300 to 600 ms.
const ExpectedPromotionTime = 700 * time.Millisecond

// lease is this VM's exclusive right to change a group's primary, based on the group's row.
type lease struct {
	group  string
	record record
	// version is that of the row, 0 if it does not exist; era is that of the store.
	version        coord.Version
	era            uint64
	previousHolder string
	// writtenAt is when the last successful write of the row was sent.
	writtenAt boottime.Time
	// unfinished reports that the previous primary change was not completed: it may have
	// left replicas paused.
	unfinished bool
	// pendingTargets are the servers named by earlier orders that may still be executed.
	pendingTargets []string
	// previousTarget is the server that the last finished change promoted, empty if none is known.
	previousTarget string
}

// acquireLease takes over the group's row and advances its token. A row that is older than the
// newest record known to this VM was restored from a backup; that record counts then.
func (s *Steward) acquireLease(ctx context.Context, group string) (*lease, error) {
	if err := s.checkEraAge(); err != nil {
		return nil, err
	}
	row, version, era, err := s.readRow(ctx, group)
	if err == nil {
		err = s.checkEraAge() // the answer may be the first one of an era
	}
	if err != nil {
		return nil, err
	}
	old, age := s.observeRow(group, row, version)
	if old.Holder != s.cfg.VM && old.Holder != "" && age < leaseDuration {
		return nil, errkind.New(errkind.Conflict, "%s holds the lease, first observed %d ms ago", old.Holder, age.Milliseconds())
	}
	l := &lease{group: group, version: version, era: era, previousHolder: old.Holder, unfinished: old.Active}
	l.pendingTargets = old.unansweredTargets()
	if !old.Active {
		l.previousTarget = old.Target
	}
	l.record = record{Holder: s.cfg.VM, Token: max(old.Token, firstToken(era)), Active: true, Earlier: l.pendingTargets}
	for _, r := range old.Retired {
		r.Era = era // this VM observed the entry in its own era
		l.record.Retired = append(l.record.Retired, r)
	}
	return l, s.writeNextToken(ctx, l, "")
}

// checkEraAge returns an error while another VM may hold a lease that the store has lost.
func (s *Steward) checkEraAge() error {
	if s.cfg.Eras.IsOlderThan(leaseDuration, s.now()) {
		return nil
	}
	return errkind.New(errkind.Conflict, "era %d of the store has just begun, a lease of the era before may be held", s.cfg.Eras.Newest())
}

// tokenEraBits is the number of bits of a token below its era. A restored row may lack the last
// tokens; those of a new era are higher than all that were used before.
const tokenEraBits = 32

// firstToken returns a token that is lower than all other tokens of the era.
func firstToken(era uint64) uint64 { return era << tokenEraBits }

// observeRow records a version of a group's row. It returns the newest record known of the group,
// and how long ago this version was first observed.
func (s *Steward) observeRow(group string, r record, version coord.Version) (record, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last, known := s.observations[group]
	if !known || last.version != version {
		restored := known && version.Era() != last.version.Era()
		if r.Token < last.record.Token || restored && r.Token == last.record.Token {
			r = last.record
		}
		now := s.now()
		last = rowObservation{version, now, r, last.orders.next(r, version, now)}
		s.observations[group] = last
	}
	return last.record, s.now().Sub(last.at)
}

// Change is the state of a group's last primary change, as stored in its row.
type Change struct {
	Group string
	// Primary is the server that was promoted, or is being promoted.
	Primary string
	// InProgress reports that the change is unfinished and no promotion order of it is known
	// to have been answered.
	InProgress bool
}

// Observe processes a row of Table that was read from the store.
func (s *Steward) Observe(row coord.Row) (Change, error) {
	r, err := decodeRecord(row)
	if err != nil {
		return Change{}, err
	}
	r, _ = s.observeRow(row.Key, r, row.Version)
	return Change{Group: row.Key, Primary: r.Target, InProgress: r.Active && !r.Ordered}, nil
}

// UnfinishedSince returns when the newest version of the group's row was first observed, if it
// records an unfinished change that this VM does not run itself, and 0 otherwise.
func (s *Steward) UnfinishedSince(group string) boottime.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if last := s.observations[group]; last.record.Active && !s.inProgress[group] {
		return last.at
	}
	return 0
}

// readRow returns the row of the group, its version (0 if it does not exist) and the store's era.
func (s *Steward) readRow(ctx context.Context, group string) (r record, version coord.Version, era uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	rows, at, err := s.cfg.Store.Rows(ctx, Table)
	if err != nil {
		return r, 0, 0, err
	}
	for _, row := range rows {
		if row.Key == group {
			if r, err = decodeRecord(row); err != nil {
				s.cfg.Log.WithError(err).WithFields(logrus.Fields{"event": "failover", "group": group}).Warn("steward row is written again")
				r = record{Active: true} // a change may be unfinished
			}
			return r, row.Version, at.Era(), nil
		}
	}
	return r, 0, at.Era(), nil
}

// decodeRecord decodes the row of a group. A token of a later era than the row's cannot have been
// written by a steward: no higher one would be left for the next order.
func decodeRecord(row coord.Row) (r record, err error) {
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return record{}, err
	}
	if era := r.Token >> tokenEraBits; era > row.Version.Era() {
		return record{}, errkind.New(errkind.Internal, "token %d of era %d in a row of era %d", r.Token, era, row.Version.Era())
	}
	r.Retired = r.retiredIn(row.Version)
	return r, nil
}

// writeNextToken stores the next token together with the server that its order will name.
// A token is used for a single order, and only after its row is known to be written.
func (s *Steward) writeNextToken(ctx context.Context, l *lease, target string) error {
	next := l.record
	next.Token++
	next.Earlier = l.record.unansweredTargets()
	next.Target, next.Ordered = target, false
	return s.writeRow(ctx, l, next)
}

// renewLease writes the row again if the last write is too old for another steward to be
// excluded while a command to a server is in flight.
func (s *Steward) renewLease(ctx context.Context, l *lease) error {
	if s.now().Sub(l.writtenAt) < leaseRenewAge {
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
	sent := s.now()
	version, err := s.cfg.Store.Apply(call, coord.Change{
		If:  []coord.Condition{{Table: Table, Key: l.group, Version: l.version}},
		Put: []coord.Row{{Table: Table, Key: l.group, Value: value}},
	})
	if errkind.Is(err, errkind.PlatformUnknown) {
		// The write may have been executed, or may be executed later if its condition
		// still holds. Reading the row back confirms only the first case; otherwise the
		// call fails and the lease is lost.
		found, at, era, readErr := s.readRow(ctx, l.group)
		if readErr == nil && era == l.era && at != l.version && found.equal(next) {
			version, err = at, nil
		}
	}
	if err == nil && version.Era() != l.era {
		err = errkind.New(errkind.Conflict, "lease of era %d was lost, the store is in era %d", l.era, version.Era())
	}
	if err != nil {
		return err
	}
	l.record, l.version, l.writtenAt = next, version, sent
	s.observeRow(l.group, next, version)
	return nil
}

// markOrdered stores that the order was answered.
func (s *Steward) markOrdered(ctx context.Context, l *lease) error {
	next := l.record
	next.Ordered, next.Earlier = true, nil
	return s.writeRow(ctx, l, next)
}

// markFinished stores that the primary change is finished.
func (s *Steward) markFinished(ctx context.Context, l *lease) error {
	next := l.record
	next.Active, next.Earlier = false, nil
	return s.writeRow(ctx, l, next)
}
