package linegroup

import (
	"fmt"
	"time"
)

// SetBarredAt makes the server record a violation for each statement, other than a control
// statement, that it receives from the given time on. A zero time ends that.
func (s *Server) SetBarredAt(at time.Time) { s.withLock(func() { s.barredAt = at }) }

// recordIfBarred records a violation if the server is barred from statements.
func (c *conn) recordIfBarred(id, command string) {
	switch command {
	case "STATUS", "PAUSE", "RESUME", "STEPDOWN":
		return
	}
	s := c.server
	s.withLock(func() {
		if now := time.Now(); !s.barredAt.IsZero() && now.After(s.barredAt) {
			s.group.violations = append(s.group.violations, violation{text: fmt.Sprintf("%s %s reached %s in an evacuated failure domain %d ms after the bound", command, id, s.ID, now.Sub(s.barredAt).Milliseconds())})
		}
	})
}
