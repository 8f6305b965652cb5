package entry

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"chicoryline/internal/boottime"
	"chicoryline/internal/coord"
	"chicoryline/internal/errkind"
	"chicoryline/internal/mesh"
	"chicoryline/internal/steward"
)

func (e *Process) followConfig(ctx context.Context) {
	apply := func(rows []coord.Row) {
		for _, r := range rows {
			if r.Key != e.platform.ConfigKey || r.Deleted {
				continue
			}
			c, err := e.platform.DecodeConfig(r.Value)
			if err != nil {
				e.log.WithError(err).WithField("event", "config").Error("configuration was not read")
				e.view.Distrust()
				continue
			}
			if e.view.Apply(c) {
				e.log.WithFields(logrus.Fields{"event": "config", "version": c.Version, "routes": len(c.Routes), "customers": len(c.Customers)}).Info("in force")
			}
		}
	}
	f := e.follower(e.platform.ConfigTable, apply, apply)
	f.Proof = e.prove
	go e.keepFresh(ctx, f)
	f.Run(ctx)
}

// follower returns a follower of the table, which reads from the VM that acts for the
// cell rather than from the store.
func (e *Process) follower(table string, reset, update func([]coord.Row)) *coord.Follower {
	return &coord.Follower{
		Store: e.platform.Store, Table: table, Wait: tableWait, Timeout: storeTimeout, Reset: reset, Update: update,
		Copies: e.copies, Relay: &coord.Relay{Calls: e.peers, Source: e.tableSource}, Log: e.log,
	}
}

// tableSource returns the address of the VM that this one reads tables from. It is false
// if this VM reads from the store, as each does if there are few.
func (e *Process) tableSource() (address string, ok bool) {
	if !e.mesh.Large() {
		return "", false
	}
	vm, self := e.mesh.Source()
	if self {
		return "", false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	m, ok := e.members[vm]
	return m.Address, ok
}

// readsStore reports whether others learn from this VM what the store says; in a small
// fleet one VM proves the configuration for all.
func (e *Process) readsStore() bool {
	_, self := e.mesh.Source()
	return self
}

func (e *Process) prove(at boottime.Time) {
	if c := e.view.Config(); c != nil && !e.view.Outdated() {
		e.view.Prove(c.Version, at)
	}
}

// keepFresh asks the store whether the configuration still is the newest before
// the proof at hand gets too old. One VM asks more often than the others, who hear of it and ask only when they do not. While the store does not answer, the
// pauses grow: those who hear of an answer need none of their own.
func (e *Process) keepFresh(ctx context.Context, f *coord.Follower) {
	spread := rand.N(proofSpread)
	var next boottime.Time
	pause := upkeepInterval
	every(ctx, upkeepInterval, func() {
		limit, longest := memberProofAge+spread, lastMemberCheck
		if e.readsStore() {
			limit, longest = leaderProofAge, lastLeaderCheck
			if cells, _ := e.mesh.Cells(); cells > 1 {
				limit = fleetProofAge
			}
		}
		if e.view.Config() == nil || e.view.Age() < limit && !e.view.Outdated() {
			next, pause = 0, upkeepInterval
			return
		}
		if boottime.Now() < next {
			return
		}
		err := f.Check(ctx)
		if err == nil && e.view.Outdated() {
			err = errkind.New(errkind.ConfigStale, "the newest version was not read")
		}
		if err != nil {
			e.log.WithError(err).WithField("event", "store_watch").Debug("configuration was not proved")
			next, pause = boottime.Now().Add(pause), min(2*pause, longest)
		}
	})
}

// takeServers takes entries of backend servers.
func (e *Process) takeServers(rows []coord.Row) {
	for _, r := range rows {
		if r.Deleted {
			e.router.MarkMissing(r.Key)
			continue
		}
		info, err := e.platform.DecodeServer(r.Key, r.Value)
		if err != nil {
			e.log.WithError(err).WithField("event", "backend_server").Warn("entry was not read")
			e.router.MarkMissing(r.Key)
			continue
		}
		info.Version, info.ChangedAfter = r.Version, r.After
		e.router.Update(info)
	}
}

// readServers takes the changes that the store has now: what is followed comes late, and
// for as long as a watch hangs not at all.
func (e *Process) readServers(ctx context.Context) error {
	f := e.servers.Load()
	if f == nil {
		return errkind.New(errkind.PlatformUnavailable, "backend servers are not followed yet")
	}
	return f.Check(ctx)
}

func (e *Process) serversLoaded() bool {
	f := e.servers.Load()
	return f != nil && f.Loaded()
}

func (e *Process) followServers(ctx context.Context) {
	reset := func(rows []coord.Row) {
		present := map[string]bool{}
		for _, r := range rows {
			present[r.Key] = true
		}
		for _, id := range e.router.ServerIDs() {
			if !present[id] {
				e.router.MarkMissing(id)
			}
		}
		e.takeServers(rows)
	}
	f := e.follower(e.platform.ServerTable, reset, e.takeServers)
	f.Pause, f.ProofAge = serverPause, serverProofAge
	e.servers.Store(f)
	f.Run(ctx)
}

// followStewards learns of changes of primary sooner than through the entries of
// backend servers.
func (e *Process) followStewards(ctx context.Context) {
	observe := func(rows []coord.Row, act bool) {
		for _, r := range rows {
			change, err := e.steward.Observe(r)
			switch {
			case r.Deleted:
			case !act && err == nil && !change.Active && change.Primary != "":
				e.router.Group(change.Group).LoadPromotionOrder(change.Primary)
			case !act:
			case err != nil:
				e.log.WithError(err).WithFields(logrus.Fields{"event": "failover", "group": r.Key}).Warn("row was not read")
			case change.Active:
				e.router.Group(change.Group).SetPrimaryExpectedAt(boottime.Now().Add(steward.ExpectedPromotion))
			case change.Primary != "":
				e.succeed(change.Group, change.Primary)
			}
		}
	}
	f := e.follower(steward.Table, func(rows []coord.Row) { observe(rows, false) }, func(rows []coord.Row) { observe(rows, true) })
	f.Run(ctx)
}

// succeed takes another VM's word that a server was ordered to lead.
func (e *Process) succeed(group, server string) {
	g := e.router.Group(group)
	h := g.Health()
	g.SetPrimaryExpectedAt(boottime.Now().Add(steward.ExpectedPromotion))
	g.ObservePromotionOrder(server, h.FailingSince == 0 && h.StuckSince == 0)
}

func (e *Process) followMembers(ctx context.Context) {
	f := e.follower(tableMembers, func(rows []coord.Row) { e.updateMembers(rows, true) }, func(rows []coord.Row) { e.updateMembers(rows, false) })
	f.Pause = memberPause
	go e.askForUnknown(ctx, f)
	f.Run(ctx)
}

// noteUnknown takes the name of a VM that sends news and is not in the list of VMs.
func (e *Process) noteUnknown(string) {
	select {
	case e.unknown <- struct{}{}:
	default:
	}
}

// askForUnknown reads what is new in the list of VMs when one that is not in it sends
// news: it uses its part of the rates, and the watch of the list may be silent.
func (e *Process) askForUnknown(ctx context.Context, f *coord.Follower) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.unknown:
		}
		if err := f.Check(ctx); err != nil {
			e.log.WithError(err).WithField("event", "member").Debug("list of VMs was not read")
		}
		select {
		case <-ctx.Done():
		case <-time.After(unknownPause):
		}
	}
}

func (e *Process) updateMembers(rows []coord.Row, all bool) {
	e.mu.Lock()
	if all {
		clear(e.members)
	}
	for _, r := range rows {
		var m member
		if r.Deleted {
			delete(e.members, r.Key)
		} else if err := json.Unmarshal(r.Value, &m); err != nil {
			e.log.WithError(err).WithFields(logrus.Fields{"event": "member", "member": r.Key}).Warn("row was not read")
		} else {
			e.members[r.Key] = m
		}
	}
	peers := make([]mesh.Peer, 0, len(e.members))
	for vm, m := range e.members {
		peers = append(peers, mesh.Peer{VM: vm, Address: m.Address, Domain: m.Domain})
	}
	e.mu.Unlock()
	e.mesh.SetPeers(peers)
	e.share()
	e.log.WithFields(logrus.Fields{"event": "members", "count": len(peers)}).Info("changed")
}
