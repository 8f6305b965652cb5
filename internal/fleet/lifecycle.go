package fleet

import (
	"slices"

	"chicoryline/internal/statechart"
)

// Events of the state chart member.ini.
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

// actionSpread is the chart action that queues the member's record for gossip.
const actionSpread = "spread"

type transition struct {
	target State
	spread bool
}

// lifecycle is the chart as a lookup table by state and event. With 1,500 members, a
// statechart.Machine for each would use most of a node's memory budget for control
// data.
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

// fire applies an event of the chart to the member and records the change.
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
