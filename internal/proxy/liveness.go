package proxy

import (
	"context"
	"sync"

	"chicoryline/internal/fleet"
)

// liveness ends the calls to VMs that are known to be dead, so that no request waits for the
// answer of a frozen or terminated process. mu guards processes.
type liveness struct {
	mu        sync.Mutex
	processes map[string]*liveProcess
}

// liveProcess is one incarnation of a VM's process. Its context ends when the process is
// declared dead or is replaced by a newer incarnation.
type liveProcess struct {
	incarnation int64
	ctx         context.Context
	cancel      context.CancelFunc
}

func newLiveness() *liveness { return &liveness{processes: map[string]*liveProcess{}} }

// Alive returns a context that ends when the VM's current process is declared dead or
// replaced. For an unknown VM the context never ends.
func (l *liveness) Alive(vm string) context.Context {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p := l.processes[vm]; p != nil {
		return p.ctx
	}
	return context.Background()
}

// update compares the members with the known processes and returns the processes that have
// ended, as VM and ended incarnation.
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

// onMembersChanged releases the sessions and transactions that ended processes have open in
// this VM's pool.
func (p *Proxy) onMembersChanged() {
	for vm, incarnation := range p.liveness.update(p.fleet.Directory().Members()) {
		go p.pool.DropVM(vm, incarnation)
	}
}
