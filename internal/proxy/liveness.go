package proxy

import (
	"context"
	"sync"

	"chicoryline/internal/fleet"
)

// liveness ends the calls to VMs that have died, so that nobody waits for the
// answer of a process that is frozen or gone. The mutex guards processes.
type liveness struct {
	mu        sync.Mutex
	processes map[string]*liveProcess
}

// liveProcess is one incarnation of a VM's process; its context ends with it.
type liveProcess struct {
	incarnation int64
	ctx         context.Context
	cancel      context.CancelFunc
}

func newLiveness() *liveness { return &liveness{processes: map[string]*liveProcess{}} }

// Alive returns a context that ends when the VM's present process is given up.
// An unknown VM has one that never ends.
func (l *liveness) Alive(vm string) context.Context {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p := l.processes[vm]; p != nil {
		return p.ctx
	}
	return context.Background()
}

// update compares the members with the processes known before and returns the
// processes that have ended: VM and the incarnation that is gone.
func (l *liveness) update(members []fleet.Member) map[string]int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	ended := map[string]int64{}
	for _, m := range members {
		p := l.processes[m.VM.ID]
		if p != nil && (m.State == fleet.Dead || m.Incarnation > p.incarnation) {
			p.cancel()
			ended[m.VM.ID] = p.incarnation
			delete(l.processes, m.VM.ID)
			p = nil
		}
		if p == nil && m.State != fleet.Dead {
			ctx, cancel := context.WithCancel(context.Background())
			l.processes[m.VM.ID] = &liveProcess{incarnation: m.Incarnation, ctx: ctx, cancel: cancel}
		}
	}
	return ended
}

// onMembersChanged gives up what dead processes have open here.
func (p *Proxy) onMembersChanged() {
	for vm, incarnation := range p.liveness.update(p.fleet.Directory().Members()) {
		go p.pool.DropVM(vm, incarnation)
	}
}
