package dispatch

import (
	"context"
	"time"

	"chicoryline/internal/boottime"
	"chicoryline/internal/errkind"
	"chicoryline/internal/position"
)

const (
	// slowCommitTime is the age from which a commit counts as slow. Statements run up to 400 ms; a
	// commit that takes longer may have waited for a replica to join.
	slowCommitTime = 400 * time.Millisecond
	// confirmPollInterval is the pause between two looks at what other VMs have received.
	confirmPollInterval = 20 * time.Millisecond
)

// Contact tells whether what this VM knows reaches the VMs of other failure domains.
type Contact interface {
	// IsInTouch reports whether a majority of the failure domains has recently received state
	// updates of this VM.
	IsInTouch() bool
	// HasReachedMajoritySince reports whether a majority has received an update sent at since or
	// later.
	HasReachedMajoritySince(since boottime.Time) bool
}

// commitWatch tracks the commits in flight at the primary. The mutex of the group guards it.
type commitWatch struct {
	inFlight map[uint64]boottime.Time // when it was sent, by number
	next     uint64
	// slowAt is when a slow commit was last acknowledged, 0 once other failure domains have
	// received the acknowledged position.
	slowAt boottime.Time
	// unconfirmed is the number of acknowledged commits whose callers wait for that.
	unconfirmed int
}

// startCommit records that a commit or write is sent, and returns its number.
func (g *Group) startCommit(sent boottime.Time) uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	w := &g.commits
	if w.inFlight == nil {
		w.inFlight = map[uint64]boottime.Time{}
	}
	w.next++
	w.inFlight[w.next] = sent
	return w.next
}

// endCommit records that a commit is not in flight any more.
func (g *Group) endCommit(number uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.commits.inFlight, number)
}

// acknowledgeCommit records that the server acknowledged the commit with the number. An error means
// that its caller must not rely on it.
func (g *Group) acknowledgeCommit(s *Server, number uint64, sent, deadline boottime.Time, p position.Position) error {
	acknowledged := boottime.Now()
	slow := g.isSlow(acknowledged)
	g.endCommit(number)
	g.ObserveAcknowledged(p)
	g.noteCommitted(s)
	g.confirmLeadership(s, sent)
	if err := g.awaitConfirmation(slow, acknowledged, deadline); err != nil {
		return g.withhold(s, err)
	}
	if _, err := g.checkNotBeingReplaced(s); err != nil {
		return g.withhold(s, err)
	}
	return nil
}

// awaitConfirmation waits, if there is a reason to, until a majority of the failure domains has
// received the position of a commit that was acknowledged at the given time. It returns an error if
// that does not happen before the deadline.
//
// A network partition can separate the primary and this VM from everyone else. The primary then
// acknowledges commits if a server joins on its side, which the steward on the other side cannot
// know of. Two signs are looked at: no recent contact with a majority of the failure domains, and
// slow commits, as those are that were sent before the server joined.
//
// Once contact returns after a partition, what this VM knows of promotion orders may be old.
func (g *Group) awaitConfirmation(slow bool, acknowledged, deadline boottime.Time) error {
	if g.cfg.Contact == nil {
		return nil
	}
	inTouch := g.cfg.Contact.IsInTouch()
	if inTouch && !slow {
		return nil
	}
	g.addUnconfirmed(1)
	defer g.addUnconfirmed(-1)
	for !g.cfg.Contact.HasReachedMajoritySince(acknowledged) {
		inTouch = inTouch && g.cfg.Contact.IsInTouch()
		if boottime.Now() >= deadline {
			return errkind.New(errkind.OutcomeUnknown, "commit of %s is not known to a majority of the failure domains", g.Name)
		}
		time.Sleep(confirmPollInterval)
	}
	g.endSlow(acknowledged)
	if inTouch || g.cfg.RefreshOrders == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), deadline.Sub(boottime.Now()))
	defer cancel()
	if err := g.cfg.RefreshOrders(ctx, g.Name); err != nil {
		return errkind.New(errkind.OutcomeUnknown, "promotion orders of %s are not known: %v", g.Name, err)
	}
	return nil
}

// endSlow records that other failure domains know of all commits acknowledged up to the given time.
func (g *Group) endSlow(acknowledged boottime.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.commits.slowAt <= acknowledged {
		g.commits.slowAt = 0
	}
}

// isSlow reports whether a commit in flight is slow or got no answer in time, or one was slow that
// other failure domains may not know of.
func (g *Group) isSlow(now boottime.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, sent := range g.commits.inFlight {
		if now.Sub(sent) >= slowCommitTime {
			g.commits.slowAt = now
		}
	}
	if g.health.stuckSince != 0 {
		g.commits.slowAt = now
	}
	return g.commits.slowAt != 0
}

func (g *Group) addUnconfirmed(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.commits.unconfirmed += n
}
