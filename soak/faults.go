package main

import (
	"fmt"
	"syscall"
	"time"

	"chicoryline/internal/standin/linegroup"
	"chicoryline/internal/standin/rowstore"
)

// runAfter undoes a fault after a while, beside other faults.
func (r *run) runAfter(delay time.Duration, undo func()) {
	r.wg.Go(func() {
		time.Sleep(delay)
		undo()
	})
}

// injectFault begins one fault. Several may overlap, on the same part as well.
func (r *run) injectFault() {
	duration := time.Duration(300+r.rand.IntN(2500)) * time.Millisecond
	vm := r.vms[r.rand.IntN(len(r.vms))]
	storeProxy := r.storeProxies[r.rand.IntN(len(r.storeProxies))]
	group := r.world.Groups[r.rand.IntN(len(r.world.Groups))]
	servers := r.activeServers(group)
	server := servers[r.rand.IntN(len(servers))]
	serverProxy := r.serverProxy(server)
	kinds := []struct {
		name  string
		begin func()
	}{
		{fmt.Sprintf("kill vm%d", vm.vm), func() { vm.stop(syscall.SIGKILL); r.runAfter(duration/4, func() { r.restart(vm) }) }},
		{fmt.Sprintf("stop vm%d", vm.vm), func() { r.runAfter(0, func() { vm.stop(syscall.SIGTERM); r.restart(vm) }) }},
		{fmt.Sprintf("pause vm%d", vm.vm), func() { vm.signal(syscall.SIGSTOP); r.runAfter(duration, func() { vm.signal(syscall.SIGCONT) }) }},
		{"delay store", func() {
			storeProxy.setFaults(duration/10, false, false)
			r.runAfter(duration, func() { storeProxy.setFaults(0, false, false) })
		}},
		{"silence store", func() {
			storeProxy.setFaults(0, true, false)
			r.runAfter(duration, func() { storeProxy.setFaults(0, false, false); storeProxy.resetAll() })
		}},
		{"cut way to store", func() {
			storeProxy.setFaults(0, false, true)
			r.runAfter(duration, func() { storeProxy.setFaults(0, false, false); storeProxy.resetAll() })
		}},
		{"reset store", storeProxy.resetAll},
		{"store refuses", func() { r.storeFault(rowstore.Busy, duration) }},
		{"store loses answers", func() { r.storeFault(rowstore.LoseAnswers, duration) }},
		{"store forgets history", r.world.Store.Compact},
		{"late promotion", func() { r.world.Store.LoseOrders(1, duration) }},
		{"crash " + server.ID, func() { r.crashAndRestart(server, duration) }},
		{"crash primary", func() { r.crashAndRestart(group.Primary(), duration) }},
		{"silence " + server.ID, func() {
			serverProxy.setFaults(0, true, false)
			r.runAfter(duration, func() { serverProxy.setFaults(0, false, false); serverProxy.resetAll() })
		}},
		{"cut way to " + server.ID, func() {
			serverProxy.setFaults(0, false, true)
			r.runAfter(duration, func() { serverProxy.setFaults(0, false, false); serverProxy.resetAll() })
		}},
		{"delay " + server.ID, func() {
			serverProxy.setFaults(duration/20, false, false)
			r.runAfter(duration, func() { serverProxy.setFaults(0, false, false) })
		}},
		{"reset " + server.ID, serverProxy.resetAll},
		{"lose answers of " + server.ID, func() { server.LoseAnswers(3) }},
		{"lag " + server.ID, func() { server.SetLag(duration); r.runAfter(duration, func() { server.SetLag(0) }) }},
	}
	k := kinds[r.rand.IntN(len(kinds))]
	r.recordEvent("%s", k.name)
	k.begin()
}

func (r *run) restart(vm *process) {
	select {
	case <-vm.done:
	default:
		return // another fault has started it already
	}
	if err := vm.start(); err != nil {
		r.ledger.addProblem("vm %d did not start: %v", vm.vm, err)
	}
}

func (r *run) storeFault(f rowstore.Fault, duration time.Duration) {
	r.world.Store.SetFault(f)
	r.runAfter(duration, func() { r.world.Store.SetFault(rowstore.None) })
}

// activeServers returns the group's servers that have not left.
func (r *run) activeServers(g *linegroup.Group) []*linegroup.Server {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []*linegroup.Server
	for _, s := range g.Servers() {
		if !r.departed[s] {
			list = append(list, s)
		}
	}
	return list
}

// crashAndRestart ends a server for a while, if there is one and the rest of its group runs.
func (r *run) crashAndRestart(s *linegroup.Server, duration time.Duration) {
	if r.crashIfOthersRun(s) {
		r.world.Announce(s)
		r.runAfter(duration, func() { r.restartServer(s) })
	}
}

// crashIfOthersRun ends a server if the rest of its group runs; its entry stays.
func (r *run) crashIfOthersRun(s *linegroup.Server) bool {
	if s == nil {
		return false
	}
	r.lifecycle.Lock()
	defer r.lifecycle.Unlock()
	for _, g := range r.world.Groups {
		for _, o := range r.activeServers(g) {
			if up, _, _ := o.State(); !up && g.Name() == s.ID[:len(g.Name())] {
				return false
			}
		}
	}
	s.Crash()
	return true
}

// restartServer brings a server back that is down and has not left.
func (r *run) restartServer(s *linegroup.Server) {
	r.lifecycle.Lock()
	defer r.lifecycle.Unlock()
	r.mu.Lock()
	left := r.departed[s]
	r.mu.Unlock()
	if up, _, _ := s.State(); up || left {
		return
	}
	if err := s.Restart(); err != nil {
		r.ledger.addProblem("%s did not restart: %v", s.ID, err)
		return
	}
	r.world.Announce(s)
}

// removeServer ends a server for good.
func (r *run) removeServer(s *linegroup.Server) {
	r.lifecycle.Lock()
	defer r.lifecycle.Unlock()
	r.mu.Lock()
	r.departed[s] = true
	r.mu.Unlock()
	s.Crash()
	r.world.Announce(s)
}

// heal ends what is left of faults.
func (r *run) heal() {
	r.world.Store.SetFault(rowstore.None)
	r.world.Store.LoseOrders(0, 0)
	for _, p := range r.storeProxies {
		p.setFaults(0, false, false)
	}
	for _, g := range r.world.Groups {
		for _, s := range r.activeServers(g) {
			r.serverProxy(s).setFaults(0, false, false)
			s.Deafen(false)
			s.Cut(false)
			s.Silence(false)
			r.restartServer(s)
			r.world.Show(s)
		}
	}
	for _, vm := range r.vms {
		vm.signal(syscall.SIGCONT)
		r.restart(vm)
	}
}
