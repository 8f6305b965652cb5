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
var poolFaults = map[string]func(sc *scenario) error{
	"owner_killed":     killOwner,
	"instance_killed":  func(sc *scenario) error { sc.server.Kill(); return nil },
	"freeze_thaw":      func(sc *scenario) error { sc.server.Freeze(); sc.onHeal(sc.server.Thaw); return nil },
	"cut_to_instance":  cutLink(dbinstance.CutInbound, "vm:vm"),
	"cut_to_owner":     cutLink(dbinstance.CutOutbound, "vm:vm"),
	"cut_both":         cutLink(dbinstance.CutBoth, "vm:vm"),
	"domain_cut":       cutLink(dbinstance.CutBoth, "domain:domain1"),
	"primary_replaced": replacePrimary,
	"platform_outage":  func(*scenario) error { return nil },
	"replica_behind":   func(sc *scenario) error { sc.watcher.age.Store(int64(time.Hour)); return nil },
	"late_answer":      func(sc *scenario) error { sc.server.DelayNextResponse(20 * time.Millisecond); return nil },
	"crossed_answer":   crossAnswer,
	"answer_cut":       func(sc *scenario) error { sc.server.TruncateNextResponse(0); return nil },
	"commit_lost":      func(sc *scenario) error { sc.server.BreakNextCommit(dbinstance.BreakAfterCommit); return nil },
	"commit_broken":    func(sc *scenario) error { sc.server.BreakNextCommit(dbinstance.BreakBeforeCommit); return nil },
	"unconfirmed":      func(sc *scenario) error { sc.watcher.rejectConfirm.Store(true); return nil },
	"key_withdrawn":    abortSession,
	"operator_stop":    func(sc *scenario) error { sc.manager.Drain(); return nil },
	"entry_killed":     func(sc *scenario) error { go sc.manager.DropVM("vm", 1); return nil },
	"vm_list_lag":      func(sc *scenario) error { sc.manager.SetOwner("db1", nil); return nil },
}

// harmlessFaults lists the faults under which an accepted request must succeed.
var harmlessFaults = map[string]bool{
	"platform_outage": true, "replica_behind": true, "late_answer": true, "crossed_answer": true,
	"operator_stop": true, "vm_list_lag": true, "freeze_thaw": true,
	"cut_to_instance": true, "cut_to_owner": true, "cut_both": true, "domain_cut": true,
}

func (sc *scenario) onHeal(f func()) { sc.healActions = append(sc.healActions, f) }

func cutLink(d dbinstance.Direction, party string) func(*scenario) error {
	return func(sc *scenario) error {
		sc.server.Cut(d, party)
		sc.onHeal(func() { sc.server.Heal(party) })
		return nil
	}
}

// killOwner closes the manager's connections, as the end of its process would.
func killOwner(sc *scenario) error {
	for _, s := range sc.manager.matchingSessions(func(SessionID) bool { return true }) {
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

func replacePrimary(sc *scenario) error {
	sc.server.Cut(dbinstance.CutBoth, dbinstance.EveryParty)
	sc.watcher.setPrimary("db2")
	sc.onHeal(func() {
		sc.server.Heal()
		sc.watcher.setPrimary("db1")
	})
	return nil
}

// crossAnswer requests a part of another request's answer and continues a transaction
// from a session that has none; both must fail.
func crossAnswer(sc *scenario) error {
	id := SessionID{VM: "vm", Number: sc.fixture.sessionNumber.Add(1)}
	if sc.request != nil {
		id = sc.request.Session
	}
	if sc.firstReply != nil || sc.request == nil {
		reply := &ExecuteReply{}
		if err := sc.manager.fetch(&FetchArgs{Session: id, Seq: 99, Part: 1}, reply); err == nil {
			return errors.New("a part of another request was returned")
		}
	}
	otherSession := sc.query("SELECT 1")
	otherSession.Continue = true
	if _, err := sc.execute(otherSession); !errkind.Is(err, errkind.TransactionLost) {
		return errors.Errorf("another session continued the transaction: %v", err)
	}
	return nil
}

func abortSession(sc *scenario) error {
	for _, args := range []*ExecuteArgs{sc.openTx, sc.request} {
		if args != nil {
			go func() { _ = NewService(sc.manager).Abort(&SessionArgs{Session: args.Session}, &Empty{}) }()
		}
	}
	return nil
}

func runCell(c faultmatrix.Cell) error {
	sc, err := newScenario()
	if err != nil {
		return errors.Annotate(err, "setup")
	}
	defer sc.close()
	if err := sc.enterState(c.State); err != nil {
		return errors.Annotate(err, "enter")
	}
	for _, f := range c.Faults {
		if err := poolFaults[f](sc); err != nil {
			return err
		}
	}
	for _, unblock := range sc.unblock {
		unblock()
	}
	if c.State != "open" && c.State != "answer_pending" {
		sc.healFaults()
	}
	finished := make(chan outcome, 1)
	go func() { finished <- sc.finishRequest(c.State) }()
	sc.healFaults()
	o := <-finished
	if err := sc.checkAccepted(c, o); err != nil {
		return err
	}
	return sc.checkCleanup()
}

// checkAccepted is checkOutcome, and also requires that an accepted request succeeds
// under harmless faults.
func (sc *scenario) checkAccepted(c faultmatrix.Cell, o outcome) error {
	if err := sc.checkOutcome(c.State, o); err != nil {
		return err
	}
	if o.err != nil && sc.mustSucceed(c) {
		return errors.Annotate(o.err, "an accepted request failed")
	}
	return nil
}

func (sc *scenario) healFaults() {
	for _, heal := range sc.healActions {
		heal()
	}
	sc.healActions = nil
}

func (sc *scenario) mustSucceed(c faultmatrix.Cell) bool {
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
