// Package configcheck reports what is wrong in a version of the configuration before it is sent,
// and how it differs from another version.
package configcheck

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"chicoryline/internal/access"
)

// Document is a version of the configuration as written, with what a decoded configuration no
// longer shows: entries that replace each other, and their order.
type Document struct {
	Version   int64
	Routes    []access.Route
	Groups    []access.Group
	Customers []Customer
	TxIdle    time.Duration
}

// Customer is a customer with its keys.
type Customer struct {
	access.Customer
	Keys []string
}

// Level is the gravity of a finding.
type Level string

// The levels. A document with an error must not be sent.
const (
	Error   Level = "error"
	Warning Level = "warning"
)

// Kind tells what a finding is about.
type Kind string

// The kinds of findings.
const (
	Invalid        Kind = "invalid"
	NeverMatches   Kind = "never_matches"
	Contradiction  Kind = "contradiction"
	NotNewer       Kind = "not_newer"
	UnknownSetting Kind = "unknown_setting"
)

// Finding is one thing that is wrong.
type Finding struct {
	Level  Level  `json:"level"`
	Kind   Kind   `json:"kind"`
	Object string `json:"object"`
	Text   string `json:"text"`
}

// Change is one difference between two versions.
type Change struct {
	Object string `json:"object"`
	Change string `json:"change"`
}

// Limits are the limits of the product that a document must leave room for.
type Limits struct {
	// ReservedConnections is the number of connections to a backend server that statements
	// cannot use.
	ReservedConnections int
	// DefaultTimeout is the time limit of a statement whose route sets none.
	DefaultTimeout time.Duration
	// IsName reports whether a customer or database group of that name can be in force, IsDatabase
	// and IsKey whether a caller can send such a name of a database or key.
	IsName, IsDatabase, IsKey func(string) bool
}

// checker collects findings.
type checker struct{ findings []Finding }

func (c *checker) add(level Level, kind Kind, object, format string, args ...any) {
	c.findings = append(c.findings, Finding{level, kind, object, fmt.Sprintf(format, args...)})
}

// Check returns what is wrong in the document.
func Check(d Document, l Limits) []Finding {
	c := &checker{}
	if d.Version <= 0 {
		c.add(Error, Invalid, "document", "version %d is not above 0", d.Version)
	}
	if d.TxIdle < 0 {
		c.add(Error, Invalid, "document", "tx_idle_ms is below 0")
	}
	c.checkGroups(d, l)
	c.checkRoutes(d, l)
	c.checkCustomers(d, l)
	c.checkRegions(d)
	return c.findings
}

func (c *checker) checkGroups(d Document, l Limits) {
	used := map[string]bool{}
	for _, r := range d.Routes {
		used[r.Group] = true
	}
	seen := map[string]bool{}
	for _, g := range d.Groups {
		object := "service " + g.Name
		switch {
		case !l.IsName(g.Name):
			c.add(Error, Invalid, object, "name %.60q cannot be sent to a backend server: the entry and its routes are left out", g.Name)
		case seen[g.Name]:
			c.add(Error, NeverMatches, object, "is listed twice; the last entry is used")
		case !used[g.Name]:
			c.add(Warning, NeverMatches, object, "no route uses it")
		}
		seen[g.Name] = true
		if g.MaxConnections <= l.ReservedConnections {
			c.add(Error, Contradiction, object, "max_conns is %d, and %d are reserved: none is left for statements", g.MaxConnections, l.ReservedConnections)
		}
		if g.SyncReplicas < 0 {
			c.add(Error, Invalid, object, "sync_replicas is below 0")
		}
		if (g.ColdRate > 0) != (g.ColdTime > 0) {
			c.add(Warning, Contradiction, object, "cold_start_s and cold_per_s limit cold servers only together")
		}
	}
}

func (c *checker) checkRoutes(d Document, l Limits) {
	groups := map[string]bool{}
	for _, g := range d.Groups {
		groups[g.Name] = true
	}
	byDatabase := map[string]string{}
	for _, r := range d.Routes {
		object := "route " + r.Name
		if other, ok := byDatabase[r.Database]; ok {
			c.add(Error, NeverMatches, object, "database %q is that of route %s as well; the last route is used", r.Database, other)
		}
		byDatabase[r.Database] = r.Name
		if !l.IsDatabase(r.Database) {
			c.add(Error, NeverMatches, object, "no caller can name the database %q", r.Database)
		}
		if !groups[r.Group] {
			c.add(Error, NeverMatches, object, "service %q is unknown", r.Group)
		}
		if r.Timeout < 0 || r.Target < 0 || r.MaxStaleness < 0 {
			c.add(Error, Invalid, object, "a time is below 0")
		}
		if r.Priority < 0 {
			c.add(Error, Invalid, object, "priority is below 0")
		}
		timeout := r.Timeout
		if timeout == 0 {
			timeout = l.DefaultTimeout
		}
		if r.Target > timeout {
			c.add(Error, Contradiction, object, "target_latency_ms is %d, above the time limit of %d ms", r.Target.Milliseconds(), timeout.Milliseconds())
		}
		switch {
		case r.Consistency == access.Current && r.MaxStaleness > 0:
			c.add(Warning, Contradiction, object, "max_staleness_ms has no effect: reads are current")
		case r.Consistency != access.Current && r.MaxStaleness == 0:
			c.add(Warning, Contradiction, object, "reads may be stale and max_staleness_ms is 0: they need all that was committed before they arrived")
		}
	}
}

func (c *checker) checkCustomers(d Document, l Limits) {
	seen, holder := map[string]bool{}, map[string]string{}
	for _, customer := range d.Customers {
		object := "tenant " + customer.Name
		if !l.IsName(customer.Name) {
			c.add(Error, Invalid, object, "name %.60q cannot be sent to a backend server: the entry and its keys are left out", customer.Name)
		} else if seen[customer.Name] {
			c.add(Error, NeverMatches, object, "is listed twice; the rate of the last entry and the keys of all are used")
		}
		seen[customer.Name] = true
		if len(customer.Keys) == 0 {
			c.add(Warning, NeverMatches, object, "has no keys")
		}
		for i, key := range customer.Keys {
			other, ok := holder[key]
			switch {
			case !l.IsKey(key):
				c.add(Error, NeverMatches, object, "key %d cannot be sent by a caller", i+1)
			case ok && other == customer.Name:
				c.add(Warning, NeverMatches, object, "key %d is listed twice", i+1)
			case ok:
				c.add(Error, NeverMatches, object, "key %d is that of tenant %s as well; the last tenant has it", i+1, other)
			}
			holder[key] = customer.Name
		}
		if customer.Rate <= 0 {
			c.add(Error, Contradiction, object, "rate_per_s is %v: everything beyond the burst is refused", customer.Rate)
		}
		if customer.Burst < 1 {
			c.add(Error, Contradiction, object, "burst is %v, below one operation", customer.Burst)
		}
	}
}

// checkRegions reports routes that no customer may use, as no region is allowed to both.
func (c *checker) checkRegions(d Document) {
	for _, r := range d.Routes {
		if len(r.Regions) == 0 || r.Public || len(d.Customers) == 0 {
			continue
		}
		if !slices.ContainsFunc(d.Customers, func(customer Customer) bool {
			return len(customer.Regions) == 0 || slices.ContainsFunc(customer.Regions, func(region string) bool { return slices.Contains(r.Regions, region) })
		}) {
			c.add(Warning, NeverMatches, "route "+r.Name, "no tenant has a region of its allowed_regions: every statement is refused")
		}
	}
}

// Diff returns the differences of the document from the version in force, and a finding if that
// version keeps the document from coming into force. Keys are not shown.
func Diff(d, inForce Document) ([]Change, []Finding) {
	var findings []Finding
	if d.Version <= inForce.Version {
		findings = append(findings, Finding{Error, NotNewer, "document", fmt.Sprintf("version %d is not above version %d, which is in force", d.Version, inForce.Version)})
	}
	var changes []Change
	if d.TxIdle != inForce.TxIdle {
		changes = append(changes, Change{"document", fmt.Sprintf("tx_idle_ms %d -> %d", inForce.TxIdle.Milliseconds(), d.TxIdle.Milliseconds())})
	}
	changes = append(changes, diffBy("service", inForce.Groups, d.Groups, func(g access.Group) (string, string) { return g.Name, fmt.Sprintf("%+v", g) })...)
	changes = append(changes, diffBy("route for database", inForce.Routes, d.Routes, func(r access.Route) (string, string) { return r.Database, fmt.Sprintf("%+v", r) })...)
	changes = append(changes, diffBy("tenant", inForce.Customers, d.Customers, func(c Customer) (string, string) { return c.Name, fmt.Sprintf("%+v", c.Customer) })...)
	return append(changes, diffKeys(inForce.Customers, d.Customers)...), findings
}

// diffBy compares entries by name. Of entries with one name the last counts.
func diffBy[T any](what string, before, after []T, describe func(T) (name, text string)) []Change {
	index := func(list []T) map[string]string {
		m := map[string]string{}
		for _, e := range list {
			name, text := describe(e)
			m[name] = text
		}
		return m
	}
	old, present := index(before), index(after)
	names := maps.Clone(old)
	maps.Copy(names, present)
	var changes []Change
	for _, name := range slices.Sorted(maps.Keys(names)) {
		a, was := old[name]
		b, is := present[name]
		object := what + " " + name
		switch {
		case !was:
			changes = append(changes, Change{object, "added: " + b})
		case !is:
			changes = append(changes, Change{object, "removed"})
		case a != b:
			changes = append(changes, Change{object, a + " -> " + b})
		}
	}
	return changes
}

// diffKeys counts the keys that each customer gains and loses.
func diffKeys(before, after []Customer) []Change {
	holders := func(list []Customer) map[string]string {
		m := map[string]string{}
		for _, c := range list {
			for _, k := range c.Keys {
				m[k] = c.Name
			}
		}
		return m
	}
	old, present := holders(before), holders(after)
	gained, lost, customers := map[string]int{}, map[string]int{}, map[string]bool{}
	for key, name := range present {
		if old[key] != name {
			gained[name]++
			customers[name] = true
		}
	}
	for key, name := range old {
		if present[key] != name {
			lost[name]++
			customers[name] = true
		}
	}
	var changes []Change
	for _, name := range slices.Sorted(maps.Keys(customers)) {
		changes = append(changes, Change{"tenant " + name, fmt.Sprintf("keys added: %d, withdrawn: %d", gained[name], lost[name])})
	}
	return changes
}
