package dispatch

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"chicoryline/internal/boottime"
	"chicoryline/internal/errkind"
)

// contact is what the failure domains have received: nothing while it is cut off.
type contact struct {
	inTouch, cutOff atomic.Bool
}

func (c *contact) IsInTouch() bool                              { return c.inTouch.Load() }
func (c *contact) HasReachedMajoritySince(_ boottime.Time) bool { return !c.cutOff.Load() }

func groupWithContact() (*Group, *contact) {
	g, c := scriptedGroup(&scriptedServer{}), &contact{}
	c.inTouch.Store(true)
	g.cfg.Contact = c
	return g, c
}

func shortCall() *Call {
	call := scriptedCall("write")
	call.Deadline = boottime.Now().Add(100 * time.Millisecond)
	return call
}

// The primary and this VM were cut off from everyone else; a server that joined on their side let
// the primary acknowledge commits that the server promoted on the other side lacked.
func TestCommitKnownOnOneSideOfAPartitionIsNotReported(t *testing.T) {
	g, c := groupWithContact()
	c.inTouch.Store(false)
	c.cutOff.Store(true)
	if _, err := g.Write(shortCall()); !errkind.Is(err, errkind.OutcomeUnknown) {
		t.Errorf("write without contact: %v, want an unknown outcome", err)
	}
	tx := scriptedTx(t, g, true)
	if _, err := tx.Commit(shortCall()); !errkind.Is(err, errkind.OutcomeUnknown) {
		t.Errorf("commit without contact: %v, want an unknown outcome", err)
	}
}

// The partition is too recent to be noticed, but commits waited until a server joined. Those that
// were sent just before have the same cause to be withheld.
func TestCommitsBesideASlowOneAreNotReported(t *testing.T) {
	for _, answered := range []bool{false, true} {
		g, c := groupWithContact()
		c.cutOff.Store(true)
		slow := g.startCommit(boottime.Now().Add(-slowCommitTime))
		if answered {
			g.endCommit(slow)
			g.noteCommitUnanswered(g.Leader(), boottime.Now())
		}
		if _, err := g.Write(shortCall()); !errkind.Is(err, errkind.OutcomeUnknown) {
			t.Errorf("write beside a slow commit: %v, want an unknown outcome", err)
		}
		g.endCommit(slow)
		if _, err := g.Write(shortCall()); !errkind.Is(err, errkind.OutcomeUnknown) {
			t.Errorf("write after a slow commit: %v, want an unknown outcome", err)
		}
		c.cutOff.Store(false)
		if _, err := g.Write(scriptedCall("write")); err != nil {
			t.Errorf("write with contact: %v", err)
		}
		c.cutOff.Store(true)
		if _, err := g.Write(scriptedCall("write")); err != nil {
			t.Errorf("write once the slow commit is known: %v", err)
		}
	}
}

// A caller waits for contact that returns before its deadline, and updates are urgent meanwhile.
func TestCommitIsReportedOnceContactReturns(t *testing.T) {
	g, c := groupWithContact()
	c.inTouch.Store(false)
	c.cutOff.Store(true)
	failed := make(chan error)
	go func() {
		_, err := g.Write(scriptedCall("write"))
		failed <- err
	}()
	for !g.Health().Unconfirmed {
		time.Sleep(time.Millisecond)
	}
	c.cutOff.Store(false)
	if err := <-failed; err != nil {
		t.Error(err)
	}
	if g.Health().Unconfirmed {
		t.Error("updates stay urgent")
	}
}

// Contact returned, but this VM had not heard yet of the order that replaced the primary meanwhile.
func TestOrdersAreReadAgainAfterAPartition(t *testing.T) {
	for _, unreadable := range []bool{false, true} {
		g, c := groupWithContact()
		c.inTouch.Store(false)
		var targets []string
		g.cfg.OutstandingTargets = func(string) ([]string, bool) { return targets, false }
		g.cfg.RefreshOrders = func(context.Context, string) error {
			if unreadable {
				return errkind.New(errkind.PlatformUnavailable, "store is down")
			}
			targets = []string{"b"}
			return nil
		}
		if _, err := g.Write(shortCall()); !errkind.Is(err, errkind.OutcomeUnknown) {
			t.Errorf("write after a partition, store down %t: %v, want an unknown outcome", unreadable, err)
		}
	}
}
