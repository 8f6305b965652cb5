package dbinstance

import (
	"context"
	"time"

	"github.com/juju/errors"

	"chicoryline/internal/backend"
	"chicoryline/internal/position"
)

// maxBatch bounds the entries of one answer.
const maxBatch = 512

// Batch is what a primary answers to a replica that holds the log up to some position.
type Batch struct {
	// Match reports whether the primary holds that position too.
	Match bool
	// Floor is the position to try next, if Match is false.
	Floor position.Position
	// Entries follow the position in the primary's log.
	Entries []Entry
}

// LogSource is a primary that a replica reads from.
type LogSource interface {
	// ReadLog returns the entries after the position. It fails unless the
	// instance is the primary of the term, and waits up to the given time for an
	// entry if there is none.
	ReadLog(ctx context.Context, term uint64, after position.Position, wait time.Duration) (Batch, error)
}

// ReadLog implements LogSource.
func (s *Store) ReadLog(ctx context.Context, term uint64, after position.Position, wait time.Duration) (Batch, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		b, changed, err := s.readLog(term, after)
		if err != nil || !b.Match || len(b.Entries) > 0 {
			return b, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return b, nil
		case <-ctx.Done():
			return b, nil
		}
	}
}

func (s *Store) readLog(term uint64, after position.Position) (Batch, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.role != backend.Primary || s.fence != term {
		return Batch{}, nil, sqlErrorf(codeFenced, "instance is not the primary of the term")
	}
	if !s.log.contains(after) {
		return Batch{Floor: s.log.floor(after)}, nil, nil
	}
	rest := s.log[after.Offset:]
	rest = rest[:min(len(rest), maxBatch)]
	return Batch{Match: true, Entries: append([]Entry(nil), rest...)}, s.changed, nil
}

// Stream is one run of replication: a source at a term.
type Stream struct {
	Term   uint64
	Source string
}

// Stream returns what the instance has to replicate from now; its Source is
// empty if nothing. The channel is closed at the next change.
func (s *Store) Stream() (Stream, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Stream{Term: s.fence, Source: s.source}, s.changed
}

// Accept takes entries of the stream that follow the position in the primary's
// log. It fails if the stream is no longer the instance's. A tail that differs
// from the entries is discarded.
func (s *Store) Accept(st Stream, after position.Position, entries []Entry) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.role != backend.Replica || s.fence != st.Term || s.source != st.Source {
		return sqlErrorf(codeFenced, "the stream has ended")
	}
	if !s.log.contains(after) {
		return sqlErrorf(codeInternal, "the log does not hold the position before the entries")
	}
	for _, e := range entries {
		if s.log.contains(e.Position) {
			continue
		}
		if e.Position.Offset <= uint64(len(s.log)) {
			s.truncate(e.Position.Offset - 1)
		}
		s.appendEntry(e)
	}
	if len(entries) > 0 {
		s.broadcast()
	}
	return nil
}

// PullOnce reads one batch from the source and takes it, after as many steps
// back as it needs to find the common prefix. It reports the entries it took.
func (s *Store) PullOnce(ctx context.Context, st Stream, source LogSource) (int, error) {
	c := newCursor(s)
	for {
		b, err := source.ReadLog(ctx, st.Term, c.at, 0)
		if err != nil {
			return 0, errors.Trace(err)
		}
		if !b.Match {
			c.rewind(s, b.Floor)
			continue
		}
		return len(b.Entries), s.Accept(st, c.at, b.Entries)
	}
}

// cursor is the position up to which a replica has read its primary's log.
type cursor struct{ at position.Position }

func newCursor(s *Store) *cursor { return &cursor{at: s.Status().Log} }

// rewind moves to the replica's own greatest position at or before the floor.
func (c *cursor) rewind(s *Store, floor position.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.at = s.log.floor(floor)
}
