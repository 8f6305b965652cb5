package linegroup

import (
	"fmt"
	"slices"
	"strconv"
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
	// values and prepared hold the session values and the prepared statements ("READ shape" or
	// "WRITE shape") that were acknowledged to callers.
	values, prepared map[*lineclient.Client]map[string]string
	violations       []string
	unasked          int
}

// sentStatement is a statement of a caller and what has become of it.
type sentStatement struct {
	session *lineclient.Client
	text    string
	// kind is READ, WRITE, COMMIT or "" for the others, prepared what an EXECUTE was prepared as.
	kind, prepared string
	inTx           bool
	// succeeded and denied report the answer that the caller received: a success, or a code
	// that promises that nothing is kept.
	succeeded, denied bool
	// ranAt holds the servers that have run the statement, rows what they returned for a read.
	ranAt map[*Server]bool
	rows  []string
}

// NewOutstanding returns an empty Outstanding.
func NewOutstanding() *Outstanding {
	return &Outstanding{
		statements: map[string]*sentStatement{},
		values:     map[*lineclient.Client]map[string]string{}, prepared: map[*lineclient.Client]map[string]string{},
	}
}

// Sent implements lineclient.Observer.
func (o *Outstanding) Sent(session *lineclient.Client, id, text string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	sent := &sentStatement{session: session, text: text, kind: kindOf(text), inTx: session.InTx(), ranAt: map[*Server]bool{}}
	if name, isExecute := preparedName(text); isExecute {
		if shape, known := o.prepared[session][name]; known {
			sent.prepared = shape
			sent.kind, _ = splitWord(shape)
		}
	}
	o.statements[id] = sent
}

// Answered implements lineclient.Observer. It records a violation unless a success carries the
// signature of its own statement and session values, and a row that a server returned for the
// statement if and only if that is a read.
func (o *Outstanding) Answered(id string, a lineclient.Answer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.statements[id]
	s.succeeded, s.denied = a.Code == "", a.HasNoEffect()
	switch command, rest := splitWord(s.text); {
	case a.Code != "":
		return
	case command == "SET":
		name, value := splitWord(rest)
		keep(o.values, s.session, name, value)
		return
	case command == "PARSE":
		name, shape := splitWord(rest)
		keep(o.prepared, s.session, name, shape)
		return
	case command == "CLOSE":
		delete(o.prepared[s.session], rest)
		return
	case s.kind == "":
		return
	}
	if want := signature(id, o.values[s.session]); a.Signature != want {
		o.addViolation("wrong-signature: %s %s succeeded with %s, want %s", id, quote(s.text), quote(a.Signature), quote(want))
	}
	switch rows := len(a.Rows); {
	case s.kind == "READ" && rows != 1 || s.kind != "READ" && rows != 0:
		o.addViolation("wrong-rows: %s %s succeeded with %d rows", id, quote(s.text), rows)
	case s.kind == "READ" && !slices.Contains(s.rows, a.Rows[0]):
		o.addViolation("foreign-row: %s %s succeeded with %s, no server returned that", id, quote(s.text), quote(a.Rows[0]))
	}
}

func (o *Outstanding) addViolation(format string, args ...any) {
	o.violations = append(o.violations, fmt.Sprintf(format, args...))
}

// keep stores a value of a session under the name.
func keep(all map[*lineclient.Client]map[string]string, session *lineclient.Client, name, value string) {
	if all[session] == nil {
		all[session] = map[string]string{}
	}
	all[session][name] = value
}

// maxQuotedBytes bounds how much of a text a violation shows.
const maxQuotedBytes = 160

// quote returns a text in quotes, shortened if it is long.
func quote(text string) string {
	if len(text) <= maxQuotedBytes {
		return strconv.Quote(text)
	}
	return fmt.Sprintf("%q... (%d bytes)", text[:maxQuotedBytes], len(text))
}

// returned records that a server returns the row for a read.
func (o *Outstanding) returned(id, row string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if sent := o.statements[id]; sent != nil {
		sent.rows = append(sent.rows, row)
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
		return fmt.Sprintf("unknown-id: %s %s ran at %s", quote(id), quote(text), s.ID)
	}
	if inTx && c.txSession == nil {
		defer func() { c.txSession = sent.session }()
	}
	elsewhere := len(sent.ranAt) > 0 && !sent.ranAt[s]
	sent.ranAt[s] = true
	switch {
	case withoutName(text) != withoutName(sent.text):
		return fmt.Sprintf("changed-text: %s ran as %s, was sent as %s", id, quote(text), quote(sent.text))
	case c.shapeOf(text) != sent.prepared:
		return fmt.Sprintf("wrong-shape: %s %s ran as %s, was prepared as %s", id, quote(text), quote(c.shapeOf(text)), quote(sent.prepared))
	// A proxy may run a single read in a transaction of its own.
	case sent.inTx && !inTx || inTx && !sent.inTx && sent.kind != "READ":
		return fmt.Sprintf("outside-transaction: %s %s ran at %s in a transaction: %t, was sent in one: %t", id, quote(text), s.ID, inTx, sent.inTx)
	case inTx && c.txSession != nil && c.txSession != sent.session:
		return fmt.Sprintf("foreign-transaction: %s %s ran at %s in the transaction of another session", id, quote(text), s.ID)
	case sent.denied && committing:
		return fmt.Sprintf("after-denial: %s %s committed at %s, its caller was told that nothing is kept", id, quote(text), s.ID)
	// A read without a timely answer is sent to a second server; the slower one of the two may
	// still run it when the caller has the answer of the other. Callers that gave up or were
	// told that the outcome is unknown leave statements behind as well.
	case sent.succeeded && !(sent.kind == "READ" && elsewhere):
		return fmt.Sprintf("after-answer: %s %s ran at %s, its caller had an answer", id, quote(text), s.ID)
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

// preparedName returns the name of the prepared statement that an EXECUTE runs.
func preparedName(text string) (name string, isExecute bool) {
	command, rest := splitWord(text)
	name, _ = splitWord(rest)
	return name, command == "EXECUTE"
}

// shapeOf returns what the statement of an EXECUTE was prepared as on the connection, and "" for
// other statements.
func (c *conn) shapeOf(text string) string {
	if name, isExecute := preparedName(text); isExecute {
		return c.prepared[name]
	}
	return ""
}

// kindOf returns READ, WRITE or COMMIT for a statement that a server runs, and "" for others.
// An EXECUTE with data is a write.
func kindOf(text string) string {
	command, rest := splitWord(text)
	switch command {
	case "READ", "WRITE", "COMMIT":
		return command
	case "EXECUTE":
		if strings.Count(rest, " ") > 1 {
			return "WRITE"
		}
		return "READ"
	}
	return ""
}
