// Package load drives a site with an open-loop load and checks what the callers observed
// and what the backend servers hold against the guarantees. It never reads a proxy's own
// counters.
//
// Arrivals follow a Poisson process for each customer and do not wait for answers; the
// latency of a request is measured from its arrival.
package load

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Customer is the load of one customer.
type Customer struct {
	Name string
	Key  string
	// Rate and Burst are the customer's limits, in statements per second and statements.
	Rate  float64
	Burst float64
	// Offered is the offered load, in requests per second.
	Offered float64
	// Sessions is the number of concurrent sessions.
	Sessions int
}

// ExceedsRate reports whether the offered load is above the customer's rate.
func (c Customer) ExceedsRate() bool { return c.Offered*statementsPerRequest > c.Rate }

// statementsPerRequest is the mean cost of a request in the default mix, in statements.
const statementsPerRequest = 1.3

// Config configures a load.
type Config struct {
	// Addresses returns the addresses (host:port) of the proxies that callers may connect to.
	Addresses func() []string
	// Dial opens connections; nil uses TCP.
	Dial      func(ctx context.Context, network, address string) (net.Conn, error)
	Customers []Customer
	// Groups are the database groups; for each, the routes GROUP and GROUP-aged must exist.
	Groups []string
	// MaxAge is the staleness bound of the "-aged" routes.
	MaxAge time.Duration
	// ReadShare is the fraction of requests that read, RoamShare the fraction after which
	// the session reconnects to a random proxy.
	ReadShare float64
	RoamShare float64
	Duration  time.Duration
	Seed      uint64
}

// Load is a running load. The mutex guards the fields below it.
type Load struct {
	cfg     Config
	started time.Time
	clocks  map[string]*clockHistory

	mu         sync.Mutex
	records    []Record
	violations []Violation
}

// Kind is the type of a request.
type Kind uint8

// The kinds of request.
const (
	// Book inserts one booking.
	Book Kind = iota
	// Confirm inserts a booking and updates the session's row in one transaction.
	Confirm
	// ReadOwnWrite reads the session's row.
	ReadOwnWrite
	// BoundedRead reads the clock row, at most MaxAge stale.
	BoundedRead
	// Echo reads back a unique text sent in the statement.
	Echo
)

// IsRead reports whether the kind writes nothing.
func (k Kind) IsRead() bool { return k >= ReadOwnWrite }

// Record is one finished request as its caller observed it.
type Record struct {
	Customer string
	Group    string
	Kind     Kind
	// Booking is the booking id that the request wrote, if any.
	Booking string
	// Cost is the number of statements that the request needs, Statements the number that
	// are known to have been admitted.
	Cost       int
	Statements int
	Arrived    time.Time
	Sent       time.Time
	Done       time.Time
	// Outcome is how the request ended.
	Outcome Outcome
}

// Violation is a guarantee violation that a caller detected from an answer.
type Violation struct {
	At   time.Time
	Name string
	Text string
}

// New returns a load that has not started.
func New(cfg Config) *Load {
	l := &Load{cfg: cfg, clocks: map[string]*clockHistory{}}
	for _, g := range cfg.Groups {
		l.clocks[g] = &clockHistory{}
	}
	return l
}

// Run drives the load for the configured duration and returns when all requests have ended.
func (l *Load) Run(ctx context.Context) {
	l.started = time.Now()
	ctx, cancel := context.WithTimeout(ctx, l.cfg.Duration)
	defer cancel()
	var wait sync.WaitGroup
	for i, c := range l.cfg.Customers {
		random := rand.New(rand.NewPCG(l.cfg.Seed, uint64(i)))
		arrivals := make(chan time.Time, arrivalBufferSize)
		wait.Go(func() { l.generateArrivals(ctx, c, random, arrivals) })
		for j := range c.Sessions {
			s := newSession(l, c, i, j)
			wait.Go(func() { s.run(arrivals) })
		}
	}
	for i, g := range l.cfg.Groups {
		wait.Go(func() { l.runClock(ctx, g, i) })
	}
	wait.Wait()
}

// arrivalBufferSize limits the arrivals that wait for a session. A full buffer delays the
// source of arrivals, which shows in the results.
const arrivalBufferSize = 100000

// generateArrivals sends Poisson arrival times until the context ends.
func (l *Load) generateArrivals(ctx context.Context, c Customer, random *rand.Rand, arrivals chan<- time.Time) {
	defer close(arrivals)
	next := time.Now()
	for {
		next = next.Add(time.Duration(random.ExpFloat64() / c.Offered * float64(time.Second)))
		timer := time.NewTimer(time.Until(next))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		select {
		case arrivals <- next:
		case <-ctx.Done():
			return
		}
	}
}

func (l *Load) addRecord(r Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, r)
}

func (l *Load) addViolation(name, text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, Violation{At: time.Now(), Name: name, Text: text})
}

// Progress returns the number of requests that have ended and the number of these that
// succeeded.
func (l *Load) Progress() (done, succeeded int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.records {
		if l.records[i].Outcome.Class == Succeeded {
			succeeded++
		}
	}
	return len(l.records), succeeded
}

// Records returns a copy of the records of all requests that have ended.
func (l *Load) Records() []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Record(nil), l.records...)
}

// Violations returns the violations that callers detected from answers.
func (l *Load) Violations() []Violation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Violation(nil), l.violations...)
}
