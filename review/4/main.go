// Case 4: after a restart of all processes, groups whose primary is gone never get a new one.
package main

import (
	"fmt"
	"syscall"
	"time"

	"chicoryline/internal/standin/rowstore"
	"chicoryline/internal/standin/world"
	"chicoryline/review/harness"
)

const (
	groups = 3
	vms    = 3
	key    = "key-0"
	// clientsPerRoute is the number of sessions on each route; each sends one request per
	// requestInterval.
	clientsPerRoute = 2
	requestInterval = 200 * time.Millisecond
	// calm is the traffic before the first disruption.
	calm = 10 * time.Second
	// storeDown is the length of the store's outage, entryLifetime that of the entry of a server
	// without heartbeats: three intervals of 1,200 ms.
	storeDown     = 5600 * time.Millisecond
	entryLifetime = 3600 * time.Millisecond
	// crashAfter and killAfter are the times from the begin of the outage to the loss of the
	// primaries and to the final fault.
	crashAfter = 300 * time.Millisecond
	killAfter  = 4 * time.Second
	// down is the time until killed processes start again.
	down = 600 * time.Millisecond
	// recovery is recovery_s; requests are counted for watched after it.
	recovery = 12 * time.Second
	watched  = 30 * time.Second
	// minServed is the share of the requests that the rule requires to be served.
	minServed = 0.25
)

func main() { harness.Main(run) }

func run(record *harness.Record, trouble bool) (bool, error) {
	fleet, err := harness.NewFleet(world.Options{
		Groups: groups, Domains: []string{"north", "south", "east"}, VMs: vms, MaxConnections: 34,
		Lag: 60 * time.Millisecond, StatementTime: 11 * time.Millisecond, PromotionDelay: 600 * time.Millisecond,
		KeyRevocationDelay: 5 * time.Second,
		Customers:          []world.Customer{{Name: "customer0", Keys: []string{key}, Rate: 300, Burst: 300}},
	}, harness.Program(), record)
	if err != nil {
		return false, err
	}
	defer fleet.Close()
	for vm := range vms {
		if err := fleet.Start(vm); err != nil {
			return false, err
		}
	}
	for vm := range vms {
		for g := range groups {
			if err := fleet.AwaitReads(vm, fmt.Sprintf("current-%d", g), key); err != nil {
				return false, err
			}
		}
	}
	t := &harness.Traffic{VMs: []int{0, 1, 2}, Key: key, Interval: requestInterval}
	fleet.StartTraffic(t, clientsPerRoute)
	started := time.Now()
	time.Sleep(calm)
	begin := time.Now()
	if harness.IsOn(trouble, "store") {
		record.Addf("store: answers 503 for %v", storeDown)
		fleet.World.Store.SetFault(rowstore.Busy)
	}
	time.Sleep(crashAfter)
	if harness.IsOn(trouble, "primaries") {
		for _, g := range fleet.World.Groups {
			p := g.Primary()
			record.Addf("%s: primary %s is gone for good", g.Name(), p.ID)
			p.Crash()
			time.AfterFunc(entryLifetime, func() {
				record.Addf("entry of %s expires", p.ID)
				fleet.World.PublishEntry(p)
			})
		}
	}
	time.Sleep(time.Until(begin.Add(killAfter)))
	final := time.Now()
	if harness.IsOn(trouble, "kill") {
		for vm := range vms {
			fleet.Signal(vm, syscall.SIGKILL)
		}
		for vm := range vms {
			fleet.Wait(vm)
		}
		time.Sleep(down)
		for vm := range vms {
			if err := fleet.Start(vm); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(time.Until(begin.Add(storeDown)))
	fleet.World.Store.SetFault(rowstore.NoFault)
	back := time.Now()
	record.Addf("store answers, all processes run")
	time.Sleep(time.Until(back.Add(recovery + watched)))
	t.Stop()

	before, beforeAll := t.Served(started, final)
	after, afterAll := t.Served(back.Add(recovery), back.Add(recovery+watched))
	record.Addf("before the final fault: %d of %d requests served", before, beforeAll)
	record.Addf("later than %v after the machines and the store are back: %d of %d requests served", recovery, after, afterAll)
	for _, g := range fleet.World.Groups {
		primary := "none"
		if p := g.Primary(); p != nil {
			running, _, _ := p.State()
			primary = fmt.Sprintf("%s, running: %t", p.ID, running)
		}
		record.Addf("%s: primary %s, promoted during the run: %v", g.Name(), primary, g.Promoted())
	}
	if beforeAll == 0 || afterAll == 0 || float64(before) < minServed*float64(beforeAll) {
		return false, fmt.Errorf("too little was served before the final fault: %d of %d", before, beforeAll)
	}
	return float64(after) < minServed*float64(afterAll), nil
}
