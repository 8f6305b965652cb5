package proxy

import (
	"context"
	"time"

	"chicoryline/internal/timeline"
)

const (
	// readyInterval is the interval at which a starting process checks whether it is ready.
	readyInterval = 50 * time.Millisecond
	// readyTimeout is the time after which callers are accepted even if the process is not
	// ready: they then get accurate errors instead of no answer.
	readyTimeout = 15 * time.Second
)

// Ready reports whether the process has a valid configuration, shares of all customers' rate
// limits, and a primary in each group that it watches.
func (p *Proxy) Ready() bool {
	view := p.config.View()
	if view.Current == nil || view.Current.Version == 0 || view.Expired {
		return false
	}
	return len(p.topology.groupsByName()) > 0 && p.fleet.Directory().IsReady() && p.hasRateShares(view.Customers()) && p.hasPrimaries()
}

// hasRateShares reports whether a statement of every customer would be admitted here, by
// admitting one. A customer that has been admitted once is not checked again.
func (p *Proxy) hasRateShares(customers []string) bool {
	p.readyMu.Lock()
	defer p.readyMu.Unlock()
	for _, name := range customers {
		if p.admittedCustomers[name] {
			continue
		}
		if err := p.quota.AdmitWait(context.Background(), customerResource(name), 1); err != nil {
			return false
		}
		p.admittedCustomers[name] = true
	}
	return true
}

func (p *Proxy) hasPrimaries() bool {
	for _, name := range p.groupWorkerNames() {
		worker := p.groupWorker(name)
		if worker == nil {
			continue
		}
		if _, _, ok := worker.watcher.View().Primary(); !ok {
			return false
		}
	}
	return true
}

// serveCallers accepts callers once the process is ready. Until then connections wait in the
// listener's backlog.
func (p *Proxy) serveCallers() {
	deadline := time.Now().Add(readyTimeout)
	for !p.Ready() && time.Now().Before(deadline) {
		select {
		case <-p.stop:
			return
		case <-time.After(readyInterval):
		}
	}
	p.recordEvent("accepting", timeline.Event{}, nil)
	p.callers.Serve()
}
