package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"chicoryline/internal/standin/linegroup"
)

const (
	// Streams of random numbers; the numbers below are the streams of the callers.
	watcherStream = 1 << 20
	seriesStream  = 1 << 21

	// drainTime is how long a server keeps serving after it announced that it leaves. It
	// equals drain_ms in the settings of the VMs.
	drainTime = 7 * time.Second
	// maxEntryAge is the longest time for which the entry of an unresponsive server remains:
	// three heartbeats of 1.2 s.
	maxEntryAge = 3600 * time.Millisecond
	// maxDepartures bounds the servers of a group that leave in a run, as each departure
	// takes drainTime.
	maxDepartures = 2
)

// seriesRunner runs series of faults on one group. Each series makes the logs and entries of
// servers diverge before the primary fails, which independent faults hardly ever do.
type seriesRunner struct {
	run        *run
	group      *linegroup.Group
	rand       *rand.Rand
	departures int // departures started
}

// step is one fault of a series; delay is the time after the step before.
type step struct {
	delay time.Duration
	name  string
	run   func()
}

// series runs series of faults on all groups and single faults until the end.
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

// randomDuration returns a random duration in [from, to) milliseconds.
func (l *seriesRunner) randomDuration(from, to int) time.Duration {
	return time.Duration(from+l.rand.IntN(to-from)) * time.Millisecond
}

// play runs the steps one after the other, in the background.
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

// startSeries chooses a random series and starts it. All random choices are made before it
// starts. A step that needs the current primary determines it when the step runs.
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
		l.play("replica without replication, failing primary",
			l.stopReplication(0, second),
			l.failPrimary(l.randomDuration(300, 1500)),
			l.resumeReplication(l.randomDuration(0, 2500), second))
	case 1:
		s := []*linegroup.Server{first, second, l.group.Primary()}[l.rand.IntN(3)]
		if s == nil {
			s = first
		}
		l.play("expired entry", l.expireEntry(0, s), l.restoreEntry(l.randomDuration(1000, 5000), s))
	case 2:
		l.play("expired entry, replica without replication, failing primary",
			l.expireEntry(0, first),
			l.stopReplication(l.randomDuration(2200, 3600), second),
			l.failPrimary(l.randomDuration(200, 900)),
			l.restoreEntry(l.randomDuration(1500, 4000), first),
			l.resumeReplication(l.randomDuration(0, 1000), second))
	case 3:
		restarted, stalled := first, second
		if p := l.group.Primary(); p != nil && l.rand.IntN(2) == 0 {
			restarted = p
		}
		l.play("restart without an entry, replica without replication, failing primary",
			step{0, "stop and hide " + restarted.ID, func() { l.run.crashIfOthersRun(restarted); l.run.world.Hide(restarted) }},
			step{l.randomDuration(2000, 4000), "restart " + restarted.ID, func() { l.run.restartServer(restarted) }},
			l.stopReplication(l.randomDuration(100, 600), stalled),
			l.failPrimary(l.randomDuration(200, 1000)),
			l.restoreEntry(l.randomDuration(1500, 4000), restarted),
			l.resumeReplication(l.randomDuration(0, 1000), stalled))
	case 4:
		l.departServer(false)
	case 5:
		l.departServer(true)
	case 6:
		l.play("delayed promotions, two failing primaries",
			l.loseOrders(0),
			l.failPrimary(l.randomDuration(0, 300)),
			l.failPrimary(l.randomDuration(1500, 5000)))
	}
}

// isolatePrimary partitions the primary, together with one VM, from the rest. Open connections
// continue; its entry may expire and come back while it still acts as the primary.
func (l *seriesRunner) isolatePrimary() {
	primary := l.group.Primary()
	if primary == nil {
		return
	}
	store := l.run.storeProxies[l.rand.IntN(len(l.run.storeProxies))]
	expires := l.rand.IntN(2) == 0
	l.play("isolated primary",
		step{0, "isolate " + primary.ID, func() {
			primary.SetIgnoreNewConnections(true)
			primary.SetSendBlocked(true)
			store.setFaults(0, true, true)
			if expires {
				l.run.world.Hide(primary)
			}
		}},
		step{l.randomDuration(1500, 5000), "callers reach " + primary.ID, func() {
			primary.SetIgnoreNewConnections(false)
			store.setFaults(0, false, false)
			store.resetAll()
			l.run.world.Show(primary)
		}},
		step{l.randomDuration(500, 2000), primary.ID + " replicates again", func() { primary.SetSendBlocked(false) }})
}

// replicas returns two random running servers that are neither primary nor leaving. A missing
// one is nil.
func (l *seriesRunner) replicas() (first, second *linegroup.Server) {
	list := l.run.activeServers(l.group)
	l.rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	for _, s := range list {
		if up, primary, leaving := s.State(); !up || primary || leaving {
			continue
		}
		if first != nil {
			return first, s
		}
		first = s
	}
	return first, nil
}

// departServer starts a new server, initially with or without an entry. Then another server
// announces that it leaves, and stops after drainTime; its entry may expire earlier. If late
// is set, promotions are delayed, the leaving server is the primary, and a primary fails.
func (l *seriesRunner) departServer(late bool) {
	if l.departures >= maxDepartures {
		return
	}
	l.departures++
	entry, expires := l.rand.IntN(4) > 0, l.rand.IntN(3) == 0
	entryDelay := l.randomDuration(0, int(maxEntryAge.Milliseconds()))
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
			l.run.repeatAnswers(s)
			if !entry {
				l.run.runAfter(entryDelay, func() { l.run.world.Show(s) })
			}
		}},
	}
	if late {
		steps = append(steps, l.loseOrders(l.randomDuration(0, 500)))
	}
	steps = append(steps, step{l.randomDuration(0, 1000), leaver.ID + " leaves", func() { leaver.StartDraining(); l.run.world.PublishEntry(leaver) }})
	rest := drainTime + l.randomDuration(0, 1500)
	if expires {
		at := l.randomDuration(500, 4000)
		rest -= at
		steps = append(steps, l.expireEntry(at, leaver))
	}
	if late {
		at := l.randomDuration(500, 2500)
		rest -= at
		steps = append(steps, l.failPrimary(at))
	}
	steps = append(steps, step{rest, leaver.ID + " stops", func() {
		// A server that has restarted meanwhile is not leaving any more.
		if _, _, leaving := leaver.State(); leaving {
			l.run.removeServer(leaver)
		}
	}})
	l.play(fmt.Sprintf("leaving server, delayed promotions %t", late), steps...)
}

func (l *seriesRunner) stopReplication(after time.Duration, s *linegroup.Server) step {
	return step{after, s.ID + " receives no replication", func() { s.SetReceiveBlocked(true) }}
}

func (l *seriesRunner) resumeReplication(after time.Duration, s *linegroup.Server) step {
	return step{after, s.ID + " receives replication again", func() { s.SetReceiveBlocked(false) }}
}

func (l *seriesRunner) expireEntry(after time.Duration, s *linegroup.Server) step {
	return step{after, "entry of " + s.ID + " expires", func() { l.run.world.Hide(s) }}
}

func (l *seriesRunner) restoreEntry(after time.Duration, s *linegroup.Server) step {
	return step{after, "entry of " + s.ID + " is restored", func() { l.run.world.Show(s) }}
}

// loseOrders leaves some promotion requests without an answer; they are executed late.
func (l *seriesRunner) loseOrders(after time.Duration) step {
	n, late := 1+l.rand.IntN(4), l.randomDuration(300, 5000)
	return step{after, fmt.Sprintf("%d promotions are delayed by %v", n, late), func() { l.run.world.Store.LosePromotionAnswers(n, late) }}
}

// failPrimary makes the server that is primary when the step runs crash, stop answering or
// lose its replicas, for a while.
func (l *seriesRunner) failPrimary(after time.Duration) step {
	kind, duration, entryDelay := l.rand.IntN(3), l.randomDuration(1500, 4500), l.randomDuration(0, int(maxEntryAge.Milliseconds()))
	name := []string{"primary crashes", "primary stops answering", "primary loses its replicas"}[kind]
	return step{after, fmt.Sprintf("%s for %v", name, duration), func() {
		primary := l.group.Primary()
		if primary == nil {
			return
		}
		switch kind {
		case 0:
			if l.run.crashIfOthersRun(primary) {
				l.run.runAfter(entryDelay, func() { l.run.world.PublishEntry(primary) })
				l.run.runAfter(duration, func() { l.run.restartServer(primary) })
			}
		case 1:
			primary.SetUnresponsive(true)
			l.run.runAfter(duration, func() { primary.SetUnresponsive(false); l.run.serverProxy(primary).resetAll() })
		case 2:
			primary.SetSendBlocked(true)
			l.run.runAfter(duration, func() { primary.SetSendBlocked(false) })
		}
	}}
}
