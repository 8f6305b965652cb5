package fleet

import (
	"slices"

	"chicoryline/internal/statechart"
)

// Events of the chart member.ini.
const (
	eventHeard          = "heard"
	eventLeaveAnnounced = "leave_announced"
	eventRestarted      = "restarted"
	eventToldSuspect    = "told_suspect"
	eventToldDead       = "told_dead"
	eventSilent         = "silent"
	eventExpired        = "expired"
	eventReplaced       = "replaced"
	eventDelisted       = "delisted"
)

// actionSpread queues the member's record for the next heartbeats.
const actionSpread = "spread"

type transition struct {
	target State
	spread bool
}

// lifecycle is the chart as a lookup table. A Machine for each member would
// take most of the memory that a node may spend on control at 1,500 members.
var lifecycle = loadLifecycle()

func loadLifecycle() map[State]map[string]transition {
	chart := statechart.MustLoad("member")
	table := map[State]map[string]transition{}
	for _, name := range chart.States() {
		steps := map[string]transition{}
		for _, t := range chart.Transitions(name) {
			steps[t.Event] = transition{target: parseState(t.Target), spread: slices.Contains(t.Actions, actionSpread)}
		}
		table[parseState(name)] = steps
	}
	return table
}

func parseState(name string) State {
	i := slices.Index(stateNames[:], name)
	if i < 0 {
		panic("chart member: unknown state " + name)
	}
	return State(i)
}

// fire takes an event of the member's chart.
func (t *Table) fire(m *member, event string) {
	s, ok := lifecycle[m.State][event]
	if !ok {
		return
	}
	if s.target != m.State {
		m.State, m.stateSince = s.target, t.activeTime
	}
	t.generation++
	if s.spread && !t.suppressSpread {
		t.updates.add(m.VM.ID)
	}
	t.changes = append(t.changes, Change{VM: m.VM, Incarnation: m.Incarnation, State: m.State, Event: event})
}
