package main

import (
	"math/rand/v2"
	"time"

	"chicoryline/internal/standin/rowstore"
)

const (
	// maxBackupAge bounds how old the backup is from which the store is restored.
	maxBackupAge = 5 * time.Second
	// maxRestoreOutage bounds how long the store is away before it is restored.
	maxRestoreOutage = time.Second
	// maxRewriteDelay bounds when the operator and the backend servers have written again what
	// the store lost.
	maxRewriteDelay = 1500 * time.Millisecond
)

// restores restores the store from backups until the end. It draws from a source of its own, so
// that the other faults of a seed stay the same.
func (r *run) restores(end time.Time) {
	source := rand.New(rand.NewPCG(r.seed, 1))
	upTo := func(d time.Duration) time.Duration { return time.Duration(source.Int64N(int64(d))) }
	for time.Now().Before(end) {
		backup := r.world.Store.Backup()
		time.Sleep(upTo(maxBackupAge))
		outage, delay := upTo(maxRestoreOutage), upTo(maxRewriteDelay)
		r.recordEvent("store is restored from a backup after %v, lost rows return after %v", outage, delay)
		r.world.Store.SetFault(rowstore.Busy)
		time.Sleep(outage)
		r.world.Store.Restore(backup)
		r.world.Store.SetFault(rowstore.NoFault)
		time.Sleep(delay)
		r.world.Republish()
	}
}
