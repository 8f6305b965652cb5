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

// stopFaults are the faults of the matrix.
var stopFaults = map[string]func(w *stopWorld){
	"owner_killed":    called(func(func() error, *pool.ExecuteReply) error { return errkind.New(errkind.OutcomeUnknown, "call lost") }),
	"instance_killed": func(w *stopWorld) { w.server.Kill() },
	"freeze_thaw":     func(w *stopWorld) { w.server.Freeze(); w.heal = append(w.heal, w.server.Thaw) },
	"cut_to_instance": cutInstance(dbinstance.CutInbound, "vm:vm"),
	"cut_to_owner":    cutInstance(dbinstance.CutOutbound, "vm:vm"),
	"cut_both":        cutInstance(dbinstance.CutBoth, "vm:vm"),
	"domain_cut":      cutInstance(dbinstance.CutBoth, "domain:domain1"),
	"cut_call":        called(func(func() error, *pool.ExecuteReply) error { return errkind.New(errkind.Unreachable, "no connection") }),
	"cut_reply":       called(loseReply),
	"platform_outage": func(*stopWorld) {},
	"replica_behind":  func(w *stopWorld) { w.watcher.age.Store(int64(time.Hour)) },
	"late_answer":     func(w *stopWorld) { w.server.DelayNextResponse(10 * time.Millisecond) },
	"crossed_answer":  called(crossReply),
	"answer_cut":      func(w *stopWorld) { w.server.TruncateNextResponse(0) },
	"commit_lost":     func(w *stopWorld) { w.server.BreakNextCommit(dbinstance.BreakAfterCommit) },
	"commit_broken":   func(w *stopWorld) { w.server.BreakNextCommit(dbinstance.BreakBeforeCommit) },
	"unconfirmed":     func(w *stopWorld) { w.watcher.refuse.Store(true) },
	"key_withdrawn":   func(w *stopWorld) { w.access.withdrawn.Store(true) },
	"operator_stop":   func(w *stopWorld) { w.proxy.callers.Drain(); w.proxy.pool.Drain() },
	"entry_killed":    func(w *stopWorld) { go w.proxy.pool.DropVM("vm", 1) },
	"vm_list_lag":     func(w *stopWorld) { w.peers.mu.Lock(); w.peers.noOwners = true; w.peers.mu.Unlock() },
}

// stopHarmless lists the faults under which every request that was taken succeeds.
var stopHarmless = map[string]bool{
	"freeze_thaw": true, "cut_to_instance": true, "cut_to_owner": true, "cut_both": true, "domain_cut": true,
	"platform_outage": true, "replica_behind": true, "late_answer": true, "operator_stop": true, "vm_list_lag": true,
}

func called(fault func(func() error, *pool.ExecuteReply) error) func(*stopWorld) {
	return func(w *stopWorld) { w.peers.arm(fault) }
}

func loseReply(run func() error, reply *pool.ExecuteReply) error {
	_ = run() // its answer is lost
	*reply = pool.ExecuteReply{}
	return errkind.New(errkind.OutcomeUnknown, "reply lost")
}

func crossReply(run func() error, reply *pool.ExecuteReply) error {
	err := run()
	reply.Seq++
	return err
}

func cutInstance(d dbinstance.Direction, party string) func(*stopWorld) {
	return func(w *stopWorld) {
		w.server.Cut(d, party)
		w.heal = append(w.heal, func() { w.server.Heal(party) })
	}
}

// load is what the process serves when the stop begins: a long transaction and
// a commit that waits for its majority.
type load struct {
	long   *pgconn.PgConn
	commit chan error
	ended  chan error // the long transaction's outcome
}

func (w *stopWorld) startLoad() (*load, error) {
	long, err := w.connect()
	if err != nil {
		return nil, err
	}
	for _, sql := range []string{"BEGIN", "INSERT INTO w (k, v) VALUES (1, 'long')"} {
		if err := exec(long, sql); err != nil {
			return nil, err
		}
	}
	short, err := w.connect()
	if err != nil {
		return nil, err
	}
	l := &load{long: long, commit: make(chan error, 1), ended: make(chan error, 1)}
	go func() {
		err := exec(short, "INSERT INTO w (k, v) VALUES (2, 'short')")
		_ = short.Conn().Close() // a caller that reads the farewell ends the wait for it
		l.commit <- err
	}()
	for w.watcher.held.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	return l, nil
}

// finishLoad lets the load end while the process drains.
func (w *stopWorld) finishLoad(l *load) {
	close(w.watcher.hold.Load().(chan struct{}))
	go func() {
		err := exec(l.long, "SELECT v FROM w")
		if err == nil {
			err = exec(l.long, "COMMIT")
		}
		_ = l.long.Conn().Close()
		l.ended <- err
	}()
	for _, heal := range w.heal {
		heal()
	}
	w.heal = nil
}

// runStop interprets the chart as Proxy.Stop does, with its own actions for
// callers and pool and its own waits while draining; the announcement, the hand-over of
// leases and the end of the process are the test's.
func (w *stopWorld) runStop(enter func(state string)) error {
	machine := statechart.MustLoad("stop").Start()
	s := &stopper{proxy: w.proxy, deadline: time.Now().Add(stopDeadline)}
	enter(machine.State())
	for event := "stop_requested"; !machine.Done(); {
		actions, err := machine.Fire(event)
		if err != nil {
			return err
		}
		for _, action := range actions {
			if action == "refuse_new_work" || action == "end_open_transactions" {
				s.act(context.Background(), action)
			}
		}
		enter(machine.State())
		event = "announced"
		if machine.State() != "announcing" {
			event = s.next(context.Background(), machine.State())
		}
		if event == "deadline_passed" && !machine.Done() {
			return errors.Errorf("%d requests did not end", w.proxy.busy())
		}
	}
	return nil
}

func runStopCell(c faultmatrix.Cell) error {
	w, err := newStopWorld()
	if err != nil {
		return errors.Annotate(err, "setup")
	}
	defer w.close()
	l, err := w.startLoad()
	if err != nil {
		return errors.Annotate(err, "load")
	}
	err = w.runStop(func(state string) {
		if state == c.State {
			for _, f := range c.Faults {
				stopFaults[f](w)
			}
		}
		if state == "draining" {
			w.finishLoad(l)
		}
	})
	if err != nil {
		return err
	}
	for _, heal := range w.heal {
		heal()
	}
	return w.judgeStop(c, l)
}

// judgeStop checks that the stop cut nothing, that what callers were told is
// true, and that the process takes nothing more.
func (w *stopWorld) judgeStop(c faultmatrix.Cell, l *load) error {
	mustSucceed := c.State == "handing_over" || c.State == "stopped" // the load has ended
	if !mustSucceed {
		mustSucceed = !slices.ContainsFunc(c.Faults, func(f string) bool { return !stopHarmless[f] })
	}
	for writer, result := range map[string]chan error{"long": l.ended, "short": l.commit} {
		err := <-result
		if err != nil && mustSucceed {
			return errors.Annotatef(err, "%s: the request was taken and cut", writer)
		}
		if err := w.judgeOutcome(writer, err); err != nil {
			return err
		}
	}
	if n := w.proxy.busy(); n != 0 {
		return errors.Errorf("%d busy after the stop", n)
	}
	if _, err := w.connect(); err == nil {
		return errors.New("a stopped process took a new caller")
	}
	return nil
}

func (w *stopWorld) judgeOutcome(writer string, err error) error {
	n, failure := w.rows(writer)
	if failure != nil {
		return failure
	}
	var answer *pgconn.PgError
	told := errors.As(err, &answer)
	switch {
	case n > 1:
		return errors.Errorf("%s: the write ran %d times", writer, n)
	case err == nil && n != 1:
		return errors.Errorf("%s: acknowledged, and %d rows", writer, n)
	case err != nil && !told:
		return errors.Annotatef(err, "%s: no answer", writer)
	case told && n != 0 && answer.Code != errkind.OutcomeUnknown.Answer().SQLState:
		return errors.Errorf("%s: told %s %s, and the row is there", writer, answer.Code, answer.Detail)
	}
	return nil
}

// TestStopFaultMatrix strikes every fault at every state of the chart stop.
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

// TestNaiveStopIsRed closes everything at once.
func TestNaiveStopIsRed(t *testing.T) {
	w, err := newStopWorld()
	if err != nil {
		t.Fatal(err)
	}
	defer w.server.Close()
	l, err := w.startLoad()
	if err != nil {
		t.Fatal(err)
	}
	w.proxy.callers.Close()
	w.proxy.pool.Close()
	w.finishLoad(l)
	cell := faultmatrix.Cell{Chart: "stop", State: "draining", Faults: []string{"operator_stop"}}
	if err := w.judgeStop(cell, l); err == nil {
		t.Fatal("the check stayed green")
	} else {
		t.Logf("naive=close_at_once cell=%s seed=%d red: %v", cell, cell.Seed(), err)
	}
}
