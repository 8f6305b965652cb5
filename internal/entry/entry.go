// Package entry assembles the process that serves callers on the platform: the
// front, the view of the configuration, the database groups, the rates, the mesh
// with the other VMs and the stewardship of primaries.
package entry

import (
	"context"
	"encoding/json"
	"math/rand/v2"
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
	"chicoryline/internal/peer"
	"chicoryline/internal/ratelimit"
	"chicoryline/internal/session"
	"chicoryline/internal/steward"
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
}

const (
	// leaseMargin is taken off a key's lifetime: the rates of two clocks and the
	// way of a statement to the backend server.
	leaseMargin = 400 * time.Millisecond
	// leaderProofAge is the age at which the first VM of a cell asks the store for a
	// new proof of the configuration. With the way of news to others, and one that is
	// lost, proofs stay within the lease of 4.6 s.
	leaderProofAge = 1200 * time.Millisecond
	// memberProofAge, and up to proofSpread more, is the age at which others ask.
	memberProofAge = 3000 * time.Millisecond
	proofSpread    = 600 * time.Millisecond
	// tableWait is how long one watch of a table waits for a change.
	tableWait = 29 * time.Second
	// serverPause gathers the changes of backend servers that start or leave together.
	serverPause = 250 * time.Millisecond
	// memberPause gathers the changes of many VMs that start together.
	memberPause = 3 * time.Second
	// storeTimeout bounds a call of the store beyond its wait: 4 ms an answer, 60
	// times that when the store is slow.
	storeTimeout = 800 * time.Millisecond
	// upkeepInterval is the pause between two rounds of upkeep.
	upkeepInterval = 200 * time.Millisecond
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
	ready    atomic.Bool
	leaving  atomic.Bool

	// mu guards the fields below it.
	mu      sync.Mutex
	members map[string]member
	// loads is the load of other VMs in touch, by VM and group.
	loads map[string]map[string]float64
}

// member is the row of a VM.
type member struct {
	Address string `json:"address"`
	Domain  string `json:"domain"`
	Started int64  `json:"started"`
}

// New assembles a process.
func New(s Settings, p Platform, log *logrus.Entry) *Process {
	log = log.WithField("vm", s.VM)
	e := &Process{
		settings: s, platform: p, log: log, members: map[string]member{}, loads: map[string]map[string]float64{},
		view:     access.NewView(s.KeyLifetime - leaseMargin),
		limiter:  ratelimit.New(boottime.Now, s.RateWindow),
		router:   dispatch.NewRouter(dispatch.Config{Domain: s.Domain, LeaveTime: s.LeaveTime, Dialer: p.Dialer, Texts: p.Texts, Log: log}),
		observer: newObserver(log),
		clock:    timeline.NewClock(time.Now),
	}
	homes := ratelimit.NewHomes(e.limiter, peer.NewClient(e.clock, nil, nil), e.rateHome, log)
	e.core = &session.Core{Access: e.view, Limiter: homes, Router: e.router, Observer: e.observer, Texts: p.Texts, Log: log}
	e.steward = steward.New(steward.Config{VM: s.VM, Store: p.Store, Dialer: p.Dialer, Control: p.Control, Promoter: p.Promoter, Log: log})
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
	e.mesh = mesh.New(mesh.Config{VM: e.settings.VM, Conn: meshConn, Compose: e.compose, Urgent: e.urgent, Receive: e.hear, Lost: e.forget, Log: e.log})
	readiness := &http.Server{ReadHeaderTimeout: storeTimeout, Handler: http.HandlerFunc(e.answerReady)}
	go e.serveReady(readiness, readyListener)
	defer readiness.Close()
	go e.serveMetrics(work)
	go e.followConfig(work)
	go e.followServers(work)
	go e.followMembers(work)
	go e.followStewards(work)
	go e.register(work)
	go e.mesh.Run(work)
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

func (e *Process) followConfig(ctx context.Context) {
	apply := func(rows []coord.Row) {
		for _, r := range rows {
			if r.Key != e.platform.ConfigKey || r.Deleted {
				continue
			}
			c, err := e.platform.DecodeConfig(r.Value)
			if err != nil {
				e.log.WithError(err).WithField("event", "config").Error("configuration was not read")
				continue
			}
			if e.view.Apply(c) {
				e.log.WithFields(logrus.Fields{"event": "config", "version": c.Version, "routes": len(c.Routes), "customers": len(c.Customers)}).Info("in force")
			}
		}
	}
	f := &coord.Follower{
		Store: e.platform.Store, Table: e.platform.ConfigTable, Wait: tableWait, Timeout: storeTimeout,
		Reset: apply, Update: apply, Log: e.log, Proof: e.prove,
	}
	go e.keepFresh(ctx, f)
	f.Run(ctx)
}

func (e *Process) prove(at boottime.Time) {
	if c := e.view.Config(); c != nil {
		e.view.Prove(c.Version, at)
	}
}

// keepFresh asks the store whether the configuration still is the newest before
// the proof at hand gets too old. One VM of a cell asks more often than the others,
// who hear of it and ask only when they do not.
func (e *Process) keepFresh(ctx context.Context, f *coord.Follower) {
	spread := rand.N(proofSpread)
	ticker := time.NewTicker(upkeepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		limit := memberProofAge + spread
		if e.mesh.Leads() {
			limit = leaderProofAge
		}
		if e.view.Config() == nil || e.view.Age() < limit {
			continue
		}
		start := boottime.Now()
		if err := f.Check(ctx); err != nil {
			e.log.WithError(err).WithField("event", "store_watch").Debug("configuration was not proved")
			continue
		}
		e.prove(start)
	}
}

func (e *Process) followServers(ctx context.Context) {
	update := func(rows []coord.Row) {
		for _, r := range rows {
			if r.Deleted {
				e.router.Missing(r.Key)
				continue
			}
			info, err := e.platform.DecodeServer(r.Key, r.Value)
			if err != nil {
				e.log.WithError(err).WithField("event", "backend_server").Warn("entry was not read")
				e.router.Missing(r.Key)
				continue
			}
			info.Version = r.Version
			e.router.Update(info)
		}
	}
	f := &coord.Follower{
		Store: e.platform.Store, Table: e.platform.ServerTable, Wait: tableWait, Pause: serverPause, Timeout: storeTimeout, Log: e.log,
		Update: update,
		Reset: func(rows []coord.Row) {
			present := map[string]bool{}
			for _, r := range rows {
				present[r.Key] = true
			}
			for _, id := range e.router.Known() {
				if !present[id] {
					e.router.Missing(id)
				}
			}
			update(rows)
		},
	}
	f.Run(ctx)
}

// followStewards learns of changes of primary sooner than through the entries of
// backend servers.
func (e *Process) followStewards(ctx context.Context) {
	observe := func(rows []coord.Row, act bool) {
		for _, r := range rows {
			change, err := e.steward.Observe(r)
			switch {
			case r.Deleted || !act:
			case err != nil:
				e.log.WithError(err).WithFields(logrus.Fields{"event": "failover", "group": r.Key}).Warn("row was not read")
			case change.Active:
				e.router.Group(change.Group).Expect(boottime.Now().Add(steward.ExpectedPromotion))
			case change.Primary != "":
				e.succeed(change.Group, change.Primary)
			}
		}
	}
	f := &coord.Follower{
		Store: e.platform.Store, Table: steward.Table, Wait: tableWait, Timeout: storeTimeout, Log: e.log,
		Reset:  func(rows []coord.Row) { observe(rows, false) },
		Update: func(rows []coord.Row) { observe(rows, true) },
	}
	f.Run(ctx)
}

// succeed takes another VM's word that a server was ordered to lead.
func (e *Process) succeed(group, server string) {
	g := e.router.Group(group)
	h := g.Health()
	g.Expect(boottime.Now().Add(steward.ExpectedPromotion))
	g.Succeed(server, h.Failing == 0 && h.Stuck == 0)
}

func (e *Process) followMembers(ctx context.Context) {
	f := &coord.Follower{
		Store: e.platform.Store, Table: tableMembers, Wait: tableWait, Pause: memberPause, Timeout: storeTimeout, Log: e.log,
		Update: func(rows []coord.Row) { e.updateMembers(rows, false) },
		Reset:  func(rows []coord.Row) { e.updateMembers(rows, true) },
	}
	f.Run(ctx)
}

func (e *Process) updateMembers(rows []coord.Row, all bool) {
	e.mu.Lock()
	if all {
		clear(e.members)
	}
	for _, r := range rows {
		var m member
		if r.Deleted {
			delete(e.members, r.Key)
		} else if err := json.Unmarshal(r.Value, &m); err != nil {
			e.log.WithError(err).WithFields(logrus.Fields{"event": "member", "member": r.Key}).Warn("row was not read")
		} else {
			e.members[r.Key] = m
		}
	}
	peers := make([]mesh.Peer, 0, len(e.members))
	for vm, m := range e.members {
		peers = append(peers, mesh.Peer{VM: vm, Address: m.Address, Domain: m.Domain})
	}
	e.mu.Unlock()
	e.mesh.SetPeers(peers)
	e.share()
	e.log.WithFields(logrus.Fields{"event": "members", "count": len(peers)}).Info("changed")
}

// register writes this VM's row. The same row twice does no harm, so an answer
// that was lost needs no care.
func (e *Process) register(ctx context.Context) {
	value, err := json.Marshal(member{
		Address: net.JoinHostPort(e.settings.IP, strconv.Itoa(e.settings.PeerPort)),
		Domain:  e.settings.Domain, Started: time.Now().UnixMilli(),
	})
	if err != nil {
		e.log.WithError(err).Error("member row was not encoded")
		return
	}
	change := coord.Change{Put: []coord.Row{{Table: tableMembers, Key: e.settings.VM, Value: value}}}
	for pause := 100 * time.Millisecond; ctx.Err() == nil; pause = min(2*pause, 2*time.Second) {
		call, cancel := context.WithTimeout(ctx, storeTimeout)
		_, err := e.platform.Store.Apply(call, change)
		cancel()
		if err == nil {
			return
		}
		e.log.WithError(err).WithField("event", "member").Warn("row was not written")
		time.Sleep(pause + rand.N(pause))
	}
}

// configure takes a new configuration.
func (e *Process) configure(c *access.Config) {
	e.limiter.Configure(c.Customers)
	e.share()
}

// share splits what counts over all VMs.
func (e *Process) share() {
	heard, all := 0, 0
	if e.mesh != nil {
		heard, all = e.mesh.Heard()
	}
	rounds := 2 // the others' last reports may not be in yet
	if e.mesh != nil && e.mesh.Cells() > 1 {
		rounds = 4 // to the leader of the cell, to the other leaders, to their cells
	}
	e.limiter.SetFleet(heard+1, all+1, rounds)
	c := e.view.Config()
	if c == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for name, g := range c.Groups {
		var others []float64
		for _, loads := range e.loads {
			others = append(others, loads[name])
		}
		own := e.router.Group(name).Load()
		e.router.SetLimit(name, dispatch.Budget(g.MaxConnections-controlConnections, all+1, own, others))
	}
}

// noteLoad takes another VM's load.
func (e *Process) noteLoad(vm string, groups map[string]mesh.GroupNews) {
	loads := make(map[string]float64, len(groups))
	for name, g := range groups {
		loads[name] = float64(g.Load)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loads[vm] = loads
}

// forget drops what is known of a VM that is no longer in touch.
func (e *Process) forget(vm string) {
	e.limiter.Forget(vm)
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.loads, vm)
}

// upkeep runs what has to be looked at again as time passes.
func (e *Process) upkeep(ctx context.Context) {
	ticker := time.NewTicker(upkeepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, g := range e.router.Groups() {
			g.MeasureLoad()
		}
		e.share()
		e.router.Expire()
		if ready := e.isReady(); ready != e.ready.Swap(ready) {
			e.log.WithFields(logrus.Fields{"event": "ready", "ready": ready, "config_age_ms": e.view.Age().Milliseconds()}).Info("changed")
		}
	}
}

// compose returns this VM's news.
func (e *Process) compose() mesh.News {
	version, proved := e.view.Proved()
	n := mesh.News{
		Leaving: e.leaving.Load(), ConfigVersion: version, ConfigAge: age(proved),
		Usage: e.limiter.Report(), Groups: map[string]mesh.GroupNews{},
	}
	for _, g := range e.router.Groups() {
		n.Groups[g.Name] = groupNews(g)
	}
	return n
}

// urgentTime is how long after the first missing answer of a primary news are
// urgent; by then it is replaced, or answers others.
const urgentTime = 2 * time.Second

// urgent reports whether a primary has begun to fail to answer this VM.
func (e *Process) urgent() bool {
	for _, g := range e.router.Groups() {
		h := g.Health()
		if first := max(h.Failing, h.Stuck); first != 0 && boottime.Since(first) < urgentTime {
			return true
		}
	}
	return false
}

func groupNews(g *dispatch.Group) mesh.GroupNews {
	point, h := g.History.Newest(), g.Health()
	news := mesh.GroupNews{
		Position: point.Position, PositionAge: age(point.At), Primary: h.Primary,
		AnsweredAge: age(h.OwnAnswered), CommittedAge: age(h.OwnCommitted), Load: float32(g.Load()),
	}
	if expected := g.Expected(); expected > boottime.Now() {
		news.ExpectedIn = expected.Sub(boottime.Now()).Milliseconds()
	}
	return news
}

// age returns the time since the moment in milliseconds, rounded up; -1 for never.
func age(at boottime.Time) int64 {
	if at == 0 {
		return -1
	}
	return boottime.Since(at).Milliseconds() + 1
}

// moment is the inverse of age, counted back from since; 0 for never.
func moment(since boottime.Time, age int64) boottime.Time {
	if age < 0 {
		return 0
	}
	return since.Add(-time.Duration(age) * time.Millisecond)
}

// hear takes the news of another VM or cell.
func (e *Process) hear(source string, n mesh.News, since boottime.Time) {
	e.limiter.Hear(source, n.Usage)
	e.noteLoad(source, n.Groups)
	if since == 0 {
		return
	}
	e.view.Prove(n.ConfigVersion, moment(since, n.ConfigAge))
	for name, news := range n.Groups {
		g := e.router.Group(name)
		if news.PositionAge >= 0 {
			g.History.Add(moment(since, news.PositionAge), news.Position)
		}
		g.HearHealth(news.Primary, moment(since, news.AnsweredAge), moment(since, news.CommittedAge))
		if news.ExpectedIn > 0 {
			g.Expect(boottime.Now().Add(time.Duration(news.ExpectedIn) * time.Millisecond))
		}
	}
}
