// Package services describes the services that the platform gives: a versioned
// table with compare-and-set, an object store, the database groups, and the
// lagging list of VMs. Client speaks to them over HTTP; Memory is the in-memory
// fake that tests and the stand-in server use.
//
// Every call can fail with errkind.PlatformUnavailable (surely no effect) or
// errkind.PlatformUnknown (the effect may have happened). After the latter a
// caller reads the row back by its request id and never repeats blindly.
package services

import (
	"context"
	"time"
)

// Row is one row of the table. Version starts at 1 and rises by one with each
// change. RequestID names the call that wrote this version.
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
	// CompareAndSet writes the value if the row's version still is the given
	// one (0: the row must not exist) and returns the new row. It fails with
	// errkind.Conflict if another writer was first. A call whose request id
	// already wrote the row's current version succeeds again without a change.
	CompareAndSet(ctx context.Context, key string, version uint64, value []byte, requestID string) (Row, error)
	// Delete removes the row under the same condition.
	Delete(ctx context.Context, key string, version uint64, requestID string) error
}

// Objects is the object store; objects are immutable and named by content.
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

// Group is a database group: instances that replicate one database.
type Group struct {
	Name      string
	Instances []Instance
	// Connections is the limit of each instance, control connections included.
	Connections int
	// Slots is the number of statements that an instance runs at once.
	Slots int
}

// Groups lists database groups.
type Groups interface {
	// Groups returns all groups in the order of names.
	Groups(ctx context.Context) ([]Group, error)
}

// VM is one entry of the platform's list of VMs. The list lags: a listed VM may
// be dead, and one that has just started may be missing.
type VM struct {
	ID      string
	Domain  string
	Address string // host:port for calls between processes
	Leaving bool
}

// VMs lists the VMs of the system and takes their registrations.
type VMs interface {
	// VMs returns the list as the platform shows it now.
	VMs(ctx context.Context) ([]VM, error)
	// Register tells the platform of this VM; it is repeated as a heartbeat.
	Register(ctx context.Context, vm VM) error
}

// Services is all that the platform gives.
type Services interface {
	Table
	Objects
	Groups
	VMs
}

// CallTimeout bounds one call of the HTTP client.
const CallTimeout = 2 * time.Second
