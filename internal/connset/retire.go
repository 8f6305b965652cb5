package connset

import (
	"chicoryline/internal/boottime"
	"chicoryline/internal/errkind"
)

// SetRetired sets whether the server gets no more work. While it gets none, idle connections are
// closed, others as soon as they are released, queued requests are rejected, and an open
// transaction is ended by closing its connection instead of by a statement.
func (s *Set) SetRetired(retired bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retired = retired
	if !retired {
		return
	}
	for _, c := range s.idle {
		s.open--
		c.Conn.Close()
	}
	s.idle = nil
	s.countBusy(boottime.Now())
	for _, w := range s.queue.Clear() {
		w.Value <- outcome{err: s.retiredError()}
	}
}

func (s *Set) retiredError() error {
	return errkind.New(errkind.ShuttingDown, "%s gets no more work", s.server)
}

// MaySend reports whether a connection is in use on which a statement may still be sent.
func (s *Set) MaySend() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open-len(s.idle) > s.awaiting
}

// MarkAwaiting records that the last statement on the connection was sent: only its answer is
// awaited before the connection is released or closed.
func (c *Conn) MarkAwaiting() {
	c.set.mu.Lock()
	defer c.set.mu.Unlock()
	if !c.awaiting {
		c.awaiting = true
		c.set.awaiting++
	}
}

// endAwaiting reverts MarkAwaiting. The mutex is held.
func (c *Conn) endAwaiting() {
	if c.awaiting {
		c.awaiting = false
		c.set.awaiting--
	}
}

// mayRollBack reports whether a rollback may be sent on the connection, which then no longer
// counts as awaiting.
func (c *Conn) mayRollBack() bool {
	c.set.mu.Lock()
	defer c.set.mu.Unlock()
	if !c.set.retired {
		c.endAwaiting()
	}
	return !c.set.retired
}
