// Package statechart loads and interprets the state charts that define the control flow
// of sessions, failover, leases and similar processes.
//
// A chart is an INI file in charts/. Its [chart] section names the chart, the
// initial state, the final states and all events. Each [state NAME] section holds
// one line per event, "event = target" or "event = target / action, action", and an
// "ignore" line with the events that have no effect in the state. Parse rejects a
// chart with an unreachable state, an unknown event or target, or a non-final state
// that does not list every event.
package statechart

import (
	"context"
	"embed"
	"path"
	"slices"
	"sort"
	"strings"

	"github.com/juju/errors"
	"github.com/qmuntal/stateless"
	"gopkg.in/ini.v1"
)

//go:embed charts/*.ini
var files embed.FS

// Transition is one line of a chart: the target state of an event and the names of the
// actions that the caller of Fire has to execute.
type Transition struct {
	Event   string
	Target  string
	Actions []string
}

// Chart is a validated chart. It is immutable and safe for concurrent use.
type Chart struct {
	Name    string
	Initial string
	Final   []string
	Events  []string

	states      []string
	transitions map[string]map[string]Transition
	ignored     map[string][]string
}

// Names returns the names of the embedded charts in alphabetical order.
func Names() []string {
	entries, err := files.ReadDir("charts")
	if err != nil {
		return nil
	}
	var names []string
	for _, e := range entries {
		names = append(names, strings.TrimSuffix(e.Name(), ".ini"))
	}
	return names
}

// Load parses and validates the embedded chart with the name.
func Load(name string) (*Chart, error) {
	data, err := files.ReadFile(path.Join("charts", name+".ini"))
	if err != nil {
		return nil, errors.Annotatef(err, "chart %s", name)
	}
	return Parse(data)
}

// MustLoad is like Load but panics on an error.
func MustLoad(name string) *Chart {
	c, err := Load(name)
	if err != nil {
		panic(err)
	}
	return c
}

// Parse parses and validates a chart file.
func Parse(data []byte) (*Chart, error) {
	file, err := ini.LoadSources(ini.LoadOptions{SkipUnrecognizableLines: false}, data)
	if err != nil {
		return nil, errors.Annotate(err, "chart file")
	}
	head := file.Section("chart")
	c := &Chart{
		Name:        head.Key("name").String(),
		Initial:     head.Key("initial").String(),
		Final:       strings.Fields(head.Key("final").String()),
		Events:      strings.Fields(head.Key("events").String()),
		transitions: map[string]map[string]Transition{},
		ignored:     map[string][]string{},
	}
	for _, section := range file.Sections() {
		name, ok := strings.CutPrefix(section.Name(), "state ")
		if !ok {
			continue
		}
		c.addState(name, section)
	}
	if err := c.check(); err != nil {
		return nil, errors.Annotatef(err, "chart %s", c.Name)
	}
	return c, nil
}

func (c *Chart) addState(name string, section *ini.Section) {
	c.states = append(c.states, name)
	c.transitions[name] = map[string]Transition{}
	for _, key := range section.Keys() {
		if key.Name() == "ignore" {
			c.ignored[name] = strings.Fields(key.String())
			continue
		}
		target, actions, _ := strings.Cut(key.String(), "/")
		t := Transition{Event: key.Name(), Target: strings.TrimSpace(target)}
		for _, a := range strings.Split(actions, ",") {
			if a = strings.TrimSpace(a); a != "" {
				t.Actions = append(t.Actions, a)
			}
		}
		c.transitions[name][key.Name()] = t
	}
}

func (c *Chart) check() error {
	if c.Name == "" || !slices.Contains(c.states, c.Initial) {
		return errors.Errorf("no name or no initial state")
	}
	for _, f := range c.Final {
		if !slices.Contains(c.states, f) {
			return errors.Errorf("final state %s does not exist", f)
		}
	}
	for _, state := range c.states {
		if err := c.checkState(state); err != nil {
			return err
		}
	}
	return c.checkReachable()
}

func (c *Chart) checkState(state string) error {
	for event, t := range c.transitions[state] {
		if !slices.Contains(c.Events, event) {
			return errors.Errorf("state %s: unknown event %s", state, event)
		}
		if !slices.Contains(c.states, t.Target) {
			return errors.Errorf("state %s: event %s leads to unknown state %s", state, event, t.Target)
		}
	}
	for _, event := range c.ignored[state] {
		if !slices.Contains(c.Events, event) {
			return errors.Errorf("state %s: unknown event %s in ignore", state, event)
		}
	}
	if slices.Contains(c.Final, state) {
		return nil
	}
	for _, event := range c.Events {
		if _, ok := c.transitions[state][event]; !ok && !slices.Contains(c.ignored[state], event) {
			return errors.Errorf("state %s: no transition for event %s", state, event)
		}
	}
	return nil
}

func (c *Chart) checkReachable() error {
	seen := map[string]bool{c.Initial: true}
	queue := []string{c.Initial}
	for len(queue) > 0 {
		state := queue[0]
		queue = queue[1:]
		for _, t := range c.transitions[state] {
			if !seen[t.Target] {
				seen[t.Target] = true
				queue = append(queue, t.Target)
			}
		}
	}
	for _, state := range c.states {
		if !seen[state] {
			return errors.Errorf("state %s cannot be reached", state)
		}
	}
	return nil
}

// States returns the states in the order of the file.
func (c *Chart) States() []string { return slices.Clone(c.states) }

// Transitions returns the transitions out of the state, sorted by event.
func (c *Chart) Transitions(state string) []Transition {
	var list []Transition
	for _, t := range c.transitions[state] {
		list = append(list, t)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Event < list[j].Event })
	return list
}

// Machine interprets one chart. It is not safe for concurrent use.
type Machine struct {
	chart   *Chart
	machine *stateless.StateMachine
}

// Start returns a machine in the chart's initial state.
func (c *Chart) Start() *Machine { return c.StartAt(c.Initial) }

// StartAt returns a machine in the given state of the chart.
func (c *Chart) StartAt(state string) *Machine {
	sm := stateless.NewStateMachine(state)
	for _, s := range c.states {
		conf := sm.Configure(s)
		for _, t := range c.transitions[s] {
			if t.Target == s {
				conf.PermitReentry(t.Event)
				continue
			}
			conf.Permit(t.Event, t.Target)
		}
		for _, event := range c.ignored[s] {
			conf.Ignore(event)
		}
	}
	return &Machine{chart: c, machine: sm}
}

// State returns the current state.
func (m *Machine) State() string { return m.machine.MustState().(string) }

// Done reports whether the current state is final.
func (m *Machine) Done() bool { return slices.Contains(m.chart.Final, m.State()) }

// Fire processes the event and returns the actions of its transition. An ignored event
// returns none. An event that the current state neither handles nor ignores is an error.
func (m *Machine) Fire(event string) ([]string, error) {
	transition, known := m.chart.transitions[m.State()][event]
	if err := m.machine.FireCtx(context.Background(), event); err != nil {
		return nil, errors.Annotatef(err, "chart %s", m.chart.Name)
	}
	if !known {
		return nil, nil
	}
	return transition.Actions, nil
}
