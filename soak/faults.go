package main

import (
	"fmt"
	"syscall"
	"time"

	"chicoryline/internal/standin/linegroup"
	"chicoryline/internal/standin/rowstore"
)

// runAfter runs undo after the delay, in the background.
func (r *run) runAfter(delay time.Duration, undo func()) {
	r.wg.Go(func() {
		time.Sleep(delay)
		undo()
	})
}

// injectFault starts a random fault. Faults may overlap, also on the same process or server.
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
		{"drop answers of the store", func() {
			storeProxy.setFaults(0, true, false)
			r.runAfter(duration, func() { storeProxy.setFaults(0, false, false); storeProxy.resetAll() })
		}},
		{"drop requests to the store", func() {
			storeProxy.setFaults(0, false, true)
			r.runAfter(duration, func() { storeProxy.setFaults(0, false, false); storeProxy.resetAll() })
		}},
		{"reset connections to the store", storeProxy.resetAll},
		{"store refuses", func() { r.storeFault(rowstore.Busy, duration) }},
		{"store loses answers", func() { r.storeFault(rowstore.LoseAnswers, duration) }},
		{"store discards its history", r.world.Store.Compact},
		{"delayed promotion", func() { r.world.Store.LosePromotionAnswers(1, duration) }},
		{"crash " + server.ID, func() { r.crashAndRestart(server, duration) }},
		{"crash primary", func() { r.crashAndRestart(group.Primary(), duration) }},
		{"drop answers of " + server.ID, func() {
			serverProxy.setFaults(0, true, false)
			r.runAfter(duration, func() { serverProxy.setFaults(0, false, false); serverProxy.resetAll() })
		}},
		{"drop requests to " + server.ID, func() {
			serverProxy.setFaults(0, false, true)
			r.runAfter(duration, func() { serverProxy.setFaults(0, false, false); serverProxy.resetAll() })
		}},
		{"delay " + server.ID, func() {
			serverProxy.setFaults(duration/20, false, false)
			r.runAfter(duration, func() { serverProxy.setFaults(0, false, false) })
		}},
		{"reset connections to " + server.ID, serverProxy.resetAll},
		{"lose 3 answers of " + server.ID, func() { server.LoseAnswers(3) }},
		{"replication lag of " + server.ID, func() { server.SetLag(duration); r.runAfter(duration, func() { server.SetLag(0) }) }},
	}
	k := kinds[r.rand.IntN(len(kinds))]
	r.recordEvent("%s", k.name)
	k.begin()
}

// restart starts a VM's process unless it is running.
func (r *run) restart(vm *process) {
	select {
	case <-vm.done:
	default:
		return // already restarted after another fault
	}
	if err := vm.start(); err != nil {
		r.ledger.addProblem("vm %d failed to start: %v", vm.vm, err)
	}
}

func (r *run) storeFault(f rowstore.Fault, duration time.Duration) {
	r.world.Store.SetFault(f)
	r.runAfter(duration, func() { r.world.Store.SetFault(rowstore.NoFault) })
}

// activeServers returns the group's servers that have not been removed.
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

// crashAndRestart crashes a server for a while if all other servers of its group run. A nil
// server is ignored.
func (r *run) crashAndRestart(s *linegroup.Server, duration time.Duration) {
	if r.crashIfOthersRun(s) {
		r.world.PublishEntry(s)
		r.runAfter(duration, func() { r.restartServer(s) })
	}
}

// crashIfOthersRun crashes a server if all servers of its group run, and reports whether it
// did. The server's discovery entry remains.
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

// restartServer restarts a server that is down and has not been removed.
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
		r.ledger.addProblem("%s failed to restart: %v", s.ID, err)
		return
	}
	r.world.PublishEntry(s)
}

// removeServer stops a server permanently.
func (r *run) removeServer(s *linegroup.Server) {
	r.lifecycle.Lock()
	defer r.lifecycle.Unlock()
	r.mu.Lock()
	r.departed[s] = true
	r.mu.Unlock()
	s.Crash()
	r.world.PublishEntry(s)
}

// heal ends all remaining faults.
func (r *run) heal() {
	r.world.Store.SetFault(rowstore.NoFault)
	r.world.Store.LosePromotionAnswers(0, 0)
	for _, p := range r.storeProxies {
		p.setFaults(0, false, false)
	}
	for _, g := range r.world.Groups {
		for _, s := range r.activeServers(g) {
			r.serverProxy(s).setFaults(0, false, false)
			s.SetReceiveBlocked(false)
			s.SetSendBlocked(false)
			s.SetUnresponsive(false)
			r.restartServer(s)
			r.world.Show(s)
		}
	}
	for _, vm := range r.vms {
		vm.signal(syscall.SIGCONT)
		r.restart(vm)
	}
}
