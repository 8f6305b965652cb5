package platform_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"chicoryline/internal/standin/rowstore"
	"chicoryline/internal/standin/world"
)

// restore replaces the content of the store with that of the backup after a short outage.
func (f *fleet) restore(b rowstore.Backup) {
	f.Store.SetFault(rowstore.Busy)
	time.Sleep(200 * time.Millisecond)
	f.Store.Restore(b)
	f.Store.SetFault(rowstore.NoFault)
}

// awaitConfig waits until all VMs have the newest configuration in force: they know its key.
func (f *fleet) awaitConfig(key string) {
	f.t.Helper()
	for vm := range f.Options.VMs {
		f.eventually("session with "+key, func() bool { return f.admits(vm, key) })
	}
}

// admits reports whether the VM runs a read for the key.
func (f *fleet) admits(vm int, key string) bool {
	c, err := f.open(vm, "own-0", key)
	if err != nil {
		return false
	}
	defer c.Close()
	a, err := c.Query(f.newID(), "READ x")
	return err == nil && a.Code == ""
}

// setKey gives the first customer the key in place of those that it had.
func (f *fleet) setKey(key string) {
	f.ChangeConfig(func(_ *[]world.Route, customers *[]world.Customer) { (*customers)[0].Keys = []string{key} })
}

// maxStoreCallsAfterRestore bounds the calls of a VM in the seconds after a restore: each of five
// tables is read twice and watched, and outages are probed with growing pauses.
const maxStoreCallsAfterRestore = 100

// Guards against refusing every table of a restored store as older than the known one: withdrawn
// keys stayed in use, and the tables were read in a loop.
func TestKeyWithdrawnAfterRestoreIsRefused(t *testing.T) {
	f := start(t)
	backup := f.Store.Backup()
	for i := range 5 {
		f.setKey(fmt.Sprintf("key-%d", i))
	}
	f.awaitConfig("key-4")
	f.restore(backup)
	calls := f.Store.Calls()
	f.setKey("key-last")
	f.awaitConfig("key-last")
	for vm := range f.Options.VMs {
		f.eventually("refusal of the withdrawn key", func() bool { return !f.admits(vm, "key-4") })
	}
	if n := f.Store.Calls() - calls; n > maxStoreCallsAfterRestore*f.Options.VMs {
		t.Errorf("%d calls of the store after the restore", n)
	}
}

// Guards against resuming a watch in an era whose versions are assigned again: a change below the
// known version was never delivered.
func TestChangeBelowTheKnownVersionIsDeliveredAfterRestore(t *testing.T) {
	f := start(t)
	backup := f.Store.Backup()
	f.setKey("key-before")
	f.awaitConfig("key-before")
	f.Store.SetFault(rowstore.Busy)
	time.Sleep(200 * time.Millisecond)
	f.Store.Restore(backup)
	f.setKey("key-after")
	for i := range 50 {
		f.Store.Put("other", fmt.Sprint(i), nil)
	}
	f.Store.SetFault(rowstore.NoFault)
	f.awaitConfig("key-after")
}

// Guards against taking an answer about the backup for a proof that nothing newer exists: a VM that
// had no contact when a key was withdrawn went on with it for as long as the operator had not
// written the change again.
func TestBackupDoesNotProveTheConfiguration(t *testing.T) {
	const (
		revocationDelay = 2 * time.Second
		// refusedTime is how long after revocationDelay reads must be refused.
		refusedTime = 500 * time.Millisecond
		// restoreDelay is longer than refusedTime: an answer counts as a proof again 2 s after the
		// restore, by when the operator has written the change again. After 300 ms, a VM that
		// reached the store at once read 2.49 s after the withdrawal.
		restoreDelay = 600 * time.Millisecond
	)
	f := start(t, func(o *world.Options) { o.VMs, o.KeyRevocationDelay = 1, revocationDelay })
	backup := f.Store.Backup()
	c := f.dial(0, "own-0", "key-large")
	f.storeRelays[0].SetPartitioned(true)
	f.setKey("key-new")
	withdrawn := time.Now()
	time.Sleep(restoreDelay)
	f.Store.Restore(backup)
	f.storeRelays[0].SetPartitioned(false)
	for time.Since(withdrawn) < revocationDelay+refusedTime {
		if sent := time.Since(withdrawn); sent < revocationDelay {
			time.Sleep(10 * time.Millisecond)
		} else if a, err := c.Query(f.newID(), "READ x"); err == nil && a.Code == "" {
			t.Fatalf("a read with a withdrawn key ran %v after the withdrawal", sent)
		}
	}
	f.Republish()
	f.awaitConfig("key-new")
}

// Guards against serving by the backup after a restart: the VM knows nothing newer.
func TestVMThatStartsAfterARestoreDoesNotServeByTheBackup(t *testing.T) {
	const revocationDelay = 2 * time.Second
	f := start(t, func(o *world.Options) { o.VMs, o.KeyRevocationDelay = 1, revocationDelay })
	backup := f.Store.Backup()
	f.setKey("key-new")
	withdrawn := time.Now()
	f.stop[0]()
	<-f.done[0]
	f.Store.Restore(backup)
	f.startVM(0)
	for begin := time.Now(); time.Since(begin) < 1500*time.Millisecond; time.Sleep(10 * time.Millisecond) {
		if sent := time.Since(withdrawn); sent > revocationDelay && f.admits(0, "key-large") {
			t.Fatalf("a read with a withdrawn key ran %v after the withdrawal", sent)
		}
	}
	f.Republish()
	f.awaitConfig("key-new")
}

// Guards against losing VMs that have joined since the backup was made: the others did not know
// them, and they were counted in no limit.
func TestMembersLostByRestoreAreRegisteredAgain(t *testing.T) {
	f := start(t)
	backup := f.Store.Backup()
	f.Options.VMs++
	f.startVM(f.Options.VMs - 1)
	f.eventually("ready", func() bool { return f.isReady(f.Options.VMs - 1) })
	f.restore(backup)
	f.Republish()
	f.eventually("rows of all VMs", func() bool { return len(f.Store.Rows("members")) == f.Options.VMs })
}

// Guards against using fencing tokens twice: the row with the last one is gone after a restore.
func TestTokensAreNotReusedAfterRestore(t *testing.T) {
	f := start(t)
	backup := f.Store.Backup()
	first := f.primary()
	first.Crash()
	f.PublishEntry(first)
	f.awaitWritableNewPrimary(first)
	f.eventually("the end of the change", func() bool { return !f.isPrimaryChanging() })
	if err := first.Restart(); err != nil {
		t.Fatal(err)
	}
	f.restore(backup)
	f.Republish()
	second := f.primary()
	second.StartDraining()
	f.PublishEntry(second)
	f.awaitWritableNewPrimary(second)
	if reused := f.Store.ReusedTokens(); len(reused) > 0 {
		t.Errorf("tokens %v were used for several orders", reused)
	}
}

// isPrimaryChanging reports whether the store holds the row of an unfinished primary change.
func (f *fleet) isPrimaryChanging() bool {
	for group, value := range f.Store.Rows("stewards") {
		var row struct{ Active bool }
		if err := json.Unmarshal(value, &row); err != nil {
			f.t.Fatalf("row of group %s: %v", group, err)
		}
		if row.Active {
			return true
		}
	}
	return false
}
