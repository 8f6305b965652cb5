// Package proxy assembles one serve process: the entry role, which serves callers, the pool
// role, which holds connections to backend servers, and the tasks of this VM for database
// groups, customers and the configuration. It starts them in the order of their dependencies
// and ends them in a planned stop that interrupts no accepted request before the drain
// timeout.
package proxy

import (
	"context"
	"crypto/tls"
	mathrand "math/rand"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"chicoryline/internal/caller"
	"chicoryline/internal/configsync"
	"chicoryline/internal/failover"
	"chicoryline/internal/fleet"
	"chicoryline/internal/frame"
	"chicoryline/internal/metrics"
	"chicoryline/internal/peer"
	"chicoryline/internal/pool"
	"chicoryline/internal/quota"
	"chicoryline/internal/router"
	"chicoryline/internal/services"
	"chicoryline/internal/settings"
	"chicoryline/internal/timeline"
	"chicoryline/internal/voters"
)

// DialFunc opens a connection. The demo replaces it to simulate network partitions.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// dialTimeout limits the opening of one connection.
const dialTimeout = 2 * time.Second

// Options configure a process in addition to its settings.
type Options struct {
	Settings settings.Settings
	// Dial replaces TCP dialing; nil uses plain TCP.
	Dial DialFunc
	Log  *logrus.Entry
}

// Proxy is one serve process. mu guards groupWorkers, readyMu guards admittedCustomers.
type Proxy struct {
	settings settings.Settings
	vm       services.VM
	started  time.Time
	dial     DialFunc
	log      *logrus.Entry
	stop     chan struct{}

	clock    *timeline.Clock
	ring     *timeline.Ring
	measures *metrics.Recorder
	system   *frame.System

	services *services.Client
	peers    *peer.Client
	server   *peer.Server
	fleet    *fleet.Fleet
	config   *configsync.Node
	quota    *quota.Node
	voters   *voters.Keeper
	stewards *failover.Service
	topology *topology
	liveness *liveness
	pool     *pool.Manager
	// poolService serves pool requests of entries; requests of this process's own entry do not
	// use the network.
	poolService *poolService
	router      *router.Router
	callers     *caller.Server

	callerListener  net.Listener
	metricsListener net.Listener

	mu           sync.Mutex
	groupWorkers map[string]*groupWorker

	readyMu sync.Mutex
	// admittedCustomers lists the customers of which a statement has been admitted here since
	// the start.
	admittedCustomers map[string]bool
}

// New listens on the addresses of the settings and builds the process. Start starts it.
func New(options Options) (*Proxy, error) {
	s := options.Settings
	p := &Proxy{
		settings: s, started: time.Now(), dial: options.Dial, log: options.Log,
		stop: make(chan struct{}), groupWorkers: map[string]*groupWorker{}, admittedCustomers: map[string]bool{},
	}
	if p.dial == nil {
		p.dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	p.log = p.log.WithField("vm", s.VM)
	peerListener, err := p.listen()
	if err != nil {
		return nil, errors.Trace(err)
	}
	p.vm = services.VM{ID: s.VM, Domain: s.Domain, Address: peerListener.Addr().String()}
	p.clock = timeline.NewClock(time.Now)
	p.ring = timeline.NewRing(p.clock, s.VM, s.Domain, timeline.DefaultRingSize)
	p.measures = metrics.New(time.Now)
	p.system = frame.New(p.log)
	return p, errors.Trace(p.build(peerListener))
}

// listen opens all listeners and returns the one for peers.
func (p *Proxy) listen() (net.Listener, error) {
	callers, err := net.Listen("tcp", p.settings.CallerListen)
	if err != nil {
		return nil, errors.Annotate(err, "caller_listen")
	}
	p.callerListener = callers
	if p.settings.MetricsListen != "" {
		p.metricsListener, err = net.Listen("tcp", p.settings.MetricsListen)
		if err != nil {
			return nil, errors.Annotate(err, "metrics_listen")
		}
	}
	peers, err := net.Listen("tcp", p.settings.PeerListen)
	return peers, errors.Annotate(err, "peer_listen")
}

// build creates the components and registers their services.
func (p *Proxy) build(peerListener net.Listener) error {
	serverTLS, clientTLS, err := peerTLS(p.settings)
	if err != nil {
		return err
	}
	callerTLS, err := callerTLS(p.settings)
	if err != nil {
		return err
	}
	p.services, err = services.NewClient(p.settings.PlatformURLs, p.vm, services.WithDial(p.dial))
	if err != nil {
		return err
	}
	p.peers = peer.NewClient(p.clock, p.dial, clientTLS)
	p.server = peer.NewServer(p.clock, peerListener, serverTLS)
	if err := p.buildControl(); err != nil {
		return err
	}
	p.pool = pool.NewManager(p.log, p)
	p.poolService = &poolService{Service: pool.NewService(p.pool), proxy: p}
	p.router = router.New(router.Config{
		Domain: p.vm.Domain, Topology: p.topology, Liveness: p.liveness, Peers: p.withLocalPool(),
		RetryWindow: p.settings.RetryWindow, Rand: p.newRand(),
	})
	p.fleet.Directory().Watch(p.onMembersChanged)
	p.buildCallers(callerTLS)
	return p.register()
}

// buildControl creates the components that coordinate with other VMs.
func (p *Proxy) buildControl() error {
	var err error
	p.fleet, err = fleet.New(fleet.Config{
		Self: p.vm, Services: p.services, Caller: p.peers, System: p.system, Log: p.log,
	})
	if err != nil {
		return errors.Annotate(err, "membership")
	}
	p.liveness = newLiveness()
	p.topology = newTopology(p.services, p.fleet.Directory(), p.applyGroups, p.log)
	p.config = configsync.New(configsync.Config{
		VM: p.vm, Incarnation: uint64(p.started.UnixNano()), Services: p.services, Caller: p.peers, System: p.system,
		Now: time.Now, Rand: p.newRand(), Log: p.log, GrantLength: p.settings.GrantLength,
		Peers: p.otherVMs, OnEvent: p.onEvent,
	})
	p.voters = voters.New(voters.Config{
		VM: p.vm, Table: p.services, Caller: p.peers, Registered: p.registeredVMs,
		MinChangeInterval: quota.DefaultPromiseLifetime + p.settings.ShareLease, Now: time.Now, Log: p.log,
	})
	p.quota = quota.NewNode(quota.Config{
		VM: p.vm, Holders: p.shareHolders, Caller: p.peers, System: p.system, Now: time.Now, Log: p.log,
		Rand: p.newMathRand(), ShareLease: p.settings.ShareLease, OnEvent: p.onEvent,
	})
	p.stewards = failover.NewService()
	p.config.Watch(p.applyConfig)
	return nil
}

func (p *Proxy) buildCallers(config *tls.Config) {
	p.callers = caller.NewServer(p.callerListener, caller.Config{
		VM: p.vm.ID, Incarnation: p.fleet.Directory().Self().Incarnation, Access: p.access, Limiter: p.quota,
		Router: p.router, Observer: p, CancelForwarder: p, TLS: config,
		MaxMessageBytes: p.settings.MaxMessageBytes, QueueTimeout: p.settings.QueueTimeout, Log: p.log,
	})
}

func (p *Proxy) register() error {
	services := map[string]any{
		"Pool": p.poolService, "Fleet": p.fleet.Service(),
		"Config": p.config.Service(), quota.ServiceName: p.quota.Service(), voters.ServiceName: p.voters.Service(),
		failover.ServiceName: p.stewards, "Timeline": timeline.NewService(p.ring), "Proxy": &Service{proxy: p},
	}
	for name, service := range services {
		if err := p.server.Register(name, service); err != nil {
			return errors.Annotatef(err, "service %s", name)
		}
	}
	return nil
}

// newRand returns a random number generator for one component.
func (p *Proxy) newRand() *rand.Rand {
	return rand.New(rand.NewPCG(uint64(p.started.UnixNano()), rand.Uint64()))
}

// newMathRand returns a random number generator for components that use math/rand instead of
// math/rand/v2.
func (p *Proxy) newMathRand() *mathrand.Rand { return mathrand.New(mathrand.NewSource(rand.Int64())) }

// shareHolders lists the voters and marks those that are stopping, so that none of them is
// chosen as the share home, the VM that grants the shares of a limit.
func (p *Proxy) shareHolders() []services.VM {
	list := slices.Clone(p.voters.VMs())
	for _, m := range p.fleet.Directory().Members() {
		if m.State != fleet.Leaving {
			continue
		}
		if i := slices.IndexFunc(list, func(vm services.VM) bool { return vm.ID == m.VM.ID }); i >= 0 {
			list[i].Leaving = true
		}
	}
	return list
}

// registeredVMs lists the VMs that hold configuration grants, the leases under which they may
// use the configuration.
func (p *Proxy) registeredVMs(ctx context.Context) ([]services.VM, error) {
	holders, err := configsync.Holders(ctx, p.services)
	vms := make([]services.VM, len(holders))
	for i, h := range holders {
		vms[i] = services.VM{ID: h.VM, Domain: h.Domain, Address: h.Address}
	}
	return vms, err
}

// applicationName returns the application name of this process's connections to backend
// servers.
func (p *Proxy) applicationName() string { return "chicoryline/" + p.vm.ID + "/" + p.vm.Domain }

// Start starts all components and returns.
func (p *Proxy) Start() error {
	go p.server.Serve()
	p.fleet.Start()
	if err := p.config.Start(); err != nil {
		return errors.Annotate(err, "configuration")
	}
	if err := p.quota.Start(); err != nil {
		return errors.Annotate(err, "shares")
	}
	p.voters.Start()
	go p.topology.run(p.stop)
	go p.reconcileLoop()
	if p.metricsListener != nil {
		go p.measures.Serve(p.metricsListener)
	}
	go p.serveCallers()
	p.recordEvent("started", timeline.Event{}, nil)
	p.log.WithField("event", "started").WithField("callers", p.CallerAddress()).WithField("peers", p.vm.Address).Info("serve")
	return nil
}

// CallerAddress returns the listen address for callers.
func (p *Proxy) CallerAddress() string { return p.callerListener.Addr().String() }

// PeerAddress returns the listen address for other processes.
func (p *Proxy) PeerAddress() string { return p.vm.Address }

// MetricsAddress returns the listen address of the metrics, or "".
func (p *Proxy) MetricsAddress() string {
	if p.metricsListener == nil {
		return ""
	}
	return p.metricsListener.Addr().String()
}

// Measures returns the process's counters.
func (p *Proxy) Measures() *metrics.Recorder { return p.measures }

// Close ends the process immediately. To others it looks like a crash, except that sockets are
// closed.
func (p *Proxy) Close() {
	p.mu.Lock()
	select {
	case <-p.stop:
		p.mu.Unlock()
		return
	default:
		close(p.stop)
	}
	p.mu.Unlock()
	p.callers.Close()
	p.server.Close()
	p.router.Close()
	for _, name := range p.groupWorkerNames() {
		p.stopGroupWorker(name)
	}
	p.pool.Close()
	p.voters.Close()
	p.quota.Close()
	p.config.Close()
	p.fleet.Close()
	p.peers.Close()
	p.services.Close()
	if p.metricsListener != nil {
		_ = p.metricsListener.Close()
	}
	p.system.Shutdown()
}
