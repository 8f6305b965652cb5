package linegroup

import "time"

// repeats selects the answers that a server writes twice.
type repeats struct {
	pick    func(id, text string) bool
	delay   func() time.Duration
	release func(id, text string) bool
}

// RepeatAnswers makes the server write the answer to each statement that pick selects once
// more on the same connection, after the delay. A nil pick ends that.
func (s *Server) RepeatAnswers(pick func(id, text string) bool, delay func() time.Duration) {
	s.withLock(func() { s.repeats = repeats{pick: pick, delay: delay} })
}

// HoldRepeats is RepeatAnswers with repeats that are written when a later statement that
// release selects arrives on the same connection, before the answer to it.
func (s *Server) HoldRepeats(pick, release func(id, text string) bool) {
	s.withLock(func() { s.repeats = repeats{pick: pick, release: release} })
}

func (c *conn) repeats() (r repeats) {
	c.server.withLock(func() { r = c.server.repeats })
	return r
}

// repeat writes the answer to the statement again if the server's repeats select it.
func (c *conn) repeat(id, text string, message []byte) {
	r := c.repeats()
	switch {
	case r.pick == nil || !r.pick(id, text):
	case r.release != nil:
		c.held = append(c.held, message)
	default:
		time.AfterFunc(r.delay(), func() {
			if !c.isUnresponsive() {
				c.send(message)
			}
		})
	}
}

// releaseHeld writes the held repeats if the statement that has arrived releases them.
func (c *conn) releaseHeld(id, text string) {
	if r := c.repeats(); len(c.held) == 0 || r.release == nil || !r.release(id, text) {
		return
	}
	for _, message := range c.held {
		c.send(message)
	}
	c.held = nil
}
