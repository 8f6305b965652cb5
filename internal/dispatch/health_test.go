package dispatch

import (
	"testing"

	"chicoryline/internal/boottime"
)

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

// A VM that started after the primary had been lost never asked for one (review/4).
func TestGroupWithoutAPrimarySinceTheStartLacksOne(t *testing.T) {
	g := newGroup("a", "b")
	if h := g.Health(); h.Since != 0 {
		t.Errorf("a group with a primary lacks one since %d", h.Since)
	}
	g = newGroup()
	if h := g.Health(); h.Since != 0 {
		t.Errorf("a group without servers lacks a primary since %d", h.Since)
	}
	before := boottime.Now()
	g.update(entryOf("a", false, 1))
	since := g.Health().Since
	if h := g.Health(); since < before || h.Primary != "" || h.LastPrimary != "" {
		t.Errorf("%+v: the group lacks a primary since %d", h, before)
	}
	g.update(entryOf("b", false, 2))
	if h := g.Health(); h.Since != since {
		t.Errorf("a second replica moves the time from %d to %d", since, h.Since)
	}
	g.update(entryOf("c", true, 3))
	if h := g.Health(); h.Since != 0 || h.Primary != "c" {
		t.Errorf("%+v: the group has a primary", h)
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
