package dispatch

import "testing"

// A write sent before the last acknowledged commit, and abandoned after it, shows nothing
// about the time since. Guards against such a write hiding the first newer failure, so that
// stuck commits stayed undetected (TestPrimaryLosesItsReplicas, 1 of 8 runs).
func TestFailureOlderThanTheLastAnswerDoesNotHideNewerOnes(t *testing.T) {
	g := newGroup("a", "b")
	s := g.Leader()
	g.noteCommitted(s)
	committed := g.Health().LastCommit
	g.noteCommitUnanswered(s, committed-1)
	g.noteUnanswered(s, committed-1)
	if h := g.Health(); h.StuckSince != 0 || h.FailingSince != 0 {
		t.Errorf("stuck %d, failing %d: older than the last answer %d", h.StuckSince, h.FailingSince, committed)
	}
	g.noteCommitUnanswered(s, committed+5)
	g.noteUnanswered(s, committed+5)
	g.noteCommitUnanswered(s, committed+9)
	g.noteUnanswered(s, committed+9)
	if h := g.Health(); h.StuckSince != committed+5 || h.FailingSince != committed+5 {
		t.Errorf("stuck %d, failing %d, want the first failure since the last answer %d", h.StuckSince, h.FailingSince, committed+5)
	}
	g.noteCommitted(s)
	if h := g.Health(); h.StuckSince != 0 || h.FailingSince != 0 {
		t.Error("an acknowledged commit does not end the failure")
	}
}

func TestHealthOfAnotherPrimaryIsNotTaken(t *testing.T) {
	g := newGroup("a", "b")
	now := g.Health().Since
	g.ObservePeerHealth("b", now+100, now+100)
	if h := g.Health(); h.LastAnswer != 0 || h.LastCommit != 0 {
		t.Errorf("answers of another server count: %+v", h)
	}
	g.ObservePeerHealth("a", now+100, now+50)
	if h := g.Health(); h.LastAnswer != now+100 || h.LastCommit != now+50 {
		t.Errorf("answers to another VM do not count: %+v", h)
	}
	g.noteUnanswered(g.Leader(), now+200)
	g.ObservePromotionOrder("b", false)
	if h := g.Health(); h.LastAnswer != 0 || h.FailingSince != 0 {
		t.Errorf("health of the former primary is kept: %+v", h)
	}
}
