package platform_test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"chicoryline/internal/standin/world"
)

// replacedServe makes replaced primaries continue to serve until they are told to step
// down, or until a second after they reach their successor.
func replacedServe(o *world.Options) { o.FormerPrimaryServes = true }

// read reads current data through the VM until stop is set and returns the number of reads
// served. It reconnects after errors.
func (f *fleet) read(vm int, stop *atomic.Bool) (served int) {
	for !stop.Load() {
		c, err := f.open(vm, "current-0", "key-small")
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		for i := 0; !stop.Load(); i++ {
			a, err := c.Query(f.newID(), fmt.Sprintf("READ w%d-0", i))
			if err != nil {
				break
			}
			if a.Code == "" {
				served++
			}
			time.Sleep(5 * time.Millisecond)
		}
		c.Close()
	}
	return served
}

// runWithReaders runs a reader of current data on each VM, and the writers of
// runWithWriters, while fault runs. The stand-in servers report reads that break a rule,
// see close.
func (f *fleet) runWithReaders(fault func()) {
	f.t.Helper()
	var stop atomic.Bool
	var wg sync.WaitGroup
	for vm := range f.Options.VMs {
		wg.Go(func() {
			if f.read(vm, &stop) == 0 {
				f.t.Errorf("no read was served through VM %d", vm)
			}
		})
	}
	f.runWithWriters(fault)
	stop.Store(true)
	wg.Wait()
}

// staleServeTime is how long a test lets a replaced primary keep serving reads after its
// successor acknowledged a write.
const staleServeTime = 2 * time.Second

// A VM that was partitioned together with the old primary kept reading from it for as long
// as the partition lasted (akwaaba-letters trouble-1, 36.13 s).
func TestPartitionedReplacedPrimaryServesNoCurrentReads(t *testing.T) {
	f := start(t, replacedServe)
	old := f.primary()
	f.runWithReaders(func() {
		old.SetIgnoreNewConnections(true)
		old.SetSendBlocked(true)
		f.storeRelays[0].SetPartitioned(true)
		f.awaitNewPrimary(old)
		f.awaitWrite(1)
		time.Sleep(staleServeTime)
		f.storeRelays[0].SetPartitioned(false)
		old.SetIgnoreNewConnections(false)
		old.SetSendBlocked(false)
		f.awaitWrite(0)
	})
}

// After the partition, the entry of the old primary reappeared in the store and still
// claimed the role of primary. Its version was the newest, so VMs accepted it
// (akwaaba-letters trouble-1, 39.43 s).
func TestReplacedPrimaryClaimingAgainIsIgnored(t *testing.T) {
	f := start(t, replacedServe)
	old := f.primary()
	f.runWithReaders(func() {
		old.SetIgnoreNewConnections(true)
		old.SetSendBlocked(true)
		f.Hide(old)
		f.awaitNewPrimary(old)
		f.awaitWrite(1)
		old.SetIgnoreNewConnections(false)
		f.Show(old)
		time.Sleep(staleServeTime)
		if _, leads, _ := old.State(); leads {
			t.Error("the replaced primary did not step down")
		}
		old.SetSendBlocked(false)
		f.awaitWrite(0)
	})
}

// A VM that starts after a primary change knows the group only from the store, where the
// replaced primary still claims its role.
func TestNewVMRejectsClaimOfReplacedPrimary(t *testing.T) {
	f := start(t, replacedServe)
	old := f.primary()
	f.runWithReaders(func() {
		old.SetIgnoreNewConnections(true)
		old.SetSendBlocked(true)
		f.Hide(old)
		f.awaitNewPrimary(old)
		f.awaitWrite(1)
		f.stop[2]()
		<-f.done[2]
		old.SetIgnoreNewConnections(false)
		f.Show(old)
		f.startVM(2)
		f.eventually("ready", func() bool { return f.isReady(2) })
		time.Sleep(staleServeTime)
		old.SetSendBlocked(false)
		f.awaitWrite(0)
	})
}
