package pool

import (
	"sort"
	"testing"
	"time"

	"github.com/juju/errors"

	"chicoryline/internal/errkind"
	"chicoryline/internal/faultmatrix"
	"chicoryline/internal/standin/dbinstance"
)

// poolFaults maps the faults of the matrix to the functions that inject them.
var poolFaults = map[string]func(w *scenario) error{
	"owner_killed":     killOwner,
	"instance_killed":  func(w *scenario) error { w.server.Kill(); return nil },
	"freeze_thaw":      func(w *scenario) error { w.server.Freeze(); w.onHeal(w.server.Thaw); return nil },
	"cut_to_instance":  cutLink(dbinstance.CutInbound, "vm:vm"),
	"cut_to_owner":     cutLink(dbinstance.CutOutbound, "vm:vm"),
	"cut_both":         cutLink(dbinstance.CutBoth, "vm:vm"),
	"domain_cut":       cutLink(dbinstance.CutBoth, "domain:domain1"),
	"primary_replaced": replacePrimary,
	"platform_outage":  func(*scenario) error { return nil },
	"replica_behind":   func(w *scenario) error { w.watcher.age.Store(int64(time.Hour)); return nil },
	"late_answer":      func(w *scenario) error { w.server.DelayNextAnswer(20 * time.Millisecond); return nil },
	"crossed_answer":   crossAnswer,
	"answer_cut":       func(w *scenario) error { w.server.CutNextAnswer(0); return nil },
	"commit_lost":      func(w *scenario) error { w.server.BreakNextCommit(dbinstance.BreakAfterCommit); return nil },
	"commit_broken":    func(w *scenario) error { w.server.BreakNextCommit(dbinstance.BreakBeforeCommit); return nil },
	"unconfirmed":      func(w *scenario) error { w.watcher.rejectConfirm.Store(true); return nil },
	"key_withdrawn":    abortSession,
	"operator_stop":    func(w *scenario) error { w.manager.Drain(); return nil },
	"entry_killed":     func(w *scenario) error { go w.manager.DropVM("vm", 1); return nil },
	"vm_list_lag":      func(w *scenario) error { w.manager.SetOwner("db1", nil); return nil },
}

// harmlessFaults lists the faults under which an accepted request must succeed.
var harmlessFaults = map[string]bool{
	"platform_outage": true, "replica_behind": true, "late_answer": true, "crossed_answer": true,
	"operator_stop": true, "vm_list_lag": true, "freeze_thaw": true,
	"cut_to_instance": true, "cut_to_owner": true, "cut_both": true, "domain_cut": true,
}

func (w *scenario) onHeal(f func()) { w.healActions = append(w.healActions, f) }

func cutLink(d dbinstance.Direction, party string) func(*scenario) error {
	return func(w *scenario) error {
		w.server.Cut(d, party)
		w.onHeal(func() { w.server.Heal(party) })
		return nil
	}
}

// killOwner closes the manager's connections, as the end of its process would.
func killOwner(w *scenario) error {
	for _, s := range w.manager.matchingSessions(func(SessionID) bool { return true }) {
		s.cancel()
		s.targetMu.Lock()
		if s.target != nil {
			_ = s.target.conn.net.Close()
		}
		s.targetMu.Unlock()
		if s.mu.TryLock() {
			_ = s.conn.net.Close()
			s.mu.Unlock()
		}
	}
	return nil
}

func replacePrimary(w *scenario) error {
	w.server.Cut(dbinstance.CutBoth, dbinstance.EveryParty)
	w.watcher.setPrimary("db2")
	w.onHeal(func() {
		w.server.Heal()
		w.watcher.setPrimary("db1")
	})
	return nil
}

// crossAnswer requests a part of another request's answer and continues another
// session's transaction; both must fail.
func crossAnswer(w *scenario) error {
	id := SessionID{VM: "vm", Number: w.fixture.next.Add(1)}
	if w.request != nil {
		id = w.request.Session
	}
	if w.firstReply != nil || w.request == nil {
		reply := &ExecuteReply{}
		if err := w.manager.fetch(&FetchArgs{Session: id, Seq: 99, Part: 1}, reply); err == nil {
			return errors.New("a part of another request was returned")
		}
	}
	otherSession := w.query("SELECT 1")
	otherSession.Continue = true
	if _, err := w.execute(otherSession); !errkind.Is(err, errkind.TransactionLost) {
		return errors.Errorf("another session continued the transaction: %v", err)
	}
	return nil
}

func abortSession(w *scenario) error {
	for _, args := range []*ExecuteArgs{w.openTx, w.request} {
		if args != nil {
			go func() { _ = NewService(w.manager).Abort(&SessionArgs{Session: args.Session}, &Empty{}) }()
		}
	}
	return nil
}

func runCell(c faultmatrix.Cell) error {
	w, err := newScenario()
	if err != nil {
		return errors.Annotate(err, "setup")
	}
	defer w.close()
	if err := w.enterState(c.State); err != nil {
		return errors.Annotate(err, "enter")
	}
	for _, f := range c.Faults {
		if err := poolFaults[f](w); err != nil {
			return err
		}
	}
	for _, unblock := range w.unblock {
		unblock()
	}
	if c.State != "open" && c.State != "answer_pending" {
		w.healFaults()
	}
	finished := make(chan outcome, 1)
	go func() { finished <- w.finishRequest(c.State) }()
	w.healFaults()
	o := <-finished
	if err := w.checkAccepted(c, o); err != nil {
		return err
	}
	return w.checkCleanup()
}

// checkAccepted is checkOutcome, and also requires that an accepted request succeeds
// under harmless faults.
func (w *scenario) checkAccepted(c faultmatrix.Cell, o outcome) error {
	if err := w.checkOutcome(c.State, o); err != nil {
		return err
	}
	if o.err != nil && w.mustSucceed(c) {
		return errors.Annotate(o.err, "an accepted request failed")
	}
	return nil
}

func (w *scenario) healFaults() {
	for _, heal := range w.healActions {
		heal()
	}
	w.healActions = nil
}

func (w *scenario) mustSucceed(c faultmatrix.Cell) bool {
	for _, f := range c.Faults {
		if !harmlessFaults[f] {
			return false
		}
	}
	return true
}

// TestFaultMatrix injects every fault, alone and in pairs, at every state of the
// transaction chart.
func TestFaultMatrix(t *testing.T) {
	m := faultmatrix.New(transactionChart)
	var faults []string
	for f := range poolFaults {
		faults = append(faults, f)
	}
	sort.Strings(faults)
	m.Run(faultmatrix.Singles(transactionChart, faults), runCell)
	m.Run(faultmatrix.Pairs(transactionChart, faults), runCell)
	t.Log(m.Summary())
	if err := m.Err(); err != nil {
		t.Fatal(err)
	}
}
