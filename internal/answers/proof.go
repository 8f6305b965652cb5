package answers

import (
	"chicoryline/internal/errkind"
	"chicoryline/internal/position"
	"chicoryline/internal/statement"
)

// probes is the number of probes around a command that needs proof. One or two are in front of it,
// in turn: a server that repeats all answers to one proof does not repeat those to the next.
const probes = 3

// proof matches the answers to a command and to the probes around it, while the session is idle.
// Repeats between them are skipped for the start of a transaction; for a status they make the
// connection unusable, as a late status must not pass for the present one.
type proof struct {
	// before is the number of probes in front of the command.
	before int
	// floor is the highest position of the answers. The true ones do not fall behind it.
	floor position.Position
	// received counts all answers, misfits those that fit nowhere.
	received, misfits int
	// opened, lost and refused count the answers that fit a success, a success whose transaction
	// then failed, and an error.
	opened, lost, refused int
	// last is the success, at the highest position seen with it, and refusal the error.
	last, refusal statement.Result
	// answer is the command's answer once it is proved.
	answer *statement.Result
}

// newProof returns the proof that the command needs, nil if it needs none. The success of an
// earlier command of its kind may be taken for that of this one: a transaction that was refused
// must not seem open, as its statements would run by themselves.
func (c *Conn) newProof(d due) *proof {
	var count *int
	switch {
	case d.signed():
		return nil
	case d.state == statement.InTx:
		count = &c.begun
	case d.rows:
		count = &c.asked
	default:
		return nil
	}
	if *count++; *count == 1 {
		return nil
	}
	return &proof{before: 1 + *count%2}
}

// prove applies an unsigned answer or an error to the proof of the command.
func (c *Conn) prove(d due, r statement.Result) {
	p := d.proof
	p.received++
	switch behind := r.Position.Compare(p.floor) < 0; {
	case !behind:
		p.floor = r.Position
	case !r.Position.IsZero():
		c.misfit(d, r)
		return
	}
	fits := p.fit(&p.opened, r, p.isSuccess(d, r), p.isProbe(r, d.state))
	fits = p.fit(&p.refused, r, r.Err != nil && r.Status == statement.Idle, p.isProbe(r, 0)) || fits
	if d.state == statement.InTx {
		fits = p.fit(&p.lost, r, p.isSuccess(d, r), r.Err != nil && r.Status == statement.Failed) || fits
	}
	switch {
	case p.isSuccess(d, r) && r.Position.Compare(p.last.Position) >= 0:
		p.last = r
	case r.Err != nil:
		p.refusal = r
	}
	if !fits {
		if c.misfit(d, r); c.failed != nil {
			return
		}
	}
	switch probes + 1 {
	case p.opened:
		p.answer = &p.last
	case p.refused, p.lost:
		p.answer = &p.refusal
	default:
		return
	}
	c.owed = true
	if p.received > probes+1 && p.misfits == 0 {
		c.mismatch(describeReason(d, r), d, r, -1)
	}
}

// misfit records an answer that fits nowhere.
func (c *Conn) misfit(d due, r statement.Result) {
	d.proof.misfits++
	c.mismatch(describeReason(d, r), d, r, -1)
	if d.rows {
		c.failed = errkind.New(errkind.ProtocolViolation, "status among answers of other commands")
	}
}

// fit counts the answer if it is the next one of a sequence: probes before the command, the
// command, and probes after it.
func (p *proof) fit(count *int, r statement.Result, command, after bool) bool {
	fits := after
	switch {
	case *count < p.before:
		fits = p.isProbe(r, 0)
	case *count == p.before:
		fits = command
	}
	if fits {
		*count++
	}
	return fits
}

func (p *proof) isSuccess(d due, r statement.Result) bool {
	return r.Err == nil && d.rows == (len(r.Rows) > 0) && r.Status == orIdle(d.state)
}

// isProbe reports whether the answer is a probe's in the state, 0 for an idle session.
func (p *proof) isProbe(r statement.Result, state statement.Status) bool {
	return r.Err == nil && len(r.Rows) == 0 && r.Status == orIdle(state)
}

// describeReason tells why the answer does not fit the proof.
func describeReason(d due, r statement.Result) Reason {
	switch {
	case r.Err != nil:
		return Refusal
	case d.rows:
		return WrongRows
	}
	return WrongState
}

// orIdle returns the state, or Idle for 0.
func orIdle(s statement.Status) statement.Status {
	if s == 0 {
		return statement.Idle
	}
	return s
}
