// Package world puts stand-ins together to a small installation of the users'
// platform: the store with a configuration and the entries of backend servers, and
// database groups. Processes of the product run against it, in one process or as
// many.
package world

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"chicoryline/internal/standin/linegroup"
	"chicoryline/internal/standin/rowstore"
)

// Options describe an installation.
type Options struct {
	Groups  int
	Domains []string
	VMs     int
	// Network is the second and third number of the VMs' loopback addresses, such
	// as "1.7" for 127.1.7.x; installations that run at once need different ones.
	Network   string
	Customers []Customer
	// Lag, Work and PromoteTime are those of the database groups.
	Lag, StatementTime, PromotionDelay time.Duration
	MaxConnections                     int
	// ServerAddress, if set, gives the address under which a server is announced,
	// such as that of a proxy before it.
	ServerAddress func(*linegroup.Server) string
	// FormerPrimaryServes makes a primary that was replaced go on until it is told to step
	// down, or a second after it reaches its successor; the platform then checks no
	// tokens.
	FormerPrimaryServes bool
	// KeyRevocationDelay is how long a withdrawn key may go on working.
	KeyRevocationDelay time.Duration
}

// Customer has keys and a limit.
type Customer struct {
	Name  string   `json:"name"`
	Keys  []string `json:"api_keys"`
	Rate  float64  `json:"rate_per_s"`
	Burst float64  `json:"burst"`
}

// Route is a database that callers name.
type Route struct {
	Name         string `json:"name"`
	Host         string `json:"host"`
	Kind         string `json:"kind"`
	Service      string `json:"service"`
	TimeoutMS    int    `json:"timeout_ms"`
	TargetMS     int    `json:"target_latency_ms"`
	MaxStaleness int    `json:"max_staleness_ms,omitempty"`
	Public       bool   `json:"public"`
	Priority     int    `json:"priority"`
}

// World is an installation. The mutex guards the configuration and the writing of
// servers' entries.
type World struct {
	Options Options
	Store   *rowstore.Store
	Groups  []*linegroup.Group

	mu        sync.Mutex
	version   int
	routes    []Route
	customers []Customer
	txIdle    time.Duration
	hidden    map[*linegroup.Server]bool
	// settingsWritten holds the VMs whose settings were written: they start again then.
	settingsWritten map[int]bool
}

// New starts an installation with three routes for each group: current-N,
// bounded-N and own-N.
func New(o Options) (*World, error) {
	w := &World{Options: o, customers: o.Customers, txIdle: 3 * time.Second, hidden: map[*linegroup.Server]bool{}, settingsWritten: map[int]bool{}}
	store, err := rowstore.New(w.promote)
	if err != nil {
		return nil, err
	}
	w.Store = store
	for i := range o.Groups {
		g, err := linegroup.New(linegroup.Options{
			Name: fmt.Sprintf("group%d", i), Servers: 3, Domains: o.Domains, MaxConnections: o.MaxConnections,
			Slots: 5, StatementTime: o.StatementTime, Lag: o.Lag, PromotionDelay: o.PromotionDelay, FormerPrimaryServes: o.FormerPrimaryServes,
		})
		if err != nil {
			w.Close()
			return nil, err
		}
		w.Groups = append(w.Groups, g)
		g.OnRoleChange(w.PublishEntry)
		for _, s := range g.Servers() {
			w.PublishEntry(s)
		}
		for kind, wire := range map[string]string{"current": "primary", "bounded": "bounded_staleness", "own": "read_your_writes"} {
			r := Route{
				Name: fmt.Sprintf("%s-%d", kind, i), Kind: wire, Service: g.Name(), TimeoutMS: 2000, TargetMS: 1000,
			}
			r.Host = r.Name
			if kind != "current" {
				r.MaxStaleness = 1500
			}
			w.routes = append(w.routes, r)
		}
	}
	w.publishConfig()
	return w, nil
}

// Close ends everything.
func (w *World) Close() {
	for _, g := range w.Groups {
		g.Close()
	}
	w.Store.Close()
}

func (w *World) promote(group, server string) bool {
	for _, g := range w.Groups {
		if g.Name() == group {
			return g.Promote(server)
		}
	}
	return false
}

// Hide removes a server's entry while the server runs on; it stays away, through
// restarts and changes of the role, until Show.
func (w *World) Hide(s *linegroup.Server) { w.setHidden(s, true) }

// Show writes the entry of a hidden server again.
func (w *World) Show(s *linegroup.Server) { w.setHidden(s, false) }

func (w *World) setHidden(s *linegroup.Server, hidden bool) {
	w.mu.Lock()
	w.hidden[s] = hidden
	w.mu.Unlock()
	w.PublishEntry(s)
}

// AddServer adds a server to a running group, with or without an entry.
func (w *World) AddServer(g *linegroup.Group, domain string, entry bool) (*linegroup.Server, error) {
	s, err := g.Add(domain)
	if err == nil {
		w.setHidden(s, !entry)
	}
	return s, err
}

// PublishEntry writes a server's entry, or removes that of one that is down or hidden.
func (w *World) PublishEntry(s *linegroup.Server) {
	w.mu.Lock()
	defer w.mu.Unlock()
	running, primary, draining := s.State()
	if !running || w.hidden[s] {
		w.Store.Delete("servers", s.ID)
		return
	}
	role, state := "replica", "ready"
	if primary {
		role = "primary"
	}
	if draining {
		state = "draining"
	}
	group, _, _ := strings.Cut(s.ID, "-")
	address := s.Address
	if w.Options.ServerAddress != nil {
		address = w.Options.ServerAddress(s)
	}
	value, err := json.Marshal(map[string]any{
		"service": group, "address": address, "zone": s.Domain, "version": "v1", "slots": 5, "state": state,
		"cold_left_ms": 0, "db_role": role, "sequence": 1, "born": s.Started,
	})
	if err != nil {
		panic(err) // the map holds only texts and numbers
	}
	w.Store.Put("servers", s.ID, value)
}

// ChangeConfig changes the configuration and returns its version.
func (w *World) ChangeConfig(f func(routes *[]Route, customers *[]Customer)) int {
	w.mu.Lock()
	f(&w.routes, &w.customers)
	w.mu.Unlock()
	return w.publishConfig()
}

func (w *World) publishConfig() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version += 2
	groups := []map[string]any{}
	for _, g := range w.Groups {
		groups = append(groups, map[string]any{"name": g.Name(), "max_conns": w.Options.MaxConnections, "sync_replicas": 1})
	}
	value, err := json.Marshal(map[string]any{
		"version": w.version, "routes": w.routes, "tenants": w.customers, "services": groups,
		"limits": map[string]any{"tx_idle_ms": w.txIdle.Milliseconds()},
	})
	if err != nil {
		panic(err) // the structures hold only texts and numbers
	}
	w.Store.Put("op", "config", value)
	return w.version
}

// Ports of a VM.
const (
	FrontPort = 7501
	ReadyPort = 7502
	peerPort  = 7510
)

// IP returns the loopback address of a VM.
func (w *World) IP(vm int) string { return fmt.Sprintf("127.%s.%d", w.Options.Network, vm+1) }

// FrontAddress returns the address for callers of a VM.
func (w *World) FrontAddress(vm int) string { return fmt.Sprintf("%s:%d", w.IP(vm), FrontPort) }

// ReadyAddress returns the address of a VM's readiness check.
func (w *World) ReadyAddress(vm int) string { return fmt.Sprintf("%s:%d", w.IP(vm), ReadyPort) }

// WriteSettings writes a VM's settings file and returns its path. store is the
// address of the store and of the promotions, which may be that of a proxy.
func (w *World) WriteSettings(folder string, vm int, store string) (string, error) {
	ip := w.IP(vm)
	w.mu.Lock()
	first := !w.settingsWritten[vm]
	w.settingsWritten[vm] = true
	w.mu.Unlock()
	text := fmt.Sprintf(`node = "vm%d"
zone = %q
ip = %q
port_range = [%d, %d]
bootstrap = %t
[listen]
front = "%s:%d"
ready = "%s:%d"
[limits]
memory_mb = 284
max_fds = 4200
[bounds]
revoke_ms = %d
grace_s = 6
drain_ms = 7000
quota_window_s = 5
quota_overage = 0.1
quota_slack = 20
require_fence = %t
[platform]
address = %q
[cloud]
address = %q
`, vm, w.Options.Domains[vm%len(w.Options.Domains)], ip, peerPort, peerPort+5, first, ip, FrontPort, ip, ReadyPort,
		w.Options.KeyRevocationDelay.Milliseconds(), !w.Options.FormerPrimaryServes, store, store)
	path := filepath.Join(folder, fmt.Sprintf("vm%d.toml", vm))
	return path, os.WriteFile(path, []byte(text), 0o600)
}
