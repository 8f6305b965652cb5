package quota

import (
	"time"

	"chicoryline/internal/statechart"
)

// demandWindow is the time constant of the demand's moving average.
const demandWindow = time.Second

// dryPart is the part of the interval for which a holder does not ask again
// after the home had no tokens, or while no home is known.
const dryPart = 8

// patience is how many promise lifetimes a holder waits for a VM to become home.
const patience = 3

var shareChart = statechart.MustLoad("share")

// holder is the decision on one resource at a VM that uses it.
type holder struct {
	timing   timing
	vm       string
	start    uint64
	resource string
	born     time.Time
	machine  *statechart.Machine
	total    Total
	// voter says whether this VM is registered, so that its promises count.
	voter bool
	// trustPause makes the holder skip the lease check at admission. Only the
	// naive variant of the proofs sets it.
	trustPause bool

	order  []string // candidates for home, best first
	target string   // VM that the next renewal goes to
	stuck  time.Time
	search search

	seq      uint64
	inFlight bool
	sentAt   time.Time

	epoch         uint64 // highest known
	home          uint64 // process of the target that issued mark
	mark          int64
	markUsed      bool
	offered       uint64 // epoch of the newest answer
	promised      uint64 // home process that holds the promise
	promisedUntil time.Time

	share      Share
	leaseUntil time.Time
	bucket     bucket
	returning  float64
	using      int

	asked   float64 // units asked for since demandAt
	demand  float64
	want    float64   // tokens missing since the last renewal
	wanted  bool      // the renewal in flight asks for tokens
	dryTill time.Time // the home had no tokens: ask again after this
	countAt time.Time
}

func newHolder(t timing, vm string, start uint64, resource string, now time.Time) *holder {
	return &holder{
		timing: t, vm: vm, start: start, resource: resource, born: now,
		machine: shareChart.Start(), stuck: now, countAt: now, voter: true,
	}
}

// setOrder gives the candidates for home, best first.
func (h *holder) setOrder(order []string) {
	h.order = order
	if h.target == "" && len(order) > 0 {
		h.target = order[0]
	}
}

// setTotal takes a new total. A lower one applies at once, a higher one too:
// parts are out of the total as each VM knows it.
func (h *holder) setTotal(now time.Time, total Total) {
	h.expire(now)
	h.total = total
	h.returning += h.bucket.resize(now, h.rate(), h.depth())
}

// live reports whether the share's lease runs at the time now.
func (h *holder) live(now time.Time) bool { return now.Before(h.leaseUntil) }

// expire drops a share whose lease has ended.
func (h *holder) expire(now time.Time) {
	if h.share.Of != 0 && !h.live(now) && !h.trustPause {
		h.fire(now, "lapsed", Grant{})
	}
}

// admit takes n units at the time now. The lease is checked here, so a process
// that wakes up after a pause admits nothing on an old lease.
func (h *holder) admit(now time.Time, n float64) bool {
	h.expire(now)
	return h.bucket.take(now, n)
}

// ask counts the demand for n units.
func (h *holder) ask(n float64) { h.asked += n }

// miss notes that n units could not be taken and reports whether a renewal
// should be sent now to ask the home for tokens.
func (h *holder) miss(now time.Time, n float64) bool {
	ahead := h.demand * h.timing.interval.Seconds()
	h.want = max(h.want, n-h.bucket.tokens+ahead)
	if h.inFlight || now.Before(h.dryTill) || h.machine.Done() {
		return false
	}
	return h.machine.State() == "holding" || now.Sub(h.sentAt) >= h.timing.interval/dryPart
}

// soon reports when n units will have accrued here, if that is by the deadline.
func (h *holder) soon(now time.Time, n float64, deadline time.Time) (time.Time, bool) {
	h.expire(now)
	d, ok := h.bucket.wait(now, n)
	at := now.Add(d)
	return at, ok && !at.After(deadline)
}

// count is the number of connections in force at the time now.
func (h *holder) count(now time.Time) int {
	h.expire(now)
	if h.share.Of <= int64(h.total.Count) {
		return int(h.share.Rate)
	}
	return int(h.share.Rate * int64(h.total.Count) / h.share.Of)
}

// request starts a renewal to h.target.
func (h *holder) request(now time.Time) Renewal {
	h.expire(now)
	h.bucket.advance(now)
	h.measureDemand(now)
	h.seq++
	h.inFlight, h.sentAt = true, now
	r := Renewal{
		Resource: h.resource, VM: h.vm, Start: h.start, Seq: h.seq, Epoch: h.epoch,
		Home: h.home, Mark: h.mark, Promise: h.mayPromise(now),
		Held: h.share, Using: int64(h.using), Returned: h.returning, Demand: h.demand, Want: h.want,
		Leaving: h.machine.Done(),
	}
	if r.Promise {
		h.promised, h.promisedUntil = h.home, now.Add(h.timing.promise)
		h.epoch = max(h.epoch, h.offered)
		r.Epoch = h.epoch
		h.markUsed = true
	}
	h.wanted = h.want > 0
	h.returning, h.want = 0, 0
	return r
}

// mayPromise reports whether the next renewal may carry a promise. A process
// that has just started may have promised before, so it waits one lifetime.
func (h *holder) mayPromise(now time.Time) bool {
	if !h.voter || h.machine.Done() || h.mark == 0 || h.markUsed || now.Before(h.born.Add(h.timing.promise)) {
		return false
	}
	if h.promised == h.home {
		return h.offered >= h.epoch
	}
	return !now.Before(h.promisedUntil) && h.offered > h.epoch
}

func (h *holder) measureDemand(now time.Time) {
	if h.total.counted() {
		return
	}
	elapsed := now.Sub(h.countAt).Seconds()
	if elapsed <= 0 {
		return
	}
	weight := min(1, elapsed/demandWindow.Seconds())
	h.demand += (h.asked/elapsed - h.demand) * weight
	h.asked, h.countAt = 0, now
}

// answered takes the answer to a renewal. Late and crossed answers, which are
// not for the newest renewal, have no effect.
func (h *holder) answered(now time.Time, g Grant) {
	if g.Seq != h.seq || !h.inFlight || h.machine.Done() {
		return
	}
	h.inFlight = false
	h.expire(now)
	if g.Leaving || (g.Acting && g.Epoch < h.epoch) {
		if g.Leaving && h.promised == g.Home {
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

// failed ends a renewal without an answer.
func (h *holder) failed(now time.Time, seq uint64) {
	if seq != h.seq || !h.inFlight || h.machine.Done() {
		return
	}
	h.inFlight = false
	h.expire(now)
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
		h.act(now, action, g)
	}
}

func (h *holder) act(now time.Time, action string, g Grant) {
	switch action {
	case "promise":
		h.noteMark(now, g)
	case "take_share":
		h.take(now, g)
	case "drop_share":
		h.drop(now)
	case "give_back":
		tokens := h.bucket.tokens
		h.drop(now)
		h.returning = tokens
	case "search_home":
		h.searchOn(now, false)
	default:
		panic("quota: unknown action " + action)
	}
}

func (h *holder) drop(now time.Time) {
	h.share, h.returning = Share{}, 0
	h.bucket = bucket{at: now}
}

// noteMark keeps the answer's mark for the next renewal. A VM that does not
// act is left if it knows the home, in a search, or if it has not become home
// for long.
func (h *holder) noteMark(now time.Time, g Grant) {
	h.home, h.mark, h.markUsed, h.offered = g.Home, g.Mark, false, g.Epoch
	switch {
	case g.Acting:
		h.epoch = max(h.epoch, g.Epoch)
		h.stuck = now
		h.search = search{}
	case g.Hint != "" && g.Hint != h.target:
		h.search = search{}
		h.stuck = now
		h.turnTo(g.Hint)
	case h.search.running:
		h.searchOn(now, true)
	case now.Sub(h.stuck) > patience*h.timing.promise:
		h.searchOn(now, false)
	}
}

func (h *holder) take(now time.Time, g Grant) {
	h.share = g.Share
	h.leaseUntil = h.sentAt.Add(h.timing.lease)
	h.returning += h.bucket.resize(now, h.rate(), h.depth())
	h.bucket.add(g.Tokens)
	if h.wanted && g.Tokens <= 0 {
		h.dryTill = now.Add(h.timing.interval / dryPart)
	}
}

func (h *holder) rate() float64 {
	return h.total.Rate * float64(h.share.Rate) / float64(Whole)
}

func (h *holder) depth() float64 {
	return h.total.Burst * float64(h.share.Burst) / float64(Whole)
}

func (h *holder) turnTo(vm string) {
	h.target = vm
	h.mark, h.home = 0, 0
}
