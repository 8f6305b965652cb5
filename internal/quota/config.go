package quota

import (
	"math/rand"
	"time"

	"github.com/sirupsen/logrus"

	"chicoryline/internal/frame"
	"chicoryline/internal/peer"
	"chicoryline/internal/services"
)

// Defaults of Config.
const (
	DefaultShareLease      = 3 * time.Second
	DefaultRenewInterval   = 250 * time.Millisecond
	DefaultPromiseLifetime = time.Second
)

// admitWait limits how long a request waits for tokens from the home.
const admitWait = 50 * time.Millisecond

// callTimeoutIntervals is the timeout of a renewal call, in renewal intervals.
const callTimeoutIntervals = 2

// mailboxSize is the capacity of the control actor's mailbox, in messages.
const mailboxSize = 1024

// ServiceName is the name under which Service has to be registered.
const ServiceName = "Quota"

// Config configures a Node. Zero durations take the defaults.
type Config struct {
	VM services.VM
	// Holders returns the registered holders, including this VM if it is registered.
	// Consecutive lists differ by at most one VM, and two changes are at least
	// PromiseLifetime + ShareLease apart.
	Holders func() []services.VM
	Caller  peer.Caller
	System  *frame.System
	Now     func() time.Time // with a monotonic reading
	Rand    *rand.Rand       // used by NewNode only
	Log     *logrus.Entry

	ShareLease      time.Duration
	RenewInterval   time.Duration
	PromiseLifetime time.Duration

	// OnEvent, if not nil, is called on each state change. It must not block and
	// must not call the Node.
	OnEvent func(kind string, fields map[string]string)
}

func (c *Config) timing() timing {
	t := timing{lease: c.ShareLease, interval: c.RenewInterval, promise: c.PromiseLifetime}
	if t.lease <= 0 {
		t.lease = DefaultShareLease
	}
	if t.interval <= 0 {
		t.interval = DefaultRenewInterval
	}
	if t.promise <= 0 {
		t.promise = DefaultPromiseLifetime
	}
	return t
}
