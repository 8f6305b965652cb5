package steward

import (
	"context"

	"chicoryline/internal/errkind"
)

// checkStillPaused returns an error if a replica may have received something, or confirmed the
// primary to a VM, since it was paused: a restart ends the pause and breaks the connection, and
// a server that has joined since was never paused.
func (a *attempt) checkStillPaused(ctx context.Context) error {
	term := a.nextTerm()
	counts := func(m *member) bool { return m.pauseSent && !m.replaced }
	for _, m := range a.members {
		if counts(m) && (m.conn == nil || !m.paused) {
			return errkind.New(errkind.NoPrimary, "the connection to %s broke after its pause", m.ID)
		}
	}
	a.poll(counts, func(m *member) error { return a.runControl(ctx, m, a.s.cfg.Control.Status) })
	for _, m := range a.members {
		if counts(m) && (m.conn == nil || !m.paused || m.status.PausedTerm < term) {
			return errkind.New(errkind.NoPrimary, "%s is unreachable or no longer paused", m.ID)
		}
	}
	joined, err := a.readJoinedServers(ctx)
	if err == nil && len(joined) > 0 {
		err = errkind.New(errkind.NoPrimary, "%s has joined since the replicas were paused", joined[0].ID)
	}
	return err
}
