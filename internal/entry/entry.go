// Package entry assembles the process that serves callers on the platform: the
// front, the view of the configuration, the database groups, the rates, the mesh
// with the other VMs and the stewardship of primaries.
package entry

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"chicoryline/internal/access"
	"chicoryline/internal/boottime"
	"chicoryline/internal/connset"
	"chicoryline/internal/coord"
	"chicoryline/internal/dispatch"
	"chicoryline/internal/mesh"
	"chicoryline/internal/owner"
	"chicoryline/internal/peer"
	"chicoryline/internal/ratelimit"
	"chicoryline/internal/session"
	"chicoryline/internal/steward"
	"chicoryline/internal/tcp"
	"chicoryline/internal/timeline"
)

// Settings is what a process learns at its start.
type Settings struct {
	VM, Domain, IP string
	// PeerPort takes the mesh's datagrams, MetricsPort serves the metrics.
	PeerPort, MetricsPort          int
	FrontAddress, ReadyAddress     string
	StoreAddress, PromotionAddress string
	MemoryBytes                    int64
	// KeyLifetime is how long a withdrawn key may go on working.
	KeyLifetime time.Duration
	// RateWindow is the span over which a customer's rate and burst count.
	RateWindow time.Duration
	// StopTime is from the request to stop until the process is killed.
	StopTime time.Duration
	// LeaveTime is how long a leaving backend server may still get work.
	LeaveTime time.Duration
	// FirstStart tells that the whole system starts for the first time.
	FirstStart bool
	// ReplacedServe tells that a primary that was replaced may go on answering reads until
	// it is told to step down or hears of its successor.
	ReplacedServe bool
}

const (
	// leaseMargin is taken off a key's lifetime: the rates of two clocks and the
	// way of a statement to the backend server.
	leaseMargin = 400 * time.Millisecond
	// leadTime is how long a proof holds that a primary has not been replaced, where a
	// replaced one serves. Most proofs come by news: a commit at another VM of the cell is
	// known within an interval of 500 ms and counts from the last news that the sender had
	// of this VM, up to another interval before. A failover takes this much longer.
	leadTime = 1500 * time.Millisecond
	// leaderProofAge is the age at which the first VM asks the store for a new proof of the
	// configuration. With the way of news to others, and one that is lost, proofs stay
	// within the lease of 4.6 s. In a fleet of several cells, where news go three ways of
	// 500 ms, it is fleetProofAge.
	leaderProofAge = 1200 * time.Millisecond
	fleetProofAge  = 800 * time.Millisecond
	// memberProofAge, and up to proofSpread more, is the age at which others ask.
	memberProofAge = 3000 * time.Millisecond
	proofSpread    = 600 * time.Millisecond
	// lastLeaderCheck and lastMemberCheck are the longest pauses between two such
	// questions while the store does not answer.
	lastLeaderCheck = 800 * time.Millisecond
	lastMemberCheck = 1600 * time.Millisecond
	// tableWait is how long one watch of a table waits for a change.
	tableWait = 29 * time.Second
	// serverPause gathers the changes of backend servers that start or leave together.
	serverPause = 250 * time.Millisecond
	// serverProofAge is the age of the list of backend servers at which the store is
	// asked anew. With two calls that are lost it stays within the time that a leaving
	// server may get work, 6.5 s.
	serverProofAge = 2500 * time.Millisecond
	// unknownPause is the least time between two looks at the list of VMs because of one
	// that is not in it: two rounds of news.
	unknownPause = time.Second
	// memberPause gathers the changes of many VMs that start together.
	memberPause = 3 * time.Second
	// storeTimeout bounds a call of the store beyond its wait: 4 ms an answer, 60
	// times that when the store is slow.
	storeTimeout = 800 * time.Millisecond
	// upkeepInterval is the pause between two rounds of upkeep.
	upkeepInterval = 200 * time.Millisecond
	// idleTime is how long a VM of a large fleet keeps a connection that it does not
	// use: several times the pause between two statements of a customer at its owner.
	idleTime = 6 * time.Second
	// unreadyTime is from the first refusal of the readiness check until the
	// balancer, which asks every second and forgives one miss, sends no more.
	unreadyTime = 2200 * time.Millisecond
	// controlConnections is what is left of a backend server's limit for stewards.
	controlConnections = 2
	// exitReserve is left of StopTime for the end of the process.
	exitReserve = 500 * time.Millisecond
	// gcPercent trades memory for processor time; the live heap is a few MB.
	gcPercent = 400
	// memoryPart is the part of the VM's memory that the runtime aims to stay under.
	memoryPart = 0.7
)

// leadTime returns the time that a proof of the lead holds, 0 if none is needed.
func (s Settings) leadTime() time.Duration {
	if s.ReplacedServe {
		return leadTime
	}
	return 0
}

// tableMembers holds one row for each VM.
const tableMembers = "members"

// Platform is what the adapter gives.
type Platform struct {
	Store  coord.Store
	Dialer connset.Dialer
	Texts  connset.Texts
	// Control and Promoter change primaries.
	Control  steward.Control
	Promoter steward.Promoter
	// ConfigTable and ConfigKey name the row of the newest configuration;
	// ServerTable holds the backend servers.
	ConfigTable, ConfigKey, ServerTable string
	DecodeConfig                        func([]byte) (*access.Config, error)
	DecodeServer                        func(id string, value []byte) (dispatch.ServerInfo, error)
	// NewFront makes the front towards callers.
	NewFront func(net.Listener, *session.Core, *logrus.Entry) Front
}

// Front accepts callers.
type Front interface {
	Serve(ctx context.Context)
	// Drain stops accepting and ends all connections, gracefully until the
	// context ends.
	Drain(ctx context.Context)
}

// Process is one running process.
type Process struct {
	settings Settings
	platform Platform
	log      *logrus.Entry
	view     *access.View
	router   *dispatch.Router
	limiter  *ratelimit.Limiter
	mesh     *mesh.Mesh
	core     *session.Core
	observer *observer
	steward  *steward.Steward
	clock    *timeline.Clock
	peers    *peer.Client
	copies   *coord.Copies
	rates    *ratelimit.Homes
	// homes knows the owners of customers, onlyHomes those of small customers' rates.
	homes, onlyHomes homes
	touch            touch
	servers          atomic.Pointer[coord.Follower]
	// unknown wakes the follower of the list of VMs.
	unknown chan struct{}
	started boottime.Time
	// joined is closed when this VM knows the others, or has waited for that for long
	// enough.
	joined  chan struct{}
	ready   atomic.Bool
	leaving atomic.Bool
	// composed counts news.
	composed atomic.Uint64

	// mu guards the fields below it.
	mu      sync.Mutex
	members map[string]member
	// loads is the load of other VMs and cells in touch at each backend server, by VM
	// and a hash of the server's id; reported is this VM's own as the others know it.
	loads    map[string]map[uint32]float32
	reported map[uint32]float32
	// rosters are the rows of tableRosters as last read or written, by group.
	rosters map[string]rosterRow
	// looks are the last looks at former servers.
	looks map[lookKey]boottime.Time
}

// member is the row of a VM.
type member struct {
	Address string `json:"address"`
	Domain  string `json:"domain"`
}

// New assembles a process.
func New(s Settings, p Platform, log *logrus.Entry) *Process {
	log = log.WithField("vm", s.VM)
	e := &Process{
		settings: s, platform: p, log: log, members: map[string]member{}, loads: map[string]map[uint32]float32{}, rosters: map[string]rosterRow{}, looks: map[lookKey]boottime.Time{},
		view:     access.NewView(s.KeyLifetime - leaseMargin),
		limiter:  ratelimit.New(boottime.Now, s.RateWindow),
		router:   dispatch.NewRouter(dispatch.Config{Domain: s.Domain, LeaveTime: s.LeaveTime, LeaderLeaseTime: s.leadTime(), Dialer: p.Dialer, Texts: p.Texts, Statuses: p.Control, Log: log}),
		observer: newObserver(log),
		clock:    timeline.NewClock(time.Now),
		started:  boottime.Now(),
		copies:   coord.NewCopies(),
		joined:   make(chan struct{}),
		unknown:  make(chan struct{}, 1),
	}
	e.peers = peer.NewClient(e.clock, tcp.Dialer(peer.DialTimeout).DialContext, nil)
	e.rates = ratelimit.NewHomes(e.limiter, e.peers, e.rateHomeOf, log)
	e.core = &session.Core{Access: e.view, Limiter: e.rates, Owners: owner.New(e.peers, e.ownerOf, log), Router: e.router, Observer: e.observer, Texts: p.Texts, Log: log}
	e.steward = steward.New(steward.Config{VM: s.VM, Store: p.Store, Dialer: p.Dialer, Control: p.Control, Promoter: p.Promoter, LeadTime: s.leadTime(), Log: log})
	e.view.OnChange(e.configure)
	return e
}

// Run serves until the context ends, then stops gracefully.
func (e *Process) Run(ctx context.Context) error {
	debug.SetGCPercent(gcPercent)
	if e.settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(e.settings.MemoryBytes) * memoryPart))
	}
	listener, err := net.Listen("tcp4", e.settings.FrontAddress)
	if err != nil {
		return err
	}
	readyListener, err := net.Listen("tcp4", e.settings.ReadyAddress)
	if err != nil {
		return err
	}
	meshConn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(e.settings.IP), Port: e.settings.PeerPort})
	if err != nil {
		return err
	}
	peerListener, err := net.Listen("tcp4", net.JoinHostPort(e.settings.IP, strconv.Itoa(e.settings.PeerPort)))
	if err != nil {
		return err
	}
	peers, err := e.servePeers(peerListener)
	if err != nil {
		return err
	}
	defer peers.Close()
	work, stop := context.WithCancel(context.Background())
	defer stop()
	e.mesh = mesh.New(mesh.Config{VM: e.settings.VM, Conn: meshConn, Compose: e.compose, Urgent: e.urgent, Receive: e.hear, ReceiveDigest: e.hearDigest, Lost: e.forget, Unknown: e.noteUnknown, Log: e.log})
	readiness := &http.Server{ReadHeaderTimeout: storeTimeout, Handler: http.HandlerFunc(e.answerReady)}
	go e.serveReady(readiness, readyListener)
	defer readiness.Close()
	go e.serveMetrics(work)
	go e.mesh.Run(work)
	go e.follow(work)
	go e.upkeep(work)
	go e.supervise(work)
	front := e.platform.NewFront(listener, e.core, e.log)
	go front.Serve(work)
	e.log.WithFields(logrus.Fields{"event": "start", "failure_domain": e.settings.Domain}).Info("process started")
	<-ctx.Done()
	return e.stop(front)
}

// stop leaves the balancer's rotation, then ends connections between operations.
func (e *Process) stop(front Front) error {
	e.leaving.Store(true)
	e.log.WithFields(logrus.Fields{"event": "stop"}).Info("planned stop began")
	time.Sleep(min(unreadyTime, e.settings.StopTime/2))
	rest := e.settings.StopTime - unreadyTime - exitReserve
	drain, cancel := context.WithTimeout(context.Background(), max(rest, 0))
	defer cancel()
	front.Drain(drain)
	e.log.WithFields(logrus.Fields{"event": "stop"}).Info("process ended")
	return nil
}

func (e *Process) isReady() bool { return !e.leaving.Load() && e.view.Fresh() }

func (e *Process) answerReady(w http.ResponseWriter, _ *http.Request) {
	if !e.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (e *Process) serveReady(server *http.Server, l net.Listener) {
	if err := server.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
		e.log.WithError(err).Error("readiness check ended")
	}
}

// every calls the function at the interval until the context ends.
func every(ctx context.Context, interval time.Duration, do func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			do()
		}
	}
}

// upkeep runs what has to be looked at again as time passes.
func (e *Process) upkeep(ctx context.Context) {
	every(ctx, upkeepInterval, func() {
		for _, g := range e.router.Groups() {
			g.MeasureLoad(upkeepInterval)
		}
		e.share()
		e.router.ExpireServers()
		if e.mesh.Large() {
			e.router.CloseIdle(idleTime)
		}
		if ready := e.isReady(); ready != e.ready.Swap(ready) {
			e.log.WithFields(logrus.Fields{"event": "ready", "ready": ready, "config_age_ms": e.view.Age().Milliseconds()}).Info("changed")
		}
	})
}
