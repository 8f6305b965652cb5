package proxy

import (
	"context"
	"time"

	"chicoryline/internal/timeline"
)

const (
	// readyInterval is the pause between two looks at a starting process.
	readyInterval = 50 * time.Millisecond
	// readyPatience is the time after which callers are accepted even if the
	// process is not ready: they get true refusals then instead of silence.
	readyPatience = 15 * time.Second
)

// Ready reports whether the process has a configuration that it may serve, its
// shares of the customers' rates, and a primary in each group that it watches.
func (p *Proxy) Ready() bool {
	view := p.config.View()
	if view.Current == nil || view.Current.Version == 0 || view.Expired {
		return false
	}
	return len(p.topology.all()) > 0 && p.fleet.Directory().IsReady() && p.holdsShares(view.Customers()) && p.seesPrimaries()
}

// holdsShares reports whether every customer's statement would be admitted
// here, by admitting one. A customer that has passed is not asked again.
func (p *Proxy) holdsShares(customers []string) bool {
	p.readyMu.Lock()
	defer p.readyMu.Unlock()
	for _, name := range customers {
		if p.admitted[name] {
			continue
		}
		if err := p.quota.AdmitWait(context.Background(), customerResource(name), 1); err != nil {
			return false
		}
		p.admitted[name] = true
	}
	return true
}

func (p *Proxy) seesPrimaries() bool {
	for _, name := range p.dutyNames() {
		duty := p.duty(name)
		if duty == nil {
			continue
		}
		if _, _, ok := duty.watcher.View().Primary(); !ok {
			return false
		}
	}
	return true
}

// serveCallers accepts callers once the process is ready. Until then they wait
// in the listener's queue.
func (p *Proxy) serveCallers() {
	deadline := time.Now().Add(readyPatience)
	for !p.Ready() && time.Now().Before(deadline) {
		select {
		case <-p.stop:
			return
		case <-time.After(readyInterval):
		}
	}
	p.note("accepting", timeline.Event{}, nil)
	p.callers.Serve()
}
