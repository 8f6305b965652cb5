package pool

import (
	"context"
	"time"

	"chicoryline/internal/errkind"
	"chicoryline/internal/peer"
)

// holdPollInterval is the pause between two looks at the open writes of an instance.
const holdPollInterval = 2 * time.Millisecond

// HoldArgs asks an owner to hold new writes at an instance.
type HoldArgs struct {
	Instance string
	// Limit ends the hold by itself, for a steward that dies.
	Limit time.Duration
	// Patience bounds the wait for open writes.
	Patience time.Duration
	// Release ends a hold instead.
	Release bool
}

// Hold holds new writes at the instance and returns when none is open, or ends
// the hold. Held writes have not run; their entries try them again.
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

// holdWrites refuses new writes until the time; the zero time ends the hold.
func (o *Owner) holdWrites(until time.Time) { o.heldUntil.Store(until.UnixNano()) }

// isHoldingWrites reports whether new writes are refused at present.
func (o *Owner) isHoldingWrites() bool { return time.Now().UnixNano() < o.heldUntil.Load() }

// waitForSessions waits until no session at the owner has a write under way.
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
