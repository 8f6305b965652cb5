package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"chicoryline/internal/bench"
	"chicoryline/internal/demo"
	"chicoryline/internal/spread"
)

// benchCommand runs the benchmarks: proxies and stand-ins in one process.
type benchCommand struct {
	Site      string        `long:"site" default:"kremstal" choice:"demo" choice:"kremstal" choice:"fogas" description:"size of the site"`
	Duration  time.Duration `long:"duration" default:"10s" description:"duration of the load"`
	Seed      uint64        `long:"seed" default:"1" description:"seed of the load"`
	ReadShare float64       `long:"read-share" default:"0.8" description:"fraction of requests that are reads"`
	RoamShare float64       `long:"roam-share" default:"0.05" description:"fraction of requests after which a session moves to another proxy"`
	Scale     float64       `long:"scale" default:"1" description:"factor on the offered load of every customer"`
	Overload  float64       `long:"overload" default:"5" description:"factor by which the first customer exceeds its rate; 0 for none"`
	NoFaults  bool          `long:"no-faults" description:"inject no faults"`
	Planned   bool          `long:"planned" description:"switch the primary over as planned instead of partitioning it"`
	Compare   string        `long:"compare" choice:"naive" description:"run the same seed through a pass-through proxy as well"`
	JSON      bool          `long:"json" description:"print the results as JSON"`
	Latency   bool          `long:"latency" description:"measure the latency that the proxy adds to a statement instead"`
	Idle      int           `long:"idle" value-name:"N" description:"measure the memory of N idle callers instead"`
	Policy    bool          `long:"policy" description:"compare rate distribution and the fair queue with their baselines, in virtual time, instead"`
	Spreading bool          `long:"spreading" description:"compare ways to distribute a version to 8 to 1,500 VMs, in virtual time, instead"`
	Capacity  bool          `long:"capacity" description:"measure the cost per unit of load used in docs/CAPACITY.md instead"`
	Verbose   bool          `long:"verbose" short:"v" description:"log the events of all proxies"`
}

// Execute implements flags.Commander.
func (c *benchCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	log := demoLogger(c.Verbose)
	switch {
	case c.Policy:
		bench.Policy(os.Stdout, int64(c.Seed))
		return nil
	case c.Spreading:
		return spread.Run(os.Stdout, int64(c.Seed))
	case c.Capacity:
		return bench.Capacity(ctx, os.Stdout, log)
	case c.Latency:
		return bench.Latency(ctx, os.Stdout, log)
	case c.Idle > 0:
		return bench.IdleMemory(ctx, os.Stdout, log, c.Idle)
	}
	options := demo.DefaultOptions()
	options.Spec, options.Duration, options.Seed, options.Out, options.Log = siteSpec(c.Site), c.Duration, c.Seed, os.Stdout, log
	options.ReadShare, options.RoamShare, options.Scale, options.Overload, options.Faults = c.ReadShare, c.RoamShare, c.Scale, c.Overload, !c.NoFaults
	options.Planned = c.Planned
	return bench.Load(ctx, options, c.Compare == "naive", c.JSON)
}
