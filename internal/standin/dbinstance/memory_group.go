package dbinstance

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"chicoryline/internal/backend"
	"chicoryline/internal/position"
)

// MemoryGroup is a database group of stores that replicate in memory, without a network.
type MemoryGroup struct {
	stores map[string]*Store
	stop   context.CancelFunc
	wg     sync.WaitGroup

	mu sync.Mutex
	// partitioned holds the unreachable instances; mu guards it.
	partitioned map[string]bool
}

// NewMemoryGroup returns a group of instances with the given ids. The first is the
// primary of term 1 and the others replicate from it.
func NewMemoryGroup(ids ...string) *MemoryGroup {
	ctx, stop := context.WithCancel(context.Background())
	g := &MemoryGroup{stores: map[string]*Store{}, stop: stop, partitioned: map[string]bool{}}
	for i, id := range ids {
		cfg := StoreConfig{ID: id, InitialPrimary: i == 0}
		if i > 0 {
			cfg.InitialSource = ids[0]
		}
		g.stores[id] = NewStore(cfg)
	}
	for id, s := range g.stores {
		p := &puller{
			store:  s,
			dial:   func(_ context.Context, from string) (LogSource, func(), error) { return g.dial(from, id) },
			delay:  func(ctx context.Context, _ time.Time) error { return canceled(ctx) },
			report: func(Stream, error) {},
		}
		g.wg.Go(func() { p.run(ctx) })
	}
	return g
}

// Store returns the store of the instance.
func (g *MemoryGroup) Store(id string) *Store { return g.stores[id] }

// Control returns the control of the instance. Its commands fail with
// errkind.Unreachable while the instance is partitioned.
func (g *MemoryGroup) Control(id string) backend.Control {
	return FaultyControl{
		Control: g.stores[id].Control(),
		Next: func(string) ControlFault {
			if g.isPartitioned(id) {
				return ControlUnreachable
			}
			return ControlNoFault
		},
	}
}

// Partition separates the instances from all other instances and from their control.
// Direct calls to the store of a partitioned instance still work, writes included.
func (g *MemoryGroup) Partition(ids ...string) { g.setPartitioned(true, ids) }

// Heal ends the partition of the instances.
func (g *MemoryGroup) Heal(ids ...string) { g.setPartitioned(false, ids) }

func (g *MemoryGroup) setPartitioned(partitioned bool, ids []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, id := range ids {
		g.partitioned[id] = partitioned
	}
}

func (g *MemoryGroup) isPartitioned(ids ...string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, id := range ids {
		if g.partitioned[id] {
			return true
		}
	}
	return false
}

// Close stops replication.
func (g *MemoryGroup) Close() {
	g.stop()
	g.wg.Wait()
}

func (g *MemoryGroup) dial(from, to string) (LogSource, func(), error) {
	s, ok := g.stores[from]
	if !ok {
		return nil, nil, errors.NotFoundf("instance %s", from)
	}
	return &memoryLog{g, s, to}, func() {}, nil
}

// memoryLog is the log of a store as read by another instance of the group.
type memoryLog struct {
	group *MemoryGroup
	store *Store
	to    string
}

// ReadLog implements LogSource. It fails if either instance is partitioned when the
// entries are returned.
func (l *memoryLog) ReadLog(ctx context.Context, term uint64, after position.Position, wait time.Duration) (Batch, error) {
	b, err := l.store.ReadLog(ctx, term, after, wait)
	if l.group.isPartitioned(l.store.id, l.to) {
		return Batch{}, errors.Errorf("read log of instance %s: network partition", l.store.id)
	}
	return b, err
}
