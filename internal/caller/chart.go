package caller

import (
	"chicoryline/internal/errkind"
	"chicoryline/internal/statechart"
)

// sessionChart is the statechart of a caller's connection.
var sessionChart = statechart.MustLoad("session")

// fire passes the event to the statechart and runs the resulting actions. err is the error
// that the action "tell" sends to the caller.
func (c *conn) fire(event string, err error) {
	if c.closed() {
		return
	}
	actions, chartErr := c.chart.Fire(event)
	if chartErr != nil {
		c.server.cfg.Log.WithError(chartErr).WithField("event", "chart_refused").Error("caller")
		return
	}
	if onState := c.server.onState; onState != nil {
		onState(c.chart.State())
	}
	for _, action := range actions {
		switch action {
		case "end_transaction":
			c.endTransaction()
		case "tell":
			c.sendFatal(err)
		}
	}
}

func (c *conn) closed() bool { return c.chart.State() == "closed" }

// txStatus returns the transaction status that ReadyForQuery reports.
func (c *conn) txStatus() byte {
	switch c.chart.State() {
	case "in_transaction", "continuing":
		return 'T'
	case "failed_transaction", "continuing_failed":
		return 'E'
	}
	return 'I'
}

// answerEvent returns the statechart event for an answer that ends with the transaction
// status.
func answerEvent(status byte) string {
	switch status {
	case 'I':
		return "answered_idle"
	case 'E':
		return "answered_failed"
	}
	return "answered_open"
}

// errorEvent returns the statechart event for a request that ended with the error. Only an
// error of the pool owner's queue, which precedes execution, leaves an open transaction
// unchanged.
func errorEvent(err error) string {
	switch errkind.KindOf(err) {
	case errkind.QueueFull, errkind.QueueTimeout:
		return "error_not_run"
	}
	return "error_lost"
}

// endTransaction aborts the connection's open transaction or running request at the pool
// owner.
func (c *conn) endTransaction() {
	c.mu.Lock()
	pin := c.txPin
	if pin == nil {
		pin = c.runningPin
	}
	c.txPin, c.runningPin = nil, nil
	c.mu.Unlock()
	if pin != nil {
		c.server.cfg.Router.Abort(*pin, c.id)
	}
}
