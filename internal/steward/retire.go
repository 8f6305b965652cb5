package steward

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"chicoryline/internal/coord"
	"chicoryline/internal/position"
)

// maxRetired bounds the retired servers that a row lists: more than a group has replicas.
const maxRetired = 8

// retiredServer is a replica that was paused before its announced end. Its log bound is the
// position: it took part in acknowledging nothing beyond it, as long as no server leads a later
// term than Term.
type retiredServer struct {
	ID string `json:"id"`
	// Started identifies the incarnation of the server, in Unix milliseconds.
	Started int64 `json:"started"`
	// Term is the group's term when the server was paused.
	Term     uint64            `json:"term"`
	Position position.Position `json:"position"`
	// Era is that of the store when the entry was written.
	Era uint64 `json:"era"`
}

// sameServer reports whether the entry is about the server with the id and the start time.
func (r retiredServer) sameServer(id string, started int64) bool {
	return r.ID == id && r.Started == started
}

// retiredIn returns the retired servers that were written in the era of the row's version. An
// earlier entry came back with a backup, which may lack a later change of the primary.
func (r record) retiredIn(version coord.Version) []retiredServer {
	return slices.DeleteFunc(slices.Clone(r.Retired), func(x retiredServer) bool { return x.Era != version.Era() })
}

// IsRetired reports whether the row of the group, as last observed, records the server as retired
// in the present era of the store.
func (s *Steward) IsRetired(group, id string, started int64) bool {
	era := s.cfg.Eras.Newest()
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.observations[group].record.Retired, func(r retiredServer) bool {
		return r.sameServer(id, started) && r.Era == era
	})
}

// logBound returns a position beyond which an unreachable server took part in no acknowledgement.
// It is false if none is known.
func (a *attempt) logBound(m *member) (position.Position, bool) {
	if m.ConfirmedGone {
		return m.Position, true
	}
	if r := a.retired(m); r != nil {
		return r.Position, true
	}
	return position.Position{}, false
}

// retired returns the entry of a retired server, nil if there is none.
func (a *attempt) retired(m *member) *retiredServer {
	i := slices.IndexFunc(a.lease.record.Retired, func(r retiredServer) bool { return r.sameServer(m.ID, m.Started) })
	if i < 0 {
		return nil
	}
	return &a.lease.record.Retired[i]
}

// isRetired reports whether the server is paused until it ends.
func (a *attempt) isRetired(m *member) bool { return a.retired(m) != nil }

// isBounded reports whether an unreachable server need not be waited for: it receives nothing,
// and its log bound is known. An earlier order that takes effect would end its pause.
func (a *attempt) isBounded(m *member) bool {
	return m.ConfirmedGone || len(a.lease.pendingTargets) == 0 && a.isRetired(m)
}

// dropVoidRetired removes the retired servers whose entries do not hold any more: a promotion has
// ended the pause, or the server has restarted or receives again.
func (a *attempt) dropVoidRetired() {
	newest := a.nextTerm() - 1
	a.lease.record.Retired = slices.DeleteFunc(slices.Clone(a.lease.record.Retired), func(r retiredServer) bool {
		m := a.member(r.ID)
		isVoid := m != nil && (m.Started != r.Started || m.conn != nil && !m.unlisted && m.status.PausedTerm == 0)
		return isVoid || r.Term < newest
	})
}

// retireDeparting pauses the replicas that are about to end and adds them to the record, once a
// replica that stays has what they have. The others are left to be resumed. The record has to be
// written before the attempt ends.
func (a *attempt) retireDeparting(ctx context.Context) {
	departing := slices.DeleteFunc(slices.Clone(a.members), func(m *member) bool { return !a.mayRetire(m) })
	departing = a.awaitHeldByStaying(ctx, departing)
	departing = slices.DeleteFunc(departing, func(m *member) bool { return !m.paused && a.pause(ctx, m) != nil })
	for _, m := range a.awaitHeldByStaying(ctx, departing) {
		a.addRetired(retiredServer{ID: m.ID, Started: m.Started, Term: a.nextTerm() - 1, Position: m.status.Received, Era: a.lease.era})
		a.log.WithFields(logrus.Fields{"backend_server": m.ID, "received": m.status.Received.String()}).Info("leaving server is retired")
	}
}

// awaitHeldByStaying returns those of the servers whose log is on a replica that stays, too. It gives
// these replicas catchUpTimeout to receive it.
func (a *attempt) awaitHeldByStaying(ctx context.Context, departing []*member) (held []*member) {
	isMissing := func(m *member) bool { return !a.isHeldByStaying(m.status.Received) }
	for start := a.s.now(); slices.ContainsFunc(departing, isMissing); time.Sleep(pollInterval) {
		if a.s.now().Sub(start) >= catchUpTimeout || ctx.Err() != nil || !slices.ContainsFunc(a.members, a.staysAsReplica) {
			break
		}
		a.poll(a.staysAsReplica, func(m *member) error {
			_, err := a.pollStatus(ctx, m, m.isNews)
			return err
		})
	}
	for _, m := range departing {
		if !isMissing(m) {
			held = append(held, m)
			continue
		}
		a.log.WithFields(logrus.Fields{"backend_server": m.ID, "received": m.status.Received.String()}).Warn("no replica that stays has the log of the leaving server")
	}
	return held
}

// addRetired adds an entry to the record, which keeps the newest maxRetired.
func (a *attempt) addRetired(r retiredServer) {
	list := a.lease.record.Retired
	a.lease.record.Retired = append(slices.Clone(list[max(len(list)-maxRetired+1, 0):]), r)
}

// mayRetire reports whether the server is a reachable replica that is about to end and not retired.
func (a *attempt) mayRetire(m *member) bool {
	return m.Departing && m.conn != nil && !m.unlisted && !m.status.Primary && !a.isRetired(m)
}

// staysAsReplica reports whether the server is a reachable replica that is not leaving, and that
// receives or will do so once this attempt ends.
func (a *attempt) staysAsReplica(m *member) bool {
	return m.conn != nil && !m.unlisted && !m.status.Primary && !m.Leaving && !m.Departing && (m.status.PausedTerm == 0 || a.mayNeedResume(m))
}

// isHeldByStaying reports whether a replica that stays has received the position.
func (a *attempt) isHeldByStaying(at position.Position) bool {
	return slices.ContainsFunc(a.members, func(m *member) bool { return a.staysAsReplica(m) && m.status.Received.AtLeast(at) })
}

// unretire removes all retired servers from the row, so that they may be resumed. It fails if the
// row cannot be written.
func (a *attempt) unretire(ctx context.Context) error {
	if len(a.lease.record.Retired) == 0 {
		return nil
	}
	next := a.lease.record
	next.Retired = nil
	return a.s.writeRow(ctx, a.lease, next)
}
