// Package dbinstance is the stand-in for a PostgreSQL instance of a database
// group: a small table store with transactions, a replicated log with terms and
// fences, and a server that speaks the PostgreSQL protocol.
//
// Store holds the rules and needs no network. Server puts a store behind a
// listener, adds limits and delays, and replicates from other instances.
package dbinstance
