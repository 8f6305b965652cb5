package bench

import (
	"io"

	"chicoryline/internal/fairqueue"
	"chicoryline/internal/quota"
)

// Policy prints the figures of the rate limit policy and of the fair queue at the sizes of
// both users, together with their baselines.
func Policy(out io.Writer, seed int64) {
	quota.Measure(out, seed)
	fairqueue.Measure(out, seed)
}
