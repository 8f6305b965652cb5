package statechart

import "github.com/juju/errors"

// Cursor interprets a chart by lookups in its transition table. It behaves like Machine
// but does not allocate memory per event, so it is used where every statement fires
// events. It is not safe for concurrent use.
type Cursor struct {
	chart *Chart
	state string
}

// Cursor returns a cursor in the chart's initial state.
func (c *Chart) Cursor() Cursor { return Cursor{chart: c, state: c.Initial} }

// State returns the current state.
func (c *Cursor) State() string { return c.state }

// Fire processes the event and returns the actions of its transition. An ignored event
// returns none. An event that the current state neither handles nor ignores is an error.
func (c *Cursor) Fire(event string) ([]string, error) {
	if transition, ok := c.chart.transitions[c.state][event]; ok {
		c.state = transition.Target
		return transition.Actions, nil
	}
	for _, ignored := range c.chart.ignored[c.state] {
		if ignored == event {
			return nil, nil
		}
	}
	return nil, errors.Errorf("chart %s: state %s has no transition for event %s", c.chart.Name, c.state, event)
}
