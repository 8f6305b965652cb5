package router

import (
	"math/rand/v2"
	"slices"
	"time"

	"chicoryline/internal/position"
)

const (
	// readmitAgeFraction is the part of the accepted age below which a replica that
	// had dropped out returns. The distance to 1 keeps it from switching on
	// every small change of its age.
	readmitAgeFraction = 0.7
)

// Candidate is one replica as the entry sees it.
type Candidate struct {
	Instance string
	// Local tells that it is in this VM's failure domain.
	Local bool
	Log   position.Position
	// Age is an upper bound at the time of the choice.
	Age      time.Duration
	AgeKnown bool
	// Outstanding is the number of this VM's requests at the instance.
	Outstanding int
	// TooStale tells that it was left out at the last choice for its age.
	TooStale bool
}

// Requirement is what a read asks of a replica.
type Requirement struct {
	// Current asks for data no older than the request. Any replica may take it:
	// its owner waits for the read index.
	Current bool
	Min     position.Position
	MaxAge  time.Duration
}

// isEligible reports whether the replica may serve the need by what is known here.
// The pool owner decides again with newer knowledge.
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

// maxAgeForCurrent is the age over which a replica is not asked for current data,
// because it would hardly reach the read index in time.
const maxAgeForCurrent = 400 * time.Millisecond

// Choose picks a replica for the need: among the eligible ones of this failure
// domain, else among all eligible ones, the less loaded of two random ones.
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

// excluding returns the candidates less the named ones.
func excluding(candidates []Candidate, excluded []string) []Candidate {
	if len(excluded) == 0 {
		return candidates
	}
	return slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool {
		return slices.Contains(excluded, c.Instance)
	})
}
