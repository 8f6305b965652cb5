package groupview

import (
	"sort"
	"time"

	"chicoryline/internal/backend"
	"chicoryline/internal/position"
)

// Report is the answer to one probe of an instance.
type Report struct {
	Status backend.Status
	// Sequence numbers the probes of one Watcher in the order of sending; 0 means
	// that no probe has been answered yet.
	Sequence uint64
	// Sent is the time at which the probe was sent.
	Sent time.Time
	// Received is the time at which its answer arrived.
	Received time.Time
}

// LeaderProof shows that Primary was the leader of the group at time At: a majority of
// the instances, including the primary, answered probes sent at At or later and
// reported no fence above Term.
type LeaderProof struct {
	Primary string
	Term    uint64
	// At is the send time of the oldest probe that the proof is based on.
	At time.Time
	// Sequence is the sequence of that probe.
	Sequence uint64
	// Position is the primary's log position, read after At.
	Position position.Position
}

// ProveLeader returns the proof with the highest term that follows from the newest
// reports of a group of the given size, and false if there is none. Each instance
// appears at most once in reports.
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

// proveCandidate returns a proof for the given primary if a majority supports it. The
// proof uses the newest supporting reports and is dated by the oldest of them.
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

// maxStalenessPoints bounds the proofs that are kept to bound the staleness of replicas.
const maxStalenessPoints = 512

// stalenessPoint is the time of a proof and the primary's position read after it: an
// instance that has reached the position holds every write acknowledged before the
// time.
type stalenessPoint struct {
	at       time.Time
	position position.Position
}

// stalenessTracker finds the newest point that each instance has reached. The points
// are in ascending order of both time and position.
type stalenessTracker struct {
	points  []stalenessPoint
	reached map[string]stalenessPoint
}

func newStalenessTracker() *stalenessTracker {
	return &stalenessTracker{reached: map[string]stalenessPoint{}}
}

// addProof appends a point. A proof that is older than the newest point is ignored.
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

// downsample drops every second point of the older half. The staleness bounds remain
// valid but become coarser for instances that are far behind.
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

// addReport records the instance's position. If the log was truncated below the point
// that it had reached, the point is determined again.
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
