package dbinstance

import (
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
)

// run executes one statement.
func (s *session) run(stmt Statement, params []Value, types []uint32) (*Result, error) {
	switch stmt.(type) {
	case *commitStatement:
		return s.commitExplicit()
	case *rollbackStatement:
		s.rollback()
		return &Result{Tag: "ROLLBACK"}, nil
	}
	if s.failed {
		return nil, sqlErrorf(codeFailedTransaction, "current transaction is aborted, commands ignored until end of transaction block")
	}
	switch stmt := stmt.(type) {
	case *beginStatement:
		return s.begin(stmt)
	case *showStatement:
		return s.show(stmt)
	case *setStatement:
		s.settings[stmt.name] = stmt.value
		return &Result{Tag: "SET"}, nil
	case *resetStatement:
		delete(s.settings, stmt.name)
		return &Result{Tag: "RESET"}, nil
	case *setTransactionStatement:
		return s.setTransaction(stmt)
	case *discardStatement:
		return s.discard()
	case *deallocateStatement:
		return s.deallocate(stmt)
	case *unsupportedStatement:
		return nil, sqlErrorf(codeUnsupported, "%s is not supported", stmt.what)
	}
	return s.runOnStore(stmt, params, types)
}

// runOnStore executes a statement on tables or an instance function.
func (s *session) runOnStore(stmt Statement, params []Value, types []uint32) (*Result, error) {
	ctx, end := s.statementContext()
	defer end()
	if call, ok := stmt.(*callStatement); ok {
		res, err := s.srv.store.callFunction(ctx, call, params)
		s.logCommand(call, err)
		return res, err
	}
	if isWrite(stmt) && !s.srv.store.isWritable() {
		return nil, sqlErrorf(codeReadOnly, "cannot write on a replica")
	}
	sleep, err := sleepDuration(stmt, params)
	if err != nil {
		return nil, err
	}
	if err := s.srv.holdSlot(ctx, time.Duration(s.srv.statementDelay.Load())+sleep); err != nil {
		return nil, err
	}
	s.srv.reads.record(stmt, s.srv.store.isWritable())
	res, err := s.transaction().Execute(ctx, stmt, params, types)
	if err != nil {
		return nil, err
	}
	s.responseDelay += s.srv.faults.takeResponseDelay()
	if res.Columns != nil {
		s.rowLimit = s.srv.faults.takeRowLimit()
	}
	return res, nil
}

// delayResponse waits for the injected response delay.
func (s *session) delayResponse() error {
	d := s.responseDelay
	s.responseDelay = 0
	if d > 0 && sleepContext(s.srv.ctx, d) != nil {
		return errors.Trace(errSessionEnded)
	}
	return nil
}

// logCommand logs a control command that can change the instance's role, fence or
// replication source.
func (s *session) logCommand(call *callStatement, err error) {
	switch call.function {
	case functionFence, functionPromote, functionFollow:
		status := s.srv.store.Status()
		entry := s.srv.log.WithFields(logrus.Fields{
			"command": call.function, "role": status.Role, "fence": status.Fence,
			"log": status.Log.String(), "source": status.Source,
		})
		if err != nil {
			entry = entry.WithField("code", asSQLError(err).Code)
		}
		entry.Info("instance_command")
	}
}

// transaction returns the open transaction, or begins an implicit one.
func (s *session) transaction() *Tx {
	if s.tx == nil {
		s.tx = s.srv.store.Begin(s.settings["default_transaction_read_only"] == "on")
	}
	return s.tx
}

func (s *session) begin(stmt *beginStatement) (*Result, error) {
	if s.explicit {
		return &Result{Tag: "BEGIN"}, nil
	}
	if stmt.readWrite && !s.srv.store.isWritable() {
		return nil, sqlErrorf(codeReadOnly, "cannot set transaction read-write mode on a replica")
	}
	s.explicit = true
	s.setMode(*stmt)
	return &Result{Tag: "BEGIN"}, nil
}

// setMode sets the transaction to the mode that the statement specifies, if any.
func (s *session) setMode(stmt beginStatement) {
	tx := s.transaction()
	if stmt.readOnly || stmt.readWrite {
		tx.readOnly = stmt.readOnly
	}
}

// setTransaction changes the mode of the open transaction. Outside of an explicit
// transaction it has no effect.
func (s *session) setTransaction(stmt *setTransactionStatement) (*Result, error) {
	if stmt.readWrite && !s.srv.store.isWritable() {
		return nil, sqlErrorf(codeReadOnly, "cannot set transaction read-write mode on a replica")
	}
	if s.explicit {
		s.setMode(stmt.beginStatement)
	}
	return &Result{Tag: "SET"}, nil
}

// commitExplicit executes COMMIT. A failed transaction is rolled back instead.
func (s *session) commitExplicit() (*Result, error) {
	if s.failed {
		s.rollback()
		return &Result{Tag: "ROLLBACK"}, nil
	}
	if err := s.commitOpen(); err != nil {
		return nil, err
	}
	return &Result{Tag: "COMMIT"}, nil
}

// commitOpen commits the open transaction and records its position.
func (s *session) commitOpen() error {
	tx := s.tx
	s.tx, s.explicit, s.failed = nil, false, false
	if tx == nil {
		return nil
	}
	broken := NoCommitBreak
	if tx.hasChanges() {
		broken = s.srv.faults.takeCommitBreak()
	}
	if broken == BreakBeforeCommit {
		tx.Rollback()
		return errors.Trace(errSessionEnded)
	}
	p, err := tx.Commit()
	if err != nil {
		return err
	}
	if broken == BreakAfterCommit {
		return errors.Trace(errSessionEnded)
	}
	if !p.IsZero() {
		s.committed = p
	}
	return nil
}

// commitImplicit commits the open transaction unless it is explicit.
func (s *session) commitImplicit() error {
	if s.explicit {
		return nil
	}
	return s.commitOpen()
}

func (s *session) rollback() {
	if s.tx != nil {
		s.tx.Rollback()
	}
	s.tx, s.explicit, s.failed = nil, false, false
}

// fail rolls back after an error. An explicit transaction remains open as failed.
func (s *session) fail() {
	explicit := s.explicit
	s.rollback()
	s.explicit, s.failed = explicit, explicit
}
