package dbinstance

import (
	"slices"
	"sort"
	"strings"
	"sync"
	"time"
)

// Direction says which traffic of a connection a cut stops.
type Direction string

// The directions of a cut, as seen from the instance.
const (
	// CutBoth stops all traffic.
	CutBoth Direction = "both"
	// CutInbound stops what is sent to the instance.
	CutInbound Direction = "in"
	// CutOutbound stops what the instance sends: requests arrive, answers do not.
	CutOutbound Direction = "out"
)

// includes reports whether a cut stops traffic of the direction in or out.
func (d Direction) includes(direction Direction) bool { return d == CutBoth || d == direction }

// Parties that a cut can name, besides "vm:NAME", "domain:NAME" and "instance:ID".
const (
	vmParty       = "vm:"
	domainParty   = "domain:"
	instanceParty = "instance:"
	// EveryParty names all connections, also those that have not told their name.
	EveryParty = "all"
)

// CommitBreak says where the connection of the next commit breaks.
type CommitBreak string

// The places at which a commit can break.
const (
	NoCommitBreak     CommitBreak = ""
	BreakBeforeCommit CommitBreak = "before"
	BreakAfterCommit  CommitBreak = "after"
)

// noRowLimit means that no answer is to be cut.
const noRowLimit = -1

// activeFaults holds the faults that are switched on. Its mutex guards all fields.
type activeFaults struct {
	mu     sync.Mutex
	cuts   map[string]Direction
	frozen bool
	// rowLimit is the number of rows after which the next answer with rows
	// breaks off, or noRowLimit.
	rowLimit int
	// responseDelay delays the next answer.
	responseDelay time.Duration
	commitBreak   CommitBreak
	// changed is closed and replaced when a cut or freeze changes.
	changed chan struct{}
}

func newActiveFaults() *activeFaults {
	return &activeFaults{cuts: map[string]Direction{}, rowLimit: noRowLimit, changed: make(chan struct{})}
}

// update changes cuts or freeze and wakes the connections that they hold.
func (f *activeFaults) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
	close(f.changed)
	f.changed = make(chan struct{})
}

// isHeld reports whether traffic of the direction with the parties is held,
// and the channel that is closed at the next change.
func (f *activeFaults) isHeld(direction Direction, parties []string) (bool, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.frozen || f.cuts[EveryParty].includes(direction) {
		return true, f.changed
	}
	held := slices.ContainsFunc(parties, func(p string) bool { return f.cuts[p].includes(direction) })
	return held, f.changed
}

// waitWhileHeld waits while the traffic is held. It returns early when done is closed.
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

// takeRowLimit returns the row limit of the next answer once.
func (f *activeFaults) takeRowLimit() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.rowLimit
	f.rowLimit = noRowLimit
	return n
}

// takeResponseDelay returns the delay of the next answer once.
func (f *activeFaults) takeResponseDelay() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := f.responseDelay
	f.responseDelay = 0
	return d
}

// takeCommitBreak returns the fault of the next commit once.
func (f *activeFaults) takeCommitBreak() CommitBreak {
	f.mu.Lock()
	defer f.mu.Unlock()
	b := f.commitBreak
	f.commitBreak = NoCommitBreak
	return b
}

// Cut holds the traffic with the parties: "vm:NAME", "domain:NAME",
// "instance:ID" or EveryParty. Connections stay open and hang; after Heal the
// held bytes arrive, late.
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

// Freeze holds all traffic and replication, as in a process that is suspended.
func (s *Server) Freeze() {
	s.faults.update(func() { s.faults.frozen = true })
	s.log.Info("fault_freeze")
}

// Thaw ends Freeze.
func (s *Server) Thaw() {
	s.faults.update(func() { s.faults.frozen = false })
	s.log.Info("fault_thaw")
}

// SetReplicationLag sets the time after which a received entry is applied.
func (s *Server) SetReplicationLag(d time.Duration) { s.replicationLag.Store(int64(d)) }

// SetStatementDelay sets the service time of a statement on tables.
func (s *Server) SetStatementDelay(d time.Duration) { s.statementDelay.Store(int64(d)) }

// SetConnectDelay sets the delay of a new connection.
func (s *Server) SetConnectDelay(d time.Duration) { s.connectDelay.Store(int64(d)) }

// TruncateNextResponse closes the connection of the next statement on tables that
// returns rows, after the given number of rows.
func (s *Server) TruncateNextResponse(rows int) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.rowLimit = max(rows, 0)
}

// DelayNextResponse holds back the answer of the next message with a statement
// on tables; the statement itself runs at once.
func (s *Server) DelayNextResponse(d time.Duration) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.responseDelay = d
}

// BreakNextCommit closes the connection of the next transaction with changes,
// before it is committed or after.
func (s *Server) BreakNextCommit(b CommitBreak) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.commitBreak = b
}

// FaultReport lists the faults that are switched on.
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

// Faults returns the faults that are switched on. CutAfterRows is -1 if no
// answer is to be cut.
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
