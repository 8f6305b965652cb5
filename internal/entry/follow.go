package entry

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"chicoryline/internal/boottime"
	"chicoryline/internal/coord"
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
				continue
			}
			if e.view.Apply(c) {
				e.log.WithFields(logrus.Fields{"event": "config", "version": c.Version, "routes": len(c.Routes), "customers": len(c.Customers)}).Info("in force")
			}
		}
	}
	f := &coord.Follower{
		Store: e.platform.Store, Table: e.platform.ConfigTable, Wait: tableWait, Timeout: storeTimeout,
		Reset: apply, Update: apply, Log: e.log, Proof: e.prove,
	}
	go e.keepFresh(ctx, f)
	f.Run(ctx)
}

func (e *Process) prove(at boottime.Time) {
	if c := e.view.Config(); c != nil {
		e.view.Prove(c.Version, at)
	}
}

// keepFresh asks the store whether the configuration still is the newest before
// the proof at hand gets too old. One VM of a cell asks more often than the others,
// who hear of it and ask only when they do not.
func (e *Process) keepFresh(ctx context.Context, f *coord.Follower) {
	spread := rand.N(proofSpread)
	every(ctx, upkeepInterval, func() {
		limit := memberProofAge + spread
		if e.mesh.Leads() {
			limit = leaderProofAge
		}
		if e.view.Config() == nil || e.view.Age() < limit {
			return
		}
		start := boottime.Now()
		if err := f.Check(ctx); err != nil {
			e.log.WithError(err).WithField("event", "store_watch").Debug("configuration was not proved")
			return
		}
		e.prove(start)
	})
}

func (e *Process) followServers(ctx context.Context) {
	update := func(rows []coord.Row) {
		for _, r := range rows {
			if r.Deleted {
				e.router.Missing(r.Key)
				continue
			}
			info, err := e.platform.DecodeServer(r.Key, r.Value)
			if err != nil {
				e.log.WithError(err).WithField("event", "backend_server").Warn("entry was not read")
				e.router.Missing(r.Key)
				continue
			}
			info.Version = r.Version
			e.router.Update(info)
		}
	}
	f := &coord.Follower{
		Store: e.platform.Store, Table: e.platform.ServerTable, Wait: tableWait, Pause: serverPause, Timeout: storeTimeout, Log: e.log,
		Update: update,
		Reset: func(rows []coord.Row) {
			present := map[string]bool{}
			for _, r := range rows {
				present[r.Key] = true
			}
			for _, id := range e.router.Known() {
				if !present[id] {
					e.router.Missing(id)
				}
			}
			update(rows)
		},
	}
	f.Run(ctx)
}

// followStewards learns of changes of primary sooner than through the entries of
// backend servers.
func (e *Process) followStewards(ctx context.Context) {
	observe := func(rows []coord.Row, act bool) {
		for _, r := range rows {
			change, err := e.steward.Observe(r)
			switch {
			case r.Deleted || !act:
			case err != nil:
				e.log.WithError(err).WithFields(logrus.Fields{"event": "failover", "group": r.Key}).Warn("row was not read")
			case change.Active:
				e.router.Group(change.Group).Expect(boottime.Now().Add(steward.ExpectedPromotion))
			case change.Primary != "":
				e.succeed(change.Group, change.Primary)
			}
		}
	}
	f := &coord.Follower{
		Store: e.platform.Store, Table: steward.Table, Wait: tableWait, Timeout: storeTimeout, Log: e.log,
		Reset:  func(rows []coord.Row) { observe(rows, false) },
		Update: func(rows []coord.Row) { observe(rows, true) },
	}
	f.Run(ctx)
}

// succeed takes another VM's word that a server was ordered to lead.
func (e *Process) succeed(group, server string) {
	g := e.router.Group(group)
	h := g.Health()
	g.Expect(boottime.Now().Add(steward.ExpectedPromotion))
	g.Succeed(server, h.Failing == 0 && h.Stuck == 0)
}

func (e *Process) followMembers(ctx context.Context) {
	f := &coord.Follower{
		Store: e.platform.Store, Table: tableMembers, Wait: tableWait, Pause: memberPause, Timeout: storeTimeout, Log: e.log,
		Update: func(rows []coord.Row) { e.updateMembers(rows, false) },
		Reset:  func(rows []coord.Row) { e.updateMembers(rows, true) },
	}
	f.Run(ctx)
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

// register writes this VM's row. The same row twice does no harm, so an answer
// that was lost needs no care.
func (e *Process) register(ctx context.Context) {
	value, err := json.Marshal(member{
		Address: net.JoinHostPort(e.settings.IP, strconv.Itoa(e.settings.PeerPort)),
		Domain:  e.settings.Domain, Started: time.Now().UnixMilli(),
	})
	if err != nil {
		e.log.WithError(err).Error("member row was not encoded")
		return
	}
	change := coord.Change{Put: []coord.Row{{Table: tableMembers, Key: e.settings.VM, Value: value}}}
	for pause := 100 * time.Millisecond; ctx.Err() == nil; pause = min(2*pause, 2*time.Second) {
		call, cancel := context.WithTimeout(ctx, storeTimeout)
		_, err := e.platform.Store.Apply(call, change)
		cancel()
		if err == nil {
			return
		}
		e.log.WithError(err).WithField("event", "member").Warn("row was not written")
		time.Sleep(pause + rand.N(pause))
	}
}
