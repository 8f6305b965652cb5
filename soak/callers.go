package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"chicoryline/internal/standin/lineclient"
	"chicoryline/internal/standin/linetext"
)

const (
	// exchangeTimeout bounds one request of a caller and its answer.
	exchangeTimeout = 4 * time.Second
	callerPause     = 15 * time.Millisecond
	// burstWritersPerGroup is the number of write-only callers per group that run during
	// series of faults. They switch to another VM after burstTimeout, so that some
	// statement is in flight at any time.
	burstWritersPerGroup = 4
	burstTimeout         = 400 * time.Millisecond
	burstPause           = 8 * time.Millisecond
	// oddPercent is the share of the odd texts with the options odd-bytes and odd-no-lf.
	oddPercent = 25
	// textStream and itemStream select the random numbers of texts and of items' names.
	textStream, itemStream = 1 << 32, 2 << 32
)

// ledger collects the outcomes that callers observed. The mutex guards it.
type ledger struct {
	mu          sync.Mutex
	acked       map[string]bool // ids of acknowledged writes
	rejected    map[string]bool
	ackedValues map[string]int // highest acknowledged value, by item
	itemNumbers map[int]int    // number of the current item, by caller
	// items holds the name of the current item, by caller; sent holds the highest value that was
	// sent as each data, by item.
	items    map[int]string
	sent     map[string]map[string]int
	problems []string
	reads    int
	// seed and mix determine the names of items.
	seed uint64
	mix  linetext.Mix
}

func newLedger(seed uint64, mix linetext.Mix) *ledger {
	return &ledger{
		acked: map[string]bool{}, rejected: map[string]bool{}, ackedValues: map[string]int{}, itemNumbers: map[int]int{},
		items: map[int]string{}, sent: map[string]map[string]int{}, seed: seed, mix: mix,
	}
}

func (l *ledger) addProblem(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.problems = append(l.problems, fmt.Sprintf(format, args...))
}

func (l *ledger) newestAcked(item string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ackedValues[item]
}

// itemOf returns the item that a caller currently writes to.
func (l *ledger) itemOf(caller int) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.items[caller] == "" {
		source := linetext.New(l.seed, uint64(itemStream+caller<<16+l.itemNumbers[caller]), l.mix)
		l.items[caller] = source.Inner(fmt.Sprintf("item%d-%d", caller, l.itemNumbers[caller]))
	}
	return l.items[caller]
}

// leaveItem makes a caller switch to another item.
func (l *ledger) leaveItem(caller int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.itemNumbers[caller]++
	delete(l.items, caller)
}

// recordSent records data that is about to be sent for an item.
func (l *ledger) recordSent(item, data string, value int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sent[item] == nil {
		l.sent[item] = map[string]int{}
	}
	l.sent[item][data] = max(l.sent[item][data], value)
}

// valueOf returns the highest value that was sent for the item as the data, 0 for the empty row of
// an item without data. It returns false if the data was never sent for the item.
func (l *ledger) valueOf(item, data string) (int, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	value, ok := l.sent[item][data]
	return value, ok || data == ""
}

// caller writes increasing values to its own item and reads them back. It keeps a session for
// a number of operations or until one fails. The outcome of a write without an answer is
// unknown, and it may be executed late, after newer ones; the caller then switches to
// another item.
type caller struct {
	run    *run
	number int
	group  int
	rand   *rand.Rand
	ids    *atomic.Int64
	texts  *linetext.Source
	// ownAcked is the highest value acknowledged in the current session, prepared whether the
	// session has prepared statements.
	ownAcked int
	prepared bool
	// valueName, writeName and readName are the session's names of its value and its prepared
	// statements.
	valueName, writeName, readName string
}

// newCaller returns a caller whose operations and texts are determined by the seed of the run.
func (r *run) newCaller(number int, ids *atomic.Int64) *caller {
	return &caller{
		run: r, number: number, group: number % groups, rand: rand.New(rand.NewPCG(r.seed, uint64(number))), ids: ids,
		texts: linetext.New(r.seed, uint64(textStream+number), r.ledger.mix),
	}
}

// loop runs random operations on successive sessions until stop is set.
func (c *caller) loop(stop *atomic.Bool) {
	value := 0
	for !stop.Load() {
		route := []string{"own", "current"}[c.rand.IntN(2)]
		session, err := c.run.dial(c.rand.IntN(c.run.world.Options.VMs), fmt.Sprintf("%s-%d", route, c.group), c.number, exchangeTimeout)
		if err != nil {
			time.Sleep(callerPause)
			continue
		}
		c.ownAcked, c.prepared = 0, false
		c.valueName, c.writeName, c.readName = c.texts.Inner("color"), c.texts.Inner("w"), c.texts.Inner("r")
		for n := 0; n < 60 && !stop.Load(); n++ {
			value++
			if !c.runOperation(session, route, value) {
				break
			}
			time.Sleep(callerPause)
		}
		session.Close()
	}
}

// burst writes continuously, on sessions with the short timeout burstTimeout.
func (c *caller) burst(stop *atomic.Bool) {
	for value := 1; !stop.Load(); {
		session, err := c.run.dial(c.rand.IntN(c.run.world.Options.VMs), fmt.Sprintf("own-%d", c.group), c.number, burstTimeout)
		if err != nil {
			time.Sleep(burstPause)
			continue
		}
		for ; !stop.Load() && c.write(session, value); value++ {
			time.Sleep(burstPause)
		}
		session.Close()
	}
}

// runOperation runs one random operation. It returns false if the session has to end.
func (c *caller) runOperation(s *lineclient.Client, route string, value int) bool {
	switch c.rand.IntN(9) {
	case 0, 1:
		return c.write(s, value)
	case 2, 3:
		return c.transaction(s, value)
	case 4:
		return c.setUp(s, value)
	}
	return c.read(s, route)
}

// setUp sets a session value and prepares the statements of writeText and readText.
func (c *caller) setUp(s *lineclient.Client, value int) bool {
	writeShape, readShape := "shape-w", "shape-r"
	if c.run.ledger.mix.OddPercent > 0 {
		writeShape, readShape = c.texts.Kept(value), c.texts.Kept(value)
	}
	texts := []string{"SET " + c.valueName + " " + c.texts.Kept(value), "PARSE " + c.writeName + " WRITE " + writeShape, "PARSE " + c.readName + " READ " + readShape}
	if c.prepared && c.rand.IntN(2) == 0 {
		texts = append(texts, "CLOSE "+c.readName, texts[2])
	}
	for _, text := range texts {
		a, err := c.query(s, c.id(), text)
		if err != nil || a.Code != "" {
			return false
		}
	}
	c.prepared = true
	return true
}

// query sends a statement. Callers send only statements that the protocol allows, but for the end
// of a transaction that may be over already.
func (c *caller) query(s *lineclient.Client, id, text string) (lineclient.Answer, error) {
	a, err := s.Query(id, text)
	if err == nil && a.Code == "MALFORMED" && text != "COMMIT" && text != "ROLLBACK" {
		command, _, _ := strings.Cut(text, " ")
		c.run.ledger.addProblem("malformed-%s: %s %.80q was refused", command, id, text)
	}
	return a, err
}

// writeText returns a statement that writes the data to the caller's item. It and readText use the
// prepared statement every other time.
func (c *caller) writeText(data string) string {
	if c.prepared && c.rand.IntN(2) == 0 {
		return "EXECUTE " + c.writeName + " " + c.item() + " " + data
	}
	return "WRITE " + c.item() + " " + data
}

func (c *caller) readText(item string) string {
	if c.prepared && c.rand.IntN(2) == 0 {
		return "EXECUTE " + c.readName + " " + item
	}
	return "READ " + item
}

// data returns new data that stands for the value.
func (c *caller) data(value int) string {
	data := c.texts.Last(value)
	c.run.ledger.recordSent(c.item(), data, value)
	return data
}

func (c *caller) item() string { return c.run.ledger.itemOf(c.number) }

func (c *caller) id() string { return fmt.Sprintf("s%08d", c.ids.Add(1)) }

func (c *caller) write(s *lineclient.Client, value int) bool {
	id := c.id()
	a, err := c.query(s, id, c.writeText(c.data(value)))
	return c.recordOutcome(id, value, a, err)
}

func (c *caller) transaction(s *lineclient.Client, value int) bool {
	if a, err := c.query(s, c.id(), "BEGIN"); err != nil || a.Code != "" {
		return err == nil && a.State == "I"
	}
	id, data := c.id(), c.data(value)
	a, err := c.query(s, id, c.writeText(data))
	if err != nil {
		return false
	}
	if a.Code == "" && c.rand.IntN(2) == 0 {
		if a, err = c.query(s, c.id(), c.readText(c.item())); err != nil {
			return false
		}
		if a.Code == "" && (len(a.Rows) != 1 || a.Rows[0] != data) {
			c.run.ledger.addProblem("wrong-row-in-transaction: write %s of %.80q reads %.80q", id, data, a.Rows)
		}
	}
	if a.Code != "" || c.rand.IntN(5) == 0 {
		c.recordRejected(id)
		a, err := c.query(s, c.id(), "ROLLBACK")
		return err == nil && a.State == "I"
	}
	a, err = c.query(s, c.id(), "COMMIT")
	return c.recordOutcome(id, value, a, err)
}

// recordOutcome records the answer that determines the outcome of a write. It returns false
// if the session has to end.
func (c *caller) recordOutcome(id string, value int, a lineclient.Answer, err error) bool {
	if err != nil || a.Code != "" && !a.HasNoEffect() {
		c.run.ledger.leaveItem(c.number)
		c.ownAcked = 0
	}
	if err != nil {
		return false
	}
	if a.HasNoEffect() {
		c.recordRejected(id)
	}
	if a.Code == "" {
		l, item := c.run.ledger, c.item()
		l.mu.Lock()
		l.acked[id] = true
		l.ackedValues[item] = max(l.ackedValues[item], value)
		l.mu.Unlock()
		c.ownAcked = max(c.ownAcked, value)
	}
	return a.State == "I"
}

func (c *caller) recordRejected(id string) {
	c.run.ledger.mu.Lock()
	defer c.run.ledger.mu.Unlock()
	c.run.ledger.rejected[id] = true
}

// read checks that the session reads its own writes and, on a current route, every write that
// was acknowledged to any caller before.
func (c *caller) read(s *lineclient.Client, route string) bool {
	item, least := c.item(), c.ownAcked
	if route == "current" {
		item = c.run.ledger.itemOf(c.rand.IntN(c.run.callers)/c.run.world.Options.Groups*c.run.world.Options.Groups + c.group)
		least = c.run.ledger.newestAcked(item)
	}
	id := c.id()
	a, err := c.query(s, id, c.readText(item))
	if err != nil {
		return false
	}
	if a.Code == "" && len(a.Rows) != 1 {
		c.run.ledger.addProblem("read %s succeeded with %d rows, want 1", id, len(a.Rows))
	} else if a.Code == "" {
		got, sent := c.run.ledger.valueOf(item, a.Rows[0])
		if !sent {
			c.run.ledger.addProblem("row-never-sent: read %s of %.80q returned %.80q", id, item, a.Rows[0])
		} else if got < least {
			c.run.ledger.addProblem("read %s of %.80q on a %s route returned %d, %d was acknowledged before", id, item, route, got, least)
		}
		c.run.ledger.mu.Lock()
		c.run.ledger.reads++
		c.run.ledger.mu.Unlock()
	}
	return a.State == "I"
}
