package steward

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

// Replicas announce their end and end while stewards act, VMs restart and orders get no answer. No
// log bound that is out of date lets a server without acknowledged commits be promoted, and the loss
// of the primary and of all that VMs know, after a replica has left, leaves no group without one.
func TestNoSeriesOfAttemptsWithServersThatDepartLosesACommitOrTheLastPrimary(t *testing.T) {
	runModel(t, func(m *model) { m.departs = true }, 0)
}

// The same while servers join and restart at any time.
func TestNoSeriesOfAttemptsWithServersThatDepartAndJoinLosesACommitOrTheLastPrimary(t *testing.T) {
	runModel(t, func(m *model) { m.departs, m.joins = true, true }, 0)
}

// depart lets a replica announce its end, or one that has announced it end. The mutex is held.
func (m *model) depart() {
	s := m.servers[m.rand.IntN(len(m.servers))]
	if s == m.primary || s.ended || m.rand.IntN(6) > 0 {
		return
	}
	switch {
	case s.departing && m.countStaying() > 0 && m.isHeldElsewhere(s):
		m.end(s)
	case s.listed && s.up && m.countStaying() > 1:
		s.departing = true
		m.tracef("%s departs", s.id)
	}
}

// isHeldElsewhere reports whether a server besides the given one that runs has all acknowledged
// commits.
func (m *model) isHeldElsewhere(s *modelServer) bool {
	return slices.ContainsFunc(m.servers, func(o *modelServer) bool { return o != s && o.up && o.received >= m.acked })
}

// end ends a server for good. Its entry is removed.
func (m *model) end(s *modelServer) {
	s.up, s.ended, s.wasListed, s.listed = false, true, s.wasListed || s.listed, false
	m.tracef("%s has left", s.id)
}

// countStaying counts the replicas that run and have not announced their end.
func (m *model) countStaying() int {
	n := 0
	for _, s := range m.servers {
		if s != m.primary && s.up && !s.departing {
			n++
		}
	}
	return n
}

// checkRecovery ends all faults. Then a replica leaves as planned, the primary is lost, and all VMs
// restart. It checks that another server is promoted.
func (m *model) checkRecovery(t *testing.T, log *logrus.Logger) {
	m.heal()
	if !m.attemptUntil(t, log, m.isLed) {
		t.Errorf("no primary although all servers that have not left run\n%s", strings.Join(m.trace, "\n"))
		return
	}
	m.mu.Lock()
	m.commit()
	for _, s := range m.servers {
		if s.ended {
			s.goneAt = m.number // VMs find it gone while the primary answers
		}
	}
	leaving := slices.IndexFunc(m.servers, func(s *modelServer) bool { return s.up && s != m.primary && !s.departing })
	staying := m.countStaying()
	m.mu.Unlock()
	if staying < 2 {
		return
	}
	l := m.servers[leaving]
	l.departing = true
	if !m.attemptUntil(t, log, func(s *Steward) bool { return s.IsRetired("g", l.id, int64(l.startCount)) }) {
		t.Errorf("%s is not retired\n%s", l.id, strings.Join(m.trace, "\n"))
		return
	}
	m.mu.Lock()
	lost := m.primary
	m.end(l)
	lost.up, lost.ended, m.observedAcked = false, true, 0
	m.tracef("primary %s is lost, all VMs restart", lost.id)
	m.mu.Unlock()
	if !m.attemptUntil(t, log, func(s *Steward) bool { return m.primary != lost && m.isLed(s) }) || len(m.problems) > 0 {
		t.Errorf("no primary after the loss of %s: %v\n%s", lost.id, m.problems, strings.Join(m.trace, "\n"))
	}
}

// heal ends all faults but those of servers that have left, and carries outstanding orders out.
func (m *model) heal() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calm = true
	for _, o := range m.pendingOrders {
		if err := m.executeOrder(o); err != nil {
			m.tracef("late order: %v", err)
		}
	}
	m.pendingOrders = nil
	for _, s := range m.servers {
		s.notReceiving, s.unreachable = false, false
		if s.ended {
			continue
		}
		if !s.up {
			s.up, s.paused, s.held = true, false, 0
			s.startCount++
		}
		s.listed = true
	}
	m.observedAcked = m.acked
}

// isLed reports whether a server that runs is primary.
func (m *model) isLed(*Steward) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.primary != nil && m.primary.up
}

// attemptUntil lets stewards of two VMs make attempts until the condition holds.
func (m *model) attemptUntil(t *testing.T, log *logrus.Logger, holds func(*Steward) bool) bool {
	const maxAttempts = 12
	for i := range maxAttempts {
		s := m.newSteward(t, i%2, 0, log)
		if holds(s) {
			return true
		}
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		task := m.task()
		err := s.runTask(ctx, task, s.cfg.Log)
		cancel()
		m.mu.Lock()
		m.tracef("attempt of the check ended: %s: %v", task.Reason, err)
		m.mu.Unlock()
		if holds(s) {
			return true
		}
	}
	return false
}
