package pool

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/juju/errors"

	"chicoryline/internal/errkind"
)

const (
	// scenarioTimeout bounds each wait; no result depends on its value.
	scenarioTimeout = time.Minute
	// bulkRows rows of bulkBytes each make an answer of several parts.
	bulkRows  = 3
	bulkBytes = 64 << 10
)

// scenario is the setup of one cell of the fault matrix, which is a combination of a
// state and faults: a manager, an instance and the session under test. The session
// inserts the row 'mine' into table w, which has no key, so that a write that ran twice
// leaves two rows.
type scenario struct {
	*fixture
	states  chan string
	openTx  *ExecuteArgs // the open transaction, if the state has one
	request *ExecuteArgs // the request that runs when the faults are injected
	result  chan outcome
	// unblock holds the functions that let the session leave its state.
	unblock     []func()
	healActions []func()
	// mayCommit is true if the request under test may commit the row.
	mayCommit bool
	// firstReply is the first part of the answer to request, if it has several.
	firstReply *ExecuteReply
}

type outcome struct {
	reply *ExecuteReply
	err   error
}

func newScenario() (*scenario, error) {
	f, err := buildFixture(2)
	if err != nil {
		return nil, err
	}
	w := &scenario{fixture: f, states: make(chan string, 256), result: make(chan outcome, 1), mayCommit: true}
	setup := "CREATE TABLE w (k bigint, v text); CREATE TABLE big (k bigint PRIMARY KEY, v text); INSERT INTO t (k, v) VALUES (0, 'locked')"
	_, _, err = f.server.Store().Run(context.Background(), setup)
	return w, err
}

// recordStates sends the states of one session to w.states.
func (w *scenario) recordStates(id SessionID) {
	w.manager.trace = func(s SessionID, state string) {
		if s == id {
			w.states <- state
		}
	}
}

func (w *scenario) awaitState(state string) error {
	timer := time.NewTimer(scenarioTimeout)
	defer timer.Stop()
	for {
		select {
		case got := <-w.states:
			if got == state {
				return nil
			}
		case <-timer.C:
			return errors.Errorf("state %s was not entered", state)
		}
	}
}

const insertRow = "INSERT INTO w (k, v) VALUES (1, 'mine') RETURNING k"

// runInBackground starts the request under test.
func (w *scenario) runInBackground(args *ExecuteArgs) {
	args.QueueTimeout = scenarioTimeout
	w.request = args
	go func() {
		reply, err := w.execute(args)
		w.result <- outcome{reply, err}
	}()
}

// beginWithWrite begins a transaction and inserts the row in it.
func (w *scenario) beginWithWrite() error {
	w.openTx = w.query("BEGIN")
	if _, err := w.execute(w.openTx); err != nil {
		return err
	}
	_, err := w.execute(w.nextRequest(insertRow))
	return err
}

// nextRequest returns the next request of the open transaction.
func (w *scenario) nextRequest(sql string) *ExecuteArgs {
	args := w.continued(w.openTx, sql)
	args.MayCommit = strings.Contains(sql, "COMMIT")
	w.openTx = args
	return args
}

// enterState brings the session into the given chart state.
func (w *scenario) enterState(state string) error {
	switch state {
	case "waiting":
		return w.enterWaiting()
	case "starting", "resuming":
		return w.enterQueued(state)
	case "executing":
		return w.enterExecuting()
	case "answer_pending":
		return w.enterPending()
	case "open":
		return w.beginWithWrite()
	case "confirming", "confirming_open":
		return w.enterConfirming(state)
	case "ended":
		_, err := w.execute(w.query(insertRow))
		return err
	case "aborted":
		if err := w.beginWithWrite(); err != nil {
			return err
		}
		w.mayCommit = false
		return NewService(w.manager).Abort(&SessionArgs{Session: w.openTx.Session}, &Empty{})
	}
	return errors.Errorf("cannot enter state %s", state)
}

func (w *scenario) enterWaiting() error {
	for range 2 {
		release, err := w.owner.connGate.Acquire(context.Background(), "other", 1, time.Now().Add(scenarioTimeout))
		if err != nil {
			return err
		}
		w.unblock = append(w.unblock, release)
	}
	args := w.query(insertRow)
	w.recordStates(args.Session)
	w.runInBackground(args)
	return w.awaitState("waiting")
}

func (w *scenario) enterQueued(state string) error {
	args := w.query(insertRow)
	if state == "resuming" {
		if err := w.beginWithWrite(); err != nil {
			return err
		}
		args = w.nextRequest("COMMIT")
	}
	for range 2 {
		release, err := w.owner.slotGate.Acquire(context.Background(), "other", 1, time.Now().Add(scenarioTimeout))
		if err != nil {
			return err
		}
		w.unblock = append(w.unblock, release)
	}
	w.recordStates(args.Session)
	w.runInBackground(args)
	return w.awaitState(state)
}

// enterExecuting makes the request wait for a row lock.
func (w *scenario) enterExecuting() error {
	holder, err := openConn(context.Background(), &w.owner.cfg)
	if err != nil {
		return err
	}
	w.unblock = append(w.unblock, holder.close)
	for _, sql := range []string{"BEGIN", "UPDATE t SET v = 'held' WHERE k = 0"} {
		if _, err := holder.query(sql, scenarioTimeout); err != nil {
			return err
		}
	}
	args := w.query(insertRow + "; UPDATE t SET v = 'mine' WHERE k = 0")
	w.recordStates(args.Session)
	w.runInBackground(args)
	return w.awaitState("executing")
}

func (w *scenario) enterPending() error {
	if err := w.beginWithWrite(); err != nil {
		return err
	}
	return w.firstPart()
}

// firstPart reads the first part of a long answer inside the transaction.
func (w *scenario) firstPart() error {
	if err := w.fill(); err != nil {
		return err
	}
	w.mayCommit = false
	w.request = w.nextRequest("SELECT v FROM big")
	reply, err := w.execute(w.request)
	if err == nil && !reply.More {
		err = errors.Errorf("the answer came in one part")
	}
	w.firstReply = reply
	return err
}

// fill inserts the rows of a long answer into table big.
func (w *scenario) fill() error {
	for k := range bulkRows {
		sql := fmt.Sprintf("INSERT INTO big (k, v) VALUES (%d, '%s')", k, strings.Repeat("x", bulkBytes))
		if _, _, err := w.server.Store().Run(context.Background(), sql); err != nil {
			return err
		}
	}
	return nil
}

func (w *scenario) enterConfirming(state string) error {
	args := w.query(insertRow)
	if state == "confirming_open" {
		if err := w.beginWithWrite(); err != nil {
			return err
		}
		args = w.nextRequest("COMMIT; BEGIN")
	}
	w.watcher.blockConfirm = make(chan struct{})
	w.unblock = append(w.unblock, func() { close(w.watcher.blockConfirm) })
	w.recordStates(args.Session)
	w.runInBackground(args)
	return w.awaitState(state)
}

// finishRequest returns the answer of the request under test.
func (w *scenario) finishRequest(state string) outcome {
	switch state {
	case "ended", "aborted":
		return outcome{}
	case "open":
		reply, err := w.execute(w.nextRequest("COMMIT"))
		return outcome{reply, err}
	case "answer_pending":
		return w.fetchRest()
	}
	select {
	case o := <-w.result:
		return o
	case <-time.After(scenarioTimeout):
		return outcome{err: errors.New("no answer")}
	}
}

func (w *scenario) fetchRest() outcome {
	reply := w.firstReply
	whole := &ExecuteReply{Answer: reply.Answer}
	for part := 1; reply.More; part++ {
		reply = &ExecuteReply{}
		if err := w.manager.fetch(&FetchArgs{Session: w.request.Session, Seq: w.request.Seq, Part: part}, reply); err != nil {
			return outcome{whole, err}
		}
		whole.Answer = append(whole.Answer, reply.Answer...)
		whole.Status = reply.Status
	}
	return outcome{whole, nil}
}

// rows counts the rows 'mine' directly at the instance.
func (w *scenario) rows() (int, error) {
	results, _, err := w.server.Store().Run(context.Background(), "SELECT k FROM w WHERE v = 'mine'")
	if err != nil {
		return 0, err
	}
	return len(results[0].Rows), nil
}

// checkOutcome checks that the rows at the instance match the outcome that was reported
// for the request.
func (w *scenario) checkOutcome(state string, o outcome) error {
	n, err := w.rows()
	if code := serverError(o.reply); o.err == nil && code != "" {
		if n != 0 {
			return errors.Errorf("the instance answered SQLSTATE %s, and the row is there", code)
		}
		return err
	}
	switch {
	case err != nil:
		return err
	case n > 1:
		return errors.Errorf("the write ran %d times", n)
	case o.err == nil && w.mayCommit && n != 1:
		return errors.Errorf("acknowledged, and %d rows", n)
	case o.err != nil && errkind.KindOf(o.err).Answer().Class == errkind.NotRun && n != 0:
		return errors.Errorf("reported as not run, and the row is there: %v", o.err)
	case o.err != nil && errkind.Is(o.err, errkind.TransactionLost) && n != 0:
		return errors.Errorf("reported as rolled back, and the row is there")
	case !w.mayCommit && n != 0:
		return errors.Errorf("the open transaction's row is visible")
	}
	return w.checkAnswer(state, o)
}

// serverError returns the SQLSTATE of the answer's ErrorResponse, if it has one.
func serverError(reply *ExecuteReply) string {
	if reply == nil {
		return ""
	}
	frames, _ := splitFrames(reply.Answer)
	for _, f := range frames {
		if f.kind() == 'E' {
			return errorCode(f.body())
		}
	}
	return ""
}

func (w *scenario) checkAnswer(state string, o outcome) error {
	if o.err != nil || o.reply == nil {
		return nil
	}
	frames, err := splitFrames(o.reply.Answer)
	if err != nil {
		return errors.Annotate(err, "answer")
	}
	rows, tags := 0, 0
	for _, f := range frames {
		switch f.kind() {
		case 'D':
			rows++
		case 'C':
			tags++
		}
	}
	status := byte('I')
	if state == "confirming_open" || state == "answer_pending" {
		status = 'T'
	}
	switch {
	case state == "answer_pending" && (rows != bulkRows || tags != 1):
		return errors.Errorf("short answer: %d rows of %d", rows, bulkRows)
	case tags == 0:
		return errors.Errorf("answer without its end")
	case o.reply.Status != status:
		return errors.Errorf("status %c, want %c", o.reply.Status, status)
	}
	return nil
}

// checkCleanup aborts the session and checks that nothing of it is left: no session,
// no row lock, and no connection that returns its answers to other sessions.
func (w *scenario) checkCleanup() error {
	if w.openTx != nil {
		_ = NewService(w.manager).Abort(&SessionArgs{Session: w.openTx.Session}, &Empty{})
	}
	if n := w.manager.Busy(); n != 0 {
		return errors.Errorf("%d sessions left", n)
	}
	ctx, cancel := context.WithTimeout(context.Background(), scenarioTimeout)
	defer cancel()
	if _, _, err := w.server.Store().Run(ctx, "UPDATE t SET v = 'after' WHERE k = 0"); err != nil {
		return errors.Annotate(err, "row lock")
	}
	return w.checkReusedConns()
}

func (w *scenario) checkReusedConns() error {
	select {
	case <-w.server.Done():
		return nil
	default:
	}
	// The queries below detect mixed-up answers. The primary and the confirmations have
	// to be restored first, because otherwise no answer is returned at all.
	w.watcher.setPrimary("db1")
	w.watcher.rejectConfirm.Store(false)
	manager := NewManager(w.manager.log, noopObserver{})
	defer manager.Close()
	manager.SetOwner("db1", w.owner)
	for i := range 3 {
		args := w.query(fmt.Sprintf("SELECT 'probe %d'", i))
		reply := &ExecuteReply{}
		faultPending := w.server.Faults().CutAfterRows >= 0
		if err := manager.execute(context.Background(), args, reply); err != nil && faultPending {
			continue // the injected fault hit this query
		} else if err != nil {
			return errors.Annotate(err, "probe")
		}
		if !strings.Contains(string(reply.Answer), fmt.Sprintf("probe %d", i)) || reply.Status != statusIdle {
			return errors.Errorf("probe %d got %q status %c", i, reply.Answer, reply.Status)
		}
	}
	return nil
}
