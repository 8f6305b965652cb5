package fleet

import (
	"github.com/sirupsen/logrus"

	"chicoryline/internal/services"
)

// maxLeaveCalls is the number of members that a leaving member of a large fleet
// calls directly; gossip on the heartbeats informs the rest.
const maxLeaveCalls = 32

// Messages handled by the actor.
type (
	tick              struct{}
	heartbeatReceived struct {
		heartbeat Heartbeat
		reply     chan<- Heartbeat
	}
	recordsRequested struct{ reply chan<- []Record }
	callReplied      struct {
		vm    string
		reply Heartbeat
	}
	callFailed     struct{ vm string }
	recordsPulled  struct{ records []Record }
	vmListRead     struct{ vms []services.VM }
	leaveRequested struct{ calls chan<- []Call }
)

func (f *Fleet) handle(message any) {
	now := f.config.Now()
	switch m := message.(type) {
	case tick:
		f.tick()
	case heartbeatReceived:
		m.reply <- f.table.Receive(m.heartbeat, now)
	case recordsRequested:
		m.reply <- f.table.Records()
	case callReplied:
		f.table.HandleReply(m.vm, m.reply, now)
	case callFailed:
		f.table.HandleCallFailure(m.vm)
	case recordsPulled:
		f.table.ApplyRecords(m.records, now)
	case vmListRead:
		f.table.ApplyVMList(m.vms)
	case leaveRequested:
		f.table.Leave()
		m.calls <- f.table.LeaveCalls(maxLeaveCalls)
	}
	f.logChanges()
	f.publishChanges()
}

func (f *Fleet) tick() {
	now := f.config.Now()
	plan := f.table.Tick(now)
	if plan.Sync == "" && len(f.config.Seeds) > 0 && f.table.HasNoPeers() && now.Sub(f.lastSeeding) >= f.config.ListInterval {
		f.lastSeeding = now
		plan.Sync = f.config.Seeds[f.nextSeed%len(f.config.Seeds)]
		f.nextSeed++
	}
	if f.ctx.Err() != nil {
		return
	}
	for _, call := range plan.Calls {
		f.workers.Go(func() { f.sendHeartbeat(f.ctx, call) })
	}
	if plan.Sync != "" {
		f.workers.Go(func() { f.pullRecords(plan.Sync) })
	}
}

// publishChanges publishes a snapshot when a member has changed. Without a change it
// publishes once per ListInterval, to keep Member.LastProgress current.
func (f *Fleet) publishChanges() {
	now := f.config.Now()
	generation, ready := f.table.Generation(), f.publishedReady || f.table.IsSettled()
	changed := generation != f.publishedGeneration || ready != f.publishedReady
	if !changed && now.Sub(f.publishedAt) < f.config.ListInterval {
		return
	}
	f.publishedGeneration, f.publishedReady, f.publishedAt = generation, ready, now
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
