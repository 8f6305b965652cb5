package coord

import (
	"context"

	"github.com/juju/errors"
)

// movesAfterChecks is the number of checks in a row that have to find another source until a watch
// in flight moves there. A source that only seems lost for a moment does not cost a new watch.
const movesAfterChecks = 3

// errMoved is the cause of the end of a watch whose source has changed.
var errMoved = errors.New("the table is read from another source")

// sourcedWatch is a watch in flight. source is the VM to read from when it began, empty for the
// store. The mutex of the follower guards others, the number of checks in a row that found another
// source.
type sourcedWatch struct {
	source string
	others int
	cancel context.CancelCauseFunc
}

// beginWatch returns the context of a watch from the source, and a function that ends it: a watch
// that has moved has not failed.
func (f *Follower) beginWatch(ctx context.Context, source string) (context.Context, func(*error)) {
	ctx, cancel := context.WithCancelCause(ctx)
	f.mu.Lock()
	f.inFlight = &sourcedWatch{source: source, cancel: cancel}
	f.mu.Unlock()
	return ctx, func(err *error) {
		f.mu.Lock()
		f.inFlight = nil
		f.mu.Unlock()
		if *err != nil && errors.Is(context.Cause(ctx), errMoved) {
			*err = nil
		}
		cancel(nil)
	}
}

// CheckSource moves the watch in flight to the source, the VM to read from or empty for the store,
// once several checks have found that it is another one.
//
// Load pattern: the VM that read for the fleet returns, and the one that has taken over no longer
// validates the configuration. If its watches stay at the store for 29 s, its contact with the store
// gets old, and its cell finds no source.
func (f *Follower) CheckSource(source string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch w := f.inFlight; {
	case w == nil:
	case w.source == source:
		w.others = 0
	default:
		if w.others++; w.others >= movesAfterChecks {
			w.cancel(errMoved)
		}
	}
}
