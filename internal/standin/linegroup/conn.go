package linegroup

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"net"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"chicoryline/internal/standin/lineclient"
	"chicoryline/internal/standin/linewire"
)

// conn is one client connection, used only by the goroutine that serves it.
type conn struct {
	server   *Server
	net      net.Conn
	customer string
	values   map[string]string
	prepared map[string]string // name to "READ shape" or "WRITE shape"
	state    byte              // 'I' idle, 'T' in a transaction, 'E' in a failed transaction
	readOnly bool
	writes   []Write
	// txStarted is when the open transaction began.
	txStarted time.Time
	// txSession is the session whose statements run in the transaction, nil before the first.
	txSession *lineclient.Client
	// ignored means that the connection gets no answers: it was opened while the server
	// ignored new connections.
	ignored bool
	// writing keeps the messages of answers and of their repeats apart.
	writing sync.Mutex
	// held are repeated answers that wait for a later statement.
	held [][]byte
}

// answer is the result of one statement.
type answer struct {
	rows      []string
	signature string
	code      string
	// position is the log position of the commit. It is kept here because the server may
	// lose leadership before it sends the answer.
	position string
}

// serve handles one connection until it is closed. A connection over the limit is refused
// at startup. A message that is too long or is not of the protocol ends the connection and is a
// violation.
func (c *conn) serve(overLimit bool) {
	defer func() {
		c.net.Close()
		c.server.withLock(func() { delete(c.server.conns, c) })
	}()
	r := linewire.NewReader(c.net)
	c.state = 'I'
	first := true
	for {
		message, err := r.Next()
		if errors.Is(err, linewire.ErrTooLong) {
			c.recordBroken("too-long", "")
		}
		if err != nil {
			return
		}
		if c.isUnresponsive() {
			continue
		}
		if first {
			first = false
			if !c.handleStartup(message, overLimit) {
				return
			}
			continue
		}
		word, fields := linewire.Split(message, 2)
		if word != "QUERY" || len(fields) < 2 || fields[0] == "" {
			if message != "TERMINATE" {
				c.recordBroken("broken-message", message)
			}
			return
		}
		if !c.handleQuery(fields[0], fields[1]) {
			return
		}
	}
}

// handleQuery runs and answers one query. It returns false if the connection has to end.
func (c *conn) handleQuery(id, text string) bool {
	c.releaseHeld(id, text)
	a := c.execute(id, text)
	if c.isUnresponsive() || a.code == "LOST" {
		return true
	}
	answer, err := c.encodeAnswer(a)
	if err != nil {
		c.recordBroken("unsendable-answer", err.Error())
		return false
	}
	c.send(answer)
	c.repeat(id, text, answer)
	return true
}

// recordBroken records a violation of the protocol on the connection.
func (c *conn) recordBroken(problem, message string) {
	s := c.server
	s.withLock(func() {
		s.group.violations = append(s.group.violations, violation{text: fmt.Sprintf("%s: %.200q at %s, connection of %q", problem, message, s.ID, c.customer)})
	})
}

func (c *conn) isUnresponsive() bool {
	unresponsive := false
	c.server.withLock(func() { unresponsive = c.server.unresponsive || c.ignored })
	return unresponsive
}

// handleStartup answers the startup message and reports whether the session was accepted. "When
// sent to an instance, STARTUP carries these fields: the name of the service, who is connecting,
// and, optionally, the expected id. A wrong name or id is rejected with MOVED."
func (c *conn) handleStartup(message string, overLimit bool) bool {
	code := ""
	word, f := linewire.Split(message, 3)
	switch {
	case word != "STARTUP" || len(f) < 2 || f[0] == "" || f[1] == "":
		c.recordBroken("broken-startup", message)
		code = "MALFORMED"
	case f[0] != c.server.group.options.Name || len(f) > 2 && f[2] != c.server.ID:
		code = "MOVED"
	case overLimit:
		code = "CONNLIMIT"
	}
	answer, err := linewire.Append(nil, "READY", "I", c.position())
	if code != "" {
		answer, err = linewire.Append(nil, "ERROR", code, c.server.ID)
	}
	if err != nil {
		c.recordBroken("unsendable-answer", err.Error())
		return false
	}
	c.send(answer)
	if code == "" {
		c.customer = f[1]
	}
	return code == ""
}

func (c *conn) position() (p string) {
	c.server.withLock(func() { p = c.server.position() })
	return p
}

// encodeAnswer returns the messages of an answer: "any number of DATAROW messages, then COMPLETE
// signature or ERROR code, text, and in every case READY state, position".
func (c *conn) encodeAnswer(a answer) (b []byte, err error) {
	add := func(word string, fields ...string) {
		if err == nil {
			b, err = linewire.Append(b, word, fields...)
		}
	}
	for _, r := range a.rows {
		add("DATAROW", r)
	}
	switch {
	case a.code != "":
		add("ERROR", a.code, c.server.ID)
	case a.signature == "":
		add("COMPLETE", "-")
	default:
		add("COMPLETE", a.signature)
	}
	at := a.position
	if at == "" {
		at = c.position()
	}
	add("READY", string(rune(c.state)), at)
	return b, err
}

func (c *conn) send(messages []byte) {
	c.writing.Lock()
	defer c.writing.Unlock()
	_, _ = c.net.Write(messages) // the next read returns the error
}

// execute runs one statement. A leading AFTER makes it fail with LAGGING unless the server has
// applied the given position.
func (c *conn) execute(id, text string) answer {
	after, text, ok := splitAfter(text)
	q, valid := parseStatement(text)
	c.recordIfBarred(id, q.command)
	if !ok || !valid || c.state == 'E' && q.command != "ROLLBACK" && q.command != "COMMIT" {
		return answer{code: "MALFORMED"}
	}
	if c.isRefused(id, text) {
		return answer{code: "BUSY"}
	}
	if after != "" && !c.hasReached(after) {
		return answer{code: "LAGGING"}
	}
	switch q.command {
	case "BEGIN":
		return c.begin(len(q.fields) > 0)
	case "ROLLBACK":
		c.endTransaction()
	case "COMMIT":
		return c.commit(id, text)
	case "SET":
		c.values[q.fields[0]] = q.fields[1]
	case "DISCARD":
		clear(c.values)
		clear(c.prepared)
	case "PARSE":
		c.prepared[q.fields[0]] = q.fields[1] + " " + q.fields[2]
	case "CLOSE":
		if _, ok := c.prepared[q.fields[0]]; !ok {
			return answer{code: "NOSTMT"}
		}
		delete(c.prepared, q.fields[0])
	case "EXECUTE":
		shape, ok := c.prepared[q.fields[0]]
		switch {
		case !ok:
			return answer{code: "NOSTMT"}
		case !strings.HasPrefix(shape, q.kind()+" "):
			return answer{code: "MALFORMED"}
		}
		return c.executeReadOrWrite(id, text, shape, statement{q.kind(), q.fields[1:]})
	case "READ", "WRITE":
		return c.executeReadOrWrite(id, text, "", q)
	default:
		return c.control(q)
	}
	return answer{}
}

func (c *conn) isRefused(id, text string) bool {
	var refuses func(id, text string) bool
	c.server.withLock(func() { refuses = c.server.refuses })
	return refuses != nil && refuses(id, text)
}

func (c *conn) hasReached(after string) bool {
	want, _ := parsePosition(after)
	have, _ := parsePosition(c.position())
	return have[0] > want[0] || have[0] == want[0] && have[1] >= want[1]
}

func (c *conn) isPrimary() (primary bool) {
	c.server.withLock(func() { primary = c.server.actsAsPrimary() })
	return primary
}

func (c *conn) begin(readOnly bool) answer {
	if c.state != 'I' {
		return answer{code: "MALFORMED"}
	}
	if !readOnly && !c.isPrimary() {
		return answer{code: "READONLY"}
	}
	c.state, c.readOnly, c.txStarted, c.txSession = 'T', readOnly, time.Now(), nil
	return answer{}
}

func (c *conn) endTransaction() { c.state, c.readOnly, c.writes = 'I', false, nil }

// executeReadOrWrite runs one read or write while occupying a statement slot. shape is that of the
// prepared statement, "" without one.
func (c *conn) executeReadOrWrite(id, text, shape string, q statement) answer {
	inTx, write := c.state == 'T', q.command == "WRITE"
	if write && (c.readOnly || !c.isPrimary()) || inTx && !c.readOnly && !c.isPrimary() {
		if inTx {
			c.state = 'E'
		}
		return answer{code: "READONLY"}
	}
	c.occupySlot()
	c.server.group.checkRun(c, id, text, shape, inTx, write && !inTx)
	item := q.fields[0]
	sig := signature(id, c.values)
	if !write {
		row := ""
		c.server.withLock(func() {
			row = c.server.readItem(item)
			if inTx && !c.readOnly {
				c.server.group.recordStaleRead(c.server, c.txStarted)
			}
		})
		for _, w := range c.writes {
			if w.Item == item {
				row = w.Data
			}
		}
		c.server.group.recordRow(id, row)
		return c.applyLostAnswer(answer{rows: []string{row}, signature: sig})
	}
	w := Write{ID: id, Customer: c.customer, Item: item, Data: q.fields[1]}
	if inTx {
		c.writes = append(c.writes, w)
		return c.applyLostAnswer(answer{signature: sig})
	}
	return c.commitWrites([]Write{w}, sig)
}

func (c *conn) commit(id, text string) answer {
	if c.state != 'T' {
		c.endTransaction()
		return answer{code: "ABORTED"}
	}
	writes := c.writes
	c.endTransaction()
	if len(writes) == 0 {
		c.server.group.checkRun(c, id, text, "", true, false)
		return c.applyLostAnswer(answer{signature: signature(id, c.values)})
	}
	c.occupySlot()
	c.server.group.checkRun(c, id, text, "", true, true)
	return c.commitWrites(writes, signature(id, c.values))
}

// commitWrites commits the writes. A commit that reaches no replica gets no answer.
func (c *conn) commitWrites(writes []Write, sig string) answer {
	at, primary, acked := c.server.group.commit(c.server, writes)
	switch {
	case !primary:
		return answer{code: "READONLY"}
	case !acked:
		return answer{code: "LOST"}
	}
	return c.applyLostAnswer(answer{signature: sig, position: at})
}

// applyLostAnswer drops the answer while the lost-answer fault is active.
func (c *conn) applyLostAnswer(a answer) answer {
	c.server.withLock(func() {
		if c.server.loseAnswers > 0 {
			c.server.loseAnswers--
			a = answer{code: "LOST"}
		}
	})
	return a
}

// occupySlot holds a statement slot for the configured statement time.
func (c *conn) occupySlot() {
	c.server.slots <- struct{}{}
	time.Sleep(c.server.group.options.StatementTime)
	<-c.server.slots
}

// control runs a control statement. Like the platform, it answers with the unchanged status
// row if the statement has no effect because of its term or the server's role.
func (c *conn) control(q statement) answer {
	s, command := c.server, q.command
	term := uint64(0)
	if len(q.fields) > 0 {
		var err error
		if term, err = strconv.ParseUint(q.fields[0], 10, 64); err != nil {
			return answer{code: "MALFORMED"}
		}
	}
	if command == "STEPDOWN" {
		s.group.stepDown(s, term)
	}
	var row string
	s.withLock(func() {
		switch {
		case command == "PAUSE" && term > s.term && !s.actsAsPrimary():
			s.paused, s.pauseTerm = true, term
		case command == "RESUME":
			s.paused, s.pauseTerm = false, 0
			s.group.replicateTo(s)
		}
		role := "replica"
		if s.actsAsPrimary() {
			role = "primary"
		}
		row = fmt.Sprintf("%s %d %s %d 0 0 %d", role, s.term, positionOf(s.log), s.pauseTerm, len(s.conns))
	})
	return answer{rows: []string{row}}
}

// signature returns what a statement ran with: its id and the session's values, sorted by
// name. The digest of a name or a value stands for it if it is long or could be taken for
// something else.
func signature(id string, values map[string]string) string {
	names := make([]string, 0, len(values))
	for n, v := range values {
		names = append(names, plain(n)+"="+plain(v))
	}
	sort.Strings(names)
	return id + "/" + strings.Join(names, ",")
}

// maxPlain is the length in bytes up to which a name or a value stands in a signature itself.
const maxPlain = 64

// plain returns a short text without separators. Quotes mark digests.
func plain(s string) string {
	odd := func(r rune) bool { return r <= ' ' || r > '~' || strings.ContainsRune(`=,/"`, r) }
	if len(s) <= maxPlain && !strings.ContainsFunc(s, odd) {
		return s
	}
	return fmt.Sprintf(`"%x"`, sha256.Sum256([]byte(s)))
}
