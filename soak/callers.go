package main

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"chicoryline/internal/standin/lineclient"
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
)

// ledger collects the outcomes that callers observed. The mutex guards it.
type ledger struct {
	mu          sync.Mutex
	acked       map[string]bool // ids of acknowledged writes
	rejected    map[string]bool
	ackedValues map[string]int // highest acknowledged value, by item
	itemNumbers map[int]int    // number of the current item, by caller
	problems    []string
	reads       int
}

func newLedger() *ledger {
	return &ledger{acked: map[string]bool{}, rejected: map[string]bool{}, ackedValues: map[string]int{}, itemNumbers: map[int]int{}}
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
	return fmt.Sprintf("item%d-%d", caller, l.itemNumbers[caller])
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
	// ownAcked is the highest value acknowledged in the current session, prepared whether the
	// session has prepared statements.
	ownAcked int
	prepared bool
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
	for _, text := range []string{fmt.Sprintf("SET color %d", value), "PARSE w WRITE shape-w", "PARSE r READ shape-r"} {
		if a, err := s.Query(c.id(), text); err != nil || a.Code != "" {
			return false
		}
	}
	c.prepared = true
	return true
}

// writeText and readText use the prepared statement every other time.
func (c *caller) writeText(value int) string {
	if c.prepared && c.rand.IntN(2) == 0 {
		return fmt.Sprintf("EXECUTE w %s %d", c.item(), value)
	}
	return fmt.Sprintf("WRITE %s %d", c.item(), value)
}

func (c *caller) readText(item string) string {
	if c.prepared && c.rand.IntN(2) == 0 {
		return "EXECUTE r " + item
	}
	return "READ " + item
}

func (c *caller) item() string { return c.run.ledger.itemOf(c.number) }

func (c *caller) id() string { return fmt.Sprintf("s%08d", c.ids.Add(1)) }

func (c *caller) write(s *lineclient.Client, value int) bool {
	id := c.id()
	a, err := s.Query(id, c.writeText(value))
	return c.recordOutcome(id, value, a, err)
}

func (c *caller) transaction(s *lineclient.Client, value int) bool {
	if a, err := s.Query(c.id(), "BEGIN"); err != nil || a.Code != "" {
		return err == nil && a.State == "I"
	}
	id := c.id()
	a, err := s.Query(id, c.writeText(value))
	if err != nil {
		return false
	}
	if a.Code == "" && c.rand.IntN(2) == 0 {
		if a, err = s.Query(c.id(), c.readText(c.item())); err != nil {
			return false
		}
		if a.Code == "" && (len(a.Rows) != 1 || a.Rows[0] != strconv.Itoa(value)) {
			c.run.ledger.addProblem("write %s of %d reads %v in its transaction", id, value, a.Rows)
		}
	}
	if a.Code != "" || c.rand.IntN(5) == 0 {
		c.recordRejected(id)
		a, err := s.Query(c.id(), "ROLLBACK")
		return err == nil && a.State == "I"
	}
	a, err = s.Query(c.id(), "COMMIT")
	return c.recordOutcome(id, value, a, err)
}

// recordOutcome records the answer that determines the outcome of a write. It returns false
// if the session has to end.
func (c *caller) recordOutcome(id string, value int, a lineclient.Answer, err error) bool {
	if err != nil || a.Code != "" && !a.HasNoEffect() {
		c.run.ledger.mu.Lock()
		c.run.ledger.itemNumbers[c.number]++
		c.run.ledger.mu.Unlock()
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
	a, err := s.Query(id, c.readText(item))
	if err != nil {
		return false
	}
	if a.Code == "" && len(a.Rows) != 1 {
		c.run.ledger.addProblem("read %s succeeded with %d rows, want 1", id, len(a.Rows))
	} else if a.Code == "" {
		got, _ := strconv.Atoi(a.Rows[0]) // an empty row is 0
		if got < least {
			c.run.ledger.addProblem("read %s of %s on a %s route returned %d, %d was acknowledged before", id, item, route, got, least)
		}
		c.run.ledger.mu.Lock()
		c.run.ledger.reads++
		c.run.ledger.mu.Unlock()
	}
	return a.State == "I"
}
