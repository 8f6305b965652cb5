package linegroup

import (
	"bufio"
	"fmt"
	"net"
	"net/url"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"chicoryline/internal/standin/lineclient"
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
	held []string
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
// at startup.
func (c *conn) serve(overLimit bool) {
	defer func() {
		c.net.Close()
		c.server.withLock(func() { delete(c.server.conns, c) })
	}()
	r := bufio.NewReader(c.net)
	c.state = 'I'
	first := true
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		line = strings.TrimRight(line, "\r\n")
		if c.isUnresponsive() {
			continue
		}
		if first {
			first = false
			if !c.handleStartup(line, overLimit) {
				return
			}
			continue
		}
		command, rest := splitWord(line)
		if command != "QUERY" {
			return
		}
		id, text := splitWord(rest)
		c.releaseHeld(id, text)
		a := c.execute(id, text)
		if c.isUnresponsive() || a.code == "LOST" {
			continue
		}
		message := c.encodeAnswer(a)
		c.send(message)
		c.repeat(id, text, message)
	}
}

func (c *conn) isUnresponsive() bool {
	unresponsive := false
	c.server.withLock(func() { unresponsive = c.server.unresponsive || c.ignored })
	return unresponsive
}

// handleStartup answers the startup line and reports whether the session was accepted. The
// line may name the server that the client expects.
func (c *conn) handleStartup(line string, overLimit bool) bool {
	f := strings.Fields(line)
	switch {
	case len(f) < 3 || f[0] != "STARTUP" || f[1] != c.server.group.options.Name || len(f) > 3 && f[3] != c.server.ID:
		fmt.Fprintf(c.net, "ERROR MOVED %s\r\n", c.server.ID)
		return false
	case overLimit:
		fmt.Fprintf(c.net, "ERROR CONNLIMIT %s\r\n", c.server.ID)
		return false
	}
	c.customer = f[2]
	fmt.Fprintf(c.net, "READY I %s\r\n", c.position())
	return true
}

func (c *conn) position() (p string) {
	c.server.withLock(func() { p = c.server.position() })
	return p
}

func (c *conn) encodeAnswer(a answer) string {
	var b strings.Builder
	for _, r := range a.rows {
		b.WriteString("DATAROW " + r + "\r\n")
	}
	if a.code != "" {
		b.WriteString("ERROR " + a.code + " " + c.server.ID + "\r\n")
	} else {
		if a.signature == "" {
			a.signature = "-"
		}
		b.WriteString("COMPLETE " + a.signature + "\r\n")
	}
	at := a.position
	if at == "" {
		at = c.position()
	}
	b.WriteString("READY " + string(rune(c.state)) + " " + at + "\r\n")
	return b.String()
}

func (c *conn) send(message string) {
	c.writing.Lock()
	defer c.writing.Unlock()
	_, _ = c.net.Write([]byte(message))
}

// execute runs one statement. A leading AFTER makes it fail with LAGGING unless the server has
// applied the given position.
func (c *conn) execute(id, text string) answer {
	after := ""
	if command, rest := splitWord(text); command == "AFTER" {
		after, text = splitWord(rest)
	}
	command, rest := splitWord(text)
	c.recordIfBarred(id, command)
	if c.state == 'E' && command != "ROLLBACK" && command != "COMMIT" {
		return answer{code: "MALFORMED"}
	}
	if c.isRefused(id, text) {
		return answer{code: "BUSY"}
	}
	if after != "" && !c.hasReached(after) {
		return answer{code: "LAGGING"}
	}
	switch command {
	case "BEGIN":
		return c.begin(rest == "READ")
	case "ROLLBACK":
		c.endTransaction()
		return answer{}
	case "COMMIT":
		return c.commit(id, text)
	case "SET":
		name, value := splitWord(rest)
		c.values[name] = value
	case "DISCARD":
		clear(c.values)
		clear(c.prepared)
	case "PARSE":
		name, shape := splitWord(rest)
		c.prepared[name] = shape
	case "EXECUTE":
		name, args := splitWord(rest)
		shape, ok := c.prepared[name]
		if !ok {
			return answer{code: "NOSTMT"}
		}
		return c.executeReadOrWrite(id, text, strings.HasPrefix(shape, "WRITE"), args)
	case "READ", "WRITE":
		return c.executeReadOrWrite(id, text, command == "WRITE", rest)
	case "STATUS", "PAUSE", "RESUME", "STEPDOWN":
		return c.control(command, rest)
	default:
		return answer{code: "MALFORMED"}
	}
	return answer{}
}

func (c *conn) isRefused(id, text string) bool {
	var refuses func(id, text string) bool
	c.server.withLock(func() { refuses = c.server.refuses })
	return refuses != nil && refuses(id, text)
}

func (c *conn) hasReached(after string) bool {
	want, have := parsePosition(after), parsePosition(c.position())
	return have[0] > want[0] || have[0] == want[0] && have[1] >= want[1]
}

// parsePosition returns term and number of a position.
func parsePosition(p string) [2]uint64 {
	t, n, _ := strings.Cut(p, ".")
	a, _ := strconv.ParseUint(t, 10, 64)
	b, _ := strconv.ParseUint(n, 10, 64)
	return [2]uint64{a, b}
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

// executeReadOrWrite runs one read or write while occupying a statement slot.
func (c *conn) executeReadOrWrite(id, text string, write bool, args string) answer {
	inTx := c.state == 'T'
	if write && (c.readOnly || !c.isPrimary()) || inTx && !c.readOnly && !c.isPrimary() {
		if inTx {
			c.state = 'E'
		}
		return answer{code: "READONLY"}
	}
	c.occupySlot()
	c.server.group.checkRun(c, id, text, inTx, write && !inTx)
	item, data := splitWord(args)
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
	w := Write{ID: id, Customer: c.customer, Item: item, Data: data}
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
		c.server.group.checkRun(c, id, text, true, false)
		return c.applyLostAnswer(answer{signature: signature(id, c.values)})
	}
	c.occupySlot()
	c.server.group.checkRun(c, id, text, true, true)
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
func (c *conn) control(command, rest string) answer {
	s := c.server
	term := uint64(0)
	if command == "PAUSE" || command == "STEPDOWN" {
		var err error
		if term, err = strconv.ParseUint(rest, 10, 64); err != nil {
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
// name.
func signature(id string, values map[string]string) string {
	names := make([]string, 0, len(values))
	for n, v := range values {
		names = append(names, url.QueryEscape(n)+"="+url.QueryEscape(v))
	}
	sort.Strings(names)
	return id + "/" + strings.Join(names, ",")
}
