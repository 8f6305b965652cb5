package caller

import (
	"sort"
	"testing"
	"time"

	"github.com/juju/errors"

	"chicoryline/internal/errkind"
	"chicoryline/internal/faultmatrix"
)

// callerFaults are the faults of the matrix. What happens beyond the router
// shows to a caller's connection as the router's errors.
var callerFaults = map[string]func(w *world) error{
	"owner_killed":    routed(fakeFault{kind: errkind.OutcomeUnknown, inside: errkind.TransactionLost}),
	"owner_frozen":    routed(fakeFault{kind: errkind.OutcomeUnknown, inside: errkind.OutcomeUnknown}),
	"freeze_thaw":     func(*world) error { return nil }, // the request is held, and goes on
	"cut_one_way":     routed(fakeFault{kind: errkind.OutcomeUnknown, inside: errkind.OutcomeUnknown, ran: true}),
	"cut_both":        routed(fakeFault{kind: errkind.Unreachable, inside: errkind.TransactionLost}),
	"cut_to_instance": routed(fakeFault{kind: errkind.OutcomeUnknown, inside: errkind.TransactionLost}),
	"domain_cut":      routed(fakeFault{kind: errkind.NoPrimary, inside: errkind.TransactionLost}),
	"platform_outage": func(*world) error { return nil },
	"replica_behind":  routed(fakeFault{kind: errkind.NotEligible, inside: errkind.TransactionLost}),
	"late_answer":     func(*world) error { return nil }, // as freeze_thaw
	"crossed_answer":  routed(fakeFault{kind: errkind.OutcomeUnknown, inside: errkind.OutcomeUnknown, ran: true}),
	"answer_cut":      routed(fakeFault{kind: errkind.AnswerIncomplete, inside: errkind.TransactionLost}),
	"commit_lost":     routed(fakeFault{kind: errkind.OutcomeUnknown, inside: errkind.OutcomeUnknown, ran: true}),
	"queue_full":      routed(fakeFault{kind: errkind.QueueFull, inside: errkind.QueueFull, keeps: true}),
	"over_rate":       func(w *world) error { w.limiter.refuse <- errkind.New(errkind.OverRate, ""); return nil },
	"config_stale":    func(w *world) error { w.access.set(errkind.New(errkind.ConfigStale, "")); return nil },
	"key_withdrawn":   withdrawKey,
	"operator_stop":   func(w *world) error { w.server.Drain(); return nil },
	"entry_killed":    func(w *world) error { w.stopped = true; w.server.Close(); return nil },
	"caller_gone":     func(w *world) error { w.client.close(); return nil },
	"vm_list_lag":     routed(fakeFault{kind: errkind.Unreachable, inside: errkind.TransactionLost}),
}

// harmless lists the faults under which a request that was taken succeeds.
var harmless = map[string]bool{
	"freeze_thaw": true, "late_answer": true, "platform_outage": true, "operator_stop": true, "key_withdrawn": true, "config_stale": true,
}

// ends lists the faults that may end the connection without an answer.
var ends = map[string]bool{"entry_killed": true, "caller_gone": true}

func routed(f fakeFault) func(w *world) error {
	return func(w *world) error { w.router.arm(f); return nil }
}

func withdrawKey(w *world) error {
	w.access.set(errkind.New(errkind.Unauthorized, ""))
	_, _, w.withdrawnAt = w.router.counts()
	w.server.revoke()
	return nil
}

func runCell(c faultmatrix.Cell) error {
	w, err := newWorld()
	if err != nil {
		return errors.Annotate(err, "setup")
	}
	defer w.close()
	if err := w.enter(c.State); err != nil {
		return errors.Annotate(err, "enter")
	}
	for _, f := range c.Faults {
		if err := callerFaults[f](w); err != nil {
			return err
		}
	}
	w.proceed()
	a := w.finish(c.State)
	if err := w.judge(c, a); err != nil {
		return errors.Annotatef(err, "%+v", a)
	}
	return w.judgeAfter()
}

// judge checks what the state's request promises.
func (w *world) judge(c faultmatrix.Cell, a answer) error {
	rows, _, executed := w.router.counts()
	plan := plans[c.State]
	mayEnd, mustSucceed := false, true
	for _, f := range c.Faults {
		mayEnd = mayEnd || ends[f]
		mustSucceed = mustSucceed && harmless[f]
	}
	writes := plan.held == insert || plan.held == "COMMIT" || plan.after == insert || plan.after == "COMMIT"
	switch {
	case rows > 1:
		return errors.Errorf("the write ran %d times", rows)
	case a.broken != nil && a.code == "" && !mayEnd && c.State != "closed":
		return errors.Errorf("no answer")
	case a.code == "" && a.broken == nil && a.tags != 1:
		return errors.Errorf("answer without its end")
	case a.code == "" && a.broken == nil && plan.held == bulk && a.rows != bulkParts:
		return errors.Errorf("short answer: %d parts of %d", a.rows, bulkParts)
	case a.code == "" && a.broken == nil && writes && rows != 1:
		return errors.Errorf("acknowledged, and %d rows", rows)
	case a.class == errkind.NotRun.String() && rows != 0:
		return errors.Errorf("reported as not run, and the row is there")
	case a.class == errkind.Failed.String() && rows != 0:
		return errors.Errorf("reported as without effect, and the row is there")
	case plan.held != "" && mustSucceed && a.code != "":
		return errors.Errorf("the request was taken and cut")
	}
	if w.withdrawnAt >= 0 && plan.held == "" && executed != w.withdrawnAt {
		return errors.Errorf("a statement ran after the key was withdrawn")
	}
	return w.judgeStatus(a)
}

// judgeStatus compares ReadyForQuery with the transaction at the instance after
// the request.
func (w *world) judgeStatus(a answer) error {
	if a.broken != nil {
		return nil
	}
	w.router.mu.Lock()
	defer w.router.mu.Unlock()
	if a.status != w.router.last {
		return errors.Errorf("status %c, want %c", a.status, w.router.last)
	}
	return nil
}

// judgeAfter ends the caller and waits until nothing of it is left.
func (w *world) judgeAfter() error {
	w.client.close()
	deadline := time.Now().Add(worldDeadline)
	for {
		_, open, _ := w.router.counts()
		if open == 0 && w.server.Count() == 0 {
			return nil
		}
		if time.Now().After(deadline) {
			return errors.Errorf("%d transactions and %d connections left", open, w.server.Count())
		}
		time.Sleep(time.Millisecond)
	}
}

// TestFaultMatrix strikes every fault at every state of the chart session.
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
