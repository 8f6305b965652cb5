// Package answers tells which statement an answer of a backend server belongs to. Answers carry
// no ID, and a server may write one twice, the second time late.
package answers

import (
	"context"
	"sync/atomic"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"chicoryline/internal/statement"
)

// Dialer opens connections whose answers are compared with their statements.
type Dialer struct {
	Dialer interface {
		Dial(ctx context.Context, address, group, server, customer string) (statement.Conn, error)
	}
	Log      *logrus.Entry
	Registry gometrics.Registry
}

// Dial implements connset.Dialer.
func (d Dialer) Dial(ctx context.Context, address, group, server, customer string) (statement.Conn, error) {
	c, err := d.Dialer.Dial(ctx, address, group, server, customer)
	if err != nil {
		return nil, err
	}
	return New(c, Report{Log: d.Log.WithFields(logrus.Fields{"group": group, "backend_server": server}), Registry: d.Registry}), nil
}

// Conn compares the answers on a connection with the statements sent.
type Conn struct {
	raw    statement.Conn
	report Report

	due        []due
	signatures signatures
	// state is the transaction state after the last answer, 0 if it is not known.
	state statement.Status
	// answered counts the answers, timeLimits the waits that ended without one.
	answered, timeLimits int64
	mismatches           int64
	// calls is the number of calls in progress.
	calls atomic.Int32
}

// due is an outstanding answer. The answer to a statement with an ID is signed.
type due struct {
	id string
	// state is the transaction state after a success, 0 if it stays as it is.
	state statement.Status
	rows  bool
}

func (d due) signed() bool { return d.id != "" }

func (d due) String() string {
	switch {
	case d.signed():
		return "statement"
	case d.state == statement.InTx:
		return "begin"
	case d.state == statement.Idle:
		return "rollback"
	case d.rows:
		return "status"
	}
	return "set-up"
}

// New returns a connection that compares the answers on the raw one.
func New(raw statement.Conn, report Report) *Conn {
	return &Conn{raw: raw, report: report, state: statement.Idle}
}

// Unwrap returns the raw connection.
func (c *Conn) Unwrap() statement.Conn { return c.raw }

// enter notes the beginning of a call, and a call of another user that is in progress.
func (c *Conn) enter() {
	if c.calls.Add(1) > 1 {
		gometrics.GetOrRegisterCounter("answers."+string(Overlapping), c.report.Registry).Inc(1)
		c.report.Log.WithFields(logrus.Fields{"event": "answer", "reason": string(Overlapping)}).Error("two users of one connection")
	}
}

func (c *Conn) leave() { c.calls.Add(-1) }

// Send implements statement.Conn.
func (c *Conn) Send(commands ...statement.Command) error {
	c.enter()
	defer c.leave()
	for _, m := range commands {
		c.due = append(c.due, due{id: m.ID, state: m.State, rows: m.Rows})
	}
	return c.raw.Send(commands...)
}

// Receive implements statement.Conn.
func (c *Conn) Receive(wait time.Duration) (statement.Result, error) {
	c.enter()
	defer c.leave()
	r, err := c.raw.Receive(wait)
	if err != nil {
		if statement.IsTimeout(err) {
			c.timeLimits++
		}
		return r, err
	}
	c.answered++
	if len(c.due) == 0 {
		c.mismatch(Unsolicited, "nothing", describe(r), -1)
		return r, nil
	}
	d := c.due[0]
	c.due = c.due[1:]
	c.compare(d, r)
	c.state = r.Status
	return r, nil
}

// compare reports an answer that does not belong to the statement that is due.
func (c *Conn) compare(d due, r statement.Result) {
	ago, same := -1, false
	if r.Signature != "" {
		ago, same = c.signatures.find(r.Signature, d.id)
	}
	state := d.state
	if state == 0 {
		state = c.state
	}
	switch {
	case ago >= 0 && !same:
		c.mismatch(Repeated, d.String(), describe(r), ago)
	case d.signed() && r.Signature != "":
		c.signatures.add(r.Signature, d.id)
	case r.Signature != "":
		c.mismatch(UnknownSignature, d.String(), describe(r), -1)
	case r.Err != nil:
	case d.signed():
		c.mismatch(Unsigned, d.String(), describe(r), -1)
	case r.Status != state:
		c.mismatch(WrongState, d.String(), describe(r), -1)
	case d.rows != (len(r.Rows) > 0):
		c.mismatch(WrongRows, d.String(), describe(r), -1)
	}
}

// Alive implements statement.Conn.
func (c *Conn) Alive() bool { return c.raw.Alive() }

// Close implements statement.Conn.
func (c *Conn) Close() { c.raw.Close() }
