package proxy

import (
	"context"
	"time"

	"chicoryline/internal/statechart"
	"chicoryline/internal/timeline"
)

const (
	// announceDuration is how long a leaving VM still accepts new work, so that the other VMs
	// learn of its departure first.
	announceDuration = time.Second
	// drainInterval is the interval at which open transactions are checked.
	drainInterval = 20 * time.Millisecond
	// handoverTimeout limits each announcement, release of leases, switchover and forwarded
	// cancel request.
	handoverTimeout = 3 * time.Second
)

// Stop performs a planned stop according to the statechart "stop": the VM announces that it is
// leaving, rejects new work, lets open transactions end, hands over its leases, and closes.
// When Stop returns, the process may exit.
func (p *Proxy) Stop(ctx context.Context) error {
	machine := statechart.MustLoad("stop").Start()
	s := &stopper{proxy: p, deadline: time.Now().Add(p.settings.DrainTimeout)}
	event := "stop_requested"
	for !machine.Done() {
		actions, err := machine.Fire(event)
		if err != nil {
			return err
		}
		for _, action := range actions {
			p.recordEvent("stop", timeline.Event{Detail: action}, nil)
			s.runAction(ctx, action)
		}
		event = s.waitForEvent(ctx, machine.State())
	}
	return nil
}

// stopper runs the actions of the statechart "stop".
type stopper struct {
	proxy    *Proxy
	deadline time.Time
}

func (s *stopper) runAction(ctx context.Context, action string) {
	p := s.proxy
	switch action {
	case "announce_leaving":
		limited, cancel := context.WithTimeout(ctx, handoverTimeout)
		defer cancel()
		if err := p.fleet.Leave(limited); err != nil {
			p.log.WithError(err).WithField("event", "leave_unannounced").Warn("stop")
		}
	case "refuse_new_work":
		p.callers.Drain()
		p.pool.Drain()
	case "end_open_transactions":
		p.log.WithField("event", "transactions_ended").WithField("open", p.busy()).Warn("stop")
	case "hand_over_leases":
		s.handOverLeases(ctx)
	case "close_listeners":
		p.Close()
	}
}

func (s *stopper) handOverLeases(ctx context.Context) {
	p := s.proxy
	limited, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	for name, leave := range map[string]func(context.Context) error{"shares": p.quota.Leave, "grant": p.config.Leave} {
		if err := leave(limited); err != nil {
			p.log.WithError(err).WithField("event", "not_handed_over").WithField("what", name).Warn("stop")
		}
	}
}

// waitForEvent waits for the event that ends the state and returns it.
func (s *stopper) waitForEvent(ctx context.Context, state string) string {
	switch state {
	case "announcing":
		return s.waitUntil(ctx, announceDuration, func() bool { return false }, "announced", "announced")
	case "draining":
		return s.waitUntil(ctx, time.Until(s.deadline), func() bool { return s.proxy.busy() == 0 }, "transactions_ended", "deadline_passed")
	case "handing_over":
		return "handed_over"
	}
	return "deadline_passed"
}

// waitUntil returns doneEvent when the condition holds and timeoutEvent after the timeout. It
// returns "deadline_passed" if the context ends first.
func (s *stopper) waitUntil(ctx context.Context, timeout time.Duration, ready func() bool, doneEvent, timeoutEvent string) string {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for {
		if ready() {
			return doneEvent
		}
		select {
		case <-ctx.Done():
			return "deadline_passed"
		case <-timer.C:
			return timeoutEvent
		case <-ticker.C:
		}
	}
}

// busy returns the number of connected callers plus the number of transactions that other VMs
// have open here.
func (p *Proxy) busy() int { return p.callers.Count() + p.pool.Busy() }
