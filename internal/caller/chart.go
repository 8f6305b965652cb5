package caller

import (
	"chicoryline/internal/errkind"
	"chicoryline/internal/statechart"
)

// sessionChart is the chart that every caller's connection follows.
var sessionChart = statechart.MustLoad("session")

// fire takes the event and carries out the chart's actions; err is what the
// caller is told where the chart says so.
func (c *conn) fire(event string, err error) {
	if c.closed() {
		return
	}
	actions, refused := c.chart.Fire(event)
	if refused != nil {
		c.server.cfg.Log.WithError(refused).WithField("event", "chart_refused").Error("caller")
		return
	}
	if trace := c.server.onState; trace != nil {
		trace(c.chart.State())
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

// txStatus returns the byte that ReadyForQuery reports.
func (c *conn) txStatus() byte {
	switch c.chart.State() {
	case "in_transaction", "continuing":
		return 'T'
	case "failed_transaction", "continuing_failed":
		return 'E'
	}
	return 'I'
}

// answerEvent is the event of an answer that ends with the status.
func answerEvent(status byte) string {
	switch status {
	case 'I':
		return "answered_idle"
	case 'E':
		return "answered_failed"
	}
	return "answered_open"
}

// errorEvent is the event of a request that ends with the error. Only a refusal in
// front of the owner's queues leaves an open transaction as it was.
func errorEvent(err error) string {
	switch errkind.KindOf(err) {
	case errkind.QueueFull, errkind.QueueTimeout:
		return "error_not_run"
	}
	return "error_lost"
}

// endTransaction ends at the pool owner what the connection may have open.
func (c *conn) endTransaction() {
	c.mu.Lock()
	pin := c.pin
	if pin == nil {
		pin = c.running
	}
	c.pin, c.running = nil, nil
	c.mu.Unlock()
	if pin != nil {
		c.server.cfg.Router.Abort(*pin, c.id)
	}
}
