package linegroup

import (
	"bufio"
	"fmt"
	"net"
	"sort"
	"strconv"
	"strings"
	"time"
)

// conn is one connection; only its goroutine uses it.
type conn struct {
	server   *Server
	net      net.Conn
	customer string
	values   map[string]string
	prepared map[string]string // name to "READ shape" or "WRITE shape"
	state    byte
	readOnly bool
	writes   []Write
	// began is when the open transaction began.
	began time.Time
	// muted tells that nothing is answered, as the connection is new at a server that is
	// closed to new ones.
	muted bool
}

// answer is what one statement brings.
type answer struct {
	rows      []string
	signature string
	code      string
	// position is that of a commit; it stays true if the server loses the lead before
	// it has answered.
	position string
}

func (c *conn) run(full bool) {
	defer func() {
		c.net.Close()
		c.server.set(func() { delete(c.server.conns, c) })
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
		if c.isSilent() {
			continue
		}
		if first {
			first = false
			if !c.startup(line, full) {
				return
			}
			continue
		}
		word, rest := tokens(line)
		if word != "QUERY" {
			return
		}
		id, text := tokens(rest)
		a := c.query(id, text)
		if c.isSilent() || a.code == "LOST" {
			continue
		}
		c.reply(a)
	}
}

func (c *conn) isSilent() bool {
	silent := false
	c.server.set(func() { silent = c.server.silent || c.muted })
	return silent
}

func (c *conn) startup(line string, full bool) bool {
	f := strings.Fields(line)
	switch {
	case len(f) < 3 || f[0] != "STARTUP" || f[1] != c.server.group.options.Name || len(f) > 3 && f[3] != c.server.ID:
		fmt.Fprintf(c.net, "ERROR MOVED %s\r\n", c.server.ID)
		return false
	case full:
		fmt.Fprintf(c.net, "ERROR CONNLIMIT %s\r\n", c.server.ID)
		return false
	}
	c.customer = f[2]
	fmt.Fprintf(c.net, "READY I %s\r\n", c.position())
	return true
}

func (c *conn) position() (p string) {
	c.server.set(func() { p = c.server.position() })
	return p
}

func (c *conn) reply(a answer) {
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
	_, _ = c.net.Write([]byte(b.String()))
}

func (c *conn) query(id, text string) answer {
	after := ""
	if word, rest := tokens(text); word == "AFTER" {
		after, text = tokens(rest)
	}
	word, rest := tokens(text)
	if c.state == 'E' && word != "ROLLBACK" && word != "COMMIT" {
		return answer{code: "MALFORMED"}
	}
	if after != "" && !c.reached(after) {
		return answer{code: "LAGGING"}
	}
	switch word {
	case "BEGIN":
		return c.begin(rest == "READ")
	case "ROLLBACK":
		c.end()
		return answer{}
	case "COMMIT":
		return c.commit(id)
	case "SET":
		name, value := tokens(rest)
		c.values[name] = value
	case "DISCARD":
		clear(c.values)
		clear(c.prepared)
	case "PARSE":
		name, shape := tokens(rest)
		c.prepared[name] = shape
	case "EXECUTE":
		name, args := tokens(rest)
		shape, ok := c.prepared[name]
		if !ok {
			return answer{code: "NOSTMT"}
		}
		return c.run1(id, strings.HasPrefix(shape, "WRITE"), args, shape)
	case "READ", "WRITE":
		return c.run1(id, word == "WRITE", rest, word)
	case "STATUS", "PAUSE", "RESUME", "STEPDOWN":
		return c.control(word, rest)
	default:
		return answer{code: "MALFORMED"}
	}
	return answer{}
}

func (c *conn) reached(after string) bool {
	want, have := parse(after), parse(c.position())
	return have[0] > want[0] || have[0] == want[0] && have[1] >= want[1]
}

func parse(p string) [2]uint64 {
	t, n, _ := strings.Cut(p, ".")
	a, _ := strconv.ParseUint(t, 10, 64)
	b, _ := strconv.ParseUint(n, 10, 64)
	return [2]uint64{a, b}
}

func (c *conn) leads() (leads bool) {
	c.server.set(func() { leads = c.server.leads() })
	return leads
}

func (c *conn) begin(readOnly bool) answer {
	if c.state != 'I' {
		return answer{code: "MALFORMED"}
	}
	if !readOnly && !c.leads() {
		return answer{code: "READONLY"}
	}
	c.state, c.readOnly, c.began = 'T', readOnly, time.Now()
	return answer{}
}

func (c *conn) end() { c.state, c.readOnly, c.writes = 'I', false, nil }

// run1 runs one read or write in a slot.
func (c *conn) run1(id string, write bool, args, shape string) answer {
	inTx := c.state == 'T'
	if write && (c.readOnly || !c.leads()) || inTx && !c.readOnly && !c.leads() {
		if inTx {
			c.state = 'E'
		}
		return answer{code: "READONLY"}
	}
	c.slot()
	item, data := tokens(args)
	sign := signature(id, c.values)
	if !write {
		row := ""
		c.server.set(func() {
			row = c.server.item(item)
			if inTx && !c.readOnly {
				c.server.group.noteStale(c.server, c.began)
			}
		})
		for _, w := range c.writes {
			if w.Item == item {
				row = w.Data
			}
		}
		return c.lose(answer{rows: []string{row}, signature: sign})
	}
	w := Write{ID: id, Customer: c.customer, Item: item, Data: data}
	if inTx {
		c.writes = append(c.writes, w)
		return c.lose(answer{signature: sign})
	}
	return c.finish([]Write{w}, sign)
}

func (c *conn) commit(id string) answer {
	if c.state != 'T' {
		c.end()
		return answer{code: "ABORTED"}
	}
	writes := c.writes
	c.end()
	if len(writes) == 0 {
		return c.lose(answer{signature: signature(id, c.values)})
	}
	c.slot()
	return c.finish(writes, signature(id, c.values))
}

// finish commits the writes. A commit that no replica receives gets no answer.
func (c *conn) finish(writes []Write, sign string) answer {
	at, led, acked := c.server.group.commit(c.server, writes)
	switch {
	case !led:
		return answer{code: "READONLY"}
	case !acked:
		return answer{code: "LOST"}
	}
	return c.lose(answer{signature: sign, position: at})
}

// lose drops the answer if the fault says so.
func (c *conn) lose(a answer) answer {
	c.server.set(func() {
		if c.server.loseAnswers > 0 {
			c.server.loseAnswers--
			a = answer{code: "LOST"}
		}
	})
	return a
}

func (c *conn) slot() {
	c.server.slots <- struct{}{}
	time.Sleep(c.server.group.options.StatementTime)
	<-c.server.slots
}

// control runs a control statement. Like the platform, it answers one that changes
// nothing, for its term or the server's role, with the row as it is.
func (c *conn) control(word, rest string) answer {
	s := c.server
	term := uint64(0)
	if word == "PAUSE" || word == "STEPDOWN" {
		var err error
		if term, err = strconv.ParseUint(rest, 10, 64); err != nil {
			return answer{code: "MALFORMED"}
		}
	}
	if word == "STEPDOWN" {
		s.group.stepDown(s, term)
	}
	var row string
	s.set(func() {
		switch {
		case word == "PAUSE" && term > s.term && !s.leads():
			s.paused, s.heldTerm = true, term
		case word == "RESUME":
			s.paused, s.heldTerm = false, 0
			s.group.receive(s)
		}
		role := "replica"
		if s.leads() {
			role = "primary"
		}
		row = fmt.Sprintf("%s %d %s %d 0 0 %d", role, s.term, place(s.log), s.heldTerm, len(s.conns))
	})
	return answer{rows: []string{row}}
}

// signature tells what a statement ran with: its id and the session's values.
func signature(id string, values map[string]string) string {
	names := make([]string, 0, len(values))
	for n, v := range values {
		names = append(names, n+"="+v)
	}
	sort.Strings(names)
	return id + "/" + strings.Join(names, ",")
}
