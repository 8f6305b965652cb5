package entry

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"strconv"
	"time"

	"chicoryline/internal/boottime"
	"chicoryline/internal/coord"
	"chicoryline/internal/errkind"
)

const (
	// memberRereadDelay is how long a new VM waits before it reads the list of VMs again: all
	// VMs of a new fleet start within 0.3 s.
	memberRereadDelay = 500 * time.Millisecond
	// leaderWait is how long a VM waits for its cell leader before it reads tables from the
	// store: two rounds of urgent updates. newMemberLeaderWait applies to a new VM, which the
	// others may not know yet.
	leaderWait          = 250 * time.Millisecond
	newMemberLeaderWait = 1200 * time.Millisecond
	// settledEraAge is the age of the store's era from which rows of VMs call it settled: by then
	// lost rows have been written again, and leases of stewards of the era before have ended.
	settledEraAge = 4 * time.Second
	// registerInterval, plus up to registerJitter, is the time between two checks of this VM's
	// row. The store may have lost the rows of a whole fleet, which it takes in at a limited rate.
	registerInterval = time.Second
	registerJitter   = time.Second
	// leaderPollInterval is the time between two checks for the leader.
	leaderPollInterval = 25 * time.Millisecond
	// minRegisterBackoff and maxRegisterBackoff bound the pause after a failed call.
	minRegisterBackoff = 100 * time.Millisecond
	maxRegisterBackoff = 2 * time.Second
)

// follow joins the other VMs, then follows the tables.
//
// Load pattern: all VMs of a large fleet start at once, and each would read every table from
// the store. They read the list of VMs first, which determines the cell leaders, and most read
// the other tables from their leader.
func (e *Process) follow(ctx context.Context) {
	if isNew := e.register(ctx); isNew {
		e.awaitLeader(ctx, newMemberLeaderWait)
	} else {
		e.awaitLeader(ctx, leaderWait)
	}
	close(e.joined)
	go e.followConfig(ctx)
	go e.followServers(ctx)
	go e.followMembers(ctx)
	go e.keepRegistered(ctx)
	go e.followStewards(ctx)
	go e.keepRosters(ctx)
}

// register writes this VM's row unless the list of VMs, which it reads, already contains it.
// The write is idempotent, so it can be repeated after a lost answer.
func (e *Process) register(ctx context.Context) (isNew bool) {
	if !e.settings.FirstStart {
		e.retry(ctx, e.readMembers)
		if e.listed.Load() {
			return false
		}
	}
	go e.retry(ctx, e.writeOwnRow)
	select {
	case <-ctx.Done():
	case <-time.After(memberRereadDelay):
	}
	e.retry(ctx, e.readMembers)
	if e.settings.FirstStart {
		e.platform.Eras.MarkSettled(e.platform.Eras.Newest())
	}
	return true
}

func (e *Process) readMembers(ctx context.Context) error {
	rows, _, err := e.platform.Store.Rows(ctx, tableMembers)
	if err == nil {
		e.resetMembers(rows)
	}
	return err
}

// ownMember returns the row of this VM, without an era.
func (e *Process) ownMember() member {
	return member{Address: net.JoinHostPort(e.settings.IP, strconv.Itoa(e.settings.PeerPort)), Domain: e.settings.Domain, Capacity: e.settings.Capacity}
}

// writeOwnRow writes the row of this VM. It is idempotent.
func (e *Process) writeOwnRow(ctx context.Context) error {
	own := e.ownMember()
	if e.platform.Eras.IsOlderThan(settledEraAge, boottime.Now()) {
		own.SettledEra = e.platform.Eras.Newest()
	}
	value, err := json.Marshal(own)
	if err != nil {
		return errkind.New(errkind.Internal, "row of this VM: %v", err)
	}
	_, err = e.platform.Store.Apply(ctx, coord.Change{Put: []coord.Row{{Table: tableMembers, Key: e.settings.VM, Value: value}}})
	if err == nil {
		e.listed.Store(true)
	}
	return err
}

// keepRegistered writes the row of this VM again if the store has lost it. The VM that reads the
// store for others also records there that the era is settled, so that VMs that start do not
// wait for that.
func (e *Process) keepRegistered(ctx context.Context) {
	every(ctx, registerInterval+rand.N(registerJitter), func() {
		if e.listed.Load() && !(e.readsStore() && e.isSettledEraUnrecorded()) {
			return
		}
		call, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		if err := e.writeOwnRow(call); err != nil {
			e.log.WithError(err).WithField("event", "member").Warn("row of this VM could not be written")
		}
	})
}

// isSettledEraUnrecorded reports whether the store's era is settled and no row of a VM says so.
func (e *Process) isSettledEraUnrecorded() bool {
	if !e.platform.Eras.IsOlderThan(settledEraAge, boottime.Now()) {
		return false
	}
	era := e.platform.Eras.Newest()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, m := range e.members {
		if m.SettledEra >= era {
			return false
		}
	}
	return true
}

// retry repeats a call of the store with growing pauses until it succeeds.
func (e *Process) retry(ctx context.Context, do func(context.Context) error) {
	for pause := minRegisterBackoff; ctx.Err() == nil; pause = min(2*pause, maxRegisterBackoff) {
		call, cancel := context.WithTimeout(ctx, storeTimeout)
		err := do(call)
		cancel()
		if err == nil {
			return
		}
		e.log.WithError(err).WithField("event", "member").Warn("list of VMs could not be read or written")
		select {
		case <-ctx.Done():
		case <-time.After(pause + rand.N(pause)):
		}
	}
}

// awaitLeader waits until the cell leader relays tables. A VM that considers itself the leader
// waits until it reaches the majority of the cell, since another VM may turn out to be the
// leader.
func (e *Process) awaitLeader(ctx context.Context, wait time.Duration) {
	relay := coord.Relay{Calls: e.peers}
	for start := boottime.Now(); ctx.Err() == nil && boottime.Since(start) < wait; time.Sleep(leaderPollInterval) {
		if !e.mesh.IsLarge() || e.mesh.IsMajorityReachable() && e.mesh.IsLeader() {
			return
		}
		address, ok := e.tableSource()
		if !ok {
			continue
		}
		call, cancel := context.WithTimeout(ctx, leaderWait)
		_, err := relay.Rows(call, address, tableMembers)
		cancel()
		if err == nil {
			return
		}
	}
}

// hasJoined reports whether this VM has begun to follow the tables.
func (e *Process) hasJoined() bool {
	select {
	case <-e.joined:
		return true
	default:
		return false
	}
}
