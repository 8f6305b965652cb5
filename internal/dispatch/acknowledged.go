package dispatch

import (
	"github.com/sirupsen/logrus"

	"chicoryline/internal/boottime"
	"chicoryline/internal/position"
	"chicoryline/internal/statement"
)

// acknowledged is the highest position returned with an acknowledged commit or write, at this
// VM or at a reachable one. It never decreases; the log of a later primary ranks above that of
// an earlier one by its term.
//
// A server answers with the end of its log, so the position covers the commit and may include
// other commits that were in flight at the time. Positions in other answers do not count: a
// primary whose commits reach no replica still returns them.
type acknowledged struct {
	position position.Position
	// at is when the position was observed.
	at boottime.Time
}

// raise sets the position, observed at the given time, if it is higher than the present one.
func (a *acknowledged) raise(p position.Position, at boottime.Time) {
	if p.Compare(a.position) > 0 {
		a.position, a.at = p, at
	}
}

// fields returns the position and its age as log fields.
func (a acknowledged) fields() logrus.Fields {
	return logrus.Fields{"acknowledged": a.position.String(), "acknowledged_age_ms": boottime.AgeMillis(a.at)}
}

// Acknowledged returns the highest position known to be acknowledged; zero if none is.
// Positions acknowledged at other VMs arrive after one interval of the mesh
// (mesh.GossipInterval); between cells, the intervals of the cells' leaders add to it. A VM that
// misses answers of the primary polls the other VMs of its cell at short intervals.
func (g *Group) Acknowledged() position.Position {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.acknowledged.position
}

// ObserveAcknowledged records the position returned with an acknowledged commit, here or at
// another VM.
func (g *Group) ObserveAcknowledged(p position.Position) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.acknowledged.raise(p, boottime.Now())
}

// acknowledgeLateAnswer records the answer to a commit or write that arrived too late for its
// caller.
func (g *Group) acknowledgeLateAnswer(r statement.Result) {
	if isAnswer(r) && r.Err == nil {
		g.ObserveAcknowledged(r.Position)
	}
}
