package steward_test

import (
	"context"
	"sync"
	"testing"
	"time"
)

// A VM that was cut off probes the primary just before the cut ends, and goes on after it:
// the primary is well and in reach, is not asked to step down, and acknowledges a commit
// between the order and its effect with a server that has no entry yet.
func TestPrimaryReachableAgainIsNotReplacedUnsafely(t *testing.T) {
	s := newTestbed(t, "1.250") // the primary is silent: the cut
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ordered := make(chan string, 10)
	h := &hooks{}
	var ended, once sync.Once
	h.status = func(string) error {
		// The first status of a replica comes after the row was taken; the probe is over.
		ended.Do(func() { time.Sleep(200 * time.Millisecond); s.oldPrimary.Silence(false) })
		return nil
	}
	h.promote = func(target string) {
		once.Do(func() {
			for id, server := range s.servers {
				if id != s.oldPrimary.ID {
					server.Deafen(true)
				}
			}
			if _, err := s.group.Add("north"); err != nil {
				t.Error(err)
			}
			if !s.commit() {
				t.Error("the primary acknowledges nothing")
			}
		})
		ordered <- target
	}
	st := s.steward("vm1", h)
	go func() {
		for len(ordered) == 0 && ctx.Err() == nil {
			st.Start(ctx, s.task(""))
			time.Sleep(100 * time.Millisecond)
		}
	}()
	select {
	case target := <-ordered:
		s.awaitPromotion(target)
	case <-time.After(5 * time.Second):
		return // nothing was ordered, as the primary is well
	}
	for _, p := range s.group.Problems() {
		t.Error(p)
	}
}
