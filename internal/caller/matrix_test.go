package caller

import (
	"sort"
	"testing"
	"time"

	"github.com/juju/errors"

	"chicoryline/internal/errkind"
	"chicoryline/internal/faultmatrix"
)

// callerFaults are the faults of the matrix. A fault beyond the router reaches a caller's
// connection as an error of the router.
var callerFaults = map[string]func(fx *fixture) error{
	"owner_killed":    routerFault(fakeFault{kind: errkind.OutcomeUnknown, kindInTx: errkind.TransactionLost}),
	"owner_frozen":    routerFault(fakeFault{kind: errkind.OutcomeUnknown, kindInTx: errkind.OutcomeUnknown}),
	"freeze_thaw":     func(*fixture) error { return nil }, // the request only takes longer
	"cut_one_way":     routerFault(fakeFault{kind: errkind.OutcomeUnknown, kindInTx: errkind.OutcomeUnknown, executed: true}),
	"cut_both":        routerFault(fakeFault{kind: errkind.Unreachable, kindInTx: errkind.TransactionLost}),
	"cut_to_instance": routerFault(fakeFault{kind: errkind.OutcomeUnknown, kindInTx: errkind.TransactionLost}),
	"domain_cut":      routerFault(fakeFault{kind: errkind.NoPrimary, kindInTx: errkind.TransactionLost}),
	"platform_outage": func(*fixture) error { return nil },
	"replica_behind":  routerFault(fakeFault{kind: errkind.NotEligible, kindInTx: errkind.TransactionLost}),
	"late_answer":     func(*fixture) error { return nil }, // like freeze_thaw
	"crossed_answer":  routerFault(fakeFault{kind: errkind.OutcomeUnknown, kindInTx: errkind.OutcomeUnknown, executed: true}),
	"answer_cut":      routerFault(fakeFault{kind: errkind.AnswerIncomplete, kindInTx: errkind.TransactionLost}),
	"commit_lost":     routerFault(fakeFault{kind: errkind.OutcomeUnknown, kindInTx: errkind.OutcomeUnknown, executed: true}),
	"queue_full":      routerFault(fakeFault{kind: errkind.QueueFull, kindInTx: errkind.QueueFull, keepsTx: true}),
	"over_rate":       func(fx *fixture) error { fx.limiter.refuse <- errkind.New(errkind.OverRate, ""); return nil },
	"config_stale":    func(fx *fixture) error { fx.access.setError(errkind.New(errkind.ConfigStale, "")); return nil },
	"key_withdrawn":   withdrawKey,
	"operator_stop":   func(fx *fixture) error { fx.server.Drain(); return nil },
	"entry_killed":    func(fx *fixture) error { fx.serverClosed = true; fx.server.Close(); return nil },
	"caller_gone":     func(fx *fixture) error { fx.client.close(); return nil },
	"vm_list_lag":     routerFault(fakeFault{kind: errkind.Unreachable, kindInTx: errkind.TransactionLost}),
}

// harmlessFaults lists the faults under which an accepted request must succeed.
var harmlessFaults = map[string]bool{
	"freeze_thaw": true, "late_answer": true, "platform_outage": true, "operator_stop": true, "key_withdrawn": true, "config_stale": true,
}

// connectionEndingFaults lists the faults that may end the connection without an answer.
var connectionEndingFaults = map[string]bool{"entry_killed": true, "caller_gone": true}

func routerFault(f fakeFault) func(fx *fixture) error {
	return func(fx *fixture) error { fx.router.injectFault(f); return nil }
}

func withdrawKey(fx *fixture) error {
	fx.access.setError(errkind.New(errkind.Unauthorized, ""))
	_, _, fx.withdrawnAt = fx.router.counts()
	fx.server.revokeWithdrawn()
	return nil
}

func runCell(c faultmatrix.Cell) error {
	fx, err := newFixture()
	if err != nil {
		return errors.Annotate(err, "setup")
	}
	defer fx.close()
	if err := fx.enterState(c.State); err != nil {
		return errors.Annotate(err, "enter")
	}
	for _, f := range c.Faults {
		if err := callerFaults[f](fx); err != nil {
			return err
		}
	}
	fx.release()
	a := fx.finishRequest(c.State)
	if err := fx.checkAnswer(c, a); err != nil {
		return errors.Annotatef(err, "%+v", a)
	}
	return fx.checkCleanup()
}

// checkAnswer checks the answer against the guarantees for the state and the faults of the
// cell.
func (fx *fixture) checkAnswer(c faultmatrix.Cell, a answer) error {
	rows, _, executed := fx.router.counts()
	plan := statePlans[c.State]
	mayEnd, mustSucceed := false, true
	for _, f := range c.Faults {
		mayEnd = mayEnd || connectionEndingFaults[f]
		mustSucceed = mustSucceed && harmlessFaults[f]
	}
	writes := plan.held == insert || plan.held == "COMMIT" || plan.after == insert || plan.after == "COMMIT"
	switch {
	case rows > 1:
		return errors.Errorf("the write was executed %d times", rows)
	case a.broken != nil && a.code == "" && !mayEnd && c.State != "closed":
		return errors.Errorf("no answer")
	case a.code == "" && a.broken == nil && a.commandTags != 1:
		return errors.Errorf("the answer ends without CommandComplete")
	case a.code == "" && a.broken == nil && plan.held == bulk && a.rows != bulkParts:
		return errors.Errorf("incomplete answer: %d of %d parts", a.rows, bulkParts)
	case a.code == "" && a.broken == nil && writes && rows != 1:
		return errors.Errorf("the write was acknowledged, but the table has %d rows", rows)
	case a.class == errkind.NotRun.String() && rows != 0:
		return errors.Errorf("the write was reported as not run, but the row exists")
	case a.class == errkind.Failed.String() && rows != 0:
		return errors.Errorf("the write was reported as failed, but the row exists")
	case plan.held != "" && mustSucceed && a.code != "":
		return errors.Errorf("an accepted request failed")
	}
	if fx.withdrawnAt >= 0 && plan.held == "" && executed != fx.withdrawnAt {
		return errors.Errorf("a statement was executed after the key was withdrawn")
	}
	return fx.checkStatus(a)
}

// checkStatus compares ReadyForQuery with the transaction status at the instance after the
// request.
func (fx *fixture) checkStatus(a answer) error {
	if a.broken != nil {
		return nil
	}
	fx.router.mu.Lock()
	defer fx.router.mu.Unlock()
	if a.status != fx.router.lastStatus {
		return errors.Errorf("transaction status %c, want %c", a.status, fx.router.lastStatus)
	}
	return nil
}

// checkCleanup closes the client and waits until its transaction and its connection are gone.
func (fx *fixture) checkCleanup() error {
	fx.client.close()
	deadline := time.Now().Add(fixtureTimeout)
	for {
		_, open, _ := fx.router.counts()
		if open == 0 && fx.server.Count() == 0 {
			return nil
		}
		if time.Now().After(deadline) {
			return errors.Errorf("%d transactions and %d connections left", open, fx.server.Count())
		}
		time.Sleep(time.Millisecond)
	}
}

// TestFaultMatrix injects every fault and every pair of faults in every state of the chart
// session.
func TestFaultMatrix(t *testing.T) {
	m := faultmatrix.New(sessionChart)
	var faults []string
	for f := range callerFaults {
		faults = append(faults, f)
	}
	sort.Strings(faults)
	m.Run(faultmatrix.Singles(sessionChart, faults), runCell)
	m.Run(faultmatrix.Pairs(sessionChart, faults), runCell)
	t.Log(m.Summary())
	if err := m.Err(); err != nil {
		t.Fatal(err)
	}
}
