// Package access holds the configuration in force on this VM and decides who may use which
// route. It grants access only under a freshness lease, which starts at the latest time at
// which the configuration was confirmed to be the newest in the store.
package access

import (
	"sync"
	"sync/atomic"
	"time"

	"chicoryline/internal/boottime"
	"chicoryline/internal/errkind"
)

// Consistency is the guarantee that a route gives for reads.
type Consistency uint8

const (
	// Current reads see every commit acknowledged before them.
	Current Consistency = iota
	// BoundedStaleness reads return data that is at most MaxStaleness old.
	BoundedStaleness
	// ReadYourWrites is BoundedStaleness that includes the session's own commits.
	ReadYourWrites
)

// String returns the name used in metrics.
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

// Route maps a database name that callers connect to, to a database group and its guarantees.
type Route struct {
	Name         string
	Database     string // name that callers use
	Group        string // database group that serves it
	Consistency  Consistency
	MaxStaleness time.Duration
	Timeout      time.Duration // of one statement
	Target       time.Duration // latency objective of an operation
	Priority     int           // 0 is the highest
	Public       bool
	Regions      []string // allowed regions; empty: all
}

// Customer holds the name of a customer and its rate limit over all VMs.
type Customer struct {
	Name  string
	Rate  float64 // operations per second
	Burst float64 // operations
	// Regions holds the allowed regions; empty allows all.
	Regions []string
}

// Group is a database group as configured.
type Group struct {
	Name           string
	MaxConnections int // per backend server, summed over all VMs
	SyncReplicas   int // replicas that must receive a commit before it is acknowledged
	// ColdRate is the number of statements a second that all VMs together may send to a cold backend
	// server, and ColdTime how long a server is cold after its start. There is no limit if either is
	// 0.
	ColdRate float64
	ColdTime time.Duration
}

// Config is one version of the configuration. It is immutable.
type Config struct {
	Version   int64
	Routes    map[string]Route // by Database
	Customers map[string]Customer
	Keys      map[string]string // key to customer
	Groups    map[string]Group
	// TxIdle is how long a transaction may be idle between statements; 0 means no limit.
	TxIdle time.Duration
	// LeftOut describes the entries that are not in force because of their names.
	LeftOut []string
}

// View holds the configuration in force. The mutex serializes changes; readers use atomic
// loads.
type View struct {
	lease       time.Duration
	config      atomic.Pointer[Config]
	confirmedAt atomic.Int64
	// outdated reports that a configuration which is not in force is known to exist: a newer
	// one reported by another VM, or one that could not be read.
	outdated atomic.Bool

	mu       sync.Mutex
	onChange []func(*Config)
	// confirmed is closed with the first confirmation.
	confirmed chan struct{}
}

// NewView returns a view whose configuration is valid until the lease has passed since it
// was last confirmed to be the newest.
func NewView(lease time.Duration) *View {
	return &View{lease: lease, confirmed: make(chan struct{})}
}

// OnChange adds a function that is called with each new configuration. It must be called
// before the first Apply.
func (v *View) OnChange(f func(*Config)) { v.onChange = append(v.onChange, f) }

// Apply puts a configuration in force unless the same or a newer version is, and reports
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

// ConfirmNewest records that the configuration with the version was the newest at the given
// time.
func (v *View) ConfirmNewest(version int64, at boottime.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	c := v.config.Load()
	switch {
	case c == nil:
	case version > c.Version:
		v.outdated.Store(true)
	case version == c.Version && int64(at) > v.confirmedAt.Load():
		if v.confirmedAt.Swap(int64(at)) == 0 {
			close(v.confirmed)
		}
	}
}

// Confirmed returns a channel that is closed once a configuration has been confirmed to be the
// newest.
func (v *View) Confirmed() <-chan struct{} { return v.confirmed }

// MarkOutdated records that the newest configuration could not be read.
func (v *View) MarkOutdated() { v.outdated.Store(true) }

// IsOutdated reports whether the configuration in force is known not to be the newest.
func (v *View) IsOutdated() bool { return v.outdated.Load() }

// Config returns the configuration in force, or nil before the first.
func (v *View) Config() *Config { return v.config.Load() }

// LastConfirmed returns the version in force and the latest time at which it was confirmed to
// be the newest.
func (v *View) LastConfirmed() (int64, boottime.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if c := v.config.Load(); c != nil {
		return c.Version, boottime.Time(v.confirmedAt.Load())
	}
	return 0, 0
}

// Age returns how long ago the configuration was last confirmed to be the newest.
func (v *View) Age() time.Duration { return boottime.Since(boottime.Time(v.confirmedAt.Load())) }

// IsFresh reports whether the lease holds. Without any confirmation it does not hold, even
// shortly after the boot of the VM, when Age is small.
func (v *View) IsFresh() bool {
	return v.Config() != nil && v.confirmedAt.Load() != 0 && v.Age() < v.lease
}

func (v *View) staleError() error {
	return errkind.New(errkind.ConfigStale, "configuration last known to be the newest %d ms ago", v.Age().Milliseconds())
}

// Authorize returns the route of the database and the customer that holds the key. A public
// route accepts any key; the customer is the zero value if none holds the key.
func (v *View) Authorize(database, key string) (Route, Customer, error) {
	c := v.Config()
	if c == nil || !v.IsFresh() {
		return Route{}, Customer{}, v.staleError()
	}
	route, ok := c.Routes[database]
	if !ok {
		return Route{}, Customer{}, errkind.New(errkind.UnknownRoute, "version %d", c.Version)
	}
	customer, ok := c.customerOf(key)
	if !ok && !route.Public {
		return route, Customer{}, errkind.New(errkind.Unauthorized, "version %d", c.Version)
	}
	return route, customer, nil
}

// customerOf returns the customer that holds the key. A customer without a name holds none: an
// empty name stands for no customer.
func (c *Config) customerOf(key string) (Customer, bool) {
	name := c.Keys[key]
	if name == "" {
		return Customer{}, false
	}
	customer, ok := c.Customers[name]
	return customer, ok
}

// Recheck returns an error if the key no longer belongs to the customer, or if that cannot be
// known. customer is empty for a caller that was admitted without a customer's key.
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
