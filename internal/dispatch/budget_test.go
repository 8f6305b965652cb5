package dispatch

import (
	"context"
	"testing"
	"time"

	"chicoryline/internal/connset"
)

// Load pattern: more VMs than connections to a server. VMs that kept a connection after a
// transaction left none for the others (akwaaba-letters-grown quiet-1: 5,226 connections over
// the limit, 1,396 statements refused because of it in 14 s).
func TestScarceConnectionsAreClosedEarly(t *testing.T) {
	const usual = time.Minute
	for _, c := range []struct {
		share float64
		open  int
	}{{0.7, 0}, {1.2, 1}} {
		g := newGroup()
		g.cfg.Dialer = statuses{"a": {}}
		g.update(entryOf("a", true, 1))
		s := g.Leader()
		s.SetConnectionShare(c.share)
		conn, err := s.Conns.Acquire(context.Background(), connset.Request{Customer: "c", MaxWait: time.Second})
		if err != nil {
			t.Fatal(err)
		}
		conn.Release()
		s.Conns.CloseIdle(s.idleTimeout(usual))
		if open := s.Conns.Stats().Open; open != 1 {
			t.Errorf("share %.1f: %d connections open between two statements, want 1", c.share, open)
		}
		time.Sleep(scarceIdleTimeout + time.Millisecond)
		s.Conns.CloseIdle(s.idleTimeout(usual))
		if open := s.Conns.Stats().Open; open != c.open {
			t.Errorf("share %.1f: %d connections open, want %d", c.share, open, c.open)
		}
	}
}
