package linegroup

import (
	"errors"
	"fmt"
	"slices"
	"sync"

	"chicoryline/internal/standin/lineclient"
)

// Outstanding compares the statements that servers run with those that callers sent, and the
// answers that callers receive with their statements and with what servers sent, byte for byte. Ids
// must be unique. It implements lineclient.Observer and lineclient.FaultObserver. The first word of
// a violation is its kind.
type Outstanding struct {
	mu         sync.Mutex
	statements map[string]*sentStatement
	// values holds the session values that were acknowledged to callers.
	values map[*lineclient.Client]map[string]string
	// prepared holds the prepared statements that were acknowledged to callers, as kind and shape.
	prepared   map[*lineclient.Client]map[string]string
	violations []string
	unasked    int
}

// sentStatement is a statement of a caller and what has become of it.
type sentStatement struct {
	session *lineclient.Client
	text    string
	// shape is that of the prepared statement, "" for a statement that is not an EXECUTE.
	shape string
	inTx  bool
	// succeeded and denied report the answer that the caller received: a success, or a code
	// that promises that nothing is kept.
	succeeded, denied bool
	// ranAt holds the servers that have run the statement.
	ranAt map[*Server]bool
	// rows holds the rows that servers sent as answers to the statement.
	rows []string
}

// NewOutstanding returns an empty Outstanding.
func NewOutstanding() *Outstanding {
	return &Outstanding{statements: map[string]*sentStatement{}, values: map[*lineclient.Client]map[string]string{}, prepared: map[*lineclient.Client]map[string]string{}}
}

// Sent implements lineclient.Observer.
func (o *Outstanding) Sent(session *lineclient.Client, id, text string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	sent := &sentStatement{session: session, text: text, inTx: session.InTx(), ranAt: map[*Server]bool{}}
	if q, ok := parseStatement(text); ok && q.command == "EXECUTE" {
		sent.shape = o.prepared[session][q.fields[0]]
	}
	o.statements[id] = sent
}

// Answered implements lineclient.Observer. It records a violation unless a success carries the
// signature of its own statement and session values, and, if and only if that is a read, the row
// that a server sent for it.
func (o *Outstanding) Answered(id string, a lineclient.Answer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.statements[id]
	s.succeeded, s.denied = a.Code == "", a.HasNoEffect()
	if a.Code != "" {
		return
	}
	q, _ := parseStatement(s.text)
	o.applyToSession(s.session, q)
	if q.kind() == "" {
		return
	}
	if want := signature(id, o.values[s.session]); a.Signature != want {
		o.violations = append(o.violations, fmt.Sprintf("wrong-signature: %s %.200q succeeded with %.200q, want %.200q", id, s.text, a.Signature, want))
	}
	switch rows := len(a.Rows); {
	case q.kind() == "READ" && rows != 1 || q.kind() != "READ" && rows != 0:
		o.violations = append(o.violations, fmt.Sprintf("wrong-rows: %s %.200q succeeded with %d rows", id, s.text, rows))
	case rows == 1 && !slices.Contains(s.rows, a.Rows[0]):
		o.violations = append(o.violations, fmt.Sprintf("wrong-row: %s %.200q succeeded with %.200q, servers sent %.200q", id, s.text, a.Rows[0], s.rows))
	}
	s.rows = nil
}

// applyToSession keeps the values and prepared statements of a session; q was acknowledged.
func (o *Outstanding) applyToSession(session *lineclient.Client, q statement) {
	switch q.command {
	case "SET":
		put(o.values, session, q.fields[0], q.fields[1])
	case "PARSE":
		put(o.prepared, session, q.fields[0], q.fields[1]+" "+q.fields[2])
	case "CLOSE":
		delete(o.prepared[session], q.fields[0])
	}
}

func put(all map[*lineclient.Client]map[string]string, session *lineclient.Client, name, value string) {
	if all[session] == nil {
		all[session] = map[string]string{}
	}
	all[session][name] = value
}

// Fault implements lineclient.FaultObserver.
func (o *Outstanding) Fault(_ *lineclient.Client, err error) {
	kind := "broken-answer"
	if unsolicited := (*lineclient.UnsolicitedError)(nil); errors.As(err, &unsolicited) {
		kind = "unsolicited"
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.violations = append(o.violations, kind+": "+err.Error())
}

// recordRow records the row that a server is about to send as the answer to a statement.
func (o *Outstanding) recordRow(id, row string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if s := o.statements[id]; s != nil {
		s.rows = append(s.rows, row)
	}
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

// checkRun returns the violation, or "", of running the statement on the connection. shape is that
// of the prepared statement, "" without one; committing means that the run commits writes.
func (o *Outstanding) checkRun(c *conn, id, text, shape string, inTx, committing bool) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	problem := o.problemOfRun(c, id, text, shape, inTx, committing)
	if problem != "" {
		o.unasked++
	}
	return problem
}

// problemOfRun is checkRun with the mutex held.
func (o *Outstanding) problemOfRun(c *conn, id, text, shape string, inTx, committing bool) string {
	s := c.server
	sent := o.statements[id]
	if sent == nil {
		return fmt.Sprintf("unknown-id: %q %.200q ran at %s", id, text, s.ID)
	}
	if inTx && c.txSession == nil {
		defer func() { c.txSession = sent.session }()
	}
	elsewhere := len(sent.ranAt) > 0 && !sent.ranAt[s]
	sent.ranAt[s] = true
	switch {
	case withoutName(text) != withoutName(sent.text):
		return fmt.Sprintf("changed-text: %s ran as %.200q, was sent as %.200q", id, text, sent.text)
	case shape != sent.shape:
		return fmt.Sprintf("other-shape: %s %.200q ran as %.200q, was prepared as %.200q", id, text, shape, sent.shape)
	// A proxy may run a single read in a transaction of its own.
	case sent.inTx && !inTx || inTx && !sent.inTx && kindOf(text) != "READ":
		return fmt.Sprintf("outside-transaction: %s %.200q ran at %s in a transaction: %t, was sent in one: %t", id, text, s.ID, inTx, sent.inTx)
	case inTx && c.txSession != nil && c.txSession != sent.session:
		return fmt.Sprintf("foreign-transaction: %s %.200q ran at %s in the transaction of another session", id, text, s.ID)
	case sent.denied && committing:
		return fmt.Sprintf("after-denial: %s %.200q committed at %s, its caller was told that nothing is kept", id, text, s.ID)
	// A read without a timely answer is sent to a second server; the slower one of the two may
	// still run it when the caller has the answer of the other. Callers that gave up or were
	// told that the outcome is unknown leave statements behind as well.
	case sent.succeeded && !(kindOf(text) == "READ" && elsewhere):
		return fmt.Sprintf("after-answer: %s %.200q ran at %s, its caller had an answer", id, text, s.ID)
	}
	return ""
}
