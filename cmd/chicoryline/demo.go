package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"chicoryline/internal/demo"
	"chicoryline/internal/site"
)

// demoCommand demonstrates the proxy: a site of proxies and stand-ins in one process.
type demoCommand struct {
	Duration time.Duration `long:"duration" default:"10s" description:"duration of the load"`
	Seed     uint64        `long:"seed" default:"1" description:"seed of the load"`
	Site     string        `long:"site" default:"demo" choice:"demo" choice:"kremstal" choice:"fogas" description:"size of the site"`
	Platform bool          `long:"platform" description:"run on stand-ins of the users' platform"`
	Serve    bool          `long:"serve" description:"print every address and run without load until SIGINT or SIGTERM"`
	Verbose  bool          `long:"verbose" short:"v" description:"log the events of all proxies"`
}

// Execute implements flags.Commander.
func (c *demoCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if c.Platform {
		return c.onPlatform(ctx)
	}
	options := demo.DefaultOptions()
	options.Spec, options.Duration, options.Seed, options.Out, options.Log = siteSpec(c.Site), c.Duration, c.Seed, os.Stdout, demoLogger(c.Verbose)
	if c.Serve {
		return demo.Serve(ctx, options)
	}
	figures, err := demo.Run(ctx, options)
	if err != nil {
		return err
	}
	figures.WriteNotes(os.Stdout)
	fmt.Println(figures.Line())
	if figures.ViolationCount() > 0 {
		return errors.Errorf("%d guarantees were violated", figures.ViolationCount())
	}
	return nil
}

// onPlatform runs the demonstration on stand-ins of the users' platform.
func (c *demoCommand) onPlatform(ctx context.Context) error {
	f, err := demo.RunOnPlatform(ctx, c.Duration, c.Seed, os.Stdout, demoLogger(c.Verbose))
	if err != nil {
		return err
	}
	fmt.Printf("requests=%d served=%d refused=%v stale=%d lost=%d doubled=%d mixed=%d unasked=%d malformed=%d\n",
		f.Requests, f.Served, f.Refused, f.Stale, f.Lost, f.Doubled, f.Mixed, f.Unasked, f.Malformed)
	for _, v := range f.Violations {
		fmt.Printf("violation=%q\n", v)
	}
	if f.ViolationCount() > 0 {
		return errors.Errorf("%d guarantees were violated", f.ViolationCount())
	}
	return nil
}

// siteSpec returns the site for the value of a --site flag.
func siteSpec(name string) site.Spec {
	switch name {
	case "kremstal":
		return site.Kremstal()
	case "fogas":
		return site.Fogas()
	}
	return site.Demo()
}

// demoLogger returns a logger of all events if verbose, and of fatal errors otherwise.
func demoLogger(verbose bool) *logrus.Entry {
	if verbose {
		return newLogger(logrus.DebugLevel)
	}
	return newLogger(logrus.FatalLevel)
}
