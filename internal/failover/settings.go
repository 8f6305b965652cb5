package failover

import "time"

// Settings are the durations and sizes that a steward works with.
//
// A primary is suspected once no proof of it was renewed for SuspectAfter and
// may be deposed after DeposeAfter plus the rank's delay. A slow primary whose
// answers take less than SuspectAfter renews its proof with each answer and is
// never suspected; one that stalls for longer is deposed only if it stays silent
// until stewards in a majority of the failure domains agree.
type Settings struct {
	// SuspectAfter is the silence after which a primary is suspected.
	SuspectAfter time.Duration
	// DeposeAfter is the silence after which views of other domains are asked.
	DeposeAfter time.Duration
	// PauseGap is the time between two ticks from which on the process counts
	// as having been paused.
	PauseGap time.Duration
	// RankDelay is added to DeposeAfter for each rank.
	RankDelay time.Duration
	// ViewRetry separates the questions for views, ViewTimeout ends them.
	ViewRetry, ViewTimeout time.Duration
	// ClaimTimeout bounds the wait for the platform while a reserved term is
	// at hand, ClaimPatience without one.
	ClaimTimeout, ClaimPatience time.Duration
	// ClaimRetry is the wait for an answer of the platform before the row is
	// read (again).
	ClaimRetry time.Duration
	// DeferFor is the time that another steward gets to finish what it claimed.
	DeferFor time.Duration
	// HoldOff is the pause after being refused or overtaken; up to half of it
	// is added at random.
	HoldOff time.Duration
	// RetryPause separates attempts; up to as much again is added at random.
	RetryPause time.Duration
	// CommandRetry separates repetitions of a command to one instance.
	CommandRetry time.Duration
	// FenceTimeout, PromoteTimeout and FollowTimeout bound these states.
	FenceTimeout, PromoteTimeout, FollowTimeout time.Duration
	// DrainTimeout and CatchUpTimeout bound these states of a hand-over.
	DrainTimeout, CatchUpTimeout time.Duration
	// CatchUpEntries is the most that the target of a hand-over may be behind
	// at its start, in log entries.
	CatchUpEntries uint64
	// UpkeepPause separates repetitions of upkeep: follow commands to stray
	// instances and reservations of terms.
	UpkeepPause time.Duration
	// RepairAfter is how long an instance may stand at a fence above the
	// primary's term before the primary is promoted anew over it.
	RepairAfter time.Duration
	// HandoverPause separates hand-overs that the steward starts by itself.
	HandoverPause time.Duration
	// Block is the number of terms that one write of the row reserves.
	Block uint64
}

// DefaultSettings returns the settings for domains a few milliseconds apart.
func DefaultSettings() Settings {
	return Settings{
		SuspectAfter:   250 * time.Millisecond,
		DeposeAfter:    300 * time.Millisecond,
		PauseGap:       5 * TickInterval,
		RankDelay:      150 * time.Millisecond,
		ViewRetry:      30 * time.Millisecond,
		ViewTimeout:    150 * time.Millisecond,
		ClaimTimeout:   120 * time.Millisecond,
		ClaimPatience:  2 * time.Second,
		ClaimRetry:     250 * time.Millisecond,
		DeferFor:       600 * time.Millisecond,
		HoldOff:        200 * time.Millisecond,
		RetryPause:     50 * time.Millisecond,
		CommandRetry:   60 * time.Millisecond,
		FenceTimeout:   500 * time.Millisecond,
		PromoteTimeout: 300 * time.Millisecond,
		FollowTimeout:  300 * time.Millisecond,
		DrainTimeout:   time.Second,
		CatchUpTimeout: time.Second,
		CatchUpEntries: 1000,
		UpkeepPause:    250 * time.Millisecond,
		RepairAfter:    2 * time.Second,
		HandoverPause:  5 * time.Second,
		Block:          8,
	}
}

// TickInterval is how often a Runner sends Tick to its steward.
const TickInterval = 20 * time.Millisecond
