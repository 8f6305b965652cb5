package groupview

import (
	"sort"
	"time"

	"chicoryline/internal/backend"
	"chicoryline/internal/position"
)

// Report is one answered probe of an instance.
type Report struct {
	Status backend.Status
	// Sequence orders the sending of probes within one Watcher; 0 means that no
	// probe was answered yet.
	Sequence uint64
	// Sent is the time at which the probe was sent.
	Sent time.Time
	// Received is the time at which its answer arrived.
	Received time.Time
}

// LeaderProof states that at the time At the named instance led the group: a
// majority of the instances, the primary included, answered probes that were
// sent at At or later and stood at no fence above Term.
type LeaderProof struct {
	Primary string
	Term    uint64
	// At is the send time of the oldest probe that the proof rests on.
	At time.Time
	// Sequence is that probe's sequence.
	Sequence uint64
	// Position is the primary's log position, read after At.
	Position position.Position
}

// ProveLeader returns the proof with the highest term that the newest reports of a
// group of the given size allow. Each instance appears at most once.
func ProveLeader(reports []Report, size int) (LeaderProof, bool) {
	var best LeaderProof
	found := false
	for _, r := range reports {
		if r.Sequence == 0 || !r.Status.IsActivePrimary() {
			continue
		}
		proof, ok := proveCandidate(r, reports, size)
		if ok && (!found || proof.Term > best.Term) {
			best, found = proof, true
		}
	}
	return best, found
}

// proveCandidate takes the newest supporting reports and dates the proof by the
// oldest of them.
func proveCandidate(primary Report, reports []Report, size int) (LeaderProof, bool) {
	term := primary.Status.Fence
	var support []Report
	for _, r := range reports {
		if r.Sequence != 0 && r.Status.Instance != primary.Status.Instance && r.Status.Fence <= term {
			support = append(support, r)
		}
	}
	needed := backend.Majority(size) - 1
	if len(support) < needed {
		return LeaderProof{}, false
	}
	sort.Slice(support, func(i, j int) bool { return support[i].Sequence > support[j].Sequence })
	oldest := primary
	if needed > 0 && support[needed-1].Sequence < oldest.Sequence {
		oldest = support[needed-1]
	}
	return LeaderProof{
		Primary:  primary.Status.Instance,
		Term:     term,
		At:       oldest.Sent,
		Sequence: oldest.Sequence,
		Position: primary.Status.Log,
	}, true
}

// maxStalenessPoints bounds the proofs that are kept for the age bounds of replicas.
const maxStalenessPoints = 512

// stalenessPoint is a proof's date and the primary's position read after it: an
// instance that holds the position holds every write acknowledged before the date.
type stalenessPoint struct {
	at       time.Time
	position position.Position
}

// stalenessTracker finds for each instance the newest point that it has reached. Its
// points ascend in both time and position.
type stalenessTracker struct {
	points  []stalenessPoint
	reached map[string]stalenessPoint
}

func newStalenessTracker() *stalenessTracker {
	return &stalenessTracker{reached: map[string]stalenessPoint{}}
}

// addProof appends a point; a proof older than the newest point adds nothing.
func (a *stalenessTracker) addProof(p LeaderProof) {
	if n := len(a.points); n > 0 {
		last := &a.points[n-1]
		if p.At.Before(last.at) || p.Position.Compare(last.position) < 0 {
			return
		}
		if p.Position == last.position {
			last.at = p.At
			return
		}
	}
	a.points = append(a.points, stalenessPoint{p.At, p.Position})
	if len(a.points) > maxStalenessPoints {
		a.downsample()
	}
}

// downsample drops every second point of the older half. Bounds stay true and grow
// coarser for instances that are far behind.
func (a *stalenessTracker) downsample() {
	half := len(a.points) / 2
	kept := a.points[:0]
	for i, p := range a.points {
		if i >= half || i%2 == 0 {
			kept = append(kept, p)
		}
	}
	a.points = kept
}

// addReport records the instance's position. A log that was cut back below the
// point it had reached is judged anew.
func (a *stalenessTracker) addReport(instance string, log position.Position) {
	if old, ok := a.reached[instance]; ok && !log.AtLeast(old.position) {
		delete(a.reached, instance)
	}
	i := sort.Search(len(a.points), func(i int) bool { return !log.AtLeast(a.points[i].position) })
	if i == 0 {
		return
	}
	point := a.points[i-1]
	if old, ok := a.reached[instance]; !ok || point.at.After(old.at) {
		a.reached[instance] = point
	}
}
