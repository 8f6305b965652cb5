package fleet

import (
	"github.com/sirupsen/logrus"

	"chicoryline/internal/services"
)

// leaveCalls is the number of members that a leaving member of a large fleet
// tells itself; heartbeats carry the news to the rest.
const leaveCalls = 32

// Messages of the actor.
type (
	tick     struct{}
	received struct {
		heartbeat Heartbeat
		reply     chan<- Heartbeat
	}
	asked    struct{ reply chan<- []Record }
	answered struct {
		vm    string
		reply Heartbeat
	}
	failed struct{ vm string }
	pulled struct{ records []Record }
	listed struct{ vms []services.VM }
	leave  struct{ calls chan<- []Call }
)

func (f *Fleet) handle(message any) {
	now := f.config.Now()
	switch m := message.(type) {
	case tick:
		f.tick()
	case received:
		m.reply <- f.table.Receive(m.heartbeat, now)
	case asked:
		m.reply <- f.table.Records()
	case answered:
		f.table.Answered(m.vm, m.reply, now)
	case failed:
		f.table.Failed(m.vm)
	case pulled:
		f.table.Pulled(m.records, now)
	case listed:
		f.table.List(m.vms)
	case leave:
		f.table.Leave()
		m.calls <- f.table.Announce(leaveCalls)
	}
	f.logChanges()
	f.show()
}

func (f *Fleet) tick() {
	now := f.config.Now()
	plan := f.table.Tick(now)
	if plan.Sync == "" && len(f.config.Seeds) > 0 && f.table.Alone() && now.Sub(f.lastSeeding) >= f.config.ListInterval {
		f.lastSeeding = now
		plan.Sync = f.config.Seeds[f.nextSeed%len(f.config.Seeds)]
		f.nextSeed++
	}
	if f.ctx.Err() != nil {
		return
	}
	for _, call := range plan.Calls {
		f.work.Go(func() { f.heartbeat(f.ctx, call) })
	}
	if plan.Sync != "" {
		f.work.Go(func() { f.pull(plan.Sync) })
	}
}

// show publishes a snapshot when a member has changed, and at the list's
// interval for the sake of LastHeard.
func (f *Fleet) show() {
	now := f.config.Now()
	generation, ready := f.table.Generation(), f.shownReady || f.table.Settled()
	changed := generation != f.shown || ready != f.shownReady
	if !changed && now.Sub(f.shownAt) < f.config.ListInterval {
		return
	}
	f.shown, f.shownReady, f.shownAt = generation, ready, now
	f.directory.publish(newSnapshot(f.table.SelfMember(now), f.table.Members(), ready))
	if changed {
		f.directory.notify()
	}
}

func (f *Fleet) logChanges() {
	for _, c := range f.table.Changes() {
		f.config.Log.WithFields(logrus.Fields{
			"vm": c.VM.ID, "domain": c.VM.Domain, "address": c.VM.Address,
			"incarnation": c.Incarnation, "state": c.State, "cause": c.Event,
		}).Info("member changed")
	}
}
