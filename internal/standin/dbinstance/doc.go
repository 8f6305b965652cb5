// Package dbinstance simulates a PostgreSQL instance of a database group for tests
// and demos: a small in-memory table store with transactions, a replicated log, and
// a server that speaks the PostgreSQL wire protocol.
//
// Each primary of a group has a term, a number that grows with every primary change.
// The fence of an instance is the lowest term whose commands it still accepts. A
// position is a log sequence number (offset) with the term of its entry.
//
// Store implements tables, transactions, log and control commands without a network.
// Server serves a store over TCP, adds connection limits, delays and injected faults,
// and replicates from other instances.
package dbinstance
