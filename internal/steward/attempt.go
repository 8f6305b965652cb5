package steward

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"chicoryline/internal/errkind"
	"chicoryline/internal/position"
	"chicoryline/internal/statement"
)

// attempt is one primary change under a lease. It is used by a single goroutine.
type attempt struct {
	s       *Steward
	t       Task
	lease   *lease
	log     *logrus.Entry
	members []*member
	// otherPrimary is the server that was found to be primary already, so that no change is
	// needed, or that the newest order named before; empty if there is none.
	otherPrimary string
	// settleContext returns the context in which an attempt that was begun is completed.
	settleContext func() (context.Context, context.CancelFunc)
}

func (a *attempt) close() {
	for _, m := range a.members {
		m.closeConn()
	}
}

// acknowledged returns the highest position that is known to be acknowledged.
func (a *attempt) acknowledged() position.Position {
	if a.t.Acknowledged == nil {
		return position.Position{}
	}
	return a.t.Acknowledged()
}

// execute changes the primary, or completes an earlier unfinished change.
func (a *attempt) execute(ctx context.Context) error {
	if a.t.Reason == Departing && !a.lease.unfinished {
		a.otherPrimary = a.lease.previousTarget
		return a.abort(nil)
	}
	leader := a.currentPrimary()
	if leader == nil {
		a.presumePrimary()
	}
	if p := a.member(a.t.Primary); p != nil && p.isAnswering() && (a.t.Reason == Silent || p.conn == nil) {
		return a.abort(a.primaryAnsweredError())
	}
	if leader == nil && (a.t.Reason == Unfinished || a.t.Reason == Departing) {
		// Paused replicas stay paused: an unreachable primary may still run.
		return errkind.New(errkind.NoPrimary, "no reachable server is primary")
	}
	if leader == nil {
		target, err := a.failOver(ctx)
		if err != nil {
			return a.abort(err)
		}
		return a.promote(target, nil)
	}
	if err := a.fenceEarlierOrders(ctx, leader); err != nil {
		return a.abort(err)
	}
	switch {
	case leader.ID != a.t.Primary, leader.unlisted, a.t.Reason == Missing:
		if !leader.unlisted {
			a.otherPrimary = leader.ID
			a.t.OnPromoted(leader.ID)
		}
		return a.abort(errkind.New(errkind.Conflict, "%s is primary already", leader.ID))
	case a.t.Reason == Unfinished, a.t.Reason == Departing:
		return a.abort(nil)
	case a.t.Reason == CommitStuck && a.restoreReplication(ctx, leader):
		a.t.OnPrimaryAnswered()
		return a.abort(errkind.New(errkind.Conflict, "replication from %s works again", leader.ID))
	}
	target, err := a.switchOver(ctx, leader)
	if err != nil {
		return a.abort(err)
	}
	return a.promote(target, leader)
}

// fenceEarlierOrders makes sure that no order of an earlier steward takes effect from now
// on. It orders the promotion of the current primary, which changes nothing, and whose token
// fences the older orders. One of those may have been executed just before. Its server is
// then primary until the order takes effect, and acknowledges nothing, because the other
// servers are paused beyond its term.
func (a *attempt) fenceEarlierOrders(ctx context.Context, leader *member) error {
	if !slices.ContainsFunc(a.lease.pendingTargets, func(id string) bool { return id != leader.ID }) {
		a.lease.pendingTargets = nil
		return nil
	}
	if n := a.countUnreachable(ctx); n > 1 || n == 1 && !a.isPendingTargetUnreachable(ctx) {
		return errkind.New(errkind.NoPrimary, "orders for %v may still be executed, and %d servers are unreachable", a.lease.pendingTargets, n)
	}
	for _, m := range a.members {
		if m.conn != nil && m != leader {
			if err := a.pause(ctx, m); err != nil {
				return err
			}
		}
	}
	if _, _, err := a.orderPromotion(ctx, leader, false); err != nil {
		return err
	}
	time.Sleep(ExpectedPromotionTime)
	if !a.awaitPrimary(ctx, leader) {
		return errkind.New(errkind.NoPrimary, "%s is not primary after the order that fences older ones", leader.ID)
	}
	a.lease.pendingTargets, a.lease.record.Retired = nil, nil // an order may have been executed before
	if err := a.s.markOrdered(ctx, a.lease); err != nil {
		return err
	}
	a.resume(ctx, a.mayNeedResume)
	return nil
}

// isPendingTargetUnreachable reports whether a server named by an open order is unreachable.
// Even if it is primary by now, it acknowledges nothing while the reachable servers are
// paused.
func (a *attempt) isPendingTargetUnreachable(ctx context.Context) bool {
	for _, id := range a.lease.pendingTargets {
		if m := a.member(id); m != nil && m.conn == nil && !a.isGone(ctx, m) {
			return true
		}
	}
	return false
}

// restoreReplication resumes the replicas of a primary that answers, and reports whether one
// of them then catches up with it.
//
// Load pattern: a steward stalls, or loses the store, after it paused the replicas. Commits
// get no answer although the primary is healthy.
func (a *attempt) restoreReplication(ctx context.Context, leader *member) bool {
	if err := a.unretire(ctx); err != nil {
		a.log.WithError(err).Warn("leaving servers stay retired")
		return false
	}
	a.resume(ctx, func(m *member) bool { return m.conn != nil })
	return a.awaitReplica(ctx, leader.status.Received, leader, func(r Replica) bool { return !a.member(r.ID).unlisted }) != nil
}

// awaitCompleteReplica waits until a replica that may be promoted has received the position. It
// prefers one that is not leaving, then one that is not cold. If all that have it are cold, it
// gives a warm one warmReplicaTimeout to receive it.
func (a *attempt) awaitCompleteReplica(ctx context.Context, at position.Position, except *member) *member {
	return a.awaitReplica(ctx, at, except, func(r Replica) bool { return !r.Evacuated && !a.member(r.ID).unlisted })
}

// awaitReplica waits until a replica that counts has received the position.
func (a *attempt) awaitReplica(ctx context.Context, at position.Position, except *member, counts func(Replica) bool) *member {
	for start := a.s.now(); ; time.Sleep(pollInterval) {
		var complete []Replica
		for _, r := range a.replicas(except) {
			if r.Received.AtLeast(at) && counts(r) {
				r.Evacuated = false // counts decides
				complete = append(complete, r)
			}
		}
		if target := ChooseTarget(complete); target != "" && (!a.member(target).Cold || !a.hasWarmReplica(except, counts) || a.s.now().Sub(start) >= warmReplicaTimeout) {
			return a.member(target)
		}
		if a.s.now().Sub(start) >= catchUpTimeout || ctx.Err() != nil {
			return nil
		}
		a.pollReplicas(ctx, except)
	}
}

// hasWarmReplica reports whether a replica that counts is reachable and neither cold nor leaving.
func (a *attempt) hasWarmReplica(except *member, counts func(Replica) bool) bool {
	for _, r := range a.replicas(except) {
		if !r.Cold && !r.Leaving && counts(r) {
			return true
		}
	}
	return false
}

// pollReplicas refreshes the status of all reachable replicas concurrently.
func (a *attempt) pollReplicas(ctx context.Context, except *member) {
	a.poll(func(m *member) bool { return m.conn != nil && m != except }, func(m *member) error {
		_, err := a.pollStatus(ctx, m, m.isNews)
		return err
	})
}

// switchOver makes a primary that answers step down and returns its successor. A primary
// that has stepped down acknowledges nothing more, and its log holds every acknowledged
// commit: a replica with the same log is complete, whichever other servers the group has.
func (a *attempt) switchOver(ctx context.Context, leader *member) (*member, error) {
	if a.awaitCompleteReplica(ctx, leader.status.Received, leader) == nil &&
		!(a.t.Reason == Leaving && a.restoreReplication(ctx, leader) && a.awaitCompleteReplica(ctx, leader.status.Received, leader) != nil) {
		if a.t.Reason == Leaving || a.countUnreachable(ctx) > 0 || !a.isAcknowledgedComplete(leader.status.Received.Term) {
			return nil, errkind.New(errkind.NoPrimary, "no replica has the whole log of primary %s", leader.ID)
		}
	}
	if a.t.Reason == Leaving && a.t.IsLeaving != nil && !a.t.IsLeaving() {
		return nil, errkind.New(errkind.Conflict, "primary %s does not leave any more", leader.ID)
	}
	a.reportExpectedPromotion()
	term := a.nextTerm()
	err := a.command(ctx, leader, "step_down", func(conn statement.Conn, wait time.Duration) (statement.ServerStatus, error) {
		return a.s.cfg.Control.StepDown(conn, term, wait)
	})
	if err == nil && leader.status.Primary {
		err = errkind.New(errkind.Fenced, "%s did not step down at term %d", leader.ID, term)
	}
	if err != nil {
		return nil, err
	}
	steppedDown := a.s.now()
	if target := a.awaitCompleteReplica(ctx, leader.status.Received, leader); target != nil {
		return target, nil
	}
	a.probeUnreachable(ctx)
	if a.countUnreachable(ctx) == 0 {
		target, err := a.secureTarget(ctx, leader)
		time.Sleep(gossipDelay - a.s.now().Sub(steppedDown))
		if err == nil && !a.isAcknowledgedComplete(leader.status.Received.Term) {
			err = errkind.New(errkind.NoPrimary, "an unreachable VM may have seen commits acknowledged")
		}
		if err == nil {
			err = a.checkHoldsAcknowledged(target)
		}
		if err == nil {
			return target, nil
		}
		if !a.isEvacuated(leader) {
			a.log.WithError(err).Warn("no complete replica; promoting the former primary again")
		}
	}
	if a.isEvacuated(leader) {
		return nil, errkind.New(errkind.NoPrimary, "no complete replica outside evacuated failure domains to replace %s", leader.ID)
	}
	return leader, nil
}

// failOver returns the successor of an unreachable primary. Each acknowledged commit is on another
// server, too. Servers in reach are compared. One out of reach must receive nothing more, and the
// successor must have everything up to its log bound; without a bound, everything that VMs have
// seen acknowledged, if that is complete.
func (a *attempt) failOver(ctx context.Context) (*member, error) {
	if n := a.countUnreachable(ctx); n > 0 {
		return nil, errkind.New(errkind.NoPrimary, "%d servers besides the primary are unreachable", n)
	}
	answers := a.probePrimaryAgain(ctx)
	target, err := a.secureTarget(ctx, nil)
	if <-answers {
		return nil, a.primaryAnsweredError()
	}
	if err != nil {
		return nil, err
	}
	for _, m := range a.members {
		if m.conn != nil || m.ID == a.t.Primary {
			continue
		}
		bound, isBounded := a.logBound(m)
		if !(isBounded && target.status.Received.AtLeast(bound)) && !a.isAcknowledgedComplete(target.status.Received.Term) {
			return nil, errkind.New(errkind.NoPrimary, "server %s is gone and may have held commits that %s lacks", m.ID, target.ID)
		}
	}
	a.reportExpectedPromotion()
	return a.awaitLeaderLeaseExpiry(ctx, target)
}

// awaitLeaderLeaseExpiry returns the successor once the leader lease has expired at all VMs.
// A partitioned primary continues to answer reads, and VMs on its side of the network
// partition send them until their leader lease expires. The lease cannot be renewed while
// all replicas are paused, see package leaderproof.
func (a *attempt) awaitLeaderLeaseExpiry(ctx context.Context, target *member) (*member, error) {
	if a.s.cfg.LeaderLease == 0 {
		return target, nil
	}
	if !target.paused {
		if err := a.pause(ctx, target); err != nil {
			return nil, err
		}
		if target = a.preferredReplica(nil); target == nil || target.unlisted {
			return nil, errkind.New(errkind.NoPrimary, "no replica that may be promoted is left")
		}
		if !IsSafeTarget(a.replicas(nil), target.ID) {
			return nil, errkind.New(errkind.NoPrimary, "%s lacks commits that another replica received since it was chosen", target.ID)
		}
	}
	select {
	case <-ctx.Done():
		return nil, errkind.New(errkind.NoPrimary, "timed out before the leader lease of the primary expired")
	case <-time.After(a.s.cfg.LeaderLease):
	}
	return target, nil
}

// probePrimaryAgain reports on the returned channel whether a primary that was unreachable
// answers now: a network partition may have ended.
func (a *attempt) probePrimaryAgain(ctx context.Context) <-chan bool {
	answers := make(chan bool, 1)
	p := a.member(a.t.Primary)
	if p == nil || p.conn != nil {
		answers <- false
		return answers
	}
	go func() {
		again := &member{Server: p.Server}
		defer again.closeConn()
		if err := a.runControl(ctx, again, a.s.cfg.Control.Status); err != nil {
			a.log.WithError(err).WithField("backend_server", p.ID).Info("second probe of the primary failed")
		}
		answers <- again.isAnswering()
	}()
	return answers
}

// primaryAnsweredError reports a suspected primary as answering and returns the error that
// ends the attempt.
func (a *attempt) primaryAnsweredError() error {
	if a.t.Reason == Silent {
		a.t.OnPrimaryAnswered()
	}
	return errkind.New(errkind.Conflict, "primary %s answers", a.t.Primary)
}

// isAcknowledgedComplete reports whether the position that is known to be acknowledged is of
// the term and covers every acknowledged commit.
func (a *attempt) isAcknowledgedComplete(term uint64) bool {
	return a.t.IsAcknowledgedComplete != nil && a.acknowledged().Term == term && a.t.IsAcknowledgedComplete()
}

func (a *attempt) reportExpectedPromotion() {
	if a.t.OnPromotionExpected != nil {
		a.t.OnPromotionExpected(ExpectedPromotionTime)
	}
}

// secureTarget pauses the replicas and returns the one that holds every commit that may have
// been acknowledged. The target itself is paused only if it does not catch up with the
// others, so that a primary that still runs can continue to commit.
func (a *attempt) secureTarget(ctx context.Context, except *member) (*member, error) {
	target := a.preferredReplica(except)
	for _, m := range a.members {
		if m.conn != nil && m != except && m != target {
			if err := a.pause(ctx, m); err != nil {
				return nil, err
			}
		}
	}
	for start := a.s.now(); target != nil && a.s.now().Sub(start) < catchUpTimeout && ctx.Err() == nil; time.Sleep(pollInterval) {
		if IsSafeTarget(a.replicas(except), target.ID) {
			break
		}
		if _, err := a.pollStatus(ctx, target, target.isNews); err != nil {
			return nil, err
		}
	}
	if target != nil && !IsSafeTarget(a.replicas(except), target.ID) {
		if err := a.pause(ctx, target); err != nil {
			return nil, err
		}
		target = a.preferredReplica(except)
	}
	fields := logrus.Fields{"term": a.nextTerm() - 1, "acknowledged": a.acknowledged().String()}
	for _, r := range a.replicas(except) {
		fields["received_"+r.ID] = r.Received.String()
	}
	if target == nil || target.unlisted || !IsSafeTarget(a.replicas(except), target.ID) {
		a.log.WithFields(fields).Warn("no replica can be promoted safely")
		return nil, errkind.New(errkind.NoPrimary, "no replica is known to hold all commits")
	}
	a.log.WithFields(fields).WithField("backend_server", target.ID).Info("promotion target chosen")
	return target, nil
}

// preferredReplica returns the replica with the highest received position. Among equals it
// prefers one named by an earlier order that may still be executed.
func (a *attempt) preferredReplica(except *member) *member {
	best := a.member(ChooseTarget(a.replicas(except)))
	for _, id := range a.lease.pendingTargets {
		p := a.member(id)
		if best != nil && p != nil && p != except && p.conn != nil && !a.isEvacuated(p) && p.status.Received.AtLeast(best.status.Received) {
			return p
		}
	}
	return best
}

// promote orders the promotion and resumes the other replicas once the target is primary; those that
// are about to end are retired again. An order that was sent has to be completed, so it runs under
// its own deadline. If the order is refused, a primary that stepped down is promoted again.
func (a *attempt) promote(target, steppedDown *member) error {
	if a.isEvacuated(target) {
		return a.abort(errkind.New(errkind.NoPrimary, "failure domain %s of %s was evacuated meanwhile", target.Domain, target.ID))
	}
	if err := a.checkHoldsAcknowledged(target); err != nil {
		return a.abort(err)
	}
	ctx, cancel := a.settleContext()
	defer cancel()
	target, ordered, err := a.orderPromotion(ctx, target, steppedDown == nil)
	if err != nil && !ordered {
		return a.abort(err)
	}
	if errkind.Is(err, errkind.Fenced) && steppedDown != nil && len(a.lease.record.Earlier) == 0 && !a.isEvacuated(steppedDown) && a.s.writeRow(ctx, a.lease, a.lease.record) == nil {
		// No other steward holds the lease, so the order was refused because the target does not
		// run. After an order without an answer it may have led, and committed.
		a.log.WithField("backend_server", target.ID).Warn("order refused; promoting the former primary again")
		target, _, err = a.orderPromotion(ctx, steppedDown, false)
	}
	if err != nil {
		// The order may still be executed: the other replicas stay paused, and the row
		// tells the next steward about the order.
		return err
	}
	a.log.WithField("backend_server", target.ID).Info("promoted")
	a.t.OnPromoted(target.ID)
	a.lease.record.Retired = nil // the promotion ends their pauses
	if !a.hasUnresumedMember() && !slices.ContainsFunc(a.members, a.mayRetire) {
		return a.s.markFinished(ctx, a.lease)
	}
	if err := a.s.markOrdered(ctx, a.lease); err != nil {
		a.log.WithError(err).Warn("answered order could not be stored")
	}
	if !a.awaitPrimary(ctx, target) {
		return errkind.New(errkind.NoPrimary, "%s was promoted but is not primary; the other replicas stay paused", target.ID)
	}
	for _, m := range a.members {
		m.paused = false // the promotion ended the pauses
	}
	if target.status.PausedTerm == 0 {
		target.pauseSent = false
	}
	a.resume(ctx, func(m *member) bool { return a.mayNeedResume(m) && !m.Departing })
	a.retireDeparting(ctx)
	a.resume(ctx, a.mayNeedResume)
	if a.hasUnresumedMember() {
		return errkind.New(errkind.Unreachable, "a replica could not be resumed")
	}
	return a.s.markFinished(ctx, a.lease)
}

// checkHoldsAcknowledged checks that the target has the highest position that VMs have seen
// acknowledged: the group may have servers that are not listed in discovery yet.
func (a *attempt) checkHoldsAcknowledged(target *member) error {
	if at := a.acknowledged(); !target.status.Received.AtLeast(at) {
		return errkind.New(errkind.NoPrimary, "%s has received up to %s, but %s is acknowledged", target.ID, target.status.Received, at)
	}
	return nil
}

func (a *attempt) hasUnresumedMember() bool {
	for _, m := range a.members {
		if m.pauseSent && !m.replaced && !a.isRetired(m) {
			return true
		}
	}
	return false
}

// orderPromotion repeats the order until it is answered, each time with a higher token: an
// order without an answer may be executed late, until a newer one has been executed. With
// recheck, it checks the target before each order and may choose another one; VMs withhold
// acknowledgements of the old primary from the row that names the target. It returns the target
// of the last order. ordered is false if nothing was ordered, as the check failed.
func (a *attempt) orderPromotion(ctx context.Context, target *member, recheck bool) (last *member, ordered bool, err error) {
	sent := false
	for {
		if err := a.s.writeNextToken(ctx, a.lease, target.ID); err != nil {
			return target, true, err
		}
		if recheck {
			next, err := a.recheckTarget(ctx, target, sent)
			switch {
			case err != nil && !sent:
				a.withdrawTarget(ctx)
				return target, false, err
			case err != nil && a.isKnownToLackCommits(target):
				a.log.WithError(err).WithField("backend_server", target.ID).Warn("unanswered order is not repeated")
				select {
				case <-ctx.Done():
					return target, true, err
				case <-time.After(orderTimeout):
				}
				continue
			case err != nil:
				// The order may take effect anyway; repeating it settles sooner whether it does.
				a.log.WithError(err).Warn("no better target than that of the unanswered order is known")
			case next != target:
				target = next
				continue
			}
		}
		log := a.log.WithFields(logrus.Fields{"backend_server": target.ID, "token": a.lease.record.Token})
		if err := a.s.renewLease(ctx, a.lease); err != nil {
			return target, true, err
		}
		sent = true
		call, cancel := context.WithTimeout(ctx, orderTimeout)
		err := a.s.cfg.Promoter.Promote(call, a.t.Group, target.ID, a.s.cfg.VM, a.lease.record.Token)
		cancel()
		switch {
		case err == nil:
			log.Info("order answered")
			return target, true, nil
		case errkind.Is(err, errkind.Fenced):
			return target, true, err
		}
		log.WithError(err).Warn("promotion order failed")
		select {
		case <-ctx.Done():
			return target, true, err
		case <-time.After(pollInterval):
		}
	}
}

// awaitPrimary waits until the target is primary. Until then the old primary may continue,
// and a resumed replica could let it acknowledge commits that the target lacks.
func (a *attempt) awaitPrimary(ctx context.Context, target *member) bool {
	isPrimary := func(status statement.ServerStatus) bool { return status.Primary }
	for ctx.Err() == nil {
		if renewed, _ := a.pollStatus(ctx, target, isPrimary); renewed && target.status.Primary {
			return true
		}
		time.Sleep(pollInterval)
	}
	return false
}

// abort ends a change without an order, retires replicas that are about to end and resumes the
// others. If one earlier order may still be executed, only the server that it names is resumed; if
// several may, none is. The change stays unfinished as long as a replica may be paused.
func (a *attempt) abort(cause error) error {
	ctx, cancel := a.settleContext()
	defer cancel()
	if len(a.lease.pendingTargets) > 0 {
		if len(a.lease.pendingTargets) == 1 {
			a.resume(ctx, func(m *member) bool { return m.ID == a.lease.pendingTargets[0] && a.mayNeedResume(m) })
		}
		return cause
	}
	a.retireDeparting(ctx)
	a.resume(ctx, a.mayNeedResume)
	if a.hasUnresumedMember() || slices.ContainsFunc(a.members, a.mayBePausedUnreachable) {
		return cause
	}
	a.lease.record.Target = a.otherPrimary
	if err := a.s.markFinished(ctx, a.lease); err != nil {
		a.log.WithError(err).Warn("lease could not be released")
	}
	return cause
}
