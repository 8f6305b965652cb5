package rig

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"chicoryline/internal/standin/linewire"
)

// session is one connection to an instance. It is used by the goroutine that serves it.
type session struct {
	instance *Instance
	conn     net.Conn
	tenant   string
	values   map[string]string
	prepared map[string]string // "READ shape" or "WRITE shape", by name
	state    string            // I, T or E
	readOnly bool
	writes   []Write
}

// answer is the result of one statement.
type answer struct {
	rows            []string
	signature, code string
	// at is the position to answer with, the instance's present one if it is nil.
	at *Position
	// none reports that there is no answer.
	none bool
}

func refuse(code string) answer { return answer{code: code} }

// serve answers the messages of the connection until it ends. "A connection that is closed rolls
// back."
func (c *session) serve(r *linewire.Reader, over bool) {
	i := c.instance
	defer func() {
		c.conn.Close()
		i.group.mu.Lock()
		delete(i.conns, c)
		i.group.mu.Unlock()
	}()
	message, err := r.Next()
	if err != nil || !c.startup(message, over) {
		return
	}
	for {
		message, err := r.Next()
		if err != nil {
			return
		}
		word, fields := linewire.Split(message, 2)
		if word != "QUERY" || len(fields) != 2 {
			return
		}
		a := c.run(fields[0], fields[1])
		if a.none {
			continue
		}
		if c.send(a) != nil {
			return
		}
	}
}

// startup answers the first message: "the name of the service, who is connecting, and, optionally,
// the expected id. A wrong name or id is rejected with MOVED."
func (c *session) startup(message string, over bool) bool {
	i := c.instance
	word, f := linewire.Split(message, 3)
	code := ""
	switch {
	case word != "STARTUP" || len(f) < 2:
		code = "MALFORMED"
	case f[0] != i.group.Name || len(f) == 3 && f[2] != i.ID:
		code = "MOVED"
	case over:
		code = "CONNLIMIT"
	}
	if code != "" {
		b, _ := linewire.Append(nil, "ERROR", code, i.ID)
		_, _ = c.conn.Write(b) // the connection ends in any case
		return false
	}
	c.tenant = f[1]
	c.occupy(i.group.Handshake)
	b, _ := linewire.Append(nil, "READY", "I", c.position().String())
	_, err := c.conn.Write(b)
	return err == nil
}

func (c *session) position() Position {
	c.instance.group.mu.Lock()
	defer c.instance.group.mu.Unlock()
	return c.instance.position()
}

func (c *session) send(a answer) error {
	var b []byte
	var err error
	for _, r := range a.rows {
		if b, err = linewire.Append(b, "DATAROW", r); err != nil {
			return err
		}
	}
	switch {
	case a.code != "":
		b, err = linewire.Append(b, "ERROR", a.code, c.instance.ID)
	case a.signature != "":
		b, err = linewire.Append(b, "COMPLETE", a.signature)
	default:
		b, err = linewire.Append(b, "COMPLETE", "-")
	}
	if err != nil {
		return err
	}
	at := c.position()
	if a.at != nil {
		at = *a.at
	}
	if b, err = linewire.Append(b, "READY", c.state, at.String()); err != nil {
		return err
	}
	_, err = c.conn.Write(b)
	return err
}

// occupy holds a slot.
func (c *session) occupy(d time.Duration) {
	c.instance.slots <- struct{}{}
	time.Sleep(d)
	<-c.instance.slots
}

func (c *session) leads() bool {
	g := c.instance.group
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primary == c.instance && !c.instance.down
}

// run runs one statement.
func (c *session) run(id, text string) answer {
	i := c.instance
	if rest, ok := strings.CutPrefix(text, "AFTER "); ok {
		var at string
		at, text, _ = strings.Cut(rest, " ")
		if c.position().Before(parsePosition(at)) {
			return refuse("LAGGING")
		}
	}
	word, rest, _ := strings.Cut(text, " ")
	if c.state == "E" && word != "ROLLBACK" && word != "COMMIT" {
		return refuse("MALFORMED")
	}
	switch word {
	case "STATUS", "PAUSE", "RESUME", "STEPDOWN":
		return c.control(word, rest)
	case "BEGIN":
		return c.begin(rest == "READ")
	case "ROLLBACK":
		c.end()
		return answer{}
	case "COMMIT":
		return c.commit(id, text)
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		c.values[name] = value
		return answer{}
	case "DISCARD":
		clear(c.values)
		clear(c.prepared)
		return answer{}
	case "PARSE":
		name, shape, _ := strings.Cut(rest, " ")
		c.prepared[name] = shape
		return answer{}
	case "CLOSE":
		delete(c.prepared, rest)
		return answer{}
	case "EXECUTE":
		name, args, _ := strings.Cut(rest, " ")
		shape, ok := c.prepared[name]
		if !ok {
			return refuse("NOSTMT")
		}
		kind, _, _ := strings.Cut(shape, " ")
		return c.statement(id, text, kind == "WRITE", args)
	case "READ", "WRITE":
		return c.statement(id, text, word == "WRITE", rest)
	}
	i.group.Log("%s cannot read %.80q", i.ID, text)
	return refuse("MALFORMED")
}

func (c *session) begin(readOnly bool) answer {
	if c.state != "I" {
		return refuse("MALFORMED")
	}
	if !readOnly && !c.leads() {
		return refuse("READONLY")
	}
	c.state, c.readOnly = "T", readOnly
	return answer{}
}

func (c *session) end() { c.state, c.readOnly, c.writes = "I", false, nil }

// statement runs a read or a write.
func (c *session) statement(id, text string, write bool, args string) answer {
	g, i := c.instance.group, c.instance
	open := c.state == "T"
	refused := func() bool { return (write || open && !c.readOnly) && (c.readOnly || !c.leads()) }
	if refused() {
		if open {
			c.state = "E"
		}
		return refuse("READONLY")
	}
	g.mu.Lock()
	busy := time.Now().Before(i.busyUntil)
	g.mu.Unlock()
	if busy {
		return refuse("BUSY")
	}
	c.occupy(g.Work)
	if g.Heard != nil {
		g.Heard(i.ID, c.tenant, id, text)
	}
	item, data, _ := strings.Cut(args, " ")
	if write {
		c.writes = append(c.writes, Write{id, item, data})
		if open {
			return answer{signature: c.sign(id, data)}
		}
		return c.commitWrites(id)
	}
	row := ""
	g.mu.Lock()
	for _, e := range i.applied() {
		for _, w := range e.writes {
			if w.Item == item {
				row = w.Data
			}
		}
	}
	g.mu.Unlock()
	for _, w := range c.writes {
		if w.Item == item {
			row = w.Data
		}
	}
	if refused() {
		c.state = "E"
		return refuse("READONLY")
	}
	return answer{rows: []string{row}, signature: c.sign(id, row)}
}

func (c *session) commit(id, text string) answer {
	if c.state != "T" {
		c.end()
		return refuse("ABORTED")
	}
	if len(c.writes) == 0 {
		c.end()
		return answer{signature: c.sign(id, "")}
	}
	c.occupy(c.instance.group.Work)
	if g := c.instance.group; g.Heard != nil {
		g.Heard(c.instance.ID, c.tenant, id, text)
	}
	return c.commitWrites(id)
}

// commitWrites commits. "When sync_replicas is 1, the commit is acknowledged once one replica has
// received it."
func (c *session) commitWrites(id string) answer {
	g, i := c.instance.group, c.instance
	writes := c.writes
	c.end()
	g.mu.Lock()
	if g.primary != i || i.down {
		g.mu.Unlock()
		return refuse("READONLY")
	}
	number := i.end().Number + 1
	at := Position{g.term, number}
	i.log = append(i.log, entry{at, writes, time.Now()})
	g.mu.Unlock()
	for {
		g.mu.Lock()
		received := false
		if g.primary == i && !i.down {
			for _, r := range g.instances {
				received = g.replicate(r) || received
			}
			if received {
				g.acked = append(g.acked, writes...)
			}
		}
		over := g.primary != i || i.down
		g.mu.Unlock()
		switch {
		case received:
			return answer{signature: c.sign(id, ""), at: &at}
		case over:
			return answer{none: true}
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// sign returns a text that only the run of this statement has.
func (c *session) sign(id, data string) string {
	sum := sha256.Sum256([]byte(fmt.Sprint(c.instance.ID, id, data, time.Now().UnixNano())))
	return hex.EncodeToString(sum[:12])
}

// control runs a control command. Each returns the status row: role, term, position received, term
// held, lag in ms, busy, connections.
func (c *session) control(word, rest string) answer {
	g, i := c.instance.group, c.instance
	term, _ := strconv.ParseUint(rest, 10, 64) // RESUME and STATUS have none
	g.mu.Lock()
	var steppedDown *Instance
	switch {
	case word == "PAUSE" && term > i.term && g.primary != i:
		i.pauseTerm = term
	case word == "RESUME":
		i.pauseTerm = 0
		g.replicate(i)
	case word == "STEPDOWN" && g.primary == i && term > i.term:
		g.primary, steppedDown = nil, i
	}
	role := "replica"
	if g.primary == i {
		role = "primary"
	}
	row := fmt.Sprintf("%s %d %s %d %d %d %d", role, i.term, i.end(), i.pauseTerm, g.Lag.Milliseconds(), len(i.slots), len(i.conns))
	g.mu.Unlock()
	if steppedDown != nil {
		g.Log("%s has stepped down with its log up to %s", i.ID, i.Received())
		g.changed(steppedDown)
	}
	return answer{rows: []string{row}}
}
