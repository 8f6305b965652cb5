package failover

import (
	"time"

	"chicoryline/internal/backend"
)

// DomainView is one steward's view of its group, observed from its failure domain. Stewards
// exchange it before they depose a primary.
type DomainView struct {
	VM     string
	Domain string
	// Proved reports whether the steward has ever received a leader proof (see
	// groupview.LeaderProof). Primary and Term are those of the newest proof.
	Proved  bool
	Primary string
	Term    uint64
	// Silence is the time since the proof was last renewed, or since the steward's start.
	Silence time.Duration
	// MaxFence is the highest fence that the steward has seen.
	MaxFence uint64
}

// aged returns the view as of some time later. A steward that has not processed a tick for
// longer than pauseThreshold was paused and can't tell whether the primary was silent.
func (v DomainView) aged(elapsed, pauseThreshold time.Duration) DomainView {
	if elapsed > pauseThreshold {
		v.Proved, v.Silence = false, 0
		return v
	}
	v.Silence += elapsed
	return v
}

// vote is a failure domain's vote on whether the primary has failed.
type vote uint8

const (
	voteAbstain vote = iota
	voteSilent
	voteHealthy
)

func (v DomainView) vote(suspectAfter time.Duration) vote {
	switch {
	case v.Silence >= suspectAfter:
		return voteSilent
	case v.Proved:
		return voteHealthy
	}
	return voteAbstain
}

// decision is the outcome of the vote on deposing the primary.
type decision uint8

const (
	decisionPending decision = iota
	decisionDepose
	decisionRefuse
)

// decide evaluates the views of stewards, at most one for each VM. domains is the number of
// failure domains that have stewards. A single domain that has a current leader proof
// vetoes the deposition; otherwise a majority of the domains must report the primary as
// silent. A domain that does not answer counts for neither side.
func decide(views []DomainView, domains int, suspectAfter time.Duration) decision {
	silent := map[string]bool{}
	for _, v := range views {
		switch v.vote(suspectAfter) {
		case voteHealthy:
			return decisionRefuse
		case voteSilent:
			silent[v.Domain] = true
		}
	}
	if len(silent) >= backend.Majority(domains) {
		return decisionDepose
	}
	return decisionPending
}
