package answers

import (
	gometrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"chicoryline/internal/statement"
)

// Reason tells why an answer does not belong to the statement that is due.
type Reason string

// The reasons. Each has a counter answers.REASON.
const (
	// Repeated is a success whose signature has answered an earlier statement.
	Repeated Reason = "repeated"
	// Unsigned is a success without a signature where a statement's is due.
	Unsigned Reason = "unsigned"
	// Refusal is an error where a statement's answer is due that is followed by another answer.
	Refusal Reason = "refusal"
	// Unproved is a success that follows an error where each may be a repeat.
	Unproved Reason = "unproved"
	// UnknownSignature is a success with a new signature where a command's is due.
	UnknownSignature Reason = "unknown_signature"
	// WrongState is a success whose transaction state does not follow from the command.
	WrongState Reason = "state"
	// WrongRows is a success with rows where none are due, or the other way round.
	WrongRows Reason = "rows"
	// Unsolicited is input while nothing is due.
	Unsolicited Reason = "unsolicited"
	// Overlapping is a call on the connection during another one.
	Overlapping Reason = "overlapping"
)

// Report is where the connections to a server report answers that do not match.
type Report struct {
	Log      *logrus.Entry
	Registry gometrics.Registry
}

// mismatch records an answer that does not belong to the statement that is due.
func (c *Conn) mismatch(reason Reason, d due, r statement.Result, ago int) {
	c.count(reason, d.String(), describe(r), ago)
}

// count counts a mismatch. The first one of a connection is logged.
func (c *Conn) count(reason Reason, due, came string, ago int) {
	gometrics.GetOrRegisterCounter("answers."+string(reason), c.report.Registry).Inc(1)
	c.mismatches++
	if c.mismatches > 1 {
		return
	}
	c.report.Log.WithFields(logrus.Fields{
		"event": "answer", "reason": string(reason), "due": due, "came": came, "statements_ago": ago,
		"time_limits": c.timeLimits, "answered": c.answered,
	}).Warn("answer did not match its statement")
}

// describeInput names the message that waits on the connection in the log.
func describeInput(raw statement.Conn) string {
	if k, ok := raw.(interface{ InputKind() string }); ok {
		return "input " + k.InputKind()
	}
	return "input"
}

// describe names an answer in the log.
func describe(r statement.Result) string {
	switch {
	case r.Signature != "":
		return "signed"
	case r.Err != nil:
		return "error " + string(r.Status)
	case len(r.Rows) > 0:
		return "rows " + string(r.Status)
	}
	return "unsigned " + string(r.Status)
}
