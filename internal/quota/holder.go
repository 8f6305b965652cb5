package quota

import (
	"time"

	"chicoryline/internal/statechart"
)

// demandWindow is the time constant of the demand's moving average.
const demandWindow = time.Second

// retryDivisor sets how long a holder waits before it asks for tokens again after the
// home had none, or while no home is known: the renewal interval divided by
// retryDivisor.
const retryDivisor = 8

// electionTimeoutPromises is how long a holder waits for a VM to become home, in
// promise lifetimes.
const electionTimeoutPromises = 3

var shareChart = statechart.MustLoad("share")

// holder is the protocol state of one resource at a VM that uses it.
type holder struct {
	timing    timing
	vm        string
	start     uint64
	resource  string
	startedAt time.Time
	machine   *statechart.Machine
	total     Total
	// voter is set if this VM is a registered holder, whose promises count.
	voter bool
	// skipLeaseCheck disables the lease check at admission. Only faulty variants in
	// tests and in the simulation set it.
	skipLeaseCheck bool

	candidates   []string  // candidates for home, best first
	target       string    // VM that the next renewal goes to
	waitingSince time.Time // start of the wait for the target to act as home
	search       search

	seq      uint64
	inFlight bool
	sentAt   time.Time

	epoch         uint64 // highest epoch known
	markHome      uint64 // home process that issued mark
	mark          int64  // newest mark received, see Renewal.Mark
	markUsed      bool   // a promise was sent with this mark
	offeredEpoch  uint64 // epoch in the newest answer
	promisedHome  uint64 // home process that got the last promise
	promisedUntil time.Time

	share           Share
	leaseUntil      time.Time
	bucket          bucket
	returnedTokens  float64
	openConnections int

	requested        float64 // units requested since demandMeasuredAt
	demand           float64
	missingTokens    float64   // shortage since the last renewal
	requestedTokens  bool      // the newest renewal asks for tokens
	noTokensUntil    time.Time // the home had no tokens: do not ask before this time
	demandMeasuredAt time.Time
}

func newHolder(t timing, vm string, start uint64, resource string, now time.Time) *holder {
	return &holder{
		timing: t, vm: vm, start: start, resource: resource, startedAt: now,
		machine: shareChart.Start(), waitingSince: now, demandMeasuredAt: now, voter: true,
	}
}

// setCandidates sets the candidates for home, best first.
func (h *holder) setCandidates(candidates []string) {
	h.candidates = candidates
	if h.target == "" && len(candidates) > 0 {
		h.target = candidates[0]
	}
}

// setTotal sets a new total, which applies at once whether it is lower or higher: a
// share is a fraction of the total that this VM knows.
func (h *holder) setTotal(now time.Time, total Total) {
	h.expireShare(now)
	h.total = total
	h.returnedTokens += h.bucket.resize(now, h.rate(), h.depth())
}

// hasLease reports whether the share's lease is valid at the given time.
func (h *holder) hasLease(now time.Time) bool { return now.Before(h.leaseUntil) }

// expireShare drops the share if its lease has expired.
func (h *holder) expireShare(now time.Time) {
	if h.share.Of != 0 && !h.hasLease(now) && !h.skipLeaseCheck {
		h.fire(now, "lapsed", Grant{})
	}
}

// admit takes n units and reports whether they were available. It checks the lease, so
// that a process that resumes after a pause admits nothing on an expired lease.
func (h *holder) admit(now time.Time, n float64) bool {
	h.expireShare(now)
	return h.bucket.take(now, n)
}

// recordDemand counts a request for n units towards the demand.
func (h *holder) recordDemand(n float64) { h.requested += n }

// recordShortage records that n units could not be taken and reports whether to send a
// renewal now to ask the home for tokens.
func (h *holder) recordShortage(now time.Time, n float64) bool {
	expectedDemand := h.demand * h.timing.interval.Seconds()
	h.missingTokens = max(h.missingTokens, n-h.bucket.tokens+expectedDemand)
	if h.inFlight || now.Before(h.noTokensUntil) || h.machine.Done() {
		return false
	}
	return h.machine.State() == "holding" || now.Sub(h.sentAt) >= h.timing.interval/retryDivisor
}

// availableAt returns when this VM will have accrued n units, and whether that is by the
// deadline.
func (h *holder) availableAt(now time.Time, n float64, deadline time.Time) (time.Time, bool) {
	h.expireShare(now)
	d, ok := h.bucket.wait(now, n)
	at := now.Add(d)
	return at, ok && !at.After(deadline)
}

// allowedConnections returns the number of connections that the share allows now.
func (h *holder) allowedConnections(now time.Time) int {
	h.expireShare(now)
	if h.share.Of <= int64(h.total.Count) {
		return int(h.share.Rate)
	}
	return int(h.share.Rate * int64(h.total.Count) / h.share.Of)
}

// newRenewal returns the next renewal for h.target and marks it as in flight.
func (h *holder) newRenewal(now time.Time) Renewal {
	h.expireShare(now)
	h.bucket.advance(now)
	h.measureDemand(now)
	h.seq++
	h.inFlight, h.sentAt = true, now
	r := Renewal{
		Resource: h.resource, VM: h.vm, Start: h.start, Seq: h.seq, Epoch: h.epoch,
		Home: h.markHome, Mark: h.mark, Promise: h.canPromise(now),
		Held: h.share, Using: int64(h.openConnections), Returned: h.returnedTokens, Demand: h.demand, Want: h.missingTokens,
		Leaving: h.machine.Done(),
	}
	if r.Promise {
		h.promisedHome, h.promisedUntil = h.markHome, now.Add(h.timing.promise)
		h.epoch = max(h.epoch, h.offeredEpoch)
		r.Epoch = h.epoch
		h.markUsed = true
	}
	h.requestedTokens = h.missingTokens > 0
	h.returnedTokens, h.missingTokens = 0, 0
	return r
}

// canPromise reports whether the next renewal may carry a promise. The process may have
// made a promise before it restarted, so it first waits one promise lifetime.
func (h *holder) canPromise(now time.Time) bool {
	if !h.voter || h.machine.Done() || h.mark == 0 || h.markUsed || now.Before(h.startedAt.Add(h.timing.promise)) {
		return false
	}
	if h.promisedHome == h.markHome {
		return h.offeredEpoch >= h.epoch
	}
	return !now.Before(h.promisedUntil) && h.offeredEpoch > h.epoch
}

func (h *holder) measureDemand(now time.Time) {
	if h.total.isCount() {
		return
	}
	elapsed := now.Sub(h.demandMeasuredAt).Seconds()
	if elapsed <= 0 {
		return
	}
	weight := min(1, elapsed/demandWindow.Seconds())
	h.demand += (h.requested/elapsed - h.demand) * weight
	h.requested, h.demandMeasuredAt = 0, now
}

// handleGrant processes the answer to a renewal. Answers to any but the newest renewal
// are late or out of order and are ignored.
func (h *holder) handleGrant(now time.Time, g Grant) {
	if g.Seq != h.seq || !h.inFlight || h.machine.Done() {
		return
	}
	h.inFlight = false
	h.expireShare(now)
	if g.Leaving || (g.Acting && g.Epoch < h.epoch) {
		if g.Leaving && h.promisedHome == g.Home {
			h.promisedUntil = now
		}
		h.fire(now, "unanswered", g)
		return
	}
	if g.Granted && now.Before(h.sentAt.Add(h.timing.lease)) {
		h.fire(now, "granted", g)
		return
	}
	h.fire(now, "promise_asked", g)
}

// handleFailure records that a renewal got no answer.
func (h *holder) handleFailure(now time.Time, seq uint64) {
	if seq != h.seq || !h.inFlight || h.machine.Done() {
		return
	}
	h.inFlight = false
	h.expireShare(now)
	h.fire(now, "unanswered", Grant{})
}

// leave drops the share; the next renewal reports this to the home.
func (h *holder) leave(now time.Time) {
	if !h.machine.Done() {
		h.fire(now, "leave", Grant{})
	}
}

func (h *holder) fire(now time.Time, event string, g Grant) {
	actions, err := h.machine.Fire(event)
	if err != nil {
		panic(err)
	}
	for _, action := range actions {
		h.perform(now, action, g)
	}
}

func (h *holder) perform(now time.Time, action string, g Grant) {
	switch action {
	case "promise":
		h.recordMark(now, g)
	case "take_share":
		h.takeShare(now, g)
	case "drop_share":
		h.dropShare(now)
	case "give_back":
		tokens := h.bucket.tokens
		h.dropShare(now)
		h.returnedTokens = tokens
	case "search_home":
		h.continueSearch(now, false)
	default:
		panic("quota: unknown action " + action)
	}
}

func (h *holder) dropShare(now time.Time) {
	h.share, h.returnedTokens = Share{}, 0
	h.bucket = bucket{at: now}
}

// recordMark stores the answer's mark for the next renewal. If the target does not act
// as home, the holder moves on to the home that the target names, continues a running
// search, or starts one if the target has not become home within
// electionTimeoutPromises.
func (h *holder) recordMark(now time.Time, g Grant) {
	h.markHome, h.mark, h.markUsed, h.offeredEpoch = g.Home, g.Mark, false, g.Epoch
	switch {
	case g.Acting:
		h.epoch = max(h.epoch, g.Epoch)
		h.waitingSince = now
		h.search = search{}
	case g.Hint != "" && g.Hint != h.target:
		h.search = search{}
		h.waitingSince = now
		h.setTarget(g.Hint)
	case h.search.running:
		h.continueSearch(now, true)
	case now.Sub(h.waitingSince) > electionTimeoutPromises*h.timing.promise:
		h.continueSearch(now, false)
	}
}

func (h *holder) takeShare(now time.Time, g Grant) {
	h.share = g.Share
	h.leaseUntil = h.sentAt.Add(h.timing.lease)
	h.returnedTokens += h.bucket.resize(now, h.rate(), h.depth())
	h.bucket.add(g.Tokens)
	if h.requestedTokens && g.Tokens <= 0 {
		h.noTokensUntil = now.Add(h.timing.interval / retryDivisor)
	}
}

func (h *holder) rate() float64 {
	return h.total.Rate * float64(h.share.Rate) / float64(ShareUnits)
}

func (h *holder) depth() float64 {
	return h.total.Burst * float64(h.share.Burst) / float64(ShareUnits)
}

func (h *holder) setTarget(vm string) {
	h.target = vm
	h.mark, h.markHome = 0, 0
}
