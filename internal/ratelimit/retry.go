package ratelimit

import "time"

// retryAfter returns when a rejected operation may be sent again: when the missing tokens have
// been added, after the operations that were rejected before it.
func (l *Limiter) retryAfter(b *bucket, missing, perSecond float64) time.Duration {
	now := l.now()
	at := b.returns.Next(now, now.Add(seconds(missing/perSecond)), seconds(1/perSecond))
	return at.Sub(now)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
