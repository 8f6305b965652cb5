package caller

import (
	"chicoryline/internal/position"
)

// session is the consistency state of a caller: minPositions holds, for each group, the log
// position that reads must have reached to include the caller's own writes.
type session struct {
	minPositions position.Vector
	// hasToken is true if the caller uses session tokens, so that minPositions covers all its
	// earlier writes. Otherwise every read needs current data.
	hasToken bool
	maxAge   *maxAgeLimit
}

func newSession() session { return session{minPositions: position.Vector{}} }

// mergeToken merges a token into the session. The empty token states that the caller has no
// earlier writes.
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

// isCompleteFor reports whether minPositions covers all earlier writes to the group. A token
// that holds its maximum number of groups may have left the group out.
func (s *session) isCompleteFor(group string) bool {
	if !s.hasToken {
		return false
	}
	_, listed := s.minPositions[group]
	return listed || len(s.minPositions) < position.MaxTokenGroups
}
