package rig

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"chicoryline/internal/standin/lineclient"
)

// Writers writes steadily through all machines and keeps what was answered. The mutex guards the
// fields below it.
type Writers struct {
	in   *Installation
	next atomic.Int64
	stop atomic.Bool
	all  sync.WaitGroup

	mu       sync.Mutex
	acked    map[string]time.Duration
	promised map[string]bool
	codes    map[string]int
}

// StartWriters starts n callers of a route, each with a session of its own that it opens anew when
// it ends.
func (i *Installation) StartWriters(n int, host string) *Writers {
	w := &Writers{in: i, acked: map[string]time.Duration{}, promised: map[string]bool{}, codes: map[string]int{}}
	for k := range n {
		w.all.Go(func() { w.run(k, host) })
	}
	return w
}

func (w *Writers) run(k int, host string) {
	for n := k; !w.stop.Load(); n++ {
		m := w.in.machines[n%len(w.in.machines)]
		c, err := lineclient.Dial(m.Front(), host, "key-a", 2*time.Second)
		if err != nil {
			w.count("no session")
			time.Sleep(100 * time.Millisecond)
			continue
		}
		for !w.stop.Load() && w.write(c, k) {
			time.Sleep(60 * time.Millisecond)
		}
		c.Close()
		time.Sleep(50 * time.Millisecond)
	}
}

// write writes once. It returns false if the session has to end.
func (w *Writers) write(c *lineclient.Client, k int) bool {
	id := fmt.Sprintf("w%05d", w.next.Add(1))
	a, err := c.Query(id, fmt.Sprintf("WRITE item%d %s", k, id))
	switch {
	case err != nil:
		w.count("broken")
		return false
	case a.Code == "":
		w.mu.Lock()
		w.acked[id] = time.Since(w.in.started)
		w.mu.Unlock()
		w.count("acknowledged")
	default:
		if a.HasNoEffect() {
			w.mu.Lock()
			w.promised[id] = true
			w.mu.Unlock()
		}
		w.count(a.Code)
		time.Sleep(100 * time.Millisecond)
	}
	return a.State == "I"
}

func (w *Writers) count(code string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.codes[code]++
}

// Stop ends the callers.
func (w *Writers) Stop() {
	w.stop.Store(true)
	w.all.Wait()
}

// Acked returns how many writes were acknowledged to callers.
func (w *Writers) Acked() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.acked)
}

// Check compares what callers were told with what the group holds. It returns one line for each rule
// that is broken.
func (w *Writers) Check(g *Group) (lost, twice, refused []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	holds := g.Holds()
	for id, at := range w.acked {
		if holds[id] == 0 {
			lost = append(lost, fmt.Sprintf("%s, acknowledged to its caller at %.3f s", id, at.Seconds()))
		}
	}
	for id, n := range holds {
		if n > 1 {
			twice = append(twice, id)
		}
		if w.promised[id] {
			refused = append(refused, id)
		}
	}
	w.in.Logf("answers to callers: %v; the database holds %d writes", w.codes, len(holds))
	return lost, twice, refused
}

// Served is how many requests of an interval were served.
type Served struct{ Sent, OK int }

// Share returns the part of the requests that were served.
func (s Served) Share() float64 { return float64(s.OK) / float64(max(s.Sent, 1)) }

// Mix sends reads and writes on the three routes of a group through all machines. The mutex guards the
// fields below it.
type Mix struct {
	in   *Installation
	stop atomic.Bool
	all  sync.WaitGroup
	next atomic.Int64

	mu       sync.Mutex
	requests []sentRequest
}

type sentRequest struct {
	at time.Duration
	ok bool
}

// StartMix starts n callers.
func (i *Installation) StartMix(n int, group string) *Mix {
	m := &Mix{in: i}
	for k := range n {
		m.all.Go(func() { m.run(k, group) })
	}
	return m
}

func (m *Mix) run(k int, group string) {
	kinds := []string{"primary", "bounded_staleness", "read_your_writes"}
	for n := k; !m.stop.Load(); n++ {
		kind := kinds[n%len(kinds)]
		at := time.Since(m.in.started)
		c, err := lineclient.Dial(m.in.machines[n%len(m.in.machines)].Front(), kind+"-"+group, "key-a", 2*time.Second)
		if err != nil {
			m.note(at, false)
			time.Sleep(100 * time.Millisecond)
			continue
		}
		for range 5 {
			id := fmt.Sprintf("m%05d", m.next.Add(1))
			text := "READ item" + fmt.Sprint(k)
			if kind != "bounded_staleness" && m.next.Load()%3 == 0 {
				text = fmt.Sprintf("WRITE item%d %s", k, id)
			}
			at := time.Since(m.in.started)
			a, err := c.Query(id, text)
			m.note(at, err == nil && a.Code == "")
			if err != nil {
				break
			}
			time.Sleep(60 * time.Millisecond)
		}
		c.Close()
	}
}

func (m *Mix) note(at time.Duration, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.requests = append(m.requests, sentRequest{at, ok})
}

// Stop ends the callers.
func (m *Mix) Stop() {
	m.stop.Store(true)
	m.all.Wait()
}

// Between returns what became of the requests that were sent in an interval.
func (m *Mix) Between(from, to time.Time) (s Served) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range m.requests {
		if at := m.in.started.Add(r.at); at.Before(from) || !at.Before(to) {
			continue
		}
		s.Sent++
		if r.ok {
			s.OK++
		}
	}
	return s
}
