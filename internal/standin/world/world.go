// Package world assembles test doubles into a small installation of the users' platform:
// the row store with a configuration and the entries of backend servers, and the database
// groups. Proxy processes run against it, all in one OS process or in several.
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

// Options configures an installation.
type Options struct {
	Groups  int
	Domains []string
	VMs     int
	// Network is the second and third octet of the VMs' loopback addresses, such as "1.7"
	// for 127.1.7.x. Installations that run at the same time need different ones.
	Network   string
	Customers []Customer
	// Lag, StatementTime and PromotionDelay are passed to linegroup.Options.
	Lag, StatementTime, PromotionDelay time.Duration
	MaxConnections                     int
	// ServerAddress, if set, returns the address published in a server's entry, such as that
	// of a proxy in front of it.
	ServerAddress func(*linegroup.Server) string
	// FormerPrimaryServes is passed to linegroup.Options: a replaced primary keeps acting as
	// one until STEPDOWN or one second after it can reach its successor. The settings then
	// set require_fence to false, as the platform checks no fencing tokens.
	FormerPrimaryServes bool
	// KeyRevocationDelay is how long a withdrawn key may keep working.
	KeyRevocationDelay time.Duration
	// EvacuateTime is the time that the settings grant for an evacuation; 0 leaves it out.
	EvacuateTime time.Duration
	// Outstanding, if set, is passed to linegroup.Options.
	Outstanding *linegroup.Outstanding
}

// Customer is a customer with its API keys and rate limit.
type Customer struct {
	Name  string   `json:"name"`
	Keys  []string `json:"api_keys"`
	Rate  float64  `json:"rate_per_s"`
	Burst float64  `json:"burst"`
}

// Route is a database name that callers connect to.
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

// World is a running installation. The mutex guards the fields below it and serializes
// writes of server entries.
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
	// sequence counts the entries that servers have written.
	sequence int
	// settingsWritten holds the VMs whose settings file was written before; for these a
	// further write is for a restart, without bootstrap.
	settingsWritten map[int]bool
}

// New starts an installation with three routes for each group: current-N, bounded-N and
// own-N, with the read consistency that each name states.
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
			Outstanding: o.Outstanding,
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

// Close stops the database groups and the store.
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

// Hide removes a server's entry while the server keeps running. The entry stays removed
// across restarts and role changes until Show.
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

// PublishEntry writes a server's entry, or removes it if the server is down or hidden.
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
	w.sequence++
	group, _, _ := strings.Cut(s.ID, "-")
	address := s.Address
	if w.Options.ServerAddress != nil {
		address = w.Options.ServerAddress(s)
	}
	value, err := json.Marshal(map[string]any{
		"service": group, "address": address, "zone": s.Domain, "version": "v1", "slots": 5, "state": state,
		"cold_left_ms": 0, "db_role": role, "sequence": w.sequence, "born": s.Started,
	})
	if err != nil {
		panic(err) // cannot happen: the map holds only strings and numbers
	}
	w.Store.Put("servers", s.ID, value)
}

// ChangeConfig applies the function to the configuration, publishes it and returns its new
// version.
func (w *World) ChangeConfig(f func(routes *[]Route, customers *[]Customer)) int {
	w.mu.Lock()
	f(&w.routes, &w.customers)
	w.mu.Unlock()
	return w.publishConfig()
}

// Republish writes the configuration and the entries of all servers again, as the operator and
// the servers do after the store was restored from a backup.
func (w *World) Republish() {
	w.mu.Lock()
	w.writeConfig()
	w.mu.Unlock()
	for _, g := range w.Groups {
		for _, s := range g.Servers() {
			w.PublishEntry(s)
		}
	}
}

func (w *World) publishConfig() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version += 2
	w.writeConfig()
	return w.version
}

// writeConfig writes the present version of the configuration. The mutex is held.
func (w *World) writeConfig() {
	groups := []map[string]any{}
	for _, g := range w.Groups {
		groups = append(groups, map[string]any{"name": g.Name(), "max_conns": w.Options.MaxConnections, "sync_replicas": 1})
	}
	value, err := json.Marshal(map[string]any{
		"version": w.version, "routes": w.routes, "tenants": w.customers, "services": groups,
		"limits": map[string]any{"tx_idle_ms": w.txIdle.Milliseconds()},
	})
	if err != nil {
		panic(err) // cannot happen: the structures hold only strings and numbers
	}
	w.Store.Put("op", "config", value)
}

// Ports that each VM listens on.
const (
	FrontPort = 7501
	ReadyPort = 7502
	peerPort  = 7510
)

// IP returns the loopback address of a VM.
func (w *World) IP(vm int) string { return fmt.Sprintf("127.%s.%d", w.Options.Network, vm+1) }

// FrontAddress returns the address where a VM accepts callers.
func (w *World) FrontAddress(vm int) string { return fmt.Sprintf("%s:%d", w.IP(vm), FrontPort) }

// ReadyAddress returns the address of a VM's readiness check.
func (w *World) ReadyAddress(vm int) string { return fmt.Sprintf("%s:%d", w.IP(vm), ReadyPort) }

// WriteSettings writes a VM's settings file and returns its path. store is the address of
// the store and the promotion endpoint, possibly that of a proxy in front of them. Only the
// first call for a VM sets bootstrap.
func (w *World) WriteSettings(folder string, vm int, store string) (string, error) {
	ip := w.IP(vm)
	w.mu.Lock()
	first := !w.settingsWritten[vm]
	w.settingsWritten[vm] = true
	w.mu.Unlock()
	evacuation := ""
	if w.Options.EvacuateTime > 0 {
		evacuation = fmt.Sprintf("evacuate_ms = %d\n", w.Options.EvacuateTime.Milliseconds())
	}
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
%s[platform]
address = %q
[cloud]
address = %q
`, vm, w.Options.Domains[vm%len(w.Options.Domains)], ip, peerPort, peerPort+5, first, ip, FrontPort, ip, ReadyPort,
		w.Options.KeyRevocationDelay.Milliseconds(), !w.Options.FormerPrimaryServes, evacuation, store, store)
	path := filepath.Join(folder, fmt.Sprintf("vm%d.toml", vm))
	return path, os.WriteFile(path, []byte(text), 0o600)
}
