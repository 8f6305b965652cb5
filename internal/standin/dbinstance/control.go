package dbinstance

import (
	"context"
	"time"

	"chicoryline/internal/backend"
	"chicoryline/internal/position"
)

// Status returns the instance's role, fence, last log position and replication source.
func (s *Store) Status() backend.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.status()
}

func (s *Store) status() backend.Status {
	return backend.Status{Instance: s.id, Role: s.role, Fence: s.fence, Log: s.log.last(), Source: s.source}
}

// Wait blocks until the instance confirms p, its fence is higher than the term of p,
// the timeout expires or the context ends, and returns the status.
func (s *Store) Wait(ctx context.Context, p position.Position, timeout time.Duration) backend.Status {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		s.mu.Lock()
		status, changed := s.status(), s.changed
		s.mu.Unlock()
		if status.Confirms(p) || status.Fence > p.Term {
			return status
		}
		select {
		case <-changed:
		case <-timer.C:
			return s.Status()
		case <-ctx.Done():
			return s.Status()
		}
	}
}

// Fence raises the fence to the term. Raising it stops replication, demotes a primary
// to a replica and aborts its open write transactions. It fails if the fence is
// already higher.
func (s *Store) Fence(term uint64) (backend.Status, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkFence(term); err != nil {
		return s.status(), err
	}
	s.raiseFence(term)
	return s.status(), nil
}

func (s *Store) checkFence(term uint64) error {
	if s.fence > term {
		return sqlErrorf(codeFenced, "instance is fenced at a higher term")
	}
	return nil
}

// raiseFence raises the fence to the term if it is lower. The caller holds mu.
func (s *Store) raiseFence(term uint64) {
	if s.fence >= term {
		return
	}
	s.fence, s.role, s.source = term, backend.Replica, ""
	for tx := range s.writers {
		tx.abort(errTransactionFenced())
	}
	s.broadcast()
}

// Promote makes the instance the primary of the term and appends the promotion
// marker to the log. The fence must equal the term, and the instance must not have
// followed another primary of the term.
func (s *Store) Promote(term uint64) (backend.Status, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.fence > term:
		return s.status(), s.checkFence(term)
	case s.fence < term:
		return s.status(), sqlErrorf(codeNotReady, "instance is not fenced at the term")
	case s.role == backend.Primary:
		return s.status(), nil
	case s.source != "" || s.log.last().Term == term:
		return s.status(), sqlErrorf(codeNotReady, "another instance is the primary of the term")
	}
	s.role = backend.Primary
	s.appendChanges(nil)
	return s.status(), nil
}

// Follow makes the instance a replica of the named primary of the term and raises
// the fence to the term. Replication starts in the background.
func (s *Store) Follow(term uint64, primary string) (backend.Status, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkFence(term); err != nil {
		return s.status(), err
	}
	if primary == s.id || s.role == backend.Primary && s.fence == term {
		return s.status(), sqlErrorf(codeNotReady, "the primary of a term cannot follow in that term")
	}
	s.raiseFence(term)
	if s.source != primary {
		s.source = primary
		s.broadcast()
	}
	return s.status(), nil
}

// isWritable reports whether the instance accepts writes.
func (s *Store) isWritable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.role == backend.Primary
}
