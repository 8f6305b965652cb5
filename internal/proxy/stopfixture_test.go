package proxy

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"chicoryline/internal/caller"
	"chicoryline/internal/catalog"
	"chicoryline/internal/errkind"
	"chicoryline/internal/peer"
	"chicoryline/internal/pool"
	"chicoryline/internal/position"
	"chicoryline/internal/router"
	"chicoryline/internal/services"
	"chicoryline/internal/standin/dbinstance"
)

// stopTimeout limits each wait of a test cell; no checked property depends on its value.
const stopTimeout = time.Minute

// stopFixtureCount numbers the fixtures, which gives each its own route name.
var stopFixtureCount atomic.Int64

// stopFixture is the caller server, router and pool of a process in front of a stand-in
// instance. Only the calls between router and pool are faked.
type stopFixture struct {
	proxy   *Proxy
	server  *dbinstance.Server
	watcher *stopWatcher
	peers   *stopPeers
	access  *stopAccess
	address string
	heal    []func()
	conns   []*pgconn.PgConn
}

func newStopFixture() (*stopFixture, error) {
	server, err := dbinstance.Start(dbinstance.Config{ID: "db1", Group: "g", Listen: "127.0.0.1:0", InitialPrimary: true, User: "u", Password: "p"})
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	discard := logrus.New()
	discard.SetOutput(io.Discard)
	log := logrus.NewEntry(discard)
	fx := &stopFixture{server: server, watcher: &stopWatcher{}, access: &stopAccess{route: fmt.Sprintf("r%d", stopFixtureCount.Add(1))}, address: listener.Addr().String()}
	fx.watcher.hold.Store(make(chan struct{}))
	manager := pool.NewManager(log, noEvents{})
	manager.SetOwner("db1", pool.NewOwner(pool.OwnerConfig{
		Instance: services.Instance{ID: "db1", Address: server.Addr()}, Group: services.Group{Name: "g", Slots: 4},
		Watcher: fx.watcher, Credentials: pool.Credentials{User: "u", Password: "p", Database: "d", Application: "chicoryline/vm/domain1"},
		Dial: (&net.Dialer{}).DialContext, Log: log,
	}, 4))
	service := pool.NewService(manager)
	fx.peers = &stopPeers{local: &peer.LocalCaller{Address: "owner:1", Methods: map[string]peer.Method{
		"Pool.Execute": peer.TypedMethod(service.Execute), "Pool.Fetch": peer.TypedMethod(service.Fetch), "Pool.Abort": peer.TypedMethod(service.Abort),
	}}}
	r := router.New(router.Config{Topology: fx.peers, Liveness: fx.peers, Peers: fx.peers, Rand: rand.New(rand.NewPCG(1, 2)), RetryWindow: stopTimeout})
	callers := caller.NewServer(listener, caller.Config{
		VM: "vm", Incarnation: 1, Access: func() caller.Access { return fx.access }, Limiter: noLimit{}, Router: r, Observer: noEvents{}, Log: log,
	})
	fx.proxy = &Proxy{pool: manager, callers: callers, router: r, log: log}
	go callers.Serve()
	_, _, err = server.Store().Run(context.Background(), "CREATE TABLE w (k bigint, v text)")
	return fx, err
}

func (fx *stopFixture) close() {
	for _, c := range fx.conns {
		_ = c.Conn().Close()
	}
	fx.proxy.callers.Close()
	fx.proxy.router.Close()
	fx.proxy.pool.Close()
	fx.server.Close()
}

func (fx *stopFixture) connect() (*pgconn.PgConn, error) {
	config, err := pgconn.ParseConfig("postgres://c1:key-of-c1-0001@" + fx.address + "/" + fx.access.route + "?sslmode=disable")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	c, err := pgconn.ConnectConfig(ctx, config)
	if err == nil {
		fx.conns = append(fx.conns, c)
	}
	return c, err
}

func exec(c *pgconn.PgConn, sql string) error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	_, err := c.Exec(ctx, sql).ReadAll()
	return err
}

// rows returns the number of the writer's rows at the instance.
func (fx *stopFixture) rows(writer string) (int, error) {
	results, _, err := fx.server.Store().Run(context.Background(), "SELECT k FROM w WHERE v = '"+writer+"'")
	if err != nil {
		return 0, err
	}
	return len(results[0].Rows), nil
}

// stopWatcher is the pool's group watcher. It holds back confirmations of commits until hold
// is closed.
type stopWatcher struct {
	hold     atomic.Value // chan struct{}
	held     atomic.Int64
	replaced atomic.Bool
	refuse   atomic.Bool
	age      atomic.Int64
}

func (s *stopWatcher) Primary() (string, uint64, bool) {
	if s.replaced.Load() {
		return "db2", 2, true
	}
	return "db1", 1, true
}

func (s *stopWatcher) ReadIndex(context.Context) (position.Position, error) {
	return position.Position{Term: 1, Offset: 1}, nil
}

func (s *stopWatcher) Confirm(ctx context.Context, _ position.Position) error {
	s.held.Add(1)
	select {
	case <-s.hold.Load().(chan struct{}):
	case <-ctx.Done():
		return ctx.Err()
	}
	if s.refuse.Load() {
		return errors.New("no majority")
	}
	return nil
}

func (s *stopWatcher) Log(string) position.Position         { return position.Position{} }
func (s *stopWatcher) Age(string) (time.Duration, bool)     { return time.Duration(s.age.Load()), true }
func (s *stopWatcher) TimeSinceAnswer(string) time.Duration { return 0 }

// stopPeers forwards calls to the pool in this process. mu guards fault and noOwners.
type stopPeers struct {
	local peer.Caller

	mu sync.Mutex
	// fault, if set, replaces the next call of Pool.Execute; run performs the original call.
	fault func(run func() error, reply *pool.ExecuteReply) error
	// noOwners means that the VM list contains no owner.
	noOwners bool
}

func (p *stopPeers) takeFault() func(func() error, *pool.ExecuteReply) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	fault := p.fault
	p.fault = nil
	return fault
}

func (p *stopPeers) injectFault(fault func(run func() error, reply *pool.ExecuteReply) error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = fault
}

func (p *stopPeers) Call(ctx context.Context, address, method string, args, reply any) error {
	run := func() error { return p.local.Call(ctx, address, method, args, reply) }
	switch method {
	case "Pool.View":
		*reply.(*pool.ViewReply) = pool.ViewReply{Primary: "db1", Term: 1}
		return nil
	case "Pool.Execute":
		if fault := p.takeFault(); fault != nil {
			return fault(run, reply.(*pool.ExecuteReply))
		}
	}
	return run()
}

func (p *stopPeers) Group(name string) (services.Group, bool) {
	return services.Group{Name: name, Instances: []services.Instance{{ID: "db1"}}}, true
}

func (p *stopPeers) Owners(services.Instance) []services.VM {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.noOwners {
		return nil
	}
	return []services.VM{{ID: "owner", Address: "owner:1"}}
}

func (p *stopPeers) Alive(string) context.Context { return context.Background() }

// stopAccess accepts any key until withdrawn is set.
type stopAccess struct {
	// route is unique to each test cell, because a later cell may listen on the same port.
	route     string
	withdrawn atomic.Bool
}

func (a *stopAccess) Authorize(_, key, route string) (catalog.Customer, catalog.Route, error) {
	if route != a.route {
		return catalog.Customer{}, catalog.Route{}, errkind.New(errkind.UnknownRoute, "")
	}
	if key == "" {
		return catalog.Customer{}, catalog.Route{}, errkind.New(errkind.Unauthorized, "")
	}
	return a.AuthorizeKey("c1", "k", route)
}

func (a *stopAccess) MatchKey(string, string) (catalog.KeyRef, bool) { return "k", true }

func (a *stopAccess) AuthorizeKey(string, catalog.KeyRef, string) (catalog.Customer, catalog.Route, error) {
	if a.withdrawn.Load() {
		return catalog.Customer{}, catalog.Route{}, errkind.New(errkind.Unauthorized, "")
	}
	return catalog.Customer{Name: "c1", Weight: 1}, catalog.Route{Name: a.route, Group: "g", Mode: catalog.ReadSession}, nil
}

func (a *stopAccess) Sealer() *position.Sealer {
	return position.NewSealer(bytes.Repeat([]byte("s"), 32), nil)
}

type noLimit struct{}

func (noLimit) AdmitWait(context.Context, string, float64) error { return nil }

type noEvents struct{}

func (noEvents) Request(string, string, bool, bool, time.Duration, error) {}
func (noEvents) CallerEvent(string, string, string, string)               {}
func (noEvents) PoolEvent(string, pool.SessionID, string, string, string) {}
