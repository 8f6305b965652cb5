package fairqueue

import (
	"fmt"
	"io"
	"math/rand"
	"sort"
	"time"
)

// Settings of Measure.
const (
	measureRun          = 60 * time.Second
	measureQueueTimeout = 250 * time.Millisecond // from arrival to the admission deadline
	measureService      = 10 * time.Millisecond  // mean service time
	measureLoad         = 0.7                    // nominal load of all slots, as a fraction
	measureExcess       = 5                      // factor by which customer 0 exceeds its rate or statement length
)

// measureLoadShares are the customers' shares of the nominal load, in percent.
// There are a few large customers; customer 0 is the one that exceeds its rate.
var measureLoadShares = []int{30, 25, 20, 9, 6, 5, 3, 2}

// deployment is the size of one user's deployment.
type deployment struct {
	name  string
	slots int
}

var deployments = []deployment{{"kremstal", 5}, {"fogas", 3}}

// disciplines are a plain FIFO queue, the fair queue with equal weights, and the fair queue
// with weights proportional to the customers' rates.
var disciplines = []string{"fifo", "fair", "rated"}

// excess describes how customer 0 exceeds its rate.
type excess struct {
	name    string
	rate    float64 // factor on its statements per second
	service float64 // factor on its mean service time
}

var excesses = []excess{
	{"none", 1, 1},
	{"rate x5", measureExcess, 1},
	{"length x5", 1, measureExcess},
}

// discipline is a queueing discipline that Measure compares.
type discipline interface {
	push(customer int, cost time.Duration, deadline time.Time, ticket Ticket) bool
	pop(now time.Time) (Ticket, bool)
	charge(customer int, used, expected time.Duration)
}

// Measure simulates each discipline in virtual time and prints, while customer 0 exceeds
// its rate, the lowest share and the longest wait of the other customers. A customer's
// share is the fraction of its statements that got a slot in time; its wait is the 99th
// percentile of the waiting times of those statements.
func Measure(w io.Writer, seed int64) {
	fmt.Fprintf(w, "fair queue: %v virtual, %d customers, nominal load %.0f %%, service %v, allowance %v, seed %d\n",
		measureRun, len(measureLoadShares), 100*measureLoad, measureService, measureQueueTimeout, seed)
	fmt.Fprintf(w, "%-9s %-10s %-5s %14s %12s %14s\n", "site", "excess", "queue", "worst other %", "p99 wait ms", "excess one %")
	for _, s := range deployments {
		for _, x := range excesses {
			for _, name := range disciplines {
				r := run(s, x, newDiscipline(name), rand.New(rand.NewSource(seed)))
				share, wait := r.worstOther()
				fmt.Fprintf(w, "%-9s %-10s %-5s %14.2f %12.1f %14.2f\n", s.name, x.name, name,
					100*share, float64(wait)/float64(time.Millisecond), 100*r.share(0))
			}
		}
	}
}

func newDiscipline(name string) discipline {
	limits := Limits{PerCustomer: 128, Total: 512}
	if name == "fifo" {
		return &fifo{limit: limits.Total}
	}
	return &fair{queue: NewQueue(limits), byRate: name == "rated"}
}

// fifo is the baseline: one bounded queue for all customers.
type fifo struct {
	limit   int
	waiting []fifoEntry
}

type fifoEntry struct {
	ticket   Ticket
	deadline time.Time
}

func (f *fifo) push(_ int, _ time.Duration, deadline time.Time, ticket Ticket) bool {
	if len(f.waiting) >= f.limit {
		return false
	}
	f.waiting = append(f.waiting, fifoEntry{ticket, deadline})
	return true
}

func (f *fifo) pop(now time.Time) (Ticket, bool) {
	for len(f.waiting) > 0 {
		e := f.waiting[0]
		f.waiting = f.waiting[1:]
		if e.deadline.After(now) {
			return e.ticket, true
		}
	}
	return 0, false
}

func (f *fifo) charge(int, time.Duration, time.Duration) {}

// fair is the fair queue with equal weights or with weights by rate.
type fair struct {
	queue  *Queue
	byRate bool
}

func (f *fair) push(customer int, cost time.Duration, deadline time.Time, ticket Ticket) bool {
	weight := 1
	if f.byRate {
		weight = measureLoadShares[customer]
	}
	return f.queue.Push(customerName(customer), weight, cost, deadline, ticket) == nil
}

func (f *fair) pop(now time.Time) (Ticket, bool) {
	f.queue.Expire(now)
	return f.queue.Pop(now)
}

func (f *fair) charge(customer int, used, expected time.Duration) {
	f.queue.Charge(customerName(customer), used, expected)
}

func customerName(i int) string { return fmt.Sprintf("c%d", i) }

// result has the counts and waiting times of each customer.
type result struct {
	offered, served []int
	waits           [][]time.Duration
}

func (r *result) share(customer int) float64 {
	return float64(r.served[customer]) / float64(r.offered[customer])
}

func (r *result) worstOther() (share float64, wait time.Duration) {
	share = 1
	for i := 1; i < len(r.offered); i++ {
		share = min(share, r.share(i))
		sort.Slice(r.waits[i], func(a, b int) bool { return r.waits[i][a] < r.waits[i][b] })
		if n := len(r.waits[i]); n > 0 {
			wait = max(wait, r.waits[i][n*99/100])
		}
	}
	return share, wait
}
