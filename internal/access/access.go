// Package access holds the configuration in force on this VM and decides who may
// use which route. What it allows rests on a freshness lease: the newest moment
// at which the store is known to have held this configuration.
package access

import (
	"sync"
	"sync/atomic"
	"time"

	"chicoryline/internal/boottime"
	"chicoryline/internal/errkind"
)

// Consistency is what a route promises of its reads.
type Consistency uint8

// The kinds of routes.
const (
	// Current reads see every commit acknowledged before them.
	Current Consistency = iota
	// BoundedStaleness reads are at most MaxStaleness old.
	BoundedStaleness
	// ReadYourWrites is BoundedStaleness plus the session's own commits.
	ReadYourWrites
)

// String returns the name that metrics use.
func (c Consistency) String() string {
	switch c {
	case Current:
		return "current"
	case BoundedStaleness:
		return "bounded_staleness"
	case ReadYourWrites:
		return "read_your_writes"
	}
	return "unknown"
}

// Route is a name that callers connect to.
type Route struct {
	Name         string
	Database     string // what callers name
	Group        string // database group that serves it
	Consistency  Consistency
	MaxStaleness time.Duration
	Timeout      time.Duration // of one statement
	Target       time.Duration // latency objective of an operation
	Priority     int           // 0 is the most important
	Public       bool
}

// Customer has keys and a rate over all VMs.
type Customer struct {
	Name  string
	Rate  float64 // operations per second
	Burst float64 // operations
}

// Group is a database group as configured.
type Group struct {
	Name           string
	MaxConnections int // per backend server, all VMs together
	SyncReplicas   int // replicas that have a commit before it is acknowledged
}

// Config is one version of the configuration. It is immutable.
type Config struct {
	Version   int64
	Routes    map[string]Route // by Database
	Customers map[string]Customer
	Keys      map[string]string // key to customer
	Groups    map[string]Group
	// TxIdle is how long a transaction may wait for its next statement; 0 is
	// without limit.
	TxIdle time.Duration
}

// View is the configuration in force. The mutex guards changes; readers load
// pointers.
type View struct {
	lease       time.Duration
	config      atomic.Pointer[Config]
	confirmedAt atomic.Int64
	// outdated tells that a configuration is known to be there that is not in force: a
	// newer one of which another VM has told, or one that could not be read.
	outdated atomic.Bool

	mu       sync.Mutex
	onChange []func(*Config)
}

// NewView returns a view whose configuration is valid for the lease after the
// moment at which it was last known to be the newest.
func NewView(lease time.Duration) *View { return &View{lease: lease} }

// OnChange adds a function that is told of each new configuration. It must be
// called before the first Apply.
func (v *View) OnChange(f func(*Config)) { v.onChange = append(v.onChange, f) }

// Apply takes a configuration unless a newer one is in force, and reports
// whether it did.
func (v *View) Apply(c *Config) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if old := v.config.Load(); old != nil && old.Version >= c.Version {
		return false
	}
	v.config.Store(c)
	v.outdated.Store(false)
	for _, f := range v.onChange {
		f(c)
	}
	return true
}

// ConfirmNewest notes that the configuration of the version was the newest at the moment.
func (v *View) ConfirmNewest(version int64, at boottime.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	c := v.config.Load()
	switch {
	case c == nil:
	case version > c.Version:
		v.outdated.Store(true)
	case version == c.Version && int64(at) > v.confirmedAt.Load():
		v.confirmedAt.Store(int64(at))
	}
}

// MarkOutdated notes that the newest configuration could not be read.
func (v *View) MarkOutdated() { v.outdated.Store(true) }

// IsOutdated reports whether the configuration in force is known not to be the newest.
func (v *View) IsOutdated() bool { return v.outdated.Load() }

// Config returns the configuration in force, or nil before the first.
func (v *View) Config() *Config { return v.config.Load() }

// LastConfirmed returns the version in force and the moment at which it was known to be
// the newest.
func (v *View) LastConfirmed() (int64, boottime.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if c := v.config.Load(); c != nil {
		return c.Version, boottime.Time(v.confirmedAt.Load())
	}
	return 0, 0
}

// Age returns how long ago the configuration was known to be the newest.
func (v *View) Age() time.Duration { return boottime.Since(boottime.Time(v.confirmedAt.Load())) }

// IsFresh reports whether the lease holds. One that was never proved does not, however
// short ago the VM has started.
func (v *View) IsFresh() bool {
	return v.Config() != nil && v.confirmedAt.Load() != 0 && v.Age() < v.lease
}

func (v *View) staleError() error {
	return errkind.New(errkind.ConfigStale, "configuration last known to be the newest %d ms ago", v.Age().Milliseconds())
}

// Authorize returns the route of the database and the customer that holds the
// key. A public route takes any key; the customer is then zero if none holds it.
func (v *View) Authorize(database, key string) (Route, Customer, error) {
	c := v.Config()
	if c == nil || !v.IsFresh() {
		return Route{}, Customer{}, v.staleError()
	}
	route, ok := c.Routes[database]
	if !ok {
		return Route{}, Customer{}, errkind.New(errkind.UnknownRoute, "version %d", c.Version)
	}
	customer, ok := c.Customers[c.Keys[key]]
	if !ok && !route.Public {
		return route, Customer{}, errkind.New(errkind.Unauthorized, "version %d", c.Version)
	}
	return route, customer, nil
}

// Recheck returns an error if the key no longer is the customer's, or may not be. The
// name is empty for a caller that no customer's key was asked of.
func (v *View) Recheck(key, customer string) error {
	c := v.Config()
	if c == nil || !v.IsFresh() {
		return v.staleError()
	}
	if customer != "" && c.Keys[key] != customer {
		return errkind.New(errkind.Unauthorized, "version %d", c.Version)
	}
	return nil
}
