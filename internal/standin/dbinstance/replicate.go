package dbinstance

import (
	"context"
	"time"

	"github.com/juju/errors"

	"chicoryline/internal/backend"
	"chicoryline/internal/position"
)

// maxBatch is the maximum number of log entries in a batch.
const maxBatch = 512

// Batch is the result of reading a primary's log after a position of a replica's log.
type Batch struct {
	// Match reports whether the primary's log contains that position.
	Match bool
	// Floor is set if Match is false: the common prefix of both logs ends at or before
	// it.
	Floor position.Position
	// Entries are the entries that follow the position in the primary's log.
	Entries []Entry
}

// LogSource is a primary that a replica reads from.
type LogSource interface {
	// ReadLog returns the entries after the position. If there are none, it waits up to
	// the given time for one. It fails unless the instance is the primary of the term.
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

// Stream identifies a replication stream: the source instance and its term.
type Stream struct {
	Term   uint64
	Source string
}

// Stream returns the stream that the instance currently replicates; its Source is empty
// if there is none. The channel is closed at the next change of the store's state.
func (s *Store) Stream() (Stream, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Stream{Term: s.fence, Source: s.source}, s.changed
}

// Accept appends entries of the stream that follow the position in the primary's log.
// It discards the part of its own log that conflicts with them. It fails if the
// instance no longer replicates the stream.
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

// PullOnce reads one batch from the source and appends it, after rewinding to the common
// prefix of both logs. It returns the number of entries read.
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

// cursor tracks the position up to which a replica has read its primary's log.
type cursor struct{ at position.Position }

func newCursor(s *Store) *cursor { return &cursor{at: s.Status().Log} }

// rewind moves the cursor to the floor of the given position in the replica's own log.
func (c *cursor) rewind(s *Store, floor position.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.at = s.log.floor(floor)
}
