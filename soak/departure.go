package main

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"chicoryline/internal/standin/linegroup"
)

// departureStream is the stream of random numbers of departures.
const departureStream = 1 << 22

// departures lets a replica of each group leave as planned, after a new one has joined. Then the
// primaries are lost for good, and all processes are killed: at once, or one after the other.
func (r *run) departures() {
	random := rand.New(rand.NewPCG(r.seed, departureStream))
	pause := func(from, to int) time.Duration { return time.Duration(from+random.IntN(to-from)) * time.Millisecond }
	joining, drain, between, lost, down := pause(0, 3000), drainTime+pause(0, 1500), pause(0, 4000), pause(0, 1000), pause(600, 1200)
	gap := time.Duration(random.IntN(2)) * pause(50, 400)
	time.Sleep(joining)
	var leaving []*linegroup.Server
	for _, g := range r.world.Groups {
		l := &seriesRunner{run: r, group: g, rand: random}
		first, second := l.replicas()
		if second == nil {
			r.recordEvent("%s: no replica may leave", g.Name())
			continue
		}
		s, err := r.world.AddServer(g, second.Domain, true)
		if err != nil {
			r.ledger.addProblem("no new server: %v", err)
			continue
		}
		r.repeatAnswers(s)
		first.StartDraining()
		r.world.PublishEntry(first)
		r.recordEvent("%s leaves, %s takes its place", first.ID, s.ID)
		leaving = append(leaving, first)
	}
	time.Sleep(drain)
	for _, s := range leaving {
		if _, _, isDraining := s.State(); isDraining {
			r.recordEvent("%s stops", s.ID)
			r.removeServer(s)
		}
	}
	time.Sleep(between)
	for _, g := range r.world.Groups {
		if p := g.Primary(); p != nil {
			r.recordEvent("primary %s is lost for good", p.ID)
			r.removeServer(p)
		}
	}
	time.Sleep(lost)
	r.recordEvent("all processes are killed")
	var all sync.WaitGroup
	for i, vm := range r.vms {
		all.Go(func() {
			time.Sleep(time.Duration(i) * gap)
			vm.stop(syscall.SIGKILL)
			time.Sleep(down)
			r.restart(vm)
		})
	}
	all.Wait()
}
