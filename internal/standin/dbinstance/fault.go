package dbinstance

import (
	"slices"
	"sort"
	"strings"
	"sync"
	"time"
)

// Direction is the direction of the traffic that a cut holds back. A cut simulates a
// network partition.
type Direction string

// The directions of a cut, as seen from the instance.
const (
	// CutBoth holds back all traffic.
	CutBoth Direction = "both"
	// CutInbound holds back data sent to the instance.
	CutInbound Direction = "in"
	// CutOutbound holds back data sent by the instance: it receives requests, but its
	// responses do not arrive.
	CutOutbound Direction = "out"
)

// includes reports whether a cut in direction d holds back traffic of the given
// direction, which is CutInbound or CutOutbound.
func (d Direction) includes(direction Direction) bool { return d == CutBoth || d == direction }

// A party identifies the remote end of connections: a proxy VM ("vm:NAME"), a failure
// domain ("domain:NAME"), another instance ("instance:ID"), or EveryParty.
const (
	vmParty       = "vm:"
	domainParty   = "domain:"
	instanceParty = "instance:"
	// EveryParty matches all connections, including those without an application_name.
	EveryParty = "all"
)

// CommitBreak says whether the connection breaks before or after a commit.
type CommitBreak string

// The values of CommitBreak.
const (
	NoCommitBreak     CommitBreak = ""
	BreakBeforeCommit CommitBreak = "before"
	BreakAfterCommit  CommitBreak = "after"
)

// noRowLimit means that responses are not truncated.
const noRowLimit = -1

// activeFaults holds the injected faults that are active. Its mutex guards all fields.
type activeFaults struct {
	mu     sync.Mutex
	cuts   map[string]Direction
	frozen bool
	// rowLimit is the number of rows after which the next response with rows is
	// truncated, or noRowLimit.
	rowLimit int
	// responseDelay is the delay of the next response.
	responseDelay time.Duration
	commitBreak   CommitBreak
	// changed is closed and replaced whenever cuts or frozen changes.
	changed chan struct{}
}

func newActiveFaults() *activeFaults {
	return &activeFaults{cuts: map[string]Direction{}, rowLimit: noRowLimit, changed: make(chan struct{})}
}

// update applies a change of cuts or frozen and wakes the goroutines that wait for one.
func (f *activeFaults) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
	close(f.changed)
	f.changed = make(chan struct{})
}

// isHeld reports whether traffic with the parties is held back in the direction, and
// returns a channel that is closed at the next change of the faults.
func (f *activeFaults) isHeld(direction Direction, parties []string) (bool, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.frozen || f.cuts[EveryParty].includes(direction) {
		return true, f.changed
	}
	held := slices.ContainsFunc(parties, func(p string) bool { return f.cuts[p].includes(direction) })
	return held, f.changed
}

// waitWhileHeld blocks while traffic with the parties is held back in the direction.
// It returns early when done is closed.
func (f *activeFaults) waitWhileHeld(done <-chan struct{}, direction Direction, parties []string) {
	for {
		held, changed := f.isHeld(direction, parties)
		if !held {
			return
		}
		select {
		case <-changed:
		case <-done:
			return
		}
	}
}

// takeRowLimit returns the row limit of the next response and resets it.
func (f *activeFaults) takeRowLimit() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.rowLimit
	f.rowLimit = noRowLimit
	return n
}

// takeResponseDelay returns the delay of the next response and resets it.
func (f *activeFaults) takeResponseDelay() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := f.responseDelay
	f.responseDelay = 0
	return d
}

// takeCommitBreak returns the fault of the next commit and resets it.
func (f *activeFaults) takeCommitBreak() CommitBreak {
	f.mu.Lock()
	defer f.mu.Unlock()
	b := f.commitBreak
	f.commitBreak = NoCommitBreak
	return b
}

// Cut simulates a network partition from the parties: "vm:NAME", "domain:NAME",
// "instance:ID" or EveryParty. Connections stay open and hang; the data that was held
// back is delivered after Heal.
func (s *Server) Cut(d Direction, parties ...string) {
	s.faults.update(func() {
		for _, p := range parties {
			s.faults.cuts[p] = d
		}
	})
	s.log.WithField("direction", d).WithField("parties", strings.Join(parties, ",")).Info("fault_cut")
}

// Heal ends the cuts of the parties, or all cuts if none is named.
func (s *Server) Heal(parties ...string) {
	s.faults.update(func() {
		for _, p := range parties {
			delete(s.faults.cuts, p)
		}
		if len(parties) == 0 {
			clear(s.faults.cuts)
		}
	})
	s.log.WithField("parties", strings.Join(parties, ",")).Info("fault_heal")
}

// Freeze holds back all traffic and stops replication, like a suspended process.
func (s *Server) Freeze() {
	s.faults.update(func() { s.faults.frozen = true })
	s.log.Info("fault_freeze")
}

// Thaw ends Freeze.
func (s *Server) Thaw() {
	s.faults.update(func() { s.faults.frozen = false })
	s.log.Info("fault_thaw")
}

// SetReplicationLag sets the delay between receiving and applying a log entry.
func (s *Server) SetReplicationLag(d time.Duration) { s.replicationLag.Store(int64(d)) }

// SetStatementDelay sets the execution time of a statement on tables.
func (s *Server) SetStatementDelay(d time.Duration) { s.statementDelay.Store(int64(d)) }

// SetConnectDelay sets the delay of the login of a new connection.
func (s *Server) SetConnectDelay(d time.Duration) { s.connectDelay.Store(int64(d)) }

// TruncateNextResponse makes the next statement on tables that returns rows send only
// the given number of rows and then close the connection.
func (s *Server) TruncateNextResponse(rows int) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.rowLimit = max(rows, 0)
}

// DelayNextResponse delays the response to the next message with a statement on
// tables; the statement itself is executed without delay.
func (s *Server) DelayNextResponse(d time.Duration) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.responseDelay = d
}

// BreakNextCommit closes the connection of the next transaction with changes, either
// before or after it is committed.
func (s *Server) BreakNextCommit(b CommitBreak) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.commitBreak = b
}

// FaultReport describes the injected faults that are active.
type FaultReport struct {
	Cuts           []string    `json:"cuts"`
	Frozen         bool        `json:"frozen"`
	ReplicationLag string      `json:"replication_lag"`
	StatementDelay string      `json:"statement_delay"`
	ConnectDelay   string      `json:"connect_delay"`
	CutAfterRows   int         `json:"cut_after_rows"`
	LateAnswer     string      `json:"late_answer"`
	CommitBreak    CommitBreak `json:"commit_break"`
}

// Faults returns the injected faults that are active. CutAfterRows is -1 if the next
// response is not truncated.
func (s *Server) Faults() FaultReport {
	f := s.faults
	f.mu.Lock()
	defer f.mu.Unlock()
	r := FaultReport{
		Cuts:           []string{},
		Frozen:         f.frozen,
		ReplicationLag: time.Duration(s.replicationLag.Load()).String(),
		StatementDelay: time.Duration(s.statementDelay.Load()).String(),
		ConnectDelay:   time.Duration(s.connectDelay.Load()).String(),
		CutAfterRows:   f.rowLimit,
		LateAnswer:     f.responseDelay.String(),
		CommitBreak:    f.commitBreak,
	}
	for p, d := range f.cuts {
		r.Cuts = append(r.Cuts, p+" "+string(d))
	}
	sort.Strings(r.Cuts)
	return r
}
