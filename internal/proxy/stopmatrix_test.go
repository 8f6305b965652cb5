package proxy

import (
	"context"
	"slices"
	"sort"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/juju/errors"

	"chicoryline/internal/errkind"
	"chicoryline/internal/faultmatrix"
	"chicoryline/internal/pool"
	"chicoryline/internal/standin/dbinstance"
	"chicoryline/internal/statechart"
)

// stopFaults are the faults of the matrix, by name.
var stopFaults = map[string]func(fx *stopFixture){
	"owner_killed":    callFault(func(func() error, *pool.ExecuteReply) error { return errkind.New(errkind.OutcomeUnknown, "call lost") }),
	"instance_killed": func(fx *stopFixture) { fx.server.Kill() },
	"freeze_thaw":     func(fx *stopFixture) { fx.server.Freeze(); fx.heal = append(fx.heal, fx.server.Thaw) },
	"cut_to_instance": cutInstance(dbinstance.CutInbound, "vm:vm"),
	"cut_to_owner":    cutInstance(dbinstance.CutOutbound, "vm:vm"),
	"cut_both":        cutInstance(dbinstance.CutBoth, "vm:vm"),
	"domain_cut":      cutInstance(dbinstance.CutBoth, "domain:domain1"),
	"cut_call":        callFault(func(func() error, *pool.ExecuteReply) error { return errkind.New(errkind.Unreachable, "no connection") }),
	"cut_reply":       callFault(loseReply),
	"platform_outage": func(*stopFixture) {},
	"replica_behind":  func(fx *stopFixture) { fx.watcher.age.Store(int64(time.Hour)) },
	"late_answer":     func(fx *stopFixture) { fx.server.DelayNextResponse(10 * time.Millisecond) },
	"crossed_answer":  callFault(mismatchReply),
	"answer_cut":      func(fx *stopFixture) { fx.server.TruncateNextResponse(0) },
	"commit_lost":     func(fx *stopFixture) { fx.server.BreakNextCommit(dbinstance.BreakAfterCommit) },
	"commit_broken":   func(fx *stopFixture) { fx.server.BreakNextCommit(dbinstance.BreakBeforeCommit) },
	"unconfirmed":     func(fx *stopFixture) { fx.watcher.refuse.Store(true) },
	"key_withdrawn":   func(fx *stopFixture) { fx.access.withdrawn.Store(true) },
	"operator_stop":   func(fx *stopFixture) { fx.proxy.callers.Drain(); fx.proxy.pool.Drain() },
	"entry_killed":    func(fx *stopFixture) { go fx.proxy.pool.DropVM("vm", 1) },
	"vm_list_lag":     func(fx *stopFixture) { fx.peers.mu.Lock(); fx.peers.noOwners = true; fx.peers.mu.Unlock() },
}

// stopHarmlessFaults lists the faults under which every accepted request must succeed.
var stopHarmlessFaults = map[string]bool{
	"freeze_thaw": true, "cut_to_instance": true, "cut_to_owner": true, "cut_both": true, "domain_cut": true,
	"platform_outage": true, "replica_behind": true, "late_answer": true, "operator_stop": true, "vm_list_lag": true,
}

func callFault(fault func(func() error, *pool.ExecuteReply) error) func(*stopFixture) {
	return func(fx *stopFixture) { fx.peers.injectFault(fault) }
}

func loseReply(run func() error, reply *pool.ExecuteReply) error {
	_ = run() // the request runs, but its reply is lost
	*reply = pool.ExecuteReply{}
	return errkind.New(errkind.OutcomeUnknown, "reply lost")
}

func mismatchReply(run func() error, reply *pool.ExecuteReply) error {
	err := run()
	reply.Seq++
	return err
}

func cutInstance(d dbinstance.Direction, party string) func(*stopFixture) {
	return func(fx *stopFixture) {
		fx.server.Cut(d, party)
		fx.heal = append(fx.heal, func() { fx.server.Heal(party) })
	}
}

// stopLoad is the load of the process when the stop begins: a long transaction and a commit
// that waits for its majority.
type stopLoad struct {
	long   *pgconn.PgConn
	commit chan error
	ended  chan error // the long transaction's outcome
}

func (fx *stopFixture) startLoad() (*stopLoad, error) {
	long, err := fx.connect()
	if err != nil {
		return nil, err
	}
	for _, sql := range []string{"BEGIN", "INSERT INTO w (k, v) VALUES (1, 'long')"} {
		if err := exec(long, sql); err != nil {
			return nil, err
		}
	}
	short, err := fx.connect()
	if err != nil {
		return nil, err
	}
	l := &stopLoad{long: long, commit: make(chan error, 1), ended: make(chan error, 1)}
	go func() {
		err := exec(short, "INSERT INTO w (k, v) VALUES (2, 'short')")
		_ = short.Conn().Close() // so that the server does not linger for the caller
		l.commit <- err
	}()
	for fx.watcher.held.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	return l, nil
}

// finishLoad lets the load finish while the process drains.
func (fx *stopFixture) finishLoad(l *stopLoad) {
	close(fx.watcher.hold.Load().(chan struct{}))
	go func() {
		err := exec(l.long, "SELECT v FROM w")
		if err == nil {
			err = exec(l.long, "COMMIT")
		}
		_ = l.long.Conn().Close()
		l.ended <- err
	}()
	for _, heal := range fx.heal {
		heal()
	}
	fx.heal = nil
}

// runStop follows the statechart like Proxy.Stop, with the real actions for callers and pool
// and the real waits while draining. It leaves out the announcement, the handover of leases
// and the end of the process, because the fixture has no fleet and no leases.
func (fx *stopFixture) runStop(enter func(state string)) error {
	machine := statechart.MustLoad("stop").Start()
	s := &stopper{proxy: fx.proxy, deadline: time.Now().Add(stopTimeout)}
	enter(machine.State())
	for event := "stop_requested"; !machine.Done(); {
		actions, err := machine.Fire(event)
		if err != nil {
			return err
		}
		for _, action := range actions {
			if action == "refuse_new_work" || action == "end_open_transactions" {
				s.runAction(context.Background(), action)
			}
		}
		enter(machine.State())
		event = "announced"
		if machine.State() != "announcing" {
			event = s.waitForEvent(context.Background(), machine.State())
		}
		if event == "deadline_passed" && !machine.Done() {
			return errors.Errorf("%d requests did not end before the deadline", fx.proxy.busy())
		}
	}
	return nil
}

func runStopCell(c faultmatrix.Cell) error {
	fx, err := newStopFixture()
	if err != nil {
		return errors.Annotate(err, "setup")
	}
	defer fx.close()
	l, err := fx.startLoad()
	if err != nil {
		return errors.Annotate(err, "load")
	}
	err = fx.runStop(func(state string) {
		if state == c.State {
			for _, f := range c.Faults {
				stopFaults[f](fx)
			}
		}
		if state == "draining" {
			fx.finishLoad(l)
		}
	})
	if err != nil {
		return err
	}
	for _, heal := range fx.heal {
		heal()
	}
	return fx.checkStop(c, l)
}

// checkStop checks that the stop interrupted no accepted request, that the errors sent to
// callers are true, and that the process accepts no new callers.
func (fx *stopFixture) checkStop(c faultmatrix.Cell, l *stopLoad) error {
	mustSucceed := c.State == "handing_over" || c.State == "stopped" // the load has ended
	if !mustSucceed {
		mustSucceed = !slices.ContainsFunc(c.Faults, func(f string) bool { return !stopHarmlessFaults[f] })
	}
	for writer, result := range map[string]chan error{"long": l.ended, "short": l.commit} {
		err := <-result
		if err != nil && mustSucceed {
			return errors.Annotatef(err, "%s: an accepted request failed", writer)
		}
		if err := fx.checkOutcome(writer, err); err != nil {
			return err
		}
	}
	if n := fx.proxy.busy(); n != 0 {
		return errors.Errorf("%d callers or transactions left after the stop", n)
	}
	if _, err := fx.connect(); err == nil {
		return errors.New("a stopped process accepted a new caller")
	}
	return nil
}

func (fx *stopFixture) checkOutcome(writer string, err error) error {
	n, failure := fx.rows(writer)
	if failure != nil {
		return failure
	}
	var answer *pgconn.PgError
	hasAnswer := errors.As(err, &answer)
	switch {
	case n > 1:
		return errors.Errorf("%s: the write was executed %d times", writer, n)
	case err == nil && n != 1:
		return errors.Errorf("%s: the write was acknowledged, but the table has %d rows", writer, n)
	case err != nil && !hasAnswer:
		return errors.Annotatef(err, "%s: no answer", writer)
	case hasAnswer && n != 0 && answer.Code != errkind.OutcomeUnknown.Answer().SQLState:
		return errors.Errorf("%s: reported as %s %s, but the row exists", writer, answer.Code, answer.Detail)
	}
	return nil
}

// TestStopFaultMatrix injects every fault and every pair of faults in every state of the chart
// stop.
func TestStopFaultMatrix(t *testing.T) {
	chart := statechart.MustLoad("stop")
	m := faultmatrix.New(chart)
	var faults []string
	for f := range stopFaults {
		faults = append(faults, f)
	}
	sort.Strings(faults)
	m.Run(faultmatrix.Singles(chart, faults), runStopCell)
	m.Run(faultmatrix.Pairs(chart, faults), runStopCell)
	t.Log(m.Summary())
	if err := m.Err(); err != nil {
		t.Fatal(err)
	}
}

// TestNaiveStopIsDetected uses a variant that closes all connections immediately.
func TestNaiveStopIsDetected(t *testing.T) {
	fx, err := newStopFixture()
	if err != nil {
		t.Fatal(err)
	}
	defer fx.server.Close()
	l, err := fx.startLoad()
	if err != nil {
		t.Fatal(err)
	}
	fx.proxy.callers.Close()
	fx.proxy.pool.Close()
	fx.finishLoad(l)
	cell := faultmatrix.Cell{Chart: "stop", State: "draining", Faults: []string{"operator_stop"}}
	if err := fx.checkStop(cell, l); err == nil {
		t.Fatal("the check did not detect the variant")
	} else {
		t.Logf("naive=close_at_once cell=%s seed=%d red: %v", cell, cell.Seed(), err)
	}
}
