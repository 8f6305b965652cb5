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
	// PauseThreshold is the time between two ticks from which on the process counts
	// as having been paused.
	PauseThreshold time.Duration
	// RankDelay is added to DeposeAfter for each rank.
	RankDelay time.Duration
	// ViewRetryInterval separates the questions for views, ViewTimeout ends them.
	ViewRetryInterval, ViewTimeout time.Duration
	// ClaimFallbackAfter bounds the wait for the platform while a reserved term is
	// at hand, ClaimPatience without one.
	ClaimFallbackAfter, ClaimMaxWait time.Duration
	// ClaimRetryInterval is the wait for an answer of the platform before the row is
	// read (again).
	ClaimRetryInterval time.Duration
	// DeferTimeout is the time that another steward gets to finish what it claimed.
	DeferTimeout time.Duration
	// HoldOff is the pause after being refused or overtaken; up to half of it
	// is added at random.
	HoldOff time.Duration
	// RetryDelay separates attempts; up to as much again is added at random.
	RetryDelay time.Duration
	// CommandRetryInterval separates repetitions of a command to one instance.
	CommandRetryInterval time.Duration
	// FenceTimeout, PromoteTimeout and FollowTimeout bound these states.
	FenceTimeout, PromoteTimeout, FollowTimeout time.Duration
	// DrainTimeout and CatchUpTimeout bound these states of a hand-over.
	DrainTimeout, CatchUpTimeout time.Duration
	// MaxCatchUpEntries is the most that the target of a hand-over may be behind
	// at its start, in log entries.
	MaxCatchUpEntries uint64
	// MaintenanceInterval separates repetitions of upkeep: follow commands to stray
	// instances and reservations of terms.
	MaintenanceInterval time.Duration
	// RepairAfter is how long an instance may stand at a fence above the
	// primary's term before the primary is promoted anew over it.
	RepairAfter time.Duration
	// HandoverInterval separates hand-overs that the steward starts by itself.
	HandoverInterval time.Duration
	// TermBlockSize is the number of terms that one write of the row reserves.
	TermBlockSize uint64
}

// DefaultSettings returns the settings for domains a few milliseconds apart.
func DefaultSettings() Settings {
	return Settings{
		SuspectAfter:         250 * time.Millisecond,
		DeposeAfter:          300 * time.Millisecond,
		PauseThreshold:       5 * TickInterval,
		RankDelay:            150 * time.Millisecond,
		ViewRetryInterval:    30 * time.Millisecond,
		ViewTimeout:          150 * time.Millisecond,
		ClaimFallbackAfter:   120 * time.Millisecond,
		ClaimMaxWait:         2 * time.Second,
		ClaimRetryInterval:   250 * time.Millisecond,
		DeferTimeout:         600 * time.Millisecond,
		HoldOff:              200 * time.Millisecond,
		RetryDelay:           50 * time.Millisecond,
		CommandRetryInterval: 60 * time.Millisecond,
		FenceTimeout:         500 * time.Millisecond,
		PromoteTimeout:       300 * time.Millisecond,
		FollowTimeout:        300 * time.Millisecond,
		DrainTimeout:         time.Second,
		CatchUpTimeout:       time.Second,
		MaxCatchUpEntries:    1000,
		MaintenanceInterval:  250 * time.Millisecond,
		RepairAfter:          2 * time.Second,
		HandoverInterval:     5 * time.Second,
		TermBlockSize:        8,
	}
}

// TickInterval is how often a Runner sends Tick to its steward.
const TickInterval = 20 * time.Millisecond
