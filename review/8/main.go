// Command 8 is the script of case 8: the primary is lost for good and all processes are killed shortly
// after a replica has left as planned.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"

	"chicoryline/review/rig"
)

const (
	drain = 7500 * time.Millisecond // drain_ms and a little longer
	// recovery is recovery_s of the settings, measured how long requests are counted after it.
	recovery = 12 * time.Second
	measured = 10 * time.Second
)

func main() {
	program := flag.String("program", "target/chicoryline", "program of the deploy file")
	record := flag.String("record", "record.txt", "file to write what happened to")
	flag.Parse()
	os.Exit(run(*program, *record, os.Getenv("TROUBLE") != "0"))
}

func run(program, record string, trouble bool) int {
	in, err := rig.Start(program, record, "lager0")
	if err != nil {
		fmt.Println("the case could not run:", err)
		return 2
	}
	defer in.Close()
	if err := in.StartMachines(8); err != nil {
		fmt.Println("the case could not run:", err)
		return 2
	}
	g := in.Groups[0]
	callers := in.StartMix(12, "lager0")
	time.Sleep(4 * time.Second)
	leaving := g.Instances()[2]
	next, err := g.Start(leaving.Zone)
	if err != nil {
		fmt.Println("the case could not run:", err)
		return 2
	}
	in.Publish(next)
	time.Sleep(time.Second)
	leaving.Drain()
	in.Logf("replica %s is draining, %s takes its place", leaving.ID, next.ID)
	time.Sleep(drain)
	in.Leave(leaving)
	in.Logf("%s has left", leaving.ID)
	time.Sleep(time.Second)
	fault := time.Now()
	if trouble {
		p := g.Primary()
		p.Crash()
		in.Logf("primary %s is lost for good, its log reached up to %s", p.ID, p.Received())
		time.Sleep(400 * time.Millisecond)
		in.ChangeManifest(func(r *[]rig.Route, _ *[]rig.Tenant) { (*r)[0].TimeoutMS = 1100 })
		if err := in.RestartAll(800 * time.Millisecond); err != nil {
			fmt.Println("the case could not run:", err)
			return 2
		}
	}
	back := time.Now()
	time.Sleep(recovery + measured)
	callers.Stop()
	before, after := callers.Between(fault.Add(-4*time.Second), fault), callers.Between(back.Add(recovery), back.Add(recovery+measured))
	for _, i := range g.Instances() {
		if i.Running() {
			in.Logf("%s runs, its log reaches up to %s", i.ID, i.Received())
		}
	}
	in.Logf("served before: %.2f of %d; later than %v after the machines were back: %.2f of %d; promoted: %v", before.Share(), before.Sent, recovery, after.Share(), after.Sent, g.Promoted())
	fmt.Printf("trouble %t: served %.2f of %d requests before, %.2f of %d later than %v after the machines were back\n", trouble, before.Share(), before.Sent, after.Share(), after.Sent, recovery)
	switch {
	case before.Share() < 0.25:
		return 2
	case after.Share() < 0.25:
		return 1
	}
	return 0
}
