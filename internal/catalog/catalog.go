// Package catalog holds the configuration document that operators change by
// patches: customers, keys, database groups and routes. Parse and Apply check a
// document whole; a document that they return is immutable.
package catalog

import "time"

// Document is one version of the configuration.
type Document struct {
	// Version is the number that patches are based on; the empty document is 0.
	Version uint64
	// TokenSecret seals session tokens.
	TokenSecret []byte
	Customers   map[string]Customer
	Groups      map[string]Group
	Routes      map[string]Route
}

// Customer is a tenant with its keys and limits.
type Customer struct {
	Name string
	// Keys maps the name of a key to its salted hash.
	Keys map[string]KeyHash
	// Rate is in statements a second over all VMs.
	Rate float64
	// Burst is in statements.
	Burst float64
	// Weight is the customer's part in fair queues; 1 when not given.
	Weight float64
}

// KeyHash is a salted hash of a caller's key. The key itself is kept nowhere.
type KeyHash struct {
	Salt []byte
	Hash []byte
}

// Group names a database group of the platform that routes may use.
type Group struct {
	Name string
}

// ReadMode says where reads of a route may run.
type ReadMode string

// The read modes.
const (
	// ReadPrimary sends every read to the primary.
	ReadPrimary ReadMode = "primary"
	// ReadSession lets reads that only need the session's own writes, at any
	// age that the route states, run at a replica.
	ReadSession ReadMode = "session"
)

// Route is what a caller names as its database.
type Route struct {
	Name  string
	Group string
	Mode  ReadMode
	// MaxAge is the stated age that reads of the route accept; 0 accepts none.
	MaxAge time.Duration
	// ReadOnly refuses writes.
	ReadOnly bool
	// Open lets callers without a key use the route.
	Open bool
	// ServeCutOff lets the route be served by a domain whose configuration
	// grant has run out. Only open routes may have it.
	ServeCutOff bool
	// Customers lists who may use the route; empty means all customers.
	Customers []string
}
