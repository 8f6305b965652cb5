package statechart

import "github.com/juju/errors"

// Cursor interprets a chart by a lookup in its table. It follows the chart as
// Machine does, without an allocation for each event, and serves where events
// come with each statement. One goroutine owns it.
type Cursor struct {
	chart *Chart
	state string
}

// Cursor returns a cursor in the chart's initial state.
func (c *Chart) Cursor() Cursor { return Cursor{chart: c, state: c.Initial} }

// State returns the present state.
func (c *Cursor) State() string { return c.state }

// Fire takes the event and returns the actions that its transition names. An
// ignored event returns none. An event that the state does not know is an error.
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
	return nil, errors.Errorf("chart %s: state %s does not know event %s", c.chart.Name, c.state, event)
}
