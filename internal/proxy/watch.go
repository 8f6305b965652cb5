package proxy

import (
	"context"
	"time"

	"chicoryline/internal/groupview"
	"chicoryline/internal/pool"
	"chicoryline/internal/position"
)

// groupWatcher adapts a groupview.Watcher to pool.GroupWatcher.
type groupWatcher struct{ watcher *groupview.Watcher }

// Primary implements pool.GroupWatcher.
func (g groupWatcher) Primary() (string, uint64, bool) { return g.watcher.View().Primary() }

// ReadIndex implements pool.GroupWatcher.
func (g groupWatcher) ReadIndex(ctx context.Context) (position.Position, error) {
	view, err := g.watcher.ReadIndex(ctx)
	if err != nil {
		return position.Position{}, err
	}
	proof, _ := view.Proof()
	return proof.Position, nil
}

// Confirm implements pool.GroupWatcher.
func (g groupWatcher) Confirm(ctx context.Context, p position.Position) error {
	return g.watcher.Confirm(ctx, p)
}

// Log implements pool.GroupWatcher.
func (g groupWatcher) Log(instance string) position.Position {
	i, _ := g.watcher.View().Instance(instance)
	return i.Status.Log
}

// Age implements pool.GroupWatcher.
func (g groupWatcher) Age(instance string) (time.Duration, bool) {
	return g.watcher.View().AgeBound(instance, time.Now())
}

// TimeSinceAnswer implements pool.GroupWatcher.
func (g groupWatcher) TimeSinceAnswer(instance string) time.Duration {
	view := g.watcher.View()
	i, _ := view.Instance(instance)
	last := i.Received
	if last.IsZero() {
		last = view.Started
	}
	return time.Since(last)
}

// view returns the description of the group that entries receive.
func (g groupWatcher) view() pool.ViewReply {
	view := g.watcher.View()
	reply := pool.ViewReply{}
	if id, term, ok := view.Primary(); ok {
		reply.Primary, reply.Term = id, term
	}
	now := time.Now()
	for _, i := range view.Instances {
		if i.ID == reply.Primary || !i.Reachable {
			continue
		}
		age, known := view.AgeBound(i.ID, now)
		reply.Replicas = append(reply.Replicas, pool.ReplicaView{Instance: i.ID, Log: i.Status.Log, Age: age, AgeKnown: known})
	}
	return reply
}
