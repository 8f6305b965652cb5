package main

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"syscall"

	"github.com/sirupsen/logrus"

	"chicoryline/internal/entry"
	"chicoryline/internal/errkind"
	"chicoryline/internal/eventlog"
	"chicoryline/platform"
)

// entryCommand runs one process on the users' platform.
type entryCommand struct {
	Verbose bool `long:"verbose" description:"log debug lines as well"`
}

// Execute runs until SIGINT or SIGTERM, then stops gracefully.
func (c *entryCommand) Execute([]string) error {
	path := os.Getenv(platform.SettingsPathEnv)
	if path == "" {
		return errkind.New(errkind.InvalidSettings, "%s is not set", platform.SettingsPathEnv)
	}
	settings, err := platform.LoadSettings(path)
	if err != nil {
		return errkind.New(errkind.InvalidSettings, "%v", err)
	}
	level := logrus.InfoLevel
	if c.Verbose {
		level = logrus.DebugLevel
	}
	writer := eventlog.NewWriter(os.Stdout)
	defer writer.Close()
	log := eventlog.New(writer, level)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	go func() {
		for range reload {
			logReload(log, path, settings)
		}
	}()
	return entry.New(settings, platform.New(settings), log).Run(ctx)
}

// logReload reads the settings file again and logs the result. The running process keeps its
// settings in any case.
func logReload(log *logrus.Entry, path string, running entry.Settings) {
	fresh, err := platform.LoadSettings(path)
	if err != nil {
		log.WithError(err).WithField("event", "reload").Error("settings file could not be read; the running settings remain in force")
		return
	}
	log.WithFields(logrus.Fields{"event": "reload", "changed": !reflect.DeepEqual(fresh, running)}).Info("settings file was read; changes take effect at the next start")
}
