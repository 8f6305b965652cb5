// Package catalog defines the configuration document, which operators change with
// patches: customers, keys, database groups and routes. Apply and Decode validate
// the whole document. Documents that they return are immutable.
package catalog

import "time"

// Document is one version of the configuration.
type Document struct {
	// Version is the version number that patches are based on; the empty document
	// has version 0.
	Version uint64
	// TokenSecret is the secret that session tokens are sealed with.
	TokenSecret []byte
	Customers   map[string]Customer
	Groups      map[string]Group
	Routes      map[string]Route
}

// Customer is a tenant with its keys and limits.
type Customer struct {
	Name string
	// Keys maps the names of the customer's keys to their salted hashes.
	Keys map[string]KeyHash
	// Rate is the rate limit in statements per second, over all VMs.
	Rate float64
	// Burst is the burst limit in statements.
	Burst float64
	// Weight is the customer's weight in fair queues; 1 by default.
	Weight float64
}

// KeyHash is a salted hash of a caller's key. The key itself is not stored.
type KeyHash struct {
	Salt []byte
	Hash []byte
}

// Group is a database group of the platform that routes may use.
type Group struct {
	Name string
}

// ReadMode determines where the reads of a route may run.
type ReadMode string

// Read modes.
const (
	// ReadPrimary sends every read to the primary.
	ReadPrimary ReadMode = "primary"
	// ReadSession allows reads to run on a replica if they only have to observe
	// the session's own writes, within the maximum age of the route.
	ReadSession ReadMode = "session"
)

// Route is an entry point to a database group. Callers select a route by its name,
// which they give as the database name.
type Route struct {
	Name  string
	Group string
	Mode  ReadMode
	// MaxAge is the maximum age of the data that reads of the route accept; 0
	// accepts no stale data.
	MaxAge time.Duration
	// ReadOnly rejects writes.
	ReadOnly bool
	// Open allows callers without a key to use the route.
	Open bool
	// ServeCutOff allows a partitioned failure domain to serve the route after its
	// configuration grant has expired. It is valid only for open routes.
	ServeCutOff bool
	// Customers lists the customers that may use the route; empty means all.
	Customers []string
}
