package backend

import (
	"context"
	"time"

	"chicoryline/internal/errkind"
	"chicoryline/internal/position"
)

// FakeOp is the type of a Control command.
type FakeOp uint8

// The commands that a FakeGroup supports.
const (
	OpStatus FakeOp = iota
	OpFence
	OpPromote
	OpFollow
)

// FakeCommand is one command to a fake instance.
type FakeCommand struct {
	Op      FakeOp
	Term    uint64
	Primary string
}

// Apply executes the command at the instance regardless of network faults.
func (g *FakeGroup) Apply(id string, c FakeCommand) (Status, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	i := g.instances[id]
	if i.down {
		return Status{}, errkind.New(errkind.Unreachable, "%s is down", id)
	}
	if err := i.apply(c); err != nil {
		return Status{}, err
	}
	if c.Op != OpStatus {
		g.replicateAndNotify()
	}
	return i.status(), nil
}

func (i *fakeInstance) apply(c FakeCommand) error {
	if c.Op == OpStatus {
		return nil
	}
	if c.Term < i.fence {
		return errkind.New(errkind.Fenced, "%s: term %d, fence %d", i.id, c.Term, i.fence)
	}
	switch c.Op {
	case OpFence:
		if c.Term > i.fence {
			i.demote(c.Term)
		}
	case OpPromote:
		if c.Term != i.fence {
			return errkind.New(errkind.Conflict, "%s: promotion at %d, fence %d", i.id, c.Term, i.fence)
		}
		if !i.status().IsActivePrimary() {
			i.role, i.source, i.sourceTerm = Primary, "", 0
			i.log = append(i.log, FakeEntry{Term: c.Term})
		}
	case OpFollow:
		i.demote(c.Term)
		i.source, i.sourceTerm = c.Primary, c.Term
	}
	return nil
}

func (i *fakeInstance) demote(fence uint64) {
	i.role, i.fence, i.source, i.sourceTerm = Replica, fence, "", 0
}

// Control returns a Control of the instance for the caller. If a network fault drops the
// command or its answer, the call waits for the end of its context and fails with
// errkind.OutcomeUnknown.
func (g *FakeGroup) Control(caller, id string) Control { return &fakeControl{g, caller, id} }

type fakeControl struct {
	group  *FakeGroup
	caller string
	id     string
}

func (c *fakeControl) execute(ctx context.Context, command FakeCommand) (Status, error) {
	if !c.group.Connected(c.caller, c.id) {
		return c.waitForTimeout(ctx)
	}
	c.delayOneWay()
	status, err := c.group.Apply(c.id, command)
	c.delayOneWay()
	if !c.group.Connected(c.id, c.caller) {
		return c.waitForTimeout(ctx)
	}
	return status, err
}

// delayOneWay sleeps for half of the configured delay.
func (c *fakeControl) delayOneWay() {
	c.group.mu.Lock()
	d := c.group.delay / 2
	c.group.mu.Unlock()
	if d > 0 {
		time.Sleep(d)
	}
}

func (c *fakeControl) waitForTimeout(ctx context.Context) (Status, error) {
	<-ctx.Done()
	return Status{}, errkind.New(errkind.OutcomeUnknown, "%s: %v", c.id, ctx.Err())
}

// Status implements Control.
func (c *fakeControl) Status(ctx context.Context) (Status, error) {
	return c.execute(ctx, FakeCommand{Op: OpStatus})
}

// Wait implements Control.
func (c *fakeControl) Wait(ctx context.Context, p position.Position, timeout time.Duration) (Status, error) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		c.group.mu.Lock()
		changed := c.group.changed
		c.group.mu.Unlock()
		status, err := c.execute(ctx, FakeCommand{Op: OpStatus})
		if err != nil || status.Confirms(p) || status.Fence > p.Term {
			return status, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return status, nil
		case <-ctx.Done():
			return c.waitForTimeout(ctx)
		}
	}
}

// Fence implements Control.
func (c *fakeControl) Fence(ctx context.Context, term uint64) (Status, error) {
	return c.execute(ctx, FakeCommand{Op: OpFence, Term: term})
}

// Promote implements Control.
func (c *fakeControl) Promote(ctx context.Context, term uint64) (Status, error) {
	return c.execute(ctx, FakeCommand{Op: OpPromote, Term: term})
}

// Follow implements Control.
func (c *fakeControl) Follow(ctx context.Context, term uint64, primary string) (Status, error) {
	return c.execute(ctx, FakeCommand{Op: OpFollow, Term: term, Primary: primary})
}
