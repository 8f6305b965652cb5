package router

import (
	"math/rand/v2"
	"slices"
	"time"

	"chicoryline/internal/position"
)

const (
	// freshEnough is the part of the accepted age below which a replica that
	// had dropped out returns. The distance to 1 keeps it from switching on
	// every small change of its age.
	freshEnough = 0.7
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
	// Dropped tells that it was left out at the last choice for its age.
	Dropped bool
}

// Need is what a read asks of a replica.
type Need struct {
	// Current asks for data no older than the request. Any replica may take it:
	// its owner waits for the read index.
	Current bool
	Min     position.Position
	MaxAge  time.Duration
}

// eligible reports whether the replica may serve the need by what is known here.
// The pool owner decides again with newer knowledge.
func (c Candidate) eligible(n Need) bool {
	if n.Current {
		return c.AgeKnown && c.Age <= currentAge
	}
	limit := n.MaxAge
	if c.Dropped {
		limit = time.Duration(float64(limit) * freshEnough)
	}
	return c.AgeKnown && c.Age <= limit && c.Log.AtLeast(n.Min)
}

// currentAge is the age over which a replica is not asked for current data,
// because it would hardly reach the read index in time.
const currentAge = 400 * time.Millisecond

// Choose picks a replica for the need: among the eligible ones of this failure
// domain, else among all eligible ones, the less loaded of two random ones.
func Choose(candidates []Candidate, need Need, rnd *rand.Rand) (Candidate, bool) {
	var local, far []Candidate
	for _, c := range candidates {
		switch {
		case !c.eligible(need):
		case c.Local:
			local = append(local, c)
		default:
			far = append(far, c)
		}
	}
	if len(local) > 0 {
		return lessLoaded(local, rnd), true
	}
	if len(far) > 0 {
		return lessLoaded(far, rnd), true
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

// without returns the candidates less the named ones.
func without(candidates []Candidate, excluded []string) []Candidate {
	if len(excluded) == 0 {
		return candidates
	}
	return slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool {
		return slices.Contains(excluded, c.Instance)
	})
}
