package voters

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"chicoryline/internal/errkind"
	"chicoryline/internal/peer"
	"chicoryline/internal/services"
)

const (
	// ServiceName is the net/rpc name of Service.
	ServiceName = "Voters"
	// rowKey is the key of the list's row.
	rowKey = "voters"
	// readInterval is the interval between reads of the row.
	readInterval = 500 * time.Millisecond
	// stablePeriod is how long the registered holders must stay unchanged before the
	// first list is created from them, so that it includes all VMs that start at the
	// same time.
	stablePeriod = 1500 * time.Millisecond
	// versionTimeout limits the call that reads the list version of one VM.
	versionTimeout = 300 * time.Millisecond
)

// Config configures a Keeper.
type Config struct {
	VM     services.VM
	Table  services.Table
	Caller peer.Caller
	// Registered returns the registered holders of configuration grants.
	Registered func(ctx context.Context) ([]services.VM, error)
	// MinChangeInterval is the minimum time between two changes: the lifetime of a
	// promise plus the lease of a share, see package quota.
	MinChangeInterval time.Duration
	Now               func() time.Time
	Log               *logrus.Entry
}

// Keeper reads the list periodically and changes it when a change is due. Its fields
// belong to one goroutine, except list, which is atomic, and started, which the mutex
// guards.
type Keeper struct {
	cfg  Config
	list atomic.Pointer[List]
	stop chan struct{}
	done sync.WaitGroup

	rowVersion uint64
	adoptedAt  time.Time
	// lastRegistered and registeredSince detect, before the first list exists, whether
	// the registered holders are stable.
	lastRegistered  []services.VM
	registeredSince time.Time

	mu      sync.Mutex
	started bool
}

// New returns a keeper with an empty list.
func New(cfg Config) *Keeper {
	k := &Keeper{cfg: cfg, stop: make(chan struct{})}
	k.list.Store(&List{})
	return k
}

// VMs returns the current list, which is empty before the first read.
func (k *Keeper) VMs() []services.VM { return k.list.Load().VMs }

// Start starts the periodic reads of the row.
func (k *Keeper) Start() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.started {
		return
	}
	k.started = true
	k.done.Go(k.run)
}

// Close stops the reads and waits for their end.
func (k *Keeper) Close() {
	close(k.stop)
	k.done.Wait()
}

func (k *Keeper) run() {
	ticker := time.NewTicker(readInterval)
	defer ticker.Stop()
	for {
		ctx, cancel := context.WithTimeout(context.Background(), services.CallTimeout)
		k.Step(ctx)
		cancel()
		select {
		case <-k.stop:
			return
		case <-ticker.C:
		}
	}
}

// Step reads the row once and makes one change if one is due. During an outage of the
// platform the list stays unchanged.
func (k *Keeper) Step(ctx context.Context) {
	row, err := k.cfg.Table.Get(ctx, rowKey)
	if err != nil && !errkind.Is(err, errkind.NotFound) {
		return
	}
	if err == nil {
		if err := k.adopt(row); err != nil {
			k.cfg.Log.WithError(err).WithField("event", "voters_unread").Error("voters")
			return
		}
	}
	k.changeIfDue(ctx)
}

func (k *Keeper) adopt(row services.Row) error {
	list, err := decode(row.Value)
	if err != nil {
		return err
	}
	if list.Version > k.list.Load().Version {
		k.list.Store(&list)
		k.rowVersion, k.adoptedAt = row.Version, k.cfg.Now()
	}
	return nil
}

// changeIfDue replaces the list by the next one if a change is due and allowed.
func (k *Keeper) changeIfDue(ctx context.Context) {
	current := *k.list.Load()
	if current.Version > 0 && k.cfg.Now().Sub(k.adoptedAt) < k.cfg.MinChangeInterval {
		return
	}
	registered, err := k.cfg.Registered(ctx)
	if err != nil {
		return
	}
	next, due := Next(current, registered)
	if !due || !contains(registered, k.cfg.VM) {
		return
	}
	if current.Version == 0 && !k.isStable(registered) {
		return
	}
	if current.Version > 0 && !isServedByMajority(current, k.servedVersions(ctx, current), registered) {
		return
	}
	data, err := next.encode()
	if err != nil {
		return
	}
	id := fmt.Sprintf("voters-%s-%d", k.cfg.VM.ID, next.Version)
	if row, err := k.cfg.Table.CompareAndSet(ctx, rowKey, k.rowVersion, data, id); err == nil {
		_ = k.adopt(row)
	}
}

// isStable reports whether the registered holders have been unchanged for stablePeriod.
func (k *Keeper) isStable(registered []services.VM) bool {
	now, list := k.cfg.Now(), sorted(registered)
	if !slices.Equal(list, k.lastRegistered) {
		k.lastRegistered, k.registeredSince = list, now
	}
	return now.Sub(k.registeredSince) >= stablePeriod
}

// servedVersions returns the list version that each reachable VM of the list serves under.
func (k *Keeper) servedVersions(ctx context.Context, l List) map[string]uint64 {
	var mu sync.Mutex
	var wait sync.WaitGroup
	served := map[string]uint64{}
	for _, vm := range l.VMs {
		wait.Go(func() {
			version, err := k.servedVersion(ctx, vm)
			if err != nil {
				return
			}
			mu.Lock()
			served[vm.ID] = version
			mu.Unlock()
		})
	}
	wait.Wait()
	return served
}

func (k *Keeper) servedVersion(ctx context.Context, vm services.VM) (uint64, error) {
	if vm.ID == k.cfg.VM.ID {
		return k.list.Load().Version, nil
	}
	ctx, cancel := context.WithTimeout(ctx, versionTimeout)
	defer cancel()
	var version uint64
	err := k.cfg.Caller.Call(ctx, vm.Address, ServiceName+".Version", "", &version)
	return version, err
}

// Service is the net/rpc service of a Keeper.
type Service struct{ keeper *Keeper }

// Service returns the service to register under ServiceName.
func (k *Keeper) Service() *Service { return &Service{k} }

// Version returns the version of the list that this VM serves under.
func (s *Service) Version(_ string, version *uint64) error {
	*version = s.keeper.list.Load().Version
	return nil
}
