package load

import (
	"slices"
	"sort"
	"time"
)

const (
	// rateWindowStep is the least distance between the starts of the windows in which
	// admissions are counted.
	rateWindowStep = 100 * time.Millisecond
	// roundingTolerance is the excess, in statements, that rounding may cause in a window.
	roundingTolerance = 1e-6
)

// checkRates counts admissions above the rate and refusals within it. For a customer that
// offers more than its rate such refusals are counted separately: they show how much of its
// rate and burst it could not use.
func (f *Figures) checkRates(cfg Config, records []Record) {
	for _, c := range cfg.Customers {
		var admitted, refused []Record
		for _, r := range records {
			switch {
			case r.Customer != c.Name:
			case r.Outcome.OverRate():
				refused = append(refused, r)
			case r.Statements > 0:
				admitted = append(admitted, r)
			}
		}
		over := overRate(c, append(slices.Clone(admitted), refused...))
		if over > 0 {
			f.addNote("over rate: %s had %d more statements admitted in one window than rate and burst allow", c.Name, over)
		}
		f.OverRate += over
		wrongful, inside := wrongfulRefusals(c, admitted, refused)
		if c.ExceedsRate() {
			f.OverloadUnused += wrongful
			continue
		}
		f.WrongfulRefusals += wrongful
		f.InsideRate += inside
	}
}

// overRate returns the largest excess of the admitted statements over rate*t+burst in any
// window. A request counts in a window only if it was both sent and answered within it,
// because it was admitted at some time between the two.
func overRate(c Customer, admitted []Record) int {
	if len(admitted) == 0 {
		return 0
	}
	sort.Slice(admitted, func(i, j int) bool { return admitted[i].Sent.Before(admitted[j].Sent) })
	start := admitted[0].Sent
	worst := 0.0
	for i := range admitted {
		if i > 0 && admitted[i].Sent.Sub(start) < rateWindowStep {
			continue
		}
		start = admitted[i].Sent
		worst = max(worst, excessFrom(c, admitted[i:]))
	}
	if worst <= roundingTolerance {
		return 0
	}
	return int(worst) + 1
}

// excessFrom returns the largest excess over all windows that start when the first request
// was sent. The requests are sorted by sending time.
func excessFrom(c Customer, admitted []Record) float64 {
	start := admitted[0].Sent
	byEnd := append([]Record(nil), admitted...)
	sort.Slice(byEnd, func(i, j int) bool { return byEnd[i].Done.Before(byEnd[j].Done) })
	worst, count := 0.0, 0.0
	for _, r := range byEnd {
		count += float64(r.Statements)
		allowed := c.Rate*r.Done.Sub(start).Seconds() + c.Burst
		worst = max(worst, count-allowed)
	}
	return worst
}

// tokenBucket is an ideal token bucket.
type tokenBucket struct {
	rate, burst, tokens float64
	at                  time.Time
}

func (b *tokenBucket) advance(to time.Time) {
	if to.After(b.at) {
		b.tokens = min(b.burst, b.tokens+b.rate*to.Sub(b.at).Seconds())
		b.at = to
	}
}

// wrongfulRefusals replays the requests against one ideal token bucket. Admitted statements
// take tokens. A refusal is wrongful if the bucket would have admitted the request; it then
// takes tokens too. inside counts the admitted requests and the wrongful refusals.
func wrongfulRefusals(c Customer, admitted, refused []Record) (wrongful, inside int) {
	all := append(append([]Record(nil), admitted...), refused...)
	if len(all) == 0 {
		return 0, 0
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Sent.Before(all[j].Sent) })
	b := tokenBucket{rate: c.Rate, burst: c.Burst, tokens: c.Burst, at: all[0].Sent}
	for _, r := range all {
		b.advance(r.Sent)
		b.tokens -= float64(r.Statements)
		if !r.Outcome.OverRate() {
			inside++
			continue
		}
		if missing := float64(r.Cost - r.Statements); b.tokens >= missing {
			b.tokens -= missing
			wrongful++
			inside++
		}
	}
	return wrongful, inside
}
