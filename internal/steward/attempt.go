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
	// found is another server that turned out to lead.
	found string
	// settle gives the time in which what was begun is brought to an end.
	settle func() (context.Context, context.CancelFunc)
}

func (a *attempt) close() {
	for _, m := range a.members {
		m.hangUp()
	}
}

func (a *attempt) acknowledged() position.Position {
	if a.t.Acknowledged == nil {
		return position.Position{}
	}
	return a.t.Acknowledged()
}

// carryOut changes the primary, or settles what an earlier change has left.
func (a *attempt) carryOut(ctx context.Context) error {
	leader := a.leader()
	if p := a.member(a.t.Primary); p != nil && p.isThere() && (a.t.Reason == Silent || p.conn == nil) {
		return a.giveUp(a.primaryAnswers())
	}
	if leader == nil && a.t.Reason == Unfinished {
		// What was left paused stays so: a primary out of reach may live.
		return errkind.New(errkind.NoPrimary, "no server in reach leads")
	}
	if leader == nil {
		target, err := a.takeOver(ctx)
		if err != nil {
			return a.giveUp(err)
		}
		return a.promote(target, nil)
	}
	if err := a.fenceOrders(ctx, leader); err != nil {
		return a.giveUp(err)
	}
	switch {
	case leader.ID != a.t.Primary, leader.unlisted, a.t.Reason == Missing:
		if !leader.unlisted {
			a.found = leader.ID
			a.t.Done(leader.ID)
		}
		return a.giveUp(errkind.New(errkind.Conflict, "%s leads", leader.ID))
	case a.t.Reason == Unfinished:
		return a.giveUp(nil)
	case a.t.Reason == CommitStuck && a.heal(ctx, leader):
		a.t.Answered()
		return a.giveUp(errkind.New(errkind.Conflict, "a replica of %s receives again", leader.ID))
	}
	target, err := a.handOver(ctx, leader)
	if err != nil {
		return a.giveUp(err)
	}
	return a.promote(target, leader)
}

// fenceOrders makes sure that no order of an earlier steward takes effect from now on.
// An order for the primary changes nothing, and its token fences the older ones. One of
// those may have been carried out just before: its server leads then until the primary
// is back, and acknowledges nothing, as the others are paused beyond its term.
func (a *attempt) fenceOrders(ctx context.Context, leader *member) error {
	if !slices.ContainsFunc(a.lease.pending, func(id string) bool { return id != leader.ID }) {
		a.lease.pending = nil
		return nil
	}
	if n := a.unreached(ctx); n > 1 || n == 1 && !a.pendingIsUnreached(ctx) {
		return errkind.New(errkind.NoPrimary, "orders for %v may still be carried out, and %d servers are out of reach", a.lease.pending, n)
	}
	for _, m := range a.members {
		if m.conn != nil && m != leader {
			if err := a.pause(ctx, m); err != nil {
				return err
			}
		}
	}
	if err := a.order(ctx, leader.ID); err != nil {
		return err
	}
	time.Sleep(ExpectedPromotion)
	if !a.leads(ctx, leader) {
		return errkind.New(errkind.NoPrimary, "%s does not lead after the order that fences older ones", leader.ID)
	}
	a.lease.pending = nil
	if err := a.s.ordered(ctx, a.lease); err != nil {
		return err
	}
	a.resume(ctx, a.leftPaused)
	return nil
}

// pendingIsUnreached tells that a server that an open order names is out of reach. If it
// leads by now it acknowledges nothing, while those in reach are paused.
func (a *attempt) pendingIsUnreached(ctx context.Context) bool {
	for _, id := range a.lease.pending {
		if m := a.member(id); m != nil && m.conn == nil && !a.isGone(ctx, m) {
			return true
		}
	}
	return false
}

// heal lets the replicas of a primary that answers receive again and reports whether
// one of them then has all that the primary has.
//
// Load pattern: a steward that has paused the replicas is frozen, or the store fails
// it. Commits get no answer, though the primary is well.
func (a *attempt) heal(ctx context.Context, leader *member) bool {
	a.resume(ctx, func(m *member) bool { return m.conn != nil })
	return a.awaitReplica(ctx, leader.status.Received, leader) != nil
}

// awaitReplica waits until a replica has the position; it prefers one that stays.
func (a *attempt) awaitReplica(ctx context.Context, at position.Position, but *member) *member {
	for start := boottime.Now(); ; time.Sleep(pollPause) {
		var complete []Replica
		for _, r := range a.replicas(but) {
			if r.Received.AtLeast(at) && !a.member(r.ID).unlisted {
				complete = append(complete, r)
			}
		}
		if len(complete) > 0 {
			return a.member(Choose(complete))
		}
		if boottime.Since(start) >= catchUpTime || ctx.Err() != nil {
			return nil
		}
		a.poll(ctx, but)
	}
}

// poll asks all replicas in reach again, side by side.
func (a *attempt) poll(ctx context.Context, but *member) {
	done := make(chan struct{}, len(a.members))
	n := 0
	for _, m := range a.members {
		if m.conn == nil || m == but {
			continue
		}
		n++
		go func() {
			defer func() { done <- struct{}{} }()
			if err := a.ask(ctx, m, a.s.cfg.Control.Status); err != nil {
				a.log.WithError(err).WithField("backend_server", m.ID).Warn("server got out of reach")
			}
		}()
	}
	for range n {
		<-done
	}
}

// handOver takes the lead from a primary that answers and returns its successor. A
// primary that has stepped down acknowledges nothing more, and its log holds all that
// was acknowledged: a replica that has the same is complete, whichever other servers
// the group has.
func (a *attempt) handOver(ctx context.Context, leader *member) (*member, error) {
	if a.awaitReplica(ctx, leader.status.Received, leader) == nil && !(a.t.Reason == Leaving && a.heal(ctx, leader)) {
		if a.t.Reason == Leaving || a.unreached(ctx) > 0 || !a.witnessed(leader.status.Received.Term) {
			return nil, errkind.New(errkind.NoPrimary, "no replica has all that primary %s has", leader.ID)
		}
	}
	a.progress()
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
	if target := a.awaitReplica(ctx, leader.status.Received, leader); target != nil {
		return target, nil
	}
	a.reach(ctx)
	if a.unreached(ctx) == 0 {
		target, err := a.secure(ctx, leader)
		time.Sleep(newsTime - boottime.Since(steppedDown))
		if err == nil && !a.witnessed(leader.status.Received.Term) {
			err = errkind.New(errkind.NoPrimary, "a VM is silent that may have seen commits acknowledged")
		}
		if err == nil {
			err = a.holdsAcknowledged(target)
		}
		if err == nil {
			return target, nil
		}
		a.log.WithError(err).Warn("the primary gets the lead back")
	}
	return leader, nil
}

// takeOver returns the successor of a primary that is out of reach. A server that is out
// of reach as well may be the only one with an acknowledged commit, or receive more.
func (a *attempt) takeOver(ctx context.Context) (*member, error) {
	if n := a.unreached(ctx); n > 0 {
		return nil, errkind.New(errkind.NoPrimary, "%d servers beside the primary are out of reach", n)
	}
	answers := a.askPrimaryAgain(ctx)
	target, err := a.secure(ctx, nil)
	if <-answers {
		return nil, a.primaryAnswers()
	}
	if err != nil {
		return nil, err
	}
	for _, m := range a.members {
		covered := m.FoundGone && target.status.Received.AtLeast(m.Position)
		if m.gone && !covered && !a.witnessed(target.status.Received.Term) {
			return nil, errkind.New(errkind.NoPrimary, "%s is gone and may have held commits that %s lacks", m.ID, target.ID)
		}
	}
	a.progress()
	return a.outwaitLead(ctx, target)
}

// outwaitLead returns the successor once no VM can rest on a proof that the primary leads,
// which it cannot be told: while no replica receives, none is made. A primary behind a
// partition goes on answering reads, and VMs beside it sent them until then.
func (a *attempt) outwaitLead(ctx context.Context, target *member) (*member, error) {
	if a.s.cfg.LeadTime == 0 {
		return target, nil
	}
	if !target.paused {
		if err := a.pause(ctx, target); err != nil {
			return nil, err
		}
		target = a.prefer(nil)
		if !Safe(a.replicas(nil), target.ID) {
			return nil, errkind.New(errkind.NoPrimary, "%s lacks commits that another replica received meanwhile", target.ID)
		}
	}
	select {
	case <-ctx.Done():
		return nil, errkind.New(errkind.NoPrimary, "no time was left to wait for the end of the primary's lead")
	case <-time.After(a.s.cfg.LeadTime):
		return target, nil
	}
}

// askPrimaryAgain tells whether a primary that was out of reach answers now: a partition
// may have ended since.
func (a *attempt) askPrimaryAgain(ctx context.Context) <-chan bool {
	answers := make(chan bool, 1)
	p := a.member(a.t.Primary)
	if p == nil || p.conn != nil {
		answers <- false
		return answers
	}
	go func() {
		again := &member{Server: p.Server}
		defer again.hangUp()
		if err := a.ask(ctx, again, a.s.cfg.Control.Status); err != nil {
			a.log.WithError(err).WithField("backend_server", p.ID).Info("primary asked again")
		}
		answers <- again.isThere()
	}()
	return answers
}

func (a *attempt) primaryAnswers() error {
	if a.t.Reason == Silent {
		a.t.Answered()
	}
	return errkind.New(errkind.Conflict, "primary %s answers", a.t.Primary)
}

// witnessed reports whether the position that is known to be acknowledged is of the term
// and covers all that was acknowledged.
func (a *attempt) witnessed(term uint64) bool {
	return a.t.Witnessed != nil && a.acknowledged().Term == term && a.t.Witnessed()
}

func (a *attempt) progress() {
	if a.t.Progress != nil {
		a.t.Progress(ExpectedPromotion)
	}
}

// secure stops the replicas and returns the one that holds every commit that may have
// been acknowledged. The target goes on receiving as long as it can catch up, so that
// a primary that lives can go on as well.
func (a *attempt) secure(ctx context.Context, but *member) (*member, error) {
	target := a.prefer(but)
	for _, m := range a.members {
		if m.conn != nil && m != but && m != target {
			if err := a.pause(ctx, m); err != nil {
				return nil, err
			}
		}
	}
	for start := boottime.Now(); target != nil && boottime.Since(start) < catchUpTime && ctx.Err() == nil; time.Sleep(pollPause) {
		if Safe(a.replicas(but), target.ID) {
			break
		}
		if err := a.ask(ctx, target, a.s.cfg.Control.Status); err != nil {
			return nil, err
		}
	}
	if target != nil && !Safe(a.replicas(but), target.ID) {
		if err := a.pause(ctx, target); err != nil {
			return nil, err
		}
		target = a.prefer(but)
	}
	fields := logrus.Fields{"term": a.nextTerm() - 1, "acknowledged": a.acknowledged().String()}
	for _, r := range a.replicas(but) {
		fields["received_"+r.ID] = r.Received.String()
	}
	if target == nil || target.unlisted || !Safe(a.replicas(but), target.ID) {
		a.log.WithFields(fields).Warn("no target")
		return nil, errkind.New(errkind.NoPrimary, "no replica is known to hold all commits")
	}
	a.log.WithFields(fields).WithField("backend_server", target.ID).Info("target chosen")
	return target, nil
}

// prefer returns the furthest replica. Among equals it is the one that an earlier order
// names, which may still be carried out.
func (a *attempt) prefer(but *member) *member {
	best := a.member(Choose(a.replicas(but)))
	for _, id := range a.lease.pending {
		p := a.member(id)
		if best != nil && p != nil && p != but && p.conn != nil && p.status.Received.AtLeast(best.status.Received) {
			return p
		}
	}
	return best
}

// promote orders the promotion and, once the target leads, lets the others receive
// again. An order that was sent has to be settled, so it has its own time. A primary that
// has stepped down gets the lead back if the order is refused.
func (a *attempt) promote(target, steppedDown *member) error {
	if err := a.holdsAcknowledged(target); err != nil {
		return a.giveUp(err)
	}
	ctx, cancel := a.settle()
	defer cancel()
	err := a.order(ctx, target.ID)
	if errkind.Is(err, errkind.Fenced) && steppedDown != nil && a.s.write(ctx, a.lease, a.lease.record) == nil {
		// No other steward has the row, so the target does not run.
		a.log.WithField("backend_server", target.ID).Warn("order refused; the primary gets the lead back")
		target = steppedDown
		err = a.order(ctx, target.ID)
	}
	if err != nil {
		// The order may still be carried out: the others stay paused, and the row
		// tells the next steward.
		return err
	}
	a.log.WithField("backend_server", target.ID).Info("promoted")
	a.t.Done(target.ID)
	if !a.anyHeld() {
		return a.s.finish(ctx, a.lease)
	}
	if err := a.s.ordered(ctx, a.lease); err != nil {
		a.log.WithError(err).Warn("order was not noted")
	}
	if !a.leads(ctx, target) {
		return errkind.New(errkind.NoPrimary, "%s was promoted and does not lead; the others stay paused", target.ID)
	}
	a.resume(ctx, a.leftPaused)
	if a.anyHeld() {
		return errkind.New(errkind.Unreachable, "a replica stays paused")
	}
	return a.s.finish(ctx, a.lease)
}

// holdsAcknowledged checks the target against what VMs have seen acknowledged: the group
// may have servers that nobody has listed yet.
func (a *attempt) holdsAcknowledged(target *member) error {
	if at := a.acknowledged(); !target.status.Received.AtLeast(at) {
		return errkind.New(errkind.NoPrimary, "%s has received %s, and %s is acknowledged", target.ID, target.status.Received, at)
	}
	return nil
}

func (a *attempt) anyHeld() bool {
	for _, m := range a.members {
		if m.held && !m.replaced {
			return true
		}
	}
	return false
}

// order sends the order until it is answered, each time with a higher token: one that
// was not answered may be carried out late, until a newer one is.
func (a *attempt) order(ctx context.Context, target string) error {
	for {
		if err := a.s.advance(ctx, a.lease, target); err != nil {
			return err
		}
		log := a.log.WithFields(logrus.Fields{"backend_server": target, "token": a.lease.record.Token})
		if err := a.s.hold(ctx, a.lease); err != nil {
			return err
		}
		call, cancel := context.WithTimeout(ctx, orderWait)
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
		case <-time.After(pollPause):
		}
	}
}

// leads waits until the target leads. Until then the old primary may go on, and a
// replica that receives again could let it acknowledge what the target lacks.
func (a *attempt) leads(ctx context.Context, target *member) bool {
	for ctx.Err() == nil {
		if a.ask(ctx, target, a.s.cfg.Control.Status) == nil && target.status.Primary {
			return true
		}
		time.Sleep(pollPause)
	}
	return false
}

// giveUp ends a change that has ordered nothing: the replicas receive again. If an
// earlier order may still be carried out, only the server that it names does; if several
// may, none. The change stays unfinished as long as a replica is paused.
func (a *attempt) giveUp(cause error) error {
	ctx, cancel := a.settle()
	defer cancel()
	if len(a.lease.pending) > 0 {
		if len(a.lease.pending) == 1 {
			a.resume(ctx, func(m *member) bool { return m.ID == a.lease.pending[0] && a.leftPaused(m) })
		}
		return cause
	}
	a.resume(ctx, a.leftPaused)
	if a.anyHeld() || slices.ContainsFunc(a.members, a.mayBePaused) {
		return cause
	}
	a.lease.record.Target = a.found
	if err := a.s.finish(ctx, a.lease); err != nil {
		a.log.WithError(err).Warn("lease was not given back")
	}
	return cause
}
