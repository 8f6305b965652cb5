package pool

import (
	"context"
	"time"

	"chicoryline/internal/errkind"
	"chicoryline/internal/peer"
)

// holdInterval is the pause between two looks at the open writes of an instance.
const holdInterval = 2 * time.Millisecond

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
		owner.hold(time.Time{})
		return nil
	}
	owner.hold(time.Now().Add(args.Limit))
	ctx, cancel := context.WithTimeout(context.Background(), args.Patience)
	defer cancel()
	if err := s.manager.awaitWrites(ctx, owner); err != nil {
		owner.hold(time.Time{})
		return peer.Encode(err)
	}
	return nil
}

// hold refuses new writes until the time; the zero time ends the hold.
func (o *Owner) hold(until time.Time) { o.heldUntil.Store(until.UnixNano()) }

// held reports whether new writes are refused at present.
func (o *Owner) held() bool { return time.Now().UnixNano() < o.heldUntil.Load() }

// awaitWrites waits until no session at the owner has a write under way.
func (m *Manager) awaitWrites(ctx context.Context, owner *Owner) error {
	ticker := time.NewTicker(holdInterval)
	defer ticker.Stop()
	for {
		open := m.list(func(SessionID) bool { return true })
		busy := 0
		for _, s := range open {
			if s.owner == owner {
				busy++
			}
		}
		if busy == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return errkind.New(errkind.QueueTimeout, "%d transactions are still open at %s", busy, owner.cfg.Instance.ID)
		case <-ticker.C:
		}
	}
}
