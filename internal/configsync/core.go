package configsync

import (
	"fmt"
	"slices"
	"time"

	"chicoryline/internal/services"
	"chicoryline/internal/statechart"
)

// Fixed intervals and limits. All other intervals are derived from the grant length.
const (
	// pollInterval is how often a holder reads the configuration row when no
	// notification arrives. Load: 4 reads/s per holder, so 32 reads/s with 8
	// holders and 96 reads/s with 24. It stays the same with 1,500 VMs, because
	// all other VMs ask the holders instead of the platform.
	pollInterval = 250 * time.Millisecond
	// pendingInterval is how often the holder rows are listed while a patch
	// waits for acknowledgements.
	pendingInterval = 50 * time.Millisecond
	// leaseLength is the maximum lease that a holder grants to another VM.
	leaseLength = time.Second
	// leaseInterval is how often a lease is renewed.
	leaseInterval = 250 * time.Millisecond
	// retryInterval is the delay before a failed action is retried.
	retryInterval = 250 * time.Millisecond
	// listInterval is how often the holder rows are listed at all other times.
	listInterval = time.Second
	// pendingTimeoutSlack is how much longer a pending patch waits than it takes to
	// detect that the grant of a dead holder has expired.
	pendingTimeoutSlack = time.Second
	// cleanupDelay is how long a holder's counter must be unchanged before another
	// holder starts to clean up after it: a first attempt bars the holder, a second
	// one removes its row. It is also the delay between two such attempts.
	cleanupDelay = 30 * time.Second
	// minVoters is the smallest number of voters that tolerates the loss of one.
	minVoters = 3
	// maxFormerIDs is the maximum number of earlier registration ids in a holder row.
	maxFormerIDs = 8
)

// coreConfig holds the identity and the timing of one process.
type coreConfig struct {
	vm            string
	domain        string
	address       string
	incarnation   uint64
	grantLength   time.Duration // length of a grant
	renewInterval time.Duration // time between two renewals of the grant
	cleanupDelay  time.Duration // the constant of this name, or less in tests
	observer      bool          // holds no grant and serves under leases only
}

// pendingTimeout is how long a pending patch may wait for the holders.
func (c coreConfig) pendingTimeout() time.Duration {
	return pendingTimeout(c.grantLength) + c.renewInterval
}

// core is the protocol state machine of one process. It decides which
// configuration the process may serve, when it acknowledges a patch and how a
// patch ends. It does no I/O and reads no clock. Only one goroutine may use it.
type core struct {
	cfg   coreConfig
	grant *statechart.Machine
	patch *statechart.Machine

	snap         snapshot  // newest known configuration; never replaced by an older one
	validUntil   time.Time // end of the current grant or lease
	promiseTable promiseTable
	expiry       expiryDetector

	own          ownRow
	holders      []Holder       // decoded from the last list
	rows         []services.Row // the rows of the last list
	pendingSince time.Time      // when the pending patch was first read

	inFlight  map[string]bool      // kinds of actions in flight
	notBefore map[string]time.Time // earliest time of the next action of a kind
	queued    []any                // actions that the next step returns
}

// ownRow is the state of the process's own holder row, as known locally.
type ownRow struct {
	registration    uint64 // number of times that the process has registered again
	id              string
	version         uint64
	counter         uint64
	versionKnown    bool     // no write with an unknown outcome since version was read
	registered      bool     // the row is known to exist
	voters          []string // list of voters written before the last read of the configuration
	attemptedVoters []string // list in a later write, or in one with an unknown outcome; nil if none
	former          []string // ids of earlier registrations
	acked           uint64   // newest acknowledged attempt
}

func newCore(cfg coreConfig) *core {
	c := &core{
		cfg:          cfg,
		grant:        statechart.MustLoad("grant").Start(),
		patch:        statechart.MustLoad("patch").Start(),
		promiseTable: newPromiseTable(),
		inFlight:     map[string]bool{},
		notBefore:    map[string]time.Time{},
	}
	c.own = ownRow{id: holderID(cfg.vm, cfg.incarnation, 0), versionKnown: true}
	return c
}

// isValid reports whether the process holds an unexpired grant or lease.
func (c *core) isValid(now time.Time) bool { return isBeforeDeadline(now, c.validUntil) }

// isBeforeDeadline reports whether now is before until by both the monotonic and
// the wall clock. The monotonic clock alone is not enough, because it stops while
// some hypervisors pause a VM.
func isBeforeDeadline(now, until time.Time) bool {
	return now.Before(until) && now.Round(0).Before(until.Round(0))
}

// step expires the grant if its time is over, and returns the actions that are due.
func (c *core) step(now time.Time) []any {
	if !c.validUntil.IsZero() && !c.isValid(now) {
		c.fireGrant("ran_out")
	}
	c.acknowledge(now)
	c.schedule(now)
	out := c.queued
	c.queued = nil
	return out
}

// schedule queues the actions that are due in the current states.
func (c *core) schedule(now time.Time) {
	if c.grant.Done() {
		return
	}
	if c.grant.State() == "leaving" {
		c.giveBack(now)
		return
	}
	if c.cfg.observer {
		c.queueLease(now)
		return
	}
	c.queueAction(now, "read", pollInterval, func() any { return readConfig{} })
	c.queueAction(now, "renew", c.cfg.renewInterval, c.buildRenewal)
	interval := listInterval
	if c.patch.State() == "acknowledged" {
		interval = pendingInterval
	}
	c.queueAction(now, "list", interval, func() any { return listHolders{recordVersion: c.snap.row.Version} })
	if c.validUntil.Sub(now) > c.cfg.grantLength/3 {
		return
	}
	if c.own.registered {
		c.queueAction(now, "promise", retryInterval, c.buildPromiseRequests)
	}
	if !c.isValid(now) || c.grant.State() == "leased" {
		c.queueLease(now)
	}
}

// queueLease queues a request for a lease.
func (c *core) queueLease(now time.Time) {
	c.queueAction(now, "lease", leaseInterval, func() any {
		request := LeaseRequest{From: c.own.id, Address: c.cfg.address, Row: c.snap.row.Version}
		return requestLease{addresses: c.lessors(), request: request}
	})
}

// lessors returns the addresses of the other holders, those in the same failure
// domain first.
func (c *core) lessors() []string {
	var sameDomain, otherDomains []string
	for _, h := range c.holders {
		switch {
		case h.ID == c.own.id:
		case h.Domain == c.cfg.domain:
			sameDomain = append(sameDomain, h.Address)
		default:
			otherDomains = append(otherDomains, h.Address)
		}
	}
	return append(sameDomain, otherDomains...)
}

// queueAction queues the action unless one of its kind is in flight or was queued
// within the interval.
func (c *core) queueAction(now time.Time, kind string, interval time.Duration, build func() any) {
	if c.inFlight[kind] || now.Before(c.notBefore[kind]) {
		return
	}
	c.inFlight[kind] = true
	c.notBefore[kind] = now.Add(interval)
	c.queued = append(c.queued, build())
}

// makeDue removes the delay before the next action of the kind.
func (c *core) makeDue(kind string) { delete(c.notBefore, kind) }

// buildRenewal returns the next write of the own holder row.
func (c *core) buildRenewal() any {
	voters := c.own.attemptedVoters
	if voters == nil {
		voters = c.liveVoters()
		c.own.attemptedVoters = voters
	}
	c.own.counter++
	h := Holder{
		ID: c.own.id, VM: c.cfg.vm, Domain: c.cfg.domain, Address: c.cfg.address,
		Counter: c.own.counter, Length: c.cfg.grantLength, Acked: c.own.acked, Voters: voters, Former: c.own.former,
	}
	request := fmt.Sprintf("%s#%d", c.own.id, c.own.counter)
	return renew{holder: h, version: c.own.version, reread: !c.own.versionKnown, request: request}
}

// liveVoters returns the ids of this process and of the holders that are not known
// to have expired. With fewer than minVoters the list is empty but not nil: the
// holder then never extends its grant by promises, so a patch needs nothing but
// the expiry of its grant.
func (c *core) liveVoters() []string {
	ids := []string{c.own.id}
	for _, h := range c.holders {
		if h.ID != c.own.id && !c.expiry.isExpired(h) && !c.promiseTable.barred[h.ID] {
			ids = append(ids, h.ID)
		}
	}
	if len(ids) < minVoters {
		return []string{}
	}
	slices.Sort(ids)
	return ids
}

// buildPromiseRequests returns requests for a promise to all voters.
func (c *core) buildPromiseRequests() any {
	request := PromiseRequest{From: c.own.id, Address: c.cfg.address, Row: c.snap.row.Version, Length: c.cfg.grantLength}
	var to []Holder
	for _, h := range c.holders {
		if h.ID != c.own.id && (slices.Contains(c.own.voters, h.ID) || slices.Contains(c.own.attemptedVoters, h.ID)) {
			to = append(to, h)
		}
	}
	return requestPromises{holders: to, request: request}
}

// acknowledge starts the acknowledgement of a jointly served patch once no promise
// forbids it.
func (c *core) acknowledge(now time.Time) {
	if c.patch.State() != "joint" || c.cfg.observer || c.grant.State() == "leaving" {
		return
	}
	if c.promiseTable.allowsAcknowledging(c.snap.row.Version, now) {
		c.firePatch(now, "guards_passed")
	}
}

// giveBack queues the deletion of the own holder row once all promises and leases
// that this process has given have ended.
func (c *core) giveBack(now time.Time) {
	if c.inFlight["renew"] || c.inFlight["finish"] || !c.promiseTable.allowsAcknowledging(^uint64(0), now) {
		return
	}
	c.queueAction(now, "give_back", retryInterval, func() any { return giveBack{id: c.own.id} })
}

// fireGrant applies the event to the grant's state chart. Its action "extend" is
// not handled here but in extend, which is given the time.
func (c *core) fireGrant(event string) {
	actions, err := c.grant.Fire(event)
	if err != nil {
		return
	}
	for _, a := range actions {
		switch a {
		case "expire":
			c.validUntil = time.Time{}
		case "register_again":
			c.registerAgain()
		}
	}
}

// registerAgain replaces the holder's id by a new one. Acknowledgements and
// promises made under the old id remain valid.
func (c *core) registerAgain() {
	old := c.own
	c.own = ownRow{registration: old.registration + 1, versionKnown: true, acked: old.acked}
	c.own.id = holderID(c.cfg.vm, c.cfg.incarnation, c.own.registration)
	c.own.former = append(slices.Clone(old.former), old.id)
	c.own.former = c.own.former[max(0, len(c.own.former)-maxFormerIDs):]
	c.makeDue("renew")
}

// extend applies the event to the grant's state chart and, if the chart says so,
// extends the grant or lease to until.
func (c *core) extend(event string, until time.Time, now time.Time) {
	if !now.Before(until) {
		return
	}
	actions, err := c.grant.Fire(event)
	if err == nil && slices.Contains(actions, "extend") && until.After(c.validUntil) {
		c.validUntil = until
	}
}

// firePatch applies the event to the patch's state chart.
func (c *core) firePatch(now time.Time, event string) {
	actions, err := c.patch.Fire(event)
	if err != nil {
		return
	}
	for _, a := range actions {
		switch a {
		case "serve_joint":
			c.pendingSince = now
		case "write_ack":
			c.own.acked = c.snap.record.Pending.Attempt
			c.makeDue("renew")
		case "list_holders":
			c.makeDue("list")
		case "read_config":
			c.makeDue("read")
		}
	}
}
