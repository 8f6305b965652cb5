// Case 3: a planned stop cuts off statements of open transactions that it has accepted.
package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"chicoryline/internal/standin/lineclient"
	"chicoryline/internal/standin/world"
	"chicoryline/review/harness"
)

const (
	clients = 12
	// statementTime is within the site's work of lookups (mean 55 ms, at most 410 ms).
	statementTime = 300 * time.Millisecond
	// A transaction has at most 12 statements, BEGIN and COMMIT included, with pauses between them.
	statements = 10
	pause      = 320 * time.Millisecond
	// stagger is the time between the starts of two clients.
	stagger = 45 * time.Millisecond
	// grace is grace_s. The rule excuses only requests that were sent no later than excusedSent
	// after the SIGTERM.
	grace       = 6 * time.Second
	excusedSent = 3 * time.Second
	answerLimit = 5 * time.Second
	database    = "bounded-0"
	key         = "key-0"
)

// client runs one read-only transaction and reports the statements that got no answer.
type client struct {
	number int
	fleet  *harness.Fleet
	taps   *harness.Taps

	mu    *sync.Mutex
	term  *time.Time
	lost  *int
	fails *int
}

func main() { harness.Main(run) }

func run(record *harness.Record, trouble bool) (bool, error) {
	taps := harness.NewTaps(record)
	defer taps.Close()
	fleet, err := harness.NewFleet(world.Options{
		ServerAddress: taps.Address,
		Groups:        1, Domains: []string{"north", "south", "east"}, VMs: 3, MaxConnections: 34,
		Lag: 60 * time.Millisecond, StatementTime: statementTime, PromotionDelay: 600 * time.Millisecond,
		KeyRevocationDelay: 5 * time.Second,
		Customers:          []world.Customer{{Name: "customer0", Keys: []string{key}, Rate: 121, Burst: 121}},
	}, harness.Program(), record)
	if err != nil {
		return false, err
	}
	defer fleet.Close()
	for vm := range 3 {
		if err := fleet.Start(vm); err != nil {
			return false, err
		}
	}
	for vm := range 3 {
		if err := fleet.AwaitReads(vm, database, key); err != nil {
			return false, err
		}
	}
	time.Sleep(5 * time.Second) // stable_window_ms, and the first window of the rate limit

	var wg sync.WaitGroup
	var mu sync.Mutex
	var term time.Time
	lost, fails := 0, 0
	for i := range clients {
		c := &client{number: i, fleet: fleet, taps: taps, mu: &mu, term: &term, lost: &lost, fails: &fails}
		wg.Go(c.transaction)
		time.Sleep(stagger)
	}
	if trouble {
		mu.Lock()
		term = time.Now()
		mu.Unlock()
		fleet.Signal(0, syscall.SIGTERM)
		ended := make(chan struct{})
		go func() { fleet.Wait(0); close(ended) }()
		select {
		case <-ended:
		case <-time.After(grace):
			fleet.Signal(0, syscall.SIGKILL)
			<-ended
		}
	}
	wg.Wait()
	record.Addf("statements accepted and cut off without an answer: %d; other failures: %d", lost, fails)
	return lost > 0, nil
}

// transaction runs the statements of one transaction.
func (c *client) transaction() {
	session, err := lineclient.Dial(c.fleet.World.FrontAddress(0), database, key, answerLimit)
	if err != nil {
		c.fleet.Record.Addf("client %d: no session: %v", c.number, err)
		return
	}
	defer session.Close()
	if !c.statement(session, 0, "BEGIN READ") {
		return
	}
	for i := range statements {
		if !c.statement(session, i+1, fmt.Sprintf("READ item%d", i)) {
			return
		}
		time.Sleep(pause)
	}
	c.statement(session, statements+1, "COMMIT")
}

// statement sends one statement and reports whether it succeeded.
func (c *client) statement(session *lineclient.Client, n int, text string) bool {
	id := fmt.Sprintf("c%ds%d", c.number, n)
	sent := time.Now()
	a, err := session.Query(id, text)
	took := time.Since(sent)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil && a.Code == "" {
		c.fleet.Record.Addf("%s %q: answered after %d ms, %s", id, text, took.Milliseconds(), a.Signature)
		return true
	}
	*c.fails++
	if err == nil {
		c.fleet.Record.Addf("%s %q: refused: %s %s", id, text, a.Code, a.Text)
		return false
	}
	if c.term.IsZero() {
		c.fleet.Record.Addf("%s %q: %v after %d ms, before any SIGTERM", id, text, err, took.Milliseconds())
		return false
	}
	after := sent.Sub(*c.term)
	c.fleet.Record.Addf("%s %q: sent %d ms after SIGTERM, no answer after %d ms: %v", id, text, after.Milliseconds(), took.Milliseconds(), err)
	if after > excusedSent && c.taps.Passed(id) {
		c.fleet.Record.Addf("%s was passed on to a backend server and is not excused", id)
		*c.lost++
	}
	return false
}
