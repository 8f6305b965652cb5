package fairqueue

import (
	"container/heap"
	"math/rand"
	"time"
)

// statement is one simulated statement.
type statement struct {
	customer int
	arrived  time.Duration
	service  time.Duration
}

// event is the arrival of a customer's next statement or the end of a statement.
type event struct {
	at       time.Duration
	ended    bool
	customer int
	ticket   Ticket
}

type eventHeap []event

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// simulation is one run of Measure.
type simulation struct {
	site       deployment
	excess     excess
	discipline discipline
	random     *rand.Rand
	events     eventHeap
	statements map[Ticket]statement
	estimates  []time.Duration // estimated service time of each customer
	next       Ticket
	running    int
	result     result
}

// epoch is the start of virtual time.
var epoch = time.Unix(0, 0)

func run(s deployment, x excess, d discipline, random *rand.Rand) *result {
	n := len(measureLoadShares)
	sim := &simulation{
		site: s, excess: x, discipline: d, random: random,
		statements: map[Ticket]statement{},
		estimates:  make([]time.Duration, n),
		result:     result{offered: make([]int, n), served: make([]int, n), waits: make([][]time.Duration, n)},
	}
	for i := range n {
		sim.schedule(i, 0)
	}
	for len(sim.events) > 0 {
		e := heap.Pop(&sim.events).(event)
		if e.ended {
			sim.end(e)
		} else {
			sim.arrive(e)
		}
		sim.dispatch(e.at)
	}
	return &sim.result
}

// rate returns the customer's statements per second.
func (s *simulation) rate(customer int) float64 {
	total := measureLoad * float64(s.site.slots) / measureService.Seconds()
	rate := total * float64(measureLoadShares[customer]) / 100
	if customer == 0 {
		rate *= s.excess.rate
	}
	return rate
}

func (s *simulation) schedule(customer int, after time.Duration) {
	gap := s.random.ExpFloat64() / s.rate(customer)
	at := after + time.Duration(gap*float64(time.Second))
	if at < measureRun {
		heap.Push(&s.events, event{at: at, customer: customer})
	}
}

func (s *simulation) arrive(e event) {
	service := s.random.ExpFloat64() * float64(measureService)
	if e.customer == 0 {
		service *= s.excess.service
	}
	s.next++
	s.result.offered[e.customer]++
	deadline := epoch.Add(e.at + measureQueueTimeout)
	if s.discipline.push(e.customer, s.estimates[e.customer], deadline, s.next) {
		s.statements[s.next] = statement{e.customer, e.at, time.Duration(service)}
	}
	s.schedule(e.customer, e.at)
}

func (s *simulation) end(e event) {
	st := s.statements[e.ticket]
	delete(s.statements, e.ticket)
	s.running--
	s.discipline.charge(st.customer, st.service, s.estimates[st.customer])
	s.estimates[st.customer] += (st.service - s.estimates[st.customer]) >> averageShift
}

func (s *simulation) dispatch(at time.Duration) {
	for s.running < s.site.slots {
		ticket, ok := s.discipline.pop(epoch.Add(at))
		if !ok {
			return
		}
		st := s.statements[ticket]
		s.running++
		s.result.served[st.customer]++
		s.result.waits[st.customer] = append(s.result.waits[st.customer], at-st.arrived)
		heap.Push(&s.events, event{at: at + st.service, ended: true, customer: st.customer, ticket: ticket})
	}
}
