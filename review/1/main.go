// Case 1: a server at whose address another service answers is not counted as one that may have
// held commits; after a restart of all processes a replica that lacks them is promoted.
package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"

	"chicoryline/internal/standin/lineclient"
	"chicoryline/internal/standin/linegroup"
	"chicoryline/internal/standin/world"
	"chicoryline/review/harness"
)

const (
	vms      = 3
	key      = "key-0"
	database = "own-0"
	// clients send one write each per interval; answerLimit bounds the wait for an answer.
	clients     = 6
	interval    = 60 * time.Millisecond
	answerLimit = 3 * time.Second
	calm        = 5 * time.Second

	// Times from the moment at which the second replica stops receiving. Its limit on the site
	// is 7 s.
	deafFor      = 6500 * time.Millisecond
	replicaGone  = 1000 * time.Millisecond
	killAll      = 1200 * time.Millisecond
	startAll     = 2200 * time.Millisecond // killed processes start again after 1 s
	addressUsed  = 3100 * time.Millisecond // more than reuse_after_s (2 s) after the replica is gone
	primaryDown  = 3300 * time.Millisecond
	entryExpires = replicaGone + 3600*time.Millisecond // three heartbeat intervals of 1,200 ms
	primaryBack  = primaryDown + 7*time.Second
	end          = primaryBack + 5*time.Second
)

func main() { harness.Main(run) }

func run(record *harness.Record, trouble bool) (bool, error) {
	taps := harness.NewTaps(record)
	defer taps.Close()
	fleet, err := harness.NewFleet(world.Options{
		ServerAddress: taps.Address,
		Groups:        2, Domains: []string{"north", "south", "east"}, VMs: vms, MaxConnections: 34,
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
		if err := fleet.AwaitReads(vm, database, key); err != nil {
			return false, err
		}
	}
	stop := make(chan struct{})
	var writers sync.WaitGroup
	for i := range clients {
		writers.Go(func() { write(fleet, i, stop) })
	}
	time.Sleep(calm)
	if err := disrupt(fleet, taps, trouble); err != nil {
		return false, err
	}
	close(stop)
	writers.Wait()
	group := fleet.World.Groups[0]
	record.Addf("promoted during the run: %v", group.Promoted())
	broken := false
	for _, v := range group.Violations() {
		record.Addf("%s", v)
		broken = broken || strings.Contains(v, "acknowledged write")
	}
	return broken, nil
}

// disrupt makes the disruptions at their times.
func disrupt(fleet *harness.Fleet, taps *harness.Taps, trouble bool) error {
	group, other := fleet.World.Groups[0], fleet.World.Groups[1]
	primary, gone, deaf := group.Servers()[0], group.Servers()[1], group.Servers()[2]
	started := time.Now()
	at := func(d time.Duration) { time.Sleep(time.Until(started.Add(d))) }
	if harness.IsOn(trouble, "deaf") {
		fleet.Record.Addf("%s receives nothing for %v", deaf.ID, deafFor)
		deaf.SetReceiveBlocked(true)
		time.AfterFunc(deafFor, func() {
			fleet.Record.Addf("%s receives again", deaf.ID)
			deaf.SetReceiveBlocked(false)
		})
	}
	at(replicaGone)
	if harness.IsOn(trouble, "gone") {
		fleet.Record.Addf("%s is gone for good", gone.ID)
		gone.Crash()
		time.AfterFunc(entryExpires-replicaGone, func() {
			fleet.Record.Addf("entry of %s expires", gone.ID)
			fleet.World.PublishEntry(gone)
		})
	}
	at(killAll)
	if harness.IsOn(trouble, "kill") {
		for vm := range vms {
			fleet.Signal(vm, syscall.SIGKILL)
		}
		for vm := range vms {
			fleet.Wait(vm)
		}
		at(startAll)
		for vm := range vms {
			if err := fleet.Start(vm); err != nil {
				return err
			}
		}
	}
	at(addressUsed)
	if harness.IsOn(trouble, "gone") && harness.IsOn(trouble, "reuse") {
		s, err := fleet.World.AddServer(other, gone.Domain, false)
		if err != nil {
			return err
		}
		taps.Reuse(gone, s)
		fleet.World.Show(s)
	}
	at(primaryDown)
	if harness.IsOn(trouble, "primary") {
		crash(fleet, primary, primaryBack-primaryDown)
	}
	at(end)
	return nil
}

// crash crashes the server, which starts again with its log after the given time.
func crash(fleet *harness.Fleet, s *linegroup.Server, d time.Duration) {
	fleet.Record.Addf("primary %s crashes for %v", s.ID, d)
	s.Crash()
	time.AfterFunc(d, func() {
		if err := s.Restart(); err != nil {
			fleet.Record.Addf("%s: %v", s.ID, err)
			return
		}
		fleet.Record.Addf("%s is back", s.ID)
		fleet.World.PublishEntry(s)
	})
}

// write sends writes until stop is closed. After an error it opens a new session at another VM.
func write(fleet *harness.Fleet, number int, stop chan struct{}) {
	var session *lineclient.Client
	vm := number % vms
	for n := 0; ; n++ {
		select {
		case <-stop:
			if session != nil {
				session.Close()
			}
			return
		case <-time.After(interval):
		}
		var err error
		if session == nil {
			if session, err = lineclient.Dial(fleet.World.FrontAddress(vm), database, key, answerLimit); err != nil {
				session, vm = nil, (vm+1)%vms
				continue
			}
		}
		id := fmt.Sprintf("c%dw%d", number, n)
		a, err := session.Query(id, fmt.Sprintf("WRITE item%d %s", number, id))
		switch {
		case err != nil:
			fleet.Record.Addf("%s via vm%d: no answer: %v", id, vm, err)
			session.Close()
			session, vm = nil, (vm+1)%vms
		case a.Code != "":
			fleet.Record.Addf("%s via vm%d: %s %s", id, vm, a.Code, a.Text)
		default:
			fleet.Record.Addf("%s via vm%d: acknowledged", id, vm)
		}
	}
}
