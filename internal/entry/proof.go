package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"chicoryline/internal/boottime"
	"chicoryline/internal/coord"
	"chicoryline/internal/errkind"
)

const (
	// leaderProofAge is the age at which the VM that reads the store asks it to validate the
	// configuration again. Including the propagation of updates to other VMs and one lost
	// update, validations stay within the lease of 4.6 s. In a fleet of several cells, where
	// updates propagate over three hops of 500 ms, fleetProofAge is used.
	leaderProofAge = 1200 * time.Millisecond
	fleetProofAge  = 1000 * time.Millisecond
	// cellProofAge and deputyProofAge are the ages at which the leader of a cell that reads from
	// another one and the VM next to it ask, so that the cell has the answer before memberProofAge.
	// While the reader validates, they see ages of up to 1.8 and 2.3 s: a check in 200 ms, one
	// and two hops.
	cellProofAge   = 2200 * time.Millisecond
	deputyProofAge = 2500 * time.Millisecond
	// memberProofAge, plus up to memberProofJitter, is the age at which other VMs ask.
	memberProofAge    = 3000 * time.Millisecond
	memberProofJitter = 600 * time.Millisecond
	// lateProofAge, plus up to lateJitterFactor times the jitter of memberProofAge, is the age at
	// which those VMs of a cell ask that are not among its first probesPerCell VMs, if its leader
	// has told that it gets no answers. One answer is enough for the cell.
	lateProofAge     = 6 * time.Second
	lateJitterFactor = 10
	probesPerCell    = 4
	// maxOutdatedPause is the maximum pause between two calls while the store's answers lack the
	// newest version.
	maxOutdatedPause = 800 * time.Millisecond
	// firstProofWait, plus up to half of memberProofJitter, is how long a VM that has just read the
	// configuration from another VM waits to hear of a validation. Its urgent updates are answered
	// within 100 ms; when all VMs start, the validation comes over the leaders of cells.
	firstProofWait = 400 * time.Millisecond
	// startUrgentTime bounds the time from the start of this VM for which its updates are urgent
	// because it has heard of no validation.
	startUrgentTime = 5 * time.Second
	// accessUrgentTime is how long updates are urgent after this VM has lost or regained the
	// store, so that another VM reads in its place.
	accessUrgentTime = 300 * time.Millisecond
)

// storeRole is what other VMs expect from this one's calls of the store.
type storeRole uint8

const (
	// roleReader reads the store, also for others.
	roleReader storeRole = iota
	// roleLeader reads tables from another VM and relays them to its cell.
	roleLeader
	// roleDeputy is next to the leader in its cell.
	roleDeputy
	// roleMember reads tables from another VM, or is not expected to validate the configuration.
	roleMember
	// roleLate leaves it to others to find out whether the store answers again.
	roleLate
)

// proofAge returns the age of the last validation of the configuration at which a VM asks the
// store; jitter is its part of memberProofJitter.
func (r storeRole) proofAge(cells int, jitter time.Duration) time.Duration {
	switch {
	case r == roleReader && cells > 1:
		return fleetProofAge
	case r == roleReader:
		return leaderProofAge
	case r == roleLeader:
		return cellProofAge
	case r == roleDeputy && cells > 1:
		return deputyProofAge
	case r == roleLate:
		return lateProofAge + lateJitterFactor*jitter
	}
	return memberProofAge + jitter
}

// pauses returns the bounds of the pauses between two calls while the store does not answer.
func (r storeRole) pauses() coord.Pauses {
	switch r {
	case roleReader:
		return coord.Pauses{Shortest: 100 * time.Millisecond, Longest: 800 * time.Millisecond}
	case roleLeader, roleDeputy:
		return coord.Pauses{Shortest: 400 * time.Millisecond, Longest: 3200 * time.Millisecond}
	case roleMember:
		return coord.Pauses{Shortest: 800 * time.Millisecond, Longest: 3200 * time.Millisecond}
	}
	return coord.Pauses{Shortest: 1600 * time.Millisecond, Longest: 8 * time.Second}
}

// storeRole returns the role of this VM.
func (e *Process) storeRole() storeRole {
	if e.mesh == nil || e.readsStore() {
		return roleReader
	}
	position, noSource := e.mesh.CellOrder()
	switch {
	case position == 0:
		return roleLeader
	case position == 1:
		return roleDeputy
	case noSource && position > probesPerCell:
		return roleLate
	}
	return roleMember
}

// storePauses returns the bounds of the pauses between two calls while the store does not answer.
// In a small fleet every VM reads all tables itself.
func (e *Process) storePauses() coord.Pauses {
	role := e.storeRole()
	if role != roleReader && !e.mesh.IsLarge() {
		return coord.Pauses{Shortest: 200 * time.Millisecond, Longest: 1600 * time.Millisecond}
	}
	return role.pauses()
}

// awaitsFirstProof reports whether a VM in the role waits for others to validate the configuration
// that it has known for the given time.
//
// Load pattern: all 121 VMs start. Each reads the configuration from the leader of its cell, which
// proves nothing, and asked the store within 200 ms: two calls a VM at each start instead of one.
func (r storeRole) awaitsFirstProof(known, jitter time.Duration) bool {
	return r >= roleDeputy && known < firstProofWait+jitter/2
}

// isUnproven reports whether this VM has started and has not heard of a validation of its
// configuration.
func (e *Process) isUnproven() bool {
	version, at := e.view.LastConfirmed()
	return version != 0 && at == 0 && boottime.Since(e.started) < startUrgentTime
}

// mayReplaceReader reports whether others would read from this VM, or this VM from the store, if
// it got answers again.
func (e *Process) mayReplaceReader() bool { return !e.mesh.IsLarge() || e.mesh.IsLeader() }

// keepConfigFresh asks the store whether the configuration is still the newest one before the
// last validation expires. One VM asks more often than the others, which learn the result from
// state updates and only ask if they do not receive it. A VM that has lost the store asks until it
// answers. coord.Access spaces calls without an answer; if the answers lack the newest version, the
// pauses grow.
func (e *Process) keepConfigFresh(ctx context.Context, f *coord.Follower) {
	spread := rand.N(memberProofJitter)
	var next, knownSince boottime.Time
	pause := maintenanceInterval
	every(ctx, maintenanceInterval, func() {
		if e.view.Config() != nil && knownSince == 0 {
			knownSince = boottime.Now()
		}
		cells, _ := e.mesh.Cells()
		isProbe := e.access.IsLost() && e.mayReplaceReader()
		if e.view.Config() == nil || e.view.Age() < e.storeRole().proofAge(cells, spread) && !e.view.IsOutdated() && !isProbe {
			next, pause = 0, maintenanceInterval
			return
		}
		if _, at := e.view.LastConfirmed(); at == 0 && e.mesh.IsLarge() && e.storeRole().awaitsFirstProof(boottime.Since(knownSince), spread) {
			return
		}
		if boottime.Now() < next || !e.platform.Eras.IsSettled(boottime.Now()) && !e.view.IsOutdated() {
			return
		}
		err := f.CatchUp(ctx)
		if err == nil && e.view.IsOutdated() {
			err = errkind.New(errkind.ConfigStale, "the newest configuration version has not been read")
			next, pause = boottime.Now().Add(pause), min(2*pause, maxOutdatedPause)
		}
		if err != nil {
			e.log.WithError(err).WithField("event", "store_watch").Debug("configuration could not be validated")
		}
	})
}
