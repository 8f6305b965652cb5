// Package entry assembles the process that serves callers on the platform: the front end, the
// configuration view, the database groups, the rate limits, the mesh with the other VMs and
// the supervision of primaries.
package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	gometrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"chicoryline/internal/access"
	"chicoryline/internal/answers"
	"chicoryline/internal/boottime"
	"chicoryline/internal/connset"
	"chicoryline/internal/coord"
	"chicoryline/internal/dispatch"
	"chicoryline/internal/membudget"
	"chicoryline/internal/mesh"
	"chicoryline/internal/owner"
	"chicoryline/internal/peer"
	"chicoryline/internal/ratelimit"
	"chicoryline/internal/session"
	"chicoryline/internal/statement"
	"chicoryline/internal/steward"
	"chicoryline/internal/tcp"
	"chicoryline/internal/timeline"
)

// Settings configures a process at its start.
type Settings struct {
	VM, Domain, IP string
	// PeerPort receives the mesh's datagrams and the calls of other VMs; MetricsPort serves
	// the metrics.
	PeerPort, MetricsPort          int
	FrontAddress, ReadyAddress     string
	StoreAddress, PromotionAddress string
	MemoryBytes                    int64
	// Capacity is the processor time of this VM in cores, 0 if it is not known.
	Capacity float64
	// Callers bounds what callers can take of the process.
	Callers CallerLimits
	// KeyLifetime is the maximum time for which a withdrawn key may still be accepted.
	KeyLifetime time.Duration
	// RateWindow is the window to which a customer's rate and burst apply.
	RateWindow time.Duration
	// StopTime is the time from the stop request until the process is killed.
	StopTime time.Duration
	// LeaveTime is how long a leaving backend server may still get statements.
	LeaveTime time.Duration
	// ColdOverage is the factor by which the statements to a cold backend server may exceed their
	// rate while the VMs' lists of VMs differ. There is no limit if it is 0.
	ColdOverage float64
	// Regions maps failure domains to regions.
	Regions map[string]string
	// EvacuateTime is how long after the operator's demand statements may still be sent to servers
	// of an evacuated failure domain; 0 if demands have no effect.
	EvacuateTime time.Duration
	// FirstStart is set when the whole system starts for the first time.
	FirstStart bool
	// ReplacedServe is set if a replaced primary may go on answering reads until it is ordered
	// to step down or learns of its successor.
	ReplacedServe bool
}

const (
	// keyLeaseMargin is subtracted from a key's lifetime. It covers the different rates of two
	// clocks and the transfer of a statement to the backend server.
	keyLeaseMargin = 400 * time.Millisecond
	// leadershipProofLifetime is how long a confirmation that a primary has not been replaced
	// is valid, where a replaced primary continues to serve. Most confirmations come by state
	// updates: a commit at another VM of the cell becomes known within an interval of 500 ms,
	// and its age counts from the last datagram of this VM that the sender had received, up to
	// another interval earlier. A failover takes longer by this time.
	leadershipProofLifetime = 1500 * time.Millisecond
	// firstConfigTimeout is how long after the start of the process new sessions wait for the
	// configuration. Reading it takes about 0.5 s if all VMs start at once, and callers close a
	// session that takes 2 s to open.
	firstConfigTimeout = 1500 * time.Millisecond
	// tableWatchWait is how long a single watch request of a table waits for a change.
	tableWatchWait = 29 * time.Second
	// serverBatchDelay batches the changes of backend servers that start or leave together.
	serverBatchDelay = 250 * time.Millisecond
	// serverProofAge is the age of the list of backend servers at which the store is asked
	// again. With two lost calls the age stays within the time for which a leaving server may
	// get statements, 6.5 s.
	serverProofAge = 2500 * time.Millisecond
	// unknownMemberRefreshDelay is the minimum time between two reads of the list of VMs
	// because of a VM that is not listed: two gossip intervals.
	unknownMemberRefreshDelay = time.Second
	// leaderRefreshTime is how long other VMs of a cell leave it to its leader to read the list of
	// VMs because of a VM that is not listed: two gossip intervals and a slow call.
	leaderRefreshTime = 1500 * time.Millisecond
	// memberBatchDelay batches the changes of many VMs that start together.
	memberBatchDelay = 3 * time.Second
	// storeTimeout bounds a call of the store, in addition to the wait of a watch. A call
	// takes 4 ms, and 60 times that when the store is slow.
	storeTimeout = 800 * time.Millisecond
	// maintenanceInterval is the time between two rounds of the periodic tasks of maintain,
	// and between two checks of the configuration's age.
	maintenanceInterval = 200 * time.Millisecond
	// idleConnectionTimeout is how long a VM of a large fleet keeps an unused connection:
	// several times the pause between two statements of a customer at its owner.
	idleConnectionTimeout = 6 * time.Second
	// readinessDrainTime is the time from the first negative readiness check until the load
	// balancer, which checks every second and tolerates one miss, sends no more connections.
	readinessDrainTime = 2200 * time.Millisecond
	// stewardConnections is the number of connections of a backend server's limit that is
	// reserved for stewards.
	stewardConnections = 2
	// exitReserve is the part of StopTime that is reserved for exiting the process.
	exitReserve = 500 * time.Millisecond
	// gcPercent trades memory for processor time; the live heap is a few MB.
	gcPercent = 400
	// memoryLimitFraction is the fraction of the VM's memory that is set as the memory limit
	// of the Go runtime.
	memoryLimitFraction = 0.7
)

// leadershipProofLifetime returns how long a confirmation of leadership is valid, 0 if none is
// needed.
func (s Settings) leadershipProofLifetime() time.Duration {
	if s.ReplacedServe {
		return leadershipProofLifetime
	}
	return 0
}

// tableMembers holds one row for each VM.
const tableMembers = "members"

// Platform holds the implementations and names that the platform adapter provides.
type Platform struct {
	Store coord.Store
	// Eras tracks the era of the store.
	Eras   *coord.Eras
	Dialer connset.Dialer
	Texts  connset.Texts
	// Fits reports whether a command fits into one message to a backend server.
	Fits func(statement.Command) bool
	// Control and Promoter execute primary changes.
	Control  steward.Control
	Promoter steward.Promoter
	// ConfigTable and ConfigKey name the row of the newest configuration; ServerTable holds
	// the backend servers.
	ConfigTable, ConfigKey, ServerTable string
	DecodeConfig                        func([]byte) (*access.Config, error)
	DecodeServer                        func(id string, value []byte) (dispatch.ServerInfo, error)
	// EvacuationKey and EvacuatedDomain convert between a failure domain and the key of the row
	// in ConfigTable that demands its evacuation. The confirmation has the same key in
	// StatusTable.
	EvacuationKey   func(domain string) string
	EvacuatedDomain func(key string) (domain string, ok bool)
	StatusTable     string
	// Callers limits what callers take of the process; nil for no limits.
	Callers *membudget.Budget
	// Metrics are the adapter's own metrics; nil for none.
	Metrics gometrics.Registry
	// NewFront creates the front end that callers connect to.
	NewFront func(net.Listener, *session.Core, *logrus.Entry) Front
}

// Front accepts connections of callers.
type Front interface {
	Serve(ctx context.Context)
	// Drain stops accepting connections and closes all, gracefully until the context ends.
	Drain(ctx context.Context)
	// EndTransactions aborts open transactions between two statements.
	EndTransactions()
}

// Process is a running proxy process.
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
	// homes maps customers to their owners, onlyHomes small customers to their single rate
	// home.
	homes, onlyHomes homes
	// otherHomes maps customers to their homes in the other cells.
	otherHomes  cellHomes
	evacuation  evacuationState
	configTable atomic.Pointer[coord.Follower]
	// access is the store for the tables that this VM follows.
	access       *coord.Access
	reachability domainReachability
	servers      atomic.Pointer[coord.Follower]
	// listed reports that the list of VMs contains the row of this VM, as last read or written.
	listed atomic.Bool
	// unknownMember triggers a read of the list of VMs.
	unknownMember chan struct{}
	// storedConfig is the version of the configuration that the store holds, as last read.
	storedConfig atomic.Int64
	started      boottime.Time
	// joined is closed when this VM knows whether to read tables from the store or from its
	// cell leader, or has waited for the leader for long enough.
	joined  chan struct{}
	ready   atomic.Bool
	leaving atomic.Bool
	// updatesComposed counts the state updates that were composed.
	updatesComposed atomic.Uint64

	// mu guards the fields below it.
	mu      sync.Mutex
	members map[string]member
	// loads holds the load of each backend server by other reachable VMs and cells, by source
	// and hash of the server ID; reported is the load of this VM that the others know.
	loads    map[string]sourceLoads
	reported map[uint32]float32
	// followers are those of the tables that this VM follows.
	followers []*coord.Follower
	// rosters holds the rows of tableRosters as last read or written, by group. A roster is
	// the stored list of a group's known servers.
	rosters map[string]rosterRow
	// probes holds the times of the last probes of former servers.
	probes map[probeKey]boottime.Time
}

// member is the row of a VM in tableMembers.
type member struct {
	Address string `json:"address"`
	Domain  string `json:"domain"`
	// SettledEra is the newest era of the store that the VM has found settled, 0 if none.
	SettledEra uint64 `json:"settled_era,omitempty"`
	// Capacity is the VM's Settings.Capacity. Older builds do not write it.
	Capacity float64 `json:"capacity,omitempty"`
}

// New assembles a process.
func New(s Settings, p Platform, log *logrus.Entry) *Process {
	log = log.WithField("vm", s.VM)
	observer := newObserver(log)
	p.Store = countedStore{p.Store, observer.registry}
	e := &Process{
		settings: s, platform: p, log: log, members: map[string]member{}, loads: map[string]sourceLoads{}, rosters: map[string]rosterRow{}, probes: map[probeKey]boottime.Time{},
		view:          access.NewView(s.KeyLifetime - keyLeaseMargin),
		limiter:       ratelimit.New(boottime.Now, s.RateWindow),
		observer:      observer,
		clock:         timeline.NewClock(time.Now),
		started:       boottime.Now(),
		copies:        coord.NewCopies(),
		joined:        make(chan struct{}),
		unknownMember: make(chan struct{}, 1),
	}
	e.router = dispatch.NewRouter(dispatch.Config{
		Domain: s.Domain, LeaveTime: s.LeaveTime, LeaderLeaseTime: s.leadershipProofLifetime(), Dialer: answers.Dialer{Dialer: p.Dialer, Texts: p.Texts, Log: log, Registry: observer.registry}, Texts: p.Texts, Statuses: p.Control, ReadSeed: rand.Uint64(), Log: log,
		OutstandingTargets: func(group string) ([]string, bool) { return e.steward.OutstandingTargets(group) },
		RefreshOrders:      func(ctx context.Context, group string) error { return e.steward.RefreshOrders(ctx, group) },
		Contact:            meshContact{e},
	})
	e.access = coord.NewAccess(p.Store, storeTimeout, e.storePauses, log)
	e.peers = peer.NewClient(e.clock, tcp.Dialer(peer.DialTimeout).DialContext, nil)
	e.rates = ratelimit.NewHomes(e.limiter, e.peers, e.rateHomeOf, log)
	e.rates.BorrowFrom(e.lendersTo)
	owners := owner.NewForwarder(e.peers, e.ownerOf, log)
	owners.FindIn, owners.Evacuations = e.ownerIn, e.evacuationVersion
	e.core = &session.Core{Access: e.view, WaitForConfigUntil: e.started.Add(firstConfigTimeout), Limiter: e.rates, Owners: owners, Regions: s.Regions, Router: e.router, Observer: e.observer, Texts: p.Texts, Log: log}
	p.Callers.LogTo(log)
	e.core.Fits, e.core.MaxStateBytes = p.Fits, s.Callers.maxStateBytes()
	e.steward = steward.New(steward.Config{VM: s.VM, Store: e.access.Unpaced(), Dialer: p.Dialer, Control: p.Control, Promoter: p.Promoter, LeaderLease: s.leadershipProofLifetime(), Eras: p.Eras, Log: log})
	e.view.OnChange(e.configure)
	p.Eras.LogTo(log)
	return e
}

// Run serves until the context ends, then stops gracefully.
func (e *Process) Run(ctx context.Context) error {
	debug.SetGCPercent(gcPercent)
	if e.settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(e.settings.MemoryBytes) * memoryLimitFraction))
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
	e.mesh = mesh.New(mesh.Config{VM: e.settings.VM, Conn: meshConn, Compose: e.composeUpdate, IsUrgent: e.isUrgent, IsStoreLost: e.access.IsLost, OnUpdate: e.receiveUpdate, OnDigest: e.receiveDigest, OnLost: e.forgetSource, OnUnknownPeer: e.notifyUnknownMember, Log: e.log})
	readiness, readyListener := newHTTPServer(readyListener, e.answerReady)
	go e.serveReady(readiness, readyListener)
	defer readiness.Close()
	go e.serveMetrics(work)
	meshEnded := make(chan struct{})
	go func() { defer close(meshEnded); e.mesh.Run(work) }()
	defer func() {
		stop()
		<-meshEnded // frees the port
	}()
	go e.follow(work)
	go e.maintain(work)
	go e.supervise(work)
	go e.superviseEvacuations(work)
	front := e.platform.NewFront(listener, e.core, e.log)
	go front.Serve(work)
	e.log.WithFields(logrus.Fields{"event": "start", "failure_domain": e.settings.Domain}).Info("process started")
	<-ctx.Done()
	return e.stop(front)
}

// stop takes the process out of the load balancer's rotation, then drains connections between
// operations. Open transactions have the first half of StopTime to end.
func (e *Process) stop(front Front) error {
	began := boottime.Now()
	e.leaving.Store(true)
	e.log.WithFields(logrus.Fields{"event": "stop"}).Info("planned stop began")
	time.Sleep(min(readinessDrainTime, e.settings.StopTime/2))
	rest := e.settings.StopTime - readinessDrainTime - exitReserve
	drain, cancel := context.WithTimeout(context.Background(), max(rest, 0))
	defer cancel()
	// What a transaction sends in the second half of StopTime could not be finished.
	ending := time.AfterFunc(e.settings.StopTime/2-boottime.Since(began), front.EndTransactions)
	defer ending.Stop()
	front.Drain(drain)
	e.log.WithFields(logrus.Fields{"event": "stop"}).Info("process ended")
	return nil
}

func (e *Process) isReady() bool { return !e.leaving.Load() && e.view.IsFresh() }

func (e *Process) answerReady(w http.ResponseWriter, _ *http.Request) {
	if !e.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (e *Process) serveReady(server *http.Server, l net.Listener) {
	if err := server.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
		e.log.WithError(err).Error("readiness check server failed")
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

// maintain runs the periodic tasks: load measurement, limits, expiry, idle connections and
// readiness.
func (e *Process) maintain(ctx context.Context) {
	every(ctx, maintenanceInterval, func() {
		for _, g := range e.router.Groups() {
			g.MeasureLoad()
		}
		e.distributeLimits()
		e.checkSources()
		e.router.ExpireServers()
		e.router.RetireEvacuated()
		if e.mesh.IsLarge() {
			e.router.CloseIdle(idleConnectionTimeout)
		}
		if ready := e.isReady(); ready != e.ready.Swap(ready) {
			e.log.WithFields(logrus.Fields{"event": "ready", "ready": ready, "config_age_ms": e.view.Age().Milliseconds()}).Info("changed")
		}
	})
}
