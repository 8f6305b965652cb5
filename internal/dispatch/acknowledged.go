package dispatch

import (
	"github.com/sirupsen/logrus"

	"chicoryline/internal/boottime"
	"chicoryline/internal/position"
	"chicoryline/internal/statement"
)

// acknowledged is the highest position that an acknowledged commit or write was
// answered with, at this VM or at one in touch. It never falls; the log of a later
// primary is above that of an earlier one by its term.
//
// A server answers with the end of its log, so the position covers the commit and may
// name commits beyond it that were under way then. Positions of other answers do not
// count: a primary whose commits no replica receives goes on naming them.
type acknowledged struct {
	position position.Position
	// at is when the position was learned.
	at boottime.Time
}

// raise takes a position that was learned at the moment.
func (a *acknowledged) raise(p position.Position, at boottime.Time) {
	if p.Compare(a.position) > 0 {
		a.position, a.at = p, at
	}
}

// fields returns the position and its age for a line.
func (a acknowledged) fields() logrus.Fields {
	return logrus.Fields{"acknowledged": a.position.String(), "acknowledged_age_ms": boottime.Age(a.at)}
}

// Acknowledged returns the highest position known to be acknowledged; zero if none is.
// What other VMs acknowledge is known after an interval of the mesh (mesh.Interval),
// between cells after those of the leaders as well. A VM that misses answers of the
// primary asks the others of its cell at short intervals.
func (g *Group) Acknowledged() position.Position {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.acknowledged.position
}

// ObserveAcknowledged takes the position that an acknowledged commit was answered with,
// here or at another VM.
func (g *Group) ObserveAcknowledged(p position.Position) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.acknowledged.raise(p, boottime.Now())
}

// acknowledgeLateAnswer takes the answer to a commit or write that came too late for its caller.
func (g *Group) acknowledgeLateAnswer(r statement.Result) {
	if isAnswer(r) && r.Err == nil {
		g.ObserveAcknowledged(r.Position)
	}
}
