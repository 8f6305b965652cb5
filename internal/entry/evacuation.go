package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"chicoryline/internal/backoff"
	"chicoryline/internal/boottime"
	"chicoryline/internal/coord"
	"chicoryline/internal/dispatch"
	"chicoryline/internal/evacuation"
	"chicoryline/internal/mesh"
	"chicoryline/internal/session"
	"chicoryline/internal/steward"
)

const (
	// evacuatedPrimaryTime is how long a primary in an evacuated failure domain still gets new
	// work while it is being replaced. It steps down within about 300 ms, and the confirmation of
	// the evacuation, which is due after 1 s, waits for this time.
	evacuatedPrimaryTime = 400 * time.Millisecond
	// evacuationMargin is subtracted from the time in which open transactions in an evacuated
	// domain may go on: the time that a statement takes to reach the server.
	evacuationMargin = 500 * time.Millisecond
	// heldCheckDelay is how long a demand may be in force without its row before the table is read
	// again, and the pause between two reads: a row that another VM reported first is here sooner.
	heldCheckDelay = time.Second
	// minHinderedPause and maxHinderedPause bound the pause between two attempts of this VM to
	// change a primary that an evacuation may make impossible: it may last for hours, and each
	// attempt writes to the store.
	minHinderedPause = 300 * time.Millisecond
	maxHinderedPause = 15 * time.Second
	// maxHinderedRank limits the VMs that try to move a primary out of an evacuated domain.
	maxHinderedRank = 3
)

// evacuationState is what this VM knows of evacuated failure domains. The mutex guards the fields,
// and the order in which sets are handed to the router.
type evacuationState struct {
	mu      sync.Mutex
	demands evacuation.Demands
	// confirmed and cellConfirmed are reported to other VMs; see mesh.Evacuations.
	confirmed, cellConfirmed coord.Version
	// unknown holds the demanded domains that were logged as unknown.
	unknown map[string]bool
	// heldSince is when demands without a row were first seen, 0 if there are none.
	heldSince boottime.Time
	// attempts paces primary changes by group; see changePrimary. Only supervise uses it.
	attempts map[string]*backoff.Backoff
}

// applyEvacuations applies rows of the configuration table that demand an evacuation.
func (e *Process) applyEvacuations(rows []coord.Row, apply func(*evacuation.Demands, []evacuation.Row, boottime.Time)) {
	if e.settings.EvacuateTime == 0 {
		return
	}
	// A demand that this VM does not know was acknowledged after its last proof.
	_, proved := e.view.LastConfirmed()
	var list []evacuation.Row
	for _, r := range rows {
		if domain, ok := e.platform.EvacuatedDomain(r.Key); ok {
			list = append(list, evacuation.Row{Domain: domain, Version: r.Version, Deleted: r.Deleted, After: max(r.After, proved)})
		}
	}
	e.changeEvacuations(func(d *evacuation.Demands) { apply(d, list, boottime.Now()) })
}

// adoptEvacuations applies the demands that another VM reports, if they are newer. This VM may have
// lost the store, and gets proofs of the configuration from the same VM.
func (e *Process) adoptEvacuations(n mesh.Evacuations) {
	if e.settings.EvacuateTime == 0 || n.Version <= e.evacuationVersion() {
		return
	}
	_, proved := e.view.LastConfirmed()
	e.changeEvacuations(func(d *evacuation.Demands) {
		d.Adopt(n.Domains, coord.Version(n.Version), proved, boottime.Now())
	})
}

// changeEvacuations changes the demands and puts the result in force.
func (e *Process) changeEvacuations(change func(*evacuation.Demands)) {
	s := &e.evacuation
	s.mu.Lock()
	defer s.mu.Unlock()
	before, version := s.demands.InForce(), s.demands.Version()
	change(&s.demands)
	after := s.demands.InForce()
	if s.demands.Version() != version {
		s.confirmed, s.cellConfirmed = 0, 0
		defer e.mesh.SendSoon()
	}
	times := map[string]dispatch.EvacuationTimes{}
	changed := len(before) != len(after)
	for domain, d := range after {
		times[domain] = e.evacuationTimes(d)
		if _, known := before[domain]; !known {
			changed = true
			e.evacuationLog(domain).WithField("store_version", s.demands.Version()).Warn("demanded")
		}
	}
	for domain := range before {
		if _, inForce := after[domain]; !inForce {
			delete(s.unknown, domain)
			e.evacuationLog(domain).WithField("store_version", s.demands.Version()).Info("withdrawn")
		}
	}
	if changed {
		e.router.SetEvacuations(times)
	}
}

// evacuationTimes returns when work in the domain ends. Open transactions end a margin before the
// bound, which counts from the acknowledgement of the demand: some time after Demand.After.
func (e *Process) evacuationTimes(d evacuation.Demand) dispatch.EvacuationTimes {
	var end boottime.Time
	if d.After != 0 {
		end = d.After.Add(e.evacuatedTransactionTime())
	}
	return dispatch.EvacuationTimes{PrimaryUntil: min(d.Learned.Add(evacuatedPrimaryTime), end), TransactionsUntil: end}
}

// evacuatedTransactionTime is how long after a demand open transactions may go on.
func (e *Process) evacuatedTransactionTime() time.Duration {
	return e.settings.EvacuateTime - min(evacuationMargin, e.settings.EvacuateTime/2)
}

func (e *Process) evacuationLog(domain string) *logrus.Entry {
	return e.log.WithFields(logrus.Fields{"event": "evacuation", "failure_domain": domain})
}

// evacuationVersion returns the version of the demands that this VM knows.
func (e *Process) evacuationVersion() uint64 {
	e.evacuation.mu.Lock()
	defer e.evacuation.mu.Unlock()
	return uint64(e.evacuation.demands.Version())
}

// evacuatedDomains returns the evacuated failure domains in order.
func (e *Process) evacuatedDomains() []string {
	e.evacuation.mu.Lock()
	defer e.evacuation.mu.Unlock()
	return e.evacuation.demands.Names()
}

// reportedEvacuations returns what this VM reports to others.
func (e *Process) reportedEvacuations() mesh.Evacuations {
	s := &e.evacuation
	s.mu.Lock()
	defer s.mu.Unlock()
	return mesh.Evacuations{Domains: s.demands.Names(), Version: uint64(s.demands.Version()), Confirmed: uint64(s.confirmed), CellConfirmed: uint64(s.cellConfirmed)}
}

// silentGrace is how long after a demand a silent VM may still send statements: as long as a proof
// of the configuration is valid that it got just before, and a statement waits that was accepted
// with it, or until its open transactions end.
func (e *Process) silentGrace() time.Duration {
	return max(e.settings.KeyLifetime-keyLeaseMargin+e.longestStatement(), e.evacuatedTransactionTime())
}

// longestStatement returns the longest time limit of a statement.
func (e *Process) longestStatement() (longest time.Duration) {
	if c := e.view.Config(); c != nil {
		for _, r := range c.Routes {
			longest = max(longest, session.StatementTimeout(r))
		}
	}
	return longest
}

// superviseEvacuations determines what this VM confirms, and writes the operator's confirmations if
// it reads the store for others.
func (e *Process) superviseEvacuations(ctx context.Context) {
	if e.settings.EvacuateTime == 0 {
		return
	}
	w := newStatusWriter(e)
	every(ctx, superviseInterval, func() {
		e.confirmEvacuations(boottime.Now())
		e.logUnknownDomains()
		e.dropHeldEvacuations(ctx)
		w.step(ctx, boottime.Now())
	})
}

// confirmEvacuations confirms the present demands once this VM, and on a leader its cell, sends
// nothing to evacuated domains any more.
func (e *Process) confirmEvacuations(now boottime.Time) {
	leads := e.mesh.IsLeader()
	s := &e.evacuation
	s.mu.Lock()
	defer s.mu.Unlock()
	version := s.demands.Version()
	if version == 0 {
		return
	}
	if s.confirmed != version && e.router.HasEvacuated() {
		s.confirmed = version
		e.mesh.SendSoon()
		if names := s.demands.Names(); len(names) > 0 {
			e.evacuationLog(names[0]).WithFields(logrus.Fields{"domains": len(names), "store_version": version, "took_ms": now.Sub(s.demands.Changed()).Milliseconds()}).Info("nothing is sent any more")
		}
	}
	if leads && s.confirmed == version && s.cellConfirmed != version &&
		e.mesh.UnconfirmedInCell(uint64(version)).IsConfirmed(s.demands.Changed(), now, e.silentGrace()) {
		s.cellConfirmed = version
		e.mesh.SendSoon()
	}
}

// isEvacuationConfirmed reports whether all VMs confirm the present demands. Only a leader's answer
// covers other cells. The mutex of the state is held.
func (e *Process) isEvacuationConfirmed(now boottime.Time) (confirmed bool, silent int) {
	s := &e.evacuation
	version := s.demands.Version()
	u := e.mesh.UnconfirmedInCell(uint64(version)).Add(e.mesh.UnconfirmedCells(uint64(version)))
	return version != 0 && s.confirmed == version && u.IsConfirmed(s.demands.Changed(), now, e.silentGrace()), u.Silent
}

// isKnownDomain reports whether a VM or a backend server is in the failure domain.
func (e *Process) isKnownDomain(domain string) bool {
	if e.hasMemberIn(domain) {
		return true
	}
	return slices.ContainsFunc(e.router.Groups(), func(g *dispatch.Group) bool {
		return slices.ContainsFunc(g.Servers(), func(s *dispatch.Server) bool { return s.Info().Domain == domain })
	})
}

func (e *Process) hasMemberIn(domain string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, m := range e.members {
		if m.Domain == domain {
			return true
		}
	}
	return false
}

// logUnknownDomains logs demands that have no effect because nothing is in their domains.
func (e *Process) logUnknownDomains() {
	if !e.serversLoaded() {
		return
	}
	for _, domain := range e.evacuatedDomains() {
		if e.isKnownDomain(domain) {
			continue
		}
		e.evacuation.mu.Lock()
		if !e.evacuation.unknown[domain] {
			if e.evacuation.unknown == nil {
				e.evacuation.unknown = map[string]bool{}
			}
			e.evacuation.unknown[domain] = true
			e.evacuationLog(domain).Warn("unknown failure domain, the demand has no effect")
		}
		e.evacuation.mu.Unlock()
	}
}

// dropHeldEvacuations ends demands whose rows are not in the table, once a read of the table in a
// settled era of the store has shown that.
func (e *Process) dropHeldEvacuations(ctx context.Context) {
	s := &e.evacuation
	now := boottime.Now()
	s.mu.Lock()
	version := s.demands.Version()
	switch {
	case !s.demands.HasHeld():
		s.heldSince = 0
	case s.heldSince == 0:
		s.heldSince = now
	}
	due := s.heldSince != 0 && now.Sub(s.heldSince) >= heldCheckDelay
	s.mu.Unlock()
	f := e.configTable.Load()
	if !due || f == nil || !f.Loaded() || !e.platform.Eras.IsSettled(now) {
		return
	}
	err := f.CatchUp(ctx)
	if err == nil {
		e.changeEvacuations(func(d *evacuation.Demands) { d.DropHeld(version) })
	}
	s.mu.Lock()
	s.heldSince = boottime.Now()
	s.mu.Unlock()
}

// changePrimary begins the primary change, unless an evacuation may make it impossible and the pause
// since the last attempt is too short. What the steward does not begin is no attempt: another VM
// holds the lease, or the store gives no answers. It reports whether an attempt was begun.
func (e *Process) changePrimary(ctx context.Context, g *dispatch.Group, task steward.Task) bool {
	s := &e.evacuation
	if !g.IsChangeHindered() {
		delete(s.attempts, g.Name)
		return e.steward.Start(ctx, task)
	}
	pace := s.attempts[g.Name]
	if pace == nil {
		pace = &backoff.Backoff{First: minHinderedPause, Max: maxHinderedPause}
		if s.attempts == nil {
			s.attempts = map[string]*backoff.Backoff{}
		}
		s.attempts[g.Name] = pace
	}
	if pace.Active(boottime.Now()) || task.Reason == steward.Leaving && e.rank(g.Name) > maxHinderedRank {
		return false
	}
	begun := e.steward.Start(ctx, task)
	if begun {
		pace.Fail(boottime.Now())
	}
	return begun
}
