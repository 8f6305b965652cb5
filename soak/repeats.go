package main

import (
	"math/rand/v2"
	"sync"
	"time"

	"chicoryline/internal/standin/linegroup"
)

const (
	// repeatStream selects the random numbers of repeated answers.
	repeatStream = 3
	// repeatPercent of the answers are written twice, the second time up to maxRepeatDelay later.
	repeatPercent  = 3
	maxRepeatDelay = 20 * time.Millisecond
)

// repeatAnswers makes the server repeat some of its answers if the options ask for it. It draws
// from a source of its own, so that the other faults of a seed stay the same.
func (r *run) repeatAnswers(s *linegroup.Server) {
	if !r.options.Repeats {
		return
	}
	var mu sync.Mutex
	source := rand.New(rand.NewPCG(r.seed, repeatStream))
	draw := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return source.IntN(n)
	}
	s.RepeatAnswers(func(_, _ string) bool { return draw(100) < repeatPercent },
		func() time.Duration { return time.Duration(draw(int(maxRepeatDelay))) })
}
