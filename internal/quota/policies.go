package quota

import "time"

// floorFraction is the fraction of the total that the policy "floor" splits evenly
// and permanently.
const floorFraction = 0.1

// measuredPolicy is one admission policy that Measure compares.
type measuredPolicy struct {
	name    string
	prepare func(*world)
	request func(r *customerRun, at *simNode, done func(bool))
}

var measuredPolicies = []measuredPolicy{
	{"leased", func(*world) {}, admitFromShare},
	{"first", func(w *world) {
		w.variant = func(_ *holder, m *home) { m.policy = earlierPolicy }
	}, admitFromShare},
	{"floor", func(w *world) { w.staticFraction = floorFraction }, admitFromShare},
	{"equal", func(w *world) { w.equalSplit = true }, admitFromShare},
	{"central", func(w *world) { w.equalSplit = true }, admitFromCentral},
}

func admitFromShare(r *customerRun, at *simNode, done func(bool)) {
	at.request(1, func(ok bool) {
		if ok {
			r.auditor.admitted(1)
		}
		done(ok)
	})
}

// centralCounter is the policy "central": a single token bucket on one VM, called for
// every request. If that VM fails, the next VM starts with an empty bucket after
// maxListLag.
type centralCounter struct {
	bucket           bucket
	vm               int
	unreachableSince time.Time
}

func admitFromCentral(r *customerRun, at *simNode, done func(bool)) {
	w, c := r.world, &r.central
	w.calls++
	if w.nodes[c.vm].dead || w.blockedLinks[[2]int{at.index, c.vm}] {
		if c.unreachableSince.IsZero() {
			c.unreachableSince = w.now
		}
		if !w.nodes[c.vm].dead || w.now.Sub(c.unreachableSince) < maxListLag {
			done(false)
			return
		}
		c.vm, c.unreachableSince = (c.vm+1)%len(w.nodes), time.Time{}
		c.bucket.tokens, c.bucket.at = 0, w.now
	}
	to := w.nodes[c.vm]
	to.after(w.messageDelay(at.index, to.index), func() {
		ok := c.bucket.take(w.now, 1)
		if ok {
			r.auditor.admitted(1)
		}
		at.after(w.messageDelay(to.index, at.index), func() { done(ok) })
	})
}
