package failover

import (
	"strconv"
	"time"

	"chicoryline/internal/backend"
	"chicoryline/internal/errkind"
)

// attempt is one promotion under one term. Its target never changes: if the promotion may
// have reached an instance, the term is abandoned and never used for another instance.
type attempt struct {
	term     uint64
	fenced   map[string]backend.Status
	target   string
	followed map[string]bool
	lastSent map[string]time.Time // time of the last command to each instance
}

// sendCommand sends the command unless the instance was sent one less than
// CommandRetryInterval ago.
func (s *Steward) sendCommand(c Command) {
	if sent, ok := s.attempt.lastSent[c.Instance]; ok && s.now().Sub(sent) < s.config.Settings.CommandRetryInterval {
		return
	}
	s.attempt.lastSent[c.Instance] = s.now()
	s.emit(c)
}

func (s *Steward) fenceInstances() {
	s.attempt = attempt{term: s.claim.term, fenced: map[string]backend.Status{}, lastSent: map[string]time.Time{}}
	s.sendFences()
}

func (s *Steward) sendFences() {
	for _, i := range s.config.Group.Instances {
		if _, ok := s.attempt.fenced[i.ID]; !ok {
			s.sendCommand(Command{Op: OpFence, Instance: i.ID, Term: s.attempt.term})
		}
	}
}

func (s *Steward) tickFencing() {
	switch {
	case s.isOvertaken():
		s.fire(eventOvertaken)
	case s.timeInState() >= s.config.Settings.FenceTimeout:
		s.fire(eventTimedOut)
	default:
		s.sendFences()
		s.countFenced()
	}
}

// isOvertaken reports whether there is a leader proof for a higher term.
func (s *Steward) isOvertaken() bool { return s.observed.proof.Term > s.attempt.term }

// commandAnswered handles the answer to a command. Answers to commands of another term are
// ignored.
func (s *Steward) commandAnswered(e CommandAnswered) {
	s.observed.maxFence = max(s.observed.maxFence, e.Status.Fence)
	_, state := s.State()
	if e.Term != s.attempt.term || state != stateFencing && state != statePromoting && state != stateFollowing {
		return
	}
	if errkind.Is(e.Err, errkind.Fenced) || e.Err == nil && e.Status.Fence > e.Term {
		s.fire(eventOvertaken)
		return
	}
	if e.Err != nil {
		return
	}
	switch {
	case e.Op == OpFence && state == stateFencing:
		s.attempt.fenced[e.Instance] = e.Status
		s.countFenced()
	case e.Op == OpPromote && state == statePromoting && e.Instance == s.attempt.target:
		s.markPromoted()
	case e.Op == OpFollow && state == stateFollowing:
		s.attempt.followed[e.Instance] = true
		s.countFollowed()
	}
}

// countFenced chooses the instance to promote once a majority is fenced. A planned
// switchover waits for its target during the first half of FenceTimeout.
func (s *Steward) countFenced() {
	a := &s.attempt
	if len(a.fenced) < s.policy.fenceQuorum(len(s.config.Group.Instances)) {
		return
	}
	preferred := ""
	if s.handover != nil {
		preferred = s.handover.target
		_, answered := a.fenced[preferred]
		if !answered && s.timeInState() < s.config.Settings.FenceTimeout/2 {
			return
		}
	}
	a.target = s.policy.choose(s.config.Group.Instances, s.leaving, a.fenced, preferred)
	s.fire(eventMajorityFenced)
}

func (s *Steward) promote() {
	clear(s.attempt.lastSent)
	s.sendPromote()
}

func (s *Steward) sendPromote() {
	s.sendCommand(Command{Op: OpPromote, Instance: s.attempt.target, Term: s.attempt.term})
}

func (s *Steward) tickPromoting() {
	switch {
	case s.isOvertaken():
		s.fire(eventOvertaken)
	case s.observed.proved && s.observed.proof.Term == s.attempt.term:
		s.markPromoted()
	case s.timeInState() >= s.config.Settings.PromoteTimeout:
		s.fire(eventTimedOut)
	default:
		s.sendPromote()
	}
}

// markPromoted restarts the silence timer, because there is no leader proof of the new
// primary yet.
func (s *Steward) markPromoted() {
	s.observed.silenceStart = s.now()
	s.emit(Refresh{})
	s.recordEvent("promoted", map[string]string{
		"primary": s.attempt.target,
		"term":    strconv.FormatUint(s.attempt.term, 10),
	})
	s.fire(eventPromoted)
}

func (s *Steward) followPrimary() {
	s.attempt.followed = map[string]bool{s.attempt.target: true}
	clear(s.attempt.lastSent)
	s.sendFollows()
}

func (s *Steward) sendFollows() {
	for _, i := range s.config.Group.Instances {
		if !s.attempt.followed[i.ID] {
			s.sendCommand(Command{Op: OpFollow, Instance: i.ID, Term: s.attempt.term, Primary: s.attempt.target})
		}
	}
}

func (s *Steward) tickFollowing() {
	switch {
	case s.isOvertaken():
		s.fire(eventOvertaken)
	case s.timeInState() >= s.config.Settings.FollowTimeout:
		s.fire(eventTimedOut) // redirectInstances handles the remaining instances
	default:
		s.sendFollows()
		s.countFollowed()
	}
}

func (s *Steward) countFollowed() {
	if len(s.attempt.followed) == len(s.config.Group.Instances) {
		s.fire(eventFollowed)
	}
}
