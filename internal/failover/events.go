package failover

import (
	"chicoryline/internal/backend"
	"chicoryline/internal/groupview"
	"chicoryline/internal/services"
)

// Event is an input of Steward.Step.
type Event interface{ isEvent() }

// Tick passes time and brings the newest view of the group.
type Tick struct {
	View groupview.View
	// Domains are the failure domains that have stewards of the group, the
	// steward's own included.
	Domains []string
	// Rank is the steward's place among those of the group, from 0.
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

// HandoverRequested asks for a planned hand-over. An empty target leaves the
// choice to the steward. ID is not zero and returns in HandoverDone.
type HandoverRequested struct {
	ID     uint64
	Target string
}

// Drained answers Drain: no write is on its way to the primary, or Err.
type Drained struct {
	Attempt uint64
	Err     error
}

// LeavingChanged names the instances that are leaving.
type LeavingChanged struct{ Instances []string }

func (Tick) isEvent()              {}
func (ViewReceived) isEvent()      {}
func (RowRead) isEvent()           {}
func (RowWritten) isEvent()        {}
func (CommandAnswered) isEvent()   {}
func (HandoverRequested) isEvent() {}
func (Drained) isEvent()           {}
func (LeavingChanged) isEvent()    {}

// Effect is an output of Steward.Step. AskViews, ReadRow, WriteRow, Command and
// Drain are answered by an event, or by none if the answer was lost.
type Effect interface{ isEffect() }

// AskViews asks the stewards in other failure domains for their view.
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

// Op names a command to an instance.
type Op string

// The commands.
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

// Drain asks the pool owners to hold new writes and to let open ones end.
type Drain struct{ Attempt uint64 }

// Release ends what Drain began.
type Release struct{}

// Refresh asks for new probes at once: the steward waits for a proof.
type Refresh struct{}

// HandoverDone tells the requester how the hand-over ended.
type HandoverDone struct {
	ID      uint64
	Primary string
	Err     error
}

// TimelineEvent is an event for the time line.
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
