// Case 5: the row of a VM that was removed for good keeps groups from ever replacing a primary.
package main

import (
	"fmt"
	"syscall"
	"time"

	"chicoryline/internal/standin/world"
	"chicoryline/review/harness"
)

const (
	groups = 3
	// VM 3 is removed for good and VM 4 takes its place.
	removed, added, vms = 3, 4, 5
	key                 = "key-0"
	clientsPerRoute     = 1
	requestInterval     = 200 * time.Millisecond
	calm                = 5 * time.Second
	// addedAfter is the time until the new VM starts.
	addedAfter = 2 * time.Second
	// restartGap is the pause between two planned restarts.
	restartGap = 1300 * time.Millisecond
	// entryLifetime is that of the entry of a server without heartbeats: three intervals of
	// 1,200 ms. replicaAfter is when a new replica registers, settled the time after that.
	entryLifetime = 3600 * time.Millisecond
	replicaAfter  = 3 * time.Second
	settled       = 20 * time.Second
	// killAfter is the time from the loss of the primaries to the final fault, down the time
	// until killed processes start again.
	killAfter = 200 * time.Millisecond
	down      = 600 * time.Millisecond
	// recovery is recovery_s; requests are counted for watched after it.
	recovery  = 12 * time.Second
	watched   = 20 * time.Second
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
	running := []int{0, 1, 2, removed}
	if err := start(fleet, running); err != nil {
		return false, err
	}
	t := &harness.Traffic{VMs: []int{0, 1, 2}, Key: key, Interval: requestInterval}
	fleet.StartTraffic(t, clientsPerRoute)
	started := time.Now()
	time.Sleep(calm)

	if harness.IsOn(trouble, "replace") {
		record.Addf("vm%d is removed for good", removed)
		fleet.Signal(removed, syscall.SIGKILL)
		fleet.Wait(removed)
		time.Sleep(addedAfter)
		running = []int{0, 1, 2, added}
		if err := fleet.Start(added); err != nil {
			return false, err
		}
		time.Sleep(calm)
	}
	if harness.IsOn(trouble, "restart") {
		for _, vm := range running[:3] {
			fleet.Signal(vm, syscall.SIGTERM)
			fleet.Wait(vm)
			if err := fleet.Start(vm); err != nil {
				return false, err
			}
			time.Sleep(restartGap)
		}
		time.Sleep(calm)
	}
	if harness.IsOn(trouble, "replica") {
		if err := replaceReplicas(fleet); err != nil {
			return false, err
		}
		time.Sleep(settled)
	}
	final := time.Now()
	if harness.IsOn(trouble, "primaries") {
		for _, g := range fleet.World.Groups {
			p := g.Primary()
			record.Addf("%s: primary %s is gone for good", g.Name(), p.ID)
			p.Crash()
			time.AfterFunc(entryLifetime, func() { fleet.World.PublishEntry(p) })
		}
	}
	if harness.IsOn(trouble, "kill") {
		time.Sleep(killAfter)
		for _, vm := range running {
			fleet.Signal(vm, syscall.SIGKILL)
		}
		for _, vm := range running {
			fleet.Wait(vm)
		}
		time.Sleep(down)
		for _, vm := range running {
			if err := fleet.Start(vm); err != nil {
				return false, err
			}
		}
	}
	back := time.Now()
	time.Sleep(recovery + watched)
	t.Stop()

	before, beforeAll := t.Served(started, final)
	after, afterAll := t.Served(back.Add(recovery), back.Add(recovery+watched))
	record.Addf("before the final fault: %d of %d requests served", before, beforeAll)
	record.Addf("later than %v after the machines are back: %d of %d requests served", recovery, after, afterAll)
	for _, g := range fleet.World.Groups {
		for _, s := range g.Servers() {
			up, primary, _ := s.State()
			record.Addf("%s: running %t, primary %t", s.ID, up, primary)
		}
		record.Addf("%s: promoted during the run: %v", g.Name(), g.Promoted())
	}
	if beforeAll == 0 || afterAll == 0 || float64(before) < minServed*float64(beforeAll) {
		return false, fmt.Errorf("too little was served before the final fault: %d of %d", before, beforeAll)
	}
	return float64(after) < minServed*float64(afterAll), nil
}

// start starts the processes and waits until they answer reads of all groups.
func start(fleet *harness.Fleet, running []int) error {
	for _, vm := range running {
		if err := fleet.Start(vm); err != nil {
			return err
		}
	}
	for _, vm := range running {
		for g := range groups {
			if err := fleet.AwaitReads(vm, fmt.Sprintf("current-%d", g), key); err != nil {
				return err
			}
		}
	}
	return nil
}

// replaceReplicas ends one replica of each group for good and adds a new one.
func replaceReplicas(fleet *harness.Fleet) error {
	for _, g := range fleet.World.Groups {
		gone := g.Servers()[1]
		fleet.Record.Addf("%s: replica %s is gone for good", g.Name(), gone.ID)
		gone.Crash()
		time.AfterFunc(entryLifetime, func() { fleet.World.PublishEntry(gone) })
	}
	time.Sleep(replicaAfter)
	for _, g := range fleet.World.Groups {
		s, err := fleet.World.AddServer(g, g.Servers()[1].Domain, true)
		if err != nil {
			return err
		}
		fleet.Record.Addf("%s: replica %s registers", g.Name(), s.ID)
	}
	return nil
}
