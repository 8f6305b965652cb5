package failover

import (
	"strconv"
	"time"
)

// viewPoll collects the views of other stewards in the state confirming.
type viewPoll struct {
	round   uint64
	askedAt time.Time
	views   map[string]DomainView // by VM
}

// tickSuspect requests the views of other stewards once the silence has lasted for
// DeposeAfter plus the delay for this steward's rank and the steward can reach enough
// instances to fence a majority.
func (s *Steward) tickSuspect() {
	if !s.isSilent() {
		s.fire(eventPrimaryProved)
		return
	}
	wait := s.config.Settings.DeposeAfter + time.Duration(s.observed.rank)*s.config.Settings.RankDelay
	if s.silence() >= wait && !s.now().Before(s.observed.retryAt) && s.canFenceMajority() {
		s.fire(eventSuspicionRipe)
	}
}

func (s *Steward) askViews() {
	s.poll = viewPoll{round: s.poll.round, views: map[string]DomainView{}}
	s.sendAskViews()
}

// sendAskViews requests the views in a new round. Only answers of the newest round are
// accepted; views from earlier rounds are kept until the same VM's newer answer replaces
// them.
func (s *Steward) sendAskViews() {
	s.poll.round++
	s.poll.askedAt = s.now()
	s.emit(AskViews{Round: s.poll.round})
}

func (s *Steward) viewReceived(e ViewReceived) {
	if _, state := s.State(); state != stateConfirming || e.Round != s.poll.round {
		return
	}
	s.poll.views[e.View.VM] = e.View
	s.observed.maxFence = max(s.observed.maxFence, e.View.MaxFence)
	s.countVotes()
}

func (s *Steward) tickConfirming() {
	switch {
	case !s.isSilent():
		s.fire(eventPrimaryProved)
		return
	case s.timeInState() >= s.config.Settings.ViewTimeout:
		s.fire(eventTimedOut)
		return
	case s.now().Sub(s.poll.askedAt) >= s.config.Settings.ViewRetryInterval:
		s.sendAskViews()
	}
	s.countVotes()
}

// countVotes evaluates the views received so far and the steward's own.
func (s *Steward) countVotes() {
	views := []DomainView{s.DomainView()}
	for _, v := range s.poll.views {
		views = append(views, v)
	}
	switch s.policy.decide(views, len(s.observed.domains), s.config.Settings.SuspectAfter) {
	case decisionDepose:
		s.recordEvent("primary_deposed", map[string]string{
			"primary": s.observed.proof.Primary, "term": strconv.FormatUint(s.observed.proof.Term, 10),
			"silence": s.silence().String(),
		})
		s.fire(eventViewsAgree)
	case decisionRefuse:
		s.fire(eventViewsRefuse)
	}
}
