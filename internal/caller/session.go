package caller

import (
	"chicoryline/internal/position"
)

// session is what a caller's writes oblige its later reads to see.
type session struct {
	minPositions position.Vector
	// hasToken tells that the caller carries tokens, so that seen is its whole
	// past. Without it every read is served as current data.
	hasToken bool
	maxAge   *maxAgeLimit
}

func newSession() session { return session{minPositions: position.Vector{}} }

// mergeToken merges a token into the session. The empty token states that the
// session has no past.
func (s *session) mergeToken(sealer *position.Sealer, customer, token string) error {
	if token != "" {
		v, err := sealer.Open(customer, token)
		if err != nil {
			return err
		}
		s.minPositions.Merge(v)
	}
	s.hasToken = true
	return nil
}

// isCompleteFor reports whether seen is complete for the group: a token that is full
// may have left the group out.
func (s *session) isCompleteFor(group string) bool {
	if !s.hasToken {
		return false
	}
	_, listed := s.minPositions[group]
	return listed || len(s.minPositions) < position.MaxTokenGroups
}
