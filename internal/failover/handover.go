package failover

import (
	"time"

	"chicoryline/internal/errkind"
	"chicoryline/internal/groupview"
	"chicoryline/internal/statechart"
)

// handover is a planned switchover in progress.
type handover struct {
	id        uint64 // of the request; 0 if the steward started it by itself
	attempt   uint64 // number of the Drain effect that holds the writes
	target    string
	from      string // primary at the start
	chart     *statechart.Machine
	drainedAt time.Time // when the drain finished
}

// beginHandover checks the target and asks the pool owners to hold new writes. It starts
// only while there is a current leader proof and no failover or switchover is in progress.
func (s *Steward) beginHandover(id uint64, target string) {
	if _, state := s.State(); state != stateWatching || !s.observed.proved || s.isSilent() {
		s.refuseHandover(id, errkind.New(errkind.NoPrimary, "group %s is in a failover or hand-over", s.config.Group.Name))
		return
	}
	target, err := s.handoverTarget(target)
	if err != nil {
		s.refuseHandover(id, err)
		return
	}
	s.handover = &handover{
		id:      id,
		attempt: s.nextCall(),
		target:  target,
		from:    s.observed.proof.Primary,
		chart:   statechart.MustLoad(HandoverChart).Start(),
	}
	s.entered = s.now()
	s.recordEvent("handover_started", map[string]string{"from": s.handover.from, "target": target})
	s.emit(Drain{Attempt: s.handover.attempt})
}

func (s *Steward) refuseHandover(id uint64, err error) {
	if id != 0 {
		s.emit(HandoverDone{ID: id, Primary: s.observed.proof.Primary, Err: err})
	}
}

// handoverTarget returns the instance to promote: the given one, or the replica with the
// highest position that is not leaving. It fails with errkind.NotFound for an unknown
// instance and errkind.NotEligible for one that is unreachable or too far behind.
func (s *Steward) handoverTarget(id string) (string, error) {
	if id != "" {
		i, ok := s.observed.view.Instance(id)
		if !ok {
			return "", errkind.New(errkind.NotFound, "instance %s", id)
		}
		if !s.isNearPrimary(i) {
			return "", errkind.New(errkind.NotEligible, "instance %s is unreachable or too far behind", id)
		}
		return id, nil
	}
	var best groupview.Instance
	for _, i := range s.observed.view.Instances {
		if i.ID == s.observed.proof.Primary || s.leaving[i.ID] || !s.isNearPrimary(i) {
			continue
		}
		if best.ID == "" || i.Status.Log.Compare(best.Status.Log) > 0 {
			best = i
		}
	}
	if best.ID == "" {
		return "", errkind.New(errkind.NotEligible, "no replica of group %s can take over", s.config.Group.Name)
	}
	return best.ID, nil
}

// isNearPrimary reports whether the instance is the primary or a reachable replica that is
// at most MaxCatchUpEntries behind it.
func (s *Steward) isNearPrimary(i groupview.Instance) bool {
	p := s.observed.proof
	if i.ID == p.Primary {
		return true
	}
	return i.Reachable && followsPrimary(i, p) && i.Status.Log.Term == p.Position.Term &&
		i.Status.Log.Offset+s.config.Settings.MaxCatchUpEntries >= p.Position.Offset
}

func (s *Steward) drainFinished(e Drained) {
	if s.handover == nil || e.Attempt != s.handover.attempt || s.handover.chart.State() != stateDraining {
		return
	}
	if e.Err != nil {
		s.fire(eventTimedOut)
		return
	}
	s.handover.drainedAt = s.now()
	s.emit(Refresh{})
	s.fire(eventDrained)
}

func (s *Steward) tickDraining() {
	switch {
	case s.isSilent():
		s.fire(eventPrimarySilent)
	case s.timeInState() >= s.config.Settings.DrainTimeout:
		s.fire(eventTimedOut)
	}
}

// tickCatchingUp waits until the target's position reaches that of the primary in a leader
// proof obtained after the drain.
func (s *Steward) tickCatchingUp() {
	p := s.observed.proof
	target, _ := s.observed.view.Instance(s.handover.target)
	switch {
	case s.isSilent():
		s.fire(eventPrimarySilent)
	case s.timeInState() >= s.config.Settings.CatchUpTimeout:
		s.fire(eventTimedOut)
	case p.At.After(s.handover.drainedAt) && target.Status.Log.AtLeast(p.Position):
		s.fire(eventCaughtUp)
	}
}

func (s *Steward) releaseWrites() { s.emit(Release{}) }

// endHandover reports the result of the switchover. From then on the failover chart is
// active again.
func (s *Steward) endHandover(state, event string) {
	h := s.handover
	s.handover = nil
	s.entered = s.now()
	done := HandoverDone{ID: h.id, Primary: s.attempt.target}
	switch {
	case h.chart.State() == stateAborted:
		done.Primary, done.Err = s.observed.proof.Primary, abortError(state, event)
	case s.attempt.target != h.target:
		done.Err = errkind.New(errkind.Conflict, "%s was promoted in place of %s", s.attempt.target, h.target)
	}
	fields := map[string]string{"from": h.from, "target": h.target, "result": h.chart.State()}
	if done.Err != nil {
		fields["error"] = done.Err.Error()
	}
	s.recordEvent("handover_ended", fields)
	if h.id != 0 {
		s.emit(done)
	}
}

// abortError returns the error for an aborted switchover. Once instances have been fenced,
// the failover chart completes the primary change, so the outcome is unknown.
func abortError(state, event string) error {
	if state == stateFencing || state == statePromoting {
		return errkind.New(errkind.OutcomeUnknown, "hand-over ended in %s by %s", state, event)
	}
	return errkind.New(errkind.NotEligible, "hand-over ended in %s by %s", state, event)
}
