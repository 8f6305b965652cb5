package configsync

import (
	"fmt"
	"slices"
	"time"
)

// handle processes the result of an action or another message.
func (c *core) handle(now time.Time, message any) {
	switch m := message.(type) {
	case renewed:
		c.onRenewed(now, m)
	case configRead:
		c.onConfig(now, m)
	case holdersListed:
		c.onHolders(now, m)
	case promisesDone:
		c.onPromises(now, m)
	case leaseDone:
		c.onLease(now, m)
	case finishDone:
		delete(c.inFlight, "finish")
		c.firePatch(now, "decided")
	case proposed:
		delete(c.inFlight, "propose")
	case gaveBack:
		delete(c.inFlight, "give_back")
		if m.ok {
			c.fireGrant("given_back")
		}
	case leaveRequested:
		c.fireGrant("leave")
	}
}

// onRenewed processes the result of a renewal. The grant starts at the time before
// the write was sent, and only if the configuration was read after the write. Any
// patch that became pending before the write is then known to this process.
func (c *core) onRenewed(now time.Time, m renewed) {
	delete(c.inFlight, "renew")
	if m.id != c.own.id {
		return
	}
	switch {
	case m.removed:
		c.fireGrant("removed")
		return
	case !m.wrote:
		c.own.versionKnown = c.own.versionKnown && !m.outcomeUnknown
		c.notBefore["renew"] = now.Add(retryInterval)
		return
	}
	c.own.version, c.own.versionKnown, c.own.registered = m.version, true, true
	switch {
	case !m.read:
		c.notBefore["renew"] = now.Add(retryInterval)
	case c.adopt(now, m.snap):
		c.own.voters, c.own.attemptedVoters = m.voters, nil
		c.extend("renewed", m.sent.Add(c.cfg.grantLength), now)
	}
	if p := c.snap.record.Pending; p != nil && m.acked == p.Attempt {
		c.firePatch(now, "ack_written")
	} else if c.patch.State() == "acknowledging" {
		c.makeDue("renew")
	}
}

// adopt replaces the known configuration if s is newer; an older one is ignored.
// It returns false if s bars this holder.
func (c *core) adopt(now time.Time, s snapshot) bool {
	if s.row.Version <= c.snap.row.Version {
		return true
	}
	c.snap = s
	c.promiseTable.bar(s.record.Barred)
	if s.record.Pending != nil {
		c.firePatch(now, "pending_seen")
	} else {
		c.firePatch(now, "outcome_seen")
	}
	c.makeDue("promise")
	c.makeDue("lease")
	c.queued = append(c.queued, notify{addresses: c.notifyTargets(), row: s.row})
	if slices.Contains(s.record.Barred, c.own.id) {
		c.fireGrant("removed")
		return false
	}
	return true
}

// notifyTargets returns the addresses that are notified of a change: the other
// holders and the VMs with a promise or lease from this process.
func (c *core) notifyTargets() []string {
	var list []string
	add := func(address string) {
		if address != c.cfg.address && !slices.Contains(list, address) {
			list = append(list, address)
		}
	}
	for _, h := range c.holders {
		add(h.Address)
	}
	for _, p := range c.promiseTable.active {
		add(p.address)
	}
	slices.Sort(list)
	return list
}

// onConfig processes a configuration that was read or received.
func (c *core) onConfig(now time.Time, m configRead) {
	if m.endsRead {
		delete(c.inFlight, "read")
	}
	if m.ok {
		c.adopt(now, m.snap)
	}
}

// onHolders processes a list of the holder rows. If the list was read after this
// process knew the pending patch, it also decides the patch.
func (c *core) onHolders(now time.Time, m holdersListed) {
	delete(c.inFlight, "list")
	if !m.ok {
		return
	}
	holders, err := decodeHolders(m.rows)
	if err != nil {
		return
	}
	c.holders = holders
	c.rows = m.rows
	c.expiry.observe(m.rows, m.began, m.ended)
	if c.own.registered && c.own.attemptedVoters == nil && len(c.own.voters) != len(c.liveVoters()) {
		c.makeDue("renew")
	}
	if c.patch.State() == "acknowledged" && m.recordVersion == c.snap.row.Version {
		c.decidePending(now)
	}
	c.cleanUp(now)
}

// cleanUp starts an attempt without a patch when a holder has been dead for the
// cleanup delay. The first attempt bars the holder and a second one removes its
// row. Otherwise all voters of a dead holder could be replaced before the next
// patch, which could then only take effect after an operator releases the holder.
func (c *core) cleanUp(now time.Time) {
	if c.snap.record.Pending != nil || !c.isValid(now) || !c.isFirstLiveHolder() {
		return
	}
	isDead := func(h Holder) bool { return c.expiry.unchangedFor(h) >= c.cfg.cleanupDelay }
	if slices.ContainsFunc(c.holders, isDead) {
		c.queueAction(now, "propose", c.cfg.cleanupDelay, c.buildCleanup)
	}
}

// buildCleanup returns an attempt that keeps the document in force.
func (c *core) buildCleanup() any {
	r := c.snap.record
	next := r.withPending("", r.Object, r.Version)
	return propose{version: c.snap.row.Version, value: encode(next), request: fmt.Sprintf("%s+%d", c.own.id, next.Attempt)}
}

// isFirstLiveHolder reports whether this process is the first holder, in order of
// ids, that has not expired.
func (c *core) isFirstLiveHolder() bool {
	for _, h := range c.holders {
		if !c.expiry.isExpired(h) {
			return h.ID == c.own.id
		}
	}
	return false
}

// decidePending ends the pending patch if the holder rows allow it or if it has
// timed out.
func (c *core) decidePending(now time.Time) {
	e := conclude(c.snap.record, c.holders, c.expiry.isExpired, now.Sub(c.pendingSince) >= c.cfg.pendingTimeout())
	if !e.isFinal {
		return
	}
	event := "blocked"
	if e.agreed {
		event = "all_agree"
	}
	c.firePatch(now, event)
	c.inFlight["finish"] = true
	request := fmt.Sprintf("%s!%d", c.own.id, c.snap.record.Attempt)
	c.queued = append(c.queued, finish{
		version: c.snap.row.Version, value: encode(e.next), request: request, removable: selectRows(e.removable, c.rows),
	})
}

// onPromises extends the grant if a majority of the voters, including this process,
// has given a promise. A new list of voters replaces the old one only once the
// configuration was read after the list was written, because a patch may have taken
// effect with the acknowledgements of the old voters. Until then a majority of both
// lists is needed.
func (c *core) onPromises(now time.Time, m promisesDone) {
	delete(c.inFlight, "promise")
	if m.id != c.own.id || !c.own.registered {
		return
	}
	granted := map[string]bool{c.own.id: true}
	for _, id := range m.granted {
		granted[id] = true
	}
	if hasMajority(c.own.voters, granted) && (c.own.attemptedVoters == nil || hasMajority(c.own.attemptedVoters, granted)) {
		c.extend("promised", m.sent.Add(c.cfg.grantLength), now)
	}
}

// onLease processes the result of a lease request.
func (c *core) onLease(now time.Time, m leaseDone) {
	delete(c.inFlight, "lease")
	if m.ok {
		c.extend("leased", m.sent.Add(m.length), now)
	}
}

// handlePromise answers a promise request of another holder.
func (c *core) handlePromise(now time.Time, request PromiseRequest) PromiseReply {
	reply := PromiseReply{Row: c.snap.row}
	if request.To != c.own.id || !c.own.registered || request.Length <= 0 {
		return reply
	}
	until := now.Add(request.Length + expiryMargin(request.Length))
	reply.Granted = c.promiseTable.grant(request.From, request.Address, request.Row, c.snap.row.Version, until)
	return reply
}

// handleLease answers a lease request of a VM without a grant. A lease never
// outlasts the holder's own grant.
func (c *core) handleLease(now time.Time, request LeaseRequest) PromiseReply {
	reply := PromiseReply{Row: c.snap.row, Holders: c.lessors()}
	state := c.grant.State()
	if (state != "held" && state != "extended") || !c.isValid(now) {
		return reply
	}
	length := min(leaseLength, c.validUntil.Sub(now))
	until := now.Add(length + expiryMargin(length))
	reply.Granted = c.promiseTable.grant(request.From, request.Address, request.Row, c.snap.row.Version, until)
	reply.Length = length
	return reply
}
