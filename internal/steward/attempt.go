package steward

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"chicoryline/internal/boottime"
	"chicoryline/internal/errkind"
	"chicoryline/internal/position"
	"chicoryline/internal/statement"
)

// attempt is one change of primary under a lease; one goroutine uses it.
type attempt struct {
	s       *Steward
	t       Task
	lease   *lease
	log     *logrus.Entry
	members []*member
	// otherPrimary is another server that turned out to lead.
	otherPrimary string
	// settleContext gives the time in which what was begun is brought to an end.
	settleContext func() (context.Context, context.CancelFunc)
}

func (a *attempt) close() {
	for _, m := range a.members {
		m.closeConn()
	}
}

func (a *attempt) acknowledged() position.Position {
	if a.t.Acknowledged == nil {
		return position.Position{}
	}
	return a.t.Acknowledged()
}

// execute changes the primary, or settles what an earlier change has left.
func (a *attempt) execute(ctx context.Context) error {
	leader := a.currentPrimary()
	if p := a.member(a.t.Primary); p != nil && p.isAnswering() && (a.t.Reason == Silent || p.conn == nil) {
		return a.abort(a.primaryAnsweredError())
	}
	if leader == nil && a.t.Reason == Unfinished {
		// What was left paused stays so: a primary out of reach may live.
		return errkind.New(errkind.NoPrimary, "no server in reach leads")
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
		return a.abort(errkind.New(errkind.Conflict, "%s leads", leader.ID))
	case a.t.Reason == Unfinished:
		return a.abort(nil)
	case a.t.Reason == CommitStuck && a.restoreReplication(ctx, leader):
		a.t.OnPrimaryAnswered()
		return a.abort(errkind.New(errkind.Conflict, "a replica of %s receives again", leader.ID))
	}
	target, err := a.switchOver(ctx, leader)
	if err != nil {
		return a.abort(err)
	}
	return a.promote(target, leader)
}

// fenceEarlierOrders makes sure that no order of an earlier steward takes effect from now on.
// An order for the primary changes nothing, and its token fences the older ones. One of
// those may have been carried out just before: its server leads then until the primary
// is back, and acknowledges nothing, as the others are paused beyond its term.
func (a *attempt) fenceEarlierOrders(ctx context.Context, leader *member) error {
	if !slices.ContainsFunc(a.lease.pendingTargets, func(id string) bool { return id != leader.ID }) {
		a.lease.pendingTargets = nil
		return nil
	}
	if n := a.countUnreachable(ctx); n > 1 || n == 1 && !a.isPendingTargetUnreachable(ctx) {
		return errkind.New(errkind.NoPrimary, "orders for %v may still be carried out, and %d servers are out of reach", a.lease.pendingTargets, n)
	}
	for _, m := range a.members {
		if m.conn != nil && m != leader {
			if err := a.pause(ctx, m); err != nil {
				return err
			}
		}
	}
	if err := a.orderPromotion(ctx, leader.ID); err != nil {
		return err
	}
	time.Sleep(ExpectedPromotionTime)
	if !a.awaitPrimary(ctx, leader) {
		return errkind.New(errkind.NoPrimary, "%s does not lead after the order that fences older ones", leader.ID)
	}
	a.lease.pendingTargets = nil
	if err := a.s.markOrdered(ctx, a.lease); err != nil {
		return err
	}
	a.resume(ctx, a.mayNeedResume)
	return nil
}

// isPendingTargetUnreachable tells that a server that an open order names is out of reach. If it
// leads by now it acknowledges nothing, while those in reach are paused.
func (a *attempt) isPendingTargetUnreachable(ctx context.Context) bool {
	for _, id := range a.lease.pendingTargets {
		if m := a.member(id); m != nil && m.conn == nil && !a.isGone(ctx, m) {
			return true
		}
	}
	return false
}

// restoreReplication lets the replicas of a primary that answers receive again and reports whether
// one of them then has all that the primary has.
//
// Load pattern: a steward that has paused the replicas is frozen, or the store fails
// it. Commits get no answer, though the primary is well.
func (a *attempt) restoreReplication(ctx context.Context, leader *member) bool {
	a.resume(ctx, func(m *member) bool { return m.conn != nil })
	return a.awaitCompleteReplica(ctx, leader.status.Received, leader) != nil
}

// awaitCompleteReplica waits until a replica has the position; it prefers one that stays.
func (a *attempt) awaitCompleteReplica(ctx context.Context, at position.Position, except *member) *member {
	for start := boottime.Now(); ; time.Sleep(pollInterval) {
		var complete []Replica
		for _, r := range a.replicas(except) {
			if r.Received.AtLeast(at) && !a.member(r.ID).unlisted {
				complete = append(complete, r)
			}
		}
		if len(complete) > 0 {
			return a.member(ChooseTarget(complete))
		}
		if boottime.Since(start) >= catchUpTimeout || ctx.Err() != nil {
			return nil
		}
		a.pollReplicas(ctx, except)
	}
}

// pollReplicas asks all replicas in reach again, side by side.
func (a *attempt) pollReplicas(ctx context.Context, except *member) {
	done := make(chan struct{}, len(a.members))
	n := 0
	for _, m := range a.members {
		if m.conn == nil || m == except {
			continue
		}
		n++
		go func() {
			defer func() { done <- struct{}{} }()
			if err := a.runControl(ctx, m, a.s.cfg.Control.Status); err != nil {
				a.log.WithError(err).WithField("backend_server", m.ID).Warn("server got out of reach")
			}
		}()
	}
	for range n {
		<-done
	}
}

// switchOver takes the lead from a primary that answers and returns its successor. A
// primary that has stepped down acknowledges nothing more, and its log holds all that
// was acknowledged: a replica that has the same is complete, whichever other servers
// the group has.
func (a *attempt) switchOver(ctx context.Context, leader *member) (*member, error) {
	if a.awaitCompleteReplica(ctx, leader.status.Received, leader) == nil && !(a.t.Reason == Leaving && a.restoreReplication(ctx, leader)) {
		if a.t.Reason == Leaving || a.countUnreachable(ctx) > 0 || !a.isAcknowledgedComplete(leader.status.Received.Term) {
			return nil, errkind.New(errkind.NoPrimary, "no replica has all that primary %s has", leader.ID)
		}
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
	steppedDown := boottime.Now()
	if target := a.awaitCompleteReplica(ctx, leader.status.Received, leader); target != nil {
		return target, nil
	}
	a.probeUnreachable(ctx)
	if a.countUnreachable(ctx) == 0 {
		target, err := a.secureTarget(ctx, leader)
		time.Sleep(gossipDelay - boottime.Since(steppedDown))
		if err == nil && !a.isAcknowledgedComplete(leader.status.Received.Term) {
			err = errkind.New(errkind.NoPrimary, "a VM is silent that may have seen commits acknowledged")
		}
		if err == nil {
			err = a.checkHoldsAcknowledged(target)
		}
		if err == nil {
			return target, nil
		}
		a.log.WithError(err).Warn("the primary gets the lead back")
	}
	return leader, nil
}

// failOver returns the successor of a primary that is out of reach. A server that is out
// of reach as well may be the only one with an acknowledged commit, or receive more.
func (a *attempt) failOver(ctx context.Context) (*member, error) {
	if n := a.countUnreachable(ctx); n > 0 {
		return nil, errkind.New(errkind.NoPrimary, "%d servers beside the primary are out of reach", n)
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
		covered := m.ConfirmedGone && target.status.Received.AtLeast(m.Position)
		if m.gone && !covered && !a.isAcknowledgedComplete(target.status.Received.Term) {
			return nil, errkind.New(errkind.NoPrimary, "%s is gone and may have held commits that %s lacks", m.ID, target.ID)
		}
	}
	a.reportExpectedPromotion()
	return a.awaitLeaderLeaseExpiry(ctx, target)
}

// awaitLeaderLeaseExpiry returns the successor once no VM can rest on a proof that the primary leads,
// which it cannot be told: while no replica receives, none is made. A primary behind a
// partition goes on answering reads, and VMs beside it sent them until then.
func (a *attempt) awaitLeaderLeaseExpiry(ctx context.Context, target *member) (*member, error) {
	if a.s.cfg.LeaderLease == 0 {
		return target, nil
	}
	if !target.paused {
		if err := a.pause(ctx, target); err != nil {
			return nil, err
		}
		target = a.preferredReplica(nil)
		if !IsSafeTarget(a.replicas(nil), target.ID) {
			return nil, errkind.New(errkind.NoPrimary, "%s lacks commits that another replica received meanwhile", target.ID)
		}
	}
	select {
	case <-ctx.Done():
		return nil, errkind.New(errkind.NoPrimary, "no time was left to wait for the end of the primary's lead")
	case <-time.After(a.s.cfg.LeaderLease):
		return target, nil
	}
}

// probePrimaryAgain tells whether a primary that was out of reach answers now: a partition
// may have ended since.
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
			a.log.WithError(err).WithField("backend_server", p.ID).Info("primary asked again")
		}
		answers <- again.isAnswering()
	}()
	return answers
}

func (a *attempt) primaryAnsweredError() error {
	if a.t.Reason == Silent {
		a.t.OnPrimaryAnswered()
	}
	return errkind.New(errkind.Conflict, "primary %s answers", a.t.Primary)
}

// isAcknowledgedComplete reports whether the position that is known to be acknowledged is of the term
// and covers all that was acknowledged.
func (a *attempt) isAcknowledgedComplete(term uint64) bool {
	return a.t.IsAcknowledgedComplete != nil && a.acknowledged().Term == term && a.t.IsAcknowledgedComplete()
}

func (a *attempt) reportExpectedPromotion() {
	if a.t.OnPromotionExpected != nil {
		a.t.OnPromotionExpected(ExpectedPromotionTime)
	}
}

// secureTarget stops the replicas and returns the one that holds every commit that may have
// been acknowledged. The target goes on receiving as long as it can catch up, so that
// a primary that lives can go on as well.
func (a *attempt) secureTarget(ctx context.Context, except *member) (*member, error) {
	target := a.preferredReplica(except)
	for _, m := range a.members {
		if m.conn != nil && m != except && m != target {
			if err := a.pause(ctx, m); err != nil {
				return nil, err
			}
		}
	}
	for start := boottime.Now(); target != nil && boottime.Since(start) < catchUpTimeout && ctx.Err() == nil; time.Sleep(pollInterval) {
		if IsSafeTarget(a.replicas(except), target.ID) {
			break
		}
		if err := a.runControl(ctx, target, a.s.cfg.Control.Status); err != nil {
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
		a.log.WithFields(fields).Warn("no target")
		return nil, errkind.New(errkind.NoPrimary, "no replica is known to hold all commits")
	}
	a.log.WithFields(fields).WithField("backend_server", target.ID).Info("target chosen")
	return target, nil
}

// preferredReplica returns the furthest replica. Among equals it is the one that an earlier order
// names, which may still be carried out.
func (a *attempt) preferredReplica(except *member) *member {
	best := a.member(ChooseTarget(a.replicas(except)))
	for _, id := range a.lease.pendingTargets {
		p := a.member(id)
		if best != nil && p != nil && p != except && p.conn != nil && p.status.Received.AtLeast(best.status.Received) {
			return p
		}
	}
	return best
}

// promote orders the promotion and, once the target leads, lets the others receive
// again. An order that was sent has to be settled, so it has its own time. A primary that
// has stepped down gets the lead back if the order is refused.
func (a *attempt) promote(target, steppedDown *member) error {
	if err := a.checkHoldsAcknowledged(target); err != nil {
		return a.abort(err)
	}
	ctx, cancel := a.settleContext()
	defer cancel()
	err := a.orderPromotion(ctx, target.ID)
	if errkind.Is(err, errkind.Fenced) && steppedDown != nil && a.s.writeRow(ctx, a.lease, a.lease.record) == nil {
		// No other steward has the row, so the target does not run.
		a.log.WithField("backend_server", target.ID).Warn("order refused; the primary gets the lead back")
		target = steppedDown
		err = a.orderPromotion(ctx, target.ID)
	}
	if err != nil {
		// The order may still be carried out: the others stay paused, and the row
		// tells the next steward.
		return err
	}
	a.log.WithField("backend_server", target.ID).Info("promoted")
	a.t.OnPromoted(target.ID)
	if !a.hasUnresumedMember() {
		return a.s.markFinished(ctx, a.lease)
	}
	if err := a.s.markOrdered(ctx, a.lease); err != nil {
		a.log.WithError(err).Warn("order was not noted")
	}
	if !a.awaitPrimary(ctx, target) {
		return errkind.New(errkind.NoPrimary, "%s was promoted and does not lead; the others stay paused", target.ID)
	}
	a.resume(ctx, a.mayNeedResume)
	if a.hasUnresumedMember() {
		return errkind.New(errkind.Unreachable, "a replica stays paused")
	}
	return a.s.markFinished(ctx, a.lease)
}

// checkHoldsAcknowledged checks the target against what VMs have seen acknowledged: the group
// may have servers that nobody has listed yet.
func (a *attempt) checkHoldsAcknowledged(target *member) error {
	if at := a.acknowledged(); !target.status.Received.AtLeast(at) {
		return errkind.New(errkind.NoPrimary, "%s has received %s, and %s is acknowledged", target.ID, target.status.Received, at)
	}
	return nil
}

func (a *attempt) hasUnresumedMember() bool {
	for _, m := range a.members {
		if m.pauseSent && !m.replaced {
			return true
		}
	}
	return false
}

// orderPromotion sends the order until it is answered, each time with a higher token: one that
// was not answered may be carried out late, until a newer one is.
func (a *attempt) orderPromotion(ctx context.Context, target string) error {
	for {
		if err := a.s.writeNextToken(ctx, a.lease, target); err != nil {
			return err
		}
		log := a.log.WithFields(logrus.Fields{"backend_server": target, "token": a.lease.record.Token})
		if err := a.s.renewLease(ctx, a.lease); err != nil {
			return err
		}
		call, cancel := context.WithTimeout(ctx, orderTimeout)
		err := a.s.cfg.Promoter.Promote(call, a.t.Group, target, a.s.cfg.VM, a.lease.record.Token)
		cancel()
		switch {
		case err == nil:
			log.Info("order answered")
			return nil
		case errkind.Is(err, errkind.Fenced):
			return err
		}
		log.WithError(err).Warn("promotion was not answered")
		select {
		case <-ctx.Done():
			return err
		case <-time.After(pollInterval):
		}
	}
}

// awaitPrimary waits until the target leads. Until then the old primary may go on, and a
// replica that receives again could let it acknowledge what the target lacks.
func (a *attempt) awaitPrimary(ctx context.Context, target *member) bool {
	for ctx.Err() == nil {
		if a.runControl(ctx, target, a.s.cfg.Control.Status) == nil && target.status.Primary {
			return true
		}
		time.Sleep(pollInterval)
	}
	return false
}

// abort ends a change that has ordered nothing: the replicas receive again. If an
// earlier order may still be carried out, only the server that it names does; if several
// may, none. The change stays unfinished as long as a replica is paused.
func (a *attempt) abort(cause error) error {
	ctx, cancel := a.settleContext()
	defer cancel()
	if len(a.lease.pendingTargets) > 0 {
		if len(a.lease.pendingTargets) == 1 {
			a.resume(ctx, func(m *member) bool { return m.ID == a.lease.pendingTargets[0] && a.mayNeedResume(m) })
		}
		return cause
	}
	a.resume(ctx, a.mayNeedResume)
	if a.hasUnresumedMember() || slices.ContainsFunc(a.members, a.mayBePausedUnreachable) {
		return cause
	}
	a.lease.record.Target = a.otherPrimary
	if err := a.s.markFinished(ctx, a.lease); err != nil {
		a.log.WithError(err).Warn("lease was not given back")
	}
	return cause
}
