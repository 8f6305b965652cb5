package failover

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"chicoryline/internal/backend"
)

// execute starts carrying out an effect. Its answer is sent to the actor as an event.
func (r *Runner) execute(effect Effect) {
	switch e := effect.(type) {
	case AskViews:
		r.askViews(e)
	case ReadRow:
		r.goWithTimeout(r.config.Settings.ClaimMaxWait, func(ctx context.Context) {
			row, err := r.config.Table.Get(ctx, r.rowKey())
			r.actor.Send(RowRead{Call: e.Call, Row: row, Err: err})
		})
	case WriteRow:
		r.goWithTimeout(r.config.Settings.ClaimMaxWait, func(ctx context.Context) {
			row, err := r.config.Table.CompareAndSet(ctx, r.rowKey(), e.Version, e.Value, e.RequestID)
			r.actor.Send(RowWritten{Call: e.Call, Row: row, Err: err})
		})
	case Command:
		r.queueCommand(e)
	case Drain:
		r.drain(e)
	case Release:
		if r.config.Release != nil {
			r.tasks.Go(r.config.Release)
		}
	case Refresh:
		r.config.Watcher.Refresh()
	case HandoverDone:
		r.finishHandover(e)
	case TimelineEvent:
		r.recordEvent(e)
	}
}

// queueCommand queues the command for the instance and replaces one that is still pending;
// the steward repeats the commands it still needs. It never blocks because only the actor
// sends to the queue.
func (r *Runner) queueCommand(c Command) {
	queue := r.queues[c.Instance]
	select {
	case <-queue:
	default:
	}
	queue <- c
}

func (r *Runner) rowKey() string { return RowPrefix + r.config.Group.Name }

// goWithTimeout runs the call in a new goroutine with a context that has the given timeout.
func (r *Runner) goWithTimeout(timeout time.Duration, call func(ctx context.Context)) {
	r.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(r.ctx, timeout)
		defer cancel()
		call(ctx)
	})
}

// askViews requests the view of every steward in another failure domain. A steward that
// doesn't answer abstains.
func (r *Runner) askViews(e AskViews) {
	for _, vm := range r.config.Peers.Peers(r.config.Group.Name) {
		if vm.Domain == r.config.VM.Domain {
			continue
		}
		r.goWithTimeout(r.config.Settings.ViewTimeout, func(ctx context.Context) {
			view, err := r.config.Peers.View(ctx, vm, r.config.Group.Name)
			if err == nil {
				r.actor.Send(ViewReceived{Round: e.Round, View: view})
			}
		})
	}
}

func (r *Runner) drain(e Drain) {
	r.goWithTimeout(r.config.Settings.DrainTimeout, func(ctx context.Context) {
		var err error
		if r.config.Drain != nil {
			err = r.config.Drain(ctx)
		}
		r.actor.Send(Drained{Attempt: e.Attempt, Err: err})
	})
}

func (r *Runner) finishHandover(e HandoverDone) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if done := r.waiting[e.ID]; done != nil {
		done <- e
		delete(r.waiting, e.ID)
	}
}

func (r *Runner) recordEvent(e TimelineEvent) {
	fields := logrus.Fields{"event": e.Kind}
	for key, value := range e.Fields {
		fields[key] = value
	}
	r.config.Log.WithFields(fields).Info(e.Kind)
	if r.config.OnEvent != nil {
		r.config.OnEvent(e.Kind, e.Fields)
	}
}

// commandLoop sends the queued commands to one instance, one at a time.
func (r *Runner) commandLoop(id string, queue <-chan Command) {
	for {
		select {
		case <-r.ctx.Done():
			return
		case c := <-queue:
			status, err := r.runCommand(r.config.Controls[id], c)
			r.actor.Send(CommandAnswered{Op: c.Op, Instance: id, Term: c.Term, Status: status, Err: err})
		}
	}
}

func (r *Runner) runCommand(control backend.Control, c Command) (backend.Status, error) {
	ctx, cancel := context.WithTimeout(r.ctx, commandTimeout)
	defer cancel()
	switch c.Op {
	case OpFence:
		return control.Fence(ctx, c.Term)
	case OpPromote:
		return control.Promote(ctx, c.Term)
	}
	return control.Follow(ctx, c.Term, c.Primary)
}
