package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"chicoryline/internal/standin/linegroup"
)

const (
	// Streams of random numbers beside those of the callers.
	watcherStream = 1 << 20
	seriesStream  = 1 << 21

	// drainTime is how long a server serves after it has said that it leaves, as the
	// settings of the VMs state.
	drainTime = 7 * time.Second
	// maxEntryAge is how long a silent server keeps its entry, at most: three
	// heartbeats of 1.2 s.
	maxEntryAge = 3600 * time.Millisecond
	// maxDepartures is how many servers of a group leave in a run: each takes drainTime.
	maxDepartures = 2
)

// seriesRunner plays series of faults on one group. Each brings servers' logs and entries
// apart before the primary fails, which independent faults hardly ever do.
type seriesRunner struct {
	run        *run
	group      *linegroup.Group
	rand       *rand.Rand
	departures int // servers that have left or will
}

// step is one fault of a series.
type step struct {
	delay time.Duration
	name  string
	run   func()
}

// series plays on all groups until the end, beside the single faults.
func (r *run) series(end time.Time) {
	var lanes sync.WaitGroup
	for i, g := range r.world.Groups {
		l := &seriesRunner{run: r, group: g, rand: rand.New(rand.NewPCG(r.seed, uint64(seriesStream+i)))}
		lanes.Go(func() {
			for time.Now().Before(end) {
				l.startSeries()
				time.Sleep(l.randomDuration(1500, 4000))
			}
		})
	}
	for time.Now().Before(end) {
		time.Sleep(time.Duration(1000+r.rand.IntN(3000)) * time.Millisecond)
		r.injectFault()
	}
	lanes.Wait()
}

// randomDuration draws a time between two numbers of milliseconds.
func (l *seriesRunner) randomDuration(from, to int) time.Duration {
	return time.Duration(from+l.rand.IntN(to-from)) * time.Millisecond
}

// play runs the steps one after the other, beside other series.
func (l *seriesRunner) play(name string, steps ...step) {
	l.run.recordEvent("series on %s: %s", l.group.Name(), name)
	l.run.wg.Go(func() {
		for _, s := range steps {
			time.Sleep(s.delay)
			l.run.recordEvent("%s: %s", name, s.name)
			s.run()
		}
	})
}

// startSeries draws a series and starts it. All is drawn before it starts; servers that
// depend on who leads are taken when their step comes.
func (l *seriesRunner) startSeries() {
	first, second := l.replicas()
	if second == nil {
		return
	}
	if l.run.options.Replaced && l.rand.IntN(2) == 0 {
		l.isolatePrimary()
		return
	}
	switch l.rand.IntN(7) {
	case 0:
		l.play("deaf replica, failing primary",
			l.stopReplication(0, second),
			l.failPrimary(l.randomDuration(300, 1500)),
			l.resumeReplication(l.randomDuration(0, 2500), second))
	case 1:
		s := []*linegroup.Server{first, second, l.group.Primary()}[l.rand.IntN(3)]
		if s == nil {
			s = first
		}
		l.play("lapsed entry", l.expireEntry(0, s), l.restoreEntry(l.randomDuration(1000, 5000), s))
	case 2:
		l.play("lapsed entry, deaf replica, failing primary",
			l.expireEntry(0, first),
			l.stopReplication(l.randomDuration(2200, 3600), second),
			l.failPrimary(l.randomDuration(200, 900)),
			l.restoreEntry(l.randomDuration(1500, 4000), first),
			l.resumeReplication(l.randomDuration(0, 1000), second))
	case 3:
		back, deaf := first, second
		if p := l.group.Primary(); p != nil && l.rand.IntN(2) == 0 {
			back = p
		}
		l.play("return without an entry, deaf replica, failing primary",
			step{0, "stop and hide " + back.ID, func() { l.run.crashIfOthersRun(back); l.run.world.Hide(back) }},
			step{l.randomDuration(2000, 4000), "restart " + back.ID, func() { l.run.restartServer(back) }},
			l.stopReplication(l.randomDuration(100, 600), deaf),
			l.failPrimary(l.randomDuration(200, 1000)),
			l.restoreEntry(l.randomDuration(1500, 4000), back),
			l.resumeReplication(l.randomDuration(0, 1000), deaf))
	case 4:
		l.departServer(false)
	case 5:
		l.departServer(true)
	case 6:
		l.play("late orders, two failing primaries",
			l.loseOrders(0),
			l.failPrimary(l.randomDuration(0, 300)),
			l.failPrimary(l.randomDuration(1500, 5000)))
	}
}

// isolatePrimary cuts the primary off with one VM: open connections go on, its entry may lapse and
// come back while it still takes itself for the primary.
func (l *seriesRunner) isolatePrimary() {
	p := l.group.Primary()
	if p == nil {
		return
	}
	store := l.run.storeProxies[l.rand.IntN(len(l.run.storeProxies))]
	lapses := l.rand.IntN(2) == 0
	l.play("secluded primary",
		step{0, "seclude " + p.ID, func() {
			p.CloseToNew(true)
			p.Cut(true)
			store.setFaults(0, true, true)
			if lapses {
				l.run.world.Hide(p)
			}
		}},
		step{l.randomDuration(1500, 5000), "callers reach " + p.ID, func() {
			p.CloseToNew(false)
			store.setFaults(0, false, false)
			store.resetAll()
			l.run.world.Show(p)
		}},
		step{l.randomDuration(500, 2000), p.ID + " reaches the others", func() { p.Cut(false) }})
}

// replicas returns two running servers that do not lead, in random order.
func (l *seriesRunner) replicas() (first, second *linegroup.Server) {
	list := l.run.activeServers(l.group)
	l.rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	for _, s := range list {
		if up, leads, leaving := s.State(); !up || leads || leaving {
			continue
		}
		if first != nil {
			return first, s
		}
		first = s
	}
	return first, nil
}

// departServer starts a server, with or without an entry at first; then one leaves, which
// is the primary if the orders are to be late, and ends. Its entry may lapse sooner.
func (l *seriesRunner) departServer(late bool) {
	if l.departures >= maxDepartures {
		return
	}
	l.departures++
	entry, lapse := l.rand.IntN(4) > 0, l.rand.IntN(3) == 0
	unknown := l.randomDuration(0, int(maxEntryAge.Milliseconds()))
	first, _ := l.replicas()
	leaver := l.group.Primary()
	if leaver == nil || !late && l.rand.IntN(2) == 0 {
		leaver = first
	}
	if leaver == nil {
		return
	}
	options := l.run.world.Options
	domain := options.Domains[l.rand.IntN(len(options.Domains))]
	steps := []step{
		{0, fmt.Sprintf("new server, entry %t", entry), func() {
			s, err := l.run.world.AddServer(l.group, domain, entry)
			if err != nil {
				l.run.ledger.addProblem("no new server: %v", err)
				return
			}
			if !entry {
				l.run.runAfter(unknown, func() { l.run.world.Show(s) })
			}
		}},
	}
	if late {
		steps = append(steps, l.loseOrders(l.randomDuration(0, 500)))
	}
	steps = append(steps, step{l.randomDuration(0, 1000), leaver.ID + " leaves", func() { leaver.Leave(); l.run.world.Announce(leaver) }})
	rest := drainTime + l.randomDuration(0, 1500)
	if lapse {
		at := l.randomDuration(500, 4000)
		rest -= at
		steps = append(steps, l.expireEntry(at, leaver))
	}
	if late {
		at := l.randomDuration(500, 2500)
		rest -= at
		steps = append(steps, l.failPrimary(at))
	}
	steps = append(steps, step{rest, leaver.ID + " ends", func() {
		// One that has restarted meanwhile does not leave any more.
		if _, _, leaving := leaver.State(); leaving {
			l.run.removeServer(leaver)
		}
	}})
	l.play(fmt.Sprintf("leaving server, late orders %t", late), steps...)
}

func (l *seriesRunner) stopReplication(after time.Duration, s *linegroup.Server) step {
	return step{after, s.ID + " is deaf", func() { s.Deafen(true) }}
}

func (l *seriesRunner) resumeReplication(after time.Duration, s *linegroup.Server) step {
	return step{after, s.ID + " hears", func() { s.Deafen(false) }}
}

func (l *seriesRunner) expireEntry(after time.Duration, s *linegroup.Server) step {
	return step{after, "entry of " + s.ID + " lapses", func() { l.run.world.Hide(s) }}
}

func (l *seriesRunner) restoreEntry(after time.Duration, s *linegroup.Server) step {
	return step{after, "entry of " + s.ID + " is back", func() { l.run.world.Show(s) }}
}

// loseOrders leaves some orders without an answer; they are carried out late.
func (l *seriesRunner) loseOrders(after time.Duration) step {
	n, late := 1+l.rand.IntN(4), l.randomDuration(300, 5000)
	return step{after, fmt.Sprintf("%d orders are %v late", n, late), func() { l.run.world.Store.LoseOrders(n, late) }}
}

// failPrimary makes the primary of that moment crash, go dark or lose its replicas, for a
// while.
func (l *seriesRunner) failPrimary(after time.Duration) step {
	kind, length, lapse := l.rand.IntN(3), l.randomDuration(1500, 4500), l.randomDuration(0, int(maxEntryAge.Milliseconds()))
	name := []string{"primary crashes", "primary goes dark", "primary loses its replicas"}[kind]
	return step{after, fmt.Sprintf("%s for %v", name, length), func() {
		p := l.group.Primary()
		if p == nil {
			return
		}
		switch kind {
		case 0:
			if l.run.crashIfOthersRun(p) {
				l.run.runAfter(lapse, func() { l.run.world.Announce(p) })
				l.run.runAfter(length, func() { l.run.restartServer(p) })
			}
		case 1:
			p.Silence(true)
			l.run.runAfter(length, func() { p.Silence(false); l.run.serverProxy(p).resetAll() })
		case 2:
			p.Cut(true)
			l.run.runAfter(length, func() { p.Cut(false) })
		}
	}}
}
