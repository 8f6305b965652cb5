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
	// formerInterval is the pause between two looks at a former server: long enough for
	// its failure domain to be heard of between two.
	formerInterval = time.Second
	// lookTime is how long a look is remembered: that of a server that is looked at is
	// renewed at each interval.
	lookTime = time.Minute
	// formerWait bounds the opening of a connection to one: several handshakes and a busy
	// slot.
	formerWait = 300 * time.Millisecond
)

// lookKey names a former server in one absence.
type lookKey struct {
	group, id string
	since     boottime.Time
}

// checkFormer finds out which former servers of a group do not run, while that can be told:
// later, behind a cut, one that has ended long ago looks like one that goes on. Only the
// first VM of a group looks; the others know by the roster.
func (e *Process) checkFormer(ctx context.Context, g *dispatch.Group) {
	for _, f := range g.FormerServers() {
		if f.Gone || !e.touch.settled(f.Domain) || e.rank(g.Name) > 0 {
			continue
		}
		key := lookKey{g.Name, f.ID, f.Since}
		e.mu.Lock()
		last, looked := e.looks[key]
		due := !looked || boottime.Since(last) >= formerInterval
		if due {
			e.looks[key] = boottime.Now()
			maps.DeleteFunc(e.looks, func(_ lookKey, at boottime.Time) bool { return boottime.Since(at) > lookTime })
		}
		e.mu.Unlock()
		if !due {
			continue
		}
		go func() {
			runs := e.mayRun(ctx, g.Name, f)
			heard := f.Domain == e.settings.Domain || e.mesh.DomainHeard(f.Domain, last)
			// It did not answer before its domain was heard of, and not after it.
			if !runs && looked && heard && e.isWitnessed(g) {
				g.MarkFormerServerGone(f.ID)
			}
		}()
	}
}

// mayRun reports whether the former server, or another one of the group at its address,
// answers.
func (e *Process) mayRun(ctx context.Context, group string, f dispatch.FormerServer) bool {
	for _, id := range []string{f.ID, ""} {
		call, cancel := context.WithTimeout(ctx, formerWait)
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
