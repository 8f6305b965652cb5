package dbinstance

import (
	"context"
	"time"

	"chicoryline/internal/backend"
	"chicoryline/internal/errkind"
	"chicoryline/internal/position"
)

// Control returns a backend.Control that calls the store directly, without a network.
func (s *Store) Control() backend.Control { return storeControl{s} }

type storeControl struct{ store *Store }

// Status implements backend.Control.
func (c storeControl) Status(context.Context) (backend.Status, error) { return c.store.Status(), nil }

// Wait implements backend.Control.
func (c storeControl) Wait(ctx context.Context, p position.Position, timeout time.Duration) (backend.Status, error) {
	status := c.store.Wait(ctx, p, timeout)
	if ctx.Err() != nil {
		return backend.Status{}, errkind.New(errkind.OutcomeUnknown, "instance %s: %v", c.store.id, ctx.Err())
	}
	return status, nil
}

// Fence implements backend.Control.
func (c storeControl) Fence(_ context.Context, term uint64) (backend.Status, error) {
	return c.withErrorKind(c.store.Fence(term))
}

// Promote implements backend.Control.
func (c storeControl) Promote(_ context.Context, term uint64) (backend.Status, error) {
	return c.withErrorKind(c.store.Promote(term))
}

// Follow implements backend.Control.
func (c storeControl) Follow(_ context.Context, term uint64, primary string) (backend.Status, error) {
	return c.withErrorKind(c.store.Follow(term, primary))
}

// withErrorKind converts a store error to the error kind that backend.Client returns
// for it.
func (c storeControl) withErrorKind(s backend.Status, err error) (backend.Status, error) {
	if err == nil {
		return s, nil
	}
	kind := errkind.StatementFailed
	switch asSQLError(err).Code {
	case codeFenced:
		kind = errkind.Fenced
	case codeNotReady:
		kind = errkind.Conflict
	}
	return backend.Status{}, errkind.New(kind, "instance %s: %s", c.store.id, asSQLError(err).Message)
}

// ControlFault is a fault injected into one control command.
type ControlFault uint8

// The faults of a control command.
const (
	// ControlNoFault executes the command normally.
	ControlNoFault ControlFault = iota
	// ControlUnreachable fails with errkind.Unreachable; the command is not executed.
	ControlUnreachable
	// ControlRequestLost loses the request: it fails with errkind.OutcomeUnknown and the
	// command is not executed.
	ControlRequestLost
	// ControlResponseLost loses the response: it fails with errkind.OutcomeUnknown after
	// the command has been executed.
	ControlResponseLost
)

// FaultyControl injects faults into the control commands of an instance.
type FaultyControl struct {
	// Control executes the commands.
	Control backend.Control
	// Next returns the fault of the next command: "status", "wait", "fence",
	// "promote" or "follow". It must be safe for concurrent use.
	Next func(command string) ControlFault
}

var _ backend.Control = FaultyControl{}

func (c FaultyControl) withFault(command string, run func() (backend.Status, error)) (backend.Status, error) {
	switch c.Next(command) {
	case ControlUnreachable:
		return backend.Status{}, errkind.New(errkind.Unreachable, "%s: injected fault", command)
	case ControlRequestLost:
		return backend.Status{}, errkind.New(errkind.OutcomeUnknown, "%s: injected fault", command)
	case ControlResponseLost:
		_, _ = run()
		return backend.Status{}, errkind.New(errkind.OutcomeUnknown, "%s: injected fault", command)
	}
	return run()
}

// Status implements backend.Control.
func (c FaultyControl) Status(ctx context.Context) (backend.Status, error) {
	return c.withFault("status", func() (backend.Status, error) { return c.Control.Status(ctx) })
}

// Wait implements backend.Control.
func (c FaultyControl) Wait(ctx context.Context, p position.Position, timeout time.Duration) (backend.Status, error) {
	return c.withFault("wait", func() (backend.Status, error) { return c.Control.Wait(ctx, p, timeout) })
}

// Fence implements backend.Control.
func (c FaultyControl) Fence(ctx context.Context, term uint64) (backend.Status, error) {
	return c.withFault("fence", func() (backend.Status, error) { return c.Control.Fence(ctx, term) })
}

// Promote implements backend.Control.
func (c FaultyControl) Promote(ctx context.Context, term uint64) (backend.Status, error) {
	return c.withFault("promote", func() (backend.Status, error) { return c.Control.Promote(ctx, term) })
}

// Follow implements backend.Control.
func (c FaultyControl) Follow(ctx context.Context, term uint64, primary string) (backend.Status, error) {
	return c.withFault("follow", func() (backend.Status, error) { return c.Control.Follow(ctx, term, primary) })
}
