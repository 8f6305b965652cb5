// Package load drives a site with an open-loop load and judges what the callers
// saw and what the backend servers hold against the promises. It never looks at
// a proxy's own counters.
//
// Arrivals follow a Poisson process for each customer and do not wait for
// answers; the latency of a request counts from its arrival.
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
	// Rate and Burst are the customer's limits, in statements a second and
	// statements.
	Rate  float64
	Burst float64
	// Offered is what the customer sends, in requests a second.
	Offered float64
	// Sessions is the number of its sessions.
	Sessions int
}

// ExceedsRate reports whether the customer sends more than its rate.
func (c Customer) ExceedsRate() bool { return c.Offered*statementsPerRequest > c.Rate }

// statementsPerRequest is the mean cost of a request of the mix, in statements.
const statementsPerRequest = 1.3

// Config describes a load.
type Config struct {
	// Addresses returns the proxies (host:port) that callers may connect to.
	Addresses func() []string
	// Dial opens connections; nil uses TCP.
	Dial      func(ctx context.Context, network, address string) (net.Conn, error)
	Customers []Customer
	// Groups are the database groups; routes GROUP and GROUP-aged must exist.
	Groups []string
	// MaxAge is the stated age of the aged routes.
	MaxAge time.Duration
	// ReadShare is the part of requests that read, RoamShare the part after
	// which the session moves to another proxy.
	ReadShare float64
	RoamShare float64
	Duration  time.Duration
	Seed      uint64
}

// Load is a running load. The mutex guards the records.
type Load struct {
	cfg     Config
	started time.Time
	clocks  map[string]*clockHistory

	mu         sync.Mutex
	records    []Record
	violations []Violation
}

// Kind tells what a request did.
type Kind uint8

// The kinds of request.
const (
	// Book inserts one booking.
	Book Kind = iota
	// Confirm inserts a booking and updates the session's row in a transaction.
	Confirm
	// ReadOwnWrite reads the session's row.
	ReadOwnWrite
	// BoundedRead reads the clock row with the stated age.
	BoundedRead
	// Echo reads back a text of its own.
	Echo
)

// IsRead reports whether the kind changes nothing.
func (k Kind) IsRead() bool { return k >= ReadOwnWrite }

// Record is one finished request as its caller saw it.
type Record struct {
	Customer string
	Group    string
	Kind     Kind
	// Booking is the id that the request wrote, if any.
	Booking string
	// Cost is the number of statements that the request needs, Statements the
	// number that surely were admitted.
	Cost       int
	Statements int
	Arrived    time.Time
	Sent       time.Time
	Done       time.Time
	// Outcome says how it ended.
	Outcome Outcome
}

// Violation is a broken promise seen by a caller at once.
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

// Run drives the load for its duration and returns when every request has ended.
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

// arrivalBufferSize bounds the arrivals that wait for a session. A full buffer
// delays the source, which the figures then say.
const arrivalBufferSize = 100000

// generateArrivals sends arrival times until the context ends.
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

// Progress returns the number of requests that have ended, and of those that
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

// Records returns the requests that have ended.
func (l *Load) Records() []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Record(nil), l.records...)
}

// Violations returns the broken promises that callers saw at once.
func (l *Load) Violations() []Violation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Violation(nil), l.violations...)
}
