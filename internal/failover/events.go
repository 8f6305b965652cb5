package failover

import (
	"chicoryline/internal/backend"
	"chicoryline/internal/groupview"
	"chicoryline/internal/services"
)

// Event is an input of Steward.Step.
type Event interface{ isEvent() }

// Tick advances the time and carries the newest view of the group.
type Tick struct {
	View groupview.View
	// Domains are the failure domains that have stewards of the group, including the
	// steward's own.
	Domains []string
	// Rank is the steward's rank among the stewards of the group, starting at 0.
	Rank int
}

// ViewReceived is another steward's answer to AskViews.
type ViewReceived struct {
	Round uint64
	View  DomainView
}

// RowRead is the answer to ReadRow.
type RowRead struct {
	Call uint64
	Row  services.Row
	Err  error
}

// RowWritten is the answer to WriteRow.
type RowWritten struct {
	Call uint64
	Row  services.Row
	Err  error
}

// CommandAnswered is the answer to Command.
type CommandAnswered struct {
	Op       Op
	Instance string
	Term     uint64
	Status   backend.Status
	Err      error
}

// HandoverRequested requests a planned switchover. If the target is empty, the steward
// chooses it. ID is not zero and is returned in HandoverDone.
type HandoverRequested struct {
	ID     uint64
	Target string
}

// Drained is the answer to Drain: either no write to the primary is in flight, or Err is
// set.
type Drained struct {
	Attempt uint64
	Err     error
}

// LeavingChanged lists the instances that are leaving.
type LeavingChanged struct{ Instances []string }

func (Tick) isEvent()              {}
func (ViewReceived) isEvent()      {}
func (RowRead) isEvent()           {}
func (RowWritten) isEvent()        {}
func (CommandAnswered) isEvent()   {}
func (HandoverRequested) isEvent() {}
func (Drained) isEvent()           {}
func (LeavingChanged) isEvent()    {}

// Effect is an output of Steward.Step. AskViews, ReadRow, WriteRow, Command and Drain are
// answered by an event, or by none if the answer was lost.
type Effect interface{ isEffect() }

// AskViews requests the views of the stewards in other failure domains.
type AskViews struct{ Round uint64 }

// ReadRow reads the group's row in the platform table.
type ReadRow struct{ Call uint64 }

// WriteRow writes the group's row by compare-and-set.
type WriteRow struct {
	Call      uint64
	Version   uint64
	Value     []byte
	RequestID string
}

// Op is the kind of a command to an instance.
type Op string

// Kinds of commands.
const (
	OpFence   Op = "fence"
	OpPromote Op = "promote"
	OpFollow  Op = "follow"
)

// Command sends a command to an instance. Primary is set for OpFollow.
type Command struct {
	Op       Op
	Instance string
	Term     uint64
	Primary  string
}

// Drain asks the pool owners to hold new writes and waits for the writes in flight to
// finish.
type Drain struct{ Attempt uint64 }

// Release ends the hold of writes that Drain started.
type Release struct{}

// Refresh probes the instances at once, because the steward waits for a leader proof.
type Refresh struct{}

// HandoverDone reports the result of a planned switchover to the requester.
type HandoverDone struct {
	ID      uint64
	Primary string
	Err     error
}

// TimelineEvent is logged and added to the timeline.
type TimelineEvent struct {
	Kind   string
	Fields map[string]string
}

func (AskViews) isEffect()      {}
func (ReadRow) isEffect()       {}
func (WriteRow) isEffect()      {}
func (Command) isEffect()       {}
func (Drain) isEffect()         {}
func (Release) isEffect()       {}
func (Refresh) isEffect()       {}
func (HandoverDone) isEffect()  {}
func (TimelineEvent) isEffect() {}
