package services

import (
	"context"
	"time"

	"chicoryline/internal/errkind"
)

// Resolution is what is known of a write whose answer was lost.
type Resolution uint8

// The resolutions.
const (
	// Unresolved means that nothing is proved. The write may also still be on
	// its way.
	Unresolved Resolution = iota
	// Committed means that the write took effect.
	Committed
	// NotCommitted means that it did not and never will.
	NotCommitted
)

// String returns the resolution as written in logs.
func (r Resolution) String() string {
	return [...]string{"unresolved", "committed", "not committed"}[r]
}

// resolvePause is the first pause between two attempts of
// CompareAndSetResolved; it doubles up to resolvePauseMax.
const (
	initialResolvePause = 20 * time.Millisecond
	maxResolvePause     = 500 * time.Millisecond
)

// ResolveUnknown reads back the row that a compare-and-set at the version with
// the request id was to write, and tells what that proves:
//
//   - the row carries the request id: Committed;
//   - the row is at version+1 with another id: NotCommitted, for versions rise
//     by one and another writer took the only place that the write could take;
//   - the row is at a later version: Unresolved, the write may have been
//     overwritten;
//   - the row still is at the version, or is missing: Unresolved, the write may
//     still be on its way or its row may have been deleted.
//
// NotCommitted holds only for rows that nobody deletes and creates anew, since
// their versions start at 1 again. The row is the one read, if any; the error
// is that of the read.
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

// CompareAndSetResolved is CompareAndSet that resolves a lost answer until the
// context ends. It reads the row back, and if the row still is at the version
// it sends the write again under the same request id: the id and the version
// together let at most one of the copies take effect.
//
// It returns the row as written, errkind.Conflict when the write surely did not
// take effect, errkind.PlatformUnavailable when the first attempt surely had no
// effect, and errkind.PlatformUnknown when nothing could be proved.
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

// resend repeats a write whose first copy may still take effect: only a success
// is final, every other answer leaves the outcome to the next read.
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
