package site

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net"
	"sort"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"chicoryline/internal/catalog"
	"chicoryline/internal/configsync"
	"chicoryline/internal/proxy"
	"chicoryline/internal/services"
	"chicoryline/internal/settings"
	"chicoryline/internal/standin/dbinstance"
	"chicoryline/internal/standin/platformd"
)

// Customer is a customer of the site.
type Customer struct {
	Name string
	// Rate is in statements per second, Burst in statements.
	Rate  float64
	Burst float64
}

// Spec describes a site.
type Spec struct {
	Name         string
	Domains      int
	Proxies      int
	Groups       int
	Instances    int
	Slots        int
	Connections  int
	ConnectDelay time.Duration
	// OneWay is the one-way latency between failure domains, ClientDelay that between
	// callers and proxies.
	OneWay         time.Duration
	ClientDelay    time.Duration
	StatementDelay time.Duration
	ReplicationLag time.Duration
	// MaxAge is the staleness bound of the routes for bounded-staleness reads ("-aged").
	MaxAge    time.Duration
	Customers []Customer
	// Direct connects the processes without latency and partitions, to measure the overhead
	// of the proxy alone.
	Direct bool
}

// DefaultCustomers returns two large and six small customers.
func DefaultCustomers() []Customer {
	customers := []Customer{{"large1", 400, 400}, {"large2", 300, 300}}
	for i := 1; i <= 6; i++ {
		customers = append(customers, Customer{fmt.Sprintf("small%d", i), 60, 60})
	}
	return customers
}

// Kremstal is a site with the sizes of the first user's installation.
func Kremstal() Spec {
	return Spec{
		Name: "kremstal", Domains: 3, Proxies: 8, Groups: 3, Instances: 3, Slots: 5, Connections: 35,
		ConnectDelay: 10 * time.Millisecond, OneWay: 1500 * time.Microsecond, ClientDelay: 3 * time.Millisecond,
		ReplicationLag: 2 * time.Millisecond, MaxAge: time.Second, Customers: DefaultCustomers(),
	}
}

// Fogas is a site with the sizes of the second user's installation.
func Fogas() Spec {
	return Spec{
		Name: "fogas", Domains: 4, Proxies: 8, Groups: 3, Instances: 3, Slots: 3, Connections: 40,
		ConnectDelay: 30 * time.Millisecond, OneWay: time.Millisecond, ClientDelay: 3 * time.Millisecond,
		ReplicationLag: 2 * time.Millisecond, MaxAge: time.Second, Customers: DefaultCustomers(),
	}
}

// Demo is the smaller site that the demo command runs.
func Demo() Spec {
	s := Kremstal()
	s.Name, s.Proxies, s.Groups = "demo", 6, 2
	return s
}

const (
	// BackendPassword is the password that the proxies use at the backend servers.
	BackendPassword = "backend-password"
	// readyTimeout is how long a site may take to become ready.
	readyTimeout = 20 * time.Second
	// readyInterval is the polling interval for the readiness of a proxy.
	readyInterval = 20 * time.Millisecond
)

// Site is a running installation. The exported slices and maps do not change after Start;
// a stopped proxy keeps its index.
type Site struct {
	Spec      Spec
	Network   *Network
	Platform  *platformd.Server
	Instances map[string]*dbinstance.Server
	Proxies   []*proxy.Proxy
	// Keys maps customer names to API keys.
	Keys map[string]string

	groups  []services.Group
	log     *logrus.Entry
	stopped map[int]bool
}

// Start builds the site and waits until every proxy serves its configuration.
func Start(ctx context.Context, spec Spec, log *logrus.Entry) (*Site, error) {
	s := &Site{
		Spec: spec, Network: NewNetwork(spec.OneWay, spec.ClientDelay), Instances: map[string]*dbinstance.Server{},
		Keys: map[string]string{}, log: log, stopped: map[int]bool{},
	}
	s.Network.Direct = spec.Direct
	if err := s.start(ctx); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Site) start(ctx context.Context) error {
	if err := s.startInstances(); err != nil {
		return err
	}
	var err error
	s.Platform, err = platformd.Start("127.0.0.1:0", platformd.Options{Groups: s.groups, ListLag: 500 * time.Millisecond})
	if err != nil {
		return err
	}
	s.Network.SetLocation(s.Platform.Addr(), Location{Name: "platform", Domain: "platform"})
	if err := s.createTables(ctx); err != nil {
		return err
	}
	if err := s.submitConfig(ctx); err != nil {
		return err
	}
	for i := range s.Spec.Proxies {
		if err := s.startProxy(i); err != nil {
			return err
		}
	}
	return s.awaitReady(ctx)
}

// DomainName returns the name of the i-th failure domain.
func DomainName(i int) string { return fmt.Sprintf("domain%d", i+1) }

// GroupName returns the name of the i-th database group.
func GroupName(i int) string { return fmt.Sprintf("group%d", i+1) }

func (s *Site) startInstances() error {
	addresses := newAddressBook()
	for g := range s.Spec.Groups {
		group := services.Group{Name: GroupName(g), Connections: s.Spec.Connections, Slots: s.Spec.Slots}
		first := fmt.Sprintf("%s-db%d", group.Name, 1)
		for i := range s.Spec.Instances {
			id := fmt.Sprintf("%s-db%d", group.Name, i+1)
			domain := DomainName((g + i) % s.Spec.Domains)
			source := first
			if i == 0 {
				source = ""
			}
			server, err := dbinstance.Start(dbinstance.Config{
				ID: id, Group: group.Name, Domain: domain, Listen: "127.0.0.1:0",
				Peers:          addresses.get,
				InitialPrimary: i == 0, InitialSource: source,
				Connections: s.Spec.Connections, Slots: s.Spec.Slots, ConnectDelay: s.Spec.ConnectDelay,
				StatementDelay: s.Spec.StatementDelay, ReplicationLag: s.Spec.ReplicationLag,
				User: settings.Default().BackendUser, Password: BackendPassword, Log: s.log,
			})
			if err != nil {
				return err
			}
			addresses.set(id, server.Addr())
			s.Instances[id] = server
			s.Network.SetLocation(server.Addr(), Location{Name: id, Domain: domain})
			group.Instances = append(group.Instances, services.Instance{ID: id, Address: server.Addr(), Domain: domain})
		}
		s.groups = append(s.groups, group)
	}
	return nil
}

// submitConfig submits the first configuration version: customers with keys, groups, two
// routes for each group ("groupN" for current data and "groupN-aged" for reads that accept
// data up to MaxAge old) and the open read-only route "public".
func (s *Site) submitConfig(ctx context.Context) error {
	var b strings.Builder
	var secret [16]byte
	_, _ = rand.Read(secret[:])
	fmt.Fprintf(&b, "[session]\ntoken_secret = %s\n", hex.EncodeToString(secret[:]))
	for _, c := range s.Spec.Customers {
		key, hash, err := catalog.NewKey(rand.Reader)
		if err != nil {
			return err
		}
		s.Keys[c.Name] = key
		fmt.Fprintf(&b, "[customer %s]\nrate = %g\nburst = %g\nkey.main = %s\n", c.Name, c.Rate, c.Burst, hash)
	}
	for _, g := range s.groups {
		fmt.Fprintf(&b, "[group %s]\n", g.Name)
		fmt.Fprintf(&b, "[route %s]\ngroup = %s\nmode = session\n", g.Name, g.Name)
		fmt.Fprintf(&b, "[route %s-aged]\ngroup = %s\nmode = session\nmax_age = %s\n", g.Name, g.Name, s.Spec.MaxAge)
	}
	fmt.Fprintf(&b, "[route public]\ngroup = %s\nmode = session\nmax_age = %s\nread_only = true\nopen = true\nserve_cut_off = true\n", s.groups[0].Name, s.Spec.MaxAge)
	services, err := s.OperatorClient()
	if err != nil {
		return err
	}
	result, err := configsync.Submit(ctx, services, 0, []byte(b.String()), "first")
	if err != nil {
		return errors.Annotatef(err, "first configuration: %s", result.Reason)
	}
	return nil
}

// OperatorClient returns a platform client with the identity of an operator.
func (s *Site) OperatorClient() (*services.Client, error) {
	return services.NewClient([]string{s.Platform.URL()}, services.VM{ID: "operator"})
}

// ProxyName returns the id of the i-th proxy's VM.
func ProxyName(i int) string { return fmt.Sprintf("vm%d", i+1) }

// ProxyDomain returns the failure domain of the i-th proxy.
func (s *Site) ProxyDomain(i int) string { return DomainName(i % s.Spec.Domains) }

func (s *Site) startProxy(i int) error {
	set := settings.Default()
	set.VM, set.Domain = ProxyName(i), s.ProxyDomain(i)
	set.CallerListen, set.PeerListen, set.MetricsListen = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	set.PlatformURLs = []string{s.Platform.URL()}
	set.BackendPassword = BackendPassword
	set.DrainTimeout = 5 * time.Second
	place := Location{Name: set.VM, Domain: set.Domain}
	p, err := proxy.New(proxy.Options{Settings: set, Dial: s.Network.Dial(place), Log: s.log})
	if err != nil {
		return err
	}
	s.Network.SetLocation(p.CallerAddress(), place)
	s.Network.SetLocation(p.PeerAddress(), place)
	s.Proxies = append(s.Proxies, p)
	return p.Start()
}

// awaitReady waits until every proxy can serve every group.
func (s *Site) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, p := range s.Proxies {
		for !p.Ready() {
			select {
			case <-ctx.Done():
				return errors.Errorf("site did not become ready within %s", readyTimeout)
			case <-time.After(readyInterval):
			}
		}
	}
	return nil
}

// CallerAddresses returns the caller addresses of the proxies that have not been stopped.
func (s *Site) CallerAddresses() []string {
	var list []string
	for i, p := range s.Proxies {
		if !s.stopped[i] {
			list = append(list, p.CallerAddress())
		}
	}
	return list
}

// StopProxy performs a planned stop of the i-th proxy.
func (s *Site) StopProxy(ctx context.Context, i int) error {
	s.stopped[i] = true
	return s.Proxies[i].Stop(ctx)
}

// Primary returns the instance of the group that reports itself as the active primary; if
// several do, the one with the highest term.
func (s *Site) Primary(group string) string {
	best, term := "", uint64(0)
	for _, id := range s.InstanceIDs(group) {
		if status := s.Instances[id].Store().Status(); status.IsActivePrimary() && status.Fence >= term {
			best, term = id, status.Fence
		}
	}
	return best
}

// InstanceIDs returns the sorted ids of the group's instances.
func (s *Site) InstanceIDs(group string) []string {
	var ids []string
	for _, g := range s.groups {
		if g.Name != group {
			continue
		}
		for _, i := range g.Instances {
			ids = append(ids, i.ID)
		}
	}
	sort.Strings(ids)
	return ids
}

// Close stops the proxies, the backend servers and the platform.
func (s *Site) Close() {
	for _, p := range s.Proxies {
		p.Close()
	}
	for _, i := range s.Instances {
		i.Close()
	}
	if s.Platform != nil {
		s.Platform.Close()
	}
}

// DialClient returns the dial function for callers.
func (s *Site) DialClient() func(ctx context.Context, network, address string) (net.Conn, error) {
	return s.Network.DialClient()
}
