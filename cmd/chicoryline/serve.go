package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/juju/errors"

	"chicoryline/internal/proxy"
	"chicoryline/internal/settings"
)

// serveCommand runs one proxy process until SIGINT or SIGTERM, which start a graceful
// shutdown.
type serveCommand struct {
	Settings string `long:"settings" short:"s" required:"true" value-name:"FILE" description:"INI settings file"`
}

// Execute implements flags.Commander. A second signal ends the graceful shutdown early.
func (c *serveCommand) Execute([]string) error {
	s, err := readSettings(c.Settings)
	if err != nil {
		return err
	}
	p, err := proxy.New(proxy.Options{Settings: s, Log: newLogger(s.LogLevel)})
	if err != nil {
		return err
	}
	if err := p.Start(); err != nil {
		return err
	}
	fmt.Printf("vm=%s callers=%s peers=%s metrics=%s\n", s.VM, p.CallerAddress(), p.PeerAddress(), p.MetricsAddress())
	awaitSignal()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		awaitSignal()
		cancel()
	}()
	return p.Stop(ctx)
}

// awaitSignal blocks until SIGINT or SIGTERM.
func awaitSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	<-signals
	signal.Stop(signals)
}

func readSettings(path string) (settings.Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return settings.Settings{}, errors.Annotate(err, "settings")
	}
	return settings.Parse(data)
}

// checkCommand checks a settings file without starting anything.
type checkCommand struct {
	Args struct {
		File string `positional-arg-name:"FILE" required:"true"`
	} `positional-args:"true"`
	Keys bool `long:"keys" description:"print every key with its default and meaning first"`
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	if c.Keys {
		for _, k := range settings.Keys() {
			fmt.Printf("section=%s key=%s required=%t default=%q meaning=%q\n", k.Section, k.Name, k.Required, k.DefaultValue(), k.Meaning)
		}
	}
	s, err := readSettings(c.Args.File)
	if err != nil {
		return err
	}
	fmt.Printf("settings=valid vm=%s failure_domain=%s\n", s.VM, s.Domain)
	return nil
}
