package answers

import (
	"chicoryline/internal/errkind"
	"chicoryline/internal/statement"
)

// probeName is the name of the statement that probes prepare. No caller's statement has it.
const probeName = "probe"

// maxProbes bounds the probes whose answers may be repeats until the doubt is given up.
const maxProbes = 4

// doubt is the state of a statement after an error that may be the repeat of an earlier one. It is
// settled by the answer of a command that was sent after the statement, if that answer or the
// error cannot be a repeat: the last error before it is the statement's.
type doubt struct {
	// answer is the last answer that may be the statement's, after the transaction state that
	// follows from the command that settles the doubt.
	answer statement.Result
	after  statement.Status
	// proved reports that the answer cannot be a repeat. unproved counts the answers of probes that
	// may be.
	proved   bool
	unproved int
	// probed and ended report that a probe was sent that prepares a statement, or ends the
	// transaction.
	probed, ended bool
	settled       bool
}

// matchError reports whether the error is the answer that is due. The first error on a connection
// is. A later one for a statement may be a repeat, and would tell the caller that the statement
// did not run while it does.
func (c *Conn) matchError(d due, r statement.Result) bool {
	first := !c.refused && c.mismatches == 0
	c.refused = true
	if !d.signed() {
		if d.state == statement.Idle && r.Status != statement.Idle {
			c.mismatch(WrongState, d, r, -1)
			return false
		}
		c.owed = c.owed || !c.novel
		return true
	}
	if first {
		c.owed = false
		return true
	}
	if c.doubt == nil {
		c.doubt = &doubt{answer: r}
	} else if !c.doubt.probed || c.doubt.ended || r.Status != statement.Failed {
		// Otherwise it may be that of the probe in a failed transaction.
		c.mismatch(Refusal, d, r, -1)
	}
	c.owed = c.owed && !c.novel
	if p := c.doubt; c.novel || !p.proved && !(isPromise(r) && !isPromise(p.answer)) {
		p.answer, p.proved = r, p.proved || c.novel
	}
	c.probe()
	return false
}

// isPromise reports whether the error tells the caller that its statement did not run.
func isPromise(r statement.Result) bool {
	return errkind.KindOf(r.Err).Answer().Class == errkind.NotRun
}

// probe sends a command whose answer settles the doubt, unless one was sent behind the statement.
// It occupies no slot of the server. A failed transaction accepts only its end.
func (c *Conn) probe() {
	p := c.doubt
	switch {
	case len(c.due) > 1 && c.due[1].signed():
		c.failed = errkind.New(errkind.OutcomeUnknown, "error of one of two statements")
		return
	case len(c.due) > 1 || p.ended || p.probed && p.answer.Status != statement.Failed:
		return
	}
	command := c.probeCommand()
	if p.ended = p.answer.Status == statement.Failed; p.ended {
		command.Text = c.texts.Rollback()
	}
	p.probed = true
	if err := c.raw.Send(command); err != nil {
		c.failed = errkind.New(errkind.OutcomeUnknown, "%v", err)
	}
}

// probeCommand returns a command that takes no slot and does not change the transaction state.
func (c *Conn) probeCommand() statement.Command {
	return statement.Command{Text: c.texts.Prepare(probeName, probeName, true)}
}

// settled returns the answer that is due and the transaction state after it, if an open doubt or
// proof has been settled.
func (c *Conn) settled() (answer statement.Result, after statement.Status, ok bool) {
	if p := c.doubt; p != nil && p.settled {
		c.doubt = nil
		return p.answer, p.after, true
	}
	if p := c.due[0].proof; p != nil && p.answer != nil {
		return *p.answer, p.answer.Status, true
	}
	return answer, 0, false
}

// settleDoubt settles the doubt if the unsigned answer is the probe's, or that of the command
// behind the statement.
func (c *Conn) settleDoubt(d due, r statement.Result) {
	p, behind := c.doubt, len(c.due) > 1
	state := p.answer.Status
	switch {
	case behind && c.due[1].state != 0:
		state = c.due[1].state
	case p.ended:
		state = statement.Idle
	}
	switch {
	case r.Status != state || len(r.Rows) > 0:
		c.mismatch(Unsigned, d, r, -1)
		return
	case !p.proved && (!c.novel || c.owed):
		if d.read && errkind.Is(p.answer.Err, errkind.QueueFull) {
			c.refuseRead(d, r)
		} else {
			c.probeAgain(d, r)
		}
		return
	case behind:
		c.due[1].early = &r
	}
	p.settled, p.after = true, r.Status
	c.owed = !c.novel || c.mismatches > 0
}

// refuseRead settles the doubt of a read that a full server refused, although the error may be a
// repeat: a read keeps nothing, whether it ran or not. The connection is unusable after it, as the
// answer of the read may still come.
func (c *Conn) refuseRead(d due, r statement.Result) {
	c.mismatch(Unproved, d, r, -1)
	c.doubt.settled, c.doubt.after = true, r.Status
	c.failed = errkind.New(errkind.AnswerIncomplete, "refusal of a read that may be a repeat")
}

// probeAgain sends another probe after an answer that proves nothing: it may be a repeat, as the
// error may. The log may have moved on by the answer to the next.
func (c *Conn) probeAgain(d due, r statement.Result) {
	c.mismatch(Unproved, d, r, -1)
	if c.doubt.unproved++; c.doubt.unproved >= maxProbes {
		c.failed = errkind.New(errkind.OutcomeUnknown, "error that may be a repeat")
		return
	}
	if err := c.raw.Send(c.probeCommand()); err != nil {
		c.failed = errkind.New(errkind.OutcomeUnknown, "%v", err)
	}
}

// dispelDoubt ends the doubt with the signed answer of the statement, and reports whether it may be
// given out: a probe may have ended the transaction in which the statement ran.
func (c *Conn) dispelDoubt(r statement.Result) bool {
	p := c.doubt
	if p == nil {
		return true
	}
	c.doubt, c.owed = nil, true
	c.mismatch(Refusal, c.due[0], p.answer, -1)
	if p.ended && r.Status != statement.Idle {
		c.failed = errkind.New(errkind.TransactionLost, "rolled back after a repeated error")
		return false
	}
	return true
}
