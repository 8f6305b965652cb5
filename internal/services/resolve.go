package services

import (
	"context"
	"time"

	"chicoryline/internal/errkind"
)

// Resolution is what is known about a write whose response was lost.
type Resolution uint8

// The resolutions.
const (
	// Unresolved means that the outcome is unknown. The write may still be in flight.
	Unresolved Resolution = iota
	// Committed means that the write took effect.
	Committed
	// NotCommitted means that the write did not take effect and never will.
	NotCommitted
)

// String returns the resolution as written in logs.
func (r Resolution) String() string {
	return [...]string{"unresolved", "committed", "not committed"}[r]
}

// initialResolvePause is the first pause between two attempts of CompareAndSetResolved;
// it doubles up to maxResolvePause.
const (
	initialResolvePause = 20 * time.Millisecond
	maxResolvePause     = 500 * time.Millisecond
)

// ResolveUnknown determines the outcome of a compare-and-set with the given expected
// version and request id by reading the row back:
//
//   - the row has the request id: Committed;
//   - the row is at version+1 with another request id: NotCommitted, because versions
//     increase by one and another writer took the only version that the write could
//     have created;
//   - the row is at a later version: Unresolved, the write may have been overwritten;
//   - the row is still at the given version, or does not exist: Unresolved, the write
//     may be in flight or the row may have been deleted.
//
// NotCommitted is valid only for rows that are never deleted and created again, because
// that restarts their versions at 1. ResolveUnknown also returns the row read, if any,
// and the error of the read.
func ResolveUnknown(ctx context.Context, table Table, key string, version uint64, requestID string) (Resolution, Row, error) {
	row, err := table.Get(ctx, key)
	if errkind.Is(err, errkind.NotFound) {
		return Unresolved, Row{Key: key}, nil
	}
	if err != nil {
		return Unresolved, Row{}, err
	}
	switch {
	case row.RequestID == requestID:
		return Committed, row, nil
	case row.Version == version+1:
		return NotCommitted, row, nil
	default:
		return Unresolved, row, nil
	}
}

// CompareAndSetResolved calls CompareAndSet and, if the response is lost, resolves the
// outcome until the context is done. It reads the row back, and if the row is still at
// the given version, it sends the write again with the same request id: the request id
// and the version together ensure that at most one of the copies takes effect.
//
// It returns the row as written, errkind.Conflict if the write did not take effect,
// errkind.PlatformUnavailable if the first attempt had no effect, or
// errkind.PlatformUnknown if the outcome could not be determined.
func CompareAndSetResolved(ctx context.Context, table Table, key string, version uint64, value []byte, requestID string) (Row, error) {
	row, err := table.CompareAndSet(ctx, key, version, value, requestID)
	pause := initialResolvePause
	for errkind.Is(err, errkind.PlatformUnknown) {
		resolution, seen, readErr := ResolveUnknown(ctx, table, key, version, requestID)
		switch {
		case readErr != nil:
			if sleep(ctx, pause) != nil {
				return Row{}, err
			}
			pause = min(2*pause, maxResolvePause)
		case resolution == Committed:
			return seen, nil
		case resolution == NotCommitted:
			return Row{}, errkind.New(errkind.Conflict, "row %s is at version %d", key, seen.Version)
		case seen.Version != version:
			return Row{}, err
		default:
			row, err = resend(ctx, table, key, version, value, requestID)
		}
	}
	return row, err
}

// resend repeats a write whose first copy may still take effect. Only a success is final;
// after any error the outcome is determined by the next read.
func resend(ctx context.Context, table Table, key string, version uint64, value []byte, requestID string) (Row, error) {
	row, err := table.CompareAndSet(ctx, key, version, value, requestID)
	if err == nil {
		return row, nil
	}
	if ctx.Err() == nil && !errkind.Is(err, errkind.PlatformUnknown) && !errkind.Is(err, errkind.Conflict) {
		_ = sleep(ctx, initialResolvePause)
	}
	return Row{}, errkind.New(errkind.PlatformUnknown, "%v", err)
}
