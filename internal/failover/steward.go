// Package failover changes the primary of a database group: by a failover when the primary
// becomes unavailable, and by a planned switchover, which the RPCs, charts and timeline
// events call handover.
//
// A Steward is the failover coordinator of a group. It is a state machine without I/O that
// takes typed events and returns typed effects; the charts failover.ini and handover.ini
// define its transitions. A Runner carries out the effects. Several stewards may be active
// for one group at the same time. Terms are unique because they are reserved in the
// platform table, and acknowledged writes are safe because a promotion needs a majority of
// the instances fenced at its term. A steward that pauses or dies is therefore harmlessly
// overtaken by a higher term, and its process keeps no state that its successor needs.
package failover

import (
	"math/rand"
	"time"

	"chicoryline/internal/backend"
	"chicoryline/internal/groupview"
	"chicoryline/internal/services"
	"chicoryline/internal/statechart"
)

// Chart names.
const (
	FailoverChart = "failover"
	HandoverChart = "handover"
)

// States of the charts. The chart files define the transitions between them.
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

// Events of the charts.
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

// StewardConfig configures a Steward.
type StewardConfig struct {
	Group services.Group
	VM    services.VM
	// Incarnation is unique to this run of the process.
	Incarnation string
	Settings    Settings
	Now         func() time.Time
	Rand        *rand.Rand
}

// Steward is the failover coordinator of one group: it decides which instance is the
// primary. It is not safe for concurrent use.
type Steward struct {
	config       StewardConfig
	policy       policy
	chart        *statechart.Machine
	entered      time.Time // when the active chart entered its state
	effects      []Effect  // of the current Step
	actions      map[string]func()
	tickHandlers map[string]func()

	observed    observation
	poll        viewPoll
	claim       claim
	terms       termBlock
	attempt     attempt
	maintenance maintenance
	handover    *handover // nil if no planned switchover is in progress
	leaving     map[string]bool
}

// policy holds the rules that safety depends on. Tests replace them with faulty variants to
// show that the checks detect these.
type policy struct {
	fenceQuorum func(size int) int
	choose      func([]services.Instance, map[string]bool, map[string]backend.Status, string) string
	decide      func(views []DomainView, domains int, suspectAfter time.Duration) decision
}

// observation is what the steward currently knows about the group.
type observation struct {
	view    groupview.View
	domains []string
	rank    int
	// proof is the newest leader proof, if proved.
	proof  groupview.LeaderProof
	proved bool
	// silenceStart is when the proof was last renewed, the steward was started or it
	// promoted an instance. Pauses of the process move it forward.
	silenceStart time.Time
	lastTick     time.Time // time of the newest Tick
	// holdUntil is the earliest time of a new suspicion, retryAt that of a new attempt.
	holdUntil time.Time
	retryAt   time.Time
	maxFence  uint64
}

// NewSteward returns a steward in the initial state of the failover chart, without any
// state of earlier stewards.
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

// State returns the name of the active chart and its state.
func (s *Steward) State() (chart, state string) {
	if s.handover != nil {
		return HandoverChart, s.handover.chart.State()
	}
	return FailoverChart, s.chart.State()
}

// DomainView returns the view that is sent to other stewards in answer to AskViews.
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

// Step processes one event and returns the effects to carry out, in order.
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

// timeInState returns the time since the active chart entered its state.
func (s *Steward) timeInState() time.Duration { return s.now().Sub(s.entered) }

// fire sends the event to the active chart and runs the actions of the transition.
func (s *Steward) fire(event string) {
	chart := s.chart
	if s.handover != nil {
		chart = s.handover.chart
	}
	name, before := s.State()
	actions, err := chart.Fire(event)
	if err != nil {
		panic(err) // unreachable: charts are checked when loaded, and all callers pass chart events
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

// jitter returns base plus a random duration of at most spread.
func (s *Steward) jitter(base, spread time.Duration) time.Duration {
	return base + time.Duration(s.config.Rand.Int63n(int64(spread)+1))
}

// observe updates the state from a tick. A gap between ticks is a pause of this process and
// does not count as silence of the primary.
func (s *Steward) observe(t Tick) {
	o := &s.observed
	if gap := s.now().Sub(o.lastTick); gap > s.config.Settings.PauseThreshold {
		o.silenceStart = o.silenceStart.Add(gap)
	}
	o.lastTick = s.now()
	o.view, o.domains, o.rank = t.View, t.Domains, t.Rank
	o.maxFence = max(o.maxFence, t.View.MaxFence())
	proof, ok := t.View.Proof()
	if ok && (!o.proved || proof.Term > o.proof.Term || proof.Term == o.proof.Term && proof.Sequence > o.proof.Sequence) {
		o.proof, o.proved, o.silenceStart = proof, true, s.now()
	}
}

// silence returns the time since the leader proof was last renewed. It also starts at zero
// when this steward has promoted an instance, before the first proof of the new primary.
func (s *Steward) silence() time.Duration { return s.now().Sub(s.observed.silenceStart) }

func (s *Steward) isSilent() bool { return s.silence() >= s.config.Settings.SuspectAfter }

// canFenceMajority reports whether enough instances are reachable to fence a majority.
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
