package dbinstance

import (
	"context"
	"time"

	"github.com/juju/errors"

	"chicoryline/internal/backend"
	"chicoryline/internal/errkind"
	"chicoryline/internal/position"
)

// Control returns the store's instance control, without a network.
func (s *Store) Control() backend.Control { return storeControl{s} }

type storeControl struct{ store *Store }

// Status implements backend.Control.
func (c storeControl) Status(context.Context) (backend.Status, error) { return c.store.Status(), nil }

// Wait implements backend.Control.
func (c storeControl) Wait(ctx context.Context, p position.Position, timeout time.Duration) (backend.Status, error) {
	status := c.store.Wait(ctx, p, timeout)
	if ctx.Err() != nil {
		return backend.Status{}, errkind.New(errkind.OutcomeUnknown, "instance %s: %v", c.store.id, ctx.Err())
	}
	return status, nil
}

// Fence implements backend.Control.
func (c storeControl) Fence(_ context.Context, term uint64) (backend.Status, error) {
	return c.answer(c.store.Fence(term))
}

// Promote implements backend.Control.
func (c storeControl) Promote(_ context.Context, term uint64) (backend.Status, error) {
	return c.answer(c.store.Promote(term))
}

// Follow implements backend.Control.
func (c storeControl) Follow(_ context.Context, term uint64, primary string) (backend.Status, error) {
	return c.answer(c.store.Follow(term, primary))
}

// answer gives the store's error the kind that backend.Client gives it.
func (c storeControl) answer(s backend.Status, err error) (backend.Status, error) {
	if err == nil {
		return s, nil
	}
	kind := errkind.StatementFailed
	switch asSQLError(err).Code {
	case codeFenced:
		kind = errkind.Fenced
	case codeNotReady:
		kind = errkind.Conflict
	}
	return backend.Status{}, errkind.New(kind, "instance %s: %s", c.store.id, asSQLError(err).Message)
}

// MemoryGroup is a group of stores that replicate from one another in memory.
type MemoryGroup struct {
	stores map[string]*Store
	stop   context.CancelFunc
	ended  chan struct{}
}

// NewMemoryGroup returns a group of the ids; the first is the primary of term 1
// and the others follow it.
func NewMemoryGroup(ids ...string) *MemoryGroup {
	ctx, stop := context.WithCancel(context.Background())
	g := &MemoryGroup{stores: map[string]*Store{}, stop: stop, ended: make(chan struct{})}
	for i, id := range ids {
		cfg := StoreConfig{ID: id, InitialPrimary: i == 0}
		if i > 0 {
			cfg.InitialSource = ids[0]
		}
		g.stores[id] = NewStore(cfg)
	}
	running := make(chan struct{})
	for _, s := range g.stores {
		p := &puller{
			store:  s,
			dial:   g.dial,
			delay:  func(ctx context.Context, _ time.Time) error { return canceled(ctx) },
			report: func(Stream, error) {},
		}
		go func() {
			p.run(ctx)
			running <- struct{}{}
		}()
	}
	go func() {
		for range ids {
			<-running
		}
		close(g.ended)
	}()
	return g
}

// Store returns the store of the instance.
func (g *MemoryGroup) Store(id string) *Store { return g.stores[id] }

// Close ends replication.
func (g *MemoryGroup) Close() {
	g.stop()
	<-g.ended
}

func (g *MemoryGroup) dial(_ context.Context, id string) (LogSource, func(), error) {
	s, ok := g.stores[id]
	if !ok {
		return nil, nil, errors.NotFoundf("instance %s", id)
	}
	return s, func() {}, nil
}
