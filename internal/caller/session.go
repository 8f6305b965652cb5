package caller

import (
	"chicoryline/internal/position"
)

// session is what a caller's writes oblige its later reads to see.
type session struct {
	seen position.Vector
	// presented tells that the caller carries tokens, so that seen is its whole
	// past. Without it every read is served as current data.
	presented bool
	maxAge    *ageLimit
}

func newSession() session { return session{seen: position.Vector{}} }

// present merges a token into the session. The empty token states that the
// session has no past.
func (s *session) present(sealer *position.Sealer, customer, token string) error {
	if token != "" {
		v, err := sealer.Open(customer, token)
		if err != nil {
			return err
		}
		s.seen.Merge(v)
	}
	s.presented = true
	return nil
}

// knows reports whether seen is complete for the group: a token that is full
// may have left the group out.
func (s *session) knows(group string) bool {
	if !s.presented {
		return false
	}
	_, listed := s.seen[group]
	return listed || len(s.seen) < position.MaxTokenGroups
}
