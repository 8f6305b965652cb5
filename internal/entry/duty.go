package entry

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"chicoryline/internal/boottime"
	"chicoryline/internal/dispatch"
	"chicoryline/internal/steward"
)

// superviseInterval is the pause between two looks at the groups' primaries.
const superviseInterval = 100 * time.Millisecond

// supervise replaces primaries that leave or do not answer.
func (e *Process) supervise(ctx context.Context) {
	every(ctx, superviseInterval, func() {
		if e.leaving.Load() {
			return
		}
		for _, g := range e.router.Groups() {
			e.look(ctx, g)
		}
	})
}

func (e *Process) look(ctx context.Context, g *dispatch.Group) {
	h := g.Health()
	servers := g.Servers()
	if len(servers) < 2 {
		return
	}
	reason := steward.Decide(steward.Observation{
		Now: boottime.Now(), Changing: h.Changing, Known: h.Primary != "", Leaving: h.Leaving, UnknownSince: h.Since,
		Answered: h.Answered, FailingSince: h.Failing, Committed: h.Committed, StuckSince: h.Stuck,
		Rank: e.rank(g.Name),
	})
	if reason == steward.None {
		return
	}
	task := steward.Task{
		Group: g.Name, Primary: h.Primary, Reason: reason,
		Progress: func(in time.Duration) { g.Expect(boottime.Now().Add(in)) },
		Answered: g.NoteReachable,
		Done: func(server string) {
			g.Expect(boottime.Now().Add(steward.ExpectedPromotion))
			g.Succeed(server, reason == steward.Leaving)
		},
	}
	for _, s := range servers {
		info := s.Info()
		task.Servers = append(task.Servers, steward.Server{ID: info.ID, Address: info.Address, Leaving: info.Leaving})
	}
	e.steward.Start(ctx, task)
}

// rank is the number of VMs in touch that come before this one in the group's
// rendezvous order.
func (e *Process) rank(group string) int {
	own := xxhash.Sum64String(group + "/" + e.settings.VM)
	e.mu.Lock()
	defer e.mu.Unlock()
	rank := 0
	for vm := range e.members {
		if vm == e.settings.VM || xxhash.Sum64String(group+"/"+vm) <= own {
			continue
		}
		if e.mesh.InTouch(vm) {
			rank++
		}
	}
	return rank
}
