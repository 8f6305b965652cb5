package steward_test

import (
	"context"
	"sync"
	"testing"
	"time"
)

// Guards against losing a commit when a network partition ends just after the steward probed
// the primary: it is healthy and reachable, but is not asked to step down. Between the
// promotion order and its effect it acknowledges a commit with a server that has no discovery
// entry yet.
func TestPrimaryReachableAgainIsNotReplacedUnsafely(t *testing.T) {
	s := newTestbed(t, "1.250") // the primary does not answer: the network partition
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ordered := make(chan string, 10)
	h := &hooks{}
	var ended, once sync.Once
	h.status = func(string) error {
		// The first status of a replica is requested after the lease was acquired and the
		// primary was probed.
		ended.Do(func() { time.Sleep(200 * time.Millisecond); s.oldPrimary.SetUnresponsive(false) })
		return nil
	}
	h.promote = func(target string) {
		once.Do(func() {
			for id, server := range s.servers {
				if id != s.oldPrimary.ID {
					server.SetReceiveBlocked(true)
				}
			}
			if _, err := s.group.Add("north"); err != nil {
				t.Error(err)
			}
			if !s.commit() {
				t.Error("the primary did not acknowledge the commit")
			}
		})
		ordered <- target
	}
	st := s.newSteward("vm1", h)
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
		return // nothing was ordered, because the primary is healthy
	}
	for _, p := range s.group.Violations() {
		t.Error(p)
	}
}
