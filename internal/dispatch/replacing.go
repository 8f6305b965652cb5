package dispatch

import (
	"github.com/sirupsen/logrus"

	"chicoryline/internal/errkind"
)

// checkNotBeingReplaced returns an error if the promotion of another server may take effect from
// now on. The server may still acknowledge commits then, with replicas that joined or restarted
// after the steward had compared the logs, and the promoted server lacks those commits.
// answered reports that the order of the promotion was answered.
func (g *Group) checkNotBeingReplaced(s *Server) (answered bool, err error) {
	if g.cfg.OutstandingTargets == nil {
		return false, nil
	}
	id := s.Info().ID
	targets, answered := g.cfg.OutstandingTargets(g.Name)
	for _, target := range targets {
		if target != id {
			return answered, errkind.New(errkind.NoPrimary, "%s is being replaced by %s", id, target)
		}
	}
	return answered, nil
}

// withhold returns the error that replaces the acknowledgement of a commit by a server that is, or
// may be, replaced.
func (g *Group) withhold(s *Server, cause error) error {
	g.noteCommitted(s)
	g.cfg.Log.WithFields(logrus.Fields{"event": "failover", "group": g.Name, "backend_server": s.Info().ID}).WithError(cause).Warn("acknowledgement withheld")
	return errkind.New(errkind.OutcomeUnknown, "%v", cause)
}
