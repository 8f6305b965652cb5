// Package failover moves the primary role of a database group: unplanned, when
// the primary falls silent, and as a planned hand-over.
//
// A Steward decides. It is plain state that takes typed events and returns
// typed effects; the charts failover.ini and handover.ini say which state
// follows which event. A Runner carries the effects out. Several stewards may
// act for one group at once: terms are unique because they are reserved in the
// platform table, and writes are safe because a promotion needs a majority of
// the instances fenced at its term. So a steward that pauses or dies is
// overtaken by a higher term and harms nothing, and its process keeps no state
// that a new one needs.
package failover

import (
	"math/rand"
	"time"

	"chicoryline/internal/backend"
	"chicoryline/internal/groupview"
	"chicoryline/internal/services"
	"chicoryline/internal/statechart"
)

// Names of the charts.
const (
	FailoverChart = "failover"
	HandoverChart = "handover"
)

// The states of the charts. The state tables of this package use them; the
// transitions are in the chart files.
const (
	stateWatching    = "watching"
	stateSuspect     = "suspect"
	stateConfirming  = "confirming"
	stateClaiming    = "claiming"
	stateReadingBack = "reading_back"
	stateFencing     = "fencing"
	statePromoting   = "promoting"
	stateFollowing   = "following"
	stateDraining    = "draining"
	stateCatchingUp  = "catching_up"
	stateDone        = "done"
	stateAborted     = "aborted"
)

// The events of the charts.
const (
	eventPrimarySilent  = "primary_silent"
	eventSuspicionRipe  = "suspicion_ripe"
	eventPrimaryProved  = "primary_proved"
	eventViewsAgree     = "views_agree"
	eventViewsRefuse    = "views_refuse"
	eventClaimed        = "claimed"
	eventDeferred       = "deferred"
	eventClaimLost      = "claim_lost"
	eventClaimUnknown   = "claim_unknown"
	eventNoTerm         = "no_term"
	eventMajorityFenced = "majority_fenced"
	eventPromoted       = "promoted"
	eventFollowed       = "followed"
	eventOvertaken      = "overtaken"
	eventTimedOut       = "timed_out"
	eventDrained        = "drained"
	eventCaughtUp       = "caught_up"
)

// StewardConfig sets up a Steward.
type StewardConfig struct {
	Group services.Group
	VM    services.VM
	// Incarnation is unique to this start of the process.
	Incarnation string
	Settings    Settings
	Now         func() time.Time
	Rand        *rand.Rand
}

// Steward decides on the primary of one group. One goroutine owns it.
type Steward struct {
	config       StewardConfig
	policy       policy
	chart        *statechart.Machine
	entered      time.Time // when the active chart entered its state
	effects      []Effect  // of the present Step
	actions      map[string]func()
	tickHandlers map[string]func()

	observed    observation
	poll        viewPoll
	claim       claim
	terms       termBlock
	attempt     attempt
	maintenance maintenance
	handover    *handover // nil without a hand-over
	leaving     map[string]bool
}

// policy holds the rules that safety rests on; tests replace them by naive ones
// to show that the checks notice.
type policy struct {
	fenceQuorum func(size int) int
	choose      func([]services.Instance, map[string]bool, map[string]backend.Status, string) string
	decide      func(views []DomainView, domains int, suspectAfter time.Duration) decision
}

// observation is what the steward knows of the group at present.
type observation struct {
	view    groupview.View
	domains []string
	rank    int
	// proof is the newest proof, renewed when it was last replaced by a newer.
	proof        groupview.LeaderProof
	proved       bool
	silenceStart time.Time
	lastTick     time.Time // the newest Tick
	// holdUntil keeps the steward from a new suspicion, retryAt from a new attempt.
	holdUntil time.Time
	retryAt   time.Time
	maxFence  uint64
}

// NewSteward returns a steward in the initial state of the failover chart. It
// knows nothing of what its predecessors did.
func NewSteward(config StewardConfig) *Steward {
	s := &Steward{
		config:  config,
		policy:  policy{fenceQuorum: backend.Majority, choose: choose, decide: decide},
		chart:   statechart.MustLoad(FailoverChart).Start(),
		entered: config.Now(),
		leaving: map[string]bool{},
	}
	s.observed.silenceStart = config.Now()
	s.observed.lastTick = config.Now()
	for _, i := range config.Group.Instances {
		s.leaving[i.ID] = i.Leaving
	}
	s.maintenance.lastFollow = map[string]time.Time{}
	s.actions = map[string]func(){
		"ask_views":       s.askViews,
		"hold_off":        s.holdOff,
		"begin_claim":     s.beginClaim,
		"read_back":       s.readBack,
		"fence_instances": s.fenceInstances,
		"promote":         s.promote,
		"follow_primary":  s.followPrimary,
		"release":         s.releaseWrites,
	}
	s.tickHandlers = map[string]func(){
		stateWatching:    s.tickWatching,
		stateSuspect:     s.tickSuspect,
		stateConfirming:  s.tickConfirming,
		stateClaiming:    s.tickClaiming,
		stateReadingBack: s.tickClaiming,
		stateFencing:     s.tickFencing,
		statePromoting:   s.tickPromoting,
		stateFollowing:   s.tickFollowing,
		stateDraining:    s.tickDraining,
		stateCatchingUp:  s.tickCatchingUp,
	}
	return s
}

// State returns the active chart and its state.
func (s *Steward) State() (chart, state string) {
	if s.handover != nil {
		return HandoverChart, s.handover.chart.State()
	}
	return FailoverChart, s.chart.State()
}

// DomainView returns what other stewards are told on AskViews.
func (s *Steward) DomainView() DomainView {
	view := DomainView{
		VM:       s.config.VM.ID,
		Domain:   s.config.VM.Domain,
		Proved:   s.observed.proved,
		Primary:  s.observed.proof.Primary,
		Term:     s.observed.proof.Term,
		Silence:  s.observed.lastTick.Sub(s.observed.silenceStart),
		MaxFence: s.observed.maxFence,
	}
	return view.aged(s.now().Sub(s.observed.lastTick), s.config.Settings.PauseThreshold)
}

// Step takes one event and returns what is to be done, in order.
func (s *Steward) Step(event Event) []Effect {
	s.effects = nil
	switch e := event.(type) {
	case Tick:
		s.observe(e)
		_, state := s.State()
		s.tickHandlers[state]()
	case ViewReceived:
		s.viewReceived(e)
	case RowRead:
		s.rowRead(e)
	case RowWritten:
		s.rowWritten(e)
	case CommandAnswered:
		s.commandAnswered(e)
	case HandoverRequested:
		s.beginHandover(e.ID, e.Target)
	case Drained:
		s.drainFinished(e)
	case LeavingChanged:
		s.setLeaving(e.Instances)
	}
	return s.effects
}

func (s *Steward) emit(e Effect) { s.effects = append(s.effects, e) }

func (s *Steward) recordEvent(kind string, fields map[string]string) {
	fields["group"] = s.config.Group.Name
	s.emit(TimelineEvent{Kind: kind, Fields: fields})
}

func (s *Steward) now() time.Time { return s.config.Now() }

// timeInState returns the time spent in the present state.
func (s *Steward) timeInState() time.Duration { return s.now().Sub(s.entered) }

// fire takes the chart event to the active chart and runs the actions that the
// chart names.
func (s *Steward) fire(event string) {
	chart := s.chart
	if s.handover != nil {
		chart = s.handover.chart
	}
	name, before := s.State()
	actions, err := chart.Fire(event)
	if err != nil {
		panic(err) // the charts are checked at load time and fire gets their events only
	}
	_, after := s.State()
	if after == before && len(actions) == 0 {
		return
	}
	s.entered = s.now()
	if event == eventTimedOut || event == eventNoTerm {
		s.observed.retryAt = s.now().Add(s.jitter(s.config.Settings.RetryDelay, s.config.Settings.RetryDelay))
	}
	s.recordEvent("steward_state", map[string]string{"chart": name, "event": event, "from": before, "to": after})
	for _, a := range actions {
		s.actions[a]()
	}
	if s.handover != nil && s.handover.chart.Done() {
		s.endHandover(before, event)
	}
}

// jitter returns base plus a random part of up to spread.
func (s *Steward) jitter(base, spread time.Duration) time.Duration {
	return base + time.Duration(s.config.Rand.Int63n(int64(spread)+1))
}

// observe takes a new view. Time without ticks is a pause of this process and
// does not count as silence of the primary.
func (s *Steward) observe(t Tick) {
	w := &s.observed
	if gap := s.now().Sub(w.lastTick); gap > s.config.Settings.PauseThreshold {
		w.silenceStart = w.silenceStart.Add(gap)
	}
	w.lastTick = s.now()
	w.view, w.domains, w.rank = t.View, t.Domains, t.Rank
	w.maxFence = max(w.maxFence, t.View.MaxFence())
	proof, ok := t.View.Proof()
	if ok && (!w.proved || proof.Term > w.proof.Term || proof.Term == w.proof.Term && proof.Sequence > w.proof.Sequence) {
		w.proof, w.proved, w.silenceStart = proof, true, s.now()
	}
}

// silence is the time since a primary was last seen to lead. A primary that was
// only promoted by this steward counts as seen once.
func (s *Steward) silence() time.Duration { return s.now().Sub(s.observed.silenceStart) }

func (s *Steward) isSilent() bool { return s.silence() >= s.config.Settings.SuspectAfter }

// canFenceMajority reports whether enough instances answer for a fencing.
func (s *Steward) canFenceMajority() bool {
	reachable := 0
	for _, i := range s.observed.view.Instances {
		if i.Reachable {
			reachable++
		}
	}
	return reachable >= s.policy.fenceQuorum(len(s.config.Group.Instances))
}

func (s *Steward) holdOff() {
	hold := s.config.Settings.HoldOff
	until := s.now().Add(s.jitter(hold, hold/2))
	if until.After(s.observed.holdUntil) {
		s.observed.holdUntil = until
	}
}
