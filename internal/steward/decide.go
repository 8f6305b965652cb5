// Package steward implements failover and planned switchover of database groups. A steward
// is the failover coordinator of a group: it replaces a primary that is leaving, that no VM
// gets answers from, or whose commits get no answer. One VM at a time is the steward of a
// group, under a lease that a row in the store records. The row also holds a fencing token,
// which increases with every promotion order.
package steward

import (
	"time"

	"chicoryline/internal/boottime"
	"chicoryline/internal/position"
)

const (
	// SuspectTimeout is how long all reachable VMs have to get no answer from a primary
	// before it is replaced. It is shorter than a process restart and longer than the
	// retransmission of a lost packet, which takes up to 200 ms. The steward's own probe
	// adds up to 150 ms.
	SuspectTimeout = 550 * time.Millisecond
	// MissingTimeout is how long a group may have no known primary before a server is
	// promoted.
	MissingTimeout = 700 * time.Millisecond
	// UnseenTimeout replaces MissingTimeout at a VM that has not seen a primary of the group
	// since it started. It cannot tell a lost primary from one whose entry expired while the
	// store was unavailable. Such entries are back within 2 s of the store's return.
	UnseenTimeout = GoneTimeout
	// StuckCommitTimeout is how long commits have to stay unanswered while the primary
	// answers other statements: it may have lost its replicas. Statements run up to 400 ms.
	StuckCommitTimeout = 1200 * time.Millisecond
	// RankDelay is the additional delay for each reachable VM that precedes this one in the
	// group's order of VMs, so that normally only one VM acts.
	RankDelay = 250 * time.Millisecond
)

// Observation is what a VM knows about a group's primary. A time of 0 means never.
type Observation struct {
	Now boottime.Time
	// Changing reports that a promotion was ordered recently and is expected to take effect.
	Changing bool
	// Known reports that the group has a known primary, Leaving that it will stop.
	Known, Leaving bool
	// Unseen reports that no primary of the group has been known since this VM started.
	Unseen bool
	// UnknownSince is when the group lost its primary, when a server of an Unseen one was first
	// known or, if Leaving, when the primary began to leave.
	UnknownSince boottime.Time
	// Answered is when the primary last answered any reachable VM. FailingSince is when it
	// first failed to answer this VM after that.
	Answered, FailingSince boottime.Time
	// Committed and StuckSince are the corresponding times for commits.
	Committed, StuckSince boottime.Time
	// UnfinishedSince is when an unfinished primary change last made observable progress.
	UnfinishedSince boottime.Time
	// DepartingSince is when a leaving replica that is not retired came close to its end.
	DepartingSince boottime.Time
	// Rank is the number of reachable VMs that precede this one in the group's order.
	Rank int
}

// Reason is why a steward makes an attempt, usually to replace the primary.
type Reason string

const (
	None        Reason = ""
	Leaving     Reason = "primary is leaving"
	Missing     Reason = "no server claims to lead"
	Silent      Reason = "primary does not answer"
	CommitStuck Reason = "commits get no answer"
	Unfinished  Reason = "an earlier change is not finished"
	// Departing is the reason of an attempt that leaves the primary as it is.
	Departing Reason = "a leaving replica may end"
)

// Decide returns the reason for an attempt now, or None.
func Decide(o Observation) Reason {
	wait := time.Duration(o.Rank) * RankDelay
	missingTimeout := MissingTimeout
	if o.Unseen {
		missingTimeout = UnseenTimeout
	}
	switch {
	case o.Changing:
		return None
	case o.Known && o.Leaving && o.Now.Sub(o.UnknownSince) >= wait:
		return Leaving
	case !o.Known && o.UnknownSince != 0 && o.Now.Sub(o.UnknownSince) >= missingTimeout+wait:
		return Missing
	case o.Known && o.FailingSince > o.Answered && o.Now.Sub(max(o.Answered, o.FailingSince)) >= SuspectTimeout+wait:
		return Silent
	case o.Known && o.StuckSince > o.Committed && o.Now.Sub(max(o.Committed, o.StuckSince)) >= StuckCommitTimeout+wait:
		return CommitStuck
	case o.UnfinishedSince != 0 && o.Now.Sub(o.UnfinishedSince) >= leaseDuration+wait:
		return Unfinished
	case o.isPrimaryHealthy() && o.DepartingSince != 0 && o.Now.Sub(o.DepartingSince) >= wait:
		return Departing
	}
	return None
}

// isPrimaryHealthy reports whether nothing indicates that the primary has to be replaced soon. An
// attempt for another reason would delay that.
func (o Observation) isPrimaryHealthy() bool {
	return o.Known && !o.Leaving && o.FailingSince <= o.Answered && o.StuckSince <= o.Committed
}

// GoneTimeout is how long the entry of a server that does not answer has to be missing
// before the server counts as gone. Entries that expired during an outage of the store are
// restored within 2 s.
const GoneTimeout = 2500 * time.Millisecond

// Replica is a candidate for promotion.
type Replica struct {
	ID       string
	Received position.Position
	Leaving  bool
	Cold     bool
	// Paused reports that it receives nothing from the primary.
	Paused bool
	// Evacuated reports that its failure domain is evacuated, so that it must not be promoted.
	Evacuated bool
}

// ChooseTarget returns the replica with the highest received position that is not in an evacuated
// failure domain, and prefers one that is not leaving among equals, then one that is not cold. It
// returns "" if there is none.
func ChooseTarget(replicas []Replica) string {
	best := -1
	for i, r := range replicas {
		if r.Evacuated {
			continue
		}
		if best < 0 {
			best = i
			continue
		}
		switch c := r.Received.Compare(replicas[best].Received); {
		case c > 0, c == 0 && !r.Leaving && replicas[best].Leaving,
			c == 0 && r.Leaving == replicas[best].Leaving && !r.Cold && replicas[best].Cold:
			best = i
		}
	}
	if best < 0 {
		return ""
	}
	return replicas[best].ID
}

// IsSafeTarget reports whether the target holds every commit that the primary may have
// acknowledged or may acknowledge before the promotion: all other replicas are paused, and
// none has received more than the target.
func IsSafeTarget(replicas []Replica, target string) bool {
	var at position.Position
	for _, r := range replicas {
		if r.ID == target {
			at = r.Received
		}
	}
	for _, r := range replicas {
		if r.ID != target && (!r.Paused || !at.AtLeast(r.Received)) {
			return false
		}
	}
	return true
}
