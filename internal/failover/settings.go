package failover

import "time"

// Settings are the timeouts, intervals and limits of a steward.
//
// A primary is suspected once its leader proof has not been renewed for SuspectAfter. It
// may be deposed after DeposeAfter plus the delay for the steward's rank. A slow primary
// that answers within SuspectAfter renews its proof with each answer and is never
// suspected. A primary that stalls for longer is deposed only if it stays silent until
// stewards in a majority of the failure domains agree.
type Settings struct {
	// SuspectAfter is the silence after which a primary is suspected.
	SuspectAfter time.Duration
	// DeposeAfter is the silence after which the views of other failure domains are
	// requested.
	DeposeAfter time.Duration
	// PauseThreshold is the time between two ticks above which the process is considered to
	// have been paused.
	PauseThreshold time.Duration
	// RankDelay is multiplied by the steward's rank and added to DeposeAfter.
	RankDelay time.Duration
	// ViewRetryInterval is the time between requests for views, ViewTimeout the time until
	// the requests are given up.
	ViewRetryInterval, ViewTimeout time.Duration
	// ClaimFallbackAfter limits the wait for the platform if a reserved term is available,
	// ClaimMaxWait if none is.
	ClaimFallbackAfter, ClaimMaxWait time.Duration
	// ClaimRetryInterval is the wait for an answer of the platform before the row is read
	// again.
	ClaimRetryInterval time.Duration
	// DeferTimeout is how long another steward that has claimed a term gets to finish its
	// failover.
	DeferTimeout time.Duration
	// HoldOff is the pause after the steward was refused, deferred or overtaken. Up to half
	// of it is added at random.
	HoldOff time.Duration
	// RetryDelay is the time between attempts. Up to the same time again is added at
	// random.
	RetryDelay time.Duration
	// CommandRetryInterval is the time between repeated commands to one instance.
	CommandRetryInterval time.Duration
	// FenceTimeout, PromoteTimeout and FollowTimeout limit the time in the states fencing,
	// promoting and following.
	FenceTimeout, PromoteTimeout, FollowTimeout time.Duration
	// DrainTimeout and CatchUpTimeout limit the time in the states draining and catching_up
	// of a planned switchover.
	DrainTimeout, CatchUpTimeout time.Duration
	// MaxCatchUpEntries is how far the target of a planned switchover may be behind at its
	// start, in log entries.
	MaxCatchUpEntries uint64
	// MaintenanceInterval is the minimum time between repeated follow commands to instances
	// that don't follow the primary, and between reservations of terms.
	MaintenanceInterval time.Duration
	// RepairAfter is how long an instance may be fenced above the primary's term before the
	// primary is promoted again at a higher term.
	RepairAfter time.Duration
	// HandoverInterval is the minimum time between switchovers that the steward starts by
	// itself.
	HandoverInterval time.Duration
	// TermBlockSize is the number of terms that one write of the row reserves.
	TermBlockSize uint64
}

// DefaultSettings returns the settings for failure domains with a few milliseconds of
// network latency between them.
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

// TickInterval is the interval at which a Runner sends Tick to its steward.
const TickInterval = 20 * time.Millisecond
