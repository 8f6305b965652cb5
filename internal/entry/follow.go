package entry

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"chicoryline/internal/boottime"
	"chicoryline/internal/coord"
	"chicoryline/internal/errkind"
	"chicoryline/internal/evacuation"
	"chicoryline/internal/mesh"
	"chicoryline/internal/steward"
	"chicoryline/internal/tcp"
)

// maxLeftOutShown bounds the entries that the line about those left out names.
const maxLeftOutShown = 10

// followConfig applies new configurations and keeps the present one validated.
func (e *Process) followConfig(ctx context.Context) {
	// Evacuations are applied before the configuration and before its proof: a VM that holds a
	// proof of a time has applied all demands acknowledged before.
	apply := func(rows []coord.Row) {
		e.applyEvacuations(rows, (*evacuation.Demands).Update)
		for _, r := range rows {
			if r.Key != e.platform.ConfigKey || r.Deleted {
				continue
			}
			c, err := e.platform.DecodeConfig(r.Value)
			if err != nil {
				e.log.WithError(err).WithField("event", "config").Error("configuration could not be decoded")
				e.view.MarkOutdated()
				continue
			}
			e.storedConfig.Store(c.Version)
			inForce := e.view.Config()
			entry := e.log.WithFields(logrus.Fields{"event": "config", "version": c.Version, "store_version": r.Version, "routes": len(c.Routes), "customers": len(c.Customers)})
			if e.view.Apply(c) {
				entry.Info("in force")
				if len(c.LeftOut) > 0 {
					shown := strings.Join(c.LeftOut[:min(len(c.LeftOut), maxLeftOutShown)], "; ")
					entry.WithFields(logrus.Fields{"left_out": len(c.LeftOut), "entries": shown}).Error("entries with invalid names left out")
				}
			} else if inForce != nil && c.Version < inForce.Version {
				entry.WithField("in_force", inForce.Version).Warn("older version read from the store")
			}
		}
	}
	reset := func(rows []coord.Row) {
		e.storedConfig.Store(0) // the store may have lost the configuration
		e.applyEvacuations(rows, (*evacuation.Demands).Reset)
		apply(rows)
	}
	f := e.follower(e.platform.ConfigTable, reset, apply)
	f.Proof = e.proveConfig
	e.configTable.Store(f)
	go e.keepConfigFresh(ctx, f)
	f.Run(ctx)
}

// follower returns a follower of the table, which reads from the cell leader if possible and
// from the store otherwise.
func (e *Process) follower(table string, reset, update func([]coord.Row)) *coord.Follower {
	f := &coord.Follower{
		Store: e.access, Table: table, Wait: tableWatchWait, Timeout: storeTimeout, Reset: reset, Update: update,
		Access: e.access, Copies: e.copies, Relay: &coord.Relay{Calls: e.peers, Source: e.tableSource}, Eras: e.platform.Eras, Log: e.log,
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.followers = append(e.followers, f)
	return f
}

// checkSources moves watches to the present source of tables if it has changed.
func (e *Process) checkSources() {
	source, _ := e.tableSource()
	e.mu.Lock()
	followers := slices.Clone(e.followers)
	e.mu.Unlock()
	for _, f := range followers {
		f.CheckSource(source)
	}
}

// tableSource returns the address of the VM that this one reads tables from. It is false if
// this VM reads from the store, as every VM of a small fleet does.
func (e *Process) tableSource() (address string, ok bool) {
	if !e.mesh.IsLarge() {
		return "", false
	}
	vm, self := e.mesh.TableSource()
	if self {
		return "", false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	m, ok := e.members[vm]
	return m.Address, ok
}

// readsStore reports whether this VM reads the store on behalf of others; in a small fleet one
// VM validates the configuration for all.
func (e *Process) readsStore() bool {
	_, self := e.mesh.TableSource()
	return self
}

// proveConfig records that the configuration in force was the newest version at the given time, if
// the store holds it: a restored store may hold an older one.
func (e *Process) proveConfig(at boottime.Time) {
	if c := e.view.Config(); c != nil && !e.view.IsOutdated() && c.Version == e.storedConfig.Load() {
		e.view.ConfirmNewest(c.Version, at)
	}
}

// applyServers applies changed entries of backend servers.
func (e *Process) applyServers(rows []coord.Row) {
	for _, r := range rows {
		if r.Deleted {
			e.router.MarkMissing(r.Key)
			continue
		}
		info, err := e.platform.DecodeServer(r.Key, r.Value)
		if err != nil {
			e.log.WithError(err).WithField("event", "backend_server").Warn("entry of a backend server could not be decoded")
			e.router.MarkMissing(r.Key)
			continue
		}
		info.Version, info.ChangedAfter, info.Restored = uint64(r.Version), r.After, r.Restored
		e.router.Update(info)
	}
}

// readServers reads the latest changes from the store: followed changes arrive with a delay,
// or not at all while a watch hangs.
func (e *Process) readServers(ctx context.Context) error {
	f := e.servers.Load()
	if f == nil {
		return errkind.New(errkind.PlatformUnavailable, "backend servers are not followed yet")
	}
	return f.CatchUp(ctx)
}

func (e *Process) serversLoaded() bool {
	f := e.servers.Load()
	return f != nil && f.Loaded()
}

// followServers keeps the router up to date with the entries of backend servers.
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
		e.applyServers(rows)
	}
	f := e.follower(e.platform.ServerTable, reset, e.applyServers)
	f.ChangePause, f.MaxProofAge = serverBatchDelay, serverProofAge
	e.servers.Store(f)
	f.Run(ctx)
}

// followStewards observes primary changes sooner than the entries of backend servers show
// them.
func (e *Process) followStewards(ctx context.Context) {
	observe := func(rows []coord.Row, act bool) {
		for _, r := range rows {
			change, err := e.steward.Observe(r)
			switch {
			case r.Deleted:
			case !act && err == nil && !change.InProgress && change.Primary != "":
				e.router.Group(change.Group).LoadPromotionOrder(change.Primary)
			case !act:
			case err != nil:
				e.log.WithError(err).WithFields(logrus.Fields{"event": "failover", "group": r.Key}).Warn("steward row could not be decoded")
			case change.InProgress:
				e.router.Group(change.Group).SetPrimaryExpectedAt(boottime.Now().Add(steward.ExpectedPromotionTime))
			case change.Primary != "":
				e.applyPrimaryChange(change.Group, change.Primary)
			}
		}
	}
	f := e.follower(steward.Table, func(rows []coord.Row) { observe(rows, false) }, func(rows []coord.Row) { observe(rows, true) })
	f.Run(ctx)
}

// applyPrimaryChange applies a primary change that another VM has ordered.
func (e *Process) applyPrimaryChange(group, server string) {
	g := e.router.Group(group)
	h := g.Health()
	g.SetPrimaryExpectedAt(boottime.Now().Add(steward.ExpectedPromotionTime))
	g.ObservePromotionOrder(server, h.FailingSince == 0 && h.StuckSince == 0)
}

func (e *Process) followMembers(ctx context.Context) {
	f := e.follower(tableMembers, e.resetMembers, e.updateMembers)
	f.ChangePause = memberBatchDelay
	go e.refreshUnknownMembers(ctx, f)
	f.Run(ctx)
}

// notifyUnknownMember requests a read of the list of VMs, because a VM that is not listed
// sends state updates.
func (e *Process) notifyUnknownMember(string) {
	select {
	case e.unknownMember <- struct{}{}:
	default:
	}
}

// refreshUnknownMembers reads changes of the list of VMs when a VM that is not listed sends
// state updates: it already uses its part of the rates, and the watch of the list may not
// answer. A VM that reads tables from another one first leaves that to the leader of its cell.
//
// Load pattern: VMs are added, and each of the 20 to 32 VMs of a cell hears each new one.
func (e *Process) refreshUnknownMembers(ctx context.Context, f *coord.Follower) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.unknownMember:
		}
		if role := e.storeRole(); e.mesh.IsLarge() && role != roleReader && role != roleLeader && !e.isStillUnknown(ctx) {
			continue
		}
		if err := f.CatchUp(ctx); err != nil {
			e.log.WithError(err).WithField("event", "member").Debug("list of VMs could not be read")
		}
		select {
		case <-ctx.Done():
		case <-time.After(unknownMemberRefreshDelay):
		}
	}
}

// isStillUnknown reports whether a VM that is not listed sends state updates after the leader of the
// cell had time to read the list of VMs.
func (e *Process) isStillUnknown(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(leaderRefreshTime):
	}
	select {
	case <-e.unknownMember: // from before
	default:
	}
	select {
	case <-ctx.Done():
		return false
	case <-e.unknownMember:
		return true
	case <-time.After(2 * mesh.GossipInterval):
		return false
	}
}

// resetMembers applies the whole table. VMs whose rows it lacks stay in the list: rows are never
// deleted, so the store was restored from a backup without them.
func (e *Process) resetMembers(rows []coord.Row) {
	e.updateMembers(rows)
	e.listed.Store(slices.ContainsFunc(rows, e.isOwnRow))
}

// decodeMember decodes the row of a VM. A VM without a valid address is not used: it could not be
// heard, and the knowledge of all VMs would never be complete.
func decodeMember(value []byte) (m member, err error) {
	if err := json.Unmarshal(value, &m); err != nil {
		return member{}, err
	}
	return m, tcp.CheckAddress(m.Address)
}

// isOwnRow reports whether the row lists this VM as it runs now.
func (e *Process) isOwnRow(r coord.Row) bool {
	if r.Deleted || r.Key != e.settings.VM {
		return false
	}
	m, err := decodeMember(r.Value)
	m.SettledEra = 0
	return err == nil && m == e.ownMember() // updateMembers logs the error
}

// updateMembers applies rows of VMs.
func (e *Process) updateMembers(rows []coord.Row) {
	e.mu.Lock()
	for _, r := range rows {
		if r.Key == e.settings.VM {
			e.listed.Store(e.isOwnRow(r))
		}
		if r.Deleted {
			delete(e.members, r.Key)
		} else if m, err := decodeMember(r.Value); err != nil {
			e.log.WithError(err).WithFields(logrus.Fields{"event": "member", "member": r.Key}).Warn("row of a VM could not be decoded")
		} else {
			e.members[r.Key] = m
			e.platform.Eras.MarkSettled(m.SettledEra)
		}
	}
	e.updateFleet()
	peers := make([]mesh.Peer, 0, len(e.members))
	for vm, m := range e.members {
		peers = append(peers, mesh.Peer{VM: vm, Address: m.Address, Domain: m.Domain, Capacity: m.Capacity})
	}
	e.mu.Unlock()
	e.mesh.SetPeers(peers)
	e.distributeLimits()
	e.log.WithFields(logrus.Fields{"event": "members", "count": len(peers)}).Info("changed")
}
