package steward

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"chicoryline/internal/errkind"
	"chicoryline/internal/statement"
)

// Demote makes a replaced server that still acts as primary step down. It needs no lease:
// a server whose term is the new primary's or a later one does not execute the command.
func (s *Steward) Demote(ctx context.Context, group string, replaced, leader Server) (err error) {
	defer recoverPanic(s.cfg.Log, &err)
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	at, err := s.runControlStatement(ctx, group, leader, s.cfg.Control.Status)
	if err != nil {
		return err
	}
	if !at.Primary {
		return errkind.New(errkind.NoPrimary, "%s is not primary", leader.ID)
	}
	status, err := s.runControlStatement(ctx, group, replaced, s.cfg.Control.Status)
	if err != nil || !status.Primary || status.Term >= at.Term {
		return err
	}
	status, err = s.runControlStatement(ctx, group, replaced, func(c statement.Conn, _ time.Duration) (statement.ServerStatus, error) {
		return s.cfg.Control.StepDown(c, at.Term, controlTimeout)
	})
	if err == nil {
		s.cfg.Log.WithFields(logrus.Fields{
			"event": "failover", "group": group, "backend_server": replaced.ID, "term": at.Term, "leads": status.Primary, "successor": leader.ID,
		}).Warn("replaced primary was told to step down")
	}
	return err
}

// runControlStatement runs a control statement at a server over a separate connection.
func (s *Steward) runControlStatement(ctx context.Context, group string, server Server, run func(statement.Conn, time.Duration) (statement.ServerStatus, error)) (statement.ServerStatus, error) {
	dial, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	conn, err := s.cfg.Dialer.Dial(dial, server.Address, group, server.ID, "")
	if err != nil {
		return statement.ServerStatus{}, err
	}
	defer conn.Close()
	return run(conn, controlTimeout)
}
