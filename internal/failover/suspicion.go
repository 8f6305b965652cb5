package failover

import (
	"strconv"
	"time"
)

// ballot collects the views of other stewards in the state confirming.
type ballot struct {
	round uint64
	asked time.Time
	views map[string]DomainView // by VM
}

// tickSuspect waits until the silence justifies asking others, longer for a
// higher rank, and until this steward could fence a majority.
func (s *Steward) tickSuspect() {
	if !s.silent() {
		s.fire(eventPrimaryProved)
		return
	}
	wait := s.config.Settings.DeposeAfter + time.Duration(s.watch.rank)*s.config.Settings.RankDelay
	if s.silence() >= wait && !s.now().Before(s.watch.retryAt) && s.majorityReachable() {
		s.fire(eventSuspicionRipe)
	}
}

func (s *Steward) askViews() {
	s.votes = ballot{round: s.votes.round, views: map[string]DomainView{}}
	s.ask()
}

// ask sends the question. The answers to every round since the state was
// entered count; a newer answer of a VM replaces its older one.
func (s *Steward) ask() {
	s.votes.round++
	s.votes.asked = s.now()
	s.emit(AskViews{Round: s.votes.round})
}

func (s *Steward) viewAnswered(e ViewAnswered) {
	if _, state := s.State(); state != stateConfirming || e.Round != s.votes.round {
		return
	}
	s.votes.views[e.View.VM] = e.View
	s.watch.maxFence = max(s.watch.maxFence, e.View.MaxFence)
	s.countVotes()
}

func (s *Steward) tickConfirming() {
	switch {
	case !s.silent():
		s.fire(eventPrimaryProved)
		return
	case s.inState() >= s.config.Settings.ViewTimeout:
		s.fire(eventTimedOut)
		return
	case s.now().Sub(s.votes.asked) >= s.config.Settings.ViewRetry:
		s.ask()
	}
	s.countVotes()
}

// countVotes decides once the views suffice. The steward's own view is one of them.
func (s *Steward) countVotes() {
	views := []DomainView{s.DomainView()}
	for _, v := range s.votes.views {
		views = append(views, v)
	}
	switch s.policy.decide(views, len(s.watch.domains), s.config.Settings.SuspectAfter) {
	case verdictDepose:
		s.note("primary_deposed", map[string]string{
			"primary": s.watch.proof.Primary, "term": strconv.FormatUint(s.watch.proof.Term, 10),
			"silence": s.silence().String(),
		})
		s.fire(eventViewsAgree)
	case verdictRefuse:
		s.fire(eventViewsRefuse)
	}
}
