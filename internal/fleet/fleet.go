package fleet

import (
	"context"
	"math/rand"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"chicoryline/internal/frame"
	"chicoryline/internal/peer"
	"chicoryline/internal/services"
)

// Defaults of Config.
const (
	DefaultHeartbeatInterval = 200 * time.Millisecond
	DefaultSuspectAfter      = 800 * time.Millisecond
	DefaultDeadAfter         = 2 * time.Second
	DefaultListInterval      = time.Second
)

const (
	// mailboxSize is the number of messages that the actor holds.
	mailboxSize = 256
	// methodHeartbeat and methodRecords are RPC methods of other members.
	methodHeartbeat = ServiceName + ".Heartbeat"
	methodRecords   = ServiceName + ".Records"
)

// Config holds the dependencies and timeouts of a Fleet.
type Config struct {
	Self     services.VM
	Services services.VMs
	Caller   peer.Caller
	System   *frame.System
	Log      *logrus.Entry
	// HeartbeatInterval, SuspectAfter, DeadAfter and ListInterval default to the
	// constants above. In a fleet larger than MeshSize the timeouts for suspect and
	// dead are longer, and the platform is called less often.
	HeartbeatInterval time.Duration
	SuspectAfter      time.Duration
	DeadAfter         time.Duration
	ListInterval      time.Duration
	// Seeds are addresses to request the members from while no other member is known,
	// so that a VM can join without the platform.
	Seeds []string
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Fleet runs the membership protocol of one process. Its actor owns the Table.
type Fleet struct {
	config    Config
	table     *Table
	directory *Directory
	ref       *frame.Ref

	ctx     context.Context
	cancel  context.CancelFunc
	workers sync.WaitGroup // goroutines that call other members or the platform

	leaving atomic.Bool

	// The fields below are accessed only by the actor.

	publishedGeneration uint64 // generation of the published snapshot
	publishedReady      bool
	publishedAt         time.Time
	nextSeed            int
	lastSeeding         time.Time
}

// New returns a fleet that knows only its own VM. Call Start to run the protocol.
func New(config Config) (*Fleet, error) {
	if config.Self.ID == "" || config.Self.Address == "" {
		return nil, errors.NotValidf("VM without id or address")
	}
	config.setDefaults()
	timing := Timing{
		Heartbeat: config.HeartbeatInterval, Suspect: config.SuspectAfter,
		Dead: config.DeadAfter, List: config.ListInterval,
	}
	now := config.Now()
	f := &Fleet{
		config:    config,
		table:     NewTable(config.Self, now.UnixNano(), timing, rand.New(rand.NewSource(now.UnixNano())), now),
		directory: &Directory{},
	}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	f.publishChanges()
	ref, err := config.System.Spawn("fleet-"+config.Self.ID, mailboxSize, f.handle)
	if err != nil {
		return nil, errors.Annotate(err, "fleet")
	}
	f.ref = ref
	return f, nil
}

func (c *Config) setDefaults() {
	setDefault(&c.HeartbeatInterval, DefaultHeartbeatInterval)
	setDefault(&c.SuspectAfter, DefaultSuspectAfter)
	setDefault(&c.DeadAfter, DefaultDeadAfter)
	setDefault(&c.ListInterval, DefaultListInterval)
	if c.Now == nil {
		c.Now = time.Now
	}
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// Directory returns the membership view for the other parts of the process.
func (f *Fleet) Directory() *Directory { return f.directory }

// Start begins sending heartbeats and polling the platform's list. Before Start the
// fleet only replies to other members.
func (f *Fleet) Start() {
	f.ref.Tick(f.config.HeartbeatInterval, tick{}, f.ctx.Done())
	f.workers.Go(f.pollPlatform)
}

// Close stops the heartbeats. Other members then suspect this one, or treat it as
// leaving if Leave was called before.
func (f *Fleet) Close() {
	f.cancel()
	f.ref.Stop()
	f.workers.Wait()
}

// Leave announces the planned stop to the platform and to other members: to all of
// them in a mesh, to maxLeaveCalls of them in a larger fleet. It returns when every
// call has completed or failed, or when the context is done.
func (f *Fleet) Leave(ctx context.Context) error {
	f.leaving.Store(true)
	done := make(chan []Call, 1)
	f.ref.Send(leaveRequested{done})
	var calls []Call
	select {
	case calls = <-done:
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	}
	var announced sync.WaitGroup
	for _, call := range calls {
		announced.Go(func() { f.sendHeartbeat(ctx, call) })
	}
	self := f.config.Self
	self.Leaving = true
	err := f.config.Services.Register(ctx, self)
	announced.Wait()
	return errors.Trace(err)
}

// sendHeartbeat sends one heartbeat and passes the result to the actor.
func (f *Fleet) sendHeartbeat(ctx context.Context, call Call) {
	ctx, cancel := context.WithTimeout(ctx, f.config.SuspectAfter)
	defer cancel()
	var reply Heartbeat
	if err := f.config.Caller.Call(ctx, call.Address, methodHeartbeat, call.Args, &reply); err != nil {
		f.sendToActor(callFailed{call.VM})
		return
	}
	f.sendToActor(callReplied{call.VM, reply})
}

func (f *Fleet) pullRecords(address string) {
	ctx, cancel := context.WithTimeout(f.ctx, f.config.DeadAfter)
	defer cancel()
	var records []Record
	if err := f.config.Caller.Call(ctx, address, methodRecords, f.config.Self.ID, &records); err == nil {
		f.sendToActor(recordsPulled{records})
	}
}

// sendToActor sends the message to the actor, or drops it if the fleet is closed.
func (f *Fleet) sendToActor(message any) {
	if f.ctx.Err() == nil {
		f.ref.Send(message)
	}
}
