// Command chicoryline is a database proxy with session consistency. One binary contains the
// server, the operators' commands and the stand-ins for tests.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/sirupsen/logrus"

	"chicoryline/internal/errkind"
)

// Exit statuses. exitOutcomeUnknown means that the command may have taken effect.
const (
	exitFailed         = 1
	exitUsage          = 2
	exitOutcomeUnknown = 3
)

func main() {
	parser := flags.NewParser(nil, flags.Default&^flags.PrintErrors)
	parser.Name = "chicoryline"
	for _, c := range commands() {
		if _, err := parser.AddCommand(c.name, c.short, c.long, c.handler); err != nil {
			panic(err)
		}
	}
	_, err := parser.Parse()
	os.Exit(exitStatus(err))
}

// command is one command of the binary. handler declares the flags and implements
// flags.Commander.
type command struct {
	name, short, long string
	handler           any
}

// exitStatus prints the error, if any, and returns the exit status.
func exitStatus(err error) int {
	var usage *flags.Error
	var code exitCode
	switch {
	case err == nil:
		return 0
	case errors.As(err, &code):
		return int(code)
	case errors.As(err, &usage):
		fmt.Fprintln(os.Stderr, err)
		if usage.Type == flags.ErrHelp {
			return 0
		}
		return exitUsage
	}
	fmt.Fprintf(os.Stderr, "error=%s text=%q\n", errkind.KindOf(err), err.Error())
	if errkind.KindOf(err).Answer().Class == errkind.Unknown && errkind.KindOf(err) != errkind.Internal {
		return exitOutcomeUnknown
	}
	return exitFailed
}

// newLogger returns a logger that writes one key=value line for each event.
func newLogger(level logrus.Level) *logrus.Entry {
	log := logrus.New()
	log.SetOutput(os.Stderr)
	log.SetLevel(level)
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	return logrus.NewEntry(log)
}
