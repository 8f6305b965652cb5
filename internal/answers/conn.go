// Package answers tells which statement an answer of a backend server belongs to. Answers carry
// no ID, and a server may write one twice, the second time late. See
// docs/design/answer-matching.md.
package answers

import (
	"context"
	"os"
	"slices"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	gometrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"chicoryline/internal/boottime"
	"chicoryline/internal/errkind"
	"chicoryline/internal/statement"
)

// Dialer opens connections whose answers are matched with their statements.
type Dialer struct {
	Dialer interface {
		Dial(ctx context.Context, address, group, server, customer string) (statement.Conn, error)
	}
	Texts    Texts
	Log      *logrus.Entry
	Registry gometrics.Registry
}

// Dial implements connset.Dialer.
func (d Dialer) Dial(ctx context.Context, address, group, server, customer string) (statement.Conn, error) {
	c, err := d.Dialer.Dial(ctx, address, group, server, customer)
	if err != nil {
		return nil, err
	}
	return New(c, d.Texts, Report{Log: d.Log.WithFields(logrus.Fields{"group": group, "backend_server": server}), Registry: d.Registry}), nil
}

// Conn matches the answers on a connection with the statements sent. It drops repeated answers,
// and fails where an answer cannot be matched.
type Conn struct {
	raw    statement.Conn
	texts  Texts
	report Report

	due        []due
	signatures signatures
	// state is the transaction state after the last matched answer.
	state statement.Status
	// answered counts the answers, timeLimits the waits that ended without one, mismatches the
	// answers that did not belong to the statement that was due.
	answered, timeLimits, mismatches int64
	// refused reports that an error was received: another one may be its repeat.
	refused bool
	// novelty tells which answers cannot be repeats, novel reports whether the last one cannot.
	novelty novelty
	novel   bool
	// owed reports that a command of the proxy was matched with an answer that may be a repeat, so
	// that its own may still come. The proof of a later answer ends that.
	owed bool
	// begun and asked count the transactions that were to be opened, and the status requests.
	begun, asked int
	// doubt is set while an error that may be a repeat is the last answer to the statement that is
	// due.
	doubt *doubt
	// failed is the reason why the connection is unusable, nil if it is not.
	failed error
	// calls is the number of calls in progress.
	calls atomic.Int32
}

// Texts builds the commands of probes.
type Texts interface {
	Rollback() string
	Prepare(name, shape string, readOnly bool) string
}

// due is an outstanding answer. The answer to a statement with an ID is signed.
type due struct {
	id string
	// state is the transaction state after a success, 0 if it stays as it is.
	state statement.Status
	rows  bool
	// read reports that the statement is a read outside a transaction of its caller.
	read bool
	// proof is set if probes were sent around the command, because the success of an earlier one may
	// come again.
	proof *proof
	// early is the answer, if it has already come.
	early *statement.Result
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

// New returns a connection that matches the answers on the raw one, whose session is idle.
func New(raw statement.Conn, texts Texts, report Report) *Conn {
	return &Conn{raw: raw, texts: texts, report: report, state: statement.Idle}
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
	sent := make([]statement.Command, 0, len(commands)+probes)
	for _, m := range commands {
		d := due{id: m.ID, state: m.State, rows: m.Rows, read: m.Read}
		d.proof = c.newProof(d)
		c.due = append(c.due, d)
		if d.proof == nil {
			sent = append(sent, m)
			continue
		}
		around := slices.Repeat([]statement.Command{c.probeCommand()}, probes)
		sent = append(append(append(sent, around[:d.proof.before]...), m), around[d.proof.before:]...)
	}
	return c.raw.Send(sent...)
}

// Receive implements statement.Conn. Answers that belong to no outstanding statement are dropped
// within the wait.
func (c *Conn) Receive(wait time.Duration) (statement.Result, error) {
	c.enter()
	defer c.leave()
	if c.failed == nil && len(c.due) == 0 {
		c.failed = errors.New("no answer is due")
	}
	deadline := boottime.Now().Add(wait)
	for c.failed == nil {
		if early := c.due[0].early; early != nil {
			return c.take(*early), nil
		}
		r, err := c.read(deadline)
		if err != nil {
			return r, err
		}
		if c.match(c.due[0], r) {
			return c.take(r), nil
		}
		if answer, after, ok := c.settled(); ok {
			c.take(answer)
			c.state = after
			return answer, nil
		}
	}
	return statement.Result{}, c.failed
}

// take ends the wait for the answer that is due.
func (c *Conn) take(r statement.Result) statement.Result {
	c.due, c.state = c.due[1:], r.Status
	return r
}

// read returns the next answer.
func (c *Conn) read(deadline boottime.Time) (statement.Result, error) {
	wait := deadline.Sub(boottime.Now())
	if wait <= 0 && c.mismatches > 0 {
		// Repeated answers do not prolong the wait.
		c.timeLimits++
		return statement.Result{}, os.ErrDeadlineExceeded
	}
	r, err := c.raw.Receive(wait)
	switch {
	case err == nil:
		c.answered++
		c.novel = c.novelty.add(r)
	case statement.IsTimeout(err):
		c.timeLimits++
	}
	return r, err
}

// match reports whether the answer is the one that is due. Otherwise it is dropped or, if no
// statement can be told for it, the connection becomes unusable.
func (c *Conn) match(d due, r statement.Result) bool {
	switch {
	case r.Signature != "":
		return c.matchSignature(d, r) && c.dispelDoubt(r)
	case d.proof != nil:
		c.refused = c.refused || r.Err != nil
		c.prove(d, r)
		return false
	case r.Err != nil:
		return c.matchError(d, r)
	case c.doubt != nil:
		c.settleDoubt(d, r)
		return false
	}
	state := d.state
	if state == 0 {
		state = c.state
	}
	switch {
	case d.signed():
		c.mismatch(Unsigned, d, r, -1)
	case r.Status != state:
		c.mismatch(WrongState, d, r, -1)
	case d.rows != (len(r.Rows) > 0):
		c.mismatch(WrongRows, d, r, -1)
	default:
		c.owed = c.owed || !c.novel
		return true
	}
	return false
}

// matchSignature matches a signed answer. A signature proves one run, so a new one belongs to the
// oldest outstanding statement.
func (c *Conn) matchSignature(d due, r statement.Result) bool {
	ago, same := c.signatures.find(r.Signature, d.id)
	switch {
	case ago >= 0 && !same:
		c.mismatch(Repeated, d, r, ago)
		return false
	case !d.signed():
		c.mismatch(UnknownSignature, d, r, -1)
		c.failed = errkind.New(errkind.ProtocolViolation, "answer of an unknown statement")
		return false
	}
	if ago < 0 {
		c.signatures.add(r.Signature, d.id)
		c.owed = false
	}
	return true
}

// Repeated reports whether an answer came that did not belong to the statement that was due. The
// server may repeat more, so the connection is to be closed after its present use.
func (c *Conn) Repeated() bool { return c.mismatches > 0 || c.failed != nil }

// Reusable reports whether the idle connection may be used again: no answer came that did not
// belong to a statement, and none waits although nothing is due.
func (c *Conn) Reusable() bool {
	if raw, ok := c.raw.(interface{ HasInput() bool }); ok && len(c.due) == 0 && raw.HasInput() {
		c.count(Unsolicited, "nothing", describeInput(c.raw), -1)
	}
	return !c.Repeated()
}

// Alive implements statement.Conn.
func (c *Conn) Alive() bool { return c.failed == nil && c.raw.Alive() }

// Close implements statement.Conn.
func (c *Conn) Close() { c.raw.Close() }
