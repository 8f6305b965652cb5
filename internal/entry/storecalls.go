package entry

import (
	"context"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"chicoryline/internal/coord"
	"chicoryline/internal/errkind"
)

// countedStore counts the calls of the store by kind and table: calls are the largest cost of a
// deployment.
type countedStore struct {
	coord.Store
	registry gometrics.Registry
}

// count counts a call. One that this VM canceled has not failed.
func (s countedStore) count(ctx context.Context, name string, err error) {
	gometrics.GetOrRegisterCounter("store.calls."+name, s.registry).Inc(1)
	if ctx.Err() == context.Canceled {
		return
	}
	if errkind.Is(err, errkind.PlatformUnavailable) || errkind.Is(err, errkind.PlatformUnknown) {
		gometrics.GetOrRegisterCounter("store.failed", s.registry).Inc(1)
	}
}

// Rows implements coord.Store.
func (s countedStore) Rows(ctx context.Context, table string) ([]coord.Row, coord.Version, error) {
	rows, version, err := s.Store.Rows(ctx, table)
	s.count(ctx, "read."+table, err)
	return rows, version, err
}

// Watch implements coord.Store. A watch that does not wait is counted as a poll.
func (s countedStore) Watch(ctx context.Context, table string, after coord.Version, wait time.Duration) ([]coord.Row, coord.Version, error) {
	rows, version, err := s.Store.Watch(ctx, table, after, wait)
	kind := "watch."
	if wait == 0 {
		kind = "poll."
	}
	s.count(ctx, kind+table, err)
	return rows, version, err
}

// Apply implements coord.Store.
func (s countedStore) Apply(ctx context.Context, c coord.Change) (coord.Version, error) {
	version, err := s.Store.Apply(ctx, c)
	name := "write"
	if len(c.Put) > 0 {
		name += "." + c.Put[0].Table
	}
	s.count(ctx, name, err)
	return version, err
}
