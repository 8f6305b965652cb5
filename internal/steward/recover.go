package steward

import (
	"context"
	"runtime/debug"

	"github.com/sirupsen/logrus"

	"chicoryline/internal/errkind"
)

// recoverPanic turns a panic into an error. It is deferred where the goroutine belongs to one
// attempt, whose fault must not end the process: that serves other groups.
func recoverPanic(log *logrus.Entry, err *error) {
	if p := recover(); p != nil {
		*err = panicError(log, p)
	}
}

// panicError logs a panic and returns it as an error.
func panicError(log *logrus.Entry, p any) error {
	log.WithField("stack", string(debug.Stack())).Error("attempt panicked")
	return errkind.New(errkind.Internal, "panic: %v", p)
}

// runRecovered runs the task and returns a panic as an error. The lease expires then, and the change
// counts as unfinished.
func (s *Steward) runRecovered(ctx context.Context, t Task, log *logrus.Entry) (err error) {
	defer recoverPanic(log, &err)
	return s.runTask(ctx, t, log)
}
