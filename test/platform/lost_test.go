package platform_test

import (
	"bytes"
	"testing"
	"time"

	"chicoryline/internal/standin/lineclient"
	"chicoryline/internal/standin/linegroup"
)

const (
	// entryExpiryWait is how long an entry must be absent until its server counts as gone.
	// An entry that expired during an outage of the store is back within 2 s.
	entryExpiryWait = 4 * time.Second
	// maxFaultDuration bounds how long a fault lasts if no promotion follows.
	maxFaultDuration = 8 * time.Second
)

// holdUntilPromoted returns when one of the servers is primary, after maxFaultDuration at
// the latest. A fault set before lasts until then.
func (f *fleet) holdUntilPromoted(servers ...*linegroup.Server) {
	for end := time.Now().Add(maxFaultDuration); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, s := range servers {
			if f.primary() == s {
				return
			}
		}
	}
}

// awaitWrite waits until a write through the VM is acknowledged.
func (f *fleet) awaitWrite(vm int) {
	f.t.Helper()
	f.eventually("acknowledged write", func() bool {
		c, err := f.open(vm, "own-0", "key-small")
		if err != nil {
			return false
		}
		defer c.Close()
		a, err := c.Query(f.newID(), "WRITE probe 1")
		return err == nil && a.Code == ""
	})
}

// restart restarts a crashed server and writes its entry, unless that is hidden.
func (f *fleet) restart(s *linegroup.Server) {
	f.t.Helper()
	if err := s.Restart(); err != nil {
		f.t.Fatal(err)
	}
	f.PublishEntry(s)
}

// sendControl sends a control statement to the server on a separate connection.
func (f *fleet) sendControl(s *linegroup.Server, text string) {
	f.t.Helper()
	c, err := lineclient.Dial(s.Address, f.Groups[0].Name(), "-", requestTimeout)
	if err != nil {
		f.t.Fatal(err)
	}
	defer c.Close()
	if a, err := c.Query("-", text); err != nil || a.Code != "" {
		f.t.Fatalf("%s at %s: %+v, %v", text, s.ID, a, err)
	}
}

// addServer adds a server to the group, with or without an entry in the store.
func (f *fleet) addServer(entry bool) *linegroup.Server {
	f.t.Helper()
	s, err := f.AddServer(f.Groups[0], f.Options.Domains[0], entry)
	if err != nil {
		f.t.Fatal(err)
	}
	return s
}

// A replica restarted without an entry in the store. Its confirmation let the primary
// acknowledge writes that the only replica with an entry lacked, and that one was promoted
// (deaf-and-lag 14).
func TestLaggingReplicaIsPromotedWhenOtherHasNoEntry(t *testing.T) {
	f := start(t)
	primary := f.primary()
	returned, deaf := f.Groups[0].Servers()[1], f.Groups[0].Servers()[2]
	f.runWithWriters(func() {
		f.Hide(returned)
		returned.Crash()
		time.Sleep(entryExpiryWait)
		f.restart(returned)
		deaf.SetReceiveBlocked(true)
		f.awaitWrite(0)
		primary.SetSendBlocked(true)
		f.holdUntilPromoted(deaf)
		primary.SetSendBlocked(false)
		deaf.SetReceiveBlocked(false)
		f.Show(returned)
		f.awaitWrite(0)
	})
}

// A steward (failover coordinator) ended without resuming the replicas that it had paused.
// When the last server that still received the log left, one of the paused replicas
// replaced a healthy primary (handover-into-freeze 36).
func TestReplicaLeftPausedIsPromoted(t *testing.T) {
	f := start(t)
	paused := f.Groups[0].Servers()[1:]
	last := f.addServer(true)
	f.runWithWriters(func() {
		for _, s := range paused {
			f.sendControl(s, "PAUSE 3")
		}
		f.awaitWrite(0)
		last.StartDraining()
		f.PublishEntry(last)
		f.awaitWrite(0)
		last.Crash()
		f.PublishEntry(last)
		f.awaitWrite(0)
	})
}

// A new server's confirmations counted before its entry was in the store. The planned
// switchover from a leaving primary did not ask it, and promoted a replica that lacked
// acknowledged writes.
func TestLaggingReplicaReplacesLeavingPrimary(t *testing.T) {
	f := start(t)
	old := f.primary()
	replicas := f.Groups[0].Servers()[1:]
	added := f.addServer(false)
	f.runWithWriters(func() {
		for _, s := range replicas {
			s.SetReceiveBlocked(true)
		}
		f.awaitWrite(0)
		old.StartDraining()
		f.PublishEntry(old)
		f.holdUntilPromoted(replicas...)
		for _, s := range replicas {
			s.SetReceiveBlocked(false)
		}
		f.Show(added)
		f.awaitWritableNewPrimary(old)
	})
}

// The primary and a replica whose entry has expired are partitioned from the VMs and
// continue to acknowledge writes, which the third server lacks.
func TestLaggingReplicaIsPromotedWhenOthersArePartitioned(t *testing.T) {
	f := start(t)
	primary := f.primary()
	other, deaf := f.Groups[0].Servers()[1], f.Groups[0].Servers()[2]
	f.runWithWriters(func() {
		deaf.SetReceiveBlocked(true)
		f.awaitWrite(0)
		primary.SetUnresponsive(true)
		other.SetUnresponsive(true)
		f.Hide(other)
		f.holdUntilPromoted(deaf)
		primary.SetUnresponsive(false)
		other.SetUnresponsive(false)
		deaf.SetReceiveBlocked(false)
		f.Show(other)
		f.awaitWrite(0)
	})
}

// A replica was lost before anything was written since the VMs had started. It was never recorded
// as gone, and the next loss of a primary left the group without one for good (beside review/5).
func TestLostServerIsRecordedWithoutAWrite(t *testing.T) {
	f := start(t)
	primary, lost, left := f.primary(), f.Groups[0].Servers()[1], f.Groups[0].Servers()[2]
	f.Hide(lost)
	lost.Crash()
	f.eventually("lost server is recorded as gone", func() bool {
		roster := f.Store.Rows("rosters")[f.Groups[0].Name()]
		return bytes.Contains(roster, []byte(lost.ID)) && bytes.Contains(roster, []byte(`"gone":true`))
	})
	primary.Crash()
	f.PublishEntry(primary)
	f.eventually("promotion of the server that is left", func() bool { return f.primary() == left })
}
