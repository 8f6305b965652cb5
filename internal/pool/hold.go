package pool

import (
	"context"
	"time"

	"chicoryline/internal/errkind"
	"chicoryline/internal/peer"
)

// holdPollInterval is the interval at which the open sessions of a held instance are
// counted.
const holdPollInterval = 2 * time.Millisecond

// HoldArgs requests that an owner reject new writes at an instance, as a planned
// switchover does before it changes the primary.
type HoldArgs struct {
	Instance string
	// Limit is the time after which the hold expires, in case the steward fails.
	Limit time.Duration
	// Patience bounds the wait for open sessions to end.
	Patience time.Duration
	// Release ends an earlier hold; Limit and Patience are then ignored.
	Release bool
}

// Hold rejects new writes at the instance and returns when the owner has no open
// session left; with Release it ends an earlier hold. Rejected writes have not run,
// and their entries retry them.
func (s *Service) Hold(args *HoldArgs, _ *Empty) error {
	owner, ok := s.manager.Owner(args.Instance)
	if !ok {
		return nil
	}
	if args.Release {
		owner.holdWrites(time.Time{})
		return nil
	}
	owner.holdWrites(time.Now().Add(args.Limit))
	ctx, cancel := context.WithTimeout(context.Background(), args.Patience)
	defer cancel()
	if err := s.manager.waitForSessions(ctx, owner); err != nil {
		owner.holdWrites(time.Time{})
		return peer.Encode(err)
	}
	return nil
}

// holdWrites rejects new writes until the given time; the zero time ends the hold.
func (o *Owner) holdWrites(until time.Time) { o.heldUntil.Store(until.UnixNano()) }

// isHoldingWrites reports whether new writes are currently rejected.
func (o *Owner) isHoldingWrites() bool { return time.Now().UnixNano() < o.heldUntil.Load() }

// waitForSessions waits until the owner has no open session, reads included.
func (m *Manager) waitForSessions(ctx context.Context, owner *Owner) error {
	ticker := time.NewTicker(holdPollInterval)
	defer ticker.Stop()
	for {
		open := m.matchingSessions(func(SessionID) bool { return true })
		openCount := 0
		for _, s := range open {
			if s.owner == owner {
				openCount++
			}
		}
		if openCount == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return errkind.New(errkind.QueueTimeout, "%d transactions are still open at %s", openCount, owner.cfg.Instance.ID)
		case <-ticker.C:
		}
	}
}
