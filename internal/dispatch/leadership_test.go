package dispatch

import (
	"context"
	"testing"
	"time"

	"chicoryline/internal/boottime"
	"chicoryline/internal/connset"
	"chicoryline/internal/errkind"
	"chicoryline/internal/position"
	"chicoryline/internal/statement"
)

const testLeadTime = 400 * time.Millisecond

// statuses answers for servers by id; a server without an answer is out of reach.
type statuses map[string]statement.ServerStatus

type statusConn struct {
	statement.Conn
	server string
}

func (statusConn) Close()      {}
func (statusConn) Alive() bool { return true }

func (s statuses) Dial(_ context.Context, _, _, server, _ string) (statement.Conn, error) {
	if _, ok := s[server]; !ok {
		return nil, errkind.New(errkind.Unreachable, "fake")
	}
	return statusConn{server: server}, nil
}

func (s statuses) Status(c statement.Conn, _ time.Duration) (statement.ServerStatus, error) {
	return s[c.(statusConn).server], nil
}

// leadGroup returns a group whose replaced primaries go on, with the answers.
func leadGroup(answers statuses, ids ...string) *Group {
	g := newGroup()
	g.cfg.LeaderLeaseTime, g.cfg.Statuses, g.cfg.Dialer = testLeadTime, answers, answers
	for i, id := range ids {
		g.update(entryOf(id, i == 0, uint64(i+1)))
	}
	return g
}

func leadCall() *Call {
	now := boottime.Now()
	return &Call{Customer: "c", Deadline: now.Add(time.Minute), LatencyDeadline: now.Add(time.Minute), SessionState: connset.SessionState{}}
}

func TestEvaluateLeadership(t *testing.T) {
	const term = 3
	for name, c := range map[string]struct {
		status statement.ServerStatus
		want   leadershipVerdict
	}{
		"follows":                      {statement.ServerStatus{Term: 3}, leadershipConfirmed},
		"paused for the next term":     {statement.ServerStatus{Term: 3, PausedTerm: 4}, leadershipUnknown},
		"was paused for an older term": {statement.ServerStatus{Term: 3, PausedTerm: 2}, leadershipConfirmed},
		"follows a successor":          {statement.ServerStatus{Term: 4}, leadershipLost},
		"is the successor":             {statement.ServerStatus{Term: 4, Primary: true}, leadershipLost},
		"has not heard of the term":    {statement.ServerStatus{Term: 2}, leadershipUnknown},
		"an older primary":             {statement.ServerStatus{Term: 2, Primary: true}, leadershipUnknown},
	} {
		if got := evaluateLeadership(term, c.status); got != c.want {
			t.Errorf("%s: verdict %d, want %d", name, got, c.want)
		}
	}
}

// Behind a partition with the old primary nothing proves that it leads, and what needs it
// is refused at once.
func TestNothingIsSentWithoutLeaderLease(t *testing.T) {
	answers := statuses{"a": {Primary: true, Term: 1}}
	g := leadGroup(answers, "a", "b", "c")
	a := g.Leader()
	g.confirmLeadership(a, boottime.Now().Add(-testLeadTime))
	if err := g.requireLeaderLease(context.Background(), a, leadCall()); !errkind.Is(err, errkind.NoPrimary) {
		t.Errorf("error %v, want no_primary", err)
	}
	g.mu.Lock()
	g.leadership.checkFailedAt = boottime.Now()
	g.mu.Unlock()
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	if err := g.requireLeaderLease(canceled, a, leadCall()); err == nil || g.leadership.check != nil {
		t.Errorf("after a check that failed: error %v, want a refusal without another check", err)
	}
	answers["b"] = statement.ServerStatus{Term: 1}
	g.mu.Lock()
	g.leadership.checkFailedAt = 0
	for _, s := range g.servers {
		s.failures, s.avoidUntil = 0, 0
	}
	g.mu.Unlock()
	if err := g.requireLeaderLease(context.Background(), a, leadCall()); err != nil {
		t.Errorf("a replica follows: %v", err)
	}
	if !g.hasLeaderLease(a, boottime.Now()) {
		t.Error("the replica's status was not taken as a proof")
	}
}

// A successor that a replica names ends the lead, whatever entries say (second fault of
// akwaaba-letters trouble-1).
func TestReplacedPrimaryIsNotElectedAgain(t *testing.T) {
	g := leadGroup(statuses{"a": {Primary: true, Term: 1}, "b": {Term: 2}}, "a", "b")
	a := g.Leader()
	if err := g.requireLeaderLease(context.Background(), a, leadCall()); !errkind.Is(err, errkind.NoPrimary) {
		t.Errorf("error %v, want no_primary", err)
	}
	g.update(entryOf("a", true, 50))
	if got := leaderOf(g); got != "" {
		t.Errorf("leader %q by a newer entry of the replaced primary", got)
	}
	if list := g.ReplacedPrimaries(); len(list) != 1 || list[0].ID != "a" {
		t.Errorf("replaced %v, want a", list)
	}
	g.update(entryOf("a", false, 51))
	g.update(entryOf("a", true, 52))
	if got := leaderOf(g); got != "a" {
		t.Errorf("leader %q, want a, which said replica before it claims again", got)
	}
}

// The entry of the old primary lapsed behind a partition and came back with the newest
// version.
func TestReturnedEntryDoesNotOutrankSuccessor(t *testing.T) {
	g := leadGroup(statuses{}, "a", "b")
	g.markMissing("a")
	g.ObservePromotionOrder("b", false)
	g.servers["a"].missingSince = boottime.Now().Add(-missingTimeout - time.Millisecond)
	g.expire()
	g.update(entryOf("b", true, 60))
	g.update(entryOf("a", true, 70))
	if got := leaderOf(g); got != "b" {
		t.Errorf("leader %q, want b", got)
	}
}

// A VM that starts knows of the change by its row alone.
func TestPromotionOrderOutranksNewerClaims(t *testing.T) {
	g := leadGroup(statuses{}, "a", "b")
	g.update(entryOf("b", true, 60))
	g.update(entryOf("a", true, 70))
	g.LoadPromotionOrder("b")
	if got := leaderOf(g); got != "b" {
		t.Errorf("leader %q, want b, which the order names", got)
	}
}

// What a primary says of its log is no evidence once it may have been replaced.
func TestPositionIsRecordedOnlyWithLeaderLease(t *testing.T) {
	g := leadGroup(statuses{}, "a", "b")
	a, now := g.Leader(), boottime.Now()
	g.confirmLeadership(a, now.Add(-testLeadTime))
	g.recordPosition(a, now, position.Position{Term: 1, Offset: 7})
	if p := g.History.Newest(); p.At != 0 {
		t.Errorf("point %v of a primary without proof", p)
	}
	g.confirmLeadership(a, now)
	g.recordPosition(a, now, position.Position{Term: 1, Offset: 7})
	if p := g.History.Newest(); p.At != now {
		t.Errorf("point %v, want one of the moment of the proof", p)
	}
}

// Load pattern: traffic begins at all VMs at once. Nobody had committed before, so each VM
// asked a replica for each group, and refused callers while it waited for a connection
// (akwaaba-letters-grown quiet-1: 609 statements refused in the first second).
func TestLeaderLeaseIsRenewedWithoutTraffic(t *testing.T) {
	g := leadGroup(statuses{"a": {Primary: true, Term: 1}, "b": {Term: 1}}, "a", "b")
	if !g.LeaderLeaseNeedsRenewal() {
		t.Fatal("a primary without proof needs none")
	}
	g.RenewLeaderLease()
	g.mu.Lock()
	check := g.leadership.check
	g.mu.Unlock()
	if check == nil {
		t.Fatal("nobody is asked")
	}
	<-check.done
	if g.LeaderLeaseNeedsRenewal() || !g.hasLeaderLease(g.Leader(), boottime.Now()) {
		t.Error("the primary is not proved to lead")
	}
	g.confirmLeadership(g.Leader(), boottime.Now())
	g.mu.Lock()
	g.leadership.confirmedAt = boottime.Now().Add(-renewAge(testLeadTime))
	g.mu.Unlock()
	if !g.LeaderLeaseNeedsRenewal() {
		t.Error("a proof that is nearly over is not renewed")
	}
}

// Behind a partition with the old primary each write waited for its time limit and ended
// with an unknown outcome. Once one has got no answer, and nothing proves the lead, others
// are refused as not run.
func TestWriteIsRejectedWhileCommitsAreUnanswered(t *testing.T) {
	g := leadGroup(statuses{"a": {Primary: true, Term: 1}}, "a", "b")
	a, now := g.Leader(), boottime.Now()
	g.confirmLeadership(a, now.Add(-testLeadTime))
	if err := g.requireCommitting(context.Background(), a, leadCall()); err != nil {
		t.Errorf("no write is without an answer: %v", err)
	}
	g.noteCommitUnanswered(a, now)
	if _, err := g.Write(leadCall()); !errkind.Is(err, errkind.NoPrimary) {
		t.Errorf("error %v, want no_primary", err)
	}
	g.confirmLeadership(a, boottime.Now())
	if err := g.requireCommitting(context.Background(), a, leadCall()); err != nil {
		t.Errorf("the lead is proved: %v", err)
	}
}
