package groupview

import (
	"time"

	"chicoryline/internal/services"
)

// Instance is what a Watcher knows of one instance.
type Instance struct {
	services.Instance
	// Report is the newest answered probe.
	Report
	// Reachable reports whether the newest finished probe was answered.
	Reachable bool
	// ReachedAt dates the newest proof whose primary position the instance has
	// since been seen to reach; zero if there is none.
	ReachedAt time.Time
}

// View is a snapshot of a group. It is immutable and may be shared.
type View struct {
	// Group is the group's name.
	Group string
	// TakenAt is the time of the snapshot by the Watcher's clock.
	TakenAt time.Time
	// Started is the time at which the Watcher started.
	Started time.Time
	// Instances are in the order of the group's configuration.
	Instances []Instance

	proof    LeaderProof
	hasProof bool
	lifetime time.Duration
}

// Proof returns the newest proof, of any age.
func (v View) Proof() (LeaderProof, bool) { return v.proof, v.hasProof }

// Primary returns the primary and its term if a proof younger than the
// Watcher's ProofLifetime shows that it leads.
func (v View) Primary() (id string, term uint64, ok bool) {
	if !v.hasProof || v.TakenAt.Sub(v.proof.At) > v.lifetime {
		return "", 0, false
	}
	return v.proof.Primary, v.proof.Term, true
}

// ProvedAt returns the date of the newest proof, or the zero time.
func (v View) ProvedAt() time.Time { return v.proof.At }

// Instance returns what is known of the instance.
func (v View) Instance(id string) (Instance, bool) {
	for _, i := range v.Instances {
		if i.ID == id {
			return i, true
		}
	}
	return Instance{}, false
}

// AgeBound returns an upper bound on the age of the data at the instance. It
// grows with now while the instance is not seen to advance. It returns false if
// the instance has reached no proved position.
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
