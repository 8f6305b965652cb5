package linegroup

import (
	"fmt"
	"strings"
	"sync"

	"chicoryline/internal/standin/lineclient"
)

// Outstanding compares the statements that servers run with those that callers sent, and the
// answers that callers receive with their statements. Ids must be unique. It implements
// lineclient.Observer. The first word of a violation is its kind.
type Outstanding struct {
	mu         sync.Mutex
	statements map[string]*sentStatement
	// values holds the session values that were acknowledged to callers.
	values     map[*lineclient.Client]map[string]string
	violations []string
	unasked    int
}

// sentStatement is a statement of a caller and what has become of it.
type sentStatement struct {
	session *lineclient.Client
	text    string
	inTx    bool
	// succeeded and denied report the answer that the caller received: a success, or a code
	// that promises that nothing is kept.
	succeeded, denied bool
	// ranAt holds the servers that have run the statement.
	ranAt map[*Server]bool
}

// NewOutstanding returns an empty Outstanding.
func NewOutstanding() *Outstanding {
	return &Outstanding{statements: map[string]*sentStatement{}, values: map[*lineclient.Client]map[string]string{}}
}

// Sent implements lineclient.Observer.
func (o *Outstanding) Sent(session *lineclient.Client, id, text string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.statements[id] = &sentStatement{session: session, text: text, inTx: session.InTx(), ranAt: map[*Server]bool{}}
}

// Answered implements lineclient.Observer. It records a violation unless a success carries the
// signature of its own statement and session values, and a row if and only if that is a read.
func (o *Outstanding) Answered(id string, a lineclient.Answer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.statements[id]
	s.succeeded, s.denied = a.Code == "", a.HasNoEffect()
	kind := kindOf(s.text)
	switch command, rest := splitWord(s.text); {
	case a.Code != "":
		return
	case command == "SET":
		name, value := splitWord(rest)
		o.setValue(s.session, name, value)
		return
	case kind == "":
		return
	}
	if want := signature(id, o.values[s.session]); a.Signature != want {
		o.violations = append(o.violations, fmt.Sprintf("wrong-signature: %s %s succeeded with %q, want %q", id, s.text, a.Signature, want))
	}
	if rows := len(a.Rows); kind == "READ" && rows != 1 || kind != "READ" && rows != 0 {
		o.violations = append(o.violations, fmt.Sprintf("wrong-rows: %s %s succeeded with %d rows", id, s.text, rows))
	}
}

func (o *Outstanding) setValue(session *lineclient.Client, name, value string) {
	if o.values[session] == nil {
		o.values[session] = map[string]string{}
	}
	o.values[session][name] = value
}

// Violations returns what callers observed. The groups report what their servers observed.
func (o *Outstanding) Violations() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]string(nil), o.violations...)
}

// Unasked returns the number of violations that servers observed when they ran statements.
func (o *Outstanding) Unasked() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.unasked
}

// checkRun returns the violation, or "", of running the statement on the connection. committing
// means that the run commits writes.
func (o *Outstanding) checkRun(c *conn, id, text string, inTx, committing bool) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	problem := o.problemOfRun(c, id, text, inTx, committing)
	if problem != "" {
		o.unasked++
	}
	return problem
}

// problemOfRun is checkRun with the mutex held.
func (o *Outstanding) problemOfRun(c *conn, id, text string, inTx, committing bool) string {
	s := c.server
	sent := o.statements[id]
	if sent == nil {
		return fmt.Sprintf("unknown-id: %s %s ran at %s", id, text, s.ID)
	}
	if inTx && c.txSession == nil {
		defer func() { c.txSession = sent.session }()
	}
	elsewhere := len(sent.ranAt) > 0 && !sent.ranAt[s]
	sent.ranAt[s] = true
	switch {
	case withoutName(text) != withoutName(sent.text):
		return fmt.Sprintf("changed-text: %s ran as %s, was sent as %s", id, text, sent.text)
	// A proxy may run a single read in a transaction of its own.
	case sent.inTx && !inTx || inTx && !sent.inTx && kindOf(text) != "READ":
		return fmt.Sprintf("outside-transaction: %s %s ran at %s in a transaction: %t, was sent in one: %t", id, text, s.ID, inTx, sent.inTx)
	case inTx && c.txSession != nil && c.txSession != sent.session:
		return fmt.Sprintf("foreign-transaction: %s %s ran at %s in the transaction of another session", id, text, s.ID)
	case sent.denied && committing:
		return fmt.Sprintf("after-denial: %s %s committed at %s, its caller was told that nothing is kept", id, text, s.ID)
	// A read without a timely answer is sent to a second server; the slower one of the two may
	// still run it when the caller has the answer of the other. Callers that gave up or were
	// told that the outcome is unknown leave statements behind as well.
	case sent.succeeded && !(kindOf(text) == "READ" && elsewhere):
		return fmt.Sprintf("after-answer: %s %s ran at %s, its caller had an answer", id, text, s.ID)
	}
	return ""
}

// withoutName returns the text of a statement without the name of a prepared statement, which
// proxies may change.
func withoutName(text string) string {
	if command, rest := splitWord(text); command == "EXECUTE" {
		_, args := splitWord(rest)
		return command + " " + args
	}
	return text
}

// kindOf returns READ, WRITE or COMMIT for a statement that a server runs, and "" for others.
// An EXECUTE with data is a write.
func kindOf(text string) string {
	command, rest := splitWord(text)
	switch command {
	case "READ", "WRITE", "COMMIT":
		return command
	case "EXECUTE":
		if len(strings.Fields(rest)) > 2 {
			return "WRITE"
		}
		return "READ"
	}
	return ""
}
