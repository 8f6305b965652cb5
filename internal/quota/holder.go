package quota

import (
	"time"

	"chicoryline/internal/statechart"
)

// demandWindow is the time constant of the demand's moving average.
const demandWindow = time.Second

// retryDivisor is the part of the interval for which a holder does not ask again
// after the home had no tokens, or while no home is known.
const retryDivisor = 8

// electionTimeoutPromises is how many promise lifetimes a holder waits for a VM to become home.
const electionTimeoutPromises = 3

var shareChart = statechart.MustLoad("share")

// holder is the decision on one resource at a VM that uses it.
type holder struct {
	timing    timing
	vm        string
	start     uint64
	resource  string
	startedAt time.Time
	machine   *statechart.Machine
	total     Total
	// voter says whether this VM is registered, so that its promises count.
	voter bool
	// skipLeaseCheck makes the holder skip the lease check at admission. Only the
	// naive variant of the proofs sets it.
	skipLeaseCheck bool

	candidates   []string // candidates for home, best first
	target       string   // VM that the next renewal goes to
	waitingSince time.Time
	search       search

	seq      uint64
	inFlight bool
	sentAt   time.Time

	epoch         uint64 // highest known
	markHome      uint64 // process of the target that issued mark
	mark          int64
	markUsed      bool
	offeredEpoch  uint64 // epoch of the newest answer
	promisedHome  uint64 // home process that holds the promise
	promisedUntil time.Time

	share           Share
	leaseUntil      time.Time
	bucket          bucket
	returnedTokens  float64
	openConnections int

	requested        float64 // units asked for since demandAt
	demand           float64
	missingTokens    float64   // tokens missing since the last renewal
	requestedTokens  bool      // the renewal in flight asks for tokens
	noTokensUntil    time.Time // the home had no tokens: ask again after this
	demandMeasuredAt time.Time
}

func newHolder(t timing, vm string, start uint64, resource string, now time.Time) *holder {
	return &holder{
		timing: t, vm: vm, start: start, resource: resource, startedAt: now,
		machine: shareChart.Start(), waitingSince: now, demandMeasuredAt: now, voter: true,
	}
}

// setCandidates gives the candidates for home, best first.
func (h *holder) setCandidates(candidates []string) {
	h.candidates = candidates
	if h.target == "" && len(candidates) > 0 {
		h.target = candidates[0]
	}
}

// setTotal takes a new total. A lower one applies at once, a higher one too:
// parts are out of the total as each VM knows it.
func (h *holder) setTotal(now time.Time, total Total) {
	h.expireShare(now)
	h.total = total
	h.returnedTokens += h.bucket.resize(now, h.rate(), h.depth())
}

// hasLease reports whether the share's lease runs at the time now.
func (h *holder) hasLease(now time.Time) bool { return now.Before(h.leaseUntil) }

// expireShare drops a share whose lease has ended.
func (h *holder) expireShare(now time.Time) {
	if h.share.Of != 0 && !h.hasLease(now) && !h.skipLeaseCheck {
		h.fire(now, "lapsed", Grant{})
	}
}

// admit takes n units at the time now. The lease is checked here, so a process
// that wakes up after a pause admits nothing on an old lease.
func (h *holder) admit(now time.Time, n float64) bool {
	h.expireShare(now)
	return h.bucket.take(now, n)
}

// recordDemand counts the demand for n units.
func (h *holder) recordDemand(n float64) { h.requested += n }

// recordShortage notes that n units could not be taken and reports whether a renewal
// should be sent now to ask the home for tokens.
func (h *holder) recordShortage(now time.Time, n float64) bool {
	ahead := h.demand * h.timing.interval.Seconds()
	h.missingTokens = max(h.missingTokens, n-h.bucket.tokens+ahead)
	if h.inFlight || now.Before(h.noTokensUntil) || h.machine.Done() {
		return false
	}
	return h.machine.State() == "holding" || now.Sub(h.sentAt) >= h.timing.interval/retryDivisor
}

// availableAt reports when n units will have accrued here, if that is by the deadline.
func (h *holder) availableAt(now time.Time, n float64, deadline time.Time) (time.Time, bool) {
	h.expireShare(now)
	d, ok := h.bucket.wait(now, n)
	at := now.Add(d)
	return at, ok && !at.After(deadline)
}

// allowedConnections is the number of connections in force at the time now.
func (h *holder) allowedConnections(now time.Time) int {
	h.expireShare(now)
	if h.share.Of <= int64(h.total.Count) {
		return int(h.share.Rate)
	}
	return int(h.share.Rate * int64(h.total.Count) / h.share.Of)
}

// newRenewal starts a renewal to h.target.
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

// canPromise reports whether the next renewal may carry a promise. A process
// that has just started may have promised before, so it waits one lifetime.
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

// handleGrant takes the answer to a renewal. Late and crossed answers, which are
// not for the newest renewal, have no effect.
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

// handleFailure ends a renewal without an answer.
func (h *holder) handleFailure(now time.Time, seq uint64) {
	if seq != h.seq || !h.inFlight || h.machine.Done() {
		return
	}
	h.inFlight = false
	h.expireShare(now)
	h.fire(now, "unanswered", Grant{})
}

// leave gives the share up; the next renewal tells the home.
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

// recordMark keeps the answer's mark for the next renewal. A VM that does not
// act is left if it knows the home, in a search, or if it has not become home
// for long.
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
