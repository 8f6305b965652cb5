package groupview

import (
	"time"

	"chicoryline/internal/services"
)

// Tracker computes snapshots of a group from the results of probes. It neither sends
// probes nor reads a clock, so it can be tested deterministically. It is not safe for
// concurrent use.
type Tracker struct {
	group     string
	started   time.Time
	lifetime  time.Duration
	instances []Instance
	proof     LeaderProof
	hasProof  bool
	staleness *stalenessTracker
}

// NewTracker returns a Tracker for the group without any reports. View.Primary ignores
// proofs older than lifetime.
func NewTracker(group services.Group, lifetime time.Duration) *Tracker {
	t := &Tracker{group: group.Name, lifetime: lifetime, staleness: newStalenessTracker()}
	for _, i := range group.Instances {
		t.instances = append(t.instances, Instance{Instance: i})
	}
	return t
}

// RecordReport records an answered probe of the instance with index i. The reports of
// an instance must be recorded in the order of their sequences.
func (t *Tracker) RecordReport(i int, report Report) {
	report.Status.Instance = t.instances[i].ID
	t.instances[i].Report = report
	t.instances[i].Reachable = true
	t.updateProof()
	t.staleness.addReport(t.instances[i].ID, report.Status.Log)
}

// RecordFailure records a probe that was not answered. It reports whether the instance
// was reachable before.
func (t *Tracker) RecordFailure(i int) bool {
	wasReachable := t.instances[i].Reachable
	t.instances[i].Reachable = false
	return wasReachable
}

// Proof returns the newest proof, however old.
func (t *Tracker) Proof() (LeaderProof, bool) { return t.proof, t.hasProof }

// Snapshot returns the view at the given time.
func (t *Tracker) Snapshot(now time.Time) View {
	v := View{
		Group:     t.group,
		TakenAt:   now,
		Started:   t.started,
		Instances: make([]Instance, len(t.instances)),
		proof:     t.proof,
		hasProof:  t.hasProof,
		lifetime:  t.lifetime,
	}
	copy(v.Instances, t.instances)
	for i := range v.Instances {
		v.Instances[i].ReachedAt = t.staleness.reached[v.Instances[i].ID].at
	}
	return v
}

// updateProof replaces the proof, unless the current one has a higher term or is newer.
func (t *Tracker) updateProof() {
	reports := make([]Report, len(t.instances))
	for i := range t.instances {
		reports[i] = t.instances[i].Report
	}
	proof, ok := ProveLeader(reports, len(reports))
	if !ok || t.hasProof && isOlder(proof, t.proof) {
		return
	}
	t.proof, t.hasProof = proof, true
	t.staleness.addProof(proof)
}

func isOlder(p, q LeaderProof) bool {
	if p.Term != q.Term {
		return p.Term < q.Term
	}
	return p.Sequence < q.Sequence
}
