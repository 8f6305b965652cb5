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

// largeVMs is above the fleet size up to which every VM does all work
// itself.
const largeVMs = 18

// startLarge starts a fleet of two cells and waits until every VM knows the others.
func startLarge(t *testing.T) *fleet {
	f := start(t, func(o *world.Options) {
		o.VMs, o.Domains = largeVMs, []string{"north", "south"}
	})
	time.Sleep(4 * time.Second) // changes of the VM list are batched for 3 s
	return f
}

// A customer calls all VMs. Its statements outside of transactions run at one VM of each
// cell, over few connections, and read their own writes and current data.
func TestStatementsRunAtOwners(t *testing.T) {
	f := startLarge(t)
	most := func() int {
		n := 0
		for _, s := range f.Groups[0].Servers() {
			n = max(n, s.Connections())
		}
		return n
	}
	round := 0
	f.eventually("few connections", func() bool {
		round++
		for vm := range largeVMs {
			own, current := f.dial(vm, "own-0", "key-large"), f.dial((vm+7)%largeVMs, "current-0", "key-large")
			own.must("SET color red")
			data := fmt.Sprintf("%d-%d", round, vm)
			own.must("WRITE x " + data)
			if got := own.must("READ x").Rows[0]; got != data {
				t.Fatalf("own write %s reads %q", data, got)
			}
			if got := current.must("READ x").Rows[0]; got != data {
				t.Fatalf("current read after %s gives %q", data, got)
			}
			own.must("PARSE s WRITE shape")
			own.must("EXECUTE s x again")
			own.Close()
			current.Close()
		}
		return most() <= 4
	})
}

// Only some VMs read the store; a change still reaches every VM within the usual time
// limit, with fewer calls of the store than VMs.
func TestChangesReachAllOfALargeFleet(t *testing.T) {
	f := startLarge(t)
	before := f.Store.Calls()
	f.ChangeConfig(func(_ *[]world.Route, customers *[]world.Customer) { (*customers)[0].Keys = []string{"key-new"} })
	for vm := range largeVMs {
		f.eventually(fmt.Sprint("new key at VM ", vm), func() bool {
			c, err := lineclient.Dial(f.FrontAddress(vm), "own-0", "key-new", requestTimeout)
			if err == nil {
				c.Close()
			}
			return err == nil
		})
	}
	if n := f.Store.Calls() - before; n >= largeVMs {
		t.Errorf("one change caused %d calls of the store, want fewer than the number of VMs", n)
	}
}

// VMs, owners among them, stop as planned one after the other. Callers of the remaining
// VMs still read their own acknowledged writes, and every statement succeeds or is
// rejected as not run.
func TestPlannedStopOfOwners(t *testing.T) {
	f := startLarge(t)
	var callers sync.WaitGroup
	var stopped atomic.Bool
	var served atomic.Int64
	for vm := range 4 {
		callers.Go(func() {
			c := f.dial(vm, "own-0", "key-large")
			last := ""
			for i := 0; !stopped.Load(); i++ {
				item, data := fmt.Sprint("item", vm), fmt.Sprint(i)
				a, err := c.Query(f.newID(), "WRITE "+item+" "+data)
				if err != nil {
					t.Errorf("write: %v", err)
					return
				}
				switch a.Code {
				case "":
					last = data
					served.Add(1)
				case "BUSY":
				default:
					t.Errorf("write: %s %s", a.Code, a.Text)
					return
				}
				a, err = c.Query(f.newID(), "READ "+item)
				if err != nil || a.Code != "" && a.Code != "BUSY" {
					t.Errorf("read: %v %s %s", err, a.Code, a.Text)
					return
				}
				if a.Code == "" && last != "" && a.Rows[0] != last {
					t.Errorf("own write %s reads %q", last, a.Rows[0])
				}
			}
		})
	}
	for vm := 4; vm < largeVMs; vm++ {
		f.stop[vm]()
		time.Sleep(200 * time.Millisecond)
	}
	stopped.Store(true)
	callers.Wait()
	if served.Load() == 0 {
		t.Error("nothing was served")
	}
}
