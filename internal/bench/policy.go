package bench

import (
	"io"

	"chicoryline/internal/fairqueue"
	"chicoryline/internal/quota"
)

// Policy prints the figures of the rate policy and of the fair queue at both
// users' sizes, each beside its baselines.
func Policy(out io.Writer, seed int64) {
	quota.Measure(out, seed)
	fairqueue.Measure(out, seed)
}
