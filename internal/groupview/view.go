package groupview

import (
	"time"

	"chicoryline/internal/services"
)

// Instance is the state of one instance as a Watcher sees it.
type Instance struct {
	services.Instance
	// Report is the answer to the newest answered probe.
	Report
	// Reachable reports whether the newest finished probe was answered.
	Reachable bool
	// ReachedAt is the time of the newest proof whose primary position the instance
	// has reached; zero if there is none.
	ReachedAt time.Time
}

// View is a snapshot of a group. It is immutable and may be shared.
type View struct {
	// Group is the group's name.
	Group string
	// TakenAt is the time of the snapshot on the Watcher's clock.
	TakenAt time.Time
	// Started is the time at which the Watcher started.
	Started time.Time
	// Instances are in the order of the group's configuration.
	Instances []Instance

	proof    LeaderProof
	hasProof bool
	lifetime time.Duration
}

// Proof returns the newest proof, however old.
func (v View) Proof() (LeaderProof, bool) { return v.proof, v.hasProof }

// Primary returns the confirmed primary and its term: that of the newest proof, if the
// proof is not older than Config.ProofLifetime.
func (v View) Primary() (id string, term uint64, ok bool) {
	if !v.hasProof || v.TakenAt.Sub(v.proof.At) > v.lifetime {
		return "", 0, false
	}
	return v.proof.Primary, v.proof.Term, true
}

// ProvedAt returns the time of the newest proof, or the zero time.
func (v View) ProvedAt() time.Time { return v.proof.At }

// Instance returns the state of the instance with the id.
func (v View) Instance(id string) (Instance, bool) {
	for _, i := range v.Instances {
		if i.ID == id {
			return i, true
		}
	}
	return Instance{}, false
}

// AgeBound returns an upper bound of the instance's staleness. The bound grows with
// now until the instance reaches a newer position. AgeBound returns false if the
// instance has not reached the position of any proof.
func (v View) AgeBound(id string, now time.Time) (time.Duration, bool) {
	i, ok := v.Instance(id)
	if !ok || i.ReachedAt.IsZero() {
		return 0, false
	}
	return now.Sub(i.ReachedAt), true
}

// MaxFence returns the highest fence among the reports.
func (v View) MaxFence() uint64 {
	var fence uint64
	for _, i := range v.Instances {
		fence = max(fence, i.Status.Fence)
	}
	return fence
}
