package configsync

import (
	"fmt"
	"slices"
	"time"

	"chicoryline/internal/services"
	"chicoryline/internal/statechart"
)

// Fixed intervals. All others follow from the length of the grant.
const (
	// pollInterval is how often a holder reads the configuration row when
	// nobody tells it of a change. Cost: 4 reads a second for each holder, so
	// 32 a second at 8 holders and 96 at 24, also when 1,500 VMs are served,
	// because the others ask their holders and not the platform.
	pollInterval = 250 * time.Millisecond
	// pendingInterval is how often the rows of the holders are listed while a
	// patch waits for them.
	pendingInterval = 50 * time.Millisecond
	// leaseLength is the longest lease that a holder gives to another VM.
	leaseLength = time.Second
	// leaseInterval is how often a lease is renewed.
	leaseInterval = 250 * time.Millisecond
	// retryInterval is the pause after an action that failed.
	retryInterval = 250 * time.Millisecond
	// listInterval is how often the rows of the holders are listed otherwise.
	listInterval = time.Second
	// pendingTimeoutSlack is added to the time in which a dead holder is found lapsed
	// before a patch is withdrawn.
	pendingTimeoutSlack = time.Second
	// cleanupDelay is how long a holder's counter stands still before the others
	// clean up after it, and the pause between two attempts to do so.
	cleanupDelay = 30 * time.Second
	// minVoters is the least number of voters of which one can be lost.
	minVoters = 3
	// maxFormerIDs bounds the ids of earlier registrations in a holder's row.
	maxFormerIDs = 8
)

// coreConfig is what the decisions of one process depend on.
type coreConfig struct {
	vm            string
	domain        string
	address       string
	incarnation   uint64
	grantLength   time.Duration // of a grant
	renewInterval time.Duration // between renewals
	cleanupDelay  time.Duration // cleanAfter, shorter in tests
	observer      bool          // holds no grant, lives on leases
}

// pendingTimeout is how long a pending patch may wait for a holder.
func (c coreConfig) pendingTimeout() time.Duration {
	return pendingTimeout(c.grantLength) + c.renewInterval
}

// core decides for one process: when it may serve which configuration, when it
// acknowledges a patch and how a patch ends. It does no input or output and
// reads no clock; one goroutine owns it.
type core struct {
	cfg   coreConfig
	grant *statechart.Machine
	patch *statechart.Machine

	snap         snapshot  // newest configuration known; only ever newer
	validUntil   time.Time // end of the present grant or lease
	promiseTable promiseTable
	expiry       expiryDetector

	own          ownRow
	holders      []Holder // of the last list
	rows         []services.Row
	pendingSince time.Time

	inFlight  map[string]bool      // actions under way
	notBefore map[string]time.Time // when an action may be asked for next
	queued    []any                // actions to return
}

// ownRow is what a holder knows of its own row.
type ownRow struct {
	registration    uint64
	id              string
	version         uint64
	counter         uint64
	versionKnown    bool     // version is known for sure
	registered      bool     // the row is known to exist
	voters          []string // as written before the last reading of the configuration
	attemptedVoters []string // as in a later write, or one whose effect is not known
	former          []string // ids of earlier registrations
	acked           uint64
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

// isValid reports whether the process holds a proof at this time.
func (c *core) isValid(now time.Time) bool { return isBeforeDeadline(now, c.validUntil) }

// isBeforeDeadline reports whether now is before the end by the monotonic clock and by
// the wall clock, because the former stands still while some hypervisors pause
// a VM.
func isBeforeDeadline(now, until time.Time) bool {
	return now.Before(until) && now.Round(0).Before(until.Round(0))
}

// step returns the actions that are due.
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

// schedule asks for what is due in the present states.
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

func (c *core) queueLease(now time.Time) {
	c.queueAction(now, "lease", leaseInterval, func() any {
		ask := LeaseRequest{From: c.own.id, Address: c.cfg.address, Row: c.snap.row.Version}
		return requestLease{addresses: c.lessors(), request: ask}
	})
}

// lessors are the addresses of the other holders, those of the domain first.
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

// queueAction emits the action unless one of its kind is open or was asked for within
// the interval.
func (c *core) queueAction(now time.Time, kind string, interval time.Duration, build func() any) {
	if c.inFlight[kind] || now.Before(c.notBefore[kind]) {
		return
	}
	c.inFlight[kind] = true
	c.notBefore[kind] = now.Add(interval)
	c.queued = append(c.queued, build())
}

// makeDue makes an action due at once.
func (c *core) makeDue(kind string) { delete(c.notBefore, kind) }

// buildRenewal is the next write of the holder's row.
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

// liveVoters are this process and the holders not known to have lapsed. With
// fewer than minVoters the list is empty (never nil): the holder then forgoes
// extensions by promises, and its lapse alone is enough for a patch.
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

// buildPromiseRequests asks all voters for a promise.
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

// acknowledge moves a joint patch on once no promise stands against it.
func (c *core) acknowledge(now time.Time) {
	if c.patch.State() != "joint" || c.cfg.observer || c.grant.State() == "leaving" {
		return
	}
	if c.promiseTable.allowsAcknowledging(c.snap.row.Version, now) {
		c.firePatch(now, "guards_passed")
	}
}

// giveBack deletes the holder's row once all promises and leases have ended.
func (c *core) giveBack(now time.Time) {
	if c.inFlight["renew"] || c.inFlight["finish"] || !c.promiseTable.allowsAcknowledging(^uint64(0), now) {
		return
	}
	c.queueAction(now, "give_back", retryInterval, func() any { return giveBack{id: c.own.id} })
}

// fireGrant takes the event in the chart of the grant. The action "extend" is
// carried out by the callers, which know the time.
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

// registerAgain gives up the holder's id for a new one. What was acknowledged
// and promised under the old one still holds.
func (c *core) registerAgain() {
	old := c.own
	c.own = ownRow{registration: old.registration + 1, versionKnown: true, acked: old.acked}
	c.own.id = holderID(c.cfg.vm, c.cfg.incarnation, c.own.registration)
	c.own.former = append(slices.Clone(old.former), old.id)
	c.own.former = c.own.former[max(0, len(c.own.former)-maxFormerIDs):]
	c.makeDue("renew")
}

// extend takes the event and moves the end of the proof, if the chart says so.
func (c *core) extend(event string, until time.Time, now time.Time) {
	if !now.Before(until) {
		return
	}
	actions, err := c.grant.Fire(event)
	if err == nil && slices.Contains(actions, "extend") && until.After(c.validUntil) {
		c.validUntil = until
	}
}

// firePatch takes the event in the chart of the patch.
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
