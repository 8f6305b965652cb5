package entry

import (
	"context"
	"maps"
	"time"

	"chicoryline/internal/boottime"
	"chicoryline/internal/dispatch"
	"chicoryline/internal/errkind"
)

const (
	// formerProbeInterval is the pause between two looks at a former server: long enough for
	// its failure domain to be heard of between two.
	formerProbeInterval = time.Second
	// probeRecordLifetime is how long a look is remembered: that of a server that is looked at is
	// renewed at each interval.
	probeRecordLifetime = time.Minute
	// formerDialTimeout bounds the opening of a connection to one: several handshakes and a busy
	// slot.
	formerDialTimeout = 300 * time.Millisecond
)

// probeKey names a former server in one absence.
type probeKey struct {
	group, id string
	since     boottime.Time
}

// probeFormerServers finds out which former servers of a group do not run, while that can be told:
// later, behind a cut, one that has ended long ago looks like one that goes on. Only the
// first VM of a group looks; the others know by the roster.
func (e *Process) probeFormerServers(ctx context.Context, g *dispatch.Group) {
	for _, f := range g.Former() {
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
			// It did not answer before its domain was heard of, and not after it.
			if !responding && probed && observed && e.isAcknowledgedComplete(g) {
				g.NoteGone(f.ID)
			}
		}()
	}
}

// isResponding reports whether the former server, or another one of the group at its address,
// answers.
func (e *Process) isResponding(ctx context.Context, group string, f dispatch.Former) bool {
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
