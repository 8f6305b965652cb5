package dbinstance

import (
	"context"
	"time"

	"chicoryline/internal/backend"
	"chicoryline/internal/errkind"
	"chicoryline/internal/position"
)

// Control returns the store's instance control, without a network.
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

// withErrorKind gives the store's error the kind that backend.Client gives it.
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

// ControlFault is what happens to one control command.
type ControlFault uint8

// The faults of a control command.
const (
	// ControlNoFault lets the command pass.
	ControlNoFault ControlFault = iota
	// ControlUnreachable refuses the connection: errkind.Unreachable, not carried out.
	ControlUnreachable
	// ControlRequestLost loses the command: errkind.OutcomeUnknown, not carried out.
	ControlRequestLost
	// ControlResponseLost loses the answer: errkind.OutcomeUnknown, carried out.
	ControlResponseLost
)

// FaultyControl puts faults between a caller and an instance.
type FaultyControl struct {
	// Control is the instance.
	Control backend.Control
	// Next returns the fault of the next command: "status", "wait", "fence",
	// "promote" or "follow". It may be called from several goroutines.
	Next func(command string) ControlFault
}

var _ backend.Control = FaultyControl{}

func (c FaultyControl) withFault(command string, run func() (backend.Status, error)) (backend.Status, error) {
	switch c.Next(command) {
	case ControlUnreachable:
		return backend.Status{}, errkind.New(errkind.Unreachable, "%s: fault", command)
	case ControlRequestLost:
		return backend.Status{}, errkind.New(errkind.OutcomeUnknown, "%s: fault", command)
	case ControlResponseLost:
		_, _ = run()
		return backend.Status{}, errkind.New(errkind.OutcomeUnknown, "%s: fault", command)
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
