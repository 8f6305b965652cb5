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
	// ordersReadDelay is how long a VM in touch waits for the failure domains before it asks the store:
	// an urgent update is answered within 100 ms in a single cell, and within 1 s in a larger fleet.
	ordersReadDelay = 150 * time.Millisecond
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
	// ordersRead is the read of the promotion orders in progress, nil if there is none.
	ordersRead *ordersRead
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
	slow := g.isSlow(boottime.Now())
	g.endCommit(number)
	g.ObserveAcknowledged(p)
	acknowledged := boottime.Now() // updates composed from now on hold the position
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

// awaitConfirmation waits, if there is a reason to, until a commit that was acknowledged at the given
// time is known to a majority of the failure domains. It returns an error if that does not happen
// before the deadline.
//
// A network partition can separate the primary and this VM from everyone else. The primary then
// acknowledges commits if a server joins on its side, which the steward on the other side cannot
// know of. Two signs are looked at: no recent contact with a majority of the failure domains, and
// slow commits, as those are that were sent before the server joined.
//
// Without contact, an answer of the store serves as well: a partition cuts off the store too, and the
// VMs of the other failure domains may all be lost. It also tells of promotion orders that this VM
// has missed.
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
	var err error
	for boottime.Now() < deadline {
		inTouch = inTouch && g.cfg.Contact.IsInTouch()
		reached := g.cfg.Contact.HasReachedMajoritySince(acknowledged)
		confirmed := reached && (inTouch || g.cfg.RefreshOrders == nil)
		if !confirmed && g.cfg.RefreshOrders != nil && (!inTouch || boottime.Since(acknowledged) >= ordersReadDelay) {
			// Once contact has returned, the orders have to be read after that.
			since := acknowledged
			if reached {
				since = boottime.Now()
			}
			err = g.readOrders(since, deadline)
			confirmed = err == nil
		}
		if confirmed {
			g.endSlow(acknowledged)
			return nil
		}
		time.Sleep(confirmPollInterval)
	}
	return errkind.New(errkind.OutcomeUnknown, "commit of %s is not known to a majority of the failure domains; orders: %v", g.Name, err)
}

// ordersRead is a read of the promotion orders that several commits may wait for.
type ordersRead struct {
	sharedCheck
	started boottime.Time
}

// readOrders returns once the store has answered a read of the promotion orders that began at since
// or later.
func (g *Group) readOrders(since, deadline boottime.Time) error {
	ctx, cancel := context.WithTimeout(context.Background(), deadline.Sub(boottime.Now()))
	defer cancel()
	for {
		g.mu.Lock()
		r := g.commits.ordersRead
		if r == nil {
			r = &ordersRead{sharedCheck: sharedCheck{done: make(chan struct{})}, started: boottime.Now()}
			g.commits.ordersRead = r
			go g.runOrdersRead(r)
		}
		g.mu.Unlock()
		select {
		case <-r.done:
			if r.started >= since {
				return r.err
			}
		case <-ctx.Done():
			return errkind.New(errkind.PlatformUnknown, "no answer of the store in time")
		}
	}
}

func (g *Group) runOrdersRead(r *ordersRead) {
	err := g.cfg.RefreshOrders(context.Background(), g.Name)
	g.mu.Lock()
	r.err, g.commits.ordersRead = err, nil
	g.mu.Unlock()
	close(r.done)
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
