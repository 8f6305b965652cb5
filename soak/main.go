// Command soak runs the real program as separate processes on stand-ins of the platform,
// injects faults from outside at random times, and checks the consistency guarantees from
// what callers and backend servers observe. A seed determines the sequence of faults.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/jessevdk/go-flags"
)

type options struct {
	Program  string        `long:"program" required:"yes" description:"path of the program to run, a build of cmd/chicoryline"`
	Seed     uint64        `long:"seed" default:"1" description:"first seed"`
	Seeds    uint64        `long:"seeds" default:"1" description:"number of seeds, one after the other"`
	Length   time.Duration `long:"length" default:"20s" description:"duration of fault injection for each seed"`
	VMs      int           `long:"vms" default:"5" description:"number of processes"`
	Callers  int           `long:"callers" default:"16" description:"number of callers"`
	Series   bool          `long:"series" description:"run series of faults on each group, with more writers, in addition to the single faults"`
	Replaced bool          `long:"replaced-serve" description:"replaced primaries keep serving until they learn of their successor"`
	Restores bool          `long:"restores" description:"restore the store from backups, in addition to the other faults"`
	Evacuate bool          `long:"evacuations" description:"evacuate failure domains and withdraw that, in addition to the other faults"`
	Depart   bool          `long:"departures" description:"in each group, a replica leaves as planned, then the primary is lost and all processes are killed, in addition to the other faults"`
	Repeats  bool          `long:"repeats" description:"backend servers write some of their answers twice, in addition to the other faults"`
	OddBytes bool          `long:"odd-bytes" description:"callers send any bytes that the protocol allows, line feeds and words of the protocol among them"`
	OddNoLF  bool          `long:"odd-no-lf" description:"as odd-bytes, without line feeds"`
	Events   bool          `long:"events" description:"print the faults of all seeds, not only of those with a problem"`
	Logs     string        `long:"logs" description:"folder for the logs of processes; logs are kept for seeds with a problem"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	failed := 0
	for seed := o.Seed; seed < o.Seed+o.Seeds; seed++ {
		report, err := runSoak(o, seed)
		if err != nil {
			fmt.Fprintf(os.Stderr, "seed=%d error=%q\n", seed, err)
			os.Exit(1)
		}
		fmt.Println(report)
		if o.Events && len(report.problems) == 0 {
			fmt.Println(report.faults())
		}
		if len(report.problems) > 0 {
			failed++
		}
	}
	fmt.Printf("seeds=%d failed=%d\n", o.Seeds, failed)
	if failed > 0 {
		os.Exit(1)
	}
}
