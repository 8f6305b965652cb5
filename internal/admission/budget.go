package admission

import "chicoryline/internal/boottime"

const (
	// retriesPerSuccess is the number of own retries that a successful first attempt allows.
	// The load of a server that refuses grows by at most this fraction.
	retriesPerSuccess = 0.1
	// retriesPerSecond is allowed in addition, so that a VM with little load can retry.
	retriesPerSecond = 1.0
	// maxRetries is the number of unused retries that are kept; it bounds the burst of retries
	// at the start of an overload.
	maxRetries = 10
)

// RetryBudget bounds the retries that the system makes by itself at a server. Its zero value
// holds maxRetries.
//
// Load pattern: a server refuses because it is full, and each VM sends every refused statement
// again. The load of the server is multiplied, and it refuses more.
type RetryBudget struct {
	used     float64
	at       boottime.Time
	withheld int64
}

// NoteSuccess records a successful first attempt.
func (b *RetryBudget) NoteSuccess() { b.used = max(0, b.used-retriesPerSuccess) }

// Take reports whether a retry may be made, and counts it.
func (b *RetryBudget) Take(now boottime.Time) bool {
	b.used = max(0, b.used-retriesPerSecond*now.Sub(b.at).Seconds())
	b.at = now
	if b.used+1 > maxRetries {
		b.withheld++
		return false
	}
	b.used++
	return true
}

// Withheld returns the number of retries that were not made.
func (b *RetryBudget) Withheld() int64 { return b.withheld }
