package quota

import "time"

// bucket is a token bucket. The zero value is empty and is never refilled.
type bucket struct {
	rate   float64 // units per second
	depth  float64 // units
	tokens float64 // units
	at     time.Time
}

// advance adds the tokens accrued until now.
func (b *bucket) advance(now time.Time) {
	if now.After(b.at) {
		b.tokens = min(b.depth, b.tokens+b.rate*now.Sub(b.at).Seconds())
		b.at = now
	}
}

// resize changes rate and depth and returns the tokens beyond the new depth.
func (b *bucket) resize(now time.Time, rate, depth float64) (excess float64) {
	b.advance(now)
	b.rate, b.depth = rate, depth
	excess = max(0, b.tokens-depth)
	b.tokens -= excess
	return excess
}

// add adds tokens, up to the depth.
func (b *bucket) add(tokens float64) { b.tokens = min(b.depth, b.tokens+tokens) }

// take removes n tokens and reports whether the bucket held that many.
func (b *bucket) take(now time.Time, n float64) bool {
	b.advance(now)
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}

// wait returns the time until the bucket holds n tokens; ok is false if it never will.
func (b *bucket) wait(now time.Time, n float64) (d time.Duration, ok bool) {
	b.advance(now)
	if b.tokens >= n {
		return 0, true
	}
	if b.rate <= 0 || b.depth < n {
		return 0, false
	}
	return time.Duration((n - b.tokens) / b.rate * float64(time.Second)), true
}
