package session

import (
	"chicoryline/internal/connset"
	"chicoryline/internal/errkind"
)

// Memory accounts for the memory that a session holds between statements.
type Memory interface {
	// Reserve fails if there is no room for n more bytes.
	Reserve(n int64) error
	Release(n int64)
}

// stateSize is the size of the values and prepared statements of a session.
type stateSize struct {
	memory Memory
	bytes  int64
}

// AccountTo makes the session account for its state. It must be called before Handle.
func (s *Session) AccountTo(m Memory) { s.state.memory = m }

// resizeState accounts for a part of the state whose size changes.
func (s *Session) resizeState(before, after int64) error {
	n := after - before
	if most := s.core.MaxStateBytes; most > 0 && n > 0 && s.state.bytes+n > most {
		return errkind.New(errkind.MessageTooLarge, "session values and prepared statements of more than %d bytes", most)
	}
	if s.state.memory != nil {
		if n > 0 {
			if err := s.state.memory.Reserve(n); err != nil {
				return err
			}
		} else {
			s.state.memory.Release(-n)
		}
	}
	s.state.bytes += n
	return nil
}

// freeState accounts for the end of the session.
func (s *Session) freeState() {
	if s.state.memory != nil {
		s.state.memory.Release(s.state.bytes)
	}
	s.state.bytes = 0
}

// valueSize returns what the session value with the name takes, 0 if there is none.
func valueSize(values map[string]string, name string) int64 {
	if value, ok := values[name]; ok {
		return int64(len(name) + len(value))
	}
	return 0
}

// preparedSize returns what the prepared statement with the name takes, 0 if there is none.
func preparedSize(prepared map[string]*connset.Prepared, name string) int64 {
	if p, ok := prepared[name]; ok {
		return int64(len(name) + len(p.Shape))
	}
	return 0
}
