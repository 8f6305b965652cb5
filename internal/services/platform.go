// Package services defines the services of the platform: a versioned table with
// compare-and-set, an object store, the database groups, and the list of VMs, which lags.
// Client accesses them over HTTP; Memory is the in-memory fake for tests and for the
// stand-in server.
//
// Every call can fail with errkind.PlatformUnavailable (it had no effect) or
// errkind.PlatformUnknown (it may have had an effect). After the latter, a caller must
// read the row back and compare its request id; it must not retry without doing so.
package services

import (
	"context"
	"time"
)

// Row is one row of the table. Version starts at 1 and increases by one with each change.
// RequestID identifies the call that wrote this version.
type Row struct {
	Key       string
	Version   uint64
	Value     []byte
	RequestID string
}

// Table is the transactional table service.
type Table interface {
	// Get returns the row, or errkind.NotFound.
	Get(ctx context.Context, key string) (Row, error)
	// List returns the rows whose keys start with the prefix, in key order.
	List(ctx context.Context, prefix string) ([]Row, error)
	// CompareAndSet writes the value if the row is at the given version (0: the row does
	// not exist) and returns the new row. It fails with errkind.Conflict if the row is at
	// another version. A call whose request id has already written the row's current
	// version succeeds without a change.
	CompareAndSet(ctx context.Context, key string, version uint64, value []byte, requestID string) (Row, error)
	// Delete removes the row under the same condition.
	Delete(ctx context.Context, key string, version uint64, requestID string) error
}

// Objects is the object store; objects are immutable and named by their content.
type Objects interface {
	// PutObject stores the object and returns its name, the hex SHA-256 of the bytes.
	PutObject(ctx context.Context, data []byte) (string, error)
	// Object returns the object, or errkind.NotFound.
	Object(ctx context.Context, name string) ([]byte, error)
}

// Instance is one backend server of a database group.
type Instance struct {
	ID      string
	Address string // host:port, PostgreSQL protocol
	Domain  string // failure domain
	Leaving bool
}

// Group is a database group: backend servers that replicate one database.
type Group struct {
	Name      string
	Instances []Instance
	// Connections is the connection limit of each instance, including control
	// connections.
	Connections int
	// Slots is the maximum number of statements that an instance runs concurrently.
	Slots int
}

// Groups lists database groups.
type Groups interface {
	// Groups returns all groups, ordered by name.
	Groups(ctx context.Context) ([]Group, error)
}

// VM is one entry of the platform's list of VMs. The list lags: a listed VM may be dead,
// and a recently started VM may be missing.
type VM struct {
	ID      string
	Domain  string
	Address string // host:port for RPCs between processes
	Leaving bool
}

// VMs lists the VMs of the system and registers them.
type VMs interface {
	// VMs returns the platform's current list.
	VMs(ctx context.Context) ([]VM, error)
	// Register adds or updates this VM in the list; repeated calls keep it listed.
	Register(ctx context.Context, vm VM) error
}

// Services combines all services of the platform.
type Services interface {
	Table
	Objects
	Groups
	VMs
}

// CallTimeout bounds one call of the HTTP client.
const CallTimeout = 2 * time.Second
