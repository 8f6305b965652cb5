// Package demo runs a site with a load and injected faults inside one process and reports
// whether any guarantee was violated.
package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/sirupsen/logrus"

	"chicoryline/internal/load"
	"chicoryline/internal/site"
)

// Options configures a run.
type Options struct {
	Spec     site.Spec
	Duration time.Duration
	Seed     uint64
	// Faults makes the run partition a primary, withdraw a key and stop a proxy.
	Faults bool
	// Planned performs a planned switchover instead of partitioning the primary.
	Planned bool
	// ReadShare, RoamShare and Scale shape the load; Scale multiplies every
	// customer's offered rate.
	ReadShare float64
	RoamShare float64
	Scale     float64
	// Overload is the load that the first customer offers, as a multiple of its rate; 0 makes
	// it an ordinary customer.
	Overload float64
	Log      *logrus.Entry
	// FrontProxies starts other proxies in front of the site and returns their addresses and
	// a function that stops them; nil uses the site's own proxies.
	FrontProxies func(s *site.Site) ([]string, func(), error)
	// Out receives the progress lines.
	Out io.Writer
}

// DefaultOptions returns the options of the demo command.
func DefaultOptions() Options {
	return Options{
		Spec: site.Demo(), Duration: 10 * time.Second, Seed: 1, Faults: true,
		ReadShare: 0.8, RoamShare: 0.05, Scale: 1, Overload: 5,
	}
}

const (
	// ordinaryRateShare is the load that an ordinary customer offers, as a fraction of its
	// rate in statements.
	ordinaryRateShare = 0.5
	// statementsPerRequest is the mean cost of a request, in statements.
	statementsPerRequest = 1.3
	// offeredPerSession is the load of one session, in requests per second.
	offeredPerSession = 10
	// settleTime lets replication and the last answers finish before the evaluation.
	settleTime = 500 * time.Millisecond
	// progressInterval is the interval between two progress lines.
	progressInterval = time.Second
)

// Run starts the site, drives the load, injects the faults and evaluates the result.
func Run(ctx context.Context, o Options) (load.Figures, error) {
	fmt.Fprintf(o.Out, "site=%s failure_domains=%d proxies=%d groups=%d instances=%d customers=%d starting=true\n",
		o.Spec.Name, o.Spec.Domains, o.Spec.Proxies, o.Spec.Groups, o.Spec.Groups*o.Spec.Instances, len(o.Spec.Customers))
	s, err := site.Start(ctx, o.Spec, o.Log)
	if err != nil {
		return load.Figures{}, err
	}
	defer s.Close()
	cfg := loadConfig(o, s)
	if o.FrontProxies != nil {
		addresses, stop, err := o.FrontProxies(s)
		if err != nil {
			return load.Figures{}, err
		}
		defer stop()
		cfg.Addresses = func() []string { return addresses }
	}
	l := load.New(cfg)
	before := s.Reads()
	events := make(chan []load.Event, 1)
	running, cancel := context.WithCancel(ctx)
	defer cancel()
	go printProgress(running, o.Out, l)
	go func() { events <- injectFaults(running, o, s) }()
	l.Run(ctx)
	cancel()
	injected := <-events
	time.Sleep(settleTime)
	bookings, err := s.Bookings(ctx)
	if err != nil {
		return load.Figures{}, err
	}
	load.WriteCustomers(o.Out, cfg, l.Records())
	figures := load.Evaluate(cfg, l.Records(), l.Violations(), injected, bookings)
	figures.ReplicaReadShare = s.Reads().Since(before).ReplicaShare()
	return figures, nil
}

func loadConfig(o Options, s *site.Site) load.Config {
	cfg := load.Config{
		Addresses: s.CallerAddresses, Dial: s.DialClient(), MaxAge: o.Spec.MaxAge,
		ReadShare: o.ReadShare, RoamShare: o.RoamShare, Duration: o.Duration, Seed: o.Seed,
	}
	for g := range o.Spec.Groups {
		cfg.Groups = append(cfg.Groups, site.GroupName(g))
	}
	for i, c := range o.Spec.Customers {
		rateShare := ordinaryRateShare
		if i == 0 && o.Overload > 0 {
			rateShare = o.Overload
		}
		offered := c.Rate * rateShare * o.Scale / statementsPerRequest
		cfg.Customers = append(cfg.Customers, load.Customer{
			Name: c.Name, Key: s.Keys[c.Name], Rate: c.Rate, Burst: c.Burst, Offered: offered,
			Sessions: max(2, int(offered/offeredPerSession)),
		})
	}
	return cfg
}

func printProgress(ctx context.Context, out io.Writer, l *load.Load) {
	started := time.Now()
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			done, succeeded := l.Progress()
			fmt.Fprintf(out, "elapsed=%s requests=%d succeeded=%d findings=%d\n",
				time.Since(started).Round(time.Second), done, succeeded, len(l.Violations()))
		}
	}
}

// faultStep is one fault, injected after a fraction of the run's duration.
type faultStep struct {
	fraction    float64
	description string
	inject      func() error
}

// injectFaults injects the faults and returns when each of them happened.
func injectFaults(ctx context.Context, o Options, s *site.Site) []load.Event {
	if !o.Faults {
		return nil
	}
	started := time.Now()
	group := site.GroupName(0)
	primary := s.Primary(group)
	customer := o.Spec.Customers[len(o.Spec.Customers)-1].Name
	stopped := o.Spec.Proxies - 1
	var events []load.Event
	first := faultStep{0.25, "primary_cut group=" + group + " backend_server=" + primary, func() error {
		events = append(events, load.Event{At: time.Now(), Name: "primary_cut", Group: group})
		return s.PartitionInstance(primary)
	}}
	if o.Planned {
		target := s.OtherInstance(group, primary)
		first = faultStep{0.25, "primary_handed_over group=" + group + " from=" + primary + " to=" + target, func() error {
			events = append(events, load.Event{At: time.Now(), Name: "primary_cut", Group: group})
			return s.Handover(ctx, group, target)
		}}
	}
	steps := []faultStep{
		first,
		{0.5, "key_withdrawn customer=" + customer, func() error {
			err := s.WithdrawKey(ctx, customer)
			events = append(events, load.Event{At: time.Now(), Name: "key_withdrawn", Customer: customer})
			return err
		}},
		{0.65, "proxy_stopped vm=" + site.ProxyName(stopped), func() error { return s.StopProxy(ctx, stopped) }},
		{0.8, "primary_healed backend_server=" + primary, func() error { return s.HealInstance(primary) }},
	}
	for _, step := range steps {
		timer := time.NewTimer(time.Until(started.Add(time.Duration(step.fraction * float64(o.Duration)))))
		select {
		case <-ctx.Done():
			timer.Stop()
			return events
		case <-timer.C:
		}
		line := "fault=" + step.description
		if err := step.inject(); err != nil {
			line += fmt.Sprintf(" error=%q", err)
		}
		fmt.Fprintln(o.Out, line)
	}
	return events
}
