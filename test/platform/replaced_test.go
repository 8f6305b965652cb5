package platform_test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"chicoryline/internal/standin/lineclient"
	"chicoryline/internal/standin/world"
)

// replacedServe makes primaries that were replaced go on.
func replacedServe(o *world.Options) { o.ReplacedServe = true }

// read reads current data through the VM until it is stopped and returns how many reads
// were served.
func (f *fleet) read(vm int, stop *atomic.Bool) (served int) {
	for !stop.Load() {
		c, err := lineclient.Dial(f.Front(vm), "current-0", "key-small", requestTimeout)
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

// runWithReaders runs readers of current data on all VMs while the fault happens. The servers
// judge what ran.
func (f *fleet) runWithReaders(fault func()) {
	f.t.Helper()
	var stop atomic.Bool
	var wg sync.WaitGroup
	for vm := range f.Options.VMs {
		wg.Go(func() {
			if f.read(vm, &stop) == 0 {
				f.t.Errorf("VM %d served no read", vm)
			}
		})
	}
	f.runWithWriters(fault)
	stop.Store(true)
	wg.Wait()
}

// staleServeTime is how long a replaced primary is left to serve reads after its successor has
// acknowledged a write.
const staleServeTime = 2 * time.Second

// A VM behind a partition with the old primary went on reading from it for as long as the
// partition lasted (akwaaba-letters trouble-1, 36.13 s).
func TestPartitionedReplacedPrimaryServesNoCurrentReads(t *testing.T) {
	f := start(t, replacedServe)
	old := f.primary()
	f.runWithReaders(func() {
		old.CloseToNew(true)
		old.Cut(true)
		f.storeRelays[0].SetPartitioned(true)
		f.awaitNewPrimary(old)
		f.awaitWrite(1)
		time.Sleep(staleServeTime)
		f.storeRelays[0].SetPartitioned(false)
		old.CloseToNew(false)
		old.Cut(false)
		f.awaitWrite(0)
	})
}

// The entry of the old primary returned after the partition and still claimed to lead; its
// version was the newest, and VMs took it (akwaaba-letters trouble-1, 39.43 s).
func TestReplacedPrimaryClaimingAgainIsIgnored(t *testing.T) {
	f := start(t, replacedServe)
	old := f.primary()
	f.runWithReaders(func() {
		old.CloseToNew(true)
		old.Cut(true)
		f.Hide(old)
		f.awaitNewPrimary(old)
		f.awaitWrite(1)
		old.CloseToNew(false)
		f.Show(old)
		time.Sleep(staleServeTime)
		if _, leads, _ := old.State(); leads {
			t.Error("the replaced primary was not told to step down")
		}
		old.Cut(false)
		f.awaitWrite(0)
	})
}

// VMs that start after a change of primary know only what the store says of it.
func TestNewVMRejectsClaimOfReplacedPrimary(t *testing.T) {
	f := start(t, replacedServe)
	old := f.primary()
	f.runWithReaders(func() {
		old.CloseToNew(true)
		old.Cut(true)
		f.Hide(old)
		f.awaitNewPrimary(old)
		f.awaitWrite(1)
		f.stop[2]()
		<-f.done[2]
		old.CloseToNew(false)
		f.Show(old)
		f.startVM(2)
		f.eventually("ready", func() bool { return f.isReady(2) })
		time.Sleep(staleServeTime)
		old.Cut(false)
		f.awaitWrite(0)
	})
}
