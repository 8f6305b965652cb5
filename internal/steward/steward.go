package steward

import (
	"context"
	"encoding/json"
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
	// leaseTime is how long a steward's row keeps others away after they first saw
	// it. A change of primary takes about 1 s, and the platform wants 3 s between two
	// holders.
	leaseTime = 3500 * time.Millisecond
	// attemptTime bounds one change of primary.
	attemptTime = 6 * time.Second
	// controlWait bounds one control statement, which waits for a slot.
	controlWait = 500 * time.Millisecond
	// orderWait bounds the order of a promotion, which takes up to 600 ms; calls of
	// the platform answer within 4 ms, 60 times that when it is slow.
	orderWait = 1500 * time.Millisecond
	// storeWait bounds one call of the store.
	storeWait = 800 * time.Millisecond
	// catchUpTime is how long the target may take to receive what another replica
	// has, while the primary still sends.
	catchUpTime = 300 * time.Millisecond
	// tryPause is the least time between two attempts of this VM for a group.
	tryPause = 300 * time.Millisecond
	// firstStorePause and lastStorePause bound the time in which this VM attempts
	// nothing, for any group, after the store failed it.
	firstStorePause = 300 * time.Millisecond
	lastStorePause  = 2400 * time.Millisecond
	// probeTime is how long a silent primary is given to take a connection before it is
	// replaced: several handshakes.
	probeTime = 150 * time.Millisecond
	// pollPause is the pause between two looks at a server.
	pollPause = 30 * time.Millisecond
)

// Server is a backend server of the group.
type Server struct {
	ID, Address string
	Leaving     bool
	// Missing is how long the server's discovery entry has been missing, 0 if it is
	// there. A server may run, and receive commits, without an entry.
	Missing time.Duration
	// DomainInTouch tells that a VM of the server's failure domain is in touch.
	DomainInTouch bool
}

// Control runs control statements at backend servers.
type Control interface {
	Status(c statement.Conn, wait time.Duration) (statement.ServerStatus, error)
	Pause(c statement.Conn, term uint64, wait time.Duration) (statement.ServerStatus, error)
	Resume(c statement.Conn, wait time.Duration) (statement.ServerStatus, error)
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
	Log      *logrus.Entry
}

// Steward changes primaries. The mutex guards the maps.
type Steward struct {
	cfg Config

	mu sync.Mutex
	// busy holds the groups that this VM is changing.
	busy map[string]bool
	// seen is when each version of a group's row was first seen.
	seen map[string]sighting
	// tried is when this VM last began a change of the group's primary.
	tried map[string]boottime.Time
	// outage keeps this VM from attempts while the store does not answer it.
	outage outage
}

// outage is how long the store is left alone after it failed.
//
// Load pattern: a failure domain is cut off. Each of its VMs misses the primaries of
// most groups and would ask the store, which it cannot reach, for each of them again
// and again.
type outage struct {
	until boottime.Time
	pause time.Duration
}

// note takes the outcome of a claim.
func (o *outage) note(now boottime.Time, err error) {
	switch {
	case errkind.Is(err, errkind.PlatformUnavailable), errkind.Is(err, errkind.PlatformUnknown):
		if now < o.until {
			return
		}
		o.pause = min(max(2*o.pause, firstStorePause), lastStorePause)
		o.until = now.Add(o.pause)
	default:
		*o = outage{}
	}
}

type sighting struct {
	version uint64
	holder  string
	at      boottime.Time
}

// New returns a steward.
func New(cfg Config) *Steward {
	return &Steward{cfg: cfg, busy: map[string]bool{}, seen: map[string]sighting{}, tried: map[string]boottime.Time{}}
}

// record is the row of a group.
type record struct {
	Holder string `json:"holder"`
	Token  uint64 `json:"token"`
	// Active tells that the change is not finished.
	Active bool `json:"active"`
	// Target is the server that the order with the token names.
	Target string `json:"target"`
}

// Task is one change of primary.
type Task struct {
	Group string
	// Primary is the server to be replaced; empty if none is known.
	Primary string
	Servers []Server
	Reason  Reason
	// Acknowledged returns the highest position that a VM in touch knows to be
	// acknowledged.
	Acknowledged func() position.Position
	// Progress is told when the new primary is expected to lead.
	Progress func(in time.Duration)
	// Answered is told that the primary answers after all.
	Answered func()
	// Done is told the server that was ordered to lead.
	Done func(server string)
}

// Start runs the task unless this VM is at one for the group already.
func (s *Steward) Start(ctx context.Context, t Task) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.seen[t.Group]
	held := last.holder != "" && last.holder != s.cfg.VM && boottime.Since(last.at) < leaseTime
	if s.busy[t.Group] || held || boottime.Since(s.tried[t.Group]) < tryPause || boottime.Now() < s.outage.until {
		return
	}
	s.tried[t.Group] = boottime.Now()
	s.busy[t.Group] = true
	go func() {
		ctx, cancel := context.WithTimeout(ctx, attemptTime)
		defer cancel()
		log := s.cfg.Log.WithFields(logrus.Fields{"event": "failover", "group": t.Group, "primary": t.Primary, "reason": string(t.Reason)})
		if err := s.run(ctx, t, log); err != nil {
			log.WithError(err).Warn("primary was not replaced")
		}
		s.mu.Lock()
		delete(s.busy, t.Group)
		s.mu.Unlock()
	}()
}

func (s *Steward) run(ctx context.Context, t Task, log *logrus.Entry) error {
	alive := s.probe(ctx, t)
	lease, err := s.claim(ctx, t.Group)
	s.mu.Lock()
	s.outage.note(boottime.Now(), err)
	s.mu.Unlock()
	if err != nil {
		return err
	}
	log.WithFields(logrus.Fields{"token": lease.record.Token, "previous_holder": lease.previous}).Info("lease taken")
	replicas, err := s.connect(ctx, t)
	defer func() {
		for _, r := range replicas {
			r.conn.Close()
		}
	}()
	if err != nil {
		return s.giveUp(ctx, lease, replicas, err)
	}
	if <-alive {
		t.Answered()
		return s.giveUp(ctx, lease, replicas, errkind.New(errkind.Conflict, "primary %s answers", t.Primary))
	}
	target, err := s.secure(ctx, replicas, log)
	if err != nil {
		return s.giveUp(ctx, lease, replicas, err)
	}
	if t.Progress != nil {
		t.Progress(ExpectedPromotion)
	}
	if err := s.promote(ctx, lease, t.Group, target); err != nil {
		// The order may still be carried out. Only the target receives until a
		// later steward has finished.
		return err
	}
	log.WithField("backend_server", target).Info("promoted")
	t.Done(target)
	err = s.finish(ctx, lease)
	if s.leads(ctx, replicas, target) {
		s.resume(replicas, target)
	} else {
		log.WithField("backend_server", target).Warn("promoted server does not lead; the others stay paused")
	}
	return err
}

// probe tells whether a primary that was taken for silent takes a connection.
//
// Load pattern: a network partition ends. VMs that were cut off have missed answers of
// a healthy primary and no others' news of it yet; they would replace it.
func (s *Steward) probe(ctx context.Context, t Task) <-chan bool {
	alive := make(chan bool, 1)
	if t.Reason != Silent {
		alive <- false
		return alive
	}
	address := ""
	for _, server := range t.Servers {
		if server.ID == t.Primary {
			address = server.Address
		}
	}
	go func() {
		call, cancel := context.WithTimeout(ctx, probeTime)
		defer cancel()
		c, err := s.cfg.Dialer.Dial(call, address, t.Group, t.Primary, "")
		if err == nil {
			c.Close()
		}
		alive <- err == nil
	}()
	return alive
}

// ExpectedPromotion is how long a promotion takes; the platform states 300 to 600 ms.
const ExpectedPromotion = 700 * time.Millisecond

// lease is this VM's hold on a group's row.
type lease struct {
	group    string
	record   record
	version  uint64
	previous string
	// pending is the server that an unfinished change has ordered to lead; the order
	// may still be carried out.
	pending string
}

// claim takes the group's row with the next token.
func (s *Steward) claim(ctx context.Context, group string) (*lease, error) {
	old, version, err := s.read(ctx, group)
	if err != nil {
		return nil, err
	}
	if age := s.sight(group, old.Holder, version); old.Holder != s.cfg.VM && old.Holder != "" && age < leaseTime {
		return nil, errkind.New(errkind.Conflict, "%s held the lease %d ms ago", old.Holder, age.Milliseconds())
	}
	l := &lease{group: group, version: version, previous: old.Holder}
	l.record = record{Holder: s.cfg.VM, Token: old.Token, Active: true}
	if old.Active {
		l.pending = old.Target
	}
	return l, s.advance(ctx, l, l.pending)
}

// sight returns how long ago the version of a group's row was first seen.
func (s *Steward) sight(group, holder string, version uint64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.seen[group].version != version {
		s.seen[group] = sighting{version, holder, boottime.Now()}
	}
	return boottime.Since(s.seen[group].at)
}

// Change is what a group's row says.
type Change struct {
	Group string
	// Primary is the server that was promoted, or is being promoted.
	Primary string
	// Active tells that the change is under way.
	Active bool
}

// Observe takes a row of Table from the store's feed.
func (s *Steward) Observe(row coord.Row) (Change, error) {
	var r record
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return Change{}, err
	}
	s.sight(row.Key, r.Holder, row.Version)
	return Change{Group: row.Key, Primary: r.Target, Active: r.Active}, nil
}

func (s *Steward) read(ctx context.Context, group string) (record, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeWait)
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

// advance writes the row with the next token and the server that it will name. A
// token is used for one order only, after its row is known to be written.
func (s *Steward) advance(ctx context.Context, l *lease, target string) error {
	next := l.record
	next.Token++
	next.Target = target
	return s.write(ctx, l, next)
}

func (s *Steward) write(ctx context.Context, l *lease, next record) error {
	value, err := json.Marshal(next)
	if err != nil {
		return errkind.New(errkind.Internal, "%v", err)
	}
	call, cancel := context.WithTimeout(ctx, storeWait)
	defer cancel()
	version, err := s.cfg.Store.Apply(call, coord.Change{
		If:  []coord.Condition{{Table: Table, Key: l.group, Version: l.version}},
		Put: []coord.Row{{Table: Table, Key: l.group, Value: value}},
	})
	if errkind.Is(err, errkind.PlatformUnknown) {
		// The write may have been done, or may be done later under its condition.
		// Reading the row back tells only the first; the lease is given up then.
		found, at, readErr := s.read(ctx, l.group)
		if readErr == nil && at != l.version && found == next {
			version, err = at, nil
		}
	}
	if err != nil {
		return err
	}
	l.record, l.version = next, version
	return nil
}

func (s *Steward) finish(ctx context.Context, l *lease) error {
	next := l.record
	next.Active = false
	return s.write(ctx, l, next)
}

// replica is a server under the steward's control.
type replica struct {
	Replica
	term uint64
	conn statement.Conn
}

// connect reaches every server but the primary: one that is out of reach may be
// the only one with an acknowledged commit.
func (s *Steward) connect(ctx context.Context, t Task) ([]*replica, error) {
	type outcome struct {
		r   *replica
		err error
	}
	results := make(chan outcome, len(t.Servers))
	n := 0
	for _, server := range t.Servers {
		if server.ID == t.Primary {
			continue
		}
		n++
		go func() {
			r, err := s.reach(ctx, t.Group, server)
			results <- outcome{r, err}
		}()
	}
	var replicas []*replica
	var failed error
	for range n {
		o := <-results
		if o.err != nil {
			failed = o.err
			continue
		}
		replicas = append(replicas, o.r)
	}
	if failed == nil && len(replicas) == 0 {
		failed = errkind.New(errkind.NoPrimary, "group %s has no replica", t.Group)
	}
	return replicas, failed
}

func (s *Steward) reach(ctx context.Context, group string, server Server) (*replica, error) {
	var last error
	for range 3 {
		call, cancel := context.WithTimeout(ctx, controlWait)
		c, err := s.cfg.Dialer.Dial(call, server.Address, group, server.ID, "")
		cancel()
		if err != nil {
			last = err
			time.Sleep(pollPause)
			continue
		}
		status, err := s.cfg.Control.Status(c, controlWait)
		if err != nil {
			last = err
			c.Close()
			time.Sleep(pollPause)
			continue
		}
		return &replica{
			Replica: Replica{ID: server.ID, Received: status.Received, Leaving: server.Leaving},
			term:    status.Term, conn: c,
		}, nil
	}
	return nil, last
}

// secure stops the replicas and returns the one that holds every commit that may
// have been acknowledged. While the primary lives, the target goes on receiving,
// so that writes go on until the promotion.
func (s *Steward) secure(ctx context.Context, replicas []*replica, log *logrus.Entry) (string, error) {
	term := uint64(0)
	for _, r := range replicas {
		term = max(term, r.term)
	}
	target := Choose(views(replicas))
	for _, r := range replicas {
		if r.ID != target {
			if err := s.pause(r, term+1); err != nil {
				return "", err
			}
		}
	}
	for start := boottime.Now(); boottime.Since(start) < catchUpTime && ctx.Err() == nil; time.Sleep(pollPause) {
		if Safe(views(replicas), target) {
			break
		}
		for _, r := range replicas {
			if r.ID == target {
				status, err := s.cfg.Control.Status(r.conn, controlWait)
				if err != nil {
					return "", err
				}
				r.Received = status.Received
			}
		}
	}
	if !Safe(views(replicas), target) {
		for _, r := range replicas {
			if !r.Paused {
				if err := s.pause(r, term+1); err != nil {
					return "", err
				}
			}
		}
		target = Choose(views(replicas))
	}
	fields := logrus.Fields{"backend_server": target, "term": term}
	for _, r := range replicas {
		fields["received_"+r.ID] = r.Received.String()
	}
	log.WithFields(fields).Info("target chosen")
	if target == "" || !Safe(views(replicas), target) {
		return "", errkind.New(errkind.NoPrimary, "no replica is known to hold all commits")
	}
	return target, nil
}

func (s *Steward) pause(r *replica, term uint64) error {
	status, err := s.cfg.Control.Pause(r.conn, term, controlWait)
	if err != nil {
		return err
	}
	r.Received, r.Paused = status.Received, true
	return nil
}

func views(replicas []*replica) []Replica {
	list := make([]Replica, 0, len(replicas))
	for _, r := range replicas {
		list = append(list, r.Replica)
	}
	return list
}

// promote orders the promotion. An order without an answer may be carried out
// late; it is repeated with a higher token until one is answered.
func (s *Steward) promote(ctx context.Context, l *lease, group, target string) error {
	for {
		if err := s.advance(ctx, l, target); err != nil {
			return err
		}
		call, cancel := context.WithTimeout(ctx, orderWait)
		err := s.cfg.Promoter.Promote(call, group, target, s.cfg.VM, l.record.Token)
		cancel()
		switch {
		case err == nil:
			return nil
		case errkind.Is(err, errkind.Fenced):
			return err
		}
		s.cfg.Log.WithError(err).WithFields(logrus.Fields{"event": "failover", "group": group, "token": l.record.Token}).Warn("promotion was not answered")
		select {
		case <-ctx.Done():
			return err
		case <-time.After(pollPause):
		}
	}
}

// leads waits until the target leads. Until then the old primary may go on, and a
// replica that receives again could let it acknowledge what the target lacks.
func (s *Steward) leads(ctx context.Context, replicas []*replica, target string) bool {
	for _, r := range replicas {
		if r.ID != target {
			continue
		}
		for ctx.Err() == nil {
			status, err := s.cfg.Control.Status(r.conn, controlWait)
			if err == nil && status.Primary {
				return true
			}
			time.Sleep(pollPause)
		}
	}
	return false
}

// resume lets the other replicas receive again.
func (s *Steward) resume(replicas []*replica, target string) {
	for _, r := range replicas {
		if r.ID == target || !r.Paused {
			continue
		}
		if _, err := s.cfg.Control.Resume(r.conn, controlWait); err != nil {
			s.cfg.Log.WithError(err).WithFields(logrus.Fields{"event": "failover", "backend_server": r.ID}).Warn("replica was not resumed")
		}
	}
}

// giveUp ends an attempt that has ordered nothing: the replicas receive again. If an
// earlier order may still be carried out, only the server that it names does, and
// the change stays unfinished.
func (s *Steward) giveUp(ctx context.Context, l *lease, replicas []*replica, cause error) error {
	if l.pending != "" {
		for _, r := range replicas {
			if r.ID == l.pending && r.Paused {
				s.resume([]*replica{r}, "")
			}
		}
		return cause
	}
	s.resume(replicas, "")
	l.record.Target = ""
	if err := s.finish(ctx, l); err != nil {
		s.cfg.Log.WithError(err).WithFields(logrus.Fields{"event": "failover", "group": l.group}).Warn("lease was not given back")
	}
	return cause
}
