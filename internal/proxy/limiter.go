package proxy

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"chicoryline/internal/errkind"
)

// localLimiter counts a customer's statements at this VM alone. The mutex
// guards the map.
type localLimiter struct {
	mu      sync.Mutex
	buckets map[string]*rate.Limiter
}

func newLocalLimiter() *localLimiter { return &localLimiter{buckets: map[string]*rate.Limiter{}} }

// SetTotal sets the limit of a resource.
func (l *localLimiter) SetTotal(resource string, perSecond, burst float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.buckets[resource]; b != nil {
		b.SetLimit(rate.Limit(perSecond))
		b.SetBurst(int(burst))
		return
	}
	l.buckets[resource] = rate.NewLimiter(rate.Limit(perSecond), int(burst))
}

// AdmitWait implements caller.Limiter.
func (l *localLimiter) AdmitWait(_ context.Context, resource string, n float64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[resource]
	if b == nil || !b.AllowN(time.Now(), int(n)) {
		return errkind.New(errkind.OverRate, "%s", resource)
	}
	return nil
}
