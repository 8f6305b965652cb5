package failover

import (
	"time"

	"chicoryline/internal/backend"
)

// DomainView is what one steward sees of a group from its failure domain.
type DomainView struct {
	VM     string
	Domain string
	// Proved reports whether the steward ever saw a primary proved; Primary and
	// Term name the newest.
	Proved  bool
	Primary string
	Term    uint64
	// Silence is the time since that proof was last renewed, or since the
	// steward's start.
	Silence time.Duration
	// MaxFence is the highest fence among the instances.
	MaxFence uint64
}

// aged returns the view as it stands some time later. A steward that did not
// tick for longer than pauseGap was paused and cannot tell whether the primary
// was silent.
func (v DomainView) aged(elapsed, pauseThreshold time.Duration) DomainView {
	if elapsed > pauseThreshold {
		v.Proved, v.Silence = false, 0
		return v
	}
	v.Silence += elapsed
	return v
}

// vote is a failure domain's stand on the suspicion.
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

// decision is the decision on a suspicion.
type decision uint8

const (
	decisionPending decision = iota
	decisionDepose
	decisionRefuse
)

// decide takes the views of stewards, at most one for each VM, and the number
// of failure domains that have stewards. One domain that sees the primary
// proved refuses; a majority of domains that see it silent deposes it. A domain
// that cannot be asked counts for neither.
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
