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
	// patienceSlack is added to the time in which a dead holder is found lapsed
	// before a patch is withdrawn.
	patienceSlack = time.Second
	// cleanAfter is how long a holder's counter stands still before the others
	// clean up after it, and the pause between two attempts to do so.
	cleanAfter = 30 * time.Second
	// minVoters is the least number of voters of which one can be lost.
	minVoters = 3
	// maxFormer bounds the ids of earlier registrations in a holder's row.
	maxFormer = 8
)

// coreConfig is what the decisions of one process depend on.
type coreConfig struct {
	vm          string
	domain      string
	address     string
	incarnation uint64
	length      time.Duration // of a grant
	interval    time.Duration // between renewals
	cleanAfter  time.Duration // cleanAfter, shorter in tests
	observer    bool          // holds no grant, lives on leases
}

// patience is how long a pending patch may wait for a holder.
func (c coreConfig) patience() time.Duration { return patience(c.length) + c.interval }

// core decides for one process: when it may serve which configuration, when it
// acknowledges a patch and how a patch ends. It does no input or output and
// reads no clock; one goroutine owns it.
type core struct {
	cfg   coreConfig
	grant *statechart.Machine
	patch *statechart.Machine

	snap  snapshot  // newest configuration known; only ever newer
	until time.Time // end of the present grant or lease
	book  promiseBook
	watch lapseWatch

	own         ownRow
	holders     []Holder // of the last list
	rows        []services.Row
	pendingSeen time.Time

	open map[string]bool      // actions under way
	due  map[string]time.Time // when an action may be asked for next
	out  []any                // actions to return
}

// ownRow is what a holder knows of its own row.
type ownRow struct {
	registration uint64
	id           string
	version      uint64
	counter      uint64
	sure         bool     // version is known for sure
	registered   bool     // the row is known to exist
	voters       []string // as written before the last reading of the configuration
	attempted    []string // as in a later write, or one whose effect is not known
	former       []string // ids of earlier registrations
	acked        uint64
}

func newCore(cfg coreConfig) *core {
	c := &core{
		cfg:   cfg,
		grant: statechart.MustLoad("grant").Start(),
		patch: statechart.MustLoad("patch").Start(),
		book:  newPromiseBook(),
		open:  map[string]bool{},
		due:   map[string]time.Time{},
	}
	c.own = ownRow{id: holderID(cfg.vm, cfg.incarnation, 0), sure: true}
	return c
}

// valid reports whether the process holds a proof at this time.
func (c *core) valid(now time.Time) bool { return inTime(now, c.until) }

// inTime reports whether now is before the end by the monotonic clock and by
// the wall clock, because the former stands still while some hypervisors pause
// a VM.
func inTime(now, until time.Time) bool {
	return now.Before(until) && now.Round(0).Before(until.Round(0))
}

// step returns the actions that are due.
func (c *core) step(now time.Time) []any {
	if !c.until.IsZero() && !c.valid(now) {
		c.fireGrant("ran_out")
	}
	c.acknowledge(now)
	c.schedule(now)
	out := c.out
	c.out = nil
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
		c.askLease(now)
		return
	}
	c.ask(now, "read", pollInterval, func() any { return readConfig{} })
	c.ask(now, "renew", c.cfg.interval, c.renewal)
	interval := listInterval
	if c.patch.State() == "acknowledged" {
		interval = pendingInterval
	}
	c.ask(now, "list", interval, func() any { return listHolders{record: c.snap.row.Version} })
	if c.until.Sub(now) > c.cfg.length/3 {
		return
	}
	if c.own.registered {
		c.ask(now, "promise", retryInterval, c.promises)
	}
	if !c.valid(now) || c.grant.State() == "leased" {
		c.askLease(now)
	}
}

func (c *core) askLease(now time.Time) {
	c.ask(now, "lease", leaseInterval, func() any {
		ask := LeaseAsk{From: c.own.id, Address: c.cfg.address, Row: c.snap.row.Version}
		return askLease{to: c.lessors(), ask: ask}
	})
}

// lessors are the addresses of the other holders, those of the domain first.
func (c *core) lessors() []string {
	var near, far []string
	for _, h := range c.holders {
		switch {
		case h.ID == c.own.id:
		case h.Domain == c.cfg.domain:
			near = append(near, h.Address)
		default:
			far = append(far, h.Address)
		}
	}
	return append(near, far...)
}

// ask emits the action unless one of its kind is open or was asked for within
// the interval.
func (c *core) ask(now time.Time, kind string, interval time.Duration, build func() any) {
	if c.open[kind] || now.Before(c.due[kind]) {
		return
	}
	c.open[kind] = true
	c.due[kind] = now.Add(interval)
	c.out = append(c.out, build())
}

// soon makes an action due at once.
func (c *core) soon(kind string) { delete(c.due, kind) }

// renewal is the next write of the holder's row.
func (c *core) renewal() any {
	voters := c.own.attempted
	if voters == nil {
		voters = c.liveVoters()
		c.own.attempted = voters
	}
	c.own.counter++
	h := Holder{
		ID: c.own.id, VM: c.cfg.vm, Domain: c.cfg.domain, Address: c.cfg.address,
		Counter: c.own.counter, Length: c.cfg.length, Acked: c.own.acked, Voters: voters, Former: c.own.former,
	}
	request := fmt.Sprintf("%s#%d", c.own.id, c.own.counter)
	return renew{holder: h, version: c.own.version, reread: !c.own.sure, request: request}
}

// liveVoters are this process and the holders not known to have lapsed. With
// fewer than minVoters the list is empty (never nil): the holder then forgoes
// extensions by promises, and its lapse alone is enough for a patch.
func (c *core) liveVoters() []string {
	ids := []string{c.own.id}
	for _, h := range c.holders {
		if h.ID != c.own.id && !c.watch.lapsed(h) && !c.book.barred[h.ID] {
			ids = append(ids, h.ID)
		}
	}
	if len(ids) < minVoters {
		return []string{}
	}
	slices.Sort(ids)
	return ids
}

// promises asks all voters for a promise.
func (c *core) promises() any {
	ask := PromiseAsk{From: c.own.id, Address: c.cfg.address, Row: c.snap.row.Version, Length: c.cfg.length}
	var to []Holder
	for _, h := range c.holders {
		if h.ID != c.own.id && (slices.Contains(c.own.voters, h.ID) || slices.Contains(c.own.attempted, h.ID)) {
			to = append(to, h)
		}
	}
	return askPromises{to: to, ask: ask}
}

// acknowledge moves a joint patch on once no promise stands against it.
func (c *core) acknowledge(now time.Time) {
	if c.patch.State() != "joint" || c.cfg.observer || c.grant.State() == "leaving" {
		return
	}
	if c.book.clear(c.snap.row.Version, now) {
		c.firePatch(now, "guards_passed")
	}
}

// giveBack deletes the holder's row once all promises and leases have ended.
func (c *core) giveBack(now time.Time) {
	if c.open["renew"] || c.open["finish"] || !c.book.clear(^uint64(0), now) {
		return
	}
	c.ask(now, "give_back", retryInterval, func() any { return giveBack{id: c.own.id} })
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
			c.until = time.Time{}
		case "register_again":
			c.registerAgain()
		}
	}
}

// registerAgain gives up the holder's id for a new one. What was acknowledged
// and promised under the old one still holds.
func (c *core) registerAgain() {
	old := c.own
	c.own = ownRow{registration: old.registration + 1, sure: true, acked: old.acked}
	c.own.id = holderID(c.cfg.vm, c.cfg.incarnation, c.own.registration)
	c.own.former = append(slices.Clone(old.former), old.id)
	c.own.former = c.own.former[max(0, len(c.own.former)-maxFormer):]
	c.soon("renew")
}

// extend takes the event and moves the end of the proof, if the chart says so.
func (c *core) extend(event string, until time.Time, now time.Time) {
	if !now.Before(until) {
		return
	}
	actions, err := c.grant.Fire(event)
	if err == nil && slices.Contains(actions, "extend") && until.After(c.until) {
		c.until = until
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
			c.pendingSeen = now
		case "write_ack":
			c.own.acked = c.snap.record.Pending.Attempt
			c.soon("renew")
		case "list_holders":
			c.soon("list")
		case "read_config":
			c.soon("read")
		}
	}
}
