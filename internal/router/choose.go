package router

import (
	"math/rand/v2"
	"slices"
	"time"

	"chicoryline/internal/position"
)

const (
	// readmitAgeFraction is the fraction of the accepted age below which a replica
	// that was excluded for its age becomes eligible again. The hysteresis avoids
	// flapping on small changes of its age.
	readmitAgeFraction = 0.7
)

// Candidate is one replica with the state known to this VM.
type Candidate struct {
	Instance string
	// Local is set if the replica is in this VM's failure domain.
	Local bool
	Log   position.Position
	// Age is an upper bound on the age of the replica's data at the time of the choice.
	Age      time.Duration
	AgeKnown bool
	// Outstanding is the number of requests that this VM has in flight at the instance.
	Outstanding int
	// TooStale is set if the replica was excluded for its age at the last choice.
	TooStale bool
}

// Requirement is the freshness that a read requires of a replica.
type Requirement struct {
	// Current requires data no older than the request. Any replica may serve such a
	// read: its pool owner waits until the replica has reached the read index.
	Current bool
	Min     position.Position
	MaxAge  time.Duration
}

// isEligible reports whether the replica may serve the read, according to the state known
// to this VM. The pool owner checks again with newer state.
func (c Candidate) isEligible(n Requirement) bool {
	if n.Current {
		return c.AgeKnown && c.Age <= maxAgeForCurrent
	}
	limit := n.MaxAge
	if c.TooStale {
		limit = time.Duration(float64(limit) * readmitAgeFraction)
	}
	return c.AgeKnown && c.Age <= limit && c.Log.AtLeast(n.Min)
}

// maxAgeForCurrent is the age above which a replica gets no reads of current data,
// because it would rarely reach the read index in time.
const maxAgeForCurrent = 400 * time.Millisecond

// Choose selects a replica that meets the requirement: the less loaded of two randomly
// chosen eligible replicas in this failure domain or, if there are none, in the others.
func Choose(candidates []Candidate, required Requirement, rnd *rand.Rand) (Candidate, bool) {
	var local, remote []Candidate
	for _, c := range candidates {
		switch {
		case !c.isEligible(required):
		case c.Local:
			local = append(local, c)
		default:
			remote = append(remote, c)
		}
	}
	if len(local) > 0 {
		return lessLoaded(local, rnd), true
	}
	if len(remote) > 0 {
		return lessLoaded(remote, rnd), true
	}
	return Candidate{}, false
}

func lessLoaded(list []Candidate, rnd *rand.Rand) Candidate {
	a := list[rnd.IntN(len(list))]
	b := list[rnd.IntN(len(list))]
	if b.Outstanding < a.Outstanding {
		return b
	}
	return a
}

// excluding returns the candidates without the named ones.
func excluding(candidates []Candidate, excluded []string) []Candidate {
	if len(excluded) == 0 {
		return candidates
	}
	return slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool {
		return slices.Contains(excluded, c.Instance)
	})
}
