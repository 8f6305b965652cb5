package steward

import (
	"context"
	"slices"
	"time"

	"chicoryline/internal/errkind"
)

// recheckTimeout bounds one check of a target: reading the servers, and connections to those
// that have joined or restarted.
const recheckTimeout = 1200 * time.Millisecond

// recheckTarget returns the server whose promotion may be ordered now. Since the target was
// chosen, a server may have joined, or restarted, which ends its pause, and the old primary may
// have acknowledged commits with it. Such servers are paused, and the target is chosen again if it
// lacks what one of them has received. sent reports whether an order of this attempt may be
// executed.
func (a *attempt) recheckTarget(ctx context.Context, target *member, sent bool) (*member, error) {
	if a.s.cfg.LeaderLease > 0 && !sent {
		// A server that is not paused may have renewed the leader lease: pausing it now is too late.
		if err := a.checkStillPaused(ctx); err != nil {
			return nil, err
		}
		return target, a.checkHoldsAcknowledged(target)
	}
	ctx, cancel := context.WithTimeout(ctx, recheckTimeout)
	defer cancel()
	joined, err := a.addJoinedServers(ctx)
	if err != nil {
		return nil, err
	}
	counts := func(m *member) bool {
		return !m.replaced && (m.conn != nil || m.pauseSent || m == target || slices.Contains(joined, m))
	}
	status := func(m *member) error { return a.runControl(ctx, m, a.s.cfg.Control.Status) }
	a.poll(counts, status)
	// Servers that could not be reached get a second attempt.
	a.poll(func(m *member) bool { return m.conn == nil && counts(m) }, status)
	term := a.nextTerm()
	for _, m := range a.members {
		switch {
		case m.conn != nil && m.status.Primary && m.status.Term == term-1:
			return m, nil // an earlier order has been executed; ordering it again fences the others
		case m.conn == nil && counts(m):
			return nil, errkind.New(errkind.NoPrimary, "%s is unreachable before the order", m.ID)
		}
	}
	for _, m := range a.members {
		m.paused = m.paused && m.status.PausedTerm >= term
	}
	if IsSafeTarget(a.replicas(nil), target.ID) && !target.unlisted {
		return target, a.checkHoldsAcknowledged(target)
	}
	if sent {
		// The order for the present target may still be executed. The pauses have to outlast it.
		a.lease.pendingTargets = a.lease.record.unansweredTargets()
	}
	if target, err = a.secureTarget(ctx, nil); err != nil {
		return nil, err
	}
	return target, a.checkHoldsAcknowledged(target)
}

// withdrawTarget removes a target from the row that was not ordered: nothing may take effect.
func (a *attempt) withdrawTarget(ctx context.Context) {
	next := a.lease.record
	next.Target = ""
	if err := a.s.writeRow(ctx, a.lease, next); err != nil {
		a.log.WithError(err).Warn("target could not be withdrawn")
	}
}

// isKnownToLackCommits reports whether the target lacks commits that are acknowledged or that
// another reachable server has received.
func (a *attempt) isKnownToLackCommits(target *member) bool {
	return a.checkHoldsAcknowledged(target) != nil || slices.ContainsFunc(a.members, func(m *member) bool {
		return m.conn != nil && !target.status.Received.AtLeast(m.status.Received)
	})
}

// addJoinedServers reads the servers again and returns those that are new to the attempt.
func (a *attempt) addJoinedServers(ctx context.Context) (joined []*member, err error) {
	servers, err := a.readJoinedServers(ctx)
	for _, s := range servers {
		m := &member{Server: s, failedAt: a.s.now()}
		a.members, joined = append(a.members, m), append(joined, m)
		a.log.WithField("backend_server", s.ID).Info("server has joined during the change")
	}
	return joined, err
}

// readJoinedServers reads the servers again and returns those that are no members of the attempt.
func (a *attempt) readJoinedServers(ctx context.Context) (joined []Server, err error) {
	if a.t.RefreshServers == nil {
		return nil, nil
	}
	servers, err := a.t.RefreshServers(ctx)
	if err != nil {
		return nil, err
	}
	return slices.DeleteFunc(slices.Clone(servers), func(s Server) bool { return a.member(s.ID) != nil }), nil
}

// poll requests the status of servers concurrently.
func (a *attempt) poll(which func(*member) bool, status func(*member) error) {
	a.forEach(which, func(m *member) {
		if err := status(m); err != nil {
			a.log.WithError(err).WithField("backend_server", m.ID).Warn("server became unreachable")
		}
	})
}
