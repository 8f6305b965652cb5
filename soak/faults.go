package main

import (
	"fmt"
	"syscall"
	"time"

	"chicoryline/internal/standin/linegroup"
	"chicoryline/internal/standin/rowstore"
)

// later undoes a fault after a while, beside other faults.
func (r *run) later(d time.Duration, undo func()) {
	r.wg.Go(func() {
		time.Sleep(d)
		undo()
	})
}

// fault begins one fault. Several may overlap, on the same part as well.
func (r *run) fault() {
	length := time.Duration(300+r.rand.IntN(2500)) * time.Millisecond
	vm := r.vms[r.rand.IntN(len(r.vms))]
	store := r.stores[r.rand.IntN(len(r.stores))]
	group := r.world.Groups[r.rand.IntN(len(r.world.Groups))]
	servers := r.present(group)
	server := servers[r.rand.IntN(len(servers))]
	link := r.link(server)
	kinds := []struct {
		name  string
		begin func()
	}{
		{fmt.Sprintf("kill vm%d", vm.vm), func() { vm.end(syscall.SIGKILL); r.later(length/4, func() { r.restart(vm) }) }},
		{fmt.Sprintf("stop vm%d", vm.vm), func() { r.later(0, func() { vm.end(syscall.SIGTERM); r.restart(vm) }) }},
		{fmt.Sprintf("pause vm%d", vm.vm), func() { vm.signal(syscall.SIGSTOP); r.later(length, func() { vm.signal(syscall.SIGCONT) }) }},
		{"delay store", func() { store.set(length/10, false, false); r.later(length, func() { store.set(0, false, false) }) }},
		{"silence store", func() {
			store.set(0, true, false)
			r.later(length, func() { store.set(0, false, false); store.resetAll() })
		}},
		{"cut way to store", func() {
			store.set(0, false, true)
			r.later(length, func() { store.set(0, false, false); store.resetAll() })
		}},
		{"reset store", store.resetAll},
		{"store refuses", func() { r.storeFault(rowstore.Busy, length) }},
		{"store loses answers", func() { r.storeFault(rowstore.LoseAnswers, length) }},
		{"store forgets history", r.world.Store.Compact},
		{"late promotion", func() { r.world.Store.LoseOrders(1, length) }},
		{"crash " + server.ID, func() { r.crash(server, length) }},
		{"crash primary", func() { r.crash(group.Primary(), length) }},
		{"silence " + server.ID, func() {
			link.set(0, true, false)
			r.later(length, func() { link.set(0, false, false); link.resetAll() })
		}},
		{"cut way to " + server.ID, func() {
			link.set(0, false, true)
			r.later(length, func() { link.set(0, false, false); link.resetAll() })
		}},
		{"delay " + server.ID, func() { link.set(length/20, false, false); r.later(length, func() { link.set(0, false, false) }) }},
		{"reset " + server.ID, link.resetAll},
		{"lose answers of " + server.ID, func() { server.LoseAnswers(3) }},
		{"lag " + server.ID, func() { server.SetLag(length); r.later(length, func() { server.SetLag(0) }) }},
	}
	k := kinds[r.rand.IntN(len(kinds))]
	r.note("%s", k.name)
	k.begin()
}

func (r *run) restart(vm *process) {
	select {
	case <-vm.done:
	default:
		return // another fault has started it already
	}
	if err := vm.start(); err != nil {
		r.ledger.problem("vm %d did not start: %v", vm.vm, err)
	}
}

func (r *run) storeFault(f rowstore.Fault, length time.Duration) {
	r.world.Store.SetFault(f)
	r.later(length, func() { r.world.Store.SetFault(rowstore.None) })
}

// present returns the group's servers that have not left.
func (r *run) present(g *linegroup.Group) []*linegroup.Server {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []*linegroup.Server
	for _, s := range g.Servers() {
		if !r.left[s] {
			list = append(list, s)
		}
	}
	return list
}

// crash ends a server for a while, if there is one and the rest of its group runs.
func (r *run) crash(s *linegroup.Server, length time.Duration) {
	if r.stopServer(s) {
		r.world.Announce(s)
		r.later(length, func() { r.restartServer(s) })
	}
}

// stopServer ends a server if the rest of its group runs; its entry stays.
func (r *run) stopServer(s *linegroup.Server) bool {
	if s == nil {
		return false
	}
	r.crashing.Lock()
	defer r.crashing.Unlock()
	for _, g := range r.world.Groups {
		for _, o := range r.present(g) {
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
	r.crashing.Lock()
	defer r.crashing.Unlock()
	r.mu.Lock()
	left := r.left[s]
	r.mu.Unlock()
	if up, _, _ := s.State(); up || left {
		return
	}
	if err := s.Restart(); err != nil {
		r.ledger.problem("%s did not restart: %v", s.ID, err)
		return
	}
	r.world.Announce(s)
}

// leave ends a server for good.
func (r *run) leave(s *linegroup.Server) {
	r.crashing.Lock()
	defer r.crashing.Unlock()
	r.mu.Lock()
	r.left[s] = true
	r.mu.Unlock()
	s.Crash()
	r.world.Announce(s)
}

// heal ends what is left of faults.
func (r *run) heal() {
	r.world.Store.SetFault(rowstore.None)
	r.world.Store.LoseOrders(0, 0)
	for _, p := range r.stores {
		p.set(0, false, false)
	}
	for _, g := range r.world.Groups {
		for _, s := range r.present(g) {
			r.link(s).set(0, false, false)
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
