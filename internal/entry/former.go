package entry

import (
	"context"
	"maps"
	"time"

	"github.com/sirupsen/logrus"

	"chicoryline/internal/boottime"
	"chicoryline/internal/dispatch"
	"chicoryline/internal/errkind"
)

const (
	// formerProbeInterval is the time between two probes of a former server, long enough to
	// receive a state update from its failure domain in between.
	formerProbeInterval = time.Second
	// probeRecordLifetime is how long a probe is remembered. Servers that are still probed
	// renew it at every interval.
	probeRecordLifetime = time.Minute
	// logEndTimeout bounds asking the primary for the end of its log: a connection, and an answer
	// that may wait for a slot.
	logEndTimeout = time.Second
	// formerDialTimeout bounds opening a connection to a former server: several handshakes and
	// a busy slot.
	formerDialTimeout = 300 * time.Millisecond
)

// probeKey identifies a former server in one period of absence.
type probeKey struct {
	group, id string
	since     boottime.Time
}

// probeFormerServers finds out which former servers of a group are not running, while this can
// be determined: later, behind a network partition, a server that ended long ago cannot be
// told from a running one. Only the VM with rank 0 for the group probes; the others learn the
// result from the roster.
func (e *Process) probeFormerServers(ctx context.Context, g *dispatch.Group) {
	for _, f := range g.FormerServers() {
		if f.Gone || !e.reachability.isSettled(f.Domain) || e.rank(g.Name) > 0 {
			continue
		}
		key := probeKey{g.Name, f.ID, f.Since}
		e.mu.Lock()
		last, probed := e.probes[key]
		due := !probed || boottime.Since(last) >= formerProbeInterval
		if due {
			e.probes[key] = boottime.Now()
			maps.DeleteFunc(e.probes, func(_ probeKey, at boottime.Time) bool { return boottime.Since(at) > probeRecordLifetime })
		}
		e.mu.Unlock()
		if !due {
			continue
		}
		go func() {
			responding := e.isResponding(ctx, g.Name, f)
			observed := f.Domain == e.settings.Domain || e.mesh.IsDomainObservedSince(f.Domain, last)
			// The server was probed before a state update from its domain, and does not
			// respond after it. In the domain of this VM no update is needed.
			if !responding && probed && observed && (e.isAcknowledgedComplete(g) || e.refreshLogEnd(ctx, g)) {
				g.MarkFormerServerGone(f.ID)
			}
		}()
	}
}

// refreshLogEnd reports whether the primary stated a position that covers every commit
// acknowledged before the call. Unlike isAcknowledgedComplete it needs no other VM, and no commit
// since the VMs started.
func (e *Process) refreshLogEnd(ctx context.Context, g *dispatch.Group) bool {
	ctx, cancel := context.WithTimeout(ctx, logEndTimeout)
	defer cancel()
	now := boottime.Now()
	deadline := now.Add(logEndTimeout)
	if err := g.RefreshPosition(ctx, &dispatch.Call{Arrived: now, Deadline: deadline, LatencyDeadline: deadline}); err != nil {
		e.log.WithError(err).WithFields(logrus.Fields{"event": "roster", "group": g.Name}).Info("end of the primary's log is unknown")
		return false
	}
	return g.History.Newest().At >= now
}

// isResponding reports whether the former server, or another one of the group at its address,
// answers. Errors other than Unreachable and WrongServer count as an answer.
func (e *Process) isResponding(ctx context.Context, group string, f dispatch.FormerServer) bool {
	for _, id := range []string{f.ID, ""} {
		call, cancel := context.WithTimeout(ctx, formerDialTimeout)
		c, err := e.platform.Dialer.Dial(call, f.Address, group, id, "")
		cancel()
		if err == nil {
			c.Close()
			return true
		}
		if !errkind.Is(err, errkind.WrongServer) {
			return !errkind.Is(err, errkind.Unreachable)
		}
	}
	return false // a server of another group has the address
}
